"""Receivers: the HTTP edge towards callers."""

import re
import uuid

import trio

from wigeonport.admissions import RequestEnded
from wigeonport.answers import BODILESS_STATUSES
from wigeonport.channels import Reply
from wigeonport.requests import (
    CallerAnswer,
    CallerRequest,
    leave_unknown,
    refuse,
)
from wigeonport.servers import BodyReader, answer_lifespan

DEADLINE_HEADER = b"wigeonport-deadline-ms"
PRIORITY_HEADER = b"wigeonport-priority"
KEY_HEADER = b"idempotency-key"
MAX_DEADLINE_MS = 600_000
MAX_KEY_BYTES = 256
KEY_PATTERN = re.compile(rb"[!-~]{1,%d}" % MAX_KEY_BYTES)
MAX_PRIORITY = 9
REPLY_MARGIN_MS = 200
RETRY_AFTER_MS = 1_000


class CallerLimits:
    """Limits at the callers' edge.

    Attributes:
        max_body_bytes: Largest body of a request.
        max_deadline_ms: Longest deadline, and that of a request that states
            none.
        receive_timeout_ms: Longest wait for the body of a request.
        max_receiving: Largest number of bodies that arrive in pieces at
            the same time; bounds the memory of what is not admitted yet.
    """

    __slots__ = (
        "max_body_bytes",
        "max_deadline_ms",
        "receive_timeout_ms",
        "max_receiving",
    )

    def __init__(
        self,
        max_body_bytes,
        max_deadline_ms,
        receive_timeout_ms=10_000,
        max_receiving=64,
    ):
        self.max_body_bytes = max_body_bytes
        self.max_deadline_ms = max_deadline_ms
        self.receive_timeout_ms = receive_timeout_ms
        self.max_receiving = max_receiving


class CallerApp:
    """ASGI app that turns HTTP into CallerRequests.

    Attributes:
        admissions: Mailbox of the admission filter.
        info: ProcessInfo of the process.
        limits: CallerLimits.
        clock: Time source.
        metrics: Metrics of the process.
        receiving: Limiter of the bodies that arrive in pieces.
    """

    __slots__ = (
        "admissions",
        "info",
        "limits",
        "clock",
        "metrics",
        "receiving",
    )

    def __init__(self, admissions, info, limits, clock):
        self.admissions = admissions
        self.info = info
        self.limits = limits
        self.clock = clock
        self.metrics = info.metrics
        self.receiving = trio.CapacityLimiter(limits.max_receiving)

    async def __call__(self, scope, receive, send):
        """Handles one ASGI connection scope."""
        if scope["type"] == "lifespan":
            return await answer_lifespan(receive, send)
        if scope["type"] != "http":
            return None
        answer, complete = await self.handle(scope, receive)
        self.metrics.count(f"receivers_{answer.outcome}")
        last = not complete or self.info.stopping.is_set()
        return await send_answer(send, answer, last)

    async def handle(self, scope, receive):
        """Returns the answer, and whether the request was read whole."""
        received_ms = self.clock.now()
        if self.info.stopping.is_set():
            return refuse(503, "the entry is stopping", RETRY_AFTER_MS), False
        body = await self.receive_body(scope, receive)
        if isinstance(body, CallerAnswer):
            return body, False
        made = make_request(scope, body, received_ms, self.limits)
        if isinstance(made, str):
            return refuse(400, made), True
        if not self.admissions.put_nowait(made):
            text = "too many requests are waiting"
            return refuse(503, text, RETRY_AFTER_MS), True
        try:
            answer = await self.wait(made)
        finally:
            if not self.admissions.put_nowait(RequestEnded(made)):
                await self.admissions.put(RequestEnded(made))
        spent_us = (self.clock.now() - received_ms) * 1_000
        self.metrics.record("receivers_total_us", spent_us)
        return answer, True

    async def receive_body(self, scope, receive):
        """Returns the body, or the refusal of the request."""
        reader = BodyReader(receive, self.limits.max_body_bytes)
        length = dict(scope["headers"]).get(b"content-length", b"0")
        if length.isdigit() and int(length) > self.limits.max_body_bytes:
            return refuse(413, "the body is too large")
        with trio.move_on_after(self.limits.receive_timeout_ms / 1000):
            await reader.read_chunk()
            if reader.more_expected:
                try:
                    self.receiving.acquire_nowait()
                except trio.WouldBlock:
                    text = "too many requests are arriving"
                    return refuse(503, text, RETRY_AFTER_MS)
                try:
                    await reader.read_rest()
                finally:
                    self.receiving.release()
        if reader.complete:
            return b"".join(reader.chunks)
        if reader.more_expected:
            return refuse(408, "the request did not arrive in time")
        return refuse(413, "the body is too large or cut short")

    async def wait(self, request):
        """Returns the answer; the margin covers the filters' own work."""
        left_ms = request.deadline_ms - self.clock.now() + REPLY_MARGIN_MS
        answer = await request.reply.wait(left_ms)
        if answer.is_ok():
            return answer.ok
        return leave_unknown(504, "no answer within the deadline")


def make_request(scope, body, received_ms, limits):
    """Returns a CallerRequest, or the text of what is wrong."""
    headers = dict(scope["headers"])
    target = scope["raw_path"]
    if scope["query_string"]:
        target += b"?" + scope["query_string"]
    service, _, rest = scope["path"].lstrip("/").partition("/")
    if not service:
        return "the path names no service"
    deadline_ms = parse_number(
        headers, DEADLINE_HEADER, limits.max_deadline_ms, MAX_DEADLINE_MS
    )
    priority = parse_number(headers, PRIORITY_HEADER, 0, MAX_PRIORITY)
    for value in (deadline_ms, priority):
        if isinstance(value, str):
            return value
    key = headers.get(KEY_HEADER)
    if key is not None and not KEY_PATTERN.fullmatch(key):
        return f"Idempotency-Key must be 1 to {MAX_KEY_BYTES} ASCII bytes"
    if sum(name == KEY_HEADER for name, _ in scope["headers"]) > 1:
        return "Idempotency-Key is given twice"
    request = CallerRequest(
        request_id=uuid.uuid4().hex,
        service=service,
        method=scope["method"],
        path=b"/" + target.lstrip(b"/").partition(b"/")[2],
        headers=scope["headers"],
        body=body,
        key=None if key is None else key.decode("ascii"),
        deadline_ms=received_ms + min(deadline_ms, limits.max_deadline_ms),
        received_ms=received_ms,
        priority=priority,
        reply=Reply(),
    )
    request.states_deadline = DEADLINE_HEADER in headers
    return request


def parse_number(headers, name, default, largest):
    """Returns the number in a header, or the text of what is wrong."""
    text = headers.get(name)
    if text is None:
        return default
    if not text.isdigit() or int(text) > largest:
        return f"{name.decode()} must be a number from 0 to {largest}"
    return int(text)


async def send_answer(send, answer, last):
    """Sends a whole answer over ASGI.

    Args:
        send: Send function of ASGI.
        answer: The CallerAnswer.
        last: Whether the connection ends after it.
    """
    headers = [
        *answer.headers,
        (b"wigeonport-outcome", answer.outcome.encode()),
    ]
    sized = any(name.lower() == b"content-length" for name, _ in headers)
    if not sized and answer.status not in BODILESS_STATUSES:
        length = str(len(answer.body)).encode()
        headers.append((b"content-length", length))
    if last:
        headers.append((b"connection", b"close"))
    if answer.reason:
        headers.append((b"wigeonport-reason", answer.reason.encode()))
    if answer.retry_after_ms is not None:
        seconds = max(1, -(-answer.retry_after_ms // 1_000))
        headers.append((b"retry-after", str(seconds).encode()))
    await send(
        {
            "type": "http.response.start",
            "status": answer.status,
            "headers": headers,
        }
    )
    await send({"type": "http.response.body", "body": answer.body})

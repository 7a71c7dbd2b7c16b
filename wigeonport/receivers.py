"""Receivers: accept the HTTP requests of callers and send the answers."""

import re
import uuid

import trio

from wigeonport.admissions import RequestEnded
from wigeonport.answers import BODILESS_STATUSES
from wigeonport.channels import Reply
from wigeonport.requests import (
    CallerAnswer,
    CallerRequest,
    answer_unknown,
    refuse,
)
from wigeonport.servers import BodyReader, answer_lifespan

DEADLINE_HEADER = b"wigeonport-deadline-ms"
PRIORITY_HEADER = b"wigeonport-priority"
KEY_HEADER = b"idempotency-key"
MAX_DEADLINE_HEADER_MS = 600_000
MAX_KEY_BYTES = 256
KEY_PATTERN = re.compile(rb"[!-~]{1,%d}" % MAX_KEY_BYTES)
MAX_PRIORITY = 9
MAX_NUMBER_DIGITS = 18
# The receiver waits this long beyond the deadline of a request, so that an
# answer that a later filter gives at the deadline still arrives.
REPLY_MARGIN_MS = 200
RETRY_AFTER_MS = 1_000


class CallerLimits:
    """Limits of the requests that callers send.

    Attributes:
        max_body_bytes: Largest body of a request.
        max_deadline_ms: Longest time from arrival to deadline, which also
            applies to a request that states no deadline.
        receive_timeout_ms: Longest wait for the body of a request.
        max_partial_bodies: Largest number of bodies that arrive in several
            pieces at the same time. It bounds the memory of requests that
            are not yet admitted.
    """

    __slots__ = (
        "max_body_bytes",
        "max_deadline_ms",
        "receive_timeout_ms",
        "max_partial_bodies",
    )

    def __init__(
        self,
        max_body_bytes,
        max_deadline_ms,
        receive_timeout_ms=10_000,
        max_partial_bodies=64,
    ):
        self.max_body_bytes = max_body_bytes
        self.max_deadline_ms = max_deadline_ms
        self.receive_timeout_ms = receive_timeout_ms
        self.max_partial_bodies = max_partial_bodies


class CallerApp:
    """ASGI app that turns HTTP requests into CallerRequests.

    Attributes:
        admissions: Mailbox of the admission filter.
        info: ProcessInfo; tells whether the process is stopping.
        limits: CallerLimits.
        clock: Time source.
        metrics: Metrics of the process.
        body_limiter: Limits the number of bodies that arrive in several
            pieces at the same time.
    """

    __slots__ = (
        "admissions",
        "info",
        "limits",
        "clock",
        "metrics",
        "body_limiter",
    )

    def __init__(self, admissions, info, limits, clock):
        self.admissions = admissions
        self.info = info
        self.limits = limits
        self.clock = clock
        self.metrics = info.metrics
        self.body_limiter = trio.CapacityLimiter(limits.max_partial_bodies)

    async def __call__(self, scope, receive, send):
        """Handles one ASGI connection scope."""
        if scope["type"] == "lifespan":
            return await answer_lifespan(receive, send)
        if scope["type"] != "http":
            return None
        answer, body_complete = await self.handle(scope, receive)
        self.metrics.count(f"receivers_{answer.outcome}")
        close_connection = not body_complete or self.info.stopping.is_set()
        return await send_answer(send, answer, close_connection)

    async def handle(self, scope, receive):
        """Returns the answer, and whether the whole body was read."""
        received_ms = self.clock.now()
        if self.info.stopping.is_set():
            return refuse(503, "the entry is stopping", RETRY_AFTER_MS), False
        body = await self.receive_body(scope, receive)
        if isinstance(body, CallerAnswer):
            return body, False
        request = make_request(scope, body, received_ms, self.limits)
        if isinstance(request, str):
            return refuse(400, request), True
        if not self.admissions.put_nowait(request):
            text = "too many requests are waiting"
            return refuse(503, text, RETRY_AFTER_MS), True
        try:
            answer = await self.wait_for_answer(request)
        finally:
            if not self.admissions.put_nowait(RequestEnded(request)):
                await self.admissions.put(RequestEnded(request))
        elapsed_us = (self.clock.now() - received_ms) * 1_000
        self.metrics.record("receivers_total_us", elapsed_us)
        return answer, True

    async def receive_body(self, scope, receive):
        """Returns the body, or the CallerAnswer that refuses the request."""
        reader = BodyReader(receive, self.limits.max_body_bytes)
        length = dict(scope["headers"]).get(b"content-length", b"0")
        if length.isdigit() and int(length) > self.limits.max_body_bytes:
            return refuse(
                413,
                f"the body is larger than {self.limits.max_body_bytes} bytes",
            )
        with trio.move_on_after(self.limits.receive_timeout_ms / 1000):
            await reader.read_chunk()
            if reader.more_expected:
                try:
                    self.body_limiter.acquire_nowait()
                except trio.WouldBlock:
                    text = "too many requests are arriving"
                    return refuse(503, text, RETRY_AFTER_MS)
                try:
                    await reader.read_rest()
                finally:
                    self.body_limiter.release()
        if reader.complete:
            return bytes(reader.data)
        if reader.more_expected:
            return refuse(408, "the body did not arrive in time")
        return refuse(413, "the body is too large or incomplete")

    async def wait_for_answer(self, request):
        """Returns the answer, or an unknown outcome after the deadline."""
        remaining_ms = request.deadline_ms - self.clock.now() + REPLY_MARGIN_MS
        answer = await request.reply.wait(remaining_ms)
        if answer.is_ok():
            return answer.ok
        return answer_unknown(504, "no answer within the deadline")


def make_request(scope, body, received_ms, limits):
    """Returns a CallerRequest, or an error text for a malformed request."""
    headers = dict(scope["headers"])
    target = scope["raw_path"]
    if scope["query_string"]:
        target += b"?" + scope["query_string"]
    service, _, rest = scope["path"].lstrip("/").partition("/")
    if not service:
        return "the path names no service"
    deadline_ms = parse_number(
        headers,
        DEADLINE_HEADER,
        limits.max_deadline_ms,
        MAX_DEADLINE_HEADER_MS,
    )
    priority = parse_number(headers, PRIORITY_HEADER, 0, MAX_PRIORITY)
    for value in (deadline_ms, priority):
        if isinstance(value, str):
            return value
    key = headers.get(KEY_HEADER)
    if key is not None and not KEY_PATTERN.fullmatch(key):
        return (
            f"Idempotency-Key must be 1 to {MAX_KEY_BYTES} visible ASCII bytes"
        )
    if sum(name == KEY_HEADER for name, _ in scope["headers"]) > 1:
        return "Idempotency-Key is given more than once"
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
    request.deadline_from_caller = DEADLINE_HEADER in headers
    return request


def parse_number(headers, name, default, maximum):
    """Returns the number in a header, or an error text if it is invalid."""
    text = headers.get(name)
    if text is None:
        return default
    # int() refuses over 4,300 digits.
    is_number = text.isdigit() and len(text) <= MAX_NUMBER_DIGITS
    if not is_number or int(text) > maximum:
        return f"{name.decode()} must be a number from 0 to {maximum}"
    return int(text)


async def send_answer(send, answer, close_connection):
    """Sends an answer over ASGI.

    Args:
        send: Send function of ASGI.
        answer: The CallerAnswer.
        close_connection: Whether the connection is closed after the answer.
    """
    headers = [
        *answer.headers,
        (b"wigeonport-outcome", answer.outcome.encode()),
    ]
    has_length = any(name.lower() == b"content-length" for name, _ in headers)
    if not has_length and answer.status not in BODILESS_STATUSES:
        length = str(len(answer.body)).encode()
        headers.append((b"content-length", length))
    if close_connection:
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

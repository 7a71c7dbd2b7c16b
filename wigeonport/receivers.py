"""Receivers: the HTTP edge towards callers."""

import re
import uuid

from wigeonport.channels import Reply
from wigeonport.requests import CallerRequest, leave_unknown, refuse
from wigeonport.servers import (
    answer_lifespan,
    read_body,
)

DEADLINE_HEADER = b"wigeonport-deadline-ms"
PRIORITY_HEADER = b"wigeonport-priority"
KEY_HEADER = b"idempotency-key"
MAX_DEADLINE_MS = 600_000
MAX_KEY_BYTES = 256
KEY_PATTERN = re.compile(rb"[!-~]{1,%d}" % MAX_KEY_BYTES)
MAX_PRIORITY = 9
REPLY_MARGIN_MS = 200


class CallerLimits:
    """Limits at the callers' edge.

    Attributes:
        max_body_bytes: Largest body of a request.
        default_deadline_ms: Deadline of a request that states none.
    """

    __slots__ = ("max_body_bytes", "default_deadline_ms")

    def __init__(self, max_body_bytes, default_deadline_ms):
        self.max_body_bytes = max_body_bytes
        self.default_deadline_ms = default_deadline_ms


class CallerApp:
    """ASGI app that turns HTTP into CallerRequests.

    Attributes:
        admissions: Mailbox of the admission filter.
        info: ProcessInfo of the process.
        limits: CallerLimits.
        clock: Time source.
        metrics: Metrics of the process.
    """

    __slots__ = ("admissions", "info", "limits", "clock", "metrics")

    def __init__(self, admissions, info, limits, clock):
        self.admissions = admissions
        self.info = info
        self.limits = limits
        self.clock = clock
        self.metrics = info.metrics

    async def __call__(self, scope, receive, send):
        """Handles one ASGI connection scope."""
        if scope["type"] == "lifespan":
            return await answer_lifespan(receive, send)
        if scope["type"] != "http":
            return None
        answer = await self.handle(scope, receive)
        return await send_answer(send, answer)

    async def handle(self, scope, receive):
        """Returns the answer to one request."""
        received_ms = self.clock.now()
        body = await read_body(receive, self.limits.max_body_bytes)
        if body is None:
            return refuse(413, "body is too large or incomplete")
        made = make_request(scope, body, received_ms, self.limits)
        if isinstance(made, str):
            return refuse(400, made)
        if not await self.admissions.put(made):
            self.metrics.count("receivers_refused")
            return refuse(503, "too many requests are waiting", 1_000)
        answer = await self.wait(made)
        spent_us = (self.clock.now() - received_ms) * 1_000
        self.metrics.record("receivers_total_us", spent_us)
        self.metrics.count(f"receivers_{answer.outcome}")
        return answer

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
        headers, DEADLINE_HEADER, limits.default_deadline_ms, MAX_DEADLINE_MS
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
    return CallerRequest(
        request_id=uuid.uuid4().hex,
        service=service,
        method=scope["method"],
        path=b"/" + target.lstrip(b"/").partition(b"/")[2],
        headers=scope["headers"],
        body=body,
        key=None if key is None else key.decode("ascii"),
        deadline_ms=received_ms + deadline_ms,
        received_ms=received_ms,
        priority=priority,
        reply=Reply(),
    )


def parse_number(headers, name, default, largest):
    """Returns the number in a header, or the text of what is wrong."""
    text = headers.get(name)
    if text is None:
        return default
    if not text.isdigit() or int(text) > largest:
        return f"{name.decode()} must be a number from 0 to {largest}"
    return int(text)


async def send_answer(send, answer):
    """Sends a whole answer over ASGI."""
    headers = [
        *answer.headers,
        (b"content-length", str(len(answer.body)).encode()),
        (b"wigeonport-outcome", answer.outcome.encode()),
    ]
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

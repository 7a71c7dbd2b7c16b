"""Requests of callers and the answers that they get."""

COMPLETED = "completed"
NOT_RUN = "not-run"
UNKNOWN = "unknown"

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})


class CallerRequest:
    """One request of a caller.

    Attributes:
        request_id: Unique id; the endpoint returns it unchanged.
        service: First segment of the path.
        method: HTTP method.
        path: Path after the service segment, with the query, as bytes.
        headers: Pairs of header name and value, as bytes.
        body: The whole body.
        key: Idempotency key, or None.
        deadline_ms: Monotonic time after which the caller no longer waits.
        received_ms: Monotonic time of arrival.
        priority: A larger number is more urgent.
        attempts: Number of attempts made.
        may_have_run: Whether an earlier attempt may have run. Such a request
            must not be reported as not run while it waits for a retry.
        queued_ms: Monotonic time when it began to wait for a slot.
        deadline_from_caller: Whether the caller stated the deadline.
        reply: Reply channel of the receiver.
    """

    __slots__ = (
        "request_id",
        "service",
        "method",
        "path",
        "headers",
        "body",
        "key",
        "deadline_ms",
        "received_ms",
        "priority",
        "attempts",
        "may_have_run",
        "queued_ms",
        "deadline_from_caller",
        "reply",
    )

    def __init__(
        self,
        request_id,
        service,
        method,
        path,
        headers,
        body,
        key,
        deadline_ms,
        received_ms,
        priority,
        reply,
    ):
        self.request_id = request_id
        self.service = service
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.key = key
        self.deadline_ms = deadline_ms
        self.received_ms = received_ms
        self.priority = priority
        self.attempts = 0
        self.may_have_run = False
        self.queued_ms = received_ms
        self.deadline_from_caller = True
        self.reply = reply

    @property
    def repeatable(self):
        """Whether the entry may run the request again after a failure.

        A keyed request is excluded: it runs at most once, even if its
        method is idempotent.
        """
        return self.key is None and self.method in IDEMPOTENT_METHODS


class CallerAnswer:
    """The answer to a request.

    Attributes:
        status: HTTP status.
        headers: Pairs of header name and value, as bytes.
        body: The whole body.
        outcome: COMPLETED, NOT_RUN or UNKNOWN.
        reason: Why the request was not completed, or "" if it was.
        retry_after_ms: Time after which the caller should retry, or None.
    """

    __slots__ = (
        "status",
        "headers",
        "body",
        "outcome",
        "reason",
        "retry_after_ms",
    )

    def __init__(
        self, status, headers, body, outcome, reason="", retry_after_ms=None
    ):
        self.status = status
        self.headers = headers
        self.body = body
        self.outcome = outcome
        self.reason = reason
        self.retry_after_ms = retry_after_ms


def refuse(status, reason, retry_after_ms=None):
    """Returns the answer to a request that was not run."""
    body = f"{reason}\n".encode()
    return CallerAnswer(status, [], body, NOT_RUN, reason, retry_after_ms)


def give_up(request, status, reason, retry_after_ms=None):
    """Returns the answer to a request that gets no further attempt.

    The outcome is UNKNOWN if an earlier attempt may have run, else NOT_RUN.
    """
    if request.may_have_run:
        return answer_unknown(status, reason)
    return refuse(status, reason, retry_after_ms)


def answer_unknown(status, reason):
    """Returns the answer to a request that may or may not have run."""
    return CallerAnswer(status, [], f"{reason}\n".encode(), UNKNOWN, reason)

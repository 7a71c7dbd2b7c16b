"""Messages to the router, its commands and its limits."""


class AttemptEnded:
    """The result of one attempt at an endpoint.

    Attributes:
        request: The request.
        endpoint_id: Endpoint to which it was sent.
        answer: CallerAnswer, or None if no complete answer arrived.
        possibly_ran: False if the endpoint certainly did not run it.
        reason: Why there is no answer, or "" if there is one.
        refusal: Reason that the endpoint gave for not running it, or None.
        duration_ms: Duration of the attempt.
    """

    __slots__ = (
        "request",
        "endpoint_id",
        "answer",
        "possibly_ran",
        "reason",
        "refusal",
        "duration_ms",
    )

    def __init__(self, request, endpoint_id, answer, possibly_ran, reason):
        self.request = request
        self.endpoint_id = endpoint_id
        self.answer = answer
        self.possibly_ran = possibly_ran
        self.reason = reason
        self.refusal = None
        self.duration_ms = 0


class Dispatch:
    """Command: send a request to an endpoint."""

    __slots__ = ("request", "record")

    def __init__(self, request, record):
        self.request = request
        self.record = record


class Respond:
    """Command: answer a request; the cause names the metric to count."""

    __slots__ = ("request", "answer", "cause")

    def __init__(self, request, answer, cause):
        self.request = request
        self.answer = answer
        self.cause = cause


class HealthChanged:
    """Command: report that an endpoint's quarantine began or ended."""

    __slots__ = ("endpoint_id", "quarantined")

    def __init__(self, endpoint_id, quarantined):
        self.endpoint_id = endpoint_id
        self.quarantined = quarantined


class RouterLimits:
    """Limits of the router.

    Attributes:
        queue_bound: Largest number of waiting requests of a service.
        queue_wait_ms: Longest wait for a slot.
        max_attempts: Largest number of attempts for one request.
        retry_share: Retries allowed per request of a service, 0.1 being one
            retry for ten requests.
        retry_floor: Retries per second allowed in addition to the share.
        discipline: Name of the queue discipline.
        leased: Whether slots may be used only within a lease.
        entries: Number of entries that share the connections of an
            endpoint.
    """

    __slots__ = (
        "queue_bound",
        "queue_wait_ms",
        "max_attempts",
        "retry_share",
        "retry_floor",
        "discipline",
        "leased",
        "entries",
    )

    def __init__(
        self,
        queue_bound=512,
        queue_wait_ms=2_000,
        max_attempts=3,
        retry_share=0.1,
        retry_floor=10,
        discipline="adaptive",
        leased=True,
        entries=1,
    ):
        self.queue_bound = queue_bound
        self.queue_wait_ms = queue_wait_ms
        self.max_attempts = max_attempts
        self.retry_share = retry_share
        self.retry_floor = retry_floor
        self.discipline = discipline
        self.leased = leased
        self.entries = entries

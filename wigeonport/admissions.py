"""Admissions: bound the requests and bytes that the entry holds.

A service with a sudden peak must not take the capacity of the others: it may
hold at most as much as is still free. A single busy service gets half of the
limit, two busy services get a third each, and so on.
Source: A. Choudhury, E. Hahne, "Dynamic Queue Length Thresholds for
Shared-Memory Packet Switches", 1998.
"""

from wigeonport.configurations import FleetApplied
from wigeonport.requests import answer_unknown, refuse

RETRY_AFTER_MS = 1_000
# Counted for each request in addition to its body.
REQUEST_OVERHEAD_BYTES = 4_096


class RequestEnded:
    """The receiver no longer waits for the answer to a request."""

    __slots__ = ("request",)

    def __init__(self, request):
        self.request = request


class ShutdownDeadline:
    """The shutdown deadline is near: all requests must be answered now."""

    __slots__ = ()


class Usage:
    """Number and size of the requests held for one service or for all."""

    __slots__ = ("count", "size_bytes")

    def __init__(self):
        self.count = 0
        self.size_bytes = 0

    def add(self, sign, size_bytes):
        """Adds one request (sign 1) or subtracts one (sign -1)."""
        self.count += sign
        self.size_bytes += sign * size_bytes


class Admission:
    """Decides which requests are admitted.

    Attributes:
        max_requests: Largest number of requests that the entry holds.
        max_bytes: Largest size of all requests together, each counted with
            REQUEST_OVERHEAD_BYTES and its body.
        services: Maps service name to its document in the fleet version in
            force; None before the first version.
        total: Usage of all services together.
        usage_by_service: Maps service name to its Usage.
        requests: Maps request id to each admitted request that its receiver
            still waits for.
    """

    __slots__ = (
        "max_requests",
        "max_bytes",
        "services",
        "total",
        "usage_by_service",
        "requests",
    )

    def __init__(self, max_requests, max_bytes):
        self.max_requests = max_requests
        self.max_bytes = max_bytes
        self.services = None
        self.total = Usage()
        self.usage_by_service = {}
        self.requests = {}

    def configure(self, applied):
        """Replaces the services by those of a newly applied version."""
        self.services = {
            service["id"]: service for service in applied.document["services"]
        }

    def admit(self, request, now_ms):
        """Admits a request and counts it; returns its refusal, or None."""
        refusal = self.check(request, now_ms)
        if refusal is None:
            apply_service(request, self.services[request.service])
            usage = self.usage_by_service.setdefault(request.service, Usage())
            for counter in (usage, self.total):
                counter.add(1, measure_request(request))
            self.requests[request.request_id] = request
        return refusal

    def check(self, request, now_ms):
        """Returns the refusal of a request, or None."""
        if self.services is None:
            text = "no fleet version is in force yet"
            return refuse(503, text, RETRY_AFTER_MS)
        if request.service not in self.services:
            return refuse(404, f"service {request.service!r} does not exist")
        if now_ms >= request.deadline_ms:
            return refuse(504, "the deadline has passed")
        usage = self.usage_by_service.get(request.service, Usage())
        free_count = self.max_requests - self.total.count
        free_bytes = self.max_bytes - self.total.size_bytes
        if usage.count >= free_count or (
            usage.size_bytes + measure_request(request) > free_bytes
        ):
            text = "the service has reached its share of the entry's limits"
            return refuse(503, text, RETRY_AFTER_MS)
        return None

    def release(self, request):
        """Stops counting a request; does nothing if it is not held."""
        if self.requests.pop(request.request_id, None) is None:
            return
        usage = self.usage_by_service[request.service]
        for counter in (usage, self.total):
            counter.add(-1, measure_request(request))
        if not usage.count:
            del self.usage_by_service[request.service]

    def answer_all(self):
        """Answers all held requests as unknown.

        A reply channel keeps its first answer, so that a request that is
        answered already is not affected.
        """
        for request in self.requests.values():
            text = "the entry stopped before the answer arrived"
            request.reply.send(answer_unknown(503, text))


def apply_service(request, service):
    """Applies the default deadline if the caller stated none."""
    default_ms = service.get("default_deadline_ms")
    if default_ms is not None and not request.deadline_from_caller:
        deadline_ms = request.received_ms + default_ms
        request.deadline_ms = min(request.deadline_ms, deadline_ms)


def measure_request(request):
    """Returns the size in bytes that is counted for a request."""
    return REQUEST_OVERHEAD_BYTES + len(request.body)


async def admit(inbound, outbound, admission, clock, metrics):
    """Forwards admitted requests and refuses the others.

    Args:
        inbound: Mailbox of requests, their ends, applied fleet versions and
            the shutdown deadline.
        outbound: Mailbox of the claims filter.
        admission: The Admission, which this task owns.
        clock: Time source.
        metrics: Metrics of the process.
    """
    async for message in inbound:
        if isinstance(message, FleetApplied):
            admission.configure(message)
        elif isinstance(message, RequestEnded):
            admission.release(message.request)
        elif isinstance(message, ShutdownDeadline):
            admission.answer_all()
        else:
            refusal = admission.admit(message, clock.now())
            if refusal is not None:
                metrics.count("admissions_refused")
                message.reply.send(refusal)
            else:
                await outbound.put(message)
            metrics.set("admissions_held_bytes", admission.total.size_bytes)

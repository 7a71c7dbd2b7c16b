"""Admissions: bound what the entry holds and refuse what cannot be served.

A service with a sudden peak must not take the capacity of the others: it may
hold at most as much as is still free, so that one service alone gets half,
two get a third each, and so on.
Source: A. Choudhury, E. Hahne, "Dynamic Queue Length Thresholds for
Shared-Memory Packet Switches", 1998.
"""

from wigeonport.configurations import FleetApplied
from wigeonport.requests import answer_unknown, refuse

RETRY_AFTER_MS = 1_000
# Counted for each request besides its body.
REQUEST_BYTES = 4_096


class RequestEnded:
    """The caller of an admitted request has its answer."""

    __slots__ = ("request",)

    def __init__(self, request):
        self.request = request


class ShutdownDeadline:
    """The bound on the shutdown is near: all callers need an answer now."""

    __slots__ = ()


class Held:
    """What is held of one service, or of all."""

    __slots__ = ("count", "size_bytes")

    def __init__(self):
        self.count = 0
        self.size_bytes = 0

    def add(self, sign, size_bytes):
        """Adds or removes one request."""
        self.count += sign
        self.size_bytes += sign * size_bytes


class Admission:
    """Decides which requests go on.

    Attributes:
        max_requests: Largest number of requests in the entry.
        max_bytes: Largest size of their bodies together.
        services: Documents of the services of the version in force by
            name, or None before the first version.
        total: Held of all services.
        by_service: Held by service.
        requests: Admitted requests without an answer by id.
    """

    __slots__ = (
        "max_requests",
        "max_bytes",
        "services",
        "total",
        "by_service",
        "requests",
    )

    def __init__(self, max_requests, max_bytes):
        self.max_requests = max_requests
        self.max_bytes = max_bytes
        self.services = None
        self.total = Held()
        self.by_service = {}
        self.requests = {}

    def configure(self, applied):
        """Takes over a newly applied version."""
        self.services = {
            service["id"]: service for service in applied.document["services"]
        }

    def admit(self, request, now_ms):
        """Holds a request; returns its refusal, or None."""
        refusal = self.check(request, now_ms)
        if refusal is None:
            apply_service(request, self.services[request.service])
            held = self.by_service.setdefault(request.service, Held())
            for each in (held, self.total):
                each.add(1, measure(request))
            self.requests[request.request_id] = request
        return refusal

    def check(self, request, now_ms):
        """Returns the refusal of a request, or None."""
        if self.services is None:
            text = "no fleet version is in force yet"
            return refuse(503, text, RETRY_AFTER_MS)
        if request.service not in self.services:
            return refuse(404, f"service {request.service!r} is not known")
        if now_ms >= request.deadline_ms:
            return refuse(504, "the deadline has passed")
        held = self.by_service.get(request.service, Held())
        free_count = self.max_requests - self.total.count
        free_bytes = self.max_bytes - self.total.size_bytes
        if held.count >= free_count or (
            held.size_bytes + measure(request) > free_bytes
        ):
            text = "the service holds its part of the entry"
            return refuse(503, text, RETRY_AFTER_MS)
        return None

    def release(self, request):
        """Stops holding a request."""
        if self.requests.pop(request.request_id, None) is None:
            return
        held = self.by_service[request.service]
        for each in (held, self.total):
            each.add(-1, measure(request))
        if not held.count:
            del self.by_service[request.service]

    def answer_all(self):
        """Answers all held requests; a request takes its first answer."""
        for request in self.requests.values():
            text = "the entry stopped before the answer arrived"
            request.reply.send(answer_unknown(503, text))


def apply_service(request, service):
    """Applies the service's deadline where the caller stated none."""
    default_ms = service.get("default_deadline_ms")
    if default_ms is not None and not request.deadline_from_caller:
        deadline_ms = request.received_ms + default_ms
        request.deadline_ms = min(request.deadline_ms, deadline_ms)


def measure(request):
    """Returns the size that is counted for a request."""
    return REQUEST_BYTES + len(request.body)


async def admit(inbound, outbound, admission, clock, metrics):
    """Forwards admitted requests and answers the others."""
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

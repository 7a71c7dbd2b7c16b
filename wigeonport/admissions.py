"""Admissions: refuses requests that cannot be served at all."""

from wigeonport.configurations import FleetApplied
from wigeonport.requests import refuse


class Admission:
    """Decides which requests go on.

    Attributes:
        services: Names of the services of the version in force, or None
            before the first version.
    """

    __slots__ = ("services",)

    def __init__(self):
        self.services = None

    def configure(self, applied):
        """Takes over a newly applied version."""
        self.services = {
            service["id"] for service in applied.document["services"]
        }

    def check(self, request, now_ms):
        """Returns the refusal of a request, or None if it is admitted."""
        if self.services is None:
            return refuse(503, "no fleet version is in force yet", 1_000)
        if request.service not in self.services:
            return refuse(404, f"service {request.service!r} is not known")
        if now_ms >= request.deadline_ms:
            return refuse(504, "the deadline has passed")
        return None


async def admit(inbound, outbound, clock):
    """Forwards admitted requests and answers the others."""
    admission = Admission()
    async for message in inbound:
        if isinstance(message, FleetApplied):
            admission.configure(message)
            continue
        refusal = admission.check(message, clock.now())
        if refusal is not None:
            message.reply.send(refusal)
        elif not await outbound.put(message):
            message.reply.send(refuse(503, "the entry is overloaded", 1_000))

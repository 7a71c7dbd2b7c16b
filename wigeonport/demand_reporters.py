"""Demand reporters: send the demand at this entry to a control."""

from wigeonport.channels import ask
from wigeonport.demands import DemandReport, ServiceDemand
from wigeonport.routers import handlers

REPORT_INTERVAL_MS = 1_000


class DemandQuery:
    """Queries the router for the demand of each service.

    Attributes:
        reply: Reply channel, which receives a list of ServiceDemand.
    """

    __slots__ = ("reply",)

    def __init__(self, reply):
        self.reply = reply


@handlers.register("DemandQuery")
def count_demands(router, query, now_ms, random):
    """Replies with the running and queued requests of each service."""
    demands = [
        ServiceDemand(
            name,
            sum(target.in_flight for target in service.targets.values()),
            service.queue.size,
        )
        for name, service in router.services.items()
    ]
    query.reply.send(demands)
    return []


async def report_demands(router, links, clock):
    """Reports the demand every REPORT_INTERVAL_MS.

    Args:
        router: Mailbox of the router.
        links: ControlLinks; the preferred control forwards the report to the
            leader.
        clock: Time source.
    """
    node_id = links.identity.node_id
    while True:
        await clock.sleep(REPORT_INTERVAL_MS)
        demands = await ask(router, DemandQuery, REPORT_INTERVAL_MS)
        preferred = links.preferred()
        if demands.is_ok() and preferred:
            preferred[0].post(DemandReport(node_id, demands.ok))

"""Demands: numbers of running and queued requests by service and entry."""

from wigeonport.codecs import message_kinds

STALE_MS = 5_000


@message_kinds.register("ServiceDemand")
class ServiceDemand:
    """Demand of one service at one entry.

    Attributes:
        service_id: Id of the service.
        running: Number of requests that occupy a slot.
        queued: Number of requests that wait for a slot.
    """

    __slots__ = ("service_id", "running", "queued")

    def __init__(self, service_id, running, queued):
        self.service_id = service_id
        self.running = running
        self.queued = queued


@message_kinds.register("DemandReport")
class DemandReport:
    """Demand of all services at one entry.

    Attributes:
        node_id: Node id of the entry.
        demands: ServiceDemand objects, one for each service in use.
    """

    __slots__ = ("node_id", "demands")

    def __init__(self, node_id, demands):
        self.node_id = node_id
        self.demands = demands


class DemandTable:
    """Latest demand reports of all entries.

    Attributes:
        reports: Maps the node id of an entry to the time at which its latest
            DemandReport arrived, in ms, and that report.
    """

    __slots__ = ("reports",)

    def __init__(self):
        self.reports = {}

    def add(self, report, now_ms):
        """Replaces the previous report of the same entry."""
        self.reports[report.node_id] = (now_ms, report)

    def totals(self, now_ms):
        """Returns the number of wanted slots by service id over all entries.

        Entries without a report in the last STALE_MS are left out, because
        their callers go to other entries.
        """
        totals = {}
        for reported_ms, report in self.reports.values():
            if now_ms - reported_ms > STALE_MS:
                continue
            for demand in report.demands:
                slots = demand.running + demand.queued
                name = demand.service_id
                totals[name] = totals.get(name, 0) + slots
        return totals

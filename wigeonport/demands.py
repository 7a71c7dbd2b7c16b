"""Demands: how many requests of each service run and wait at the entries."""

from wigeonport.codecs import message_kinds

STALE_MS = 5_000


@message_kinds.register("ServiceDemand")
class ServiceDemand:
    """Demand of one service at one entry.

    Attributes:
        service_id: The service.
        running: Requests that occupy a slot.
        queued: Requests that wait for one.
    """

    __slots__ = ("service_id", "running", "queued")

    def __init__(self, service_id, running, queued):
        self.service_id = service_id
        self.running = running
        self.queued = queued


@message_kinds.register("DemandReport")
class DemandReport:
    """Demand at one entry.

    Attributes:
        node_id: The entry.
        demands: A ServiceDemand for each service in use.
    """

    __slots__ = ("node_id", "demands")

    def __init__(self, node_id, demands):
        self.node_id = node_id
        self.demands = demands


class DemandTable:
    """Latest reports of the entries.

    Attributes:
        reports: Pair of time in ms and DemandReport by entry.
    """

    __slots__ = ("reports",)

    def __init__(self):
        self.reports = {}

    def add(self, report, now_ms):
        """Replaces the report of an entry."""
        self.reports[report.node_id] = (now_ms, report)

    def totals(self, now_ms):
        """Returns the slots asked for by service over all entries.

        Entries that were not heard for STALE_MS are left out; their callers
        go to other entries.
        """
        totals = {}
        for heard_ms, report in self.reports.values():
            if now_ms - heard_ms > STALE_MS:
                continue
            for demand in report.demands:
                slots = demand.running + demand.queued
                name = demand.service_id
                totals[name] = totals.get(name, 0) + slots
        return totals

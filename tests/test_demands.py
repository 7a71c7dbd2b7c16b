"""Tests of the demand that reaches the planner."""

import trio

from wigeonport.channels import Mailbox
from wigeonport.demands import STALE_MS, DemandReport, DemandTable
from wigeonport.demands import ServiceDemand as Demand
from wigeonport.links import Delivery
from wigeonport.plan_drivers import PlanDriver


def test_totals_add_entries_and_drop_silent_ones(clock):
    """Reports older than STALE_MS do not count.

    Otherwise the demand would stay high after an entry has died, because its
    last report is never replaced.
    """
    table = DemandTable()
    table.add(DemandReport("entry/a", [Demand("roster", 3, 2)]), clock.now())
    clock.advance(STALE_MS)
    table.add(DemandReport("entry/b", [Demand("roster", 1, 0)]), clock.now())
    assert table.totals(clock.now()) == {"roster": 6}
    clock.advance(1)
    assert table.totals(clock.now()) == {"roster": 1}


class RecordingDialer:
    """Dialer that records the posted messages."""

    def __init__(self):
        self.posted = []

    def post(self, message):
        """Records a message."""
        self.posted.append(message)
        return True


def test_follower_forwards_demand_to_the_leader(clock):
    """A control that is not the leader forwards demand reports to it.

    An entry reports to one control only, usually that of its own VM, so the
    leader would otherwise miss the demand of all other VMs.
    """

    async def scenario():
        dialers = {"lekki-1": RecordingDialer(), "yaba-1": RecordingDialer()}
        mailbox = Mailbox("any", 1)
        driver = PlanDriver(None, mailbox, mailbox, dialers, clock, None)
        driver.leader = "lekki-1"
        report = DemandReport("entry/a", [Demand("roster", 3, 2)])
        await driver.handle(Delivery(report, None, None, 0))
        assert dialers["lekki-1"].posted == [report]
        assert dialers["yaba-1"].posted == []

    trio.run(scenario)

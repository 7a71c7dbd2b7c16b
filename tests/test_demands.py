"""Tests of the demand that reaches the planner."""

import trio

from wigeonport.channels import Mailbox
from wigeonport.demands import STALE_MS, DemandReport, DemandTable
from wigeonport.demands import ServiceDemand as Demand
from wigeonport.links import Delivery
from wigeonport.plan_drivers import PlanDriver


def test_totals_add_entries_and_drop_silent_ones(clock):
    """Guards against demand that stays high after an entry has died."""
    table = DemandTable()
    table.add(DemandReport("entry/a", [Demand("roster", 3, 2)]), clock.now())
    clock.advance(STALE_MS)
    table.add(DemandReport("entry/b", [Demand("roster", 1, 0)]), clock.now())
    assert table.totals(clock.now()) == {"roster": 6}
    clock.advance(1)
    assert table.totals(clock.now()) == {"roster": 1}


class RecordingDialer:
    """Keeps what was posted."""

    def __init__(self):
        self.posted = []

    def post(self, message):
        """Takes a message."""
        self.posted.append(message)
        return True


def test_follower_passes_demand_on_to_the_leader(clock):
    """Guards against a leader that sees the demand of its own VM only."""

    async def scenario():
        dialers = {"lekki-1": RecordingDialer(), "yaba-1": RecordingDialer()}
        box = Mailbox("any", 1)
        driver = PlanDriver(None, box, box, dialers, clock, None)
        driver.leader = "lekki-1"
        report = DemandReport("entry/a", [Demand("roster", 3, 2)])
        await driver.handle(Delivery(report, None, None, 0))
        assert dialers["lekki-1"].posted == [report]
        assert dialers["yaba-1"].posted == []

    trio.run(scenario)

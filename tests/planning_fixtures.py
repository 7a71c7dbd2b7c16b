"""Fixtures for tests of the planner and its stages."""

import pathlib
import random

import pytest

from wigeonport.plan_events import (
    FleetLoaded,
    LeadershipChanged,
    Tick,
    ZoneReported,
)
from wigeonport.plan_settings import PlanSettings
from wigeonport.planners import Planner
from wigeonport.replays import replay_trace
from wigeonport.traces import read_trace
from wigeonport.views import (
    FleetView,
    PoolView,
    ServiceView,
    Size,
    TeamView,
    VmView,
)

TRACES = pathlib.Path(__file__).parent.parent / "traces"
FAR_MS = 10**12
ZONES = ("ikeja", "lekki", "yaba")


class PlannerRun:
    """A planner driven by a clock and one event at a time."""

    __slots__ = ("planner", "clock", "random")

    def __init__(self, settings, clock, fleet):
        self.planner = Planner(settings)
        self.clock = clock
        self.random = random.Random(1)
        self.step(FleetLoaded(fleet))

    @property
    def view(self):
        """PlanView of the planner."""
        return self.planner.view

    def step(self, event):
        """Passes one event to the planner; returns its commands."""
        return self.planner.step(event, self.clock.now(), self.random)

    def lead(self, term=1, lease_ms=3_600_000):
        """Gives the planner a leader lease, and a report of each zone."""
        now_ms = self.clock.now()
        self.step(LeadershipChanged(term, now_ms + lease_ms))
        for zone in ZONES:
            self.step(ZoneReported(zone, now_ms))

    def tick(self, elapsed_ms=0):
        """Advances the clock and reports all zones.

        Returns:
            The commands of a full plan.
        """
        self.clock.advance(elapsed_ms)
        for zone in ZONES:
            self.step(ZoneReported(zone, self.clock.now()))
        return self.step(Tick())


def make_fleet():
    """Returns a fleet of two pools and a spare pool.

    Each pool has two VMs in each of three zones.
    """
    size = Size(16, 32_768)
    vms = [
        VmView(f"{pool}-{zone}-{n}", pool, f"{zone}-r1", zone, size, FAR_MS)
        for pool in ("roster", "crusade", "notices")
        for zone in ZONES
        for n in (1, 2)
    ]
    pools = [
        PoolView("roster"),
        PoolView("crusade"),
        PoolView("notices", spare=True),
    ]
    services = [
        ServiceView("roster", "roster", 5, 8),
        ServiceView("crusade", "crusade", 5, 8),
        ServiceView("notices", "notices", 2, 8),
    ]
    return FleetView(1, vms, pools, services, [TeamView("planners", 200)])


@pytest.fixture
def planned_fleet():
    """Fleet of two pools and a spare pool."""
    return make_fleet()


@pytest.fixture
def make_run(clock, planned_fleet):
    """Makes a PlannerRun that leads, with overridden settings."""

    def make(**overrides):
        run = PlannerRun(PlanSettings(**overrides), clock, planned_fleet)
        run.lead()
        run.tick()
        return run

    return make


@pytest.fixture
def replay():
    """Replays a trace of ``traces/`` with overridden settings."""

    def run(name, **overrides):
        trace = read_trace(TRACES / f"{name}.jsonl")
        assert trace.is_ok(), str(trace.error)
        replayed = replay_trace(trace.ok, overrides)
        assert replayed.is_ok(), str(replayed.error)
        return replayed.ok

    return run

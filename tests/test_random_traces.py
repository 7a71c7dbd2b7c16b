"""Replays random faults, demand and jobs and checks the invariants."""

import random

import pytest
from planning_fixtures import make_fleet

from wigeonport import plan_events as events
from wigeonport.job_tables import LOST
from wigeonport.plan_settings import PlanSettings
from wigeonport.planners import Planner
from wigeonport.replays import Replay
from wigeonport.trace_kinds import FaultsChanged
from wigeonport.traces import DEFAULT_ANSWER_DELAYS, TraceEvent, TraceHeader
from wigeonport.views import FAILED, READY, Size

END_MS = 180_000


class RandomTrace:
    """Builds random events that a platform could send.

    Attributes:
        random: Random number generator with the test's seed.
        fleet: FleetView of the trace.
        events: TraceEvents, unsorted until ``build`` returns.
    """

    __slots__ = ("random", "fleet", "events")

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.fleet = make_fleet()
        for vm in self.fleet.vms.values():
            vm.due_ms = self.random.choice((0, 86_400_000, 10**12))
        self.events = []

    def add(self, at_ms, event):
        """Adds an event that reaches the planner at ``at_ms``."""
        self.events.append(TraceEvent(1, at_ms, event))

    def build(self):
        """Adds all events; returns them in order of time."""
        self.add(0, events.FleetLoaded(self.fleet))
        self.add_leadership()
        self.add_zones()
        self.add_failures()
        self.add_demand()
        self.add_jobs()
        self.events.sort(key=lambda item: item.at_ms)
        return self.events

    def add_leadership(self):
        """Adds lease renewals with gaps and changes of term."""
        term = 1
        for at_ms in range(0, END_MS, 2_000):
            if self.random.random() < 0.03:
                term += 1
            if self.random.random() < 0.9:
                lease = events.LeadershipChanged(term, at_ms + 3_000)
                self.add(at_ms, lease)

    def add_zones(self):
        """Adds delayed zone reports; some are lost, some lack a VM."""
        for zone in ("ikeja", "lekki", "yaba"):
            for at_ms in range(0, END_MS, 2_000):
                names = [
                    vm.name
                    for vm in self.fleet.vms.values()
                    if vm.zone == zone and self.random.random() < 0.003
                ]
                if self.random.random() < 0.9:
                    delay_ms = self.random.randrange(1_500)
                    report = events.ZoneReported(zone, at_ms, tuple(names))
                    self.add(at_ms + delay_ms, report)

    def add_failures(self):
        """Adds failures and repairs; each report arrives once or twice."""
        for name in self.random.sample(sorted(self.fleet.vms), 6):
            failed_ms = self.random.randrange(END_MS)
            repaired_ms = failed_ms + self.random.randrange(60_000)
            for at_ms, state in ((failed_ms, FAILED), (repaired_ms, READY)):
                report = events.VmReported(name, state, at_ms * 1_000 + 999)
                for _ in range(self.random.choice((1, 2))):
                    self.add(at_ms, report)

    def add_demand(self):
        """Adds demand that jumps between levels; reports may arrive late."""
        level = 10
        for at_ms in range(0, END_MS, 1_000):
            for service in self.fleet.services:
                if self.random.random() < 0.1:
                    level = self.random.choice((0, 10, 40, 60, 100))
                lag_ms = self.random.randrange(3_000)
                report = events.DemandReported(service, level, at_ms)
                self.add(at_ms + lag_ms, report)

    def add_jobs(self):
        """Adds jobs of random size, faults, and one batch of cancellations."""
        names = []
        for number in range(120):
            name = f"job-{number}"
            names.append(name)
            size = Size(self.random.randrange(1, 24), 2 ** (number % 16))
            self.add(
                self.random.randrange(END_MS),
                events.JobSubmitted(
                    name,
                    "planners",
                    self.random.choice(("roster", "crusade")),
                    f"kind-{number % 4}",
                    size,
                    self.random.randrange(60_000),
                    self.random.random() < 0.1,
                    self.random.random() < 0.7,
                ),
            )
        faults = FaultsChanged(
            failing_workers=("roster-ikeja-1",),
            failing_jobs=tuple(self.random.sample(names, 5)),
            stuck_jobs=tuple(self.random.sample(names, 10)),
            stuck_reboots=("crusade-yaba-1",),
        )
        self.add(0, faults)
        cancelled = tuple(self.random.sample(names, 20))
        self.add(90_000, events.JobsCancelled(cancelled))


def check_tables(view):
    """Asserts that the job table's indexes and reserved sizes fit its jobs."""
    table = view.jobs
    on_vm = {name: vm for vm, names in table.on_vm.items() for name in names}
    assert on_vm == {
        name: job.vm for name, job in table.jobs.items() if job.vm
    }
    waiting = [
        name
        for queues in (table.waiting, table.urgent)
        for queue in queues.values()
        for name in queue
    ]
    idle = [name for name, job in table.jobs.items() if job.vm is None]
    assert sorted(waiting) == sorted(idle)
    for vm_name in table.on_vm:
        used = table.reserved_on(vm_name)
        cores = sum(
            table.jobs[name].size.cores for name in table.on_vm[vm_name]
        )
        assert used.cores == pytest.approx(cores)


def check_no_stale_jobs(replay):
    """Asserts that no job keeps its worker long after its task has ended.

    A job on a lost worker keeps it until its lease ends, and not longer.
    """
    table = replay.planner.view.jobs
    lease_ms = table.settings.task_lease_ms
    stale_jobs = []
    for name, job in table.jobs.items():
        if job.vm is None or name in replay.platform.tasks:
            continue
        expired = END_MS - job.lease_until_ms > lease_ms // 2
        assigned_ms = END_MS - job.started_ms
        not_released = job.state != LOST and assigned_ms > 2 * lease_ms
        if expired or not_released:
            stale_jobs.append(name)
    assert stale_jobs == []


@pytest.mark.parametrize("seed", range(12))
def test_random_trace_keeps_the_invariants(seed):
    """A combination of faults without a scenario can break an invariant."""
    settings = PlanSettings(
        weight_rollout=3.0 if seed % 2 else 30.0,
        move_price_s=2.0 if seed % 3 else 20.0,
    )
    header = TraceHeader(
        "", seed, 1_000, END_MS, settings, DEFAULT_ANSWER_DELAYS
    )
    replay = Replay(header, Planner(settings))
    record = replay.run(RandomTrace(seed).build())
    assert [str(each) for each in record.violations] == []
    assert record.measures.commands["drain_vm"] > 0
    assert record.measures.commands["start_task"] > 20
    check_tables(replay.planner.view)
    check_no_stale_jobs(replay)

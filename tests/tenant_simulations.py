"""Workers and leaders under random failures, for tests of tenants' limits."""

import itertools
import random

from batch_fixtures import make_queue, make_table

from wigeonport.batch_commands import (
    AdoptRoutes,
    CancelJob,
    SubmitJob,
)
from wigeonport.batch_dispatchers import BatchDispatcher
from wigeonport.batch_settings import BatchSettings
from wigeonport.batch_specs import JobSpec, Step
from wigeonport.states import ReplicatedState
from wigeonport.tenants import Tenant, TenantTable
from wigeonport.worker_reports import (
    Resources,
    RunEnd,
    RunReport,
    WorkerReport,
)

STEP_MS = 50
HEARTBEAT_MS = 400
# An answer takes up to this long; the worker drops none of them.
MAX_ANSWER_MS = 300
# Time for which the limits of an earlier version may still be in force: that
# of an answer on its way, and a heartbeat.
FORMER_LIMIT_MS = 1_000
TENANTS = ("birch", "cedar", "larch")
KINDS = (
    {"count": 6},
    {"count": 30, "memory_mb": 50},
    {"count": 3, "gang": True},
    {"count": 4, "duplicates": True},
    {"count": 2, "lasting": True, "max_unavailable": 1},
    {"count": 3, "fills": True},
)


def make_tenants(limits, weights=None):
    """Returns a TenantTable from a dict of name to Resources."""
    weights = weights or {}
    return TenantTable(
        [
            Tenant(name, [name], 0, weights.get(name, 1), limit)
            for name, limit in limits.items()
        ]
    )


class SimulatedWorker:
    """A worker that ends its runs at random and may be cut off.

    Attributes:
        name: Worker id, which is that of its machine as well.
        started_ms: Start of the current incarnation.
        sequence: Number of its last heartbeat.
        running: Maps pairs of task id and run number to the end of the run.
        ended: RunEnds that are not acknowledged.
        ends: Number of the last end.
        lease_until_ms: Time at which it stops its runs without an answer.
        cut_until_ms: Time until which nothing reaches or leaves it.
        due_ms: Time of the next heartbeat.
        answer: Tuple of arrival, start of the incarnation, sending of the
            heartbeat and WorkerOrders, or None.
    """

    __slots__ = (
        "name",
        "started_ms",
        "sequence",
        "running",
        "ended",
        "ends",
        "lease_until_ms",
        "cut_until_ms",
        "due_ms",
        "answer",
    )

    def __init__(self, name, now_ms):
        self.name = name
        self.cut_until_ms = 0
        self.restart(now_ms)

    def restart(self, now_ms):
        """Ends all runs and begins a new incarnation."""
        self.started_ms = now_ms
        self.sequence = 0
        self.running = {}
        self.ended = []
        self.ends = 0
        self.lease_until_ms = now_ms
        self.due_ms = now_ms
        self.answer = None

    def end(self, key, outcome):
        """Ends a run."""
        del self.running[key]
        self.ends += 1
        self.ended.append(RunEnd(self.ends, *key, outcome, ""))

    def make_report(self):
        """Returns the next heartbeat."""
        self.sequence += 1
        rows = [RunReport(*key, "", 100, 0) for key in self.running]
        return WorkerReport(
            worker_id=self.name,
            started_ms=self.started_ms,
            sequence=self.sequence,
            service="desk",
            machine=self.name,
            availability_zone="ikeja",
            rack="r1",
            labels=("r1",),
            capacity=Resources(8_000, 16_000, 0),
            draining=False,
            drain_remaining_ms=0,
            clock_ms=0,
            running=rows,
            ended=list(self.ended),
        )


class LimitSimulation:
    """Random jobs of some tenants on workers that fail, under leaders.

    Attributes:
        random: Source of all random choices.
        now_ms: Time on all clocks.
        dispatcher: BatchDispatcher of the current leader.
        workers: SimulatedWorkers.
        limits: Pairs of the time until which they count and a dict of
            tenant to Resources, newest last.
        starts: Number of runs that workers have started.
        highest: Maps tenant to the most CPU that it had running.
        numbers: Numbers of the jobs.
    """

    __slots__ = (
        "random",
        "now_ms",
        "dispatcher",
        "workers",
        "limits",
        "starts",
        "highest",
        "numbers",
    )

    def __init__(self, seed, workers=8):
        self.random = random.Random(seed)
        self.now_ms = 100_000
        limits = {name: Resources(9_000, 2_000, 0) for name in TENANTS}
        limits["larch"] = Resources(5_000, 0, 0)
        self.limits = [[None, limits]]
        table = make_table(1, [make_queue()])
        table.tenants = make_tenants(limits)
        state = ReplicatedState()
        state.routes.adopt(table)
        self.dispatcher = BatchDispatcher(
            state, BatchSettings(), 1, self.now_ms
        )
        self.workers = [
            SimulatedWorker(f"w{number}", self.now_ms)
            for number in range(workers)
        ]
        self.starts = 0
        self.highest = dict.fromkeys(TENANTS, 0)
        self.numbers = itertools.count(1)

    def run(self, duration_ms):
        """Runs the simulation, with all kinds of failures."""
        until_ms = self.now_ms + duration_ms
        actions = (
            (0.3, self.submit),
            (0.1, self.cancel),
            (0.02, self.restart_worker),
            (0.02, self.cut_worker),
            (0.01, self.change_leader),
            (0.02, self.change_limit),
        )
        while self.now_ms < until_ms:
            self.now_ms += STEP_MS
            self.dispatcher.on_tick(self.now_ms, self.now_ms)
            for likelihood, action in actions:
                if self.random.random() < likelihood:
                    action()
            for worker in self.workers:
                self.step_worker(worker)
            self.check_count()

    def submit(self):
        """Submits a job of a random kind and tenant."""
        values = {
            "cpu_milli": self.random.choice((500, 1_300, 2_000)),
            "memory_mb": 300,
            "estimated_ms": 800,
        } | self.random.choice(KINDS)
        spec = JobSpec("text", [Step(values)]).to_json()
        job_id = f"{next(self.numbers):016x}"
        tenant = self.random.choice(TENANTS)
        self.dispatcher.wall_ms = self.now_ms
        self.dispatcher.record(SubmitJob(job_id, "plans", spec, tenant))

    def cancel(self):
        """Cancels a random job."""
        job_id = self.random.choice(list(self.dispatcher.active) or [""])
        if job_id:
            self.dispatcher.record(CancelJob(job_id))

    def restart_worker(self):
        """Ends the process of a worker and starts it again."""
        self.random.choice(self.workers).restart(self.now_ms)

    def cut_worker(self):
        """Cuts off a worker, which runs on until its lease is over."""
        worker = self.random.choice(self.workers)
        worker.cut_until_ms = self.now_ms + self.random.randrange(500, 9_000)

    def change_leader(self):
        """Starts the term of a new leader from the replicated state."""
        self.dispatcher = BatchDispatcher(
            self.dispatcher.state,
            self.dispatcher.settings,
            self.dispatcher.term + 1,
            self.now_ms,
        )

    def change_limit(self):
        """Adopts a table with another limit of one tenant."""
        self.limits[-1][0] = self.now_ms + FORMER_LIMIT_MS
        limits = dict(self.limits[-1][1])
        cpu_milli = self.random.choice((2_500, 6_000, 12_000))
        limits[self.random.choice(TENANTS)] = Resources(cpu_milli, 2_000, 0)
        self.limits.append([None, limits])
        table = make_table(
            self.dispatcher.state.routes.table.version + 1, [make_queue()]
        )
        table.tenants = make_tenants(limits)
        self.dispatcher.record(AdoptRoutes(table.version, table.to_bytes()))

    def step_worker(self, worker):
        """Lets a worker end runs, take its answer and send a heartbeat."""
        if self.now_ms > worker.lease_until_ms:
            for key in list(worker.running):
                worker.end(key, "stopped")
        for key, end_ms in list(worker.running.items()):
            if self.now_ms >= end_ms:
                failed = self.random.random() < 0.05
                worker.end(key, "failed" if failed else "done")
        if self.now_ms < worker.cut_until_ms:
            worker.answer = None
            return
        if worker.answer is not None and self.now_ms >= worker.answer[0]:
            self.carry_out(worker, *worker.answer[1:])
            worker.answer = None
        if worker.answer is None and self.now_ms >= worker.due_ms:
            orders = self.dispatcher.on_report(
                worker.make_report(), self.now_ms, self.now_ms
            )
            self.dispatcher.take_operations()
            arrival_ms = self.now_ms + self.random.randrange(MAX_ANSWER_MS)
            worker.answer = (
                arrival_ms,
                worker.started_ms,
                self.now_ms,
                orders,
            )
            worker.due_ms = self.now_ms + HEARTBEAT_MS

    def carry_out(self, worker, started_ms, sent_ms, orders):
        """Carries out the orders in an answer to this incarnation."""
        if worker.started_ms != started_ms or not orders.run_lease_ms:
            return
        worker.lease_until_ms = sent_ms + orders.run_lease_ms
        worker.ended = [
            end for end in worker.ended if end.number > orders.acknowledged
        ]
        for key in orders.stops:
            if tuple(key) in worker.running:
                worker.end(tuple(key), "stopped")
        for start in orders.starts:
            key = (start.task, start.run)
            run_ms = self.random.randrange(100, 2_500)
            if self.find_step(key).lasting:
                run_ms = 10_000_000
            worker.running[key] = self.now_ms + run_ms
            self.starts += 1
            self.check_limit(key)

    def find_step(self, key):
        """Returns the Step of a run."""
        return self.dispatcher.find_task(key[0])[1].step

    def check_limit(self, key):
        """Checks after a start what its tenant has running in all.

        The workers are asked, not the dispatcher.
        """
        tenant = self.dispatcher.find_task(key[0])[0].tenant
        steps = [
            self.find_step(other)
            for worker in self.workers
            for other in worker.running
            if self.dispatcher.find_task(other[0])[0].tenant == tenant
        ]
        limits = [
            limits[tenant]
            for until_ms, limits in self.limits
            if until_ms is None or self.now_ms <= until_ms
        ]
        for name in Resources.__slots__:
            running = sum(getattr(step, name) for step in steps)
            needed = getattr(self.find_step(key), name)
            highest = max(getattr(limit, name) for limit in limits)
            limited = needed and all(getattr(each, name) for each in limits)
            # Below half of its limit a tenant may start one task more.
            allowed = max(highest, highest / 2 + needed)
            assert not limited or running <= allowed, (tenant, name, running)
        cpu_milli = sum(step.cpu_milli for step in steps)
        self.highest[tenant] = max(self.highest[tenant], cpu_milli)

    def check_count(self):
        """Checks the dispatcher's count against the replicated state."""
        expected = {}
        for job in self.dispatcher.state.batch.jobs.values():
            for _, _, _, step in job.live_runs():
                amounts = (step.cpu_milli, step.memory_mb, step.gpu, 1)
                sums = expected.get(job.tenant, (0, 0, 0, 0))
                expected[job.tenant] = tuple(
                    map(sum, zip(sums, amounts, strict=True))
                )
        counted = {
            name: tuple(usage.to_document().values())
            for name, usage in self.dispatcher.usage.by_tenant.items()
        }
        assert counted == expected

"""Tests of the shares of tenants in a pool, each under a stated load."""

import itertools

import pytest
from batch_fixtures import DispatcherHarness, make_table, started_runs
from tenant_simulations import make_tenants

from wigeonport.batch_commands import SubmitJob
from wigeonport.batch_dispatchers import BatchDispatcher
from wigeonport.batch_specs import JobSpec, Step
from wigeonport.worker_reports import Resources

ROUND_MS = 100
WORKERS = 5
CORES = 8
RUN_MS = 400
# Jobs of one task that the pool ends in a second.
RATE = WORKERS * CORES * 1_000 / RUN_MS
UNLIMITED = Resources(0, 0, 0)


class SharedPool:
    """A pool of workers whose tenants send jobs of equal tasks.

    Attributes:
        harness: DispatcherHarness.
        rates: Maps tenant to the jobs that it sends in a second.
        started: Maps tenant to the number of its runs since ``measure``.
        running: Maps worker to the start of its runs.
        ended: Maps worker to the rows of the ends that it reports next.
        numbers: Numbers of jobs and of ends.
        spec_json: Specification of each job.
    """

    __slots__ = (
        "harness",
        "rates",
        "started",
        "running",
        "ended",
        "numbers",
        "spec_json",
    )

    def __init__(self, weights, rates):
        table = make_table()
        limits = dict.fromkeys(weights, UNLIMITED)
        table.tenants = make_tenants(limits, weights)
        self.harness = DispatcherHarness(table)
        self.rates = rates
        self.started = {}
        self.running = {f"w{number}": {} for number in range(WORKERS)}
        self.ended = {name: [] for name in self.running}
        self.numbers = itertools.count(1)
        step = Step({"cpu_milli": 1_000, "estimated_ms": RUN_MS})
        self.spec_json = JobSpec("text", [step]).to_json()

    def run(self, duration_ms):
        """Runs the pool, and counts the starts from now on."""
        self.started = dict.fromkeys(self.rates, 0)
        for _ in range(duration_ms // ROUND_MS):
            self.harness.advance(ROUND_MS)
            for tenant, rate in self.rates.items():
                self.submit(tenant, rate * ROUND_MS / 1_000)
            for worker in self.running:
                self.report(worker)
            self.harness.dispatcher.take_operations()

    def submit(self, tenant, count):
        """Submits jobs; a part of a job is carried to later rounds."""
        now_ms, rate = self.harness.now_ms, self.rates[tenant]
        passed = now_ms // ROUND_MS
        count = int(passed * count) - int((passed - 1) * count) if rate else 0
        for _ in range(count):
            job_id = f"{next(self.numbers):016x}"
            self.harness.dispatcher.record(
                SubmitJob(job_id, "plans", self.spec_json, tenant)
            )

    def report(self, worker):
        """Sends a heartbeat of a worker and starts what it is ordered."""
        now_ms, running = self.harness.now_ms, self.running[worker]
        for key, start_ms in list(running.items()):
            if now_ms - start_ms >= RUN_MS:
                del running[key]
                self.ended[worker].append((next(self.numbers), *key, "done"))
        orders = self.harness.heartbeat(
            worker,
            running=list(running),
            ended=self.ended[worker],
            capacity=Resources(CORES * 1_000, 8_000, 0),
        )
        self.ended[worker] = []
        for key in started_runs(orders):
            running[key] = now_ms
            job = self.harness.dispatcher.find_task(key[0])[0]
            self.started[job.tenant] += 1

    def change_leader(self):
        """Starts the term of a new leader, which knows no tags."""
        dispatcher = self.harness.dispatcher
        self.harness.dispatcher = BatchDispatcher(
            dispatcher.state,
            dispatcher.settings,
            dispatcher.term + 1,
            self.harness.now_ms,
        )

    def shares(self):
        """Returns the share of each tenant in the starts."""
        total = sum(self.started.values())
        return {name: count / total for name, count in self.started.items()}


@pytest.mark.parametrize("with_new_leader", [False, True])
def test_starts_of_a_full_pool_follow_the_weights(with_new_leader):
    """Three tenants ask for twice the pool each, over 10 s.

    Their starts must follow their weights within 5%, also beside a change of
    leader.
    """
    weights = {"birch": 1, "cedar": 3, "larch": 6}
    pool = SharedPool(weights, dict.fromkeys(weights, RATE * 0.7))
    pool.run(3_000)
    if with_new_leader:
        pool.change_leader()
    pool.run(10_000)
    assert sum(pool.started.values()) >= 0.95 * RATE * 10
    for name, share in pool.shares().items():
        assert share == pytest.approx(weights[name] / 10, rel=0.05)


def test_hot_tenant_costs_the_others_nothing():
    """One tenant floods the pool, and nine ask for half of their shares.

    All jobs of the nine are to start in time, and the rest goes to the hot
    tenant.
    """
    weights = {f"t{number}": 1 for number in range(10)}
    rates = dict.fromkeys(weights, RATE * 0.05) | {"t0": RATE * 1.5}
    pool = SharedPool(weights, rates)
    pool.run(10_000)
    for name in list(weights)[1:]:
        assert pool.started[name] >= 0.95 * 10 * RATE * 0.05
    assert sum(pool.started.values()) >= 0.95 * RATE * 10
    known = pool.harness.dispatcher.state.batch.jobs.values()
    small = [job for job in known if job.tenant != "t0" and job.finished_ms]
    in_time = [job.finished_ms - job.submitted_ms <= 3_600 for job in small]
    assert sum(in_time) >= 0.95 * len(in_time)


def test_idle_share_is_lent_and_comes_back():
    """A tenant that returns gets its share within 2 s.

    These are the run time of a task, the time of a ranking, and a lag of at
    most a second of the pool.
    """
    weights = {"birch": 1, "cedar": 1}
    rates = {"birch": 0, "cedar": RATE * 2}
    pool = SharedPool(weights, rates)
    pool.run(5_000)
    assert pool.started["cedar"] >= 0.95 * RATE * 5
    rates["birch"] = RATE * 2
    pool.run(2_000)
    pool.run(5_000)
    assert pool.shares()["birch"] == pytest.approx(0.5, rel=0.05)


def test_pool_with_room_is_not_divided():
    """A tenant of low weight gets all that it asks for beside idle ones."""
    weights = {"birch": 1, "cedar": 99}
    pool = SharedPool(weights, {"birch": RATE * 0.8, "cedar": RATE * 0.1})
    pool.run(5_000)
    assert pool.started["birch"] >= 0.95 * RATE * 0.8 * 5


def test_backlog_of_a_tenant_at_its_limit_fills_no_pool():
    """A tenant with a limit of an eighth of the pool sends half of its work.

    The other asks for half of the pool. All of its jobs start, and its
    objectives alone decide on their order: the pool has room.
    """
    weights = {"birch": 1, "cedar": 1}
    pool = SharedPool(weights, dict.fromkeys(weights, RATE / 2))
    limit = Resources(WORKERS * CORES * 1_000 // 8, 0, 0)
    pool.harness.dispatcher.state.routes.table.tenants = make_tenants(
        {"birch": limit, "cedar": UNLIMITED}
    )
    pool.run(10_000)
    assert pool.started["cedar"] >= 0.95 * 10 * RATE / 2
    assert pool.started["birch"] >= 0.9 * 10 * RATE / 8
    shares = pool.harness.dispatcher.shares["desk"]
    assert shares.limited == {"birch"}
    assert not shares.full

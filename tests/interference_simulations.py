"""Simulation of kinds of task that slow each other down on one worker.

The workers of one service run tasks whose speed depends on what runs beside
them. It has a manual clock, without network or processes.
"""

import heapq
import itertools
import math

from batch_fixtures import DispatcherHarness, make_queue, make_table

from wigeonport.batch_dispatchers import BatchDispatcher
from wigeonport.worker_reports import Resources

CAPACITY = Resources(16_000, 64_000, 0)
ANSWER_MS = 80
AFTER_END_MS = 50
TICK_MS = 100
TASKS = 4
TAIL_FACTOR = 7
QUEUES = ("plans", "maps", "holds", "fees")
SLOW_DOWNS = {("plans", "maps"): 2.0, ("maps", "plans"): 2.0}
TRUE_PAIRS = {(f"{kind}.0", f"{other}.0") for kind, other in SLOW_DOWNS}


class Load:
    """What a simulated load consists of.

    Attributes:
        slow_downs: Maps pairs of queue and neighbouring queue to the factor
            by which tasks of the first take longer beside the second.
        jobs_per_s: Mean number of jobs of each queue per second.
        workers: Number of workers.
        tail_share: Share of the tasks that take TAIL_FACTOR as long.
        slow_worker: Factor by which the first worker is slower.
        estimate_spread: Standard deviation of the log error of estimates.
        leader_changes_ms: Times at which a new leader starts its term.
        length_ms: Time for which jobs arrive.
    """

    __slots__ = (
        "slow_downs",
        "jobs_per_s",
        "workers",
        "tail_share",
        "slow_worker",
        "estimate_spread",
        "leader_changes_ms",
        "length_ms",
    )

    def __init__(self, **values):
        self.slow_downs = values.get("slow_downs", SLOW_DOWNS)
        self.jobs_per_s = values.get("jobs_per_s", 0.7)
        self.workers = values.get("workers", 8)
        self.tail_share = values.get("tail_share", 0.0)
        self.slow_worker = values.get("slow_worker", 1.0)
        self.estimate_spread = values.get("estimate_spread", 0.2)
        self.leader_changes_ms = values.get("leader_changes_ms", ())
        self.length_ms = values.get("length_ms", 120_000)


class SimulatedRun:
    """A run on a simulated worker.

    Attributes:
        kind: Name of its queue.
        remaining_ms: Run time that is left at full speed.
    """

    __slots__ = ("kind", "remaining_ms")

    def __init__(self, kind, remaining_ms):
        self.kind = kind
        self.remaining_ms = remaining_ms


class SimulatedWorker:
    """A worker whose runs slow each other down.

    Attributes:
        name: Worker id.
        slow_by: Factor by which all of its runs take longer.
        runs: Maps pairs of task id and run number to SimulatedRun.
        ended: Rows of the ends that are not acknowledged.
        ends: Number of the last end.
        updated_ms: Time up to which the runs have advanced.
        version: Number of changes of its runs, which make the end that was
            scheduled before invalid.
    """

    __slots__ = (
        "name",
        "slow_by",
        "runs",
        "ended",
        "ends",
        "updated_ms",
        "version",
    )

    def __init__(self, name, slow_by):
        self.name = name
        self.slow_by = slow_by
        self.runs = {}
        self.ended = []
        self.ends = 0
        self.updated_ms = 0
        self.version = 0

    def factor(self, run, slow_downs):
        """Returns by which factor a run is slower now."""
        factor = self.slow_by
        for kind in {other.kind for other in self.runs.values()}:
            factor *= slow_downs.get((run.kind, kind), 1.0)
        return factor

    def advance(self, now_ms, slow_downs):
        """Advances the runs; returns the time until the next one ends."""
        passed_ms, self.updated_ms = now_ms - self.updated_ms, now_ms
        for run in self.runs.values():
            run.remaining_ms -= passed_ms / self.factor(run, slow_downs)
        for key, run in list(self.runs.items()):
            if run.remaining_ms <= 0.5:
                del self.runs[key]
                self.ends += 1
                self.ended.append((self.ends, *key, "done"))
        return min(
            (
                run.remaining_ms * self.factor(run, slow_downs)
                for run in self.runs.values()
            ),
            default=None,
        )


class InterferenceSimulation:
    """Plays a Load on the dispatcher.

    Attributes:
        load: Load.
        random: Source of random numbers.
        harness: DispatcherHarness.
        workers: List of SimulatedWorker.
        jobs: Maps job id to queue, run times of the tasks and objective.
        events: Heap of the events.
        counter: Numbers the events.
        found: Maps pairs that were taken up to the time of the first one.
    """

    __slots__ = (
        "load",
        "random",
        "harness",
        "workers",
        "jobs",
        "events",
        "counter",
        "found",
    )

    def __init__(self, load, random, separate=True):
        self.load = load
        self.random = random
        queues = [
            make_queue(name, target_latency_ms=1_000, stretch=1.3)
            for name in QUEUES
        ]
        self.harness = DispatcherHarness(make_table(queues=queues))
        settings = self.harness.dispatcher.settings
        settings.separate_interfering_tasks = separate
        self.start_term()
        self.workers = [
            SimulatedWorker(
                f"w{number}", load.slow_worker if not number else 1
            )
            for number in range(load.workers)
        ]
        self.jobs = {}
        self.events = []
        self.counter = itertools.count()
        self.found = {}

    def start_term(self):
        """Starts the dispatcher of a new leader from the state."""
        former = self.harness.dispatcher
        self.harness.dispatcher = BatchDispatcher(
            former.state,
            former.settings,
            former.term + 1,
            self.harness.now_ms,
        )

    def after(self, delay_ms, action, *arguments):
        """Schedules an action."""
        time_ms = self.harness.now_ms + delay_ms
        event = (time_ms, next(self.counter), action, arguments)
        heapq.heappush(self.events, event)

    def run(self):
        """Plays the load; returns the share of jobs that were in time."""
        start_ms = self.harness.now_ms
        for worker in self.workers:
            worker.updated_ms = start_ms
            self.after(self.random.randrange(400), self.beat, worker)
        for queue in QUEUES:
            self.after(1_000, self.arrive, queue, start_ms)
        for change_ms in self.load.leader_changes_ms:
            self.after(change_ms, self.start_term)
        self.after(TICK_MS, self.tick, start_ms)
        end_ms = start_ms + self.load.length_ms + 15_000
        while self.events and self.events[0][0] <= end_ms:
            time_ms, _, action, arguments = heapq.heappop(self.events)
            self.harness.now_ms = time_ms
            action(*arguments)
        return self.share_in_time()

    def tick(self, start_ms):
        """Runs the timers of the leader, and records the pairs taken up."""
        self.harness.advance(0)
        dispatcher = self.harness.dispatcher
        dispatcher.take_operations()
        if dispatcher.interference is not None:
            for evidence in dispatcher.interference.services.values():
                for kind, found in evidence.separated.items():
                    for neighbour in found:
                        passed_ms = self.harness.now_ms - start_ms
                        self.found.setdefault((kind, neighbour), passed_ms)
        self.after(TICK_MS, self.tick, start_ms)

    def arrive(self, queue, start_ms):
        """Submits a job and schedules the next one of its queue."""
        if self.harness.now_ms - start_ms > self.load.length_ms:
            return
        vary = self.random.lognormvariate
        run_ms = 1_500 * vary(0, 0.35)
        times_ms = [run_ms * vary(0, 0.28) for _ in range(TASKS)]
        objective_ms = 1.3 * max(times_ms) + 1_000
        for index in range(TASKS):
            if self.random.random() < self.load.tail_share:
                times_ms[index] *= TAIL_FACTOR
        job_id = f"{len(self.jobs):016x}"
        objective_ms += self.harness.now_ms
        self.jobs[job_id] = (queue, times_ms, objective_ms)
        step = {
            "count": TASKS,
            "cpu_milli": 2_000,
            "memory_mb": 1_000,
            "estimated_ms": int(run_ms * vary(0, self.load.estimate_spread)),
        }
        self.harness.submit(step, job_id=job_id, queue=queue)
        next_ms = self.random.expovariate(self.load.jobs_per_s) * 1_000
        self.after(math.ceil(next_ms), self.arrive, queue, start_ms)

    def beat(self, worker):
        """Sends the regular heartbeats of a worker."""
        self.report(worker)
        interval_ms = self.harness.dispatcher.heartbeat_interval_ms
        self.after(interval_ms, self.beat, worker)

    def report(self, worker):
        """Sends a heartbeat."""
        now_ms = self.harness.now_ms
        worker.advance(now_ms, self.load.slow_downs)
        orders = self.harness.heartbeat(
            worker.name,
            [(*key, "", None) for key in worker.runs],
            worker.ended,
            capacity=CAPACITY,
            clock_ms=now_ms,
        )
        self.after(ANSWER_MS, self.carry_out, worker, orders)

    def carry_out(self, worker, orders):
        """Carries out the orders in the answer to a heartbeat."""
        worker.advance(self.harness.now_ms, self.load.slow_downs)
        worker.ended = [
            end for end in worker.ended if end[0] > orders.acknowledged
        ]
        for start in orders.starts:
            key = (start.task, start.run)
            job_id, _, _, index = start.task.split(".")
            queue, times_ms, _ = self.jobs[job_id]
            if key not in worker.runs:
                worker.runs[key] = SimulatedRun(queue, times_ms[int(index)])
        if orders.starts:
            self.schedule_end(worker)

    def schedule_end(self, worker):
        """Schedules the next end on a worker after its runs have changed."""
        worker.version += 1
        next_ms = worker.advance(self.harness.now_ms, self.load.slow_downs)
        if next_ms is not None:
            delay_ms = math.ceil(next_ms)
            self.after(delay_ms, self.end_runs, worker, worker.version)

    def end_runs(self, worker, version):
        """Ends runs that are over, and reports them soon."""
        if version != worker.version:
            return
        self.schedule_end(worker)
        self.after(AFTER_END_MS, self.report, worker)

    def share_in_time(self):
        """Returns the share of the jobs that were completed in time."""
        known = self.harness.dispatcher.state.batch.jobs
        in_time = [
            known[job_id].state == "completed"
            and known[job_id].finished_ms <= objective_ms
            for job_id, (_, _, objective_ms) in self.jobs.items()
        ]
        return sum(in_time) / len(in_time)

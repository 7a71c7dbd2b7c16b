"""Simulation of a day's load on the dispatcher and the machine manager.

Workers, the platform's moves and the callers are simulated on a manual clock,
without network or processes, so that a load pattern and its seed always give
the same result.
"""

import heapq
import itertools
import math
import random

from batch_fixtures import HOST, make_queue, make_table

from wigeonport.batch_calls import OK, SUBMIT, BatchCall
from wigeonport.batch_commands import MOVE, OpenWave
from wigeonport.batch_dispatchers import BatchDispatcher
from wigeonport.batch_settings import BatchSettings
from wigeonport.batch_specs import JobSpec, Step
from wigeonport.clocks import ManualClock
from wigeonport.machine_managers import MachineManager
from wigeonport.machine_orders import (
    EXECUTED,
    UP,
    MachineAnswered,
    MachineListed,
    MachineRow,
)
from wigeonport.states import ReplicatedState
from wigeonport.worker_reports import (
    Resources,
    RunEnd,
    RunReport,
    WorkerReport,
)

START_MS = 100_000
LEAD_MS = 16_000
AFTER_MS = 30_000
TICK_MS = 100
LIST_MS = 400
MOVE_MS = 1_500
UPKEEP_MS = 2_000
# Time from the order of a move or an upkeep to its execution.
ORDER_MS = 300
AFTER_END_MS = 50
# Time in which the leader commits and answers a heartbeat.
ANSWER_MS = 80
STANDBY = "spare"
# Length of a turn of demand, and its factors on the mean demand of a kind.
TURN_MS = 10_000
PEAK_FACTOR = 5.5
CALM_FACTOR = 0.05
# Divisor of the workers and arrivals of the large deployment.
SCALE = 5
RETRY_MS = 1_000
# Time after which a heartbeat that reached no leader is sent again.
RETRY_HEARTBEAT_MS = 300


class JobKind:
    """A kind of job: how often it comes and what it needs.

    Attributes:
        name: Name of the queue and of its service.
        per_s: Mean number of jobs per second.
        steps: Mean number of steps.
        width: Mean number of tasks of a step.
        run_ms: Mean run time of a task.
        cpu_milli: Mean CPU of a task.
        memory_mb: Mean memory of a task.
        machines: Machines of its pool.
        lasting: Tasks of the lasting job of its pool.
        estimate_factor: Median of the callers' estimates, as a multiple of
            the run time.
        estimate_spread: Spread of the callers' estimates, as a standard
            deviation of their logarithm.
        tail_share: Share of its tasks that take longer than the others.
        tail_factor: Maximum factor of their run time.
    """

    __slots__ = (
        "name",
        "per_s",
        "steps",
        "width",
        "run_ms",
        "cpu_milli",
        "memory_mb",
        "machines",
        "lasting",
        "estimate_factor",
        "estimate_spread",
        "tail_share",
        "tail_factor",
    )

    def __init__(
        self, name, per_s, steps, run_ms, cpu_milli, memory_mb, machines
    ):
        self.name = name
        self.per_s = per_s
        self.steps = steps
        self.width = 8
        self.run_ms = run_ms
        self.cpu_milli = cpu_milli
        self.memory_mb = memory_mb
        self.machines = machines
        self.lasting = 5
        self.estimate_factor = 1.0
        self.estimate_spread = 0.2
        self.tail_share = 0.0
        self.tail_factor = 1.0


def lasting_job_id(kind):
    """Returns the id of the lasting job of a JobKind: its name in digits."""
    return kind.name.encode().hex().ljust(16, "f")[:16]


class Deployment:
    """Machines, kinds of job and prices of a deployment.

    Attributes:
        kinds: JobKinds, whose demand peaks by turns.
        machine: Resources of each machine.
        standby: Number of machines on standby.
        machine_price: Price of a second of a machine in a pool.
        move_price: Price of a move.
        owed: Worth of all jobs of a day.
        settings: BatchSettings.
    """

    __slots__ = (
        "kinds",
        "machine",
        "standby",
        "machine_price",
        "move_price",
        "owed",
        "settings",
    )


def make_large():
    """Returns a fifth of a deployment whose pools are short of room."""
    deployment = Deployment()
    deployment.kinds = [
        JobKind("replan", 17.9 / SCALE, 1.6, 640, 2_300, 8_300, 10),
        JobKind("build", 2.84 / SCALE, 2.0, 1_700, 4_900, 18_000, 11),
        JobKind("cortege", 22.3 / SCALE, 1.6, 640, 2_300, 8_300, 12),
        JobKind("march", 3.47 / SCALE, 2.0, 1_700, 4_900, 18_000, 13),
    ]
    deployment.machine = Resources(16_000, 65_536, 0)
    deployment.standby = 9
    deployment.machine_price = 0.023
    deployment.move_price = 0.031
    deployment.owed = 308
    deployment.settings = BatchSettings()
    # The interval of 276 workers.
    deployment.settings.heartbeat_interval_ms = 1_100
    return deployment


def make_roomy():
    """Returns a small deployment whose pools have much room to spare."""
    deployment = Deployment()
    deployment.kinds = [
        JobKind("hold", 4.5, 1.6, 800, 1_800, 6_500, 8),
        JobKind("plan", 0.548, 2.0, 2_100, 3_800, 14_000, 8),
        JobKind("hire", 5.62, 1.6, 800, 1_800, 6_500, 8),
        JobKind("draw", 0.67, 2.0, 2_100, 3_800, 14_000, 8),
    ]
    deployment.machine = Resources(32_000, 131_072, 0)
    deployment.standby = 8
    deployment.machine_price = 0.077
    deployment.move_price = 0.106
    deployment.owed = 510
    deployment.settings = BatchSettings()
    return deployment


def make_uneven():
    """Returns a fifth of a deployment with wrong estimates and long tails."""
    deployment = Deployment()
    deployment.kinds = [
        JobKind("hold", 9.09 / SCALE, 1.6, 850, 1_500, 1_600, 7),
        JobKind("map", 2.19 / SCALE, 2.0, 1_400, 3_300, 3_500, 7),
        JobKind("gear", 11.3 / SCALE, 1.6, 850, 1_500, 1_600, 8),
        JobKind("route", 2.67 / SCALE, 2.0, 1_400, 3_300, 3_500, 9),
    ]
    for kind in deployment.kinds:
        kind.estimate_factor = 0.65
        kind.estimate_spread = 0.9
        kind.tail_share = 0.03
        kind.tail_factor = 7.0
    deployment.machine = Resources(16_000, 32_768, 0)
    deployment.standby = 6
    deployment.machine_price = 0.022
    deployment.move_price = 0.025
    deployment.owed = 300
    deployment.settings = BatchSettings()
    # The interval of 180 workers.
    deployment.settings.heartbeat_interval_ms = 720
    return deployment


class SimulatedMachine:
    """A machine with the worker that runs on it.

    Attributes:
        name: Name of the machine.
        capacity: Its Resources.
        pool: Pool that it is in.
        up: Whether it is up; otherwise it moves between pools.
        lives: Number of workers that have run on it.
        sequence: Number of its last heartbeat.
        runs: Maps pairs of task id and run number to the start and end of
            the run, in ms.
        ended: RunEnds that have not been reported.
        ends: Number of the last end.
        silent_until_ms: Time until which its heartbeats are lost.
        waiting: Whether a heartbeat has no answer yet.
    """

    __slots__ = (
        "name",
        "capacity",
        "pool",
        "up",
        "lives",
        "sequence",
        "runs",
        "ended",
        "ends",
        "silent_until_ms",
        "waiting",
    )

    def __init__(self, name, pool, capacity):
        self.name = name
        self.capacity = capacity
        self.pool = pool
        self.up = True
        self.lives = 0
        self.silent_until_ms = 0
        self.restart()

    def restart(self):
        """Starts a new worker without runs."""
        self.lives += 1
        self.sequence = 0
        self.runs = {}
        self.ended = []
        self.ends = 0
        self.waiting = False

    def finish_runs(self, now_ms):
        """Moves the runs that are over to the ends."""
        for key, (_, end_ms) in list(self.runs.items()):
            if end_ms <= now_ms:
                del self.runs[key]
                self.add_end(key, "done")

    def add_end(self, key, outcome):
        """Adds the end of a run."""
        self.ends += 1
        self.ended.append(RunEnd(self.ends, *key, outcome, ""))

    def report(self, now_ms):
        """Returns the WorkerReport of the next heartbeat."""
        self.sequence += 1
        running = []
        for (task, run), (start_ms, end_ms) in self.runs.items():
            percent = int(100 * (now_ms - start_ms) / (end_ms - start_ms))
            lasting = end_ms - start_ms > 1_000_000
            running.append(
                RunReport(task, run, "", 100 if lasting else percent, 0)
            )
        return WorkerReport(
            worker_id=f"w-{self.name}-{self.lives}",
            started_ms=self.lives,
            sequence=self.sequence,
            service=self.pool,
            machine=self.name,
            availability_zone="ikeja",
            rack="r1",
            labels=("a", "r1"),
            capacity=self.capacity,
            draining=False,
            drain_remaining_ms=0,
            clock_ms=now_ms,
            running=running,
            ended=self.ended,
        )


class SubmittedJob:
    """A job that a caller has sent.

    Attributes:
        job_id: Its id.
        kind: JobKind.
        sent_ms: Time of the first attempt.
        objective_ms: Time by which it should be completed.
        work: Core-ms of its tasks.
        run_times: Maps step number to the run times of its tasks, in ms.
        spec_json: Specification of the job.
        refusals: Number of attempts that were refused.
        accepted: Whether it has been accepted.
    """

    __slots__ = (
        "job_id",
        "kind",
        "sent_ms",
        "objective_ms",
        "work",
        "run_times",
        "spec_json",
        "refusals",
        "accepted",
    )

    def __init__(self, job_id, kind, sent_ms):
        self.job_id = job_id
        self.kind = kind
        self.sent_ms = sent_ms
        self.objective_ms = 0
        self.work = 0
        self.run_times = {}
        self.spec_json = ""
        self.refusals = 0
        self.accepted = False


class LoadResult:
    """What a simulated day gave.

    Attributes:
        owed: Maps the name of a kind to the number of its jobs.
        in_time: Maps the name of a kind to those completed in time.
        machine_s: Seconds of machines in pools.
        moves: Number of moves.
        refused: Number of jobs that were refused for good.
        large_share: Share of the largest tenth that was in time.
        credit: Maps the name of a kind to the share of the worth of its jobs
            that was earned.
    """

    __slots__ = (
        "owed",
        "in_time",
        "machine_s",
        "moves",
        "refused",
        "large_share",
        "credit",
    )

    def __init__(self):
        self.credit = {}
        self.owed = {}
        self.in_time = {}
        self.machine_s = 0
        self.moves = 0
        self.refused = 0
        self.large_share = 0

    def net_worth(self, deployment):
        """Returns the credit less the prices of machines and moves.

        Both are shares of the worth of all jobs.
        """
        whole = sum(self.credit.values()) / len(self.credit)
        price = (
            deployment.machine_price * self.machine_s
            + deployment.move_price * self.moves
        ) / deployment.owed
        return 0.76 * whole + 0.24 * min(self.credit.values()) - price

    def share(self, *names):
        """Returns the share of the jobs of some kinds that were in time."""
        names = names or self.owed
        return sum(self.in_time[n] for n in names) / sum(
            self.owed[n] for n in names
        )


class LoadSimulation:
    """A simulated day.

    Attributes:
        random: Source of random numbers.
        clock: ManualClock.
        dispatcher: BatchDispatcher.
        manager: MachineManager.
        machines: Maps the name of a machine to SimulatedMachine.
        jobs: Maps job id to SubmittedJob.
        queue: Heap of pending events: time, tie breaker, function, arguments.
        counter: Numbers events, which breaks ties of their times.
        deployment: Deployment.
        result: LoadResult.
        length_ms: Length of the traffic.
        load: Factor on the arrivals.
        paused_until_ms: Time until which no leader answers.
    """

    __slots__ = (
        "random",
        "clock",
        "dispatcher",
        "manager",
        "machines",
        "jobs",
        "queue",
        "counter",
        "deployment",
        "result",
        "length_ms",
        "load",
        "paused_until_ms",
    )

    def __init__(self, deployment, seed, load=1.0, length_ms=40_000):
        self.random = random.Random(seed)
        self.clock = ManualClock(START_MS)
        self.deployment = deployment
        kinds, settings = deployment.kinds, deployment.settings
        queues = [
            make_queue(kind.name, kind.name, stretch=1.6) for kind in kinds
        ]
        queues += [
            make_queue(f"{kind.name}-watch", kind.name) for kind in kinds
        ]
        state = ReplicatedState()
        state.routes.adopt(make_table(queues=queues, standby=[STANDBY]))
        self.dispatcher = BatchDispatcher(state, settings, 1, START_MS)
        self.manager = MachineManager(None, settings, "node", self.clock)
        self.manager.start_term(START_MS)
        self.machines = {}
        for kind in kinds:
            self.add_machines(kind.name, kind.machines)
        self.add_machines(STANDBY, deployment.standby)
        self.jobs = {}
        self.queue = []
        self.counter = itertools.count()
        self.result = LoadResult()
        self.length_ms = length_ms
        self.load = load
        self.paused_until_ms = 0

    def add_machines(self, pool, count):
        """Adds machines to a pool."""
        for number in range(count):
            name = f"{pool}-{number:02}"
            self.machines[name] = SimulatedMachine(
                name, pool, self.deployment.machine
            )

    @property
    def now_ms(self):
        """Current time in ms."""
        return self.clock.now_ms

    def at(self, time_ms, action, *arguments):
        """Schedules an action."""
        event = (time_ms, next(self.counter), action, arguments)
        heapq.heappush(self.queue, event)

    def run(self, after_ms=AFTER_MS):
        """Plays the day and returns its LoadResult.

        Args:
            after_ms: Time after the traffic in which the last jobs end.
        """
        for machine in self.machines.values():
            if machine.pool != STANDBY:
                delay_ms = self.random.randrange(1_000)
                self.at(START_MS + delay_ms, self.heartbeat, machine, 1)
        self.at(START_MS, self.tick)
        self.at(START_MS, self.list_machines)
        for kind in self.deployment.kinds:
            self.at(START_MS + 500, self.start_lasting, kind)
        first_ms = START_MS + LEAD_MS
        for phase, kind in enumerate(self.deployment.kinds):
            self.plan_arrivals(kind, phase, first_ms)
        end_ms = first_ms + self.length_ms + after_ms
        while self.queue and self.queue[0][0] <= end_ms:
            time_ms, _, action, arguments = heapq.heappop(self.queue)
            self.clock.now_ms = time_ms
            action(*arguments)
        self.evaluate()
        return self.result

    def plan_arrivals(self, kind, phase, first_ms):
        """Schedules the jobs of a kind.

        The demand comes by turns. It rises and falls within a turn, to
        ``PEAK_FACTOR`` times its mean, and is low between the turns.
        """
        time_ms = first_ms
        while time_ms < first_ms + self.length_ms:
            turn, passed_ms = divmod(time_ms - first_ms, TURN_MS)
            factor = CALM_FACTOR
            if turn % len(self.deployment.kinds) == phase:
                factor += PEAK_FACTOR * math.sin(math.pi * passed_ms / TURN_MS)
            rate = kind.per_s * self.load * factor
            step_ms = self.random.expovariate(rate) * 1_000
            if step_ms > 500:
                # The rate may change before the next job.
                time_ms += 500
                continue
            time_ms += step_ms
            self.at(int(time_ms), self.arrive, kind)

    def start_lasting(self, kind):
        """Submits the lasting job of a pool."""
        step = Step(
            {
                "count": kind.lasting,
                "cpu_milli": 2_400,
                "memory_mb": 17_000,
                "lasting": True,
                "max_per_worker": 1,
                "max_unavailable": 1,
            }
        )
        spec = JobSpec("watch", [step]).to_json()
        reply = self.submit(f"{kind.name}-watch", lasting_job_id(kind), spec)
        assert reply.outcome == OK

    def arrive(self, kind):
        """Makes a job of a kind and sends it."""
        job = SubmittedJob(f"{len(self.jobs):016x}", kind, self.now_ms)
        self.jobs[job.job_id] = job
        steps, chain_ms = [], 0
        count = max(1, min(4, round(self.random.gauss(kind.steps, 0.6))))
        run_ms = kind.run_ms * self.vary(0.4)
        for number in range(count):
            width = max(1, min(32, round(kind.width * self.vary(0.55))))
            cpu = int(
                min(
                    self.deployment.machine.cpu_milli,
                    kind.cpu_milli * self.vary(0.4),
                )
            )
            memory = int(min(54_000, kind.memory_mb * self.vary(0.5)))
            times = [run_ms * self.vary_task(kind) for _ in range(width)]
            job.run_times[number] = [int(each) for each in times]
            job.work += sum(times) * cpu / 1_000
            chain_ms += max(times)
            steps.append(
                Step(
                    {
                        "count": width,
                        "cpu_milli": cpu,
                        "memory_mb": memory,
                        "estimated_ms": self.estimate(kind, run_ms),
                        "depends_on": [number - 1] if number else [],
                    }
                )
            )
        job.objective_ms = self.now_ms + int(1.6 * chain_ms) + 3_600
        job.spec_json = JobSpec("text", steps).to_json()
        self.send(job)

    def vary(self, spread):
        """Returns a random factor with a mean of about 1."""
        return self.random.lognormvariate(-spread * spread / 2, spread)

    def estimate(self, kind, run_ms):
        """Returns a caller's estimate of a run time, in ms."""
        factor = kind.estimate_factor * self.vary(kind.estimate_spread)
        return int(run_ms * factor)

    def vary_task(self, kind):
        """Returns the random factor of the run time of one task."""
        factor = self.vary(0.28)
        if kind.tail_share and self.random.random() < kind.tail_share:
            factor *= self.random.uniform(1.0, kind.tail_factor)
        return factor

    def send(self, job):
        """Sends a job; a refused one is sent again, as callers do."""
        if self.now_ms < self.paused_until_ms:
            if job.refusals < 4:
                self.at(self.now_ms + RETRY_MS, self.send, job)
            job.refusals += 1
            return
        reply = self.submit(job.kind.name, job.job_id, job.spec_json)
        job.accepted = reply.outcome == OK
        if job.accepted:
            return
        job.refusals += 1
        if job.refusals <= 4:
            self.at(self.now_ms + RETRY_MS, self.send, job)

    def submit(self, queue, job_id, spec_json):
        """Submits a job and returns the BatchReply."""
        call = BatchCall(SUBMIT, HOST, f"/{queue}/{job_id}", spec_json)
        return self.dispatcher.on_call(call, self.now_ms)

    def heartbeat(self, machine, life):
        """Sends the regular heartbeats of a machine."""
        if machine.lives != life or not machine.up:
            return
        interval_ms = self.dispatcher.heartbeat_interval_ms
        if not self.report(machine):
            interval_ms = RETRY_HEARTBEAT_MS
        self.at(self.now_ms + interval_ms, self.heartbeat, machine, life)

    def report(self, machine):
        """Sends a heartbeat; returns False if it does not reach a leader."""
        if self.now_ms < max(machine.silent_until_ms, self.paused_until_ms):
            return False
        if machine.waiting:
            return True
        machine.waiting = True
        machine.finish_runs(self.now_ms)
        orders = self.dispatcher.on_report(
            machine.report(self.now_ms), self.now_ms, self.now_ms
        )
        self.at(
            self.now_ms + ANSWER_MS,
            self.carry_out_answer,
            machine,
            machine.lives,
            orders,
        )
        return True

    def carry_out_answer(self, machine, life, orders):
        """Carries out the orders in the answer to a heartbeat."""
        if machine.lives != life or not machine.up:
            return
        machine.waiting = False
        machine.ended = [
            end for end in machine.ended if end.number > orders.acknowledged
        ]
        for key in orders.stops:
            if machine.runs.pop(key, None):
                machine.add_end(key, "stopped")
        for start in orders.starts:
            self.start_run(machine, life, (start.task, start.run))
        machine.finish_runs(self.now_ms)
        if machine.ended:
            self.at(self.now_ms + AFTER_END_MS, self.report_end, machine, life)

    def start_run(self, machine, life, key):
        """Starts a run on a machine."""
        if key in machine.runs:
            return
        job_id, _, number, index = key[0].rsplit(".", 3)
        job = self.jobs.get(job_id)
        if job is None:
            machine.runs[key] = (self.now_ms, self.now_ms + 10_000_000)
            return
        duration_ms = max(20, job.run_times[int(number)][int(index)])
        end_ms = self.now_ms + duration_ms
        machine.runs[key] = (self.now_ms, end_ms)
        self.at(end_ms + AFTER_END_MS, self.report_end, machine, life)

    def report_end(self, machine, life):
        """Sends a heartbeat after an end, beside the regular ones."""
        if machine.lives != life or not machine.up:
            return
        machine.finish_runs(self.now_ms)
        if machine.ended:
            self.report(machine)

    def tick(self):
        """Runs the timers of the leader, and counts the machines in pools.

        Only the seconds of the traffic are counted.
        """
        passed_ms = self.now_ms - START_MS - LEAD_MS
        if 0 <= passed_ms < self.length_ms:
            in_pools = sum(m.pool != STANDBY for m in self.machines.values())
            self.result.machine_s += in_pools * TICK_MS / 1_000
        self.at(self.now_ms + TICK_MS, self.tick)
        if self.now_ms < self.paused_until_ms:
            return
        self.dispatcher.on_tick(self.now_ms, self.now_ms)
        for _, order in self.manager.on_tick(self.dispatcher, self.now_ms):
            self.carry_out(order)
        self.dispatcher.take_operations()

    def change_leader(self, duration_ms):
        """Leaves all without a leader for some time, then starts a term."""
        self.paused_until_ms = self.now_ms + duration_ms
        self.at(self.paused_until_ms, self.start_term)

    def start_term(self):
        """Makes the dispatcher of a new leader from the committed state."""
        self.dispatcher = BatchDispatcher(
            self.dispatcher.state,
            self.deployment.settings,
            self.dispatcher.term + 1,
            self.now_ms,
        )
        self.manager.start_term(self.now_ms)

    def silence(self, share, duration_ms):
        """Cuts off a share of the machines; they run on meanwhile."""
        machines = list(self.machines.values())
        for machine in machines[:: round(1 / share)]:
            machine.silent_until_ms = self.now_ms + duration_ms

    def open_wave(self, share, duration_ms, max_count):
        """Demands the upkeep of a share of the machines."""
        names = sorted(self.machines)[:: round(1 / share)]
        self.dispatcher.wall_ms = self.now_ms
        self.dispatcher.record(
            OpenWave(1, names, self.now_ms + duration_ms, max_count)
        )

    def open_waves(self):
        """Returns the numbers of the waves that are not done."""
        waves = self.dispatcher.state.upkeep.waves.values()
        return [wave.number for wave in waves if wave.left]

    def count_unfinished(self):
        """Returns the number of accepted jobs that have not ended."""
        known = self.dispatcher.state.batch.jobs
        return sum(
            known[job.job_id].active
            for job in self.jobs.values()
            if job.accepted
        )

    def carry_out(self, order):
        """Moves or maintains a machine, which ends its worker."""
        machine = self.machines[order.machine]
        machine.up = False
        machine.restart()
        duration_ms = UPKEEP_MS
        if order.purpose == MOVE:
            duration_ms = MOVE_MS
            machine.pool = order.target
            self.result.moves += self.now_ms >= START_MS + LEAD_MS
        self.at(self.now_ms + ORDER_MS + duration_ms, self.join, machine)
        self.manager.handle_answer(
            self.dispatcher, MachineAnswered(order, EXECUTED), self.now_ms
        )

    def join(self, machine):
        """Starts the worker of a machine that has been moved."""
        machine.up = True
        if machine.pool != STANDBY:
            self.heartbeat(machine, machine.lives)

    def state_of(self, machine):
        """Returns the state of a machine in the platform's list."""
        return UP if machine.up else "moving"

    def list_machines(self):
        """Passes the platform's list of machines to the manager."""
        rows = {
            machine.name: MachineRow(
                machine.name,
                machine.pool,
                self.state_of(machine),
                "ikeja",
                "r1",
                f"w-{machine.name}-{machine.lives}",
            )
            for machine in self.machines.values()
        }
        if self.now_ms >= self.paused_until_ms:
            self.dispatcher.wall_ms = self.now_ms
            self.manager.handle_machine_list(
                self.dispatcher, MachineListed(rows, self.now_ms)
            )
        self.at(self.now_ms + LIST_MS, self.list_machines)

    def evaluate(self):
        """Counts the jobs that were completed in time."""
        known = self.dispatcher.state.batch.jobs
        jobs = sorted(self.jobs.values(), key=lambda job: job.work)
        for job in jobs:
            name = job.kind.name
            self.result.owed[name] = self.result.owed.get(name, 0) + 1
            self.result.in_time.setdefault(name, 0)
            self.result.in_time[name] += in_time(known, job)
            self.result.refused += not job.accepted
        for kind in self.deployment.kinds:
            own = [job for job in jobs if job.kind is kind]
            mean = sum(job.work for job in own) / len(own)
            worth = {job: min(4, 0.3 + 0.7 * job.work / mean) for job in own}
            earned = sum(worth[job] for job in own if in_time(known, job))
            self.result.credit[kind.name] = earned / sum(worth.values())
        large = jobs[-len(jobs) // 10 :]
        self.result.large_share = sum(
            in_time(known, job) for job in large
        ) / len(large)


def in_time(known, job):
    """Returns whether a job was completed by its objective."""
    stored = known.get(job.job_id)
    return (
        stored is not None
        and stored.state == "completed"
        and stored.finished_ms <= job.objective_ms
    )

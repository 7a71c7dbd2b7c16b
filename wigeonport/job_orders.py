"""Policies for the order in which the jobs of a service get capacity."""

import math

from wigeonport.registries import Registry
from wigeonport.worker_reports import Resources, mean_resources

job_orders = Registry("job order")

# Factor on estimated work: estimates are rough, and the run times of the
# tasks of a step differ by about a third.
ESTIMATE_MARGIN = 1.25
# Share of a pool that tasks fill: parts of machines stay free because no task
# fits into them, and room is filled only at the next heartbeat.
PACKING_SHARE = 0.85
# Size that is assumed while no worker of a pool accepts tasks.
UNKNOWN_MACHINE = Resources(16_000, 32_768, 1)


class RankedJob:
    """An active job with the values that decide its rank.

    Attributes:
        job: BatchJob.
        queue: Queue of the job.
        lasting: Whether it has tasks that run until the job is cancelled.
        objective_ms: Wall time by which the job should be completed.
        remaining_ms: Estimated run time of the longest remaining chain of
            dependent steps.
        waiting_work: Estimated work of its waiting tasks, in ms of a whole
            machine. A task uses the share of a machine that it needs of the
            scarcest resource.
        running_work: Estimated work of its running tasks, in the same unit.
        startable: Triples of occurrence, step number and StepRun, for the
            steps whose tasks may be started one by one, so not for gangs.
        limited: Whether the limit of its tenant keeps it from being in time,
            however much room there is.
    """

    __slots__ = (
        "job",
        "queue",
        "lasting",
        "objective_ms",
        "remaining_ms",
        "waiting_work",
        "running_work",
        "startable",
        "limited",
    )

    def __init__(self, job, queue, machine, run_times):
        self.limited = False
        self.job = job
        self.queue = queue
        spec = job.spec
        self.lasting = any(step.lasting for step in spec.steps)
        start_ms = job.submitted_ms
        if spec.repeat_count:
            start_ms = spec.due_ms(max(0, job.opened - 1))
        self.objective_ms = start_ms + allowed_time_ms(queue, spec, run_times)
        self.remaining_ms, self.waiting_work, self.running_work = (
            estimate_remaining(job, machine, run_times)
        )
        self.startable = []
        self.update_startable()

    def update_startable(self):
        """Recomputes the steps whose tasks may be started."""
        self.startable = [
            triple
            for triple in self.job.ready_steps()
            if not triple[2].step.gang
        ]


class RankedPool:
    """The machines for which the jobs of a service are ranked.

    Attributes:
        machine: Resources of a mean machine.
        count: Number of machines that accept tasks.
        shares: PoolShares, or None without tenants.
    """

    __slots__ = ("machine", "count", "shares")

    def __init__(self, capacities, shares=None):
        self.shares = shares
        self.count = len(capacities)
        self.machine = mean_resources(capacities or [UNKNOWN_MACHINE])


class LeastNeed:
    """The smallest need of each kind among waiting tasks.

    Attributes:
        cpu_milli: CPU in thousandths of a core.
        memory_mb: Memory in MB.
        gpu: Number of accelerators.
        room_cpu_milli: The same as ``cpu_milli``, without tasks that fill,
            which fit whatever CPU is free.
    """

    __slots__ = ("cpu_milli", "memory_mb", "gpu", "room_cpu_milli")

    def __init__(self):
        self.cpu_milli = self.room_cpu_milli = math.inf
        self.memory_mb = self.gpu = math.inf

    def include(self, step):
        """Takes the tasks of a step into account."""
        room_cpu_milli = -math.inf if step.fills else step.cpu_milli
        self.room_cpu_milli = min(self.room_cpu_milli, room_cpu_milli)
        self.cpu_milli = min(self.cpu_milli, step.cpu_milli)
        self.memory_mb = min(self.memory_mb, step.memory_mb)
        self.gpu = min(self.gpu, step.gpu)

    def may_fit(self, free_capacity):
        """Returns whether one of the tasks may fit into free Resources."""
        return (
            self.room_cpu_milli <= free_capacity.cpu_milli
            and self.memory_mb <= free_capacity.memory_mb
            and self.gpu <= free_capacity.gpu
        )


class JobRanking:
    """The ranked jobs of a service, cached for a short time.

    Attributes:
        created_ms: Wall time at which the ranking was computed.
        policy: Function from ``job_orders`` that sorts RankedJobs.
        pool: RankedPool.
        run_times: RunTimes, which predict the work of the jobs.
        ranked_jobs: List of RankedJob, highest rank first.
        by_job_id: Maps job id to RankedJob.
        least: Maps tenant to the LeastNeed of its steps with waiting tasks.
    """

    __slots__ = (
        "created_ms",
        "policy",
        "pool",
        "run_times",
        "ranked_jobs",
        "by_job_id",
        "least",
    )

    def __init__(self, ranked_jobs, policy, pool, run_times, created_ms):
        self.created_ms = created_ms
        self.policy = policy
        self.pool = pool
        self.run_times = run_times
        self.ranked_jobs = policy(ranked_jobs, pool, created_ms)
        self.by_job_id = {
            ranked_job.job.job_id: ranked_job for ranked_job in ranked_jobs
        }
        self.least = {}
        for ranked_job in ranked_jobs:
            self.include_waiting(ranked_job)

    def include_waiting(self, ranked_job):
        """Takes the waiting tasks of a job into account in ``least``."""
        for _, _, step_run in ranked_job.startable:
            if step_run.waiting:
                self.include_step(ranked_job.job.tenant, step_run.step)

    def include_step(self, tenant, step):
        """Takes the tasks of a step into account in ``least``."""
        least = self.least.get(tenant)
        if least is None:
            least = self.least[tenant] = LeastNeed()
        least.include(step)

    def find_startable(self, free_capacity, allowance):
        """Returns the names of the tenants of which a waiting task may start.

        An empty result spares a full worker the search through all jobs, and
        a worker with room the one through the jobs of tenants at their limit.

        Args:
            free_capacity: Free Resources of a worker.
            allowance: Allowance of the tenants, or None.
        """
        return {
            name
            for name, least in self.least.items()
            if least.may_fit(free_capacity)
            and (allowance is None or allowance.allows(name, least))
        }

    def add(self, job, queue):
        """Adds a new job at its rank.

        In a full pool with tenants, where nothing can start at once, it
        stands after the jobs that are to be in time, until the next ranking.
        """
        ranked_job = RankedJob(job, queue, self.pool.machine, self.run_times)
        self.include_waiting(ranked_job)
        self.by_job_id[job.job_id] = ranked_job
        shares = self.pool.shares
        if shares is not None and shares.full and not ranked_job.lasting:
            self.ranked_jobs.insert(shares.served, ranked_job)
            shares.served += 1
            return
        self.ranked_jobs = self.policy(
            [*self.ranked_jobs, ranked_job], self.pool, self.created_ms
        )

    def refresh_job(self, job_id):
        """Updates a job of which a step has ended."""
        ranked_job = self.by_job_id.get(job_id)
        if ranked_job is not None:
            ranked_job.update_startable()
            self.include_waiting(ranked_job)


def allowed_time_ms(queue, spec, run_times):
    """Returns the time from the start of a job to its objective, in ms."""
    chain_ms = run_times.predict_chain(queue.name, spec)
    return queue.stretch * chain_ms + queue.target_latency_ms


def estimate_remaining(job, machine, run_times):
    """Returns the remaining time, the waiting and the running work of a job.

    See ``RankedJob`` for the three values and their units.

    Args:
        job: BatchJob.
        machine: Resources of a mean machine of the pool.
        run_times: RunTimes.
    """
    longest_ms, waiting_work, running_work = 0, 0, 0
    for step_runs in job.occurrences.values():
        finish_ms = []
        for number, step_run in enumerate(step_runs):
            step = step_run.step
            own_ms = 0
            if step_run.remaining:
                own_ms = run_times.predict(job.queue, number, step)
            dependencies_ms = [finish_ms[each] for each in step.depends_on]
            finish_ms.append(max(dependencies_ms, default=0) + own_ms)
            task_work = machine.share_of(step) * own_ms
            waiting_work += step_run.waiting * task_work
            running_work += (step_run.remaining - step_run.waiting) * task_work
        longest_ms = max(longest_ms, *finish_ms) if finish_ms else longest_ms
    return longest_ms, waiting_work, running_work


@job_orders.register("feasible")
def order_feasible_first(ranked_jobs, pool, now_ms):
    """Sorts by objective, but defers jobs that the pool can't finish in time.

    When more work waits than fits before the objectives, plain order by
    objective finishes every job shortly after its objective. Here a job that
    would miss its objective after the work that precedes it leaves its turn to
    the next. Deferred jobs get what room is left, and jobs that would be late
    on an empty pool come last.
    """
    by_objective = sorted(ranked_jobs, key=objective_of)
    lasting, feasible, deferred, late = divide_jobs(by_objective, pool, now_ms)
    return lasting + feasible + deferred + late


def divide_jobs(ranked_jobs, pool, now_ms):
    """Returns the lasting, feasible, deferred and late jobs, in their order.

    Args:
        ranked_jobs: RankedJobs in the order of their objectives.
        pool: RankedPool.
        now_ms: Wall time.
    """
    rate = PACKING_SHARE * max(1, pool.count)
    lasting, feasible, deferred, late = [], [], [], []
    preceding_work = 0
    for ranked_job in ranked_jobs:
        remaining_ms = ranked_job.remaining_ms
        if ranked_job.lasting:
            lasting.append(ranked_job)
            continue
        if now_ms + remaining_ms > ranked_job.objective_ms:
            late.append(ranked_job)
            continue
        finish_ms, work = finish_time_ms(
            ranked_job, preceding_work, rate, now_ms
        )
        if finish_ms > ranked_job.objective_ms:
            deferred.append(ranked_job)
            continue
        preceding_work = work
        feasible.append(ranked_job)
    return lasting, feasible, deferred, late


def finish_time_ms(ranked_job, preceding_work, rate, now_ms):
    """Returns the time at which a job ends, and the work until then.

    Args:
        ranked_job: RankedJob.
        preceding_work: Work of the jobs before it, in ms of a machine.
        rate: Work that the pool does in 1 ms.
        now_ms: Wall time.
    """
    work = preceding_work + ranked_job.waiting_work
    work += ranked_job.running_work / 2
    remaining_ms = ranked_job.remaining_ms
    return now_ms + max(remaining_ms, work / rate + remaining_ms / 2), work


def objective_of(ranked_job):
    """Returns the sort key of order by objective."""
    return ranked_job.objective_ms

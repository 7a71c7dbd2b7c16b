"""Placement of waiting tasks on workers with free capacity."""

from wigeonport.batch_commands import StartRuns
from wigeonport.batch_specs import split_task_id, task_id
from wigeonport.filler_spreads import count_share
from wigeonport.interference_placements import count_held_back
from wigeonport.job_orders import (
    JobRanking,
    RankedJob,
    RankedPool,
    job_orders,
)
from wigeonport.step_limits import count_remaining
from wigeonport.tenant_shares import find_shares
from wigeonport.tenant_usage import may_start, open_allowance

# Maximum number of tasks of a step that one answer starts. Once an answer
# starts this many tasks, each further job adds the tasks of at most one step,
# which keeps the answer far below 4 MiB. The worker is asked for the next
# heartbeat soon if there is room for more.
MAX_STARTS = 64
# How long a computed ranking is used; a change of the ranks takes effect
# after this time at the latest.
RANKING_VALID_MS = 100
# Time for which a task is not placed again on a worker on which it failed; all
# workers of a pool send a heartbeat within this time.
FAILED_WORKER_WAIT_MS = 1_000
# A task waits for a worker in the rack of its data for its estimated run
# time plus this time.
LOCALITY_WAIT_MS = 1_000
# A worker that has been silent for more heartbeat intervals gets no member
# of a gang, and no task waits for it because of its rack.
GANG_MAX_SILENT_HEARTBEATS = 2


def current_ranking(dispatcher, service, now_ms):
    """Returns the JobRanking of a service.

    It is cached for ``RANKING_VALID_MS``, because every heartbeat needs it.
    """
    ranking = dispatcher.rankings.get(service)
    if (
        ranking is None
        or not 0 <= now_ms - ranking.created_ms < RANKING_VALID_MS
    ):
        ranking = rank_jobs(dispatcher, service, now_ms)
        dispatcher.rankings[service] = ranking
    return ranking


def active_ranked_jobs(dispatcher, service, now_ms):
    """Returns the RankedJobs of the active jobs of a service, in order."""
    ranking = current_ranking(dispatcher, service, now_ms)
    return [
        ranked_job
        for ranked_job in ranking.ranked_jobs
        if ranked_job.job.active
    ]


def rank_jobs(dispatcher, service, now_ms):
    """Returns a new JobRanking of a service.

    Also removes ended jobs from the dispatcher's active jobs.
    """
    routes = dispatcher.state.routes
    silent_ms = dispatcher.max_silence_ms()
    pool = RankedPool(
        [
            worker.report.capacity
            for worker in dispatcher.workers.of_service(service)
            if worker.accepts_tasks(dispatcher.now_ms, silent_ms)
        ],
        find_shares(dispatcher, service),
    )
    ranked_jobs = []
    for job in list(dispatcher.active.values()):
        if not job.active:
            del dispatcher.active[job.job_id]
            continue
        queue = routes.queue_of(job.queue)
        if queue is not None and queue.service == service:
            ranked_jobs.append(
                RankedJob(job, queue, pool.machine, dispatcher.run_times)
            )
    policy = job_orders.get(dispatcher.settings.job_order).ok
    return JobRanking(ranked_jobs, policy, pool, dispatcher.run_times, now_ms)


def place_tasks(dispatcher, worker, now_ms, wall_ms):
    """Starts waiting tasks on a worker while they fit.

    Returns:
        Whether it may have room for more tasks than one answer starts.
    """
    free_capacity = worker.free_capacity()
    ranking = current_ranking(dispatcher, worker.report.service, wall_ms)
    allowance = open_allowance(dispatcher)
    startable = ranking.find_startable(free_capacity, allowance)
    tasks, incomplete = [], False
    for ranked_job in ranking.ranked_jobs if startable else ():
        if ranked_job.job.tenant not in startable or not ranked_job.job.active:
            continue
        placed = len(tasks)
        incomplete |= place_job(
            dispatcher,
            worker,
            ranked_job,
            free_capacity,
            allowance,
            tasks,
            now_ms,
        )
        if len(tasks) > placed:
            startable = ranking.find_startable(free_capacity, allowance)
            if not startable:
                break
    if tasks:
        runs = [dispatcher.find_task(name)[2].last_run + 1 for name in tasks]
        dispatcher.record(StartRuns(tasks, runs, worker.incarnation))
    return incomplete


def place_job(
    dispatcher, worker, ranked_job, free_capacity, allowance, tasks, now_ms
):
    """Adds the tasks of a job that a worker starts to ``tasks``.

    Returns:
        Whether a step may have more tasks to start than one answer holds.
    """
    incomplete = False
    for step_run, candidate in find_candidates(
        dispatcher, worker, ranked_job, free_capacity, now_ms, allowance
    ):
        held_back = count_held_back(candidate, step_run, tasks, now_ms)
        if step_run.step.fills:
            share = count_share(candidate, step_run, now_ms)
            held_back = max(held_back, step_run.waiting - share)
        chosen = candidate.choose_tasks(
            step_run, free_capacity, allowance, held_back
        )
        tasks += [f"{candidate.prefix}{index}" for index in chosen]
        incomplete = incomplete or len(chosen) == MAX_STARTS
        if len(tasks) >= MAX_STARTS:
            break
    return incomplete


def find_candidates(
    dispatcher, worker, ranked_job, free_capacity, now_ms, allowance
):
    """Yields pairs of StepRun and WorkerCandidate for steps that fit now."""
    for occurrence, number, step_run in ranked_job.startable:
        step = step_run.step
        if not step_run.waiting or not free_capacity.fits(step):
            continue
        if allowance and not allowance.allows(ranked_job.job.tenant, step):
            continue
        candidate = WorkerCandidate(
            dispatcher, worker, ranked_job, occurrence, number
        )
        if candidate.is_suitable(step, now_ms):
            yield step_run, candidate


class WorkerCandidate:
    """A worker that is considered for the tasks of one step.

    Attributes:
        dispatcher: BatchDispatcher.
        worker: Worker.
        ranked_job: RankedJob with the step.
        prefix: Common prefix of the step's task ids.
    """

    __slots__ = ("dispatcher", "worker", "ranked_job", "prefix")

    def __init__(self, dispatcher, worker, ranked_job, occurrence, number):
        self.dispatcher = dispatcher
        self.worker = worker
        self.ranked_job = ranked_job
        self.prefix = f"{ranked_job.job.job_id}.{occurrence}.{number}."

    def is_suitable(self, step, now_ms):
        """Returns whether tasks of the step may run on the worker now."""
        report = self.worker.report
        if step.required_label and step.required_label not in report.labels:
            return False
        if self.ranked_job.queue.advice is not None and not self.ticket(
            now_ms
        ):
            return False
        if not step.data_rack or report.rack == step.data_rack:
            return True
        return self.may_leave_rack(step, now_ms)

    def ticket(self, now_ms):
        """Returns the worker's valid ticket for the step, or None."""
        return self.dispatcher.tickets.find(
            self.prefix[:-1], self.worker.incarnation, now_ms
        )

    def may_leave_rack(self, step, now_ms):
        """Returns whether a task may run outside the rack of its data.

        That is so if no worker in the rack accepts tasks, or if the step has
        waited long enough for one.
        """
        silent_ms = (
            GANG_MAX_SILENT_HEARTBEATS * self.dispatcher.heartbeat_interval_ms
        )
        rack_accepts_tasks = any(
            other.report.rack == step.data_rack
            and other.accepts_tasks(now_ms, silent_ms)
            for other in self.dispatcher.workers.of_service(
                self.worker.report.service
            )
        )
        start_ms = self.dispatcher.rack_wait_start_ms.setdefault(
            self.prefix, now_ms
        )
        wait_ms = LOCALITY_WAIT_MS + step.estimated_ms
        return not rack_accepts_tasks or now_ms - start_ms > wait_ms

    def choose_tasks(self, step_run, free_capacity, allowance, held_back=0):
        """Returns the indices of the tasks to start.

        Subtracts what they use from ``free_capacity``, and from the
        ``allowance`` of the tenants if there are any.

        Args:
            step_run: StepRun.
            free_capacity: Free Resources of the worker.
            allowance: Allowance of the tenants, or None.
            held_back: Number of waiting tasks to leave to other workers.
        """
        chosen = []
        job, step = self.ranked_job.job, step_run.step
        maximum = min(
            self.remaining_limit(step),
            step_run.waiting - held_back,
            MAX_STARTS,
        )
        for index in step_run.waiting_indices():
            if len(chosen) >= maximum or not free_capacity.fits(step):
                break
            if self.failed_recently(index):
                continue
            if allowance:
                if not allowance.allows(job.tenant, step):
                    break
                allowance.take(job, step)
            free_capacity.subtract(step)
            chosen.append(index)
        return chosen

    def failed_recently(self, index):
        """Returns whether a task has failed on the worker recently."""
        failed_workers = self.dispatcher.failure_times.get(
            f"{self.prefix}{index}", {}
        )
        failed_ms = failed_workers.get(self.worker.report.worker_id)
        return (
            failed_ms is not None
            and self.worker.last_heartbeat_ms - failed_ms
            < FAILED_WORKER_WAIT_MS
        )

    def remaining_limit(self, step):
        """Returns how many more tasks of the step the worker may run."""
        return count_remaining(self.worker, self.prefix, step)

    def on_worker(self, worker):
        """Returns the candidate for the same step on another worker."""
        _, occurrence, number, _ = split_task_id(f"{self.prefix}0")
        return WorkerCandidate(
            self.dispatcher, worker, self.ranked_job, occurrence, number
        )


def place_gangs(dispatcher, now_ms, wall_ms):
    """Starts the gangs whose members all fit at the same time."""
    for service in dispatcher.services_with_gangs():
        for ranked_job in active_ranked_jobs(dispatcher, service, wall_ms):
            for occurrence, number, step_run in ranked_job.job.ready_steps():
                step = step_run.step
                complete = step_run.waiting == step.count
                if step.gang and complete:
                    place_gang(
                        dispatcher,
                        ranked_job,
                        occurrence,
                        number,
                        step_run,
                        now_ms,
                    )


def place_gang(dispatcher, ranked_job, occurrence, number, step_run, now_ms):
    """Starts the members of one gang if all of them fit.

    A gang that prefers a rack is placed in a single rack if possible, and
    otherwise across racks.
    """
    step = step_run.step
    if not may_start(dispatcher, ranked_job.job, step, step.count):
        return
    silent_ms = GANG_MAX_SILENT_HEARTBEATS * dispatcher.heartbeat_interval_ms
    candidates = [
        worker
        for worker in dispatcher.workers.of_service(ranked_job.queue.service)
        if worker.accepts_tasks(now_ms, silent_ms)
    ]
    chosen = None
    racks = {worker.report.rack for worker in candidates}
    for rack in sorted(racks) if step.same_rack or step.data_rack else ():
        if step.data_rack and rack != step.data_rack:
            continue
        rack_workers = [
            worker for worker in candidates if worker.report.rack == rack
        ]
        chosen = chosen or fill_gang(
            dispatcher,
            ranked_job,
            occurrence,
            number,
            step,
            rack_workers,
            now_ms,
        )
    chosen = chosen or fill_gang(
        dispatcher, ranked_job, occurrence, number, step, candidates, now_ms
    )
    if chosen is None:
        return
    runs = [task.last_run for task in step_run.tasks.values()]
    run = max(runs, default=0) + 1
    task_ids = [
        task_id(ranked_job.job.job_id, occurrence, number, index)
        for index in range(step.count)
    ]
    for worker, count in chosen:
        members, task_ids = task_ids[:count], task_ids[count:]
        dispatcher.record(
            StartRuns(members, [run] * len(members), worker.incarnation)
        )


def fill_gang(
    dispatcher, ranked_job, occurrence, number, step, workers, now_ms
):
    """Returns pairs of worker and number of members.

    Returns None if the workers cannot run the whole gang.
    """
    remaining, chosen = step.count, []
    for worker in workers:
        candidate = WorkerCandidate(
            dispatcher, worker, ranked_job, occurrence, number
        )
        if not candidate.is_suitable(step, now_ms):
            continue
        free_capacity, count = worker.free_capacity(), 0
        maximum = min(remaining, candidate.remaining_limit(step))
        while count < maximum and free_capacity.fits(step):
            free_capacity.subtract(step)
            count += 1
        if count:
            chosen.append((worker, count))
            remaining -= count
        if not remaining:
            return chosen
    return None

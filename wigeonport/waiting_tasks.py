"""Log lines on lasting tasks that have not been at work for a while.

A lasting task is owed a place as soon as there is room. Each line counts the
workers of its service by what keeps them from it.
"""

import collections
import itertools

from wigeonport.batch_specs import task_id
from wigeonport.logs import PartLogger
from wigeonport.registries import Registry
from wigeonport.task_placements import WorkerCandidate, active_ranked_jobs
from wigeonport.tenant_usage import may_start
from wigeonport.worker_reports import worker_id_of

logger = PartLogger("dispatch")

# Time without a run at work after which a task is logged, and the interval at
# which it is logged again. The users' limit is 6 s.
WAIT_LOG_MS = 3_000
CHECK_INTERVAL_MS = 500
# Most tasks that are logged in one check.
MAX_LOGGED_TASKS = 32
# Most tasks whose wait is kept. A step may have 10,000 lasting tasks, and
# their waits would take more memory than the accepted jobs.
MAX_WAITS = 1_000

obstacles = Registry("obstacle to a placement")


class Wait:
    """The wait of a lasting task for a run that is at work.

    Attributes:
        since_ms: Monotonic time at which it was first seen to wait.
        logged_ms: Time of the last log line, or of its first wait.
    """

    __slots__ = ("since_ms", "logged_ms")

    def __init__(self, now_ms):
        self.since_ms = now_ms
        self.logged_ms = now_ms


class Placement:
    """A task and a worker that might run it.

    Attributes:
        candidate: WorkerCandidate.
        step: Step of the task.
        index: Index of the task.
        now_ms: Monotonic time.
    """

    __slots__ = ("candidate", "step", "index", "now_ms")

    def __init__(self, candidate, step, index, now_ms):
        self.candidate = candidate
        self.step = step
        self.index = index
        self.now_ms = now_ms

    @property
    def worker(self):
        """The worker."""
        return self.candidate.worker


@obstacles.register("silent")
def is_silent(placement):
    """Its heartbeats are overdue."""
    silent_ms = placement.now_ms - placement.worker.last_heartbeat_ms
    return silent_ms > placement.candidate.dispatcher.max_silence_ms()


@obstacles.register("late")
def is_late(placement):
    """Its last heartbeat took so long that its answer is dropped."""
    return not placement.worker.receives_answer()


@obstacles.register("draining")
def is_draining(placement):
    """It is about to leave."""
    return placement.worker.report.draining


@obstacles.register("reserved")
def is_reserved(placement):
    """Its machine has an order or is being emptied for one."""
    return placement.worker.reserved_ms is not None


@obstacles.register("excluded")
def is_excluded(placement):
    """Its runs fail, stall or are slow."""
    return placement.now_ms < placement.worker.excluded_until_ms


@obstacles.register("unsuitable")
def is_unsuitable(placement):
    """Its labels or its rack do not match, or the step has no ticket."""
    candidate = placement.candidate
    return not candidate.is_suitable(placement.step, placement.now_ms)


@obstacles.register("limit")
def has_reached_limit(placement):
    """It runs as many tasks of the step as one worker may."""
    return placement.candidate.remaining_limit(placement.step) <= 0


@obstacles.register("failed")
def has_failed_task(placement):
    """The task has failed on it recently."""
    return placement.candidate.failed_recently(placement.index)


@obstacles.register("tenant")
def is_above_tenant_limit(placement):
    """The tenant of the job has reached what it may have running."""
    candidate = placement.candidate
    return not may_start(
        candidate.dispatcher, candidate.ranked_job.job, placement.step
    )


@obstacles.register("full")
def is_full(placement):
    """The task does not fit beside its runs."""
    return not placement.worker.free_capacity().fits(placement.step)


def find_obstacle(placement):
    """Returns the name of the first obstacle, or ``none``."""
    for name, applies in obstacles.entries.items():
        if applies(placement):
            return name
    return "none"


def log_waiting_tasks(dispatcher, now_ms):
    """Logs the lasting tasks that have waited for ``WAIT_LOG_MS``.

    Args:
        dispatcher: BatchDispatcher.
        now_ms: Monotonic time.
    """
    if now_ms < dispatcher.waits_due_ms:
        return
    dispatcher.waits_due_ms = now_ms + CHECK_INTERVAL_MS
    former, dispatcher.waits = dispatcher.waits, {}
    drop_ended_jobs(dispatcher)
    waiting = (
        (job, entry)
        for job in dispatcher.lasting_jobs.values()
        for entry in find_waiting(dispatcher, job)
    )
    logged = 0
    for job, entry in itertools.islice(waiting, MAX_WAITS):
        name = entry[0]
        wait = former.get(name) or Wait(now_ms)
        dispatcher.waits[name] = wait
        due = now_ms - wait.logged_ms >= WAIT_LOG_MS
        if due and logged < MAX_LOGGED_TASKS:
            logged += 1
            wait.logged_ms = now_ms
            log_wait(dispatcher, job, entry, now_ms - wait.since_ms)


def drop_ended_jobs(dispatcher):
    """Removes the ended jobs from the dispatcher's lasting jobs."""
    for job in list(dispatcher.lasting_jobs.values()):
        if not job.active:
            del dispatcher.lasting_jobs[job.job_id]


def find_waiting(dispatcher, job):
    """Yields the lasting tasks of a job without a run that is reported.

    Each is a tuple of task id, occurrence, step number, StepRun and index.
    """
    for occurrence, number, step_run in job.ready_steps():
        if not step_run.step.lasting:
            continue
        for index in range(step_run.step.count):
            task = step_run.find(index)
            name = task_id(job.job_id, occurrence, number, index)
            reported = any(
                is_reported(dispatcher, name, run, incarnation)
                for run, incarnation in task.runs.items()
            )
            if not task.done and not reported:
                yield name, occurrence, number, step_run, index


def is_reported(dispatcher, name, run, incarnation):
    """Returns whether a worker has reported a run as live."""
    worker = dispatcher.workers.by_id.get(worker_id_of(incarnation))
    return (
        worker is not None
        and worker.incarnation == incarnation
        and (name, run) in worker.progress
    )


def log_wait(dispatcher, job, entry, waited_ms):
    """Logs why a task is not at work.

    Args:
        dispatcher: BatchDispatcher.
        job: BatchJob.
        entry: Tuple that ``find_waiting`` has returned.
        waited_ms: How long it has waited.
    """
    name, occurrence, number, step_run, index = entry
    queue = dispatcher.state.routes.queue_of(job.queue)
    service = queue.service if queue else ""
    ranked_job = next(
        (
            ranked_job
            for ranked_job in active_ranked_jobs(
                dispatcher, service, dispatcher.wall_ms
            )
            if ranked_job.job is job
        ),
        None,
    )
    counts = collections.Counter()
    for worker in dispatcher.workers.of_service(service) if ranked_job else ():
        candidate = WorkerCandidate(
            dispatcher, worker, ranked_job, occurrence, number
        )
        placement = Placement(
            candidate, step_run.step, index, dispatcher.now_ms
        )
        counts[find_obstacle(placement)] += 1
    logger.warning(
        "Lasting task waits.",
        task=name,
        waited_ms=waited_ms,
        service=service,
        runs=step_run.find(index).runs,
        workers=dict(counts),
        gang=step_run.step.gang,
        term=dispatcher.term,
    )

"""Places for lasting tasks, with the worker that would have to run them.

A lasting task is owed a place as soon as there is room. So it is moved only if
another worker can take it, and a worker that is reserved takes one that no
other worker can take.
"""

import collections

from wigeonport.batch_commands import StartRuns
from wigeonport.step_limits import count_remaining, count_tasks
from wigeonport.task_placements import WorkerCandidate, active_ranked_jobs
from wigeonport.tenant_usage import open_allowance

# Tasks that still run on a reserved machine after this time are stopped. It is
# twice the mean run time of the longest kind of task.
EMPTYING_MS = 4_000


def must_leave(worker, prefix, step, now_ms):
    """Returns whether the tasks of a step leave without another place.

    A pool may be unable to grow, and the upkeep of its machines has to begin.
    If not all tasks of the step on a worker may be away at once, it could not
    be emptied, and those that had left would wait in vain.

    Args:
        worker: Worker.
        prefix: Common prefix of the ids of the step's tasks.
        step: Step.
        now_ms: Monotonic time.
    """
    if (
        worker.reserved_ms is None
        or now_ms - worker.reserved_ms <= EMPTYING_MS
    ):
        return False
    own = count_tasks(worker, prefix)
    return not step.max_unavailable or own <= step.max_unavailable


def has_other_place(dispatcher, worker, prefix, step):
    """Returns whether another worker of the pool can take a lasting task.

    Tasks that end by themselves do not count: a lasting task gets the room
    of the next one that ends.

    Args:
        dispatcher: BatchDispatcher.
        worker: Worker that runs the task, or would run it.
        prefix: Common prefix of the ids of the step's tasks.
        step: Step of the task.
    """
    silent_ms = dispatcher.max_silence_ms()
    return any(
        other is not worker
        and other.accepts_tasks(dispatcher.now_ms, silent_ms)
        and can_take(other, prefix, step)
        for other in dispatcher.workers.of_service(worker.report.service)
    )


def can_take(worker, prefix, step):
    """Returns whether a lasting task fits beside those of a worker."""
    report = worker.report
    if step.required_label and step.required_label not in report.labels:
        return False
    if count_remaining(worker, prefix, step) < 1:
        return False
    return worker.capacity_beside_lasting().fits(step)


def place_on_reserved(dispatcher, worker, now_ms, wall_ms):
    """Starts lasting tasks without another place on a reserved worker.

    A worker whose machine has an order gets none, because the order may be
    carried out at any time.

    Args:
        dispatcher: BatchDispatcher.
        worker: Worker that has sent a heartbeat.
        now_ms: Monotonic time.
        wall_ms: Wall time.
    """
    report = worker.report
    if (
        worker.reserved_ms is None
        or report.draining
        or report.machine in dispatcher.state.upkeep.orders
        or now_ms < worker.excluded_until_ms
    ):
        return
    waiting = find_waiting_steps(dispatcher, report.service, wall_ms)
    if not waiting:
        return
    free_capacity = worker.free_capacity()
    allowance = open_allowance(dispatcher)
    tasks, runs = [], []
    for ranked_job, occurrence, number, step_run in waiting:
        step = step_run.step
        candidate = WorkerCandidate(
            dispatcher, worker, ranked_job, occurrence, number
        )
        if (
            must_leave(worker, candidate.prefix, step, now_ms)
            or not candidate.is_suitable(step, now_ms)
            or has_other_place(dispatcher, worker, candidate.prefix, step)
        ):
            continue
        for index in candidate.choose_tasks(
            step_run, free_capacity, allowance
        ):
            tasks.append(f"{candidate.prefix}{index}")
            runs.append(step_run.find(index).last_run + 1)
    if tasks:
        dispatcher.record(StartRuns(tasks, runs, worker.incarnation))


def find_waiting_steps(dispatcher, service, wall_ms):
    """Returns the lasting steps of a service with waiting tasks.

    Gangs are left out, because their tasks start together. Each row is a
    RankedJob, the number of the occurrence, that of the step, and the StepRun.
    """
    waiting = collections.defaultdict(list)
    for job in dispatcher.lasting_jobs.values():
        if not job.active:
            continue
        for occurrence, number, step_run in job.ready_steps():
            step = step_run.step
            if step.lasting and not step.gang and step_run.waiting:
                waiting[job.job_id].append((occurrence, number, step_run))
    if not waiting:
        return []
    return [
        (ranked_job, *row)
        for ranked_job in active_ranked_jobs(dispatcher, service, wall_ms)
        for row in waiting.get(ranked_job.job.job_id, ())
    ]

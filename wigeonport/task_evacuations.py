"""Moves of running tasks within the availability limits of their steps."""

from wigeonport.lasting_placements import has_other_place, must_leave
from wigeonport.tenant_usage import is_above_limit
from wigeonport.worker_reports import worker_id_of

# Progress of a lasting task that has started up and is available.
FULL_PROGRESS_PERCENT = 100
# A worker that has been silent for more heartbeat intervals may have
# crashed, so its tasks count as unavailable.
MAX_SILENT_HEARTBEATS = 3


def count_unavailable(dispatcher, name):
    """Returns how many other tasks of a task's step are unavailable.

    A task is available only if its worker has reported a run of it at 100
    percent.
    """
    _, step_run, _ = dispatcher.find_task(name)
    prefix, _, own_index = name.rpartition(".")
    unavailable = 0
    for index in range(step_run.step.count):
        task = step_run.find(index)
        if str(index) == own_index or task.done:
            continue
        unavailable += not any(
            is_available(dispatcher, f"{prefix}.{index}", run, worker)
            for run, worker in task.runs.items()
        )
    return unavailable


def is_available(dispatcher, name, run, incarnation):
    """Returns whether a run is at full progress on a live worker."""
    worker = dispatcher.workers.by_id.get(worker_id_of(incarnation))
    return (
        worker is not None
        and worker.incarnation == incarnation
        and dispatcher.now_ms - worker.last_heartbeat_ms
        <= MAX_SILENT_HEARTBEATS * dispatcher.heartbeat_interval_ms
        and (name, run) not in worker.stopping
        and (name, run) in worker.progress
        and worker.progress[name, run].percent >= FULL_PROGRESS_PERCENT
    )


def may_stop(dispatcher, name, step):
    """Returns whether a run may be stopped.

    A task of a lasting step with ``max_unavailable`` may be stopped while
    fewer other tasks of the step are unavailable; any other run may be
    stopped at any time.
    """
    if not step.lasting or not step.max_unavailable:
        return True
    return count_unavailable(dispatcher, name) < step.max_unavailable


def withdraw_stops(dispatcher, worker):
    """Withdraws the planned stops that are no longer allowed.

    Other tasks of the step may have been lost since a stop was decided.
    """
    for key in list(worker.stopping):
        step, progress = worker.runs.get(key), worker.progress.get(key)
        if step is None or progress is None:
            continue
        available = progress.percent >= FULL_PROGRESS_PERCENT
        if available and not may_stop(dispatcher, key[0], step):
            worker.stopping.discard(key)


def evacuate(dispatcher, worker, stop_all):
    """Plans to stop the runs of a worker, as far as is allowed now.

    Args:
        dispatcher: BatchDispatcher.
        worker: Worker to be emptied.
        stop_all: Whether to stop tasks that would end by themselves too.
    """
    for key, step in list(worker.runs.items()):
        if key in worker.stopping or not (step.lasting or stop_all):
            continue
        if key not in worker.progress and step.lasting:
            continue
        if may_stop(dispatcher, key[0], step) and may_move(
            dispatcher, worker, key[0], step
        ):
            worker.stopping.add(key)


def may_move(dispatcher, worker, name, step):
    """Returns whether a run may leave its worker.

    A lasting task that is stopped without another place would wait for the
    pool to grow, or for ever. So would one whose tenant is above a lowered
    limit, which may start nothing.
    """
    if not step.lasting:
        return True
    prefix = f"{name.rpartition('.')[0]}."
    if must_leave(worker, prefix, step, dispatcher.now_ms):
        return True
    job = dispatcher.find_task(name)[0]
    return not is_above_limit(dispatcher, job) and has_other_place(
        dispatcher, worker, prefix, step
    )

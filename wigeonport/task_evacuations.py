"""Moves of running tasks that keep their steps available."""

from wigeonport.worker_reports import worker_id_of

# Progress of a lasting task that is at work.
FULL_PERCENT = 100
# A worker that has been silent for more intervals of heartbeats may have
# crashed.
FRESH_BEATS = 3


def away_count(dispatcher, name):
    """Returns how many other tasks of a task's step are not at work.

    Only a run that its worker has reported at 100 percent counts as
    at work.
    """
    _, step_run, _ = dispatcher.task_of(name)
    prefix, _, own = name.rpartition(".")
    away = 0
    for index, task in enumerate(step_run.tasks):
        if str(index) == own or task.done:
            continue
        away += not any(
            is_at_work(dispatcher, f"{prefix}.{index}", run, worker)
            for run, worker in task.runs.items()
        )
    return away


def is_at_work(dispatcher, name, run, incarnation):
    """Returns whether a run is at full progress on a known worker."""
    worker = dispatcher.workers.by_id.get(worker_id_of(incarnation))
    return (
        worker is not None
        and worker.incarnation == incarnation
        and dispatcher.now_ms - worker.heard_ms
        <= FRESH_BEATS * dispatcher.heartbeat_interval_ms
        and (name, run) not in worker.stopping
        and (name, run) in worker.progress
        and worker.progress[name, run].percent >= FULL_PERCENT
    )


def may_stop(dispatcher, name, step):
    """Returns whether stopping a run keeps its step available."""
    if not step.lasting or not step.max_unavailable:
        return True
    return away_count(dispatcher, name) < step.max_unavailable


def withdraw_stops(dispatcher, worker):
    """Gives up the stops that would now make a step unavailable.

    Tasks of the step may have been lost since a stop was decided.
    """
    for key in list(worker.stopping):
        step, progress = worker.runs.get(key), worker.progress.get(key)
        if step is None or progress is None:
            continue
        at_work = progress.percent >= FULL_PERCENT
        if at_work and not may_stop(dispatcher, key[0], step):
            worker.stopping.discard(key)


def evacuate(dispatcher, worker, stop_all):
    """Wants the runs of a worker moved, as far as is allowed now.

    Args:
        dispatcher: BatchDispatcher.
        worker: Worker that is to become empty.
        stop_all: Whether tasks that would end by themselves are
            stopped too.
    """
    for key, step in list(worker.runs.items()):
        if key in worker.stopping or not (step.lasting or stop_all):
            continue
        if key not in worker.progress and step.lasting:
            continue
        if may_stop(dispatcher, key[0], step):
            worker.stopping.add(key)

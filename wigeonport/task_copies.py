"""Copies of tasks whose workers are silent or excluded.

Only steps that allow copies get them; the first copy that is done counts,
and the other is stopped.
"""

from wigeonport.batch_commands import StartRuns
from wigeonport.batch_specs import split_task_id
from wigeonport.logs import PartLogger
from wigeonport.machine_losses import SUSPECT_BEATS
from wigeonport.task_placements import Spot, claims_of

logger = PartLogger("copies")

# Live runs of a task at the same time.
MOST_RUNS = 2


def find_copies(dispatcher, now_ms):
    """Returns lists of the tasks that want a copy, by service."""
    wanted = {}
    silent_ms = SUSPECT_BEATS * dispatcher.heartbeat_interval_ms
    for worker in dispatcher.workers.by_id.values():
        silent = now_ms - worker.heard_ms > silent_ms
        if not silent and now_ms >= worker.shunned_until_ms:
            continue
        names = [name for (name, _), s in worker.runs.items() if s.duplicates]
        if names:
            wanted.setdefault(worker.report.service, []).extend(names)
    return wanted


def place_copies(dispatcher, worker, now_ms, wall_ms):
    """Starts copies on a worker while they fit."""
    names = dispatcher.copies.get(worker.report.service)
    if not names:
        return
    service = worker.report.service
    claims = {
        claim.job.job_id: claim
        for claim in claims_of(dispatcher, service, wall_ms)
    }
    room = worker.room()
    for name in names:
        job_id, occurrence, number, index = split_task_id(name)
        found, claim = dispatcher.task_of(name), claims.get(job_id)
        if found is None or claim is None:
            continue
        _, step_run, task = found
        if task.done or not 0 < len(task.runs) < MOST_RUNS:
            continue
        if worker.incarnation in task.runs.values():
            continue
        step = step_run.step
        spot = Spot(dispatcher, worker, claim, occurrence, number)
        if not spot.suits(step, now_ms) or spot.failed_here(index):
            continue
        if spot.limit(step) < 1 or not room.fits(step):
            continue
        room.subtract(step)
        run = task.last_run + 1
        dispatcher.record(StartRuns([name], [run], worker.incarnation))
        logger.info(
            "Task gets a copy.",
            task=name,
            run=run,
            worker=worker.incarnation,
            others=",".join(task.runs.values()),
        )

"""Speculative copies of tasks whose workers are silent or excluded.

Only steps that allow duplicates get copies. The first run that is done
counts, and the other is stopped.
"""

from wigeonport.batch_commands import StartRuns
from wigeonport.batch_specs import split_task_id
from wigeonport.logs import PartLogger
from wigeonport.machine_losses import SUSPECT_HEARTBEATS
from wigeonport.task_placements import WorkerCandidate, active_ranked_jobs
from wigeonport.tenant_usage import open_allowance

logger = PartLogger("copies")

# Maximum number of live runs of a task at the same time.
MAX_LIVE_RUNS = 2


def find_tasks_to_copy(dispatcher, now_ms):
    """Returns a dict from service to the ids of the tasks to copy."""
    tasks_by_service = {}
    silent_ms = SUSPECT_HEARTBEATS * dispatcher.heartbeat_interval_ms
    for worker in dispatcher.workers.by_id.values():
        silent = now_ms - worker.last_heartbeat_ms > silent_ms
        if not silent and now_ms >= worker.excluded_until_ms:
            continue
        names = [
            name for (name, _), step in worker.runs.items() if step.duplicates
        ]
        if names:
            tasks_by_service.setdefault(worker.report.service, []).extend(
                names
            )
    return tasks_by_service


def start_copies(dispatcher, worker, now_ms, wall_ms):
    """Starts copies of tasks on a worker while they fit."""
    names = dispatcher.tasks_to_copy.get(worker.report.service)
    if not names:
        return
    service = worker.report.service
    ranked_jobs = {
        ranked_job.job.job_id: ranked_job
        for ranked_job in active_ranked_jobs(dispatcher, service, wall_ms)
    }
    free_capacity = worker.free_capacity()
    for name in names:
        job_id, occurrence, number, index = split_task_id(name)
        entry, ranked_job = dispatcher.find_task(name), ranked_jobs.get(job_id)
        if entry is None or ranked_job is None:
            continue
        _, step_run, task = entry
        if task.done or not 0 < len(task.runs) < MAX_LIVE_RUNS:
            continue
        if worker.incarnation in task.runs.values():
            continue
        step = step_run.step
        candidate = WorkerCandidate(
            dispatcher, worker, ranked_job, occurrence, number
        )
        if not candidate.is_suitable(
            step, now_ms
        ) or candidate.failed_recently(index):
            continue
        if candidate.remaining_limit(step) < 1 or not free_capacity.fits(step):
            continue
        if not open_allowance(dispatcher).allows(ranked_job.job, step):
            continue
        free_capacity.subtract(step)
        run = task.last_run + 1
        dispatcher.record(StartRuns([name], [run], worker.incarnation))
        logger.info(
            "Duplicate run scheduled.",
            task=name,
            run=run,
            worker=worker.incarnation,
            others=",".join(task.runs.values()),
        )

"""What the heartbeats of workers say of their runs."""

from wigeonport.batch_commands import EndRuns
from wigeonport.batch_jobs import ENDED_FAILED
from wigeonport.batch_specs import split_task_id
from wigeonport.logs import PartLogger
from wigeonport.worker_evaluations import update_failures, update_progress

logger = PartLogger("dispatch")

# Failed tasks whose workers are remembered; beyond, all are forgotten.
MAX_FAILED_TASKS = 4_096


def record_ended_runs(dispatcher, worker, orders):
    """Records the ends that a worker lists."""
    tasks, runs, outcomes, saved = [], [], [], []
    for end in worker.report.ended:
        orders.acknowledged = max(orders.acknowledged, end.number)
        if dispatcher.find_task(end.task) is None:
            continue
        tasks.append(end.task)
        runs.append(end.run)
        outcomes.append(end.outcome)
        saved.append(end.saved)
        record_outcome(dispatcher, worker, end)
    if tasks:
        dispatcher.record(EndRuns(tasks, runs, outcomes, saved))
        remove_ended_jobs(dispatcher, tasks)
        refresh_ended_steps(dispatcher, worker, tasks)


def refresh_ended_steps(dispatcher, worker, tasks):
    """Tells the order of jobs which of them may have steps that are ready."""
    kept = dispatcher.ranked_jobs.get(worker.report.service)
    for name in tasks:
        found = dispatcher.find_task(name)
        if kept is not None and (found is None or not found[1].left):
            kept.refresh_job(split_task_id(name)[0])


def remove_ended_jobs(dispatcher, tasks):
    """Logs the jobs that ended with these tasks."""
    for job_id in {split_task_id(name)[0] for name in tasks}:
        job = dispatcher.active.get(job_id)
        if job is None or job.active:
            continue
        del dispatcher.active[job_id]
        logger.info(
            "Job ended.",
            job=job_id,
            state=job.state,
            queue=job.queue,
            age_ms=dispatcher.wall_ms - job.submitted_ms,
            term=dispatcher.term,
        )


def record_outcome(dispatcher, worker, end):
    """Keeps where tasks failed, and logs each end."""
    if end.outcome == ENDED_FAILED:
        if len(dispatcher.failure_times) > MAX_FAILED_TASKS:
            dispatcher.failure_times.clear()
        places = dispatcher.failure_times.setdefault(end.task, {})
        places[worker.report.worker_id] = worker.last_heartbeat_ms
    update_failures(dispatcher, worker, end)
    logger.info(
        "Run ended.",
        task=end.task,
        run=end.run,
        outcome=end.outcome,
        worker=worker.incarnation,
        sequence=worker.report.sequence,
    )


def record_reported_runs(dispatcher, worker):
    """Notes progress and checkpoints of the runs that are live."""
    listed = set()
    for row in worker.report.running:
        key = (row.task, row.run)
        if key in worker.runs:
            listed.add(key)
            update_progress(worker, key, row.percent)
            if row.saved:
                store_checkpoint(dispatcher, row)
    for key in set(worker.progress) - listed:
        del worker.progress[key]


def store_checkpoint(dispatcher, row):
    """Keeps the newest checkpoint for a start after a loss."""
    found = dispatcher.find_task(row.task)
    if found is not None:
        job, step_run, task = found
        job.keep_checkpoint(step_run, task, row.saved)

"""What the heartbeats of workers say of their runs."""

from wigeonport.batch_commands import EndRuns
from wigeonport.batch_jobs import ENDED_FAILED
from wigeonport.batch_specs import split_task_id
from wigeonport.logs import PartLogger
from wigeonport.worker_verdicts import note_end, note_progress

logger = PartLogger("dispatch")

# Failed tasks whose workers are remembered; beyond, all are forgotten.
FAILED_ON_LIMIT = 4_096


def take_ends(dispatcher, worker, orders):
    """Records the ends that a worker lists."""
    tasks, runs, outcomes, checkpoint = [], [], [], []
    for end in worker.report.ended:
        orders.acknowledged = max(orders.acknowledged, end.number)
        if dispatcher.task_of(end.task) is None:
            continue
        tasks.append(end.task)
        runs.append(end.run)
        outcomes.append(end.outcome)
        checkpoint.append(end.checkpoint)
        note_outcome(dispatcher, worker, end)
    if tasks:
        dispatcher.record(EndRuns(tasks, runs, outcomes, checkpoint))
        note_ended_jobs(dispatcher, tasks)
        note_ended_steps(dispatcher, worker, tasks)


def note_ended_steps(dispatcher, worker, tasks):
    """Tells the order of jobs which of them may have steps that are ready."""
    kept = dispatcher.claims.get(worker.report.service)
    for name in tasks:
        found = dispatcher.task_of(name)
        if kept is not None and (found is None or not found[1].remaining):
            kept.note_step(split_task_id(name)[0])


def note_ended_jobs(dispatcher, tasks):
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


def note_outcome(dispatcher, worker, end):
    """Keeps where tasks failed, and logs each end."""
    if end.outcome == ENDED_FAILED:
        if len(dispatcher.failed_on) > FAILED_ON_LIMIT:
            dispatcher.failed_on.clear()
        places = dispatcher.failed_on.setdefault(end.task, {})
        places[worker.report.worker_id] = worker.heard_ms
    note_end(dispatcher, worker, end)
    logger.info(
        "Run ended.",
        task=end.task,
        run=end.run,
        outcome=end.outcome,
        worker=worker.incarnation,
        sequence=worker.report.sequence,
    )


def take_progress(dispatcher, worker):
    """Notes progress and checkpoints of the runs that are live."""
    listed = set()
    for row in worker.report.running:
        key = (row.task, row.run)
        if key in worker.runs:
            listed.add(key)
            note_progress(worker, key, row.percent)
            if row.checkpoint:
                note_checkpoint(dispatcher, row)
    for key in set(worker.progress) - listed:
        del worker.progress[key]


def note_checkpoint(dispatcher, row):
    """Keeps the newest checkpoint for a start after a loss."""
    found = dispatcher.task_of(row.task)
    if found is not None:
        job, step_run, task = found
        job.store_checkpoint(step_run, task, row.checkpoint)

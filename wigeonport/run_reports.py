"""Handling of the ended and live runs that heartbeats report."""

from wigeonport.batch_jobs import DONE, ENDED_FAILED, ENDED_REFUSED
from wigeonport.batch_specs import split_task_id
from wigeonport.job_orders import allowed_time_ms
from wigeonport.logs import PartLogger
from wigeonport.run_measurements import measure_run
from wigeonport.worker_evaluations import update_failures, update_progress

logger = PartLogger("dispatch")

# Maximum number of tasks whose failure times are kept; once it is exceeded,
# all of them are dropped.
MAX_FAILED_TASKS = 4_096
# Number of ends that a worker returns at a time.
MAX_LISTED_ENDS = 500


def record_ended_runs(dispatcher, worker, orders):
    """Records the ended runs that a heartbeat lists.

    Args:
        dispatcher: BatchDispatcher.
        worker: Worker that sent the heartbeat.
        orders: WorkerOrders in answer, which acknowledge the ended runs.
    """
    tasks, runs, outcomes, checkpoints = [], [], [], []
    acknowledge_ends(worker, orders)
    for end in worker.report.ended:
        if not may_end(dispatcher, worker, end):
            continue
        tasks.append(end.task)
        runs.append(end.run)
        outcomes.append(end.outcome)
        checkpoints.append(end.checkpoint)
        record_outcome(dispatcher, worker, end)
    if tasks:
        dispatcher.record_ends(tasks, runs, outcomes, checkpoints)
        remove_ended_jobs(dispatcher, tasks)
        dispatcher.include_requeued(
            [
                task
                for task, outcome in zip(tasks, outcomes, strict=True)
                if outcome != DONE
            ]
        )
        refresh_ended_steps(dispatcher, worker, tasks)


def may_end(dispatcher, worker, end):
    """Returns whether a worker may report the end of a run.

    A run that is live on another worker goes on, whoever reports its end.
    """
    entry = dispatcher.find_task(end.task)
    if entry is None:
        return False
    runner = entry[2].runs.get(end.run, worker.incarnation)
    if runner == worker.incarnation:
        return True
    logger.warning(
        "End of another worker's run ignored.",
        task=end.task,
        run=end.run,
        outcome=end.outcome,
        worker=worker.incarnation,
        runner=runner,
    )
    return False


def acknowledge_ends(worker, orders):
    """Acknowledges the ends that a heartbeat lists.

    A malformed end is acknowledged too, because its worker would repeat it
    for ever, in the place of others. Its run is then started again under the
    same number, which the worker refuses, and that end counts. A number far
    beyond those of the other ends is not acknowledged, because ends that
    have yet to be reported would be forgotten.

    Args:
        worker: Worker that sent the heartbeat.
        orders: WorkerOrders in answer.
    """
    report = worker.report
    numbers = [end.number for end in report.ended]
    highest = max([worker.acknowledged, *numbers])
    for number in sorted(report.skipped_ends):
        if number <= highest + MAX_LISTED_ENDS:
            highest = max(highest, number)
            numbers.append(number)
    # Only ends of this heartbeat are acknowledged: an earlier one under the
    # same id may have come from another writer.
    orders.acknowledged = max(numbers, default=0)
    worker.acknowledged = highest


def refresh_ended_steps(dispatcher, worker, tasks):
    """Updates the startable steps of jobs in which a step has ended."""
    ranking = dispatcher.rankings.get(worker.report.service)
    for task_id in tasks:
        entry = dispatcher.find_task(task_id)
        if ranking is not None and (entry is None or not entry[1].remaining):
            ranking.refresh_job(split_task_id(task_id)[0])


def remove_ended_jobs(dispatcher, tasks):
    """Logs the jobs that ended with these tasks and stops tracking them."""
    for job_id in {split_task_id(task_id)[0] for task_id in tasks}:
        job = dispatcher.active.get(job_id)
        if job is None or job.active:
            continue
        del dispatcher.active[job_id]
        queue = dispatcher.state.routes.queue_of(job.queue)
        known = queue is not None and not job.spec.repeat_count
        logger.info(
            "Job ended.",
            job=job_id,
            state=job.state,
            queue=job.queue,
            age_ms=dispatcher.wall_ms - job.submitted_ms,
            allowed_ms=find_allowed_ms(dispatcher, queue, job) if known else 0,
            term=dispatcher.term,
        )


def find_allowed_ms(dispatcher, queue, job):
    """Returns the time from the start of a job to its objective, in ms."""
    return int(allowed_time_ms(queue, job.spec, dispatcher.run_times))


def record_outcome(dispatcher, worker, end):
    """Records the worker of a failed run, and logs the end of any run."""
    if dispatcher.interference is not None:
        dispatcher.interference.on_end(dispatcher, worker, end)
    if end.outcome == ENDED_FAILED:
        if len(dispatcher.failure_times) > MAX_FAILED_TASKS:
            dispatcher.failure_times.clear()
        failed_workers = dispatcher.failure_times.setdefault(end.task, {})
        failed_workers[worker.report.worker_id] = worker.last_heartbeat_ms
    if end.outcome == ENDED_REFUSED:
        # The ticket may have expired earlier than its stated validity.
        dispatcher.tickets.drop(
            end.task.rpartition(".")[0], worker.incarnation
        )
    update_failures(dispatcher, worker, end)
    measure_run(dispatcher, worker, end)
    logger.info(
        "Run ended.",
        task=end.task,
        run=end.run,
        outcome=end.outcome,
        worker=worker.incarnation,
        sequence=worker.report.sequence,
    )


def record_reported_runs(dispatcher, worker):
    """Records progress and checkpoints of the live runs."""
    reported = set()
    for row in worker.report.running:
        key = (row.task, row.run)
        if key in worker.runs:
            if row.percent is not None:
                reported.add(key)
                update_progress(worker, key, row.percent)
            if row.checkpoint:
                store_checkpoint(dispatcher, row)
    for key in set(worker.progress) - reported:
        del worker.progress[key]


def store_checkpoint(dispatcher, row):
    """Keeps the newest checkpoint, from which a lost task is resumed."""
    entry = dispatcher.find_task(row.task)
    index = split_task_id(row.task)[3] if entry is not None else None
    if entry is not None and index in entry[1].tasks:
        entry[1].store_checkpoint(index, row.checkpoint)

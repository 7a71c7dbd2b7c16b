"""Measurement of the run times of tasks, by the clocks of their workers."""

from wigeonport.batch_jobs import DONE
from wigeonport.batch_specs import split_task_id

# A worker reports an end this long after it.
REPORT_DELAY_MS = 50


def note_order(worker, key):
    """Notes when the start of a run was ordered.

    A repeated order says that an earlier one has not arrived, so that the
    start of the run is not known.

    Args:
        worker: Worker.
        key: Pair of task id and run number.
    """
    repeated = key in worker.ordered_ms
    worker.ordered_ms[key] = None if repeated else worker.measured_ms()


def measure_run(dispatcher, worker, end):
    """Records the run time of a run that is done.

    Runs that say nothing of their kind are left out: resumed ones, those away
    from their data, and those on an excluded worker.

    Args:
        dispatcher: BatchDispatcher.
        worker: Worker that ran it.
        end: RunEnd.
    """
    ordered_ms = worker.ordered_ms.pop((end.task, end.run), None)
    if ordered_ms is None or end.outcome != DONE or end.run != 1:
        return
    if dispatcher.now_ms < worker.excluded_until_ms:
        return
    job, step_run, _ = dispatcher.find_task(end.task)
    step = step_run.step
    if step.lasting or step.fills or step.same_rack:
        return
    if step.data_rack and step.data_rack != worker.report.rack:
        return
    number = split_task_id(end.task)[2]
    run_ms = worker.measured_ms() - ordered_ms - REPORT_DELAY_MS
    dispatcher.run_times.record(job.queue, number, step, run_ms)


def forget_orders(worker):
    """Drops the times of orders whose runs have ended without a report."""
    if len(worker.ordered_ms) <= len(worker.runs):
        return
    for key in set(worker.ordered_ms) - set(worker.runs):
        del worker.ordered_ms[key]


def expected_run_ms(dispatcher, name, step):
    """Returns the run time, in ms, that is expected of a task.

    Args:
        dispatcher: BatchDispatcher.
        name: Task id.
        step: Its Step.
    """
    if not dispatcher.run_times.wrong_kinds:
        return step.estimated_ms
    job_id, _, number, _ = split_task_id(name)
    job = dispatcher.state.batch.jobs.get(job_id)
    if job is None:
        return step.estimated_ms
    return dispatcher.run_times.predict(job.queue, number, step)

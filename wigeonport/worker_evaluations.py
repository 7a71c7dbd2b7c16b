"""Evaluation of workers whose runs fail, stall or are slow.

A faulty worker is excluded: it gets no new tasks for a limited time. Stalled
runs are moved to other workers. After the exclusion the worker gets tasks
again, and a longer exclusion follows only if it fails again.
"""

from wigeonport.batch_jobs import DONE, ENDED_FAILED
from wigeonport.logs import PartLogger
from wigeonport.run_measurements import expected_run_ms
from wigeonport.task_evacuations import FULL_PROGRESS_PERCENT
from wigeonport.worker_tables import RunProgress

logger = PartLogger("verdicts")

# Number of jobs with failed runs on a worker, without a success in between,
# before the worker is excluded. Two in a row are rare on a healthy worker,
# because a task fails by itself in 0.2% of its runs.
MIN_FAILED_JOBS = 2
# A task that has failed on this many workers counts against its job and no
# longer against a worker.
JOB_FAULT_WORKERS = 2
# A run is stalled when its progress has not changed for this long. A task of
# 4 s advances by 1% in 40 ms, and a resumption takes up to 600 ms.
STALL_MS = 1_600
# The same for a lasting task that is still starting up, which shows no
# progress and takes up to 1 s on a healthy worker.
LASTING_STALL_MS = 4_000
# A run is slow when its estimate predicts more than this many times its
# progress. Estimates are off by a fifth and run times vary by a third.
SLOW_FACTOR = 3.0
# Minimum age of a run before its speed is evaluated.
SLOW_AGE_MS = 700
# Number of jobs with slow runs before their worker is excluded. One job is
# not enough: its tasks share one estimate, which may be far off.
MIN_SLOW_JOBS = 2
# Share of the runs on a slow worker that are slow: on a machine that is slow
# all of them are, and a few long ones are no sign of it.
MIN_SLOW_SHARE = 0.5
# A slow run is moved if its remaining time exceeds the time of a move and a
# new run by this factor.
MOVE_FACTOR = 2.0
# Duration of a move: the stop, and the next heartbeat of another worker.
MOVE_MS = 600
# Highest run number that is moved because it is slow. A task with a wrong
# estimate is slow on every worker, and unlimited moves would keep it from
# ever ending.
MAX_MOVED_RUN = 2
# Minimum and maximum duration of an exclusion; it doubles with each further
# one until a run succeeds.
MIN_EXCLUSION_MS = 2_500
MAX_EXCLUSION_MS = 8_000
# Maximum share of a service's workers that are excluded at the same time.
MAX_EXCLUDED_SHARE = 0.34


def update_progress(worker, key, percent):
    """Records the reported progress of a run.

    Args:
        worker: Worker.
        key: Pair of task id and run number.
        percent: Reported progress.
    """
    progress = worker.progress.get(key)
    if progress is None:
        worker.progress[key] = RunProgress(percent, worker.measured_ms())
    else:
        progress.update(percent, worker.measured_ms())


def update_failures(dispatcher, worker, end):
    """Updates a worker's failed jobs with the outcome of a run.

    Args:
        dispatcher: BatchDispatcher.
        worker: Worker.
        end: RunEnd.
    """
    if end.outcome == DONE:
        worker.failed_jobs.clear()
        worker.exclusion_ms = 0
        return
    entry = dispatcher.find_task(end.task)
    if end.outcome != ENDED_FAILED or entry[1].step.lasting:
        return
    if len(dispatcher.failure_times.get(end.task, ())) >= JOB_FAULT_WORKERS:
        return
    worker.failed_jobs.add(entry[0].job_id)


def review_worker(dispatcher, worker, now_ms):
    """Moves stalled runs and excludes a faulty worker.

    Slow runs of an excluded worker are moved too where that is faster.
    """
    measured_ms = worker.measured_ms()
    stalled = find_stalled(worker, measured_ms)
    for key in stalled:
        worker.stopping.add(key)
    slow = find_slow(dispatcher, worker, measured_ms)
    if now_ms >= worker.excluded_until_ms:
        evaluate(dispatcher, worker, now_ms, stalled, slow)
    if now_ms < worker.excluded_until_ms:
        worker.stopping.update(
            key
            for key in slow
            if is_worth_moving(dispatcher, worker, key, measured_ms)
        )


def evaluate(dispatcher, worker, now_ms, stalled, slow):
    """Excludes a worker if its runs stall, fail or are slow."""
    if stalled:
        exclude(
            dispatcher, worker, now_ms, f"{len(stalled)} runs make no progress"
        )
    elif len(worker.failed_jobs) >= MIN_FAILED_JOBS:
        exclude(dispatcher, worker, now_ms, "the runs of several jobs failed")
    elif len({name.partition(".")[0] for name, _ in slow}) >= MIN_SLOW_JOBS:
        exclude(
            dispatcher, worker, now_ms, "the runs of several jobs are slow"
        )


def find_stalled(worker, measured_ms):
    """Returns the runs whose progress has not changed for too long.

    Args:
        worker: Worker.
        measured_ms: Time of its newest report, from ``Worker.measured_ms``.
    """
    stalled = []
    for key, progress in worker.progress.items():
        step = worker.runs.get(key)
        if step is None or step.gang or step.fills:
            continue
        if step.lasting and progress.percent >= FULL_PROGRESS_PERCENT:
            continue
        limit_ms = LASTING_STALL_MS if step.lasting else STALL_MS
        if measured_ms - progress.changed_ms > limit_ms:
            stalled.append(key)
    return stalled


def find_slow(dispatcher, worker, measured_ms):
    """Returns the runs that are far slower than expected.

    There are none if most runs of the worker have the expected speed: the
    others are then long by themselves. See ``find_stalled`` for the worker
    and the time.
    """
    slow, judged = [], 0
    for key, progress in worker.progress.items():
        step = worker.runs.get(key)
        age_ms = measured_ms - progress.first_ms
        if step is None or step.lasting or age_ms < SLOW_AGE_MS:
            continue
        if step.data_rack or step.same_rack:
            # Their speed depends on the rack, also on a healthy worker.
            continue
        judged += 1
        expected_ms = expected_run_ms(dispatcher, key[0], step)
        expected_percent = 100 * age_ms / max(1, expected_ms)
        if progress.percent * SLOW_FACTOR < min(100, expected_percent):
            slow.append(key)
    return slow if len(slow) >= MIN_SLOW_SHARE * judged else []


def is_worth_moving(dispatcher, worker, key, measured_ms):
    """Returns whether a slow run would end much sooner on another worker."""
    step = worker.runs[key]
    if step.gang or step.fills or key[1] > MAX_MOVED_RUN:
        return False
    progress = worker.progress[key]
    new_run_ms = expected_run_ms(dispatcher, key[0], step)
    if step.checkpoints:
        new_run_ms *= (100 - progress.percent) / 100
    return progress.remaining_ms(measured_ms) > MOVE_FACTOR * (
        new_run_ms + MOVE_MS
    )


def exclude(dispatcher, worker, now_ms, reason):
    """Excludes a worker, unless too many of its service already are."""
    service = worker.report.service
    peers = dispatcher.workers.of_service(service)
    excluded = sum(now_ms < other.excluded_until_ms for other in peers)
    if excluded + 1 > max(1, MAX_EXCLUDED_SHARE * len(peers)):
        return
    worker.exclusion_ms = min(
        MAX_EXCLUSION_MS, max(MIN_EXCLUSION_MS, 2 * worker.exclusion_ms)
    )
    worker.excluded_until_ms = now_ms + worker.exclusion_ms
    # After the exclusion one more failed job is enough.
    worker.failed_jobs = set(list(worker.failed_jobs)[: MIN_FAILED_JOBS - 1])
    logger.warning(
        "Worker excluded.",
        worker=worker.incarnation,
        service=service,
        reason=reason,
        for_ms=worker.exclusion_ms,
        sequence=worker.report.sequence,
    )

"""Verdicts on workers that fail, stall or slow down what they run.

A verdict keeps new tasks away from a worker for a while; stalled runs are
moved. It is reversible: the worker is tried again, and a longer exclusion
follows only if it fails again.
"""

from wigeonport.batch_jobs import DONE, ENDED_FAILED
from wigeonport.logs import PartLogger
from wigeonport.task_evacuations import FULL_PROGRESS_PERCENT
from wigeonport.worker_tables import RunProgress

logger = PartLogger("verdicts")

# Jobs that must have failed in a row. Two in a row on a sound worker are
# rare, because a task fails by itself in 0.2% of its runs.
MIN_FAILED_JOBS = 2
# Failures on this many workers speak against the job.
JOB_FAULT_WORKERS = 2
# A run whose percent has not changed for so long stands still; a task of
# 4 s advances by 1% in 40 ms, and a resumption takes up to 600 ms.
STALL_MS = 1_600
# The same for a lasting task that is not at work yet; its start-up shows no
# progress and takes up to 1 s on a sound worker.
LASTING_STALL_MS = 4_000
# A run is slow when it will take this many times its estimate. Estimates
# are off by a fifth and run times spread by a third.
SLOW_FACTOR = 3.0
# Shortest age of a run whose speed counts.
SLOW_AGE_MS = 700
# Jobs whose runs must be slow together; the tasks of one job share its
# estimate, which may be far off.
MIN_SLOW_JOBS = 2
# A slow run is moved if it would take longer than a new one by this factor.
MOVE_FACTOR = 2.0
# Time of a move: the stop, and the next heartbeat of another worker.
MOVE_MS = 600
# Highest run number that is moved for slowness. A task whose estimate is
# wrong is slow everywhere and must end somewhere.
MAX_MOVED_RUN = 2
# First and longest exclusion of a worker.
MIN_EXCLUSION_MS = 2_500
MAX_EXCLUSION_MS = 8_000
# Share of a service's workers that may be excluded at a time.
MAX_EXCLUDED_SHARE = 0.34


def update_progress(worker, key, percent):
    """Takes in the progress of a run."""
    known = worker.progress.get(key)
    if known is None:
        worker.progress[key] = RunProgress(percent, worker.last_heartbeat_ms)
    else:
        known.update(percent, worker.last_heartbeat_ms)


def update_failures(dispatcher, worker, end):
    """Takes in the end of a run."""
    if end.outcome == DONE:
        worker.failed_jobs.clear()
        worker.exclusion_ms = 0
        return
    found = dispatcher.find_task(end.task)
    if end.outcome != ENDED_FAILED or found[1].step.lasting:
        return
    if len(dispatcher.failure_times.get(end.task, ())) >= JOB_FAULT_WORKERS:
        return
    worker.failed_jobs.add(found[0].job_id)


def review_worker(dispatcher, worker, now_ms):
    """Excludes a worker that shows a fault, and moves stalled runs."""
    stalled = find_stalled(worker, now_ms)
    for key in stalled:
        worker.stopping.add(key)
    slow = find_slow(worker, now_ms)
    if now_ms >= worker.excluded_until_ms:
        evaluate(dispatcher, worker, now_ms, stalled, slow)
    if now_ms < worker.excluded_until_ms:
        worker.stopping.update(
            key for key in slow if is_worth_moving(worker, key, now_ms)
        )


def evaluate(dispatcher, worker, now_ms, stalled, slow):
    """Excludes a worker that shows a fault."""
    if stalled:
        exclude(dispatcher, worker, now_ms, f"{len(stalled)} runs stand still")
    elif len(worker.failed_jobs) >= MIN_FAILED_JOBS:
        exclude(dispatcher, worker, now_ms, "it fails what it starts")
    elif len({name.partition(".")[0] for name, _ in slow}) >= MIN_SLOW_JOBS:
        exclude(dispatcher, worker, now_ms, "it is slow")


def find_stalled(worker, now_ms):
    """Returns the runs that have not advanced for a while."""
    stalled = []
    for key, progress in worker.progress.items():
        step = worker.runs.get(key)
        if step is None or step.gang or step.fills:
            continue
        if step.lasting and progress.percent >= FULL_PROGRESS_PERCENT:
            continue
        limit_ms = LASTING_STALL_MS if step.lasting else STALL_MS
        if now_ms - progress.changed_ms > limit_ms:
            stalled.append(key)
    return stalled


def find_slow(worker, now_ms):
    """Returns the runs that take far longer than estimated."""
    slow = []
    for key, progress in worker.progress.items():
        step = worker.runs.get(key)
        age_ms = now_ms - progress.first_ms
        if step is None or step.lasting or age_ms < SLOW_AGE_MS:
            continue
        if step.data_rack or step.same_rack:
            # These are slower by their place, on a sound worker too.
            continue
        expected = 100 * age_ms / max(1, step.estimated_ms)
        if progress.percent * SLOW_FACTOR < min(100, expected):
            slow.append(key)
    return slow


def is_worth_moving(worker, key, now_ms):
    """Returns whether a slow run ends sooner if it starts elsewhere."""
    step = worker.runs[key]
    if step.gang or step.fills or key[1] > MAX_MOVED_RUN:
        return False
    progress = worker.progress[key]
    anew_ms = step.estimated_ms
    if step.checkpoints:
        anew_ms *= (100 - progress.percent) / 100
    return progress.remaining_ms(now_ms) > MOVE_FACTOR * (anew_ms + MOVE_MS)


def exclude(dispatcher, worker, now_ms, reason):
    """Keeps new tasks away from a worker, unless too many are excluded."""
    service = worker.report.service
    peers = dispatcher.workers.of_service(service)
    excluded = sum(now_ms < other.excluded_until_ms for other in peers)
    if excluded + 1 > max(1, MAX_EXCLUDED_SHARE * len(peers)):
        return
    worker.exclusion_ms = min(
        MAX_EXCLUSION_MS, max(MIN_EXCLUSION_MS, 2 * worker.exclusion_ms)
    )
    worker.excluded_until_ms = now_ms + worker.exclusion_ms
    # After the exclusion one more failure is enough.
    worker.failed_jobs = set(list(worker.failed_jobs)[: MIN_FAILED_JOBS - 1])
    logger.warning(
        "Worker is excluded.",
        worker=worker.incarnation,
        service=service,
        reason=reason,
        for_ms=worker.exclusion_ms,
        sequence=worker.report.sequence,
    )

"""Tests of speculative copies of tasks, and of moves of slow runs."""

import pytest
from batch_fixtures import JOB, DispatcherHarness, started_runs

ONE = {"count": 1, "cpu_milli": 1_000, "memory_mb": 100, "estimated_ms": 600}
COPIED = ONE | {"duplicates": True}
TASK = f"{JOB}.0.0.0"


@pytest.fixture
def two_workers():
    """A dispatcher harness with two workers that have sent a heartbeat."""
    harness = DispatcherHarness()
    harness.heartbeat("w1")
    harness.heartbeat("w2")
    return harness


def test_task_on_a_silent_worker_gets_a_copy(two_workers):
    """A task that allows copies must not wait for a silent worker's lease."""
    two_workers.submit(COPIED)
    two_workers.heartbeat("w1")
    two_workers.advance(1_200)
    assert started_runs(two_workers.heartbeat("w2")) == [(TASK, 2)]


def test_task_that_forbids_duplicates_gets_no_copy(two_workers):
    """A task that doesn't allow copies must not run twice at the same time."""
    two_workers.submit(ONE)
    two_workers.heartbeat("w1")
    two_workers.advance(1_200)
    assert started_runs(two_workers.heartbeat("w2")) == []


def test_task_gets_one_copy_only(two_workers):
    """A task must not get a second copy while the first one is live.

    Copies of copies would fill the pool after a network partition.
    """
    two_workers.heartbeat("w3")
    two_workers.submit(COPIED)
    two_workers.heartbeat("w1")
    two_workers.advance(1_200)
    two_workers.heartbeat("w2")
    two_workers.advance(100)
    assert started_runs(two_workers.heartbeat("w3")) == []


def test_first_copy_that_is_done_stops_the_other(two_workers):
    """The other run must be stopped once one copy is done.

    Its further work would be wasted.
    """
    two_workers.submit(COPIED)
    two_workers.heartbeat("w1")
    two_workers.advance(1_200)
    two_workers.heartbeat("w2")
    two_workers.heartbeat("w2", ended=[(1, TASK, 2, "done")])
    assert two_workers.state() == "completed"
    assert two_workers.heartbeat("w1", running=[(TASK, 1)]).stops == [
        (TASK, 1)
    ]


def test_failed_copies_end_the_job_after_the_attempts(two_workers):
    """Failed copies must count against the attempts of the task.

    Otherwise a task with copies could run more often than its queue allows.
    """
    two_workers.submit(COPIED)
    two_workers.heartbeat("w1")
    two_workers.advance(1_200)
    two_workers.heartbeat("w2")
    two_workers.heartbeat("w2", ended=[(1, TASK, 2, "failed")])
    two_workers.heartbeat("w1", ended=[(1, TASK, 1, "failed")])
    assert two_workers.state() == "failed"
    two_workers.advance(1_200)
    assert started_runs(two_workers.heartbeat("w2")) == []


def submit_two(harness):
    """Submits two jobs of one task each."""
    for number in (1, 2):
        harness.submit(ONE, job_id=f"{number:016x}")


def run_slowly(harness):
    """Runs tasks of two jobs far slower than estimated on one worker."""
    submit_two(harness)
    tasks = [name for name, _ in started_runs(harness.heartbeat("w1"))]
    rows = [(name, 1, "", 0) for name in tasks]
    harness.heartbeat("w1", running=rows)
    harness.advance(800)
    return tasks, harness.heartbeat(
        "w1", running=[(t, 1, "", 15) for t in tasks]
    )


def test_runs_on_a_slow_worker_are_moved(two_workers):
    """A slow worker must not hold up its jobs for many times their estimate.

    Its runs are stopped, it is excluded, and the tasks start elsewhere.
    """
    two_workers.heartbeat("w3")
    tasks, orders = run_slowly(two_workers)
    assert sorted(orders.stops) == [(task, 1) for task in tasks]
    ends = [(n + 1, task, 1, "stopped") for n, task in enumerate(tasks)]
    assert started_runs(two_workers.heartbeat("w1", ended=ends)) == []
    assert started_runs(two_workers.heartbeat("w2")) == [
        (task, 2) for task in tasks
    ]


def test_job_with_a_wrong_estimate_excludes_no_worker(two_workers):
    """A healthy worker must not be excluded for one job's wrong estimate."""
    two_workers.submit(ONE | {"count": 2})
    tasks = [name for name, _ in started_runs(two_workers.heartbeat("w1"))]
    for percent in (0, 15):
        orders = two_workers.heartbeat(
            "w1", running=[(t, 1, "", percent) for t in tasks]
        )
        two_workers.advance(800)
    assert orders.stops == []
    two_workers.submit(ONE, job_id="00000000000000cc")
    assert (
        len(
            started_runs(
                two_workers.heartbeat("w1", running=[(t, 1) for t in tasks])
            )
        )
        == 1
    )


def test_slow_run_that_is_nearly_done_is_not_moved(two_workers):
    """A slow run must not be moved if a new one would take longer."""
    submit_two(two_workers)
    tasks = [name for name, _ in started_runs(two_workers.heartbeat("w1"))]
    for percent in (0, 90):
        orders = two_workers.heartbeat(
            "w1", running=[(t, 1, "", percent) for t in tasks]
        )
        two_workers.advance(4_000)
        two_workers.heartbeat("w2")
    assert orders.stops == []


def test_task_that_is_slow_everywhere_is_not_moved_for_ever(two_workers):
    """A task with a wrong estimate must not be moved again and again.

    It is slow on every worker and would never end.
    """
    submit_two(two_workers)
    moves = 0
    for run in range(1, 6):
        for worker in ("w1", "w2", "w3", "w4"):
            started = started_runs(two_workers.heartbeat(worker))
            if started:
                break
        else:
            two_workers.advance(9_000)
            continue
        two_workers.heartbeat(
            worker, running=[(*key, "", 0) for key in started]
        )
        two_workers.advance(800)
        rows = [(*key, "", 15) for key in started]
        stops = two_workers.heartbeat(worker, running=rows).stops
        if not stops:
            break
        moves += 1
        ends = [(2 * run + n, *key, "stopped") for n, key in enumerate(stops)]
        two_workers.heartbeat(worker, ended=ends)
    assert moves <= 2

"""Tests of copies of tasks, and of the moves of slow runs."""

import pytest
from batch_fixtures import JOB, DispatcherHarness, started_runs

ONE = {"count": 1, "cpu_milli": 1_000, "memory_mb": 100, "estimated_ms": 600}
COPIED = ONE | {"duplicates": True}
TASK = f"{JOB}.0.0.0"


@pytest.fixture
def pair():
    """A scene with two workers that have been heard."""
    harness = DispatcherHarness()
    harness.heartbeat("w1")
    harness.heartbeat("w2")
    return harness


def test_task_on_a_silent_worker_gets_a_copy(pair):
    """A job that allows copies must not wait for a lease to lapse."""
    pair.submit(COPIED)
    pair.heartbeat("w1")
    pair.advance(1_200)
    assert started_runs(pair.heartbeat("w2")) == [(TASK, 2)]


def test_task_without_leave_gets_no_copy(pair):
    """Two runs at the same time break the promise of one."""
    pair.submit(ONE)
    pair.heartbeat("w1")
    pair.advance(1_200)
    assert started_runs(pair.heartbeat("w2")) == []


def test_task_gets_one_copy_only(pair):
    """Copies of copies would fill the pool after a cut."""
    pair.heartbeat("w3")
    pair.submit(COPIED)
    pair.heartbeat("w1")
    pair.advance(1_200)
    pair.heartbeat("w2")
    pair.advance(100)
    assert started_runs(pair.heartbeat("w3")) == []


def test_first_copy_that_is_done_ends_the_other(pair):
    """The work of the other copy is wasted."""
    pair.submit(COPIED)
    pair.heartbeat("w1")
    pair.advance(1_200)
    pair.heartbeat("w2")
    pair.heartbeat("w2", ended=[(1, TASK, 2, "done")])
    assert pair.state() == "completed"
    assert pair.heartbeat("w1", running=[(TASK, 1)]).stops == [(TASK, 1)]


def test_failed_copies_end_the_job_after_the_attempts(pair):
    """Copies must not multiply the attempts of a task."""
    pair.submit(COPIED)
    pair.heartbeat("w1")
    pair.advance(1_200)
    pair.heartbeat("w2")
    pair.heartbeat("w2", ended=[(1, TASK, 2, "failed")])
    pair.heartbeat("w1", ended=[(1, TASK, 1, "failed")])
    assert pair.state() == "failed"
    pair.advance(1_200)
    assert started_runs(pair.heartbeat("w2")) == []


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


def test_runs_on_a_slow_worker_are_moved(pair):
    """A slow worker must not hold its jobs for many run times."""
    pair.heartbeat("w3")
    tasks, orders = run_slowly(pair)
    assert sorted(orders.stops) == [(task, 1) for task in tasks]
    ends = [(n + 1, task, 1, "stopped") for n, task in enumerate(tasks)]
    assert started_runs(pair.heartbeat("w1", ended=ends)) == []
    assert started_runs(pair.heartbeat("w2")) == [(task, 2) for task in tasks]


def test_job_with_a_wrong_estimate_speaks_against_no_worker(pair):
    """A sound worker must not be excluded for one job's estimate."""
    pair.submit(ONE | {"count": 2})
    tasks = [name for name, _ in started_runs(pair.heartbeat("w1"))]
    for percent in (0, 15):
        orders = pair.heartbeat(
            "w1", running=[(t, 1, "", percent) for t in tasks]
        )
        pair.advance(800)
    assert orders.stops == []
    pair.submit(ONE, job_id="00000000000000cc")
    assert (
        len(
            started_runs(pair.heartbeat("w1", running=[(t, 1) for t in tasks]))
        )
        == 1
    )


def test_slow_run_that_is_nearly_done_is_left_alone(pair):
    """A new start takes longer than the rest of the run."""
    submit_two(pair)
    tasks = [name for name, _ in started_runs(pair.heartbeat("w1"))]
    for percent in (0, 90):
        orders = pair.heartbeat(
            "w1", running=[(t, 1, "", percent) for t in tasks]
        )
        pair.advance(4_000)
        pair.heartbeat("w2")
    assert orders.stops == []


def test_task_that_is_slow_everywhere_is_not_moved_for_ever(pair):
    """A wrong estimate must not keep a task from ever ending."""
    submit_two(pair)
    moves = 0
    for run in range(1, 6):
        for worker in ("w1", "w2", "w3", "w4"):
            started = started_runs(pair.heartbeat(worker))
            if started:
                break
        else:
            pair.advance(9_000)
            continue
        pair.heartbeat(worker, running=[(*key, "", 0) for key in started])
        pair.advance(800)
        rows = [(*key, "", 15) for key in started]
        stops = pair.heartbeat(worker, running=rows).stops
        if not stops:
            break
        moves += 1
        ends = [(2 * run + n, *key, "stopped") for n, key in enumerate(stops)]
        pair.heartbeat(worker, ended=ends)
    assert moves <= 2

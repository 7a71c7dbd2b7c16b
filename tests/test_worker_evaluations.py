"""Tests of the evaluation of workers by the speed of their runs."""

import pytest
from batch_fixtures import DispatcherHarness, started_runs

from wigeonport.worker_reports import Resources

STEP = {"cpu_milli": 100, "memory_mb": 10, "estimated_ms": 1_000}
RUNS = 8


@pytest.fixture
def run_beside():
    """Runs tasks of eight jobs on one of several workers for 1.5 s.

    Takes how many of them advance at a tenth of the speed, and returns
    whether their worker is excluded.
    """

    def run(slow):
        harness = DispatcherHarness()
        capacity = Resources(100 * RUNS, 10 * RUNS, 0)
        for number in range(RUNS):
            job_id = f"{number:016x}"
            harness.submit(STEP | {"count": 1}, job_id=job_id)
        starts = started_runs(harness.heartbeat("w1", capacity=capacity))
        assert len(starts) == RUNS
        for other in ("w2", "w3", "w4"):
            harness.heartbeat(other, capacity=capacity)
        for passed_ms in (10, 500, 1_000, 1_500):
            harness.now_ms = 100_000 + passed_ms
            rows = [
                (*key, "", passed_ms // (100 if number < slow else 20))
                for number, key in enumerate(starts)
            ]
            harness.heartbeat("w1", running=rows, capacity=capacity)
        worker = harness.dispatcher.workers.by_id["w1"]
        return worker.excluded_until_ms > harness.now_ms

    return run


def test_a_few_long_runs_exclude_no_worker(run_beside):
    """Long tails must not take sound workers out of their pools."""
    assert not run_beside(slow=2)


def test_a_slow_machine_is_excluded(run_beside):
    """A machine on which every run is slow must get no more tasks."""
    assert run_beside(slow=RUNS)

"""Measures the processor time of decisions on jobs at the leader.

Usage: dispatcher_costs.py

Prints the processor time of a submission, of a heartbeat that starts and ends
a task, and of one that changes nothing, beside a number of waiting jobs.
"""

import pathlib
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "tests"), str(ROOT)]

from batch_fixtures import DispatcherHarness, started_runs  # noqa: E402

JOBS = 300
HEARTBEATS = 2_000
STEP = {"count": 6, "cpu_milli": 4_000, "memory_mb": 700, "estimated_ms": 640}


def measure(number, function):
    """Returns the mean processor time of a call in us."""
    start_s = time.process_time()
    for each in range(number):
        function(each)
    return (time.process_time() - start_s) / number * 1e6


def main():
    """Prints the three figures."""
    harness = DispatcherHarness()
    live, ends = [], []

    def submit(number):
        harness.submit(STEP, STEP | {"count": 2}, job_id=f"{number:016x}")

    def start_and_end(number):
        harness.now_ms += 10
        orders = harness.heartbeat(
            running=live, ended=ends[-1:], clock_ms=harness.now_ms
        )
        live[:] = started_runs(orders)
        ends.extend(
            (len(ends) + 1, task, run, "done") for task, run in live[:1]
        )
        harness.dispatcher.take_operations()

    def repeat(number):
        harness.now_ms += 10
        harness.heartbeat("w2", running=(), draining=True)

    submission_us = measure(JOBS, submit)
    start_us = measure(HEARTBEATS, start_and_end)
    unchanged_us = measure(HEARTBEATS, repeat)
    print(
        f"submission {submission_us:.0f} us, start and end {start_us:.0f} us, "
        f"unchanged heartbeat {unchanged_us:.0f} us"
    )


if __name__ == "__main__":
    main()

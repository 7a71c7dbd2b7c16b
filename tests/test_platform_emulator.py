"""Tests of the checks that the fault soak of the platform makes."""

import random
import time

import pytest
from platform_emulator import EmulatedWorker, Run, RunChecker

TASK = "00000000000000aa.0.0.0"


@pytest.fixture
def worker():
    """A worker with a lease, and one run of TASK that is over."""
    worker = EmulatedWorker(
        "w1", "desk", ["127.0.0.1:1"], RunChecker(), random.Random(1)
    )
    worker.lease_until = time.monotonic() + 60
    run = worker.runs[TASK] = Run(1, 0.5)
    run.started -= 1
    worker.checker.record_start(TASK, 1, "w1")
    return worker


def end_again(worker):
    """Starts the task on another worker; returns the violations."""
    worker.checker.record_start(TASK, 2, "w2")
    return worker.checker.violations


def test_second_start_within_the_lease_is_a_violation(worker):
    """Guards against a check that excuses a second run of a done task."""
    worker.end_due_runs()
    assert worker.unacknowledged_ends[0][3] == "done"
    assert len(end_again(worker)) == 1


def test_second_start_after_an_acknowledged_end_is_a_violation(worker):
    """Guards against an excuse for an end that a control has recorded."""
    worker.end_due_runs()
    worker.unacknowledged_ends.clear()
    worker.lease_until = 0
    worker.end_due_runs()
    assert len(end_again(worker)) == 1


def test_second_start_after_a_lapsed_lease_is_allowed(worker):
    """Guards against a violation for an end that could not be reported.

    An end whose worker's lease expired before its acknowledgement excuses
    another start, and only that one.
    """
    worker.end_due_runs()
    worker.lease_until = 0
    worker.end_due_runs()
    assert not end_again(worker)
    worker.checker.record_end(TASK, "w2", "done")
    worker.end_due_runs()
    worker.checker.record_start(TASK, 3, "w3")
    assert len(worker.checker.violations) == 1


def test_run_that_the_lease_ended_is_not_done(worker):
    """Guards against a run that a paused worker counts as done too late."""
    worker.lease_until = worker.runs[TASK].started + 0.2
    worker.end_due_runs()
    assert worker.unacknowledged_ends[0][3] == "lapsed"

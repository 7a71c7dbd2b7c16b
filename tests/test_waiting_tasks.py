"""Tests of the log lines on lasting tasks that wait."""

import pytest
from batch_fixtures import JOB, started_runs

from wigeonport import waiting_tasks
from wigeonport.worker_reports import Resources

LASTING = {
    "count": 1,
    "cpu_milli": 1_000,
    "memory_mb": 100,
    "lasting": True,
    "max_per_worker": 1,
}
TASK = f"{JOB}.0.0.0"
SMALL = Resources(100, 8_000, 0)


class LineCollector:
    """Logger that keeps the fields of its lines.

    Attributes:
        lines: List of dicts of fields.
    """

    __slots__ = ("lines",)

    def __init__(self):
        self.lines = []

    def warning(self, sentence, **fields):
        """Keeps the fields of a line."""
        self.lines.append(fields)


@pytest.fixture
def log(monkeypatch):
    """The lines of the module under test."""
    collector = LineCollector()
    monkeypatch.setattr(waiting_tasks, "logger", collector)
    return collector


def wait(harness, duration_ms, beat):
    """Lets time pass with heartbeats every 400 ms."""
    for _ in range(duration_ms // 400):
        harness.advance(400)
        beat()


def reserve(harness):
    """Reserves the worker w1."""
    harness.dispatcher.workers.by_id["w1"].reserved_ms = harness.now_ms


def exclude(harness):
    """Excludes the worker w1 for a minute."""
    worker = harness.dispatcher.workers.by_id["w1"]
    worker.excluded_until_ms = harness.now_ms + 60_000


@pytest.mark.parametrize(
    ("change", "values", "obstacle"),
    [
        (reserve, {}, "reserved"),
        (exclude, {}, "excluded"),
        (None, {"capacity": SMALL}, "full"),
        (None, {"draining": True}, "draining"),
    ],
)
def test_waiting_task_is_logged_with_its_obstacle(
    harness, log, change, values, obstacle
):
    """Guards against a task that waits while no line says why."""
    harness.heartbeat(**values)
    if change is not None:
        change(harness)
    harness.submit(LASTING)
    wait(harness, 4_000, lambda: harness.heartbeat(**values))
    assert [line["task"] for line in log.lines] == [TASK]
    assert log.lines[0]["workers"] == {obstacle: 1}
    assert log.lines[0]["waited_ms"] >= waiting_tasks.WAIT_LOG_MS


def test_start_that_is_never_taken_is_logged(harness, log):
    """Guards against a task that counts as started and does not run."""
    harness.submit(LASTING)
    assert started_runs(harness.heartbeat()) == [(TASK, 1)]
    wait(harness, 4_000, harness.heartbeat)
    assert log.lines[0]["runs"] == {1: "w1@50000"}
    assert log.lines[0]["workers"] == {"limit": 1}


def test_running_task_is_not_logged(harness, log):
    """Guards against lines about tasks that are at work."""
    harness.submit(LASTING)
    harness.heartbeat()
    wait(
        harness,
        8_000,
        lambda: harness.heartbeat(running=[(TASK, 1, "", 100)]),
    )
    assert log.lines == []


def test_number_of_kept_waits_is_bounded(harness, log):
    """Guards against waits that take more memory than the accepted jobs."""
    harness.submit(LASTING | {"count": 10_000})
    wait(harness, 1_200, harness.heartbeat)
    assert len(harness.dispatcher.waits) == waiting_tasks.MAX_WAITS


def test_ended_job_behind_many_waits_is_dropped(harness, log):
    """Guards against ended jobs that the bound on waits keeps in memory."""
    harness.submit(LASTING | {"count": 10_000}, job_id="0" * 16)
    harness.submit(LASTING)
    harness.cancel()
    wait(harness, 1_200, harness.heartbeat)
    assert list(harness.dispatcher.lasting_jobs) == ["0" * 16]

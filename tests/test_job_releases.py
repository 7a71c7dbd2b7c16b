"""Tests of what is kept of a job after its end."""

import pytest
from batch_fixtures import JOB, started_runs

from wigeonport.batch_jobs import NO_SPEC
from wigeonport.batch_states import batch_state_from_document


@pytest.fixture
def job(harness):
    """A job of one task, which runs."""
    harness.submit({"cpu_milli": 100})
    assert started_runs(harness.heartbeat())
    return harness.dispatcher.state.batch.jobs[JOB]


def is_released(job):
    """Returns whether only the state of a job is kept."""
    return job.spec is NO_SPEC and not job.occurrences


def test_completed_job_keeps_only_its_state(harness, job):
    """Guards against finished jobs that hold memory until they expire.

    Each kept its specification and its tasks for 300 s.
    """
    harness.heartbeat(ended=[(1, f"{JOB}.0.0.0", 1, "done")])
    harness.advance(100)
    assert is_released(job)
    assert harness.state() == "completed"
    orders = harness.heartbeat(ended=[(1, f"{JOB}.0.0.0", 1, "done")])
    assert orders.acknowledged == 1


def test_cancelled_job_is_kept_until_its_runs_have_ended(harness, job):
    """Guards against a run that is forgotten while it may be live."""
    harness.cancel()
    harness.advance(100)
    assert not is_released(job)
    running = [(f"{JOB}.0.0.0", 1)]
    assert harness.heartbeat(running=running).stops == [(f"{JOB}.0.0.0", 1)]
    harness.heartbeat(ended=[(1, f"{JOB}.0.0.0", 1, "stopped")])
    harness.advance(100)
    assert is_released(job)
    assert harness.state() == "cancelled"


def test_finished_job_of_the_former_release_is_released(harness, job):
    """Guards against a restart that reads the tasks of finished jobs back."""
    harness.heartbeat(ended=[(1, f"{JOB}.0.0.0", 1, "done")])
    assert not is_released(job)
    document = harness.dispatcher.state.batch.to_document()
    assert is_released(batch_state_from_document(document).jobs[JOB])

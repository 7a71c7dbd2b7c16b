"""Tests of the admission of tenants' jobs."""

import pytest
from batch_fixtures import HOST, JOB, DispatcherHarness, make_table
from tenant_simulations import make_tenants

from wigeonport.batch_calls import INVALID, SUBMIT, BatchCall
from wigeonport.batch_commands import SubmitJob
from wigeonport.batch_specs import JobSpec, Step
from wigeonport.tenant_admissions import refuse_submission
from wigeonport.worker_reports import Resources


@pytest.fixture
def harness():
    """A harness with a tenant that may have 3 cores and 1,000 MB running."""
    table = make_table()
    table.tenants = make_tenants({"birch": Resources(3_000, 1_000, 0)})
    return DispatcherHarness(table)


def make_call(job_id=JOB, **values):
    """Returns the submission of a job with one step."""
    step = Step({"cpu_milli": 1_000, "estimated_ms": 500} | values)
    spec = JobSpec("text", [step]).to_json()
    return BatchCall(SUBMIT, HOST, f"/plans/{job_id}", spec)


def refuse(harness, call, name="birch"):
    """Returns the reply that refuses a submission of a tenant, or None."""
    table = harness.dispatcher.state.routes.table
    harness.dispatcher.wall_ms = harness.now_ms
    return refuse_submission(
        harness.dispatcher,
        table.tenants.by_name[name],
        table.queues["plans"],
        call,
    )


@pytest.mark.parametrize(
    ("values", "figures"),
    [
        ({"cpu_milli": 3_001}, ("a task", "cpu_milli 3001", "3000")),
        ({"memory_mb": 1_001}, ("a task", "memory_mb 1001", "1000")),
        ({"count": 4, "gang": True}, ("a gang", "cpu_milli 4000", "3000")),
    ],
)
def test_job_above_the_limit_is_refused_with_both_figures(
    harness, values, figures
):
    """A job that can never run must be refused at once, and say why."""
    reply = refuse(harness, make_call(**values))
    assert reply.outcome == INVALID
    assert all(figure in reply.detail for figure in figures)


def test_job_within_the_limit_is_accepted(harness):
    """Neither a wide step nor a resource without a limit is too much."""
    assert refuse(harness, make_call(count=50, gpu=8)) is None
    assert refuse(harness, make_call(count=3, gang=True)) is None


def test_accepted_job_is_never_refused(harness):
    """A lowered limit must not refuse the repetition of a submission."""
    call = make_call(cpu_milli=3_001)
    harness.dispatcher.record(SubmitJob(JOB, "plans", call.spec_json, "birch"))
    assert refuse(harness, call) is None

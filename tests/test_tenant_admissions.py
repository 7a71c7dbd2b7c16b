"""Tests of the admission of tenants' jobs."""

import logbook
import pytest
from batch_fixtures import HOST, JOB, DispatcherHarness, make_table
from tenant_simulations import make_tenants

from wigeonport.batch_calls import INVALID, REJECTED, SUBMIT, BatchCall
from wigeonport.batch_commands import AdoptRoutes, SubmitJob
from wigeonport.batch_specs import JobSpec, Step
from wigeonport.metrics import Metrics
from wigeonport.tenant_admissions import refuse_submission
from wigeonport.tenant_metrics import clear_tenants, publish_tenants
from wigeonport.worker_reports import Resources


@pytest.fixture
def log_records():
    """The records that are logged during the test."""
    handler = logbook.TestHandler()
    with handler.applicationbound():
        yield handler.records


@pytest.fixture
def harness():
    """A harness with a tenant that may have 3 cores and 1,000 MB running."""
    table = make_table()
    limits = {
        "birch": Resources(3_000, 1_000, 0),
        "cedar": Resources(0, 0, 0),
    }
    table.tenants = make_tenants(limits, {"birch": 2, "cedar": 5})
    return DispatcherHarness(table)


def make_call(job_id=JOB, **values):
    """Returns the submission of a job with one step."""
    step = Step({"cpu_milli": 1_000, "estimated_ms": 500} | values)
    spec = JobSpec("text", [step]).to_json()
    return BatchCall(SUBMIT, HOST, f"/plans/{job_id}", spec)


def fill_pool(harness):
    """Lets more work wait than one worker does before the objectives."""
    harness.heartbeat()
    spec = make_call(count=200).spec_json
    for number in range(4):
        job_id = f"{harness.now_ms:015x}{number}"
        harness.dispatcher.record(SubmitJob(job_id, "plans", spec, "cedar"))


def refuse(harness, call, name="birch"):
    """Returns the reply that refuses a submission of a tenant, or None.

    A job that is not refused is not recorded, so the pool stays as it is.
    """
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


def test_pool_with_room_refuses_nothing(harness):
    """A tenant far above its rate costs nobody anything while there is room.

    The load is 50 times the rate for 2 s.
    """
    harness.heartbeat()
    for _ in range(200):
        harness.now_ms += 10
        assert refuse(harness, make_call()) is None


def test_flood_is_refused_and_others_are_not(harness):
    """One tenant sends ten times its rate to a full pool for 10 s.

    It gets its rate and one burst. The other stays within its rate, and none
    of its jobs may be refused.
    """
    accepted = 0
    for number in range(200):
        if number % 20 == 0:
            fill_pool(harness)
        harness.now_ms += 50
        accepted += refuse(harness, make_call()) is None
        if number % 4 == 0:
            assert refuse(harness, make_call(), "cedar") is None
    # 2 jobs a second for 10 s, and a burst of 2 s.
    assert 20 <= accepted <= 25


def test_returns_are_true_and_spread(harness):
    """Refused callers must not return together, nor be refused once more."""
    fill_pool(harness)
    while refuse(harness, make_call()) is None:
        pass
    replies = [refuse(harness, make_call()) for _ in range(6)]
    assert {reply.outcome for reply in replies} == {REJECTED}
    times_ms = [reply.number for reply in replies]
    assert all(
        450 <= later - earlier <= 550
        for earlier, later in zip(times_ms, times_ms[1:], strict=False)
    )
    start_ms = harness.now_ms
    for time_ms in times_ms:
        harness.now_ms = start_ms + time_ms
        assert refuse(harness, make_call()) is None


def test_refusals_are_logged_once_a_second(harness, log_records):
    """A flood of refusals must not become a flood of lines."""
    fill_pool(harness)
    for _ in range(300):
        harness.now_ms += 10
        refuse(harness, make_call())
    lines = [
        record
        for record in log_records
        if record.message.startswith("Submissions refused.")
    ]
    assert 2 <= len(lines) <= 4


def test_metrics_of_tenants(harness):
    """Operators see what each tenant runs, waits for and is refused."""
    fill_pool(harness)
    for _ in range(10):
        refuse(harness, make_call())
    harness.heartbeat()
    metrics = Metrics()
    publish_tenants(harness.dispatcher, metrics, harness.now_ms)
    assert metrics.gauges["tenants_running_runs/cedar"] == 4
    assert metrics.gauges["tenants_running_cpu_milli/cedar"] == 4_000
    assert metrics.gauges["tenants_waiting_jobs/cedar"] == 3
    assert metrics.gauges["tenants_refused_jobs/birch"] == 6
    clear_tenants(metrics)
    assert not metrics.gauges


def test_metrics_of_removed_tenants_are_cleared(harness):
    """Guards against figures of tenants that no longer exist."""
    metrics = Metrics()
    publish_tenants(harness.dispatcher, metrics, harness.now_ms)
    assert metrics.gauges
    harness.dispatcher.record(AdoptRoutes(2, make_table(2).to_bytes()))
    publish_tenants(harness.dispatcher, metrics, harness.now_ms + 100)
    assert not metrics.gauges

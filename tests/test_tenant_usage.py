"""Tests of what tenants have running, and of their limits."""

import pytest
from batch_fixtures import JOB, DispatcherHarness, make_table, started_runs
from tenant_simulations import LimitSimulation, make_tenants

from wigeonport.batch_commands import AdoptRoutes, SubmitJob
from wigeonport.batch_specs import JobSpec, Step
from wigeonport.tenant_usage import Allowance
from wigeonport.worker_reports import Resources


@pytest.mark.parametrize("seed", range(6))
def test_limits_hold_under_random_failures(seed):
    """No start may bring a tenant above its limit, whatever has failed.

    The sum is taken over the workers, so a run that a leader has forgotten,
    or one on a worker that is cut off, counts.
    """
    simulation = LimitSimulation(seed)
    simulation.run(30_000)
    # The load binds: each tenant has had about its limit running.
    assert simulation.starts > 100
    assert min(simulation.highest.values()) > 4_000


@pytest.fixture
def limited():
    """A harness with a tenant that may have 3 cores and 1,000 MB running."""
    table = make_table()
    table.tenants = make_tenants({"birch": Resources(3_000, 1_000, 0)})
    return DispatcherHarness(table)


def submit(harness, job_id, tenant="birch", **values):
    """Records a job with one step of a tenant."""
    step = Step({"cpu_milli": 1_000, "estimated_ms": 500} | values)
    spec = JobSpec("text", [step]).to_json()
    harness.dispatcher.record(SubmitJob(job_id, "plans", spec, tenant))


def test_step_wider_than_the_limit_runs_in_waves(limited):
    """A wide step must neither exceed the limit nor wait for ever."""
    submit(limited, JOB, count=7)
    job = limited.dispatcher.state.batch.jobs[JOB]
    ended, waves = [], []
    while job.active and len(waves) < 10:
        starts = started_runs(limited.heartbeat(ended=ended))
        waves.append(len(starts))
        ended = [
            (len(waves) * 10 + number, *key, "done")
            for number, key in enumerate(starts)
        ]
        limited.advance(400)
    assert waves == [3, 3, 1, 0]


def test_large_task_starts_beside_a_lasting_one(limited):
    """Guards against a job that waits for ever although nothing else waits.

    The tenant has a third of its limit running, and the task needs more than
    the rest. It must also stay assigned until its worker reports it, and no
    second one may start beside it.
    """
    submit(limited, JOB, count=1, lasting=True)
    lasting = started_runs(limited.heartbeat())
    submit(limited, "00000000000000bb", count=2, cpu_milli=2_500)
    rows = [(*key, "", 100) for key in lasting]
    large = started_runs(limited.heartbeat(running=rows))
    assert len(large) == 1
    assert started_runs(limited.heartbeat(running=rows)) == large


def test_gang_above_the_limit_does_not_start(limited):
    """A gang counts as a whole, so that it may not pass by the limit."""
    submit(limited, JOB, count=4, gang=True)
    assert not limited.heartbeat().starts


@pytest.mark.parametrize(
    "values",
    [
        {"fills": True, "memory_mb": 1_001},
        {"fills": True, "cpu_milli": 3_001},
        {"lasting": True, "memory_mb": 1_001},
        {"memory_mb": 1_001},
    ],
)
def test_task_above_the_limit_runs_alone(limited, values):
    """No kind of task may pass by the limit beside another.

    It was accepted under a higher limit, and has to run to be completed.
    """
    submit(limited, JOB, count=2, **values)
    first = started_runs(limited.heartbeat())
    assert len(first) == 1
    rows = [(*key, "", 100) for key in first]
    assert not limited.heartbeat(running=rows).starts


def test_backlog_at_the_limit_is_not_searched(limited, monkeypatch):
    """Guards against heartbeats that cost as much as a tenant's backlog."""
    for number in range(50):
        submit(limited, f"{number:032x}")
    submit(limited, f"{50:032x}", "larch")
    asked, allows = [], Allowance.allows

    def count(allowance, *arguments):
        asked.append(arguments)
        return allows(allowance, *arguments)

    assert len(started_runs(limited.heartbeat())) == 4
    monkeypatch.setattr(Allowance, "allows", count)
    assert not limited.heartbeat("w2").starts
    assert len(asked) <= 2


def test_copies_count(limited):
    """A copy of a task on a silent worker must not exceed the limit."""
    submit(limited, JOB, count=3, duplicates=True)
    limited.heartbeat("w1")
    limited.heartbeat("w2")
    for _ in range(4):
        limited.advance(400)
        assert not limited.heartbeat("w2").starts
    # The tasks are known to need copies; the limit alone holds them back.
    assert limited.dispatcher.tasks_to_copy["desk"]


def test_reserved_worker_counts(limited):
    """A lasting task must not pass the limit on a reserved worker."""
    submit(limited, JOB, count=3, lasting=True)
    limited.heartbeat("w1", capacity=Resources(3_000, 8_000, 0))
    limited.heartbeat("w2")
    limited.dispatcher.workers.by_id["w2"].reserved_ms = limited.now_ms
    submit(limited, "00000000000000bb", tenant="", lasting=True)
    submit(limited, "00000000000000cc", lasting=True)
    (started,) = started_runs(limited.heartbeat("w2"))
    assert "bb" in started[0]


def test_lowered_limit_ends_nothing_and_withdraws_late_orders(limited):
    """An order under a former limit must not start a run under a lower one.

    The answer with the order is lost, and the next one would repeat it.
    """
    submit(limited, JOB, count=3)
    orders = limited.heartbeat("w1")
    running = started_runs(orders)[:2]
    table = make_table(2)
    table.tenants = make_tenants({"birch": Resources(1_000, 0, 0)})
    limited.dispatcher.record(AdoptRoutes(2, table.to_bytes()))
    orders = limited.heartbeat("w1", running=running)
    assert not orders.starts
    assert orders.stops == started_runs_except(running)


def started_runs_except(running):
    """Returns the third of the three runs of the job."""
    keys = [(f"{JOB}.0.0.{index}", 1) for index in range(3)]
    return [key for key in keys if key not in running]

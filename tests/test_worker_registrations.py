"""Tests of the checks before a heartbeat registers a worker."""

import pytest
from batch_fixtures import (
    JOB,
    DispatcherHarness,
    make_queue,
    make_table,
    started_runs,
)

from wigeonport.batch_commands import AdoptRoutes
from wigeonport.batch_dispatchers import BatchDispatcher
from wigeonport.batch_settings import BatchSettings
from wigeonport.route_tables import RouteTable
from wigeonport.worker_registrations import MAX_PENDING

ONE = {"count": 1, "cpu_milli": 1_000, "memory_mb": 100}
TASK = f"{JOB}.0.0.0"
TABLE = make_table(2, [make_queue(), make_queue("other", "agents")])


@pytest.fixture
def working(harness):
    """A harness with a task on w1, on the machine vm-w1."""
    harness.submit(ONE)
    assert started_runs(harness.heartbeat()) == [(TASK, 1)]
    harness.heartbeat(running=[(TASK, 1)])
    return harness


def adopt(harness, table):
    """Puts a routing table in force."""
    harness.dispatcher.record(AdoptRoutes(table.version, table.to_bytes()))


@pytest.mark.parametrize("worker", ["w1", "agent-1"])
@pytest.mark.parametrize("change", [{"service": "agents"}, {"capacity": None}])
def test_heartbeat_of_another_writer_ends_no_run(working, worker, change):
    """Guards against tasks that run twice because of a false heartbeat.

    It names the machine of a worker and a later start, but no worker to use.
    The later heartbeats of the worker must count too.
    """
    machine = {"machine": "vm-w1", "born_ms": 60_000, "sequence": 1}
    orders = working.heartbeat(worker, **machine, **change)
    assert orders.run_lease_ms == 0
    assert started_runs(orders) == []
    assert started_runs(working.heartbeat("w2")) == []
    orders = working.heartbeat(running=[(TASK, 1)], sequence=10)
    assert orders.run_lease_ms > 0
    assert orders.stops == []


@pytest.mark.parametrize(
    "change",
    [
        {"service": "agents"},
        {"service": "agents", "capacity": None},
        {"capacity": None},
        {"machine": "vm-w2"},
    ],
)
def test_false_heartbeat_of_an_incarnation_is_ignored(working, change):
    """Guards against a worker that is lost, or ends another, by mistake.

    An incarnation of a worker changes neither its service nor its machine,
    and the runs of the worker on the other machine must go on.
    """
    working.submit(ONE, job_id="00000000000000bb")
    second = "00000000000000bb.0.0.0"
    assert started_runs(working.heartbeat("w2", born_ms=40_000)) == [
        (second, 1)
    ]
    assert working.heartbeat(sequence=1_000, **change).run_lease_ms == 0
    assert working.heartbeat(running=[(TASK, 1)]).run_lease_ms > 0
    orders = working.heartbeat("w2", running=[(second, 1)], born_ms=40_000)
    assert orders.run_lease_ms > 0
    assert orders.stops == []


@pytest.mark.parametrize("worker", ["w1", "w9"])
def test_worker_that_restarts_in_another_pool_is_registered(worker):
    """Guards against tasks that wait for a lease after their worker moved.

    The runs on a machine that was moved to another pool have ended.
    """
    harness = DispatcherHarness(TABLE)
    harness.submit(ONE)
    harness.heartbeat()
    harness.heartbeat(
        worker,
        machine="vm-w1",
        service="agents",
        born_ms=60_000,
        sequence=1,
    )
    assert started_runs(harness.heartbeat("w2")) == [(TASK, 2)]


@pytest.mark.parametrize("worker", ["w1", "w9"])
def test_worker_is_registered_once_its_configuration_arrives(working, worker):
    """Guards against a wait for the next heartbeat after the configuration.

    A worker may start before the leader knows the configuration that names
    its service.
    """
    values = {
        "machine": "vm-w1",
        "service": "agents",
        "born_ms": 60_000,
    }
    working.heartbeat(worker, sequence=1, **values)
    assert started_runs(working.heartbeat("w2")) == []
    adopt(working, TABLE)
    assert started_runs(working.heartbeat("w2")) == [(TASK, 2)]
    orders = working.heartbeat(worker, sequence=2, **values)
    assert orders.run_lease_ms > 0


def test_workers_before_the_first_configuration_are_registered():
    """Guards against a pool that stays empty after the first configuration."""
    harness = DispatcherHarness(RouteTable())
    assert harness.heartbeat().run_lease_ms == 0
    adopt(harness, make_table())
    assert "w1" in harness.dispatcher.workers.by_id
    harness.submit(ONE)
    assert started_runs(harness.heartbeat()) == [(TASK, 1)]


@pytest.mark.parametrize("new_leader", [False, True])
def test_worker_of_a_removed_service_keeps_its_runs(working, new_leader):
    """Guards against runs that lapse because their service was removed."""
    table = make_table(2, [make_queue("new", "else")])
    adopt(working, table)
    if new_leader:
        working.dispatcher = BatchDispatcher(
            working.dispatcher.state, BatchSettings(), 4, working.now_ms
        )
    orders = working.heartbeat(running=[(TASK, 1)])
    assert orders.run_lease_ms > 0
    assert orders.stops == []
    orders = working.heartbeat(ended=[(1, TASK, 1, "done")])
    assert orders.acknowledged == 1
    assert working.dispatcher.state.batch.jobs[JOB].state == "completed"


def test_job_of_a_removed_queue_starts_on_a_new_worker(harness):
    """Guards against a job that is stranded when its service is removed."""
    harness.submit(ONE)
    adopt(harness, make_table(2, [make_queue("new", "else")]))
    assert started_runs(harness.heartbeat()) == [(TASK, 1)]


def test_pending_registrations_are_bounded_and_dropped(harness):
    """Guards against a table that grows with each heartbeat."""
    for number in range(MAX_PENDING + 10):
        harness.heartbeat(f"agent-{number}", service="agents")
    pending = harness.dispatcher.workers.pending
    assert len(pending) == MAX_PENDING
    harness.advance(60_000)
    assert not pending


def test_pending_registrations_count_for_the_heartbeat_interval(harness):
    """Guards against a leader that is overloaded by ignored heartbeats."""
    harness.advance(100)
    before_ms = harness.dispatcher.heartbeat_interval_ms
    for number in range(500):
        harness.heartbeat(f"agent-{number}", capacity=None)
    harness.advance(100)
    assert harness.dispatcher.heartbeat_interval_ms > before_ms

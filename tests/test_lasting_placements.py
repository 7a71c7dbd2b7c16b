"""Tests of the places for lasting tasks on reserved workers."""

import pytest
from batch_fixtures import JOB, started_runs
from test_machine_managers import LASTING, MachineHarness

from wigeonport.batch_commands import MOVE, OrderMachine
from wigeonport.lasting_placements import EMPTYING_MS

FIRST, SECOND = f"{JOB}.0.0.0", f"{JOB}.0.0.1"


@pytest.fixture
def cluster():
    """Two machines in a pool, and both lasting tasks at work on m1."""
    cluster = MachineHarness(["m1", "m2"])
    cluster.harness.submit(LASTING | {"max_per_worker": 2})
    assert len(started_runs(cluster.heartbeat("m1"))) == 2
    cluster.heartbeat(
        "m1", running=[(FIRST, 1, "", 100), (SECOND, 1, "", 100)]
    )
    return cluster


def reserve(cluster, name="m1"):
    """Reserves the worker on a machine and returns it."""
    worker = cluster.harness.dispatcher.workers.by_machine[name]
    worker.reserved_ms = cluster.harness.now_ms
    return worker


def lose_second(cluster):
    """Ends the second task on m1; returns what the answer starts."""
    orders = cluster.heartbeat(
        "m1",
        running=[(FIRST, 1, "", 100)],
        ended=[(1, SECOND, 1, "lapsed")],
    )
    return started_runs(orders)


def pass_time(cluster, duration_ms):
    """Lets time pass with heartbeats of m1 and ticks of the manager."""
    for _ in range(duration_ms // 400):
        cluster.harness.now_ms += 400
        row = [(FIRST, 1, "", 100), (SECOND, 1, "", 100)]
        cluster.heartbeat("m1", running=row)
        cluster.tick()


@pytest.mark.parametrize("has_place", [False, True])
def test_lasting_task_is_moved_only_to_another_place(cluster, has_place):
    """Guards against a task that is stopped and has nowhere to run."""
    if has_place:
        cluster.heartbeat("m2")
    worker = reserve(cluster)
    cluster.tick()
    assert len(worker.stopping) == has_place


def test_tasks_that_cannot_all_leave_stay(cluster):
    """Guards against a worker that is emptied in part and then waits.

    Only one task of the step may be away, so that the other would keep the
    worker from its upkeep while the first has no place.
    """
    worker = reserve(cluster)
    pass_time(cluster, 2 * EMPTYING_MS)
    assert worker.stopping == set()


def test_upkeep_of_the_last_machine_begins(cluster):
    """Guards against a wave that never reaches a pool that cannot grow.

    All tasks of the step on the machine may be away at once.
    """
    step = cluster.harness.dispatcher.find_task(FIRST)[1].step
    step.max_unavailable = 2
    worker = reserve(cluster)
    pass_time(cluster, EMPTYING_MS)
    assert worker.stopping == set()
    pass_time(cluster, 800)
    assert len(worker.stopping) == 2


def test_reserved_worker_takes_a_task_without_another_place(cluster):
    """Guards against a task that waits beside a reserved worker with room."""
    reserve(cluster)
    assert lose_second(cluster) == [(SECOND, 2)]


def test_reserved_worker_leaves_a_task_to_another_worker(cluster):
    """Guards against a reserved worker that is filled again for nothing."""
    cluster.heartbeat("m2")
    reserve(cluster)
    assert lose_second(cluster) == []
    assert started_runs(cluster.heartbeat("m2")) == [(SECOND, 2)]


def test_ordered_machine_takes_no_lasting_task(cluster):
    """Guards against a task that ends with the upkeep of its machine."""
    reserve(cluster)
    cluster.harness.dispatcher.record(OrderMachine("m1", "upkeep", "1"))
    assert lose_second(cluster) == []


def test_machine_that_got_a_lasting_task_is_not_moved(cluster):
    """Guards against a move that takes the only place of a lasting task."""
    worker = reserve(cluster)
    cluster.manager.pending_moves["m1"] = "spare"
    cluster.tick()
    assert cluster.manager.pending_moves == {}
    assert worker.reserved_ms is None
    orders = cluster.harness.dispatcher.state.upkeep.orders.values()
    assert not [order for order in orders if order.purpose == MOVE]

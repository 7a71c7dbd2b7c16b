"""Tests of upkeep waves, moves and the sizes of pools."""

import pytest
from batch_fixtures import (
    JOB,
    DispatcherHarness,
    make_queue,
    make_table,
    started_runs,
)

from wigeonport.batch_commands import OpenWave, OrderMachine, StartRuns
from wigeonport.batch_dispatchers import BatchDispatcher
from wigeonport.batch_settings import BatchSettings
from wigeonport.clocks import ManualClock
from wigeonport.machine_managers import MachineManager
from wigeonport.machine_orders import (
    BUSY,
    EXECUTED,
    NO_ANSWER,
    UNKNOWN_MACHINE,
    MachineAnswered,
    MachineListed,
    MachineRow,
)
from wigeonport.upkeep_states import UpkeepState, upkeep_state_from_document
from wigeonport.worker_reports import Room

ONE = {"count": 1, "cpu_milli": 1_000, "memory_mb": 100}
LASTING = ONE | {
    "count": 2,
    "lasting": True,
    "max_per_worker": 1,
    "max_unavailable": 1,
}
READY_MS = 6_000


class MachineHarness:
    """A scene with machines and a manager that leads for a while."""

    __slots__ = ("harness", "manager", "states")

    def __init__(self, machines, standby=(), queues=None):
        queues = queues or [make_queue(target_latency_ms=2_000)]
        self.harness = DispatcherHarness(
            make_table(queues=queues, standby=["spare"])
        )
        self.manager = MachineManager(
            None, BatchSettings(), "node", ManualClock()
        )
        self.manager.start_term(self.harness.now_ms)
        self.states = dict.fromkeys(machines, ("desk", "up"))
        self.states |= dict.fromkeys(standby, ("spare", "up"))
        self.harness.now_ms += READY_MS
        self.list_machines()

    def list_machines(self):
        """Passes a list of the machines."""
        rows = {
            name: MachineRow(name, pool, state, "ikeja", "r1", f"w-{name}")
            for name, (pool, state) in self.states.items()
        }
        self.manager.handle_machine_list(
            self.harness.dispatcher, MachineListed(rows, self.harness.now_ms)
        )

    def heartbeat(self, name, **values):
        """Sends a heartbeat of the worker of a machine."""
        return self.harness.heartbeat(f"w-{name}", machine=name, **values)

    def tick(self):
        """Returns the orders that are planned now."""
        self.harness.dispatcher.wall_ms = self.harness.now_ms
        self.harness.dispatcher.now_ms = self.harness.now_ms
        planned = self.manager.on_tick(
            self.harness.dispatcher, self.harness.now_ms
        )
        return [order for _, order in planned]

    def answer(self, order, result):
        """Passes the platform's answer to an order."""
        self.manager.handle_answer(
            self.harness.dispatcher,
            MachineAnswered(order, result),
            self.harness.now_ms,
        )

    def open_wave(self, machines, count=1, duration_ms=4_000):
        """States an upkeep wave."""
        self.harness.dispatcher.wall_ms = self.harness.now_ms
        due_ms = self.harness.now_ms + duration_ms
        self.harness.dispatcher.record(OpenWave(1, machines, due_ms, count))

    def wave(self):
        """Returns the wave."""
        return self.harness.dispatcher.state.upkeep.waves[1]


@pytest.fixture
def cluster():
    """Three machines in a pool and two in standby."""
    return MachineHarness(["m1", "m2", "m3"], ["s1", "s2"])


def run_to_order(cluster):
    """Reserves a machine of the wave and returns its order."""
    for name in ("m1", "m2", "m3"):
        cluster.heartbeat(name)
    cluster.tick()
    return cluster.tick()


def test_wave_keeps_its_bound(cluster):
    """No more machines of a wave may be down than it allows."""
    cluster.open_wave(["m1", "m2", "m3"], count=1)
    (order,) = run_to_order(cluster)
    assert (order.purpose, order.target, order.fence) == ("upkeep", "1", 3)
    cluster.answer(order, EXECUTED)
    cluster.harness.now_ms += 500
    assert cluster.tick() == []
    assert len(cluster.wave().left) == 2


def test_next_machine_follows_when_the_first_is_up(cluster):
    """A wave must go on when a machine is back, by a newer list only."""
    cluster.open_wave(["m1", "m2", "m3"], count=1)
    (order,) = run_to_order(cluster)
    cluster.answer(order, EXECUTED)
    cluster.tick()
    assert cluster.harness.dispatcher.state.upkeep.orders
    cluster.harness.now_ms += 2_500
    cluster.list_machines()
    for name in ("m1", "m2", "m3"):
        cluster.heartbeat(name)
    cluster.tick()
    assert len(cluster.tick()) == 1


def test_machine_of_a_wave_is_emptied_first(cluster):
    """Running tasks must end before their machine is taken."""
    cluster.heartbeat("m1")
    cluster.harness.submit(ONE)
    cluster.heartbeat("m1")
    cluster.open_wave(["m1"])
    for _ in range(2):
        assert cluster.tick() == []
    task = f"{JOB}.0.0.0"
    cluster.heartbeat("m1", ended=[(1, task, 1, "done")])
    assert len(cluster.tick()) == 1


def test_lasting_tasks_stay_available_during_a_wave(cluster):
    """No more tasks of a step may be away than it allows."""
    cluster.harness.submit(LASTING)
    tasks = {}
    for name in ("m1", "m2"):
        ((task, run),) = started_runs(cluster.heartbeat(name))
        tasks[name] = (task, run)
        cluster.heartbeat(name, running=[(task, run, "", 100)])
    cluster.open_wave(["m1", "m2"], count=2)
    cluster.tick()
    stops = []
    for name in ("m1", "m2"):
        row = (*tasks[name], "", 100)
        stops += cluster.heartbeat(name, running=[row]).stops
    assert len(stops) == 1


def change_leader(cluster):
    """Begins a term; the workers are heard and the machines listed."""
    state = cluster.harness.dispatcher.state
    cluster.harness.dispatcher = BatchDispatcher(
        state, BatchSettings(), 4, cluster.harness.now_ms
    )
    cluster.manager.start_term(cluster.harness.now_ms)
    cluster.harness.now_ms += 1_600
    cluster.list_machines()


@pytest.mark.parametrize("settled", [False, True])
def test_machine_with_a_recent_order_gets_none_of_a_new_leader(
    cluster, settled
):
    """The former leader's last order may still be on its way."""
    cluster.open_wave(["m1"])
    (order,) = run_to_order(cluster)
    if settled:
        cluster.answer(order, EXECUTED)
        cluster.harness.now_ms += 100
        cluster.list_machines()
        cluster.tick()
        assert not cluster.harness.dispatcher.state.upkeep.orders
    cluster.harness.dispatcher.state.upkeep.waves.clear()
    cluster.open_wave(["m1"])
    change_leader(cluster)
    for _ in range(3):
        cluster.heartbeat("m1")
        assert cluster.tick() == []
    cluster.harness.now_ms += 5_000
    cluster.heartbeat("m1")
    assert len(cluster.tick() + cluster.tick()) == 1


def test_new_leader_grows_a_pool_by_machines_without_a_recent_order(cluster):
    """A pool at its peak must not wait for the pause of other machines."""
    change_leader(cluster)
    cluster.heartbeat("m1", capacity=Room(4_000, 8_000, 0))
    step = {"count": 16, "cpu_milli": 2_000, "estimated_ms": 2_000}
    cluster.harness.submit(step)
    assert {order.machine for order in cluster.tick()} == {"s1", "s2"}


def test_new_leader_waits_until_the_workers_have_found_it(cluster):
    """A pool looks too small before its workers have been heard."""
    change_leader(cluster)
    cluster.manager.since_ms = cluster.harness.now_ms
    cluster.heartbeat("m1", capacity=Room(4_000, 8_000, 0))
    cluster.harness.submit(
        {"count": 16, "cpu_milli": 2_000, "estimated_ms": 2_000}
    )
    assert cluster.tick() == []


def test_machine_whose_worker_was_not_heard_is_not_taken(cluster):
    """Runs of a worker that has not found the new leader would end."""
    cluster.open_wave(["m1"])
    change_leader(cluster)
    for _ in range(2):
        assert cluster.tick() == []


def test_ends_of_orders_survive_a_snapshot():
    """A new leader that has loaded a snapshot must keep the pause."""
    state = UpkeepState()
    state.record_settled("m1", 100_000)
    copy = upkeep_state_from_document(state.to_document())
    assert copy.settled == {"m1": 100_000}
    copy.record_settled("m2", 190_000)
    assert copy.settled == {"m2": 190_000}


def test_order_without_an_answer_is_sent_again(cluster):
    """A lost answer must not leave a machine out of its wave."""
    cluster.open_wave(["m1"])
    cluster.heartbeat("m1")
    cluster.tick()
    (order,) = cluster.tick() or run_to_order(cluster)
    cluster.answer(order, NO_ANSWER)
    assert cluster.tick() == []
    cluster.harness.now_ms += 800
    assert cluster.tick() == [order]


def test_busy_machine_is_tried_again_later(cluster):
    """A refusal for the moment must not end the wave."""
    cluster.open_wave(["m1"])
    cluster.heartbeat("m1")
    cluster.tick()
    (order,) = cluster.tick() or run_to_order(cluster)
    cluster.answer(order, BUSY)
    assert cluster.wave().left == ["m1"]
    cluster.harness.now_ms += 800
    cluster.heartbeat("m1")
    cluster.tick()
    assert len(cluster.tick()) == 1


def test_machine_that_is_gone_leaves_the_wave(cluster):
    """A wave must not wait for a machine that does not exist."""
    cluster.open_wave(["m9"])
    (order,) = cluster.tick()
    cluster.answer(order, UNKNOWN_MACHINE)
    assert cluster.wave().left == []


def test_pool_grows_when_its_jobs_would_be_late(cluster):
    """Standby machines must come when a pool is too small."""
    cluster.heartbeat("m1", capacity=Room(4_000, 8_000, 0))
    step = {"count": 16, "cpu_milli": 2_000, "estimated_ms": 2_000}
    cluster.harness.submit(step)
    orders = cluster.tick()
    assert {order.machine for order in orders} == {"s1", "s2"}
    assert all(order.target == "desk" for order in orders)


def test_pool_grows_by_a_machine_that_another_pool_can_spare():
    """Two moves by way of standby take as long as a peak."""
    queues = [make_queue(target_latency_ms=2_000), make_queue("other", "else")]
    cluster = MachineHarness(["m1", "m2", "m3", "m4"], queues=queues)
    step = {"count": 16, "cpu_milli": 2_000, "estimated_ms": 2_000}
    cluster.harness.submit(step)
    cluster.heartbeat("m1", capacity=Room(4_000, 8_000, 0))
    for name in ("m2", "m3", "m4"):
        cluster.heartbeat(name, service="else")
    cluster.tick()
    orders = cluster.tick()
    assert len(orders) == 2
    assert {order.target for order in orders} == {"desk"}
    assert {order.machine for order in orders} < {"m2", "m3", "m4"}


def test_unused_pool_keeps_its_size(cluster):
    """A pool must not shrink before its demand is known."""
    for _ in range(4):
        for name in ("m1", "m2", "m3"):
            cluster.heartbeat(name)
        assert cluster.tick() == []
        cluster.harness.now_ms += 1_000


def test_calm_pool_shrinks_to_its_floor(cluster):
    """A machine that is not needed goes to standby."""
    cluster.heartbeat("m1")
    cluster.harness.submit(ONE | {"estimated_ms": 100})
    task = f"{JOB}.0.0.0"
    cluster.heartbeat("m1")
    cluster.tick()
    cluster.heartbeat("m1", ended=[(1, task, 1, "done")])
    orders = []
    for _ in range(8):
        for name in ("m1", "m2", "m3"):
            cluster.heartbeat(name)
        orders += cluster.tick()
        cluster.harness.now_ms += 700
    assert len(orders) == 1
    assert orders[0].target == "spare"


def test_order_of_the_former_leader_waits_until_the_machine_is_empty(cluster):
    """An upkeep that a former leader recorded must not end running tasks."""
    cluster.open_wave(["m1"])
    cluster.harness.dispatcher.record(OrderMachine("m1", "upkeep", "1"))
    task = f"{JOB}.0.0.0"
    cluster.heartbeat("m1")
    cluster.harness.submit(ONE)
    cluster.harness.dispatcher.record(StartRuns([task], [1], "w-m1@50000"))
    cluster.heartbeat("m1", running=[(task, 1, "", 10)])
    assert cluster.tick() == []
    cluster.heartbeat("m1", ended=[(1, task, 1, "done")])
    assert len(cluster.tick()) == 1


def test_ordered_machine_gets_no_task_before_the_pause_is_over(cluster):
    """A new leader must not fill a machine that is about to go down."""
    cluster.harness.dispatcher.record(OrderMachine("m1", "move", "spare"))
    cluster.harness.submit(ONE)
    assert started_runs(cluster.heartbeat("m1")) == []
    assert len(started_runs(cluster.heartbeat("m2"))) == 1


def start_lasting(cluster):
    """Starts a lasting step of two tasks; returns their rows by machine."""
    cluster.harness.submit(LASTING)
    rows = {}
    for name in ("m1", "m2"):
        ((task, run),) = started_runs(cluster.heartbeat(name))
        rows[name] = (task, run, "", 100)
        cluster.heartbeat(name, running=[rows[name]])
    return rows


def test_stop_is_withheld_when_the_step_has_lost_a_task_since(cluster):
    """An order must be allowed when it leaves, not only when decided."""
    rows = start_lasting(cluster)
    cluster.open_wave(["m1"])
    cluster.tick()
    cluster.heartbeat("m2", ended=[(1, *rows["m2"][:2], "failed")])
    assert cluster.heartbeat("m1", running=[rows["m1"]]).stops == []


def test_task_on_a_silent_worker_counts_as_away(cluster):
    """A worker that has crashed looks at work until its lease ends."""
    rows = start_lasting(cluster)
    cluster.open_wave(["m1"])
    cluster.harness.now_ms += 2_000
    cluster.heartbeat("m1", running=[rows["m1"]])
    cluster.tick()
    assert cluster.heartbeat("m1", running=[rows["m1"]]).stops == []


def test_runs_on_a_machine_that_is_down_start_elsewhere_at_once():
    """Waiting for the lease of a crashed machine makes its jobs late."""
    cluster = MachineHarness(["m1", "m2"])
    cluster.harness.submit(ONE)
    cluster.heartbeat("m1")
    cluster.harness.advance(2_000)
    cluster.states["m1"] = ("desk", "down")
    cluster.list_machines()
    assert started_runs(cluster.heartbeat("m2")) == [(f"{JOB}.0.0.0", 2)]


def test_worker_that_was_heard_a_moment_ago_is_not_down():
    """A list that lags must not end the life that came after it."""
    cluster = MachineHarness(["m1", "m2"])
    cluster.harness.submit(ONE)
    cluster.heartbeat("m1")
    cluster.harness.advance(300)
    cluster.states["m1"] = ("desk", "down")
    cluster.list_machines()
    assert started_runs(cluster.heartbeat("m2")) == []


def test_machine_that_is_up_keeps_its_silent_worker():
    """A worker behind a cut runs on until its lease ends."""
    cluster = MachineHarness(["m1", "m2"])
    cluster.harness.submit(ONE)
    cluster.heartbeat("m1")
    cluster.harness.advance(2_000)
    cluster.list_machines()
    assert started_runs(cluster.heartbeat("m2")) == []


def test_runs_of_a_former_leader_on_a_machine_that_is_down_are_over():
    """A new leader has not heard the worker, but the platform knows it."""
    cluster = MachineHarness(["m1", "m2"])
    cluster.harness.submit(ONE)
    cluster.heartbeat("m1")
    state = cluster.harness.dispatcher.state
    cluster.harness.dispatcher = BatchDispatcher(
        state, BatchSettings(), 4, cluster.harness.now_ms
    )
    cluster.harness.advance(2_000)
    cluster.states["m1"] = ("desk", "down")
    cluster.list_machines()
    assert started_runs(cluster.heartbeat("m2")) == [(f"{JOB}.0.0.0", 2)]


def test_list_is_read_often_while_a_worker_with_runs_is_silent():
    """A crash must show before the lease would have ended anyway."""
    cluster = MachineHarness(["m1"])
    cluster.harness.submit(ONE)
    cluster.heartbeat("m1")
    cluster.tick()
    normal_interval_ms = cluster.manager.list_interval_ms()
    cluster.harness.now_ms += 1_500
    cluster.tick()
    assert cluster.manager.list_interval_ms() < normal_interval_ms


def test_machine_that_a_wave_has_taken_is_not_moved_as_well(cluster):
    """A second order for the machine would replace its upkeep."""
    for name in ("m1", "m2", "m3"):
        cluster.heartbeat(name)
    cluster.manager.pending_moves["m1"] = "spare"
    cluster.harness.dispatcher.record(OrderMachine("m1", "upkeep", "1"))
    cluster.open_wave(["m1"])
    cluster.tick()
    assert (
        cluster.harness.dispatcher.state.upkeep.orders["m1"].purpose
        == "upkeep"
    )
    assert not cluster.manager.pending_moves


def test_machines_that_change_their_pool_do_not_join_a_wave(cluster):
    """A wave took down what was emptied for moves, beyond its bound."""
    cluster.open_wave(["m1", "m2", "m3"], count=1)
    for name in ("m1", "m2", "m3"):
        cluster.heartbeat(name)
    for name in ("m1", "m2"):
        worker = cluster.harness.dispatcher.workers.by_machine[name]
        worker.reserved_ms = cluster.harness.now_ms
        cluster.manager.pending_moves[name] = "spare"
    for _ in range(2):
        cluster.tick()
    orders = cluster.harness.dispatcher.state.upkeep.orders
    assert sum(order.purpose == "upkeep" for order in orders.values()) <= 1


def test_wave_keeps_its_bound_among_machines_that_are_reserved(cluster):
    """However a machine came to be reserved, the bound holds."""
    cluster.open_wave(["m1", "m2", "m3"], count=1)
    for name in ("m1", "m2", "m3"):
        cluster.heartbeat(name)
        worker = cluster.harness.dispatcher.workers.by_machine[name]
        worker.reserved_ms = cluster.harness.now_ms
    assert len(cluster.tick()) == 1
    assert cluster.tick() == []

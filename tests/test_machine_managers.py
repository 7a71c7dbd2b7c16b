"""Tests of upkeep waves, moves and the sizes of pools."""

import pytest
from batch_fixtures import JOB, Scene, make_queue, make_table, names

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
from wigeonport.worker_reports import Resources

ONE = {"count": 1, "cpu_milli": 1_000, "memory_mb": 100}
LASTING = ONE | {
    "count": 2,
    "lasting": True,
    "max_per_worker": 1,
    "max_unavailable": 1,
}
READY_MS = 6_000


class Yard:
    """A scene with machines and a manager that leads for a while."""

    __slots__ = ("scene", "manager", "states")

    def __init__(self, machines, standby=(), queues=None):
        queues = queues or [make_queue(target_latency_ms=2_000)]
        self.scene = Scene(make_table(queues=queues, standby=["spare"]))
        self.manager = MachineManager(
            None, BatchSettings(), "node", ManualClock()
        )
        self.manager.restart(self.scene.now_ms)
        self.states = dict.fromkeys(machines, ("desk", "up"))
        self.states |= dict.fromkeys(standby, ("spare", "up"))
        self.scene.now_ms += READY_MS
        self.list_machines()

    def list_machines(self):
        """Passes a list of the machines."""
        rows = {
            name: MachineRow(name, pool, state, "ikeja", "r1", f"w-{name}")
            for name, (pool, state) in self.states.items()
        }
        self.manager.note_list(
            self.scene.dispatcher, MachineListed(rows, self.scene.now_ms)
        )

    def beat(self, name, **values):
        """Sends a heartbeat of the worker of a machine."""
        return self.scene.beat(f"w-{name}", machine=name, **values)

    def tick(self):
        """Returns the orders that are planned now."""
        self.scene.dispatcher.wall_ms = self.scene.now_ms
        self.scene.dispatcher.now_ms = self.scene.now_ms
        planned = self.manager.on_tick(
            self.scene.dispatcher, self.scene.now_ms
        )
        return [order for _, order in planned]

    def answer(self, order, result):
        """Passes the platform's answer to an order."""
        self.manager.note_answer(
            self.scene.dispatcher,
            MachineAnswered(order, result),
            self.scene.now_ms,
        )

    def open_wave(self, machines, count=1, duration_ms=4_000):
        """States an upkeep wave."""
        self.scene.dispatcher.wall_ms = self.scene.now_ms
        due_ms = self.scene.now_ms + duration_ms
        self.scene.dispatcher.record(OpenWave(1, machines, due_ms, count))

    def wave(self):
        """Returns the wave."""
        return self.scene.dispatcher.state.upkeep.waves[1]


@pytest.fixture
def yard():
    """Three machines in a pool and two in standby."""
    return Yard(["m1", "m2", "m3"], ["s1", "s2"])


def run_to_order(yard):
    """Reserves a machine of the wave and returns its order."""
    for name in ("m1", "m2", "m3"):
        yard.beat(name)
    yard.tick()
    return yard.tick()


def test_wave_keeps_its_bound(yard):
    """No more machines of a wave may be down than it allows."""
    yard.open_wave(["m1", "m2", "m3"], count=1)
    (order,) = run_to_order(yard)
    assert (order.purpose, order.target, order.fence) == ("upkeep", "1", 3)
    yard.answer(order, EXECUTED)
    yard.scene.now_ms += 500
    assert yard.tick() == []
    assert len(yard.wave().left) == 2


def test_next_machine_follows_when_the_first_is_up(yard):
    """A wave must go on when a machine is back, by a newer list only."""
    yard.open_wave(["m1", "m2", "m3"], count=1)
    (order,) = run_to_order(yard)
    yard.answer(order, EXECUTED)
    yard.tick()
    assert yard.scene.dispatcher.state.upkeep.orders
    yard.scene.now_ms += 2_500
    yard.list_machines()
    for name in ("m1", "m2", "m3"):
        yard.beat(name)
    yard.tick()
    assert len(yard.tick()) == 1


def test_machine_of_a_wave_is_emptied_first(yard):
    """Running tasks must end before their machine is taken."""
    yard.beat("m1")
    yard.scene.submit(ONE)
    yard.beat("m1")
    yard.open_wave(["m1"])
    for _ in range(2):
        assert yard.tick() == []
    task = f"{JOB}.0.0.0"
    yard.beat("m1", ended=[(1, task, 1, "done")])
    assert len(yard.tick()) == 1


def test_lasting_tasks_stay_available_during_a_wave(yard):
    """No more tasks of a step may be away than it allows."""
    yard.scene.submit(LASTING)
    tasks = {}
    for name in ("m1", "m2"):
        ((task, run),) = names(yard.beat(name))
        tasks[name] = (task, run)
        yard.beat(name, running=[(task, run, "", 100)])
    yard.open_wave(["m1", "m2"], count=2)
    yard.tick()
    stops = []
    for name in ("m1", "m2"):
        row = (*tasks[name], "", 100)
        stops += yard.beat(name, running=[row]).stops
    assert len(stops) == 1


def change_leader(yard):
    """Begins a term; the workers are heard and the machines listed."""
    state = yard.scene.dispatcher.state
    yard.scene.dispatcher = BatchDispatcher(
        state, BatchSettings(), 4, yard.scene.now_ms
    )
    yard.manager.restart(yard.scene.now_ms)
    yard.scene.now_ms += 1_600
    yard.list_machines()


@pytest.mark.parametrize("settled", [False, True])
def test_machine_with_a_recent_order_gets_none_of_a_new_leader(yard, settled):
    """The former leader's last order may still be on its way."""
    yard.open_wave(["m1"])
    (order,) = run_to_order(yard)
    if settled:
        yard.answer(order, EXECUTED)
        yard.scene.now_ms += 100
        yard.list_machines()
        yard.tick()
        assert not yard.scene.dispatcher.state.upkeep.orders
    yard.scene.dispatcher.state.upkeep.waves.clear()
    yard.open_wave(["m1"])
    change_leader(yard)
    for _ in range(3):
        yard.beat("m1")
        assert yard.tick() == []
    yard.scene.now_ms += 5_000
    yard.beat("m1")
    assert len(yard.tick() + yard.tick()) == 1


def test_new_leader_grows_a_pool_by_machines_without_a_recent_order(yard):
    """A pool at its peak must not wait for the pause of other machines."""
    change_leader(yard)
    yard.beat("m1", capacity=Resources(4_000, 8_000, 0))
    step = {"count": 16, "cpu_milli": 2_000, "estimated_ms": 2_000}
    yard.scene.submit(step)
    assert {order.machine for order in yard.tick()} == {"s1", "s2"}


def test_new_leader_waits_until_the_workers_have_found_it(yard):
    """A pool looks too small before its workers have been heard."""
    change_leader(yard)
    yard.manager.since_ms = yard.scene.now_ms
    yard.beat("m1", capacity=Resources(4_000, 8_000, 0))
    yard.scene.submit({"count": 16, "cpu_milli": 2_000, "estimated_ms": 2_000})
    assert yard.tick() == []


def test_machine_whose_worker_was_not_heard_is_not_taken(yard):
    """Runs of a worker that has not found the new leader would end."""
    yard.open_wave(["m1"])
    change_leader(yard)
    for _ in range(2):
        assert yard.tick() == []


def test_ends_of_orders_survive_a_snapshot():
    """A new leader that has loaded a snapshot must keep the pause."""
    state = UpkeepState()
    state.note_settled("m1", 100_000)
    copy = upkeep_state_from_document(state.to_document())
    assert copy.settled == {"m1": 100_000}
    copy.note_settled("m2", 190_000)
    assert copy.settled == {"m2": 190_000}


def test_order_without_an_answer_is_sent_again(yard):
    """A lost answer must not leave a machine out of its wave."""
    yard.open_wave(["m1"])
    yard.beat("m1")
    yard.tick()
    (order,) = yard.tick() or run_to_order(yard)
    yard.answer(order, NO_ANSWER)
    assert yard.tick() == []
    yard.scene.now_ms += 800
    assert yard.tick() == [order]


def test_busy_machine_is_tried_again_later(yard):
    """A refusal for the moment must not end the wave."""
    yard.open_wave(["m1"])
    yard.beat("m1")
    yard.tick()
    (order,) = yard.tick() or run_to_order(yard)
    yard.answer(order, BUSY)
    assert yard.wave().left == ["m1"]
    yard.scene.now_ms += 800
    yard.beat("m1")
    yard.tick()
    assert len(yard.tick()) == 1


def test_machine_that_is_gone_leaves_the_wave(yard):
    """A wave must not wait for a machine that does not exist."""
    yard.open_wave(["m9"])
    (order,) = yard.tick()
    yard.answer(order, UNKNOWN_MACHINE)
    assert yard.wave().left == []


def test_pool_grows_when_its_jobs_would_be_late(yard):
    """Standby machines must come when a pool is too small."""
    yard.beat("m1", capacity=Resources(4_000, 8_000, 0))
    step = {"count": 16, "cpu_milli": 2_000, "estimated_ms": 2_000}
    yard.scene.submit(step)
    orders = yard.tick()
    assert {order.machine for order in orders} == {"s1", "s2"}
    assert all(order.target == "desk" for order in orders)


def test_pool_grows_by_a_machine_that_another_pool_can_spare():
    """Two moves by way of standby take as long as a peak."""
    queues = [make_queue(target_latency_ms=2_000), make_queue("other", "else")]
    yard = Yard(["m1", "m2", "m3", "m4"], queues=queues)
    step = {"count": 16, "cpu_milli": 2_000, "estimated_ms": 2_000}
    yard.scene.submit(step)
    yard.beat("m1", capacity=Resources(4_000, 8_000, 0))
    for name in ("m2", "m3", "m4"):
        yard.beat(name, service="else")
    yard.tick()
    orders = yard.tick()
    assert len(orders) == 2
    assert {order.target for order in orders} == {"desk"}
    assert {order.machine for order in orders} < {"m2", "m3", "m4"}


def test_unused_pool_keeps_its_size(yard):
    """A pool must not shrink before its demand is known."""
    for _ in range(4):
        for name in ("m1", "m2", "m3"):
            yard.beat(name)
        assert yard.tick() == []
        yard.scene.now_ms += 1_000


def test_calm_pool_shrinks_to_its_floor(yard):
    """A machine that is not needed goes to standby."""
    yard.beat("m1")
    yard.scene.submit(ONE | {"estimated_ms": 100})
    task = f"{JOB}.0.0.0"
    yard.beat("m1")
    yard.tick()
    yard.beat("m1", ended=[(1, task, 1, "done")])
    orders = []
    for _ in range(8):
        for name in ("m1", "m2", "m3"):
            yard.beat(name)
        orders += yard.tick()
        yard.scene.now_ms += 700
    assert len(orders) == 1
    assert orders[0].target == "spare"


def test_order_of_the_former_leader_waits_until_the_machine_is_empty(yard):
    """An upkeep that a former leader recorded must not end running tasks."""
    yard.open_wave(["m1"])
    yard.scene.dispatcher.record(OrderMachine("m1", "upkeep", "1"))
    task = f"{JOB}.0.0.0"
    yard.beat("m1")
    yard.scene.submit(ONE)
    yard.scene.dispatcher.record(StartRuns([task], [1], "w-m1@50000"))
    yard.beat("m1", running=[(task, 1, "", 10)])
    assert yard.tick() == []
    yard.beat("m1", ended=[(1, task, 1, "done")])
    assert len(yard.tick()) == 1


def test_ordered_machine_gets_no_task_before_the_pause_is_over(yard):
    """A new leader must not fill a machine that is about to go down."""
    yard.scene.dispatcher.record(OrderMachine("m1", "move", "spare"))
    yard.scene.submit(ONE)
    assert names(yard.beat("m1")) == []
    assert len(names(yard.beat("m2"))) == 1


def start_lasting(yard):
    """Starts a lasting step of two tasks; returns their rows by machine."""
    yard.scene.submit(LASTING)
    rows = {}
    for name in ("m1", "m2"):
        ((task, run),) = names(yard.beat(name))
        rows[name] = (task, run, "", 100)
        yard.beat(name, running=[rows[name]])
    return rows


def test_stop_is_withheld_when_the_step_has_lost_a_task_since(yard):
    """An order must be allowed when it leaves, not only when decided."""
    rows = start_lasting(yard)
    yard.open_wave(["m1"])
    yard.tick()
    yard.beat("m2", ended=[(1, *rows["m2"][:2], "failed")])
    assert yard.beat("m1", running=[rows["m1"]]).stops == []


def test_task_on_a_silent_worker_counts_as_away(yard):
    """A worker that has crashed looks at work until its lease ends."""
    rows = start_lasting(yard)
    yard.open_wave(["m1"])
    yard.scene.now_ms += 2_000
    yard.beat("m1", running=[rows["m1"]])
    yard.tick()
    assert yard.beat("m1", running=[rows["m1"]]).stops == []


def test_runs_on_a_machine_that_is_down_start_elsewhere_at_once():
    """Waiting for the lease of a crashed machine makes its jobs late."""
    yard = Yard(["m1", "m2"])
    yard.scene.submit(ONE)
    yard.beat("m1")
    yard.scene.advance(2_000)
    yard.states["m1"] = ("desk", "down")
    yard.list_machines()
    assert names(yard.beat("m2")) == [(f"{JOB}.0.0.0", 2)]


def test_worker_that_was_heard_a_moment_ago_is_not_down():
    """A list that lags must not end the life that came after it."""
    yard = Yard(["m1", "m2"])
    yard.scene.submit(ONE)
    yard.beat("m1")
    yard.scene.advance(300)
    yard.states["m1"] = ("desk", "down")
    yard.list_machines()
    assert names(yard.beat("m2")) == []


def test_machine_that_is_up_keeps_its_silent_worker():
    """A worker behind a cut runs on until its lease ends."""
    yard = Yard(["m1", "m2"])
    yard.scene.submit(ONE)
    yard.beat("m1")
    yard.scene.advance(2_000)
    yard.list_machines()
    assert names(yard.beat("m2")) == []


def test_runs_of_a_former_leader_on_a_machine_that_is_down_are_over():
    """A new leader has not heard the worker, but the platform knows it."""
    yard = Yard(["m1", "m2"])
    yard.scene.submit(ONE)
    yard.beat("m1")
    state = yard.scene.dispatcher.state
    yard.scene.dispatcher = BatchDispatcher(
        state, BatchSettings(), 4, yard.scene.now_ms
    )
    yard.scene.advance(2_000)
    yard.states["m1"] = ("desk", "down")
    yard.list_machines()
    assert names(yard.beat("m2")) == [(f"{JOB}.0.0.0", 2)]


def test_list_is_read_often_while_a_worker_with_runs_is_silent():
    """A crash must show before the lease would have ended anyway."""
    yard = Yard(["m1"])
    yard.scene.submit(ONE)
    yard.beat("m1")
    yard.tick()
    calm_ms = yard.manager.list_interval_ms()
    yard.scene.now_ms += 1_500
    yard.tick()
    assert yard.manager.list_interval_ms() < calm_ms


def test_machine_that_a_wave_has_taken_is_not_moved_as_well(yard):
    """A second order for the machine would replace its upkeep."""
    for name in ("m1", "m2", "m3"):
        yard.beat(name)
    yard.manager.moving["m1"] = "spare"
    yard.scene.dispatcher.record(OrderMachine("m1", "upkeep", "1"))
    yard.open_wave(["m1"])
    yard.tick()
    assert yard.scene.dispatcher.state.upkeep.orders["m1"].purpose == "upkeep"
    assert not yard.manager.moving


def test_machines_that_change_their_pool_do_not_join_a_wave(yard):
    """A wave took down what was emptied for moves, beyond its bound."""
    yard.open_wave(["m1", "m2", "m3"], count=1)
    for name in ("m1", "m2", "m3"):
        yard.beat(name)
    for name in ("m1", "m2"):
        worker = yard.scene.dispatcher.workers.by_machine[name]
        worker.reserved_ms = yard.scene.now_ms
        yard.manager.moving[name] = "spare"
    for _ in range(2):
        yard.tick()
    orders = yard.scene.dispatcher.state.upkeep.orders
    assert sum(order.purpose == "upkeep" for order in orders.values()) <= 1


def test_wave_keeps_its_bound_among_machines_that_are_reserved(yard):
    """However a machine came to be reserved, the bound holds."""
    yard.open_wave(["m1", "m2", "m3"], count=1)
    for name in ("m1", "m2", "m3"):
        yard.beat(name)
        worker = yard.scene.dispatcher.workers.by_machine[name]
        worker.reserved_ms = yard.scene.now_ms
    assert len(yard.tick()) == 1
    assert yard.tick() == []

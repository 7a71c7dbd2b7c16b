"""Tests of upkeep waves, machine moves and the sizes of pools."""

import pytest
import trio
import trio.testing
from batch_fixtures import (
    JOB,
    DispatcherHarness,
    make_queue,
    make_table,
    started_runs,
)
from expression import Ok

from wigeonport.batch_commands import OpenWave, OrderMachine, StartRuns
from wigeonport.batch_dispatchers import BatchDispatcher
from wigeonport.batch_settings import BatchSettings
from wigeonport.channels import Mailbox
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
    PlannedOrder,
)
from wigeonport.pool_loads import (
    WORKERS_RETURN_MS,
    PoolLoad,
    share_machines,
)
from wigeonport.pool_sizes import (
    PEAK_HALF_LIFE_MS,
    PEAK_SHARE,
    find_standby,
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


class MachineHarness:
    """A dispatcher harness with machines and a MachineManager.

    The manager has led for ``READY_MS``, longer than the waits after a change
    of leader.

    Attributes:
        harness: DispatcherHarness.
        manager: MachineManager.
        states: Maps machine to its pool and state in the platform's list.
    """

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
        """Passes the platform's list of machines to the manager."""
        rows = {
            name: MachineRow(name, pool, state, "ikeja", "r1", f"w-{name}")
            for name, (pool, state) in self.states.items()
        }
        self.manager.handle_machine_list(
            self.harness.dispatcher, MachineListed(rows, self.harness.now_ms)
        )

    def heartbeat(self, name, **values):
        """Sends a heartbeat of the worker on a machine; returns its orders."""
        return self.harness.heartbeat(f"w-{name}", machine=name, **values)

    def tick(self):
        """Runs a tick of the manager and returns the orders it plans."""
        self.harness.dispatcher.wall_ms = self.harness.now_ms
        self.harness.dispatcher.now_ms = self.harness.now_ms
        planned = self.manager.on_tick(
            self.harness.dispatcher, self.harness.now_ms
        )
        return [order for _, order in planned]

    def answer(self, order, result):
        """Passes the platform's answer to an order to the manager."""
        self.manager.handle_answer(
            self.harness.dispatcher,
            MachineAnswered(order, result),
            self.harness.now_ms,
        )

    def open_wave(self, machines, count=1, duration_ms=4_000):
        """Opens upkeep wave 1."""
        self.harness.dispatcher.wall_ms = self.harness.now_ms
        due_ms = self.harness.now_ms + duration_ms
        self.harness.dispatcher.record(OpenWave(1, machines, due_ms, count))

    def wave(self):
        """Returns upkeep wave 1."""
        return self.harness.dispatcher.state.upkeep.waves[1]


@pytest.fixture
def cluster():
    """Three machines in a pool and two on standby."""
    return MachineHarness(["m1", "m2", "m3"], ["s1", "s2"])


def order_after_heartbeats(cluster):
    """Sends heartbeats, runs two ticks; returns the orders of the second."""
    for name in ("m1", "m2", "m3"):
        cluster.heartbeat(name)
    cluster.tick()
    return cluster.tick()


def test_wave_keeps_its_maximum_of_machines_down(cluster):
    """A wave must not take down more machines at a time than ``max_count``."""
    cluster.open_wave(["m1", "m2", "m3"], count=1)
    (order,) = order_after_heartbeats(cluster)
    assert (order.purpose, order.target, order.fence) == ("upkeep", "1", 3)
    cluster.answer(order, EXECUTED)
    cluster.harness.now_ms += 500
    assert cluster.tick() == []
    assert len(cluster.wave().left) == 2


def test_next_machine_follows_when_the_first_is_up(cluster):
    """A wave must not stall after its first machine.

    The next one follows once a list requested after the confirmation shows the
    first machine up; the list from before doesn't count.
    """
    cluster.open_wave(["m1", "m2", "m3"], count=1)
    (order,) = order_after_heartbeats(cluster)
    cluster.answer(order, EXECUTED)
    cluster.tick()
    assert cluster.harness.dispatcher.state.upkeep.orders
    cluster.harness.now_ms += 2_500
    cluster.list_machines()
    for name in ("m1", "m2", "m3"):
        cluster.heartbeat(name)
    cluster.tick()
    upkeeps = [each for each in cluster.tick() if each.purpose == "upkeep"]
    assert len(upkeeps) == 1
    assert upkeeps[0].machine != order.machine


def test_machine_of_a_wave_is_emptied_first(cluster):
    """A machine must not go down for upkeep while a task runs on it."""
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
    """A wave must not stop more tasks of a step than ``max_unavailable``."""
    cluster.harness.submit(LASTING)
    tasks = {}
    for name in ("m1", "m2"):
        ((task, run),) = started_runs(cluster.heartbeat(name))
        tasks[name] = (task, run)
        cluster.heartbeat(name, running=[(task, run, "", 100)])
    cluster.heartbeat("m3")
    cluster.open_wave(["m1", "m2"], count=2)
    cluster.tick()
    stops = []
    for name in ("m1", "m2"):
        row = (*tasks[name], "", 100)
        stops += cluster.heartbeat(name, running=[row]).stops
    assert len(stops) == 1


def change_leader(cluster):
    """Begins a new term, in which the machines have been listed."""
    state = cluster.harness.dispatcher.state
    cluster.harness.dispatcher = BatchDispatcher(
        state, BatchSettings(), 4, cluster.harness.now_ms
    )
    cluster.manager.start_term(cluster.harness.now_ms)
    cluster.harness.now_ms += 1_600
    cluster.list_machines()


@pytest.mark.parametrize("settled", [False, True])
def test_new_leader_gives_no_order_to_a_machine_with_a_recent_one(
    cluster, settled
):
    """A new leader must not order a machine that has a recent order.

    The former leader's last order may still be in flight, whether it is open
    or completed in the state.
    """
    cluster.open_wave(["m1"])
    (order,) = order_after_heartbeats(cluster)
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
    """A new leader must not delay the growth of a pool at its peak.

    Only machines with a recent order have to wait.
    """
    change_leader(cluster)
    cluster.heartbeat("m1", capacity=Resources(4_000, 8_000, 0))
    step = {"count": 16, "cpu_milli": 2_000, "estimated_ms": 2_000}
    cluster.harness.submit(step)
    assert {order.machine for order in cluster.tick()} == {"s1", "s2"}


@pytest.fixture
def start_term_with_jobs():
    """Starts a term in which one of eight workers has reported yet.

    Takes the number of tasks, which need half of a machine for 2 s each and
    have 4.4 s, and returns the MachineHarness.
    """

    def start(tasks):
        names = [f"m{number}" for number in range(8)]
        cluster = MachineHarness(names, standby=["s1", "s2", "s3", "s4"])
        cluster.manager.start_term(cluster.harness.now_ms)
        cluster.list_machines()
        cluster.heartbeat(names[0], capacity=Resources(4_000, 8_000, 0))
        step = {"count": tasks, "cpu_milli": 2_000, "estimated_ms": 2_000}
        cluster.harness.submit(step)
        return cluster

    return start


def test_new_leader_counts_machines_that_have_not_reported(
    start_term_with_jobs,
):
    """A new leader must not grow a pool that only looks too small.

    Its workers find the new leader within some heartbeat intervals.
    """
    cluster = start_term_with_jobs(4)
    assert cluster.tick() == []
    assert not cluster.manager.pending_moves


def test_new_leader_grows_a_pool_in_a_peak_at_once(start_term_with_jobs):
    """A change of leader in a peak must not delay the growth of the pool."""
    cluster = start_term_with_jobs(64)
    assert {order.target for order in cluster.tick()} == {"desk"}


def test_silent_machines_count_only_while_a_term_begins(start_term_with_jobs):
    """A zone that is cut off must not keep a new leader from growing pools."""
    cluster = start_term_with_jobs(4)
    cluster.harness.now_ms += WORKERS_RETURN_MS
    cluster.heartbeat("m0", capacity=Resources(4_000, 8_000, 0))
    assert {order.target for order in cluster.tick()} == {"desk"}


def test_late_jobs_keep_their_machines(cluster):
    """Jobs that can't be in time any more must still be completed.

    A pool that shrank beside them left its callers without an answer.
    """
    for name in ("m1", "m2", "m3"):
        cluster.heartbeat(name)
    step = ONE | {"count": 60, "cpu_milli": 4_000, "estimated_ms": 900}
    cluster.harness.submit(step)
    cluster.harness.now_ms += 60_000
    for _ in range(6):
        for name in ("m1", "m2", "m3"):
            cluster.harness.now_ms += 100
            cluster.heartbeat(name)
        cluster.tick()
        cluster.harness.now_ms += 700
    assert "spare" not in cluster.manager.pending_moves.values()


def test_late_jobs_yield_to_those_in_time():
    """Jobs that are late already must not take machines from the others."""
    late, timely = PoolLoad("late", [], 0), PoolLoad("timely", [], 0)
    late.late, timely.needed = 30, 14
    share_machines([late, timely], 20)
    assert (late.share, timely.share) == (6, 14)


def test_growth_spares_machines_that_are_due_for_upkeep(cluster):
    """A pool must not grow by a machine that a wave takes down soon.

    On standby its upkeep costs nothing.
    """
    cluster.open_wave(["s1"])
    assert find_standby(
        cluster.manager,
        cluster.harness.dispatcher,
        "desk",
        cluster.harness.now_ms,
    ) == ["s2", "s1"]


def test_pool_without_a_worker_that_accepts_tasks_grows(cluster):
    """Guards against a lasting task that waits beside a reserved worker.

    The other worker of the pool is lost. The last one is reserved for a wave
    and cannot be emptied while tasks of the step are away.
    """
    cluster.states = {
        "m1": ("desk", "up"),
        "m2": ("desk", "down"),
        "s1": ("spare", "up"),
    }
    cluster.harness.submit(LASTING | {"max_per_worker": 2})
    ((first, run), (second, _)) = started_runs(cluster.heartbeat("m1"))
    cluster.harness.now_ms += 400
    ended = [(1, second, 1, "failed")]
    cluster.heartbeat("m1", running=[(first, run, "", 100)], ended=ended)
    cluster.harness.dispatcher.workers.by_machine["m1"].reserved_ms = 1
    cluster.list_machines()
    (order,) = cluster.tick()
    assert (order.machine, order.target) == ("s1", "desk")


@pytest.mark.parametrize("row", [("desk", "upkeep"), ("", ""), None])
def test_dropped_move_releases_its_worker(cluster, row):
    """Guards against a worker that stays reserved without an order.

    The list may be older than the worker, or lack a readable entry. The
    worker's room stays unused while tasks wait.
    """
    manager = cluster.manager
    cluster.heartbeat("m1")
    worker = cluster.harness.dispatcher.workers.by_machine["m1"]
    worker.reserved_ms = cluster.harness.now_ms
    manager.pending_moves["m1"] = "spare"
    if row is None:
        del cluster.states["m1"]
    else:
        cluster.states["m1"] = row
    cluster.list_machines()
    assert cluster.tick() == []
    assert manager.pending_moves == {}
    assert worker.reserved_ms is None


def test_machine_without_a_heartbeat_in_the_term_gets_no_upkeep(cluster):
    """A machine must not go down before its worker has found the new leader.

    Upkeep would end the runs that the worker may still have.
    """
    cluster.open_wave(["m1"])
    change_leader(cluster)
    for _ in range(2):
        assert cluster.tick() == []


def test_ends_of_orders_survive_a_snapshot():
    """A new leader that loads a snapshot must know which orders are recent.

    Without the times of their ends it would order those machines at once.
    """
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
    (order,) = cluster.tick() or order_after_heartbeats(cluster)
    cluster.answer(order, NO_ANSWER)
    assert cluster.tick() == []
    cluster.harness.now_ms += 800
    assert cluster.tick() == [order]


def test_busy_machine_is_tried_again_later(cluster):
    """A temporary refusal must not remove a machine from its wave."""
    cluster.open_wave(["m1"])
    cluster.heartbeat("m1")
    cluster.tick()
    (order,) = cluster.tick() or order_after_heartbeats(cluster)
    cluster.answer(order, BUSY)
    assert cluster.wave().left == ["m1"]
    cluster.harness.now_ms += 800
    cluster.heartbeat("m1")
    cluster.tick()
    assert len(cluster.tick()) == 1


def test_machine_that_is_gone_leaves_the_wave(cluster):
    """A wave must not wait for a machine that doesn't exist."""
    cluster.open_wave(["m9"])
    (order,) = cluster.tick()
    cluster.answer(order, UNKNOWN_MACHINE)
    assert cluster.wave().left == []


def test_pool_grows_when_its_jobs_would_be_late(cluster):
    """A pool that is too small for its jobs must get the standby machines."""
    cluster.heartbeat("m1", capacity=Resources(4_000, 8_000, 0))
    step = {"count": 16, "cpu_milli": 2_000, "estimated_ms": 2_000}
    cluster.harness.submit(step)
    orders = cluster.tick()
    assert {order.machine for order in orders} == {"s1", "s2"}
    assert all(order.target == "desk" for order in orders)


def test_pool_grows_by_a_machine_that_another_pool_can_spare():
    """A pool must get machines directly from a pool that can spare them.

    Two moves by way of standby would take as long as a peak lasts.
    """
    queues = [make_queue(target_latency_ms=2_000), make_queue("other", "else")]
    cluster = MachineHarness(["m1", "m2", "m3", "m4"], queues=queues)
    step = {"count": 16, "cpu_milli": 2_000, "estimated_ms": 2_000}
    cluster.harness.submit(step)
    cluster.heartbeat("m1", capacity=Resources(4_000, 8_000, 0))
    for name in ("m2", "m3", "m4"):
        cluster.heartbeat(name, service="else")
    cluster.tick()
    orders = cluster.tick()
    assert len(orders) == 2
    assert {order.target for order in orders} == {"desk"}
    assert {order.machine for order in orders} < {"m2", "m3", "m4"}


def test_pool_whose_peak_came_first_shares_its_machines():
    """Two peaks that need more than all machines must both get some.

    The pool whose peak came first has taken all spare machines by the time of
    the second peak, and its own jobs still need them.
    """
    names = [f"m{number}" for number in range(8)]
    queues = [make_queue(), make_queue("other", "else")]
    cluster = MachineHarness(names, queues=queues)
    step = ONE | {"count": 64, "cpu_milli": 8_000, "estimated_ms": 2_000}
    for name in names[1:]:
        cluster.heartbeat(name)
    cluster.heartbeat(names[0], service="else")
    cluster.harness.submit(step)
    assert cluster.tick() == []
    cluster.harness.submit(step, job_id="00000000000000bb", queue="other")
    cluster.harness.now_ms += 100
    cluster.tick()
    moved = cluster.manager.pending_moves
    assert set(moved.values()) == {"else"}
    assert 2 <= len(moved) <= 4


def test_shortage_leaves_lasting_tasks_their_machines():
    """A shortage must not take the machines that lasting tasks need."""
    lasting, peak = PoolLoad("watch", [], 0), PoolLoad("plans", [], 0)
    lasting.needed, lasting.min_machines = 2.4, 6
    peak.needed = 40
    share_machines([lasting, peak], 16)
    assert (lasting.share, peak.share) == (6, 10)


def test_pools_that_fit_get_no_shares():
    """Without a shortage, each pool must get what it needs."""
    pools = [PoolLoad("watch", [], 0), PoolLoad("plans", [], 0)]
    pools[0].needed, pools[1].needed = 6, 10
    share_machines(pools, 16)
    assert [pool.share for pool in pools] == [None, None]


def shrink_idle_pool(cluster, rounds):
    """Sends heartbeats of an idle pool; returns the machines moved out."""
    moved = []
    for _ in range(rounds):
        for name in cluster.states:
            if name not in moved:
                cluster.heartbeat(name)
        moved += [order.machine for order in cluster.tick()]
        cluster.harness.now_ms += 700
    return moved


def test_unused_pool_keeps_most_of_its_size():
    """A pool whose demand is unknown must not be given up.

    It keeps most of the size that it had at the start of the term, which
    serves the first seconds of a peak, and gives up what only costs.
    """
    cluster = MachineHarness(["m1", "m2", "m3", "m4", "m5", "m6"])
    cluster.manager.start_term(cluster.harness.now_ms - 1_500)
    cluster.list_machines()
    kept = 6 - len(shrink_idle_pool(cluster, 10))
    assert 6 * PEAK_SHARE * 0.5 ** (7_000 / PEAK_HALF_LIFE_MS) <= kept < 6


def test_pool_keeps_a_share_of_its_peak_need():
    """A pool must keep machines for the next peak when a peak is over."""
    cluster = MachineHarness([f"m{number}" for number in range(8)])
    for name in cluster.states:
        cluster.heartbeat(name)
    step = ONE | {"count": 12, "cpu_milli": 4_000, "estimated_ms": 900}
    cluster.harness.submit(step)
    cluster.tick()
    peak, _ = cluster.manager.peak_needs["desk"]
    assert peak > 4
    cluster.harness.cancel()
    kept = peak * PEAK_SHARE * 0.5 ** (5_600 / PEAK_HALF_LIFE_MS)
    assert len(shrink_idle_pool(cluster, 8)) <= 8 - kept


def test_pool_keeps_a_spare_machine_for_its_lasting_tasks(cluster):
    """An idle pool must keep room for a lasting task whose machine fails."""
    start_lasting(cluster)
    cluster.harness.now_ms += 30_000
    for _ in range(6):
        for name in ("m1", "m2", "m3"):
            cluster.heartbeat(name)
        assert cluster.tick() == []
        cluster.harness.now_ms += 700


def test_pool_without_room_for_its_lasting_tasks_grows(cluster):
    """A pool must grow when it has fewer machines than its lasting tasks."""
    cluster.harness.submit(LASTING)
    cluster.heartbeat("m1")
    (order,) = cluster.tick()
    assert (order.purpose, order.target) == ("move", "desk")


def test_order_of_the_former_leader_waits_until_the_machine_is_empty(cluster):
    """An upkeep recorded by a former leader must not end running tasks.

    The machine has got a task since the order was recorded.
    """
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
    """A machine with an order must get no task from a new leader.

    The task would end when the machine goes down.
    """
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


def test_stop_is_withdrawn_when_the_step_has_lost_a_task_since(cluster):
    """A planned stop must be withdrawn when it would exceed the limit.

    The other task of the step has failed since the stop was planned.
    """
    rows = start_lasting(cluster)
    cluster.open_wave(["m1"])
    cluster.tick()
    cluster.heartbeat("m2", ended=[(1, *rows["m2"][:2], "failed")])
    assert cluster.heartbeat("m1", running=[rows["m1"]]).stops == []


def test_task_on_a_silent_worker_counts_as_unavailable(cluster):
    """A task on a silent worker must not count as available.

    A crashed worker keeps its last reported progress until its lease expires.
    """
    rows = start_lasting(cluster)
    cluster.open_wave(["m1"])
    cluster.harness.now_ms += 2_000
    cluster.heartbeat("m1", running=[rows["m1"]])
    cluster.tick()
    assert cluster.heartbeat("m1", running=[rows["m1"]]).stops == []


def test_runs_on_a_machine_that_is_down_start_elsewhere_at_once():
    """Tasks of a crashed machine must not wait for its worker's lease."""
    cluster = MachineHarness(["m1", "m2"])
    cluster.harness.submit(ONE)
    cluster.heartbeat("m1")
    cluster.harness.advance(2_000)
    cluster.states["m1"] = ("desk", "down")
    cluster.list_machines()
    assert started_runs(cluster.heartbeat("m2")) == [(f"{JOB}.0.0.0", 2)]


def test_worker_with_a_recent_heartbeat_is_not_lost():
    """An outdated list must not end the runs of a worker that is live.

    The worker may have started after its machine was listed as down.
    """
    cluster = MachineHarness(["m1", "m2"])
    cluster.harness.submit(ONE)
    cluster.heartbeat("m1")
    cluster.harness.advance(300)
    cluster.states["m1"] = ("desk", "down")
    cluster.list_machines()
    assert started_runs(cluster.heartbeat("m2")) == []


def test_machine_that_is_up_keeps_its_silent_worker():
    """A worker behind a network partition must keep its runs.

    Its machine is up, so the runs are live until the lease expires.
    """
    cluster = MachineHarness(["m1", "m2"])
    cluster.harness.submit(ONE)
    cluster.heartbeat("m1")
    cluster.harness.advance(2_000)
    cluster.list_machines()
    assert started_runs(cluster.heartbeat("m2")) == []


def test_runs_of_a_former_leader_on_a_machine_that_is_down_are_over():
    """Runs on a crashed machine must also end under a new leader.

    That leader has no heartbeat of the worker, only the platform's list.
    """
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
    """The list must be read more often while a worker may have crashed.

    At the normal interval the lease could expire before the crash shows.
    """
    cluster = MachineHarness(["m1"])
    cluster.harness.submit(ONE)
    cluster.heartbeat("m1")
    cluster.tick()
    normal_interval_ms = cluster.manager.list_interval_ms()
    cluster.harness.now_ms += 1_500
    cluster.tick()
    assert cluster.manager.list_interval_ms() < normal_interval_ms


def test_machine_with_an_upkeep_order_is_not_moved(cluster):
    """A pending move must not replace the upkeep order of a machine."""
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
    """A wave must not take machines that are being emptied for a move.

    Otherwise it takes all of them at once, beyond its maximum number.
    """
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


def test_wave_keeps_its_maximum_among_reserved_machines(cluster):
    """A wave must keep its maximum even if all its machines are reserved.

    The three machines are reserved for another reason than the wave.
    """
    cluster.open_wave(["m1", "m2", "m3"], count=1)
    for name in ("m1", "m2", "m3"):
        cluster.heartbeat(name)
        worker = cluster.harness.dispatcher.workers.by_machine[name]
        worker.reserved_ms = cluster.harness.now_ms
    assert len(cluster.tick()) == 1
    assert cluster.tick() == []


class RecordingCloud:
    """A platform client that records the orders and executes them.

    Attributes:
        orders: PlannedOrders received.
    """

    __slots__ = ("orders",)

    def __init__(self):
        self.orders = []

    async def order(self, order):
        """Records an order and returns EXECUTED."""
        self.orders.append(order)
        return EXECUTED


@pytest.mark.parametrize(
    ("paused_ms", "result"), [(0, EXECUTED), (900, NO_ANSWER)]
)
def test_paused_leader_sends_no_order_after_its_lease(paused_ms, result):
    """An order must not go out on a lease that expired during a pause.

    The next leader may have sent one for the same machine meanwhile, and the
    platform does not check fencing tokens everywhere.
    """

    async def main():
        clock, cloud = ManualClock(1_000), RecordingCloud()
        manager = MachineManager(cloud, BatchSettings(), "node", clock)
        order = PlannedOrder("m-1", "move", "desk", "node", 3)
        order.valid_until_ms = clock.now() + 800
        clock.advance(paused_ms)
        answers = Mailbox("answers", 1)
        await manager.call(order, answers, trio.CapacityLimiter(1))
        assert (await answers.get()).result == result
        assert len(cloud.orders) == (result == EXECUTED)

    trio.run(main)


def test_entry_for_an_unknown_pool_ends_no_run(cluster):
    """Guards against a second run of tasks whose worker is only cut off.

    Another writer's entry says that its machine is down.
    """
    cluster.harness.submit({"count": 1, "cpu_milli": 100})
    ((task, run),) = started_runs(cluster.heartbeat("m1"))
    cluster.harness.now_ms += 1_500
    cluster.states["m1"] = ("agents", "down")
    cluster.list_machines()
    _, _, entry = cluster.harness.dispatcher.find_task(task)
    assert run in entry.runs


class FailingCloud:
    """A platform client that raises an exception in every other call.

    Attributes:
        calls: Number of calls.
    """

    __slots__ = ("calls",)

    def __init__(self):
        self.calls = 0

    async def order(self, order):
        """Raises an exception."""
        raise RecursionError("by the test")

    async def list_machines(self, pools):
        """Raises an exception, or returns an empty list."""
        self.calls += 1
        if self.calls % 2:
            raise OverflowError("by the test")
        return Ok({})


def test_exception_while_reading_the_list_is_a_failed_call():
    """Guards against a control that ends by the list of machines.

    The next list must be read and passed on.
    """

    async def main():
        manager = MachineManager(
            FailingCloud(), BatchSettings(), "node", ManualClock()
        )
        manager.leading = True
        lists = Mailbox("lists", 1)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(manager.list_regularly, lists)
            assert (await lists.get()).rows == {}
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_exception_in_an_order_leaves_its_outcome_unknown():
    """Guards against a control that ends by the answer to an order.

    The platform may have carried it out, so the same order is sent again.
    """

    async def main():
        clock = ManualClock(1_000)
        manager = MachineManager(FailingCloud(), BatchSettings(), "n", clock)
        order = PlannedOrder("m-1", "move", "desk", "node", 3)
        order.valid_until_ms = clock.now() + 800
        answers = Mailbox("answers", 1)
        await manager.call(order, answers, trio.CapacityLimiter(1))
        assert (await answers.get()).result == NO_ANSWER

    trio.run(main)

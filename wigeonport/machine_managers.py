"""Orders to machines: upkeep, and moves between pools.

An order is committed before it is sent to the platform. After a change of
leader, a machine with a recent order gets no new one for a while, because the
last order of the former leader may still be in flight.
"""

import collections

import trio
from expression import Error, Result

from wigeonport.batch_commands import (
    MOVE,
    ConfirmMachine,
    OrderMachine,
    SettleMachine,
)
from wigeonport.channels import REFUSE, Mailbox
from wigeonport.logs import PartLogger
from wigeonport.machine_losses import (
    end_runs_on_down_machines,
    has_silent_worker,
)
from wigeonport.machine_orders import (
    EXECUTED,
    NO_ANSWER,
    UNKNOWN_MACHINE,
    UP,
    MachineAnswered,
    MachineListed,
    PlannedOrder,
)
from wigeonport.pool_loads import WORKERS_RETURN_MS
from wigeonport.pool_sizes import plan_moves
from wigeonport.upkeep_waves import advance_wave, empty_reserved
from wigeonport.worker_registrations import has_rivals, register_listed

logger = PartLogger("machines")

MAX_QUEUED_CALLS = 256
# Maximum number of orders in transmission. With the request for the list they
# use all 8 connections of the client, so that no order waits for a connection
# after its lease has been checked.
MAX_PARALLEL_CALLS = 7
# Interval of reading the list of machines, which shows machines without a
# worker. The platform charges for each call.
LIST_INTERVAL_MS = 1_500
# The same interval while an order is carried out (an upkeep takes 2 s) or a
# worker may have crashed.
BUSY_LIST_INTERVAL_MS = 400
# Margin for jumps of the wall clock when the age of an order is computed.
CLOCK_JUMP_MS = 5_000
# A machine gets no order for this time after one was refused or unanswered.
REFUSED_PAUSE_MS = 700
# Maximum length of an error in the log; it may quote a value.
MAX_FAULT_LENGTH = 300


class OrderForwarder:
    """Reply channel that forwards an order once it is committed.

    Attributes:
        calls: Mailbox of the task that calls the platform.
    """

    __slots__ = ("calls",)

    def __init__(self, calls):
        self.calls = calls

    def send(self, answer):
        """Forwards a PlannedOrder.

        Any other answer means that this replica no longer leads, and the
        order is not sent.
        """
        if isinstance(answer, PlannedOrder):
            return self.calls.put_nowait(answer)
        return False


class MachineManager:
    """Decides on orders to machines and sends them to the platform.

    Times are monotonic.

    Attributes:
        cloud: Client of the platform with ``list_machines`` and ``order``.
        settings: BatchSettings.
        node: Node of this replica, sent as the holder of its orders.
        clock: Clock.
        calls: Mailbox of committed PlannedOrders to send.
        rows: Maps machine to MachineRow, from the platform's newest list.
        rows_requested_ms: Time at which that list was requested.
        confirmed_ms: Maps machine to the time at which the platform
            confirmed its order.
        since_ms: Start of the term.
        paused_until_ms: Maps machine to the time before which it gets no
            order.
        orders_in_flight: Machines whose order has no answer yet.
        ordered_in_term: Machines that have got an order in this term.
        leading: Whether this replica leads.
        pools: Names of the pools in the routing table in force.
        pending_moves: Maps machine to target pool, for machines that are
            being emptied to be moved.
        underused_since_ms: Maps service to the time since which its pool
            could spare a machine.
        peak_needs: Maps service to the peak need of its pool, in machines,
            and the time of its last update.
        refused_moves: Pairs of machine and pool that the platform refused.
        silent_worker: Whether a worker with live runs may have crashed, or
            another sender claims its machine.
    """

    __slots__ = (
        "cloud",
        "settings",
        "node",
        "clock",
        "calls",
        "rows",
        "rows_requested_ms",
        "confirmed_ms",
        "since_ms",
        "paused_until_ms",
        "orders_in_flight",
        "ordered_in_term",
        "leading",
        "pools",
        "pending_moves",
        "underused_since_ms",
        "peak_needs",
        "refused_moves",
        "silent_worker",
    )

    def __init__(self, cloud, settings, node, clock):
        self.cloud = cloud
        self.settings = settings
        self.node = node
        self.clock = clock
        self.calls = Mailbox("machine calls", MAX_QUEUED_CALLS, REFUSE)
        self.rows = {}
        self.rows_requested_ms = 0
        self.confirmed_ms = {}
        self.since_ms = 0
        self.paused_until_ms = {}
        self.orders_in_flight = set()
        self.ordered_in_term = set()
        self.leading = False
        self.pools = frozenset()
        self.pending_moves = {}
        self.underused_since_ms = {}
        self.peak_needs = {}
        self.refused_moves = set()
        self.silent_worker = False

    def start_term(self, now_ms):
        """Resets the state at the start of a term as leader."""
        self.since_ms = now_ms
        self.paused_until_ms = {}
        self.orders_in_flight = set()
        self.ordered_in_term = set()
        self.rows = {}
        self.confirmed_ms = {}
        self.leading = True
        self.pending_moves = {}
        self.underused_since_ms = {}
        self.peak_needs = {}

    def stop(self):
        """Stops reading the list of machines at the end of a term."""
        self.leading = False

    async def run(self, inbox):
        """Sends orders to the platform and reads its list of machines.

        Args:
            inbox: Mailbox of the controller for the answers.
        """
        limiter = trio.CapacityLimiter(MAX_PARALLEL_CALLS)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.list_regularly, inbox)
            async for order in self.calls:
                nursery.start_soon(self.call, order, inbox, limiter)

    async def call(self, order, inbox, limiter):
        """Sends one order and passes the answer to the controller.

        An order whose lease has expired while it waited is not sent, because
        another replica may give orders by now.
        """
        async with limiter:
            if self.clock.now() < order.valid_until_ms:
                result = await self.send(order)
            else:
                result = NO_ANSWER
        logger.info(
            "Machine order answered.",
            machine=order.machine,
            purpose=order.purpose,
            target=order.target,
            fence=order.fence,
            result=result,
        )
        await inbox.put(MachineAnswered(order, result))

    async def send(self, order):
        """Sends one order and returns its result.

        An exception would end the process, and that of the next leader, which
        sends the same order; the order may have been carried out.
        """
        try:
            return await self.cloud.order(order)
        except Exception as error:
            logger.error(
                "Machine order failed.",
                machine=order.machine,
                fault=repr(error)[:MAX_FAULT_LENGTH],
            )
            return NO_ANSWER

    async def read_list(self) -> Result:
        """Returns the Result of reading the list; an exception is an error."""
        try:
            return await self.cloud.list_machines(self.pools)
        except Exception as error:
            return Error(repr(error)[:MAX_FAULT_LENGTH])

    async def list_regularly(self, inbox):
        """Reads the list of machines periodically while this replica leads."""
        while True:
            if self.leading:
                asked_ms = self.clock.now()
                rows = await self.read_list()
                if rows.is_ok():
                    await inbox.put(MachineListed(rows.ok, asked_ms))
                else:
                    logger.warning(
                        "Machine list could not be read.", reason=rows.error
                    )
            await self.clock.sleep(self.list_interval_ms())

    def list_interval_ms(self):
        """Returns the time until the list is read again."""
        if not self.leading or not self.rows:
            # A new leader needs its first list soon.
            return BUSY_LIST_INTERVAL_MS
        busy = self.orders_in_flight or self.confirmed_ms or self.silent_worker
        return BUSY_LIST_INTERVAL_MS if busy else LIST_INTERVAL_MS

    def handle_machine_list(self, dispatcher, event):
        """Handles a new list of machines from the platform."""
        if {m: r.state for m, r in event.rows.items()} != {
            m: r.state for m, r in self.rows.items()
        }:
            states = collections.Counter(
                f"{row.pool} {row.state}" for row in event.rows.values()
            )
            logger.info("Machine states changed.", states=dict(states))
        self.rows = event.rows
        self.rows_requested_ms = event.asked_ms
        if dispatcher is not None:
            end_runs_on_down_machines(dispatcher, event)
            register_listed(dispatcher, event.rows)

    def handle_answer(self, dispatcher, event, now_ms):
        """Handles the platform's answer to an order."""
        machine = event.order.machine
        self.orders_in_flight.discard(machine)
        if event.result == EXECUTED:
            # The runs on the machine end with the first heartbeat of its
            # new worker, not here: if this order repeats one that had been
            # carried out already, they may be runs of the new worker.
            dispatcher.record(ConfirmMachine(machine))
            self.confirmed_ms[machine] = now_ms
            return
        self.paused_until_ms[machine] = now_ms + REFUSED_PAUSE_MS
        if event.result == NO_ANSWER:
            # The order may have been carried out, so the same one is sent
            # again instead of a new one.
            return
        gone = event.result == UNKNOWN_MACHINE
        if gone and event.order.purpose == MOVE:
            # Either the pool takes another kind of machine, or the machine
            # no longer exists; the next list shows which.
            self.refused_moves.add((machine, event.order.target))
        dispatcher.record(SettleMachine(machine, gone))
        self.release(dispatcher, machine)

    def on_tick(self, dispatcher, now_ms):
        """Plans waves and moves, and returns the orders to send.

        Returns:
            Pairs of reply channel and PlannedOrder. The channel gets the
            order once it is committed.
        """
        self.silent_worker = has_silent_worker(
            dispatcher, now_ms
        ) or has_rivals(dispatcher)
        self.pools = dispatcher.state.routes.table.services.keys()
        self.reserve_ordered(dispatcher, now_ms)
        if not self.rows:
            return []
        self.settle_returned(dispatcher)
        if now_ms - self.since_ms >= WORKERS_RETURN_MS:
            # Before that, too few machines are known to be at work.
            for wave in list(dispatcher.state.upkeep.waves.values()):
                if wave.left:
                    advance_wave(self, dispatcher, wave, now_ms)
        plan_moves(self, dispatcher, now_ms)
        self.reserve_ordered(dispatcher, now_ms)
        empty_reserved(dispatcher, now_ms)
        return [
            self.plan(dispatcher, machine, order)
            for machine, order in list(dispatcher.state.upkeep.orders.items())
            if not order.begun
            and self.may_order(dispatcher, machine, now_ms)
            and self.is_empty(dispatcher, machine, now_ms)
        ]

    def is_empty(self, dispatcher, machine, now_ms):
        """Returns whether no run of a machine may be live.

        This is checked before each order, because the machine may have got
        tasks since a former leader recorded the order, and its worker may
        not have sent a heartbeat to this leader yet.
        """
        worker = dispatcher.workers.by_machine.get(machine)
        if worker is not None:
            return not worker.runs
        row = self.rows.get(machine)
        standby = dispatcher.state.routes.table.standby_services()
        if row is not None and row.pool in standby:
            return True
        return now_ms >= dispatcher.orphans_until_ms

    def reserve_ordered(self, dispatcher, now_ms):
        """Reserves the workers on machines with an order."""
        for machine in dispatcher.state.upkeep.orders:
            worker = dispatcher.workers.by_machine.get(machine)
            if worker is not None:
                dispatcher.reserve_ordered(worker, now_ms)

    def may_order(self, dispatcher, machine, now_ms):
        """Returns whether a machine may get an order now."""
        if (
            machine in self.orders_in_flight
            or now_ms < self.paused_until_ms.get(machine, 0)
        ):
            return False
        if machine in self.ordered_in_term:
            return True
        if now_ms - self.since_ms >= self.settings.takeover_wait_ms:
            return True
        # An order of the former leader may still be in flight.
        upkeep = dispatcher.state.upkeep
        if machine in upkeep.orders:
            return False
        settled_ms = upkeep.settled.get(machine)
        old_ms = self.settings.takeover_wait_ms + CLOCK_JUMP_MS
        return settled_ms is None or dispatcher.wall_ms - settled_ms > old_ms

    def record(self, dispatcher, machine, purpose, target):
        """Records a new order."""
        self.ordered_in_term.add(machine)
        dispatcher.record(OrderMachine(machine, purpose, target))

    def plan(self, dispatcher, machine, order):
        """Returns the reply channel and PlannedOrder for a recorded order."""
        self.orders_in_flight.add(machine)
        self.ordered_in_term.add(machine)
        planned = PlannedOrder(
            machine, order.purpose, order.target, self.node, dispatcher.term
        )
        return OrderForwarder(self.calls), planned

    def settle_returned(self, dispatcher):
        """Completes the orders whose machine is up again or gone.

        Only a list that was requested after the order was confirmed counts.
        A heartbeat is not enough, because it may come from the machine's
        former worker.
        """
        for machine, order in list(dispatcher.state.upkeep.orders.items()):
            since_ms = self.confirmed_ms.get(machine, self.since_ms)
            if not order.begun or self.rows_requested_ms <= since_ms:
                continue
            row = self.rows.get(machine)
            if row is None or row.state == UP:
                dispatcher.record(SettleMachine(machine, row is None))
                self.confirmed_ms.pop(machine, None)
                self.release(dispatcher, machine)

    def release(self, dispatcher, machine):
        """Lets the worker on a machine get tasks again."""
        worker = dispatcher.workers.by_machine.get(machine)
        if worker is not None:
            worker.reserved_ms = None

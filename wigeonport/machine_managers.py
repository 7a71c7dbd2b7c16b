"""Upkeep of machines and their moves between pools.

An order is durable before the platform is called. After a change of
leader a machine that had an order lately gets none for a while, because
the former leader's last order may still be on its way.
"""

import collections

import trio

from wigeonport.batch_commands import (
    MOVE,
    ConfirmMachine,
    OrderMachine,
    SettleMachine,
)
from wigeonport.channels import REFUSE, Mailbox
from wigeonport.logs import PartLogger
from wigeonport.machine_losses import has_silent_worker, lose_down_workers
from wigeonport.machine_orders import (
    EXECUTED,
    NO_ANSWER,
    UNKNOWN_MACHINE,
    UP,
    MachineAnswered,
    MachineListed,
    PlannedOrder,
)
from wigeonport.pool_sizes import plan_moves
from wigeonport.upkeep_waves import advance, empty_reserved

logger = PartLogger("machines")

CALLS_BOUND = 256
# The list is needed for machines without a worker; each call is paid for.
LIST_INTERVAL_MS = 1_500
# While an order is carried out; an upkeep takes 2 s.
BUSY_LIST_INTERVAL_MS = 400
# The time of day may jump by some seconds; an order is old only beyond it.
CLOCK_JUMP_MS = 5_000
# Time in which the workers find a new leader; before, pools look small.
GATHERING_MS = 1_500
# A refused order is tried again after this time.
REFUSED_PAUSE_MS = 700


class DurableOrder:
    """Reply channel that passes an order on once it is durable.

    Attributes:
        calls: Mailbox of the task that calls the platform.
    """

    __slots__ = ("calls",)

    def __init__(self, calls):
        self.calls = calls

    def send(self, answer):
        """Passes a PlannedOrder on; anything else means a lost lead."""
        if isinstance(answer, PlannedOrder):
            return self.calls.put_nowait(answer)
        return False


class MachineManager:
    """Decides on orders to machines.

    Attributes:
        cloud: Client of the platform with ``list_machines`` and ``order``.
        settings: BatchSettings.
        node: Node of this replica, the holder of its orders.
        clock: Clock.
        calls: Mailbox of PlannedOrders that are durable.
        rows: MachineRow by machine.
        rows_asked_ms: When that list was asked for.
        confirmed_ms: When an order was confirmed, by machine.
        since_ms: Start of the term.
        pausing: Time until which a machine gets no order, by machine.
        asked: Machines whose order is at the platform.
        owned: Machines that this leader has given an order in its term.
        leading: Whether this replica leads.
        moving: Target pool by machine, for machines that are being emptied.
        calm_since: Since when a pool could spare a machine.
        sizes: Most machines of a pool in this term.
        used: Services that have had timed jobs in this term.
        unsuitable: Pairs of machine and pool that the platform refused.
        silent_worker: Whether a worker with live runs may have crashed.
    """

    __slots__ = (
        "cloud",
        "settings",
        "node",
        "clock",
        "calls",
        "rows",
        "rows_asked_ms",
        "confirmed_ms",
        "since_ms",
        "pausing",
        "asked",
        "owned",
        "leading",
        "moving",
        "calm_since",
        "sizes",
        "used",
        "unsuitable",
        "silent_worker",
    )

    def __init__(self, cloud, settings, node, clock):
        self.cloud = cloud
        self.settings = settings
        self.node = node
        self.clock = clock
        self.calls = Mailbox("machine calls", CALLS_BOUND, REFUSE)
        self.rows = {}
        self.rows_asked_ms = 0
        self.confirmed_ms = {}
        self.since_ms = 0
        self.pausing = {}
        self.asked = set()
        self.owned = set()
        self.leading = False
        self.moving = {}
        self.calm_since = {}
        self.sizes = {}
        self.used = set()
        self.unsuitable = set()
        self.silent_worker = False

    def restart(self, now_ms):
        """Begins a term."""
        self.since_ms = now_ms
        self.pausing = {}
        self.asked = set()
        self.owned = set()
        self.rows = {}
        self.confirmed_ms = {}
        self.leading = True
        self.moving = {}
        self.calm_since = {}
        self.sizes = {}
        self.used = set()

    def stop(self):
        """Ends a term."""
        self.leading = False

    async def run(self, inbox):
        """Calls the platform on behalf of the controller."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.list_regularly, inbox)
            async for order in self.calls:
                nursery.start_soon(self.call, order, inbox)

    async def call(self, order, inbox):
        """Sends one order and reports the answer."""
        result = await self.cloud.order(order)
        logger.info(
            "Machine ordered.",
            machine=order.machine,
            purpose=order.purpose,
            target=order.target,
            fence=order.fence,
            result=result,
        )
        await inbox.put(MachineAnswered(order, result))

    async def list_regularly(self, inbox):
        """Reads the list of machines while this replica leads."""
        while True:
            if self.leading:
                asked_ms = self.clock.now()
                rows = await self.cloud.list_machines()
                if rows.is_ok():
                    await inbox.put(MachineListed(rows.ok, asked_ms))
                else:
                    logger.warning("No list of machines.", reason=rows.error)
            await self.clock.sleep(self.list_interval_ms())

    def list_interval_ms(self):
        """Returns the pause before the list is read again."""
        if not self.leading or not self.rows:
            # A new leader needs its first list soon.
            return BUSY_LIST_INTERVAL_MS
        busy = self.asked or self.confirmed_ms or self.silent_worker
        return BUSY_LIST_INTERVAL_MS if busy else LIST_INTERVAL_MS

    def note_list(self, dispatcher, event):
        """Takes in the list of machines."""
        if {m: r.state for m, r in event.rows.items()} != {
            m: r.state for m, r in self.rows.items()
        }:
            states = collections.Counter(
                f"{row.pool} {row.state}" for row in event.rows.values()
            )
            logger.info("Machines listed.", states=dict(states))
        self.rows = event.rows
        self.rows_asked_ms = event.asked_ms
        if dispatcher is not None:
            lose_down_workers(dispatcher, event)

    def note_answer(self, dispatcher, event, now_ms):
        """Takes in the answer to an order."""
        machine = event.order.machine
        self.asked.discard(machine)
        if event.result == EXECUTED:
            # What ran there is over once the new worker is heard; an order
            # that had been carried out before must not end its runs.
            dispatcher.record(ConfirmMachine(machine))
            self.confirmed_ms[machine] = now_ms
            return
        self.pausing[machine] = now_ms + REFUSED_PAUSE_MS
        if event.result == NO_ANSWER:
            # It may have been carried out; the same order is sent again.
            return
        gone = event.result == UNKNOWN_MACHINE
        if gone and event.order.purpose == MOVE:
            # The pool takes machines of another kind, or the machine is
            # gone; the next list tells which.
            self.unsuitable.add((machine, event.order.target))
        dispatcher.record(SettleMachine(machine, gone))
        self.release(dispatcher, machine)

    def on_tick(self, dispatcher, now_ms):
        """Returns pairs of reply channel and PlannedOrder."""
        self.silent_worker = has_silent_worker(dispatcher, now_ms)
        self.reserve_ordered(dispatcher, now_ms)
        if now_ms - self.since_ms < GATHERING_MS or not self.rows:
            return []
        self.settle_returned(dispatcher)
        for wave in list(dispatcher.state.upkeep.waves.values()):
            if wave.left:
                advance(self, dispatcher, wave, now_ms)
        plan_moves(self, dispatcher, now_ms)
        self.reserve_ordered(dispatcher, now_ms)
        empty_reserved(dispatcher, now_ms)
        return [
            self.plan(dispatcher, machine, order)
            for machine, order in list(dispatcher.state.upkeep.orders.items())
            if not order.begun
            and self.is_free(dispatcher, machine, now_ms)
            and self.is_empty(dispatcher, machine, now_ms)
        ]

    def is_empty(self, dispatcher, machine, now_ms):
        """Returns whether no run of a machine may be live.

        An order of a former leader may meet a machine that has been given
        tasks since, and a worker may not have found this leader yet.
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
        """Keeps new tasks away from machines with an order."""
        for machine in dispatcher.state.upkeep.orders:
            worker = dispatcher.workers.by_machine.get(machine)
            if worker is not None:
                dispatcher.reserve_ordered(worker, now_ms)

    def is_free(self, dispatcher, machine, now_ms):
        """Returns whether a machine may get an order now."""
        if machine in self.asked or now_ms < self.pausing.get(machine, 0):
            return False
        if machine in self.owned:
            return True
        if now_ms - self.since_ms >= self.settings.takeover_wait_ms:
            return True
        # The former leader may have given it an order a moment ago.
        upkeep = dispatcher.state.upkeep
        if machine in upkeep.orders:
            return False
        settled_ms = upkeep.settled.get(machine)
        old_ms = self.settings.takeover_wait_ms + CLOCK_JUMP_MS
        return settled_ms is None or dispatcher.wall_ms - settled_ms > old_ms

    def record(self, dispatcher, machine, purpose, target):
        """Records an order of this leader."""
        self.owned.add(machine)
        dispatcher.record(OrderMachine(machine, purpose, target))

    def plan(self, dispatcher, machine, order):
        """Returns reply channel and PlannedOrder of a recorded order."""
        self.asked.add(machine)
        self.owned.add(machine)
        planned = PlannedOrder(
            machine, order.purpose, order.target, self.node, dispatcher.term
        )
        return DurableOrder(self.calls), planned

    def settle_returned(self, dispatcher):
        """Settles the orders whose machine is up again.

        Only a list that was asked for after the order was confirmed
        counts; a heartbeat may be one of the former worker.
        """
        for machine, order in list(dispatcher.state.upkeep.orders.items()):
            since_ms = self.confirmed_ms.get(machine, self.since_ms)
            if not order.begun or self.rows_asked_ms <= since_ms:
                continue
            row = self.rows.get(machine)
            if row is None or row.state == UP:
                dispatcher.record(SettleMachine(machine, row is None))
                self.confirmed_ms.pop(machine, None)
                self.release(dispatcher, machine)

    def release(self, dispatcher, machine):
        """Lets a machine take tasks again."""
        worker = dispatcher.workers.by_machine.get(machine)
        if worker is not None:
            worker.reserved_ms = None

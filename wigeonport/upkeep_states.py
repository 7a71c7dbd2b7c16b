"""Replicated state of upkeep waves and machine orders.

An upkeep wave takes a list of machines down for upkeep, a limited number
at a time. A machine order is a request to the platform to start the upkeep
of one machine or to move it to another pool.
"""

import json

from wigeonport.batch_commands import (
    OPERATIONS,
    UPKEEP,
    ConfirmMachine,
    OpenWave,
    OrderMachine,
    SettleMachine,
)
from wigeonport.records import Record

# Completed waves stay readable up to this number of waves; operators read
# recent waves only.
MAX_WAVES = 200
# How long the end of an order is kept; far longer than a new leader has to
# wait before it gives the same machine another order.
SETTLED_RETENTION_MS = 60_000


class Wave(Record):
    """An upkeep wave that an operator has submitted.

    Attributes:
        number: Number of the wave.
        due_ms: Wall time by which the upkeep of every machine must have
            begun.
        opened_ms: Wall time at which the wave was accepted.
        max_count: Maximum number of machines of the wave that are down at
            the same time.
        left: Remaining machines, whose upkeep has not begun, in the
            operator's order.
        machines: All machines of the wave.
    """

    __slots__ = (
        "number",
        "due_ms",
        "opened_ms",
        "max_count",
        "left",
        "machines",
    )

    def __init__(self, number, due_ms, opened_ms, max_count, left, machines):
        self.number = number
        self.due_ms = due_ms
        self.opened_ms = opened_ms
        self.max_count = max_count
        self.left = left
        self.machines = machines


class MachineOrder(Record):
    """An order for a machine that has not been completed.

    Attributes:
        purpose: ``upkeep`` or ``move``.
        target: Number of the wave (upkeep) or name of the target pool
            (move).
        ordered_ms: Wall time at which the order was recorded.
        begun: Whether the platform has confirmed the order.
    """

    __slots__ = ("purpose", "target", "ordered_ms", "begun")

    def __init__(self, purpose, target, ordered_ms, begun=False):
        self.purpose = purpose
        self.target = target
        self.ordered_ms = ordered_ms
        self.begun = begun


class UpkeepState:
    """Upkeep waves, and the orders given to machines.

    Attributes:
        waves: Maps wave number to Wave.
        orders: Maps machine to the MachineOrder that is in progress.
        settled: Maps machine to the wall time at which its last order
            ended, in ms.
    """

    __slots__ = ("waves", "orders", "settled")

    def __init__(self):
        self.waves = {}
        self.orders = {}
        self.settled = {}

    def record_settled(self, machine, now_ms):
        """Records the end of an order and drops expired entries."""
        self.settled[machine] = now_ms
        self.settled = {
            name: end_ms
            for name, end_ms in self.settled.items()
            if now_ms - end_ms <= SETTLED_RETENTION_MS
        }

    def count_machines_down(self, wave):
        """Returns the number of machines of a wave with an upkeep order.

        Each of them may be down already, whether or not the platform has
        confirmed the order.
        """
        return sum(
            order.purpose == UPKEEP and order.target == str(wave.number)
            for order in self.orders.values()
        )

    def copy(self):
        """Returns a copy that shares nothing mutable."""
        text = json.dumps(self.to_document())
        return upkeep_state_from_document(json.loads(text))

    def to_document(self):
        """Returns the state as a JSON-compatible dict."""
        return {
            "waves": [wave.to_document() for wave in self.waves.values()],
            "orders": {
                machine: order.to_document()
                for machine, order in self.orders.items()
            },
            "settled": dict(self.settled),
        }


def upkeep_state_from_document(document):
    """Rebuilds an UpkeepState from ``UpkeepState.to_document``."""
    state = UpkeepState()
    for values in document["waves"]:
        state.waves[values["number"]] = Wave(**values)
    for machine, values in document["orders"].items():
        state.orders[machine] = MachineOrder(**values)
    # Snapshots of earlier versions lack this key.
    state.settled = dict(document.get("settled", {}))
    return state


@OPERATIONS.register(OpenWave)
def open_wave(state, operation, now_ms):
    """Adds a wave unless there is one with its number."""
    waves = state.upkeep.waves
    if operation.wave in waves:
        return
    machines = list(dict.fromkeys(operation.machines))
    waves[operation.wave] = Wave(
        operation.wave,
        operation.due_ms,
        now_ms,
        operation.max_count,
        list(machines),
        machines,
    )
    completed = [number for number, wave in waves.items() if not wave.left]
    for number in completed[: max(0, len(waves) - MAX_WAVES)]:
        del waves[number]


@OPERATIONS.register(OrderMachine)
def order_machine(state, operation, now_ms):
    """Records an order before it is sent to the platform."""
    state.upkeep.orders[operation.machine] = MachineOrder(
        operation.purpose, operation.target, now_ms
    )


@OPERATIONS.register(ConfirmMachine)
def confirm_machine(state, operation, now_ms):
    """Records that the platform is carrying out an order."""
    order = state.upkeep.orders.get(operation.machine)
    if order is not None:
        order.begun = True
        if order.purpose == UPKEEP:
            remove_from_wave(state, order.target, operation.machine)


@OPERATIONS.register(SettleMachine)
def settle_machine(state, operation, now_ms):
    """Records that an order has ended.

    A machine that no longer exists is removed from its wave as well.
    """
    order = state.upkeep.orders.pop(operation.machine, None)
    state.upkeep.record_settled(operation.machine, now_ms)
    if operation.gone and order is not None and order.purpose == UPKEEP:
        remove_from_wave(state, order.target, operation.machine)


def remove_from_wave(state, target, machine):
    """Removes a machine from the remaining machines of a wave.

    Args:
        state: ReplicatedState.
        target: Wave number as text, from ``MachineOrder.target``.
        machine: Machine name.
    """
    wave = state.upkeep.waves.get(int(target))
    if wave is not None and machine in wave.left:
        wave.left.remove(machine)

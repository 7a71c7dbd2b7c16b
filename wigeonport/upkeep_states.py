"""Replicated state of upkeep waves and of orders to machines."""

from wigeonport.batch_commands import (
    OPERATIONS,
    UPKEEP,
    ConfirmMachine,
    OpenWave,
    OrderMachine,
    SettleMachine,
)
from wigeonport.records import Record

# Waves that are over are kept for readers; an operator asks for a recent
# one only.
MAX_WAVES = 200
# The end of an order is remembered for this long; far longer than a new
# leader has to wait before it orders the same machine.
SETTLED_RETENTION_MS = 60_000


class Wave(Record):
    """An upkeep wave that an operator has stated.

    Attributes:
        number: Number of the wave.
        due_ms: Wall time by which all upkeeps must have begun.
        opened_ms: Wall time of its acceptance.
        max_count: Most machines of the wave that are down at a time.
        left: Machines whose upkeep has not begun, in the operator's order.
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
    """An order to a machine that may be in progress.

    Attributes:
        purpose: ``upkeep`` or ``move``.
        target: Number of the wave, or name of the pool.
        ordered_ms: Wall time at which it was recorded.
        begun: Whether the platform has confirmed it.
    """

    __slots__ = ("purpose", "target", "ordered_ms", "begun")

    def __init__(self, purpose, target, ordered_ms, begun=False):
        self.purpose = purpose
        self.target = target
        self.ordered_ms = ordered_ms
        self.begun = begun


class UpkeepState:
    """Waves and orders.

    Attributes:
        waves: Wave by number.
        orders: MachineOrder by machine, for orders in progress.
        settled: Wall time of the end of the last order, by machine.
    """

    __slots__ = ("waves", "orders", "settled")

    def __init__(self):
        self.waves = {}
        self.orders = {}
        self.settled = {}

    def record_settled(self, machine, now_ms):
        """Notes the end of an order, and forgets old ends."""
        self.settled[machine] = now_ms
        self.settled = {
            name: end_ms
            for name, end_ms in self.settled.items()
            if now_ms - end_ms <= SETTLED_RETENTION_MS
        }

    def count_down(self, wave):
        """Returns how many machines of a wave may be down for upkeep."""
        return sum(
            order.purpose == UPKEEP and order.target == str(wave.number)
            for order in self.orders.values()
        )

    def to_document(self):
        """Returns plain data."""
        return {
            "waves": [wave.to_document() for wave in self.waves.values()],
            "orders": {
                machine: order.to_document()
                for machine, order in self.orders.items()
            },
            "settled": dict(self.settled),
        }


def upkeep_state_from_document(document):
    """Reads what ``UpkeepState.to_document`` returned."""
    state = UpkeepState()
    for values in document["waves"]:
        state.waves[values["number"]] = Wave(**values)
    for machine, values in document["orders"].items():
        state.orders[machine] = MachineOrder(**values)
    # Snapshots of earlier versions do not hold it.
    state.settled = dict(document.get("settled", {}))
    return state


@OPERATIONS.register(OpenWave)
def open_wave(state, operation, now_ms):
    """Adds a wave unless its number is known."""
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
    over = [number for number, wave in waves.items() if not wave.left]
    for number in over[: max(0, len(waves) - MAX_WAVES)]:
        del waves[number]


@OPERATIONS.register(OrderMachine)
def order_machine(state, operation, now_ms):
    """Notes an order before the platform is called."""
    state.upkeep.orders[operation.machine] = MachineOrder(
        operation.purpose, operation.target, now_ms
    )


@OPERATIONS.register(ConfirmMachine)
def confirm_machine(state, operation, now_ms):
    """Notes that an order is being carried out."""
    order = state.upkeep.orders.get(operation.machine)
    if order is not None:
        order.begun = True
        if order.purpose == UPKEEP:
            remove_from_wave(state, order.target, operation.machine)


@OPERATIONS.register(SettleMachine)
def settle_machine(state, operation, now_ms):
    """Notes that an order is over."""
    order = state.upkeep.orders.pop(operation.machine, None)
    state.upkeep.record_settled(operation.machine, now_ms)
    if operation.gone and order is not None and order.purpose == UPKEEP:
        remove_from_wave(state, order.target, operation.machine)


def remove_from_wave(state, target, machine):
    """Removes a machine from what is left of a wave."""
    wave = state.upkeep.waves.get(int(target))
    if wave is not None and machine in wave.left:
        wave.left.remove(machine)

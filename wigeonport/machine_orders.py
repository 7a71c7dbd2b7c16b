"""Orders for machines, and the platform's reports on machines."""

from wigeonport.records import Record

EXECUTED = "executed"
BUSY = "busy"
REFUSED = "refused"
UNKNOWN_MACHINE = "unknown-machine"
NO_ANSWER = "no-answer"

UP = "up"
MOVING = "moving"
UPKEEP_STATE = "upkeep"
DOWN = "down"
MACHINE_STATES = (UP, MOVING, UPKEEP_STATE, DOWN)


class MachineRow(Record):
    """A machine as the platform lists it.

    Attributes:
        machine: Name of the machine.
        pool: Service whose pool the machine is in, or "" if its entry was
            malformed.
        state: ``up``, ``moving``, ``upkeep`` or ``down``, or "" if its entry
            was malformed. Such a machine exists but gets no order.
        availability_zone: Zone of the machine.
        rack: Rack of the machine, or "".
        worker_id: Id of the worker that runs on it, or "".
    """

    __slots__ = (
        "machine",
        "pool",
        "state",
        "availability_zone",
        "rack",
        "worker_id",
    )

    def __init__(
        self, machine, pool, state, availability_zone, rack, worker_id
    ):
        self.machine = machine
        self.pool = pool
        self.state = state
        self.availability_zone = availability_zone
        self.rack = rack
        self.worker_id = worker_id


class PlannedOrder(Record):
    """An order that is sent to the platform once it is committed.

    Attributes:
        machine: Name of the machine.
        purpose: ``upkeep`` or ``move``.
        target: Number of the wave for ``upkeep``, name of the pool for
            ``move``.
        holder: Node that holds the lease under which the order is given.
        fence: Fencing token: the term of the leader.
        valid_until_ms: Monotonic time at which the lease of the leader ends,
            and until which the order may be sent; 0 before it is committed.
    """

    __slots__ = (
        "machine",
        "purpose",
        "target",
        "holder",
        "fence",
        "valid_until_ms",
    )

    def __init__(self, machine, purpose, target, holder, fence):
        self.machine = machine
        self.purpose = purpose
        self.target = target
        self.holder = holder
        self.fence = fence
        self.valid_until_ms = 0


class MachineListed:
    """Message: the platform has returned its list of machines.

    Attributes:
        rows: Maps the name of a machine to its MachineRow.
        asked_ms: Monotonic time at which the list was requested.
    """

    __slots__ = ("rows", "asked_ms")

    def __init__(self, rows, asked_ms):
        self.rows = rows
        self.asked_ms = asked_ms


class MachineAnswered:
    """Message: the platform has answered a PlannedOrder.

    Attributes:
        order: PlannedOrder.
        result: EXECUTED, BUSY, REFUSED, UNKNOWN_MACHINE or NO_ANSWER.
    """

    __slots__ = ("order", "result")

    def __init__(self, order, result):
        self.order = order
        self.result = result

    @property
    def term(self):
        """Term of the leader that gave the order."""
        return self.order.fence

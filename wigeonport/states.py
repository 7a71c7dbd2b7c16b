"""The replicated state machine: applies the entries of the log in order."""

from expression import Error, Ok, Result

# The modules of the parts register their handlers when they are imported.
from wigeonport import maintenance_handlers
from wigeonport.batch_states import BatchState, batch_state_from_document
from wigeonport.claim_states import ClaimState, claim_state_from_document
from wigeonport.findings import Findings
from wigeonport.fleet_states import FleetState, fleet_state_from_document
from wigeonport.maintenance_states import (
    MaintenanceState,
    maintenance_state_from_document,
)
from wigeonport.pool_states import PoolState, pool_state_from_document
from wigeonport.registries import Registry
from wigeonport.route_tables import RouteState, route_state_from_document
from wigeonport.state_answers import CommandRefused
from wigeonport.state_commands import HANDLERS
from wigeonport.upkeep_states import UpkeepState, upkeep_state_from_document

FORMAT = 1
PARTS = Registry("state part")
PARTS.register("fleet")((FleetState, fleet_state_from_document))
PARTS.register("pools")((PoolState, pool_state_from_document))
PARTS.register("claims")((ClaimState, claim_state_from_document))
PARTS.register("maintenance")(
    (MaintenanceState, maintenance_state_from_document)
)
PARTS.register("batch")((BatchState, batch_state_from_document))
PARTS.register("routes")((RouteState, route_state_from_document))
PARTS.register("upkeep")((UpkeepState, upkeep_state_from_document))
# Parts that snapshots of earlier versions lack; they start empty.
OPTIONAL_PARTS = ("batch", "routes", "upkeep")


class Entry:
    """A committed entry as the state machine sees it.

    Attributes:
        index: Position in the log.
        time_ms: Wall time at which the leader proposed the entry.
        command: A command, or None for an entry without effect.
    """

    __slots__ = ("index", "time_ms", "command")

    def __init__(self, index, time_ms, command):
        self.index = index
        self.time_ms = time_ms
        self.command = command


class ReplicatedState:
    """State that is equal on all nodes that applied the same entries.

    Attributes:
        applied_index: Index of the last applied entry.
        now_ms: Latest time of any entry; it never goes back, although the
            clock of a new leader may be behind.
        fleet: FleetState.
        pools: PoolState.
        claims: ClaimState.
        maintenance: MaintenanceState.
        batch: BatchState.
        routes: RouteState.
        upkeep: UpkeepState.
    """

    __slots__ = (
        "applied_index",
        "now_ms",
        "fleet",
        "pools",
        "claims",
        "maintenance",
        "batch",
        "routes",
        "upkeep",
    )

    def __init__(self):
        self.applied_index = 0
        self.now_ms = 0
        for name, (part, _) in PARTS.entries.items():
            setattr(self, name, part())

    def apply(self, entry):
        """Applies an entry; returns the answer to its command.

        Args:
            entry: Has ``index``, ``time_ms`` and ``command``. An entry that
                was applied before is refused and has no effect.
        """
        if entry.index <= self.applied_index:
            return CommandRefused(f"entry {entry.index} was applied before")
        self.applied_index = entry.index
        self.now_ms = max(self.now_ms, entry.time_ms)
        if entry.command is None:
            return None
        handler = HANDLERS.entries.get(type(entry.command))
        if handler is None:
            name = type(entry.command).__name__
            return CommandRefused(f"no handler for {name}")
        self.maintenance.expire(self.now_ms)
        return handler(self, entry.command, self.now_ms)

    def to_document(self):
        """Returns plain data for a snapshot."""
        document = {
            "format": FORMAT,
            "applied_index": self.applied_index,
            "now_ms": self.now_ms,
        }
        for name in PARTS.names():
            document[name] = getattr(self, name).to_document()
        return document


def state_from_document(document) -> Result:
    """Returns the ReplicatedState of a snapshot, or Findings."""
    findings = Findings()
    if not isinstance(document, dict) or document.get("format") != FORMAT:
        findings.add("snapshot", f"is not of format {FORMAT}")
        return Error(findings)
    state = ReplicatedState()
    try:
        state.applied_index = int(document["applied_index"])
        state.now_ms = int(document["now_ms"])
        for name, (_, read) in PARTS.entries.items():
            if name in document or name not in OPTIONAL_PARTS:
                setattr(state, name, read(document[name]))
    except (AttributeError, KeyError, TypeError, ValueError) as fault:
        findings.add("snapshot", f"{type(fault).__name__}: {fault}")
        return Error(findings)
    return Ok(state)


__all__ = [
    "Entry",
    "ReplicatedState",
    "maintenance_handlers",
    "state_from_document",
]

"""The replicated state machine: applies the entries of the log in order."""

from expression import Error, Ok, Result

# Importing the module of a part registers the handlers of its commands.
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
# Snapshots of earlier releases lack these parts; they start empty.
OPTIONAL_PARTS = ("batch", "routes", "upkeep")


class Entry:
    """A committed log entry that the state machine applies.

    Attributes:
        index: Position in the log.
        time_ms: Wall time at which the leader appended the entry.
        command: A command, or None; such an entry only advances index and
            time.
    """

    __slots__ = ("index", "time_ms", "command")

    def __init__(self, index, time_ms, command):
        self.index = index
        self.time_ms = time_ms
        self.command = command


class ReplicatedState:
    """State that is identical on all nodes that applied the same entries.

    Attributes:
        applied_index: Index of the last applied entry.
        now_ms: Latest time of any applied entry. It never goes back, although
            the clock of a new leader may be behind.
        fleet: FleetState with the fleet versions and answers to patches.
        pools: PoolState with the pool that each VM is in.
        claims: ClaimState with the claims of idempotency keys.
        maintenance: MaintenanceState with grants, holds and pauses.
        batch: BatchState with the batch jobs.
        routes: RouteState with the route table.
        upkeep: UpkeepState with the upkeep waves and machine orders.
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
        """Applies an entry and returns the answer to its command.

        Args:
            entry: Entry. One that was applied before is refused and has no
                effect.
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
        """Returns the state as plain data for a snapshot."""
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
        for name, (_, decode) in PARTS.entries.items():
            if name in document or name not in OPTIONAL_PARTS:
                setattr(state, name, decode(document[name]))
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        findings.add("snapshot", f"{type(error).__name__}: {error}")
        return Error(findings)
    return Ok(state)


__all__ = [
    "Entry",
    "ReplicatedState",
    "maintenance_handlers",
    "state_from_document",
]

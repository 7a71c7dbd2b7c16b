"""Queries that the task that owns the replicated state evaluates."""

from wigeonport.budgets import remaining_budget, required_available
from wigeonport.fleet_states import parse_json
from wigeonport.patches import patch_from_document
from wigeonport.previews import preview
from wigeonport.records import Record

MS_PER_HOUR = 3_600_000


class FleetQuery(Record):
    """Reads the fleet of the version in force."""

    __slots__ = ()

    def read(self, state):
        """Returns the document of the fleet."""
        return state.fleet.fleet.to_document()


class VersionQuery(Record):
    """Reads the number of the version in force."""

    __slots__ = ()

    def read(self, state):
        """Returns the version number and the last applied log index."""
        return {
            "version": state.fleet.fleet.version,
            "applied_index": state.applied_index,
        }


class HistoryQuery(Record):
    """Reads the newest versions of the history.

    Attributes:
        limit: Maximum number of versions.
        version: Number of the one version to return, with its changes; None
            for the newest versions.
    """

    __slots__ = ("limit", "version")

    def __init__(self, limit, version=None):
        self.limit = limit
        self.version = version

    def read(self, state):
        """Returns the versions as plain data, newest first."""
        history = state.fleet.history
        if self.version is not None:
            matching = [r for r in history if r.version == self.version]
            versions = [record.to_document() for record in matching]
        else:
            newest = list(history)[-self.limit :]
            versions = [record.summary() for record in reversed(newest)]
        return {
            "version": state.fleet.fleet.version,
            "oldest": history[0].version if history else 0,
            "versions": versions,
        }


class PreviewQuery(Record):
    """Applies a patch to a copy of the version in force for a preview.

    Attributes:
        document_json: Document of the patch, as JSON text.
    """

    __slots__ = ("document_json",)

    def __init__(self, document_json):
        self.document_json = document_json

    def read(self, state):
        """Returns the preview, or the findings against the patch."""
        fleet = state.fleet.fleet
        parsed = parse_json(self.document_json)
        if parsed.is_error():
            return _refusal_document("invalid", fleet, [parsed.error])
        decoded = patch_from_document(parsed.ok)
        if decoded.is_error():
            return _refusal_document("invalid", fleet, decoded.error.lines())
        patch = decoded.ok
        if patch.against_version != fleet.version:
            stated = patch.against_version
            text = f"written against version {stated}, not {fleet.version}"
            return _refusal_document("stale", fleet, [text])
        result = preview(fleet, patch, state.fleet.fleet_at_version)
        if result.is_error():
            return _refusal_document("invalid", fleet, result.error.lines())
        document = {"outcome": "preview", **result.ok.to_document()}
        return document | {"lines": result.ok.lines()}


def _refusal_document(why, fleet, findings):
    return {
        "outcome": "refused",
        "why": why,
        "version": fleet.version,
        "findings": findings,
    }


class MaintenanceQuery(Record):
    """Reads grants, pauses, pending moves and budgets."""

    __slots__ = ()

    def read(self, state):
        """Returns plain data; times are wall times in ms."""
        fleet, maintenance = state.fleet.fleet, state.maintenance
        document = maintenance.to_document()
        del document["ended"]
        document["now_ms"] = state.now_ms
        document["moves"] = [
            {"worker": worker, "source": source, "target": target}
            for worker, source, target in state.pools.pending(fleet)
        ]
        document["pools"] = [
            pool_document(state, pool) for pool in sorted(fleet.pools)
        ]
        document["due"] = list_maintenance_due(state)
        return document


def pool_document(state, pool):
    """Returns members, required VMs and remaining budget of a pool.

    VMs that only the planner knows to be unavailable count as available.
    """
    fleet = state.fleet.fleet
    members = state.pools.members(pool)
    unavailable = state.maintenance.unavailable()
    return {
        "pool": pool,
        "members": len(members),
        "unavailable": len(unavailable & set(members)),
        "required": required_available(fleet, pool),
        "spare": remaining_budget(fleet, pool, members, unavailable),
    }


def list_maintenance_due(state):
    """Returns the ids of the VMs whose maintenance is due.

    The maintenance period counts from the last maintenance of a VM, or from
    its joining the fleet.
    """
    fleet = state.fleet.fleet
    period_ms = fleet.maintenance_period_hours * MS_PER_HOUR
    counted_from_ms = state.maintenance.joined | state.maintenance.maintained
    return [
        id
        for id in sorted(fleet.workers)
        if state.now_ms - counted_from_ms.get(id, 0) > period_ms
    ]

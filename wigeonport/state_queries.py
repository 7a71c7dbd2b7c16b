"""Queries that the owner of the replicated state evaluates."""

from wigeonport.budgets import remaining_budget, required_available
from wigeonport.fleet_states import parse_json
from wigeonport.patches import patch_from_document
from wigeonport.previews import preview
from wigeonport.records import Record

MS_PER_HOUR = 3_600_000


class FleetQuery(Record):
    """Reads the version in force."""

    __slots__ = ()

    def read(self, state):
        """Returns the fleet document."""
        return state.fleet.fleet.to_document()


class VersionQuery(Record):
    """Reads the number of the version in force."""

    __slots__ = ()

    def read(self, state):
        """Returns version and applied index."""
        return {
            "version": state.fleet.fleet.version,
            "applied_index": state.applied_index,
        }


class HistoryQuery(Record):
    """Reads the newest versions of the history.

    Attributes:
        limit: Largest number of versions.
        version: One version to show with its changes, or None.
    """

    __slots__ = ("limit", "version")

    def __init__(self, limit, version=None):
        self.limit = limit
        self.version = version

    def read(self, state):
        """Returns versions, newest first."""
        history = state.fleet.history
        if self.version is not None:
            chosen = [r for r in history if r.version == self.version]
            versions = [record.to_document() for record in chosen]
        else:
            newest = list(history)[-self.limit :]
            versions = [record.summary() for record in reversed(newest)]
        return {
            "version": state.fleet.fleet.version,
            "oldest": history[0].version if history else 0,
            "versions": versions,
        }


class PreviewQuery(Record):
    """Runs a patch on the version in force without submitting it.

    Attributes:
        document_json: Document form of the patch as JSON text.
    """

    __slots__ = ("document_json",)

    def __init__(self, document_json):
        self.document_json = document_json

    def read(self, state):
        """Returns the preview, or the findings against the patch."""
        fleet = state.fleet.fleet
        parsed = parse_json(self.document_json)
        if parsed.is_error():
            return _refused("invalid", fleet, [parsed.error])
        read = patch_from_document(parsed.ok)
        if read.is_error():
            return _refused("invalid", fleet, read.error.lines())
        patch = read.ok
        if patch.against_version != fleet.version:
            stated = patch.against_version
            text = f"written against version {stated}, not {fleet.version}"
            return _refused("stale", fleet, [text])
        result = preview(fleet, patch, state.fleet.fleet_at_version)
        if result.is_error():
            return _refused("invalid", fleet, result.error.lines())
        document = {"outcome": "preview", **result.ok.to_document()}
        return document | {"lines": result.ok.lines()}


def _refused(why, fleet, findings):
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
    """Returns members, need and budget of a pool.

    VMs that only the planner knows to be unavailable are not counted here.
    """
    fleet = state.fleet.fleet
    members = state.pools.members(pool)
    away = state.maintenance.unavailable()
    return {
        "pool": pool,
        "members": len(members),
        "unavailable": len(away & set(members)),
        "required": required_available(fleet, pool),
        "spare": remaining_budget(fleet, pool, members, away),
    }


def list_maintenance_due(state):
    """Returns the VMs that were not maintained within the period."""
    fleet = state.fleet.fleet
    period_ms = fleet.maintenance_period_hours * MS_PER_HOUR
    since = state.maintenance.joined | state.maintenance.maintained
    return [
        id
        for id in sorted(fleet.workers)
        if state.now_ms - since.get(id, 0) > period_ms
    ]

"""Replicated part: maintenance grants, leases limited by the budgets."""

from wigeonport.budgets import remaining_budget
from wigeonport.records import Record
from wigeonport.registries import Registry

PURPOSES = Registry("grant purpose")
ALL_POOLS = "all"
MAX_LEASE_MS = 6 * 3_600_000
MAX_HOLD_MS = 24 * 3_600_000
# The id of an ended grant is kept for longer than a request for it may be
# resent.
ENDED_GRANT_RETENTION_MS = 24 * 3_600_000


class Grant(Record):
    """A lease that permits draining VMs.

    Attributes:
        id: Grant id.
        workers: Ids of the VMs that still belong to the lease.
        purpose: Name in ``PURPOSES``.
        author: Who requested the grant.
        reason: Why the VMs are drained.
        granted_ms: Wall time of the grant.
        expires_ms: Wall time at which the lease expires.
        drained: Ids of the VMs whose drain is confirmed.
    """

    __slots__ = (
        "id",
        "workers",
        "purpose",
        "author",
        "reason",
        "granted_ms",
        "expires_ms",
        "drained",
    )

    def __init__(
        self,
        id,
        workers,
        purpose,
        author,
        reason,
        granted_ms,
        expires_ms,
        drained,
    ):
        self.id = id
        self.workers = workers
        self.purpose = purpose
        self.author = author
        self.reason = reason
        self.granted_ms = granted_ms
        self.expires_ms = expires_ms
        self.drained = drained


class Pause(Record):
    """A pause of maintenance in one pool or in all pools.

    Attributes:
        author: Who paused maintenance.
        reason: Reason for the pause.
        time_ms: Wall time at which the pause began.
    """

    __slots__ = ("author", "reason", "time_ms")

    def __init__(self, author, reason, time_ms):
        self.author = author
        self.reason = reason
        self.time_ms = time_ms


class MaintenanceState:
    """Grants, missing VMs, hold times and pauses.

    Attributes:
        grants: Maps grant id to Grant; holds the live grants only.
        ended: Maps the id of an ended grant to the wall time of its end, in
            order.
        missing: Maps VM id to the id of its last grant, for VMs whose lease
            ended or expired before they were reported back. They count as
            unavailable.
        holds: Maps VM id to the wall time until which the VM, although it
            is back, counts as unavailable.
        pauses: Maps pool id or ``all`` to Pause.
        joined: Maps VM id to the wall time at which the VM joined the fleet.
        maintained: Maps VM id to the wall time at which the last maintenance
            of the VM was finished.
    """

    __slots__ = (
        "grants",
        "ended",
        "missing",
        "holds",
        "pauses",
        "joined",
        "maintained",
    )

    def __init__(self):
        self.grants = {}
        self.ended = {}
        self.missing = {}
        self.holds = {}
        self.pauses = {}
        self.joined = {}
        self.maintained = {}

    def expire(self, now_ms):
        """Ends expired leases and holds, drops the ids of old ended grants."""
        for grant in list(self.grants.values()):
            if grant.expires_ms <= now_ms:
                self.end(grant.id, [], 0, now_ms)
        for worker in [w for w, ms in self.holds.items() if ms <= now_ms]:
            del self.holds[worker]
        while self.ended:
            id, time_ms = next(iter(self.ended.items()))
            if time_ms > now_ms - ENDED_GRANT_RETENTION_MS:
                break
            del self.ended[id]

    def unavailable(self):
        """Returns the VMs that are granted, missing or held."""
        granted = {w for g in self.grants.values() for w in g.workers}
        return granted | self.missing.keys() | self.holds.keys()

    def find_grant(self, worker):
        """Returns the live grant that includes a VM, or None."""
        for grant in self.grants.values():
            if worker in grant.workers:
                return grant
        return None

    def end(self, id, healthy, hold_ms, now_ms):
        """Ends a lease; returns the VMs that are not in ``healthy``."""
        grant = self.grants.pop(id)
        self.ended[id] = now_ms
        missing = []
        for worker in grant.workers:
            if worker in healthy:
                self.hold(worker, now_ms + hold_ms)
                if grant.purpose == "maintenance" and worker in grant.drained:
                    self.maintained[worker] = now_ms
            else:
                self.missing[worker] = id
                missing.append(worker)
        return missing

    def hold(self, worker, until_ms):
        """Counts a VM that is back as unavailable until a wall time.

        A hold that ends later stays.
        """
        self.missing.pop(worker, None)
        self.holds[worker] = max(until_ms, self.holds.get(worker, 0))

    def remove_from_grant(self, id, worker, now_ms):
        """Removes a moved VM from its lease; a lease without VMs ends."""
        grant = self.grants[id]
        grant.workers.remove(worker)
        grant.drained.remove(worker)
        if not grant.workers:
            del self.grants[id]
            self.ended[id] = now_ms

    def remove_worker(self, worker):
        """Drops the records of a VM that left the fleet."""
        tables = (self.missing, self.holds, self.joined, self.maintained)
        for table in tables:
            table.pop(worker, None)

    def find_pause(self, pools):
        """Returns scope and Pause of the first pause that applies, or None."""
        for scope in (ALL_POOLS, *sorted(pools)):
            if scope in self.pauses:
                return scope, self.pauses[scope]
        return None

    def to_document(self):
        """Returns the state as plain data."""
        return {
            "grants": [g.to_document() for g in self.grants.values()],
            "ended": [list(item) for item in self.ended.items()],
            "missing": dict(self.missing),
            "holds": dict(self.holds),
            "pauses": {k: p.to_document() for k, p in self.pauses.items()},
            "joined": dict(self.joined),
            "maintained": dict(self.maintained),
        }


def maintenance_state_from_document(document):
    """Returns the MaintenanceState of a snapshot."""
    state = MaintenanceState()
    for item in document["grants"]:
        lists = {key: list(item[key]) for key in ("workers", "drained")}
        state.grants[item["id"]] = Grant(**(item | lists))
    state.ended = {id: time_ms for id, time_ms in document["ended"]}
    state.missing = dict(document["missing"])
    state.holds = dict(document["holds"])
    state.pauses = {k: Pause(**p) for k, p in document["pauses"].items()}
    state.joined = dict(document["joined"])
    state.maintained = dict(document["maintained"])
    return state


def grant_findings(state, command, now_ms):
    """Returns all reasons to refuse a grant; an empty list grants it."""
    findings = _request_findings(state, command)
    check = PURPOSES.entries.get(command.purpose)
    if check is None:
        findings.append(PURPOSES.get(command.purpose).error)
    if findings:
        return findings
    findings = check(state, command, now_ms)
    return findings + _budget_findings(state, command)


def _request_findings(state, command):
    findings = []
    if not command.workers or len(set(command.workers)) < len(command.workers):
        findings.append("name every VM once, and at least one")
    if not 0 < command.lease_ms <= MAX_LEASE_MS:
        findings.append(f"a lease takes 1 to {MAX_LEASE_MS} ms")
    for worker in command.workers:
        if worker not in state.pools.pools:
            findings.append(f"VM {worker!r} does not exist")
        grant = state.maintenance.find_grant(worker)
        if grant is not None:
            findings.append(f"VM {worker!r} is in grant {grant.id!r}")
    return findings


def _budget_findings(state, command):
    """Returns a finding for each pool whose budget the grant would exceed.

    A requested VM that is granted, missing or held already uses no further
    budget. A VM that only the sender reports as unavailable may still run
    work: it is granted only if its pool is within the budget without it.
    """
    findings = []
    pools = state.pools.pools
    already_unavailable = state.maintenance.unavailable()
    unavailable = already_unavailable | set(command.unavailable)
    newly_unavailable = [
        w for w in command.workers if w not in already_unavailable
    ]
    for pool in sorted({pools[w] for w in newly_unavailable}):
        members = state.pools.members(pool)
        remaining = remaining_budget(
            state.fleet.fleet, pool, members, unavailable
        )
        known_available = [
            w for w in newly_unavailable if w not in unavailable
        ]
        count = sum(pools[w] == pool for w in known_available)
        if count > remaining:
            findings.append(
                f"pool {pool!r} can spare {max(remaining, 0)} more VMs, "
                f"{count} were requested"
            )
    return findings


@PURPOSES.register("maintenance")
def check_maintenance(state, command, now_ms):
    """Requires an open maintenance window and no pause."""
    findings = []
    fleet = state.fleet.fleet
    pools = {state.pools.pools[worker] for worker in command.workers}
    pause = state.maintenance.find_pause(pools)
    if pause is not None:
        scope, record = pause
        findings.append(
            f"maintenance of {scope!r} is paused by {record.author}: "
            f"{record.reason}"
        )
    for worker in command.workers:
        record = fleet.workers.get(worker)
        windows = fleet.windows_of(record.zone) if record else []
        if windows and not any(w.contains(now_ms) for w in windows):
            findings.append(f"no window of VM {worker!r} is open")
    return findings


@PURPOSES.register("move")
def check_move(state, command, now_ms):
    """Requires that the version assigns each VM to another pool."""
    pending = {item[0] for item in state.pools.pending(state.fleet.fleet)}
    return [
        f"VM {worker!r} is where the version says"
        for worker in command.workers
        if worker not in pending
    ]


@PURPOSES.register("drain")
def check_drain(state, command, now_ms):
    """Requires nothing: drains are allowed outside windows and in pauses."""
    return []

"""Replicated part: maintenance grants as leases against the budgets."""

from wigeonport.budgets import remaining_budget
from wigeonport.records import Record
from wigeonport.registries import Registry

PURPOSES = Registry("grant purpose")
ALL_POOLS = "all"
MAX_LEASE_MS = 6 * 3_600_000
MAX_HOLD_MS = 24 * 3_600_000
# Longer than any resend of a request for a grant.
ENDED_GRANT_RETENTION_MS = 24 * 3_600_000


class Grant(Record):
    """A lease that permits to take VMs away.

    Attributes:
        id: Grant id.
        workers: Ids of the VMs that still belong to the lease.
        purpose: Name in ``PURPOSES``.
        author: Who asked.
        reason: Why.
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
    """A pause of maintenance.

    Attributes:
        author: Who paused.
        reason: Why.
        time_ms: Wall time.
    """

    __slots__ = ("author", "reason", "time_ms")

    def __init__(self, author, reason, time_ms):
        self.author = author
        self.reason = reason
        self.time_ms = time_ms


class MaintenanceState:
    """Grants, VMs that are not back, hold times and pauses.

    Attributes:
        grants: Live Grant by id.
        ended: Wall time of the end by grant id, in order.
        missing: Grant id by VM whose lease ended or expired before the VM
            was reported back; it counts as unavailable.
        holds: Wall time until which a VM that is back counts as
            unavailable.
        pauses: Pause by pool id or ``all``.
        joined: Wall time by VM at which it joined the fleet.
        maintained: Wall time by VM at which its last maintenance was
            finished.
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
        """Ends leases, holds and memories whose time has come."""
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
        """Returns the VMs that leases, holds and missing VMs take away."""
        granted = {w for g in self.grants.values() for w in g.workers}
        return granted | self.missing.keys() | self.holds.keys()

    def find_grant(self, worker):
        """Returns the live grant that covers a VM, or None."""
        for grant in self.grants.values():
            if worker in grant.workers:
                return grant
        return None

    def end(self, id, healthy, hold_ms, now_ms):
        """Ends a lease; returns the VMs that are not back."""
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
        """Counts a VM that is back as unavailable for some time more."""
        self.missing.pop(worker, None)
        self.holds[worker] = max(until_ms, self.holds.get(worker, 0))

    def remove_from_grant(self, id, worker, now_ms):
        """Takes a moved VM out of its lease; an empty lease ends."""
        grant = self.grants[id]
        grant.workers.remove(worker)
        grant.drained.remove(worker)
        if not grant.workers:
            del self.grants[id]
            self.ended[id] = now_ms

    def remove_worker(self, worker):
        """Drops what is remembered about a VM that left the fleet."""
        tables = (self.missing, self.holds, self.joined, self.maintained)
        for table in tables:
            table.pop(worker, None)

    def find_pause(self, pools):
        """Returns scope and Pause of the first pause that applies."""
        for scope in (ALL_POOLS, *sorted(pools)):
            if scope in self.pauses:
                return scope, self.pauses[scope]
        return None

    def to_document(self):
        """Returns plain data."""
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
    """Returns all reasons against a grant; none means that it is given."""
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
    """Checks the pools of the VMs.

    A VM that the log has taken away costs none. One that the sender does not
    know to be available may still serve, so it is taken away only if its
    pool keeps the budget without it.
    """
    findings = []
    pools = state.pools.pools
    away = state.maintenance.unavailable()
    unavailable = away | set(command.unavailable)
    wanted = [w for w in command.workers if w not in away]
    for pool in sorted({pools[w] for w in wanted}):
        members = state.pools.members(pool)
        spare = remaining_budget(state.fleet.fleet, pool, members, unavailable)
        known = [w for w in wanted if w not in unavailable]
        count = sum(pools[w] == pool for w in known)
        if count > spare:
            findings.append(
                f"pool {pool!r} can spare {max(spare, 0)} more VMs, "
                f"{count} were requested"
            )
    return findings


@PURPOSES.register("maintenance")
def check_maintenance(state, command, now_ms):
    """Maintenance waits for its window and for the end of a pause."""
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
    """A move drains only VMs that the version assigns elsewhere."""
    pending = {item[0] for item in state.pools.pending(state.fleet.fleet)}
    return [
        f"VM {worker!r} is where the version says"
        for worker in command.workers
        if worker not in pending
    ]


@PURPOSES.register("drain")
def check_drain(state, command, now_ms):
    """An operator may drain outside windows and during a pause."""
    return []

"""Answers of the state machine about grants, drains and moves of VMs."""

from wigeonport.codecs import message_kinds
from wigeonport.records import Record


@message_kinds.register("GrantGiven")
class GrantGiven(Record):
    """The VMs may be drained until the lease expires.

    Attributes:
        grant: Grant id.
        workers: VM ids.
        expires_ms: Wall time at which the lease expires.
    """

    __slots__ = ("grant", "workers", "expires_ms")

    def __init__(self, grant, workers, expires_ms):
        self.grant = grant
        self.workers = workers
        self.expires_ms = expires_ms


@message_kinds.register("GrantRefused")
class GrantRefused(Record):
    """The command on a grant was refused and changed nothing.

    Attributes:
        grant: Grant id.
        findings: Texts of all reasons.
    """

    __slots__ = ("grant", "findings")

    def __init__(self, grant, findings):
        self.grant = grant
        self.findings = findings


@message_kinds.register("GrantEnded")
class GrantEnded(Record):
    """The lease was ended.

    Attributes:
        grant: Grant id.
        missing: VMs that are not back and count as unavailable.
    """

    __slots__ = ("grant", "missing")

    def __init__(self, grant, missing):
        self.grant = grant
        self.missing = missing


@message_kinds.register("DrainConfirmed")
class DrainConfirmed(Record):
    """The VM is recorded as drained.

    Attributes:
        grant: Grant id.
        worker: VM id.
    """

    __slots__ = ("grant", "worker")

    def __init__(self, grant, worker):
        self.grant = grant
        self.worker = worker


@message_kinds.register("WorkerReturned")
class WorkerReturned(Record):
    """The VM is back and counts as available after its hold.

    Attributes:
        worker: VM id.
        hold_until_ms: Wall time at which the hold ends.
    """

    __slots__ = ("worker", "hold_until_ms")

    def __init__(self, worker, hold_until_ms):
        self.worker = worker
        self.hold_until_ms = hold_until_ms


@message_kinds.register("MoveFinished")
class MoveFinished(Record):
    """The VM was moved to its new pool or removed.

    Attributes:
        worker: VM id.
        source: Pool that the VM left.
        target: Pool that the VM joined, or None if it was removed.
    """

    __slots__ = ("worker", "source", "target")

    def __init__(self, worker, source, target):
        self.worker = worker
        self.source = source
        self.target = target


@message_kinds.register("MoveRefused")
class MoveRefused(Record):
    """The move was refused; the VM stays in its pool.

    Attributes:
        worker: VM id.
        findings: Texts of all reasons.
    """

    __slots__ = ("worker", "findings")

    def __init__(self, worker, findings):
        self.worker = worker
        self.findings = findings


@message_kinds.register("MaintenanceChanged")
class MaintenanceChanged(Record):
    """Maintenance was paused or resumed.

    Attributes:
        scope: Pool id, or ``all``.
        paused: Whether the scope is paused now.
    """

    __slots__ = ("scope", "paused")

    def __init__(self, scope, paused):
        self.scope = scope
        self.paused = paused

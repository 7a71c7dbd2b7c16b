"""Commands that the replicated state machine applies."""

from wigeonport.codecs import message_kinds
from wigeonport.records import Record
from wigeonport.registries import Registry

HANDLERS = Registry("command handler")


@message_kinds.register("SubmitPatch")
class SubmitPatch(Record):
    """Submits a patch that names the fleet version it was written against.

    Attributes:
        document_json: Document of the patch, as JSON text.
    """

    __slots__ = ("document_json",)

    def __init__(self, document_json):
        self.document_json = document_json


@message_kinds.register("ClaimKey")
class ClaimKey(Record):
    """Claims an idempotency key for one attempt of a request.

    Attributes:
        key: Idempotency key.
        digest: Digest of the request's method, path and body.
        attempt: Attempt id, unique for each attempt.
    """

    __slots__ = ("key", "digest", "attempt")

    def __init__(self, key, digest, attempt):
        self.key = key
        self.digest = digest
        self.attempt = attempt


@message_kinds.register("CompleteClaim")
class CompleteClaim(Record):
    """Stores the response of a claimed request.

    Attributes:
        key: Idempotency key.
        attempt: Attempt that holds the claim.
        response: Encoded response; only the entries interpret it.
    """

    __slots__ = ("key", "attempt", "response")

    def __init__(self, key, attempt, response):
        self.key = key
        self.attempt = attempt
        self.response = response


@message_kinds.register("ReleaseClaim")
class ReleaseClaim(Record):
    """Releases an attempt that was not and will not be dispatched.

    Attributes:
        key: Idempotency key.
        attempt: Attempt to release.
    """

    __slots__ = ("key", "attempt")

    def __init__(self, key, attempt):
        self.key = key
        self.attempt = attempt


@message_kinds.register("RequestGrant")
class RequestGrant(Record):
    """Requests a lease on VMs that are to be drained.

    Attributes:
        grant: Grant id; a resend of the request carries the same id.
        workers: VM ids.
        purpose: Name in ``PURPOSES``.
        author: Who requests the lease.
        reason: Why the VMs are to be drained.
        lease_ms: Length of the lease.
        unavailable: VMs that the sender knows or assumes to be
            unavailable.
    """

    __slots__ = (
        "grant",
        "workers",
        "purpose",
        "author",
        "reason",
        "lease_ms",
        "unavailable",
    )

    def __init__(
        self, grant, workers, purpose, author, reason, lease_ms, unavailable
    ):
        self.grant = grant
        self.workers = workers
        self.purpose = purpose
        self.author = author
        self.reason = reason
        self.lease_ms = lease_ms
        self.unavailable = unavailable


@message_kinds.register("RenewGrant")
class RenewGrant(Record):
    """Extends a live lease.

    Attributes:
        grant: Grant id.
        lease_ms: New length of the lease, counted from now.
    """

    __slots__ = ("grant", "lease_ms")

    def __init__(self, grant, lease_ms):
        self.grant = grant
        self.lease_ms = lease_ms


@message_kinds.register("ConfirmDrain")
class ConfirmDrain(Record):
    """Reports that a granted VM no longer runs any work.

    Attributes:
        grant: Grant id.
        worker: VM id.
    """

    __slots__ = ("grant", "worker")

    def __init__(self, grant, worker):
        self.grant = grant
        self.worker = worker


@message_kinds.register("EndGrant")
class EndGrant(Record):
    """Ends a lease.

    Attributes:
        grant: Grant id.
        healthy: VMs that are back in service; the others count as
            unavailable until they are reported back.
        hold_ms: How long the VMs that are back still count as
            unavailable.
    """

    __slots__ = ("grant", "healthy", "hold_ms")

    def __init__(self, grant, healthy, hold_ms):
        self.grant = grant
        self.healthy = healthy
        self.hold_ms = hold_ms


@message_kinds.register("ReturnWorker")
class ReturnWorker(Record):
    """Reports that a VM of an expired or ended lease is back in service.

    Attributes:
        worker: VM id.
        hold_ms: How long the VM still counts as unavailable.
    """

    __slots__ = ("worker", "hold_ms")

    def __init__(self, worker, hold_ms):
        self.worker = worker
        self.hold_ms = hold_ms


@message_kinds.register("FinishMove")
class FinishMove(Record):
    """Moves a drained VM to the pool that the fleet version assigns it to.

    Attributes:
        grant: Grant id.
        worker: VM id.
        source: Pool that the VM leaves.
        target: Pool that the VM joins, or None if the fleet version removed
            it.
        hold_ms: How long the VM counts as unavailable in its new pool.
    """

    __slots__ = ("grant", "worker", "source", "target", "hold_ms")

    def __init__(self, grant, worker, source, target, hold_ms):
        self.grant = grant
        self.worker = worker
        self.source = source
        self.target = target
        self.hold_ms = hold_ms


@message_kinds.register("PauseMaintenance")
class PauseMaintenance(Record):
    """Stops new maintenance grants.

    Attributes:
        scope: Pool id, or ``all``.
        author: Who pauses maintenance.
        reason: Reason for the pause.
    """

    __slots__ = ("scope", "author", "reason")

    def __init__(self, scope, author, reason):
        self.scope = scope
        self.author = author
        self.reason = reason


@message_kinds.register("ResumeMaintenance")
class ResumeMaintenance(Record):
    """Allows maintenance grants again.

    Attributes:
        scope: Pool id, or ``all``.
        author: Who resumes maintenance.
        reason: Reason for the end of the pause.
    """

    __slots__ = ("scope", "author", "reason")

    def __init__(self, scope, author, reason):
        self.scope = scope
        self.author = author
        self.reason = reason


@message_kinds.register("RecordBatch")
class RecordBatch(Record):
    """Applies operations on the batch jobs in order.

    Attributes:
        time_ms: Wall time of the leader.
        operations: Encoded operations of ``batch_commands``.
    """

    __slots__ = ("time_ms", "operations")

    def __init__(self, time_ms, operations):
        self.time_ms = time_ms
        self.operations = operations

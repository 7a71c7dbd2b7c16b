"""Commands that the replicated state machine applies."""

from wigeonport.records import Record
from wigeonport.registries import Registry

COMMANDS = Registry("state command")
HANDLERS = Registry("command handler")


@COMMANDS.register("submit_patch")
class SubmitPatch(Record):
    """Submits a patch against a stated fleet version.

    Attributes:
        document: Document form of the patch.
    """

    __slots__ = ("document",)

    def __init__(self, document):
        self.document = document


@COMMANDS.register("claim_key")
class ClaimKey(Record):
    """Claims an idempotency key for one attempt of a request.

    Attributes:
        key: Idempotency key.
        digest: Digest of method, path and body.
        attempt: Attempt id, unique for each attempt.
    """

    __slots__ = ("key", "digest", "attempt")

    def __init__(self, key, digest, attempt):
        self.key = key
        self.digest = digest
        self.attempt = attempt


@COMMANDS.register("complete_claim")
class CompleteClaim(Record):
    """Stores the response of a claimed request.

    Attributes:
        key: Idempotency key.
        attempt: Attempt that holds the claim.
        response: Encoded response; its form is up to the entries.
    """

    __slots__ = ("key", "attempt", "response")

    def __init__(self, key, attempt, response):
        self.key = key
        self.attempt = attempt
        self.response = response


@COMMANDS.register("release_claim")
class ReleaseClaim(Record):
    """Gives up an attempt that never was and never will be dispatched.

    Attributes:
        key: Idempotency key.
        attempt: Attempt to release.
    """

    __slots__ = ("key", "attempt")

    def __init__(self, key, attempt):
        self.key = key
        self.attempt = attempt


@COMMANDS.register("request_grant")
class RequestGrant(Record):
    """Asks for a lease on VMs that are to be drained.

    Attributes:
        grant: Grant id; a resend carries the same one.
        workers: VM ids.
        purpose: Name in ``PURPOSES``.
        author: Who asks.
        reason: Why.
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


@COMMANDS.register("renew_grant")
class RenewGrant(Record):
    """Extends a live lease from now on.

    Attributes:
        grant: Grant id.
        lease_ms: Length of the lease.
    """

    __slots__ = ("grant", "lease_ms")

    def __init__(self, grant, lease_ms):
        self.grant = grant
        self.lease_ms = lease_ms


@COMMANDS.register("confirm_drain")
class ConfirmDrain(Record):
    """Reports that a VM runs nothing any more.

    Attributes:
        grant: Grant id.
        worker: VM id.
    """

    __slots__ = ("grant", "worker")

    def __init__(self, grant, worker):
        self.grant = grant
        self.worker = worker


@COMMANDS.register("end_grant")
class EndGrant(Record):
    """Ends a lease.

    Attributes:
        grant: Grant id.
        healthy: VMs that are back; the others count as unavailable.
        hold_ms: How long the VMs that are back still count as
            unavailable.
    """

    __slots__ = ("grant", "healthy", "hold_ms")

    def __init__(self, grant, healthy, hold_ms):
        self.grant = grant
        self.healthy = healthy
        self.hold_ms = hold_ms


@COMMANDS.register("return_worker")
class ReturnWorker(Record):
    """Reports that a VM of an expired or ended lease is back.

    Attributes:
        worker: VM id.
        hold_ms: How long it still counts as unavailable.
    """

    __slots__ = ("worker", "hold_ms")

    def __init__(self, worker, hold_ms):
        self.worker = worker
        self.hold_ms = hold_ms


@COMMANDS.register("finish_move")
class FinishMove(Record):
    """Moves a drained VM to the pool that the version assigns.

    Attributes:
        grant: Grant id.
        worker: VM id.
        source: Pool that the VM leaves.
        target: Pool that it joins, or None if the version removed it.
        hold_ms: How long it counts as unavailable in its new pool.
    """

    __slots__ = ("grant", "worker", "source", "target", "hold_ms")

    def __init__(self, grant, worker, source, target, hold_ms):
        self.grant = grant
        self.worker = worker
        self.source = source
        self.target = target
        self.hold_ms = hold_ms


@COMMANDS.register("pause_maintenance")
class PauseMaintenance(Record):
    """Stops new maintenance grants.

    Attributes:
        scope: Pool id, or ``all``.
        author: Who pauses.
        reason: Why.
    """

    __slots__ = ("scope", "author", "reason")

    def __init__(self, scope, author, reason):
        self.scope = scope
        self.author = author
        self.reason = reason


@COMMANDS.register("resume_maintenance")
class ResumeMaintenance(Record):
    """Allows maintenance grants again.

    Attributes:
        scope: Pool id, or ``all``.
        author: Who resumes.
        reason: Why.
    """

    __slots__ = ("scope", "author", "reason")

    def __init__(self, scope, author, reason):
        self.scope = scope
        self.author = author
        self.reason = reason


@COMMANDS.register("set_member")
class SetMember(Record):
    """Adds or replaces an entry of the member list.

    Attributes:
        member: Document form of the Member.
    """

    __slots__ = ("member",)

    def __init__(self, member):
        self.member = member


@COMMANDS.register("remove_member")
class RemoveMember(Record):
    """Removes an entry of the member list.

    Attributes:
        member: Node id.
    """

    __slots__ = ("member",)

    def __init__(self, member):
        self.member = member

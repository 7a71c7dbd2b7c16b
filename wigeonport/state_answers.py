"""Answers of the replicated state machine."""

from wigeonport.records import Record
from wigeonport.registries import Registry

ANSWERS = Registry("state answer")


@ANSWERS.register("patch_accepted")
class PatchAccepted(Record):
    """The patch created a version.

    Attributes:
        patch: Patch id.
        version: The new version number.
    """

    __slots__ = ("patch", "version")

    def __init__(self, patch, version):
        self.patch = patch
        self.version = version


@ANSWERS.register("patch_refused")
class PatchRefused(Record):
    """The patch changed nothing.

    Attributes:
        patch: Patch id.
        why: ``stale``, ``invalid`` or ``conflict``.
        version: Version in force when the patch was applied.
        findings: Texts of all findings, with places.
        changes: Documents of the changes since the stated version.
        versions: Documents of the versions since the stated one.
        complete: Whether changes and versions are listed in full.
    """

    __slots__ = (
        "patch",
        "why",
        "version",
        "findings",
        "changes",
        "versions",
        "complete",
    )

    def __init__(
        self, patch, why, version, findings, changes, versions, complete
    ):
        self.patch = patch
        self.why = why
        self.version = version
        self.findings = findings
        self.changes = changes
        self.versions = versions
        self.complete = complete


@ANSWERS.register("claim_granted")
class ClaimGranted(Record):
    """The attempt holds the key and may be dispatched.

    Attributes:
        key: Idempotency key.
        attempt: Attempt id.
    """

    __slots__ = ("key", "attempt")

    def __init__(self, key, attempt):
        self.key = key
        self.attempt = attempt


@ANSWERS.register("claim_repeat")
class ClaimRepeat(Record):
    """The request was completed before.

    Attributes:
        key: Idempotency key.
        response: The stored response.
    """

    __slots__ = ("key", "response")

    def __init__(self, key, response):
        self.key = key
        self.response = response


@ANSWERS.register("claim_in_progress")
class ClaimInProgress(Record):
    """Another attempt holds the key; its outcome is unknown.

    Attributes:
        key: Idempotency key.
        claimed_ms: Wall time of that claim.
    """

    __slots__ = ("key", "claimed_ms")

    def __init__(self, key, claimed_ms):
        self.key = key
        self.claimed_ms = claimed_ms


@ANSWERS.register("claim_unknown")
class ClaimUnknown(Record):
    """The request was completed, its response is not stored.

    Attributes:
        key: Idempotency key.
    """

    __slots__ = ("key",)

    def __init__(self, key):
        self.key = key


@ANSWERS.register("claim_conflict")
class ClaimConflict(Record):
    """The key was used for another request.

    Attributes:
        key: Idempotency key.
    """

    __slots__ = ("key",)

    def __init__(self, key):
        self.key = key


@ANSWERS.register("claim_refused")
class ClaimRefused(Record):
    """The attempt does not hold the key.

    Attributes:
        key: Idempotency key.
        why: ``released``, ``full``, ``malformed``, ``not held`` or
            ``completed``.
    """

    __slots__ = ("key", "why")

    def __init__(self, key, why):
        self.key = key
        self.why = why


@ANSWERS.register("claim_completed")
class ClaimCompleted(Record):
    """The claim is completed.

    Attributes:
        key: Idempotency key.
        stored: Whether the response is stored for repeats.
    """

    __slots__ = ("key", "stored")

    def __init__(self, key, stored):
        self.key = key
        self.stored = stored


@ANSWERS.register("claim_released")
class ClaimReleased(Record):
    """The attempt does not and will not hold the key.

    Attributes:
        key: Idempotency key.
        attempt: Attempt id.
    """

    __slots__ = ("key", "attempt")

    def __init__(self, key, attempt):
        self.key = key
        self.attempt = attempt


@ANSWERS.register("grant_given")
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


@ANSWERS.register("grant_refused")
class GrantRefused(Record):
    """Nothing was granted or changed.

    Attributes:
        grant: Grant id.
        findings: Texts of all reasons.
    """

    __slots__ = ("grant", "findings")

    def __init__(self, grant, findings):
        self.grant = grant
        self.findings = findings


@ANSWERS.register("grant_ended")
class GrantEnded(Record):
    """The lease ended.

    Attributes:
        grant: Grant id.
        missing: VMs that are not back and count as unavailable.
    """

    __slots__ = ("grant", "missing")

    def __init__(self, grant, missing):
        self.grant = grant
        self.missing = missing


@ANSWERS.register("drain_confirmed")
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


@ANSWERS.register("worker_returned")
class WorkerReturned(Record):
    """The VM counts as available after the hold time.

    Attributes:
        worker: VM id.
        hold_until_ms: Wall time at which the hold ends.
    """

    __slots__ = ("worker", "hold_until_ms")

    def __init__(self, worker, hold_until_ms):
        self.worker = worker
        self.hold_until_ms = hold_until_ms


@ANSWERS.register("move_finished")
class MoveFinished(Record):
    """The VM is in its new pool.

    Attributes:
        worker: VM id.
        source: Pool it was in.
        target: Pool it is in, or None.
    """

    __slots__ = ("worker", "source", "target")

    def __init__(self, worker, source, target):
        self.worker = worker
        self.source = source
        self.target = target


@ANSWERS.register("move_refused")
class MoveRefused(Record):
    """The VM stays in its pool.

    Attributes:
        worker: VM id.
        findings: Texts of all reasons.
    """

    __slots__ = ("worker", "findings")

    def __init__(self, worker, findings):
        self.worker = worker
        self.findings = findings


@ANSWERS.register("maintenance_changed")
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


@ANSWERS.register("member_changed")
class MemberChanged(Record):
    """The member list was changed.

    Attributes:
        member: Node id.
    """

    __slots__ = ("member",)

    def __init__(self, member):
        self.member = member


@ANSWERS.register("command_refused")
class CommandRefused(Record):
    """The command was not understood or not permitted.

    Attributes:
        why: Reason.
    """

    __slots__ = ("why",)

    def __init__(self, why):
        self.why = why

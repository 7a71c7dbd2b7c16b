"""Answers about patches and claims."""

from wigeonport.codecs import message_kinds
from wigeonport.records import Record


@message_kinds.register("PatchAccepted")
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


@message_kinds.register("PatchRefused")
class PatchRefused(Record):
    """The patch changed nothing.

    Attributes:
        patch: Patch id.
        why: ``stale``, ``invalid`` or ``conflict``.
        version: Version in force when the patch was applied.
        findings: Texts of all findings, with places.
        changes_json: Documents of the changes since the stated
            version, as a JSON list.
        versions_json: Documents of the versions since the stated one,
            without their changes, as a JSON list.
        complete: Whether changes and versions are listed in full.
    """

    __slots__ = (
        "patch",
        "why",
        "version",
        "findings",
        "changes_json",
        "versions_json",
        "complete",
    )

    def __init__(
        self,
        patch,
        why,
        version,
        findings,
        changes_json,
        versions_json,
        complete,
    ):
        self.patch = patch
        self.why = why
        self.version = version
        self.findings = findings
        self.changes_json = changes_json
        self.versions_json = versions_json
        self.complete = complete


@message_kinds.register("ClaimGranted")
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


@message_kinds.register("ClaimRepeat")
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


@message_kinds.register("ClaimInProgress")
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


@message_kinds.register("ClaimUnknown")
class ClaimUnknown(Record):
    """The request was completed, its response is not stored.

    Attributes:
        key: Idempotency key.
    """

    __slots__ = ("key",)

    def __init__(self, key):
        self.key = key


@message_kinds.register("ClaimConflict")
class ClaimConflict(Record):
    """The key was used for another request.

    Attributes:
        key: Idempotency key.
    """

    __slots__ = ("key",)

    def __init__(self, key):
        self.key = key


@message_kinds.register("ClaimRefused")
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


@message_kinds.register("ClaimCompleted")
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


@message_kinds.register("ClaimReleased")
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


@message_kinds.register("CommandRefused")
class CommandRefused(Record):
    """The command was not understood or not permitted.

    Attributes:
        why: Reason.
    """

    __slots__ = ("why",)

    def __init__(self, why):
        self.why = why

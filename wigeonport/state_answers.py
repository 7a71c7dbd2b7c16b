"""Answers of the state machine to patches and claims."""

from wigeonport.codecs import message_kinds
from wigeonport.records import Record


@message_kinds.register("PatchAccepted")
class PatchAccepted(Record):
    """The patch created a new fleet version.

    Attributes:
        patch: Patch id.
        version: Number of the new version.
    """

    __slots__ = ("patch", "version")

    def __init__(self, patch, version):
        self.patch = patch
        self.version = version


@message_kinds.register("PatchRefused")
class PatchRefused(Record):
    """The patch was refused and changed nothing.

    Attributes:
        patch: Patch id.
        why: ``stale``, ``invalid`` or ``conflict``.
        version: Fleet version in force when the patch was refused.
        findings: Texts of all findings; those against an invalid patch name
            their location in it.
        changes_json: Documents of the changes since the version that the
            patch names, as a JSON list.
        versions_json: Documents of the versions since then, without their
            changes, as a JSON list.
        complete: Whether both lists are complete.
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
    """The request was completed before; its response is repeated.

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
    """Another attempt holds the key; its outcome is not known yet.

    Attributes:
        key: Idempotency key.
        claimed_ms: Wall time at which that attempt claimed the key.
    """

    __slots__ = ("key", "claimed_ms")

    def __init__(self, key, claimed_ms):
        self.key = key
        self.claimed_ms = claimed_ms


@message_kinds.register("ClaimUnknown")
class ClaimUnknown(Record):
    """The key was used, but no response to the request is stored.

    Attributes:
        key: Idempotency key.
    """

    __slots__ = ("key",)

    def __init__(self, key):
        self.key = key


@message_kinds.register("ClaimConflict")
class ClaimConflict(Record):
    """The key was used for a request with another digest.

    Attributes:
        key: Idempotency key.
    """

    __slots__ = ("key",)

    def __init__(self, key):
        self.key = key


@message_kinds.register("ClaimRefused")
class ClaimRefused(Record):
    """The command on the key was refused.

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
        stored: Whether the response is stored, to answer repeats.
    """

    __slots__ = ("key", "stored")

    def __init__(self, key, stored):
        self.key = key
        self.stored = stored


@message_kinds.register("ClaimReleased")
class ClaimReleased(Record):
    """The attempt does not hold the key and can no longer claim it.

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
    """The command was refused and changed nothing.

    Attributes:
        why: Why the command was refused.
    """

    __slots__ = ("why",)

    def __init__(self, why):
        self.why = why

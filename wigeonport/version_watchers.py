"""Version watchers: forward committed fleet versions to the publisher."""

import json

from wigeonport.channels import ask
from wigeonport.consensus_requests import EntryApplied, Read, SnapshotInstalled
from wigeonport.publishers import VersionAccepted
from wigeonport.state_answers import PatchAccepted

READ_TIMEOUT_MS = 1_500
RETRY_INTERVAL_MS = 500


def read_version(state):
    """Returns the number of the fleet version and the fleet in JSON."""
    fleet = state.fleet.fleet
    return fleet.version, json.dumps(fleet.to_document()).encode()


def may_change_version(notice):
    """Returns whether a consensus notice may contain a new fleet version."""
    if isinstance(notice, SnapshotInstalled):
        return True
    return isinstance(notice, EntryApplied) and isinstance(
        notice.answer, PatchAccepted
    )


async def watch_versions(notices, consensus, publisher):
    """Publishes the fleet version at the start and after each change.

    Until a quorum has confirmed the state of this node for the first time, the
    version is published as stale, because newer versions may have been
    committed while the process was down.

    Args:
        notices: Mailbox of EntryApplied and SnapshotInstalled.
        consensus: Mailbox of the consensus task.
        publisher: Mailbox of the publisher.
    """
    confirmed = False
    while True:
        if not confirmed:
            confirmed = await publish_version(consensus, publisher, True)
        if not confirmed:
            await publish_version(consensus, publisher, False)
            await notices.get_within(RETRY_INTERVAL_MS)
            continue
        if may_change_version(await notices.get()):
            await publish_version(consensus, publisher, True, local=True)


async def publish_version(consensus, publisher, fresh, local=False):
    """Reads and publishes the fleet version.

    Args:
        consensus: Mailbox of the consensus task.
        publisher: Mailbox of the publisher.
        fresh: Whether the version is published as confirmed, not as stale.
        local: Whether a fresh version is read from the state of this node
            without a confirmation by the quorum.

    Returns:
        False if the read failed or timed out.
    """
    consistent = fresh and not local
    result = await ask(
        consensus,
        lambda reply: Read(read_version, reply, consistent),
        READ_TIMEOUT_MS,
    )
    if result.is_error() or result.ok.is_error():
        return False
    version, document = result.ok.ok
    if version:
        await publisher.put(VersionAccepted(version, document, not fresh))
    return True

"""Version watchers: pass committed fleet versions on to the publisher."""

import json

from wigeonport.channels import ask
from wigeonport.consensus_requests import EntryApplied, Read, SnapshotInstalled
from wigeonport.publishers import VersionAccepted
from wigeonport.state_answers import PatchAccepted

READ_TIMEOUT_MS = 1_500
RETRY_INTERVAL_MS = 500


def read_version(state):
    """Returns the version number and the fleet in JSON."""
    fleet = state.fleet.fleet
    return fleet.version, json.dumps(fleet.to_document()).encode()


def changes_version(notice):
    """Returns whether a notice of the consensus task may bring a version."""
    if isinstance(notice, SnapshotInstalled):
        return True
    return isinstance(notice, EntryApplied) and isinstance(
        notice.answer, PatchAccepted
    )


async def watch_versions(notices, consensus, publisher):
    """Publishes the version at the start and after each change.

    Until a quorum has confirmed the state of this node once, the version is
    published as stale, because newer ones may have been accepted while the
    process was down.

    Args:
        notices: Mailbox of Applied and Installed.
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
        if changes_version(await notices.get()):
            await publish_version(consensus, publisher, True, local=True)


async def publish_version(consensus, publisher, fresh, local=False):
    """Reads and publishes the version; returns whether it was read."""
    consistent = fresh and not local
    found = await ask(
        consensus,
        lambda reply: Read(read_version, reply, consistent),
        READ_TIMEOUT_MS,
    )
    if found.is_error() or found.ok.is_error():
        return False
    version, document = found.ok.ok
    if version:
        await publisher.put(VersionAccepted(version, document, not fresh))
    return True

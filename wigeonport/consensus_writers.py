"""The journal writer and the snapshot writer of the consensus task."""

import trio

from wigeonport.replica_events import Persisted, SnapshotTaken
from wigeonport.snapshots import encode_state, write_snapshot


async def write_journal(journal, write_requests, inbox, clock, metrics):
    """Writes and syncs lists of Persists in a worker thread.

    Args:
        journal: Journal or NullJournal.
        write_requests: Mailbox of lists of Persists.
        inbox: Mailbox that gets a Persisted for each list.
        clock: Clock.
        metrics: Metrics.

    Raises:
        JournalError: If the disk failed; no Persist of the list may then
            count as durable.
    """
    async for persists in write_requests:
        started_ms = clock.now()
        await trio.to_thread.run_sync(journal.write, persists)
        metrics.record("journal_write_ms", clock.now() - started_ms)
        await inbox.put(Persisted(persists[-1].sequence))


async def write_snapshots(directory, snapshot_requests, inbox):
    """Encodes and writes snapshots in a worker thread.

    Args:
        directory: Data directory.
        snapshot_requests: Mailbox of pairs of a function, which returns a
            Snapshot for the encoded state, and the document of the state.
        inbox: Mailbox that gets a SnapshotTaken for each request.
    """
    async for make_snapshot, document in snapshot_requests:
        snapshot = await trio.to_thread.run_sync(
            save_snapshot, directory, make_snapshot, document
        )
        await inbox.put(SnapshotTaken(snapshot))


def save_snapshot(directory, make_snapshot, document):
    """Writes a document as a durable Snapshot and returns the Snapshot."""
    snapshot = make_snapshot(encode_state(document))
    write_snapshot(directory, snapshot)
    return snapshot

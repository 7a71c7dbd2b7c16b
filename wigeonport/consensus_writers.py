"""The journal writer and the snapshot writer of the consensus task.

On a full disk the journal writer waits for space. For the replica this is a
slow disk: as a follower it acknowledges and votes for nothing new, and as a
leader it commits by the disks of its followers.
"""

import contextlib

import trio

from wigeonport.durable_files import DiskFullError
from wigeonport.logs import PartLogger
from wigeonport.replica_events import (
    Persisted,
    Resign,
    SnapshotSkipped,
    SnapshotTaken,
)
from wigeonport.snapshots import encode_state, write_snapshot

logger = PartLogger("journal")

# Interval between two attempts to write on a full disk.
DISK_FULL_RETRY_MS = 200
# Time on a full disk after which a leader hands over. Entries that are not on
# its disk stay in its memory, and it is not a second copy of what it commits.
# Space that is freed earlier costs no change of leader.
DISK_FULL_RESIGN_MS = 5_000


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
    metrics.set("journal_disk_full", 0)
    async for persists in write_requests:
        started_ms = clock.now()
        try:
            await trio.to_thread.run_sync(journal.write, persists)
        except DiskFullError as error:
            logger.error("Disk full; waiting for space.", reason=error)
            metrics.set("journal_disk_full", 1)
            await write_when_space(journal, persists, inbox, clock)
            metrics.set("journal_disk_full", 0)
            waited_ms = clock.now() - started_ms
            logger.info("Disk has space again.", waited_ms=waited_ms)
        metrics.record("journal_write_ms", clock.now() - started_ms)
        await inbox.put(Persisted(persists[-1].sequence))


async def write_when_space(journal, persists, inbox, clock):
    """Repeats a write that found no space until it succeeds.

    Args:
        journal: Journal.
        persists: List of Persists.
        inbox: Mailbox that gets a Resign after ``DISK_FULL_RESIGN_MS``.
        clock: Clock.

    Raises:
        JournalError: If the disk failed.
    """
    resign_ms = clock.now() + DISK_FULL_RESIGN_MS
    while True:
        await clock.sleep(DISK_FULL_RETRY_MS)
        try:
            await trio.to_thread.run_sync(journal.write, persists)
            return
        except DiskFullError:
            if clock.now() >= resign_ms:
                await inbox.put(Resign())
                resign_ms += DISK_FULL_RESIGN_MS


async def write_snapshots(directory, snapshot_requests, inbox, metrics):
    """Encodes and writes snapshots in a worker thread.

    Args:
        directory: Data directory.
        snapshot_requests: Mailbox of pairs of a function, which returns a
            Snapshot for the encoded state, and the document of the state.
        inbox: Mailbox that gets a SnapshotTaken for each request, or a
            SnapshotSkipped if there is no space.
        metrics: Metrics.
    """
    async for make_snapshot, document in snapshot_requests:
        try:
            snapshot = await trio.to_thread.run_sync(
                save_snapshot, directory, make_snapshot, document
            )
        except DiskFullError as error:
            logger.error("Snapshot skipped; disk full.", reason=error)
            await inbox.put(SnapshotSkipped())
            continue
        # The older snapshot and its segments are removed after this.
        metrics.set("data_directory_bytes", measure_directory(directory))
        await inbox.put(SnapshotTaken(snapshot))


def measure_directory(directory):
    """Returns the total size, in bytes, of the files in a directory.

    Files that the journal writer removes meanwhile are left out.
    """
    size_bytes = 0
    for path in directory.iterdir():
        with contextlib.suppress(FileNotFoundError):
            size_bytes += path.stat().st_size
    return size_bytes


def save_snapshot(directory, make_snapshot, document):
    """Writes a document as a durable Snapshot and returns the Snapshot."""
    snapshot = make_snapshot(encode_state(document))
    write_snapshot(directory, snapshot)
    return snapshot

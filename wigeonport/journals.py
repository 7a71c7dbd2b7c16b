"""The journal: durable log entries, term and vote of a replica.

The data directory holds the identity file, numbered segment files and the
newest snapshot. Segments are append-only: an entry that is written again
replaces every earlier entry at its index and above.
"""

import contextlib
import os

from wigeonport import durable_files
from wigeonport.durable_files import DiskFullError
from wigeonport.journal_records import (
    JournalBatch,
    SegmentHeader,
    encode_record,
)
from wigeonport.replica_events import HardState
from wigeonport.snapshots import remove_older_snapshots, write_snapshot

FORMAT = 1
PREFIX = "segment-"
SEGMENT_BYTES = 8 * 1024 * 1024
# A compaction starts a new segment if the newest one is larger, because the
# newest segment is never removed and a restart would read entries in it that
# the snapshot already contains.
COMPACT_BYTES = 256 * 1024


class JournalError(Exception):
    """A write failed; the replica must not acknowledge anything more."""


class Segment:
    """A segment file.

    Attributes:
        number: Number in the file name, from 1.
        path: Path of the file.
        last_index: Highest index of its entries, or 0 without entries.
    """

    __slots__ = ("number", "path", "last_index")

    def __init__(self, number, path, last_index=0):
        self.number = number
        self.path = path
        self.last_index = last_index


class Journal:
    """Writes to the segments of a data directory.

    Only one task may use it at a time.

    Attributes:
        directory: Data directory.
        identity: Identity to write into the segment headers.
        segments: Segments, oldest first.
        hard_state: Newest durable HardState.
        last_index: Last durable index of the log.
        descriptor: Descriptor of the newest segment, or -1.
        size_bytes: Size of the newest segment without a partial record.
        has_partial_record: Whether a write that found no space may have left
            a part of a record at the end of the newest segment.
        failed: Whether a write failed; the journal is then unusable.
        lock: Descriptor that holds the lock of the directory, or -1.
    """

    __slots__ = (
        "directory",
        "identity",
        "segments",
        "hard_state",
        "last_index",
        "descriptor",
        "size_bytes",
        "has_partial_record",
        "failed",
        "lock",
    )

    def __init__(self, directory, identity, segments, hard_state, lock):
        self.directory = directory
        self.identity = identity
        self.segments = segments
        self.hard_state = hard_state or HardState(0, "")
        self.last_index = 0
        self.descriptor = -1
        self.size_bytes = 0
        self.has_partial_record = False
        self.failed = False
        self.lock = lock

    def write(self, persists):
        """Makes a list of Persists durable.

        They share one sync unless one of them holds a received snapshot.

        Raises:
            DiskFullError: If there is no space. Call again with the same
                Persists before any others; those that are already durable
                are then written twice, which has no effect.
            JournalError: If a write or a sync failed, now or before. The
                journal stays unusable, because a repeated sync may succeed
                although data was lost.
        """
        if self.failed:
            raise JournalError("an earlier write to the journal failed")
        try:
            self._write(persists)
        except DiskFullError:
            raise
        except OSError as error:
            self.failed = True
            raise JournalError(
                f"writing the journal failed: {error}"
            ) from error

    def _write(self, persists):
        batch = JournalBatch(None, [])
        compact_index = 0
        for persist in persists:
            if persist.snapshot:
                self._append(batch)
                batch = JournalBatch(None, [])
                self._install_snapshot(persist)
            if persist.hard_state:
                batch.hard_state = persist.hard_state
            batch.entries.extend(persist.entries)
            compact_index = max(compact_index, persist.compact_index)
        self._append(batch)
        if compact_index:
            self._compact(compact_index)

    def _append(self, batch):
        if batch.hard_state is None and not batch.entries:
            return
        if self.size_bytes >= SEGMENT_BYTES:
            self.start_segment()
        data = encode_record(batch)
        if self.has_partial_record:
            durable_files.truncate(self.descriptor, self.size_bytes)
        self.has_partial_record = True
        durable_files.write_all(self.descriptor, data)
        durable_files.sync_file(self.descriptor)
        self.has_partial_record = False
        self.size_bytes += len(data)
        self.hard_state = batch.hard_state or self.hard_state
        segment = self.segments[-1]
        for entry in batch.entries:
            segment.last_index = max(segment.last_index, entry.index)
            self.last_index = entry.index

    def _install_snapshot(self, persist):
        """Replaces the log by a snapshot received from the leader."""
        self.hard_state = persist.hard_state or self.hard_state
        write_snapshot(self.directory, persist.snapshot)
        self.last_index = persist.snapshot.index
        self.start_segment(starts_anew=True)
        self._remove(self.segments[:-1])
        remove_older_snapshots(self.directory, persist.snapshot.index)

    def _compact(self, index):
        """Removes the segments whose entries a snapshot contains.

        Args:
            index: Last index that a durable snapshot contains.
        """
        if self.size_bytes > COMPACT_BYTES:
            # On a full disk the newest segment stays, and the removal of the
            # others makes room.
            with contextlib.suppress(DiskFullError):
                self.start_segment()
        covered = []
        for segment in self.segments[:-1]:
            if segment.last_index > index:
                break
            covered.append(segment)
        self._remove(covered)
        remove_older_snapshots(self.directory, index)

    def _remove(self, segments):
        # Oldest first and one at a time, so that a crash in between leaves no
        # gap in the log: a power loss undoes unsynced removals independently.
        for segment in segments:
            segment.path.unlink()
            durable_files.sync_directory(self.directory)
            self.segments.remove(segment)

    def start_segment(self, starts_anew=False):
        """Starts a new segment file.

        Args:
            starts_anew: Whether the entries follow a snapshot, so that the
                entries of all earlier segments are obsolete.

        Raises:
            DiskFullError: If there is no space; the newest segment stays.
        """
        if self.has_partial_record:
            # A recovery accepts a partial record only in the newest segment.
            durable_files.truncate(self.descriptor, self.size_bytes)
            durable_files.sync_file(self.descriptor)
            self.has_partial_record = False
        number = self.segments[-1].number + 1 if self.segments else 1
        path = self.directory / f"{PREFIX}{number:010d}"
        header = SegmentHeader(
            FORMAT,
            number,
            self.identity,
            self.hard_state,
            self.last_index,
            starts_anew,
        )
        data = encode_record(header)
        descriptor = self._create_segment_file(path, data)
        if self.descriptor >= 0:
            os.close(self.descriptor)
        self.descriptor = descriptor
        self.size_bytes = len(data)
        self.has_partial_record = False
        self.segments.append(Segment(number, path))

    def _create_segment_file(self, path, data):
        """Returns the descriptor of a new, durable file that holds ``data``.

        On a full disk the file is removed again, because a recovery accepts
        an interrupted write only in the newest segment.
        """
        try:
            descriptor = durable_files.open_empty(path, append=True)
            try:
                durable_files.write_all(descriptor, data)
                durable_files.sync_file(descriptor)
            except OSError:
                os.close(descriptor)
                raise
        except DiskFullError:
            path.unlink(missing_ok=True)
            durable_files.sync_directory(self.directory)
            raise
        durable_files.sync_directory(self.directory)
        return descriptor

    def close(self):
        """Closes the open files."""
        for descriptor in (self.descriptor, self.lock):
            if descriptor >= 0:
                os.close(descriptor)
        self.descriptor = self.lock = -1


class NullJournal:
    """Journal of a replica without a disk; it stores nothing.

    Attributes:
        lock: Descriptor that holds the lock of a data directory that the
            replica must not use, or -1.
    """

    __slots__ = ("lock",)

    def __init__(self):
        self.lock = -1

    def write(self, persists):
        """Discards the Persists.

        A replica without a disk is a learner and starts with an empty log
        after each restart.
        """

    def close(self):
        """Releases the lock of the data directory."""
        if self.lock >= 0:
            os.close(self.lock)
            self.lock = -1

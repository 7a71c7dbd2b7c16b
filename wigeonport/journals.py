"""The journal: durable entries, term and vote of a replica.

The data directory holds the identity file, numbered segment files and
the newest snapshot. Segments are only appended to; an entry replaces
what the log held from its index on.
"""

import os

from wigeonport import durable_files
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
# A compaction starts a new segment above this size, so that a restart
# does not read entries that a snapshot contains.
COMPACT_BYTES = 256 * 1024


class JournalError(Exception):
    """The disk failed; nothing more may be acknowledged."""


class Segment:
    """A segment file.

    Attributes:
        number: Number in the file name.
        path: Path of the file.
        last_index: Highest index of an entry in it, 0 without entries.
    """

    __slots__ = ("number", "path", "last_index")

    def __init__(self, number, path, last_index=0):
        self.number = number
        self.path = path
        self.last_index = last_index


class Journal:
    """Appends to the newest segment; owned by one task at a time.

    Attributes:
        directory: Data directory.
        identity: Identity in the segment headers.
        segments: Segments, oldest first.
        hard_state: Last durable HardState.
        last_index: Last durable index of the log.
        descriptor: Open file of the newest segment.
        size_bytes: Size of the newest segment.
        failed: Whether a write failed; the journal is then unusable.
        lock: Descriptor that keeps other processes out.
    """

    __slots__ = (
        "directory",
        "identity",
        "segments",
        "hard_state",
        "last_index",
        "descriptor",
        "size_bytes",
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
        self.failed = False
        self.lock = lock

    def write(self, persists):
        """Makes a list of Persists durable with one sync if possible.

        Raises:
            JournalError: If a write or a sync failed. The journal stays
                unusable, because a repeated sync could hide the loss.
        """
        if self.failed:
            raise JournalError("the journal has failed before")
        try:
            self._write(persists)
        except OSError as error:
            self.failed = True
            raise JournalError(f"disk failed: {error}") from error

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
        durable_files.write_all(self.descriptor, data)
        durable_files.sync_file(self.descriptor)
        self.size_bytes += len(data)
        self.hard_state = batch.hard_state or self.hard_state
        segment = self.segments[-1]
        for entry in batch.entries:
            segment.last_index = max(segment.last_index, entry.index)
            self.last_index = entry.index

    def _install_snapshot(self, persist):
        """Writes a received snapshot and starts the log after it."""
        self.hard_state = persist.hard_state or self.hard_state
        write_snapshot(self.directory, persist.snapshot)
        self.last_index = persist.snapshot.index
        self.start_segment(starts_anew=True)
        self._remove(self.segments[:-1])
        remove_older_snapshots(self.directory)

    def _compact(self, index):
        """Removes the oldest segments that a snapshot covers."""
        if self.size_bytes > COMPACT_BYTES:
            self.start_segment()
        covered = []
        for segment in self.segments[:-1]:
            if segment.last_index > index:
                break
            covered.append(segment)
        self._remove(covered)
        remove_older_snapshots(self.directory)

    def _remove(self, segments):
        # Oldest first, so that a crash in between leaves no gap.
        for segment in segments:
            segment.path.unlink()
            self.segments.remove(segment)
        if segments:
            durable_files.sync_directory(self.directory)

    def start_segment(self, starts_anew=False):
        """Starts a new segment file.

        Args:
            starts_anew: Whether the log continues a snapshot and no
                earlier segment.
        """
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
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND
        descriptor = os.open(path, flags, 0o600)
        if self.descriptor >= 0:
            os.close(self.descriptor)
        self.descriptor = descriptor
        data = encode_record(header)
        durable_files.write_all(descriptor, data)
        durable_files.sync_file(descriptor)
        durable_files.sync_directory(self.directory)
        self.size_bytes = len(data)
        self.segments.append(Segment(number, path))

    def close(self):
        """Closes the open files."""
        for descriptor in (self.descriptor, self.lock):
            if descriptor >= 0:
                os.close(descriptor)
        self.descriptor = self.lock = -1


class NullJournal:
    """Stands in for a journal where there is no disk.

    Attributes:
        lock: Descriptor of the lock of a directory left unused, or -1.
    """

    __slots__ = ("lock",)

    def __init__(self):
        self.lock = -1

    def write(self, persists):
        """Forgets what it is given; a learner without a disk restarts."""

    def close(self):
        """Releases the lock."""
        if self.lock >= 0:
            os.close(self.lock)
            self.lock = -1

"""Reading of the journal's segments into the log of a replica."""

import os

from wigeonport import durable_files
from wigeonport.journal_records import (
    JournalBatch,
    SegmentHeader,
    has_record_after,
    read_records,
)
from wigeonport.journals import FORMAT, PREFIX, Segment
from wigeonport.logs import PartLogger
from wigeonport.replica_events import HardState
from wigeonport.snapshots import DamageError, FormatError

logger = PartLogger("journal")


class Replay:
    """Rebuilds the log from the records of the segments.

    Attributes:
        entries: Entries of the log.
        hard_state: Newest HardState.
        last_missing_index: Index up to which the segments lack the entries,
            so that a snapshot must contain them.
        last_index: Last index of the log.
        stated_index: Last index of the log according to the newest entry and
            the segment headers after it.
        is_first: Whether no segment header has been read yet.
    """

    __slots__ = (
        "entries",
        "hard_state",
        "last_missing_index",
        "last_index",
        "stated_index",
        "is_first",
    )

    def __init__(self):
        self.entries = []
        self.hard_state = HardState(0, "")
        self.last_missing_index = 0
        self.last_index = 0
        self.stated_index = 0
        self.is_first = True

    def apply(self, record):
        """Applies the next record of the segments.

        Raises:
            DamageError: If entries before those of the record are missing.
        """
        if isinstance(record, SegmentHeader):
            self.hard_state = record.hard_state
            if self.is_first or record.starts_anew:
                self.last_missing_index = record.last_index
                self.last_index = record.last_index
                self.stated_index = record.last_index
            # A lower index without an entry means that entries were lost
            # before the segment was started.
            self.stated_index = max(self.stated_index, record.last_index)
            if record.starts_anew:
                self.entries = []
            self.is_first = False
            return
        self.hard_state = record.hard_state or self.hard_state
        for entry in record.entries:
            self.append_entry(entry)

    def append_entry(self, entry):
        """Appends an entry in place of those at its index and above."""
        if self.entries:
            position = entry.index - self.entries[0].index
            if position < 0:
                self.entries = []
            elif position > len(self.entries):
                raise DamageError(
                    f"entries before index {entry.index} are missing after "
                    f"index {self.entries[-1].index}"
                )
            else:
                del self.entries[position:]
        self.entries.append(entry)
        self.last_index = self.stated_index = entry.index

    def check_end(self, base_index):
        """Checks that the log ends where the headers say.

        Entries that a later segment replaces need not be there.

        Args:
            base_index: Last index that the snapshot contains, or 0.

        Raises:
            DamageError: If entries are missing at the end.
        """
        if self.stated_index > max(self.last_index, base_index):
            raise DamageError(
                f"entries up to index {self.stated_index} are missing after "
                f"index {self.last_index}"
            )


def read_segments(directory, identity, replay):
    """Reads the segments and applies their records to the replay.

    Each segment is synced: a process that was killed may have written its
    last record without the sync, and the replica acknowledges what it has
    recovered.

    Returns:
        The Segments, oldest first.

    Raises:
        DamageError: If a segment is damaged or missing.
        FormatError: If this version does not read the format of a segment.
        OSError: If the disk fails.
    """
    paths = sorted(directory.glob(f"{PREFIX}*"))
    _remove_unfinished_segment(paths, directory)
    segments = []
    for position, path in enumerate(paths):
        data = path.read_bytes()
        records, offset = read_records(data)
        is_last = position == len(paths) - 1
        number = int(path.name.removeprefix(PREFIX))
        _check_header(path, records, number, identity, segments)
        if offset < len(data):
            _truncate_interrupted_write(path, data, offset, is_last)
        durable_files.sync_path(path)
        segment = Segment(number, path)
        for record in records:
            try:
                replay.apply(record)
            except DamageError as error:
                raise DamageError(f"{path.name}: {error}") from error
            if isinstance(record, JournalBatch):
                for entry in record.entries:
                    segment.last_index = max(segment.last_index, entry.index)
        segments.append(segment)
    return segments


def _remove_unfinished_segment(paths, directory):
    """Removes the last segment if it has no header yet.

    The segment before it then counts as the last one: a write to it may have
    been interrupted too, because it stays in use if there is no space for the
    header of the next.

    Args:
        paths: Paths of the segments, oldest first; the last one is taken out
            if its file is removed.
        directory: Data directory.

    Raises:
        DamageError: If the file has a record after the damaged header.
    """
    if not paths:
        return
    data = paths[-1].read_bytes()
    records, _ = read_records(data)
    if records:
        return
    path = paths.pop()
    if has_record_after(data, 0):
        raise DamageError(f"{path.name}: damaged record at byte 0")
    logger.warning("Removing a segment without a header.", file=path.name)
    path.unlink()
    durable_files.sync_directory(directory)


def _truncate_interrupted_write(path, data, offset, is_last):
    """Removes an interrupted write from the end of the last segment.

    Raises:
        DamageError: If the invalid record cannot come from an interrupted
            write, because a valid one follows.
    """
    if not is_last or has_record_after(data, offset):
        raise DamageError(f"{path.name}: damaged record at byte {offset}")
    logger.warning(
        "Truncating an interrupted write.",
        file=path.name,
        offset=offset,
        removed_bytes=len(data) - offset,
    )
    descriptor = os.open(path, os.O_WRONLY)
    try:
        os.ftruncate(descriptor, offset)
        durable_files.sync_file(descriptor)
    finally:
        os.close(descriptor)


def _check_header(path, records, number, identity, segments):
    header = records[0] if records else None
    if not isinstance(header, SegmentHeader):
        raise DamageError(f"{path.name}: segment header is missing")
    if header.format != FORMAT:
        raise FormatError(
            f"{path.name}: format {header.format} is not {FORMAT}"
        )
    if header.identity != identity.identity or header.number != number:
        raise DamageError(f"{path.name}: segment belongs to another directory")
    if segments and number != segments[-1].number + 1:
        raise DamageError(f"{path.name}: the segment before it is missing")


def entries_after(snapshot, entries):
    """Returns the entries of the log that follow the snapshot.

    Raises:
        DamageError: If entries between the snapshot and the log are missing.
    """
    base_index = snapshot.index if snapshot else 0
    if not entries or entries[-1].index < base_index:
        return []
    first_index = entries[0].index
    if first_index > base_index + 1:
        raise DamageError(f"entries before index {first_index} are missing")
    position = base_index + 1 - first_index
    if position > 0 and entries[position - 1].term != snapshot.term:
        # The log conflicts with the snapshot: the leader sent the snapshot,
        # and the process ended before the journal started a new segment.
        return []
    return entries[position:]

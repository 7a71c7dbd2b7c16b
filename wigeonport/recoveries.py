"""Recovery of a replica from its data directory when it starts."""

import os
import shutil

from wigeonport import durable_files
from wigeonport.disk_identities import FILE_NAME as IDENTITY_NAME
from wigeonport.disk_identities import (
    create_identity,
    read_identity,
    write_identity,
)
from wigeonport.journal_records import (
    JournalBatch,
    SegmentHeader,
    has_record_after,
    read_records,
)
from wigeonport.journals import (
    FORMAT,
    PREFIX,
    Journal,
    NullJournal,
    Segment,
)
from wigeonport.logs import PartLogger
from wigeonport.replica_events import HardState, RecoveredState
from wigeonport.snapshots import (
    DamageError,
    FormatError,
    list_snapshots,
    read_newest_snapshot,
)

logger = PartLogger("journal")

DAMAGED = "damaged"
# Bounds the length of the line; each restart adds a segment until the next
# snapshot.
MAX_LOGGED_SEGMENTS = 16


class OpenedStorage:
    """Storage of a replica that is about to start.

    Attributes:
        replica_id: Id of the replica.
        durable: Whether there is a disk; False if the replica must run in
            memory only.
        journal: Journal or NullJournal.
        recovered: RecoveredState that the replica starts from.
        damage: Why the data of the directory is not used, or "".
    """

    __slots__ = ("replica_id", "durable", "journal", "recovered", "damage")

    def __init__(self, replica_id, durable, journal, recovered, damage):
        self.replica_id = replica_id
        self.durable = durable
        self.journal = journal
        self.recovered = recovered
        self.damage = damage


def open_memory(cluster_id, node):
    """Returns the OpenedStorage of a node without a disk."""
    replica_id = create_identity(cluster_id, node).replica_id()
    return OpenedStorage(
        replica_id, False, NullJournal(), RecoveredState(), ""
    )


def open_directory(directory, cluster_id, node, moves_damaged=True):
    """Opens or creates the data directory of a node.

    Damaged data is moved aside and the replica starts under a new identity,
    so that it cannot vote before it has been rebuilt from its peers. A
    directory that belongs to another node or cluster stays unchanged, and
    the replica runs in memory without a vote.

    Args:
        directory: Path of the data directory.
        cluster_id: Name of the deployment.
        node: Id of the node.
        moves_damaged: Whether damaged data is moved aside.

    Returns:
        An OpenedStorage.

    Raises:
        DamageError: If the data is damaged and ``moves_damaged`` is false.
        FormatError: If the data was written by a newer version.
        DiskFullError: If there is no space; the call may be repeated.
        OSError: If the disk fails or another process uses the directory.
    """
    durable_files.make_directory(directory)
    lock = durable_files.lock_directory(directory)
    try:
        return _open_locked(directory, cluster_id, node, lock, moves_damaged)
    except (OSError, DamageError):
        # The caller may open the directory again once there is space.
        os.close(lock)
        raise


def _open_locked(directory, cluster_id, node, lock, moves_damaged):
    # A killed process may have changed names without the sync, and a replica
    # relies on what it finds.
    durable_files.sync_directory(directory)
    for path in directory.glob("*.tmp"):
        path.unlink()
    try:
        identity = read_identity(directory)
        if identity is None:
            if not _is_unused(directory):
                raise DamageError("the identity file is missing")
            if (directory / DAMAGED).exists():
                raise DamageError("damaged files have been moved aside")
            return _create(directory, cluster_id, node, "", lock)
        if (identity.cluster_id, identity.node) != (cluster_id, node):
            owner = f"{identity.cluster_id}/{identity.node}"
            logger.error(
                "Data directory of another node refused.", owner=owner
            )
            storage = open_memory(cluster_id, node)
            storage.journal.lock = lock
            storage.damage = f"the data directory belongs to {owner}"
            return storage
        storage = _recover(directory, identity, lock)
        _log_recovered(storage)
        return storage
    except DamageError as error:
        if not moves_damaged:
            raise
        logger.error(
            "Data directory damaged; moving its files aside.", reason=error
        )
        _move_aside(directory)
        return _create(directory, cluster_id, node, str(error), lock)


def _create(directory, cluster_id, node, damage, lock):
    identity = create_identity(cluster_id, node)
    journal = Journal(directory, identity.identity, [], None, lock)
    # A killed process may have made the directory without the sync.
    durable_files.sync_directory(directory.parent)
    # The identity file is written last: with an identity but no segment, the
    # directory would look like one that has lost its segments.
    journal.start_segment()
    write_identity(directory, identity)
    logger.info(
        "Data directory created.", replica=identity.replica_id(), damage=damage
    )
    return OpenedStorage(
        identity.replica_id(), True, journal, RecoveredState(), damage
    )


def _is_unused(directory):
    """Returns whether a directory without an identity holds no data.

    An interrupted creation leaves a first segment without entries.
    """
    if list_snapshots(directory):
        return False
    for path in directory.glob(f"{PREFIX}*"):
        data = path.read_bytes()
        records, offset = read_records(data)
        number = int(path.name.removeprefix(PREFIX))
        if number > 1 or len(records) > 1 or has_record_after(data, offset):
            return False
    return True


def _log_recovered(storage):
    """Logs what a replica starts from, to be compared with other starts."""
    recovered = storage.recovered
    entries = recovered.entries
    segments = storage.journal.segments[-MAX_LOGGED_SEGMENTS:]
    logger.info(
        "Data directory recovered.",
        replica=storage.replica_id,
        term=recovered.hard_state.term,
        vote=recovered.hard_state.vote,
        snapshot=recovered.snapshot.index if recovered.snapshot else 0,
        first=entries[0].index if entries else 0,
        last=storage.journal.last_index,
        segments=",".join(
            f"{segment.number}:{segment.last_index or 'none'}"
            for segment in segments
        ),
    )


def _move_aside(directory):
    """Moves all files but the lock into a subdirectory for inspection.

    The identity is moved first and durably: segments without it count as
    damaged, so that a crash in between leaves no voter with a part of its
    log. The files of an earlier move are deleted; without an identity, they
    are the first files of this move, which was interrupted.
    """
    target = directory / DAMAGED
    identity_path = directory / IDENTITY_NAME
    if identity_path.exists() and target.exists():
        shutil.rmtree(target)
    target.mkdir(exist_ok=True)
    if identity_path.exists():
        os.replace(identity_path, target / IDENTITY_NAME)
        durable_files.sync_directory(target)
        durable_files.sync_directory(directory)
    for path in directory.iterdir():
        if path not in (target, directory / durable_files.LOCK_NAME):
            os.replace(path, target / path.name)
    durable_files.sync_directory(target)
    durable_files.sync_directory(directory)


def _recover(directory, identity, lock):
    snapshot = read_newest_snapshot(directory)
    replay = Replay()
    segments = _read_segments(directory, identity, replay)
    if not segments:
        raise DamageError("the journal has no segment")
    base_index = snapshot.index if snapshot else 0
    if replay.last_missing_index > base_index:
        raise DamageError(
            f"entries up to index {replay.last_missing_index} are missing"
        )
    replay.check_end(base_index)
    entries = _entries_after(snapshot, replay.entries)
    recovered = RecoveredState(replay.hard_state, snapshot, entries)
    journal = Journal(
        directory, identity.identity, segments, replay.hard_state, lock
    )
    if entries:
        journal.last_index = entries[-1].index
    elif snapshot:
        journal.last_index = snapshot.index
    starts_anew = snapshot is not None and not entries
    journal.start_segment(starts_anew)
    return OpenedStorage(identity.replica_id(), True, journal, recovered, "")


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


def _read_segments(directory, identity, replay):
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


def _entries_after(snapshot, entries):
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

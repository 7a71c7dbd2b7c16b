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
from wigeonport.journal_records import has_record_after, read_records
from wigeonport.journal_replays import Replay, entries_after, read_segments
from wigeonport.journals import PREFIX, Journal, NullJournal
from wigeonport.logs import PartLogger
from wigeonport.replica_events import RecoveredState
from wigeonport.snapshots import (
    DamageError,
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
    segments = read_segments(directory, identity, replay)
    if not segments:
        raise DamageError("the journal has no segment")
    base_index = snapshot.index if snapshot else 0
    if replay.last_missing_index > base_index:
        raise DamageError(
            f"entries up to index {replay.last_missing_index} are missing"
        )
    replay.check_end(base_index)
    entries = entries_after(snapshot, replay.entries)
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

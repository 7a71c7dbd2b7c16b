"""Kills and power losses between and during the operations on a disk.

A longer run of the random schedules, of 20,000 from seed 1,000 on:

    WIGEONPORT_FIRST_SEED=1000 WIGEONPORT_SCHEDULES=20000 \
        python -m pytest tests/test_disk_losses.py -k random
"""

import contextlib
import errno
import functools
import itertools
import os
import random
import shutil

import logbook
import pytest
from disk_changes import losing, random_fate
from disk_schedules import Schedule
from disk_simulations import CrashError, after_rename
from journal_models import make_persist, make_snapshot

from wigeonport import durable_files, journals
from wigeonport.durable_files import DiskFullError, sync_directory
from wigeonport.journal_replays import Replay
from wigeonport.journals import Journal
from wigeonport.recoveries import open_directory
from wigeonport.replica_events import HardState
from wigeonport.snapshots import write_snapshot

LATER_ENTRIES = range(10, 13)
# A schedule takes about 0.1 s, and CI runs all tests on every change.
CI_SCHEDULES = 60
FIRST_SEED = int(os.environ.get("WIGEONPORT_FIRST_SEED", 0))
COUNT = int(os.environ.get("WIGEONPORT_SCHEDULES", CI_SCHEDULES))
SEEDS = range(FIRST_SEED, FIRST_SEED + COUNT)
RUNS = 16


def create_directory(disk, path):
    """Creates a closed data directory with a vote and nine synced entries.

    Segments 1 to 3 hold three entries each.
    """
    journal = open_directory(path, "test", "a").journal
    journal.write([make_persist(hard_state=HardState(3, "b/1"))])
    for first in (1, 4, 7):
        if first > 1:
            journal.start_segment()
        journal.write([make_persist(range(first, first + 3))])
    disk.kill()


@pytest.fixture
def directory(disk):
    """The directory of ``create_directory``."""
    path = disk.root / "data"
    create_directory(disk, path)
    return path


def open_journal(path):
    """Opens a directory that must not count as damaged."""
    storage = open_directory(path, "test", "a")
    assert not storage.damage
    return storage


def last_index(storage):
    """Returns the last index of the recovered log."""
    recovered = storage.recovered
    if recovered.entries:
        return recovered.entries[-1].index
    return recovered.snapshot.index if recovered.snapshot else 0


def compact(journal):
    """Compacts the log up to its last entry."""
    write_snapshot(journal.directory, make_snapshot(9))
    journal.write([make_persist(compact_index=9)])


def install_snapshot(journal):
    """Replaces the log by a received snapshot."""
    journal.write([make_persist(snapshot=make_snapshot(20, 4))])


def replace_entries(journal):
    """Replaces the last entries after a change of leader."""
    journal.write([make_persist(range(8, 10), term=4)])


def start_full_segment(journal):
    """Appends entries when the newest segment is full."""
    journal.size_bytes = journals.SEGMENT_BYTES
    journal.write([make_persist(LATER_ENTRIES)])


@pytest.mark.parametrize("loses_power", [False, True], ids=["kill", "power"])
@pytest.mark.parametrize(
    ("change", "index_after"),
    [
        (compact, 9),
        (install_snapshot, 20),
        (replace_entries, 9),
        (start_full_segment, 12),
    ],
)
def test_end_at_each_operation_leaves_the_log_before_or_after(
    disk, change, index_after, loses_power
):
    """Fails if the journal writes a gap, or returns before it has synced.

    The process is killed at each operation of a change, or loses power and
    all that is not synced. The kills show gaps that need no power loss.
    """
    for steps in itertools.count(1):
        path = disk.root / f"data{steps}"
        create_directory(disk, path)
        journal = open_journal(path).journal
        disk.steps_left = steps
        try:
            change(journal)
        except CrashError:
            is_done = False
        else:
            is_done = True
        if loses_power:
            disk.lose_power(losing("*"))
        else:
            disk.kill()
        for _ in range(2):
            index = last_index(open_journal(path))
            assert index in ({index_after} if is_done else {9, index_after})
            disk.kill()
        if is_done:
            assert steps > 5
            return
        shutil.rmtree(path)
        sync_directory(disk.root)


def test_power_loss_during_compaction_leaves_no_hole(disk, directory):
    """Fails if the removal of several segments can leave a hole.

    The disk undoes the removals independently, and a segment between two
    others must not be the one that is missing.
    """
    journal = open_journal(directory).journal
    write_snapshot(directory, make_snapshot(9))
    with disk.crash("after unlink segment-0000000003"):
        journal.write([make_persist(compact_index=9)])
    disk.lose_power(losing("unlink segment-0000000002"))
    assert last_index(open_journal(directory)) == 9


def test_power_loss_during_installation_leaves_no_hole(disk, directory):
    """Fails if a received snapshot can leave a hole among older segments."""
    journal = open_journal(directory).journal
    persist = make_persist(snapshot=make_snapshot(20, 4))
    with disk.crash("after unlink segment-0000000004"):
        journal.write([persist])
    disk.lose_power(losing("unlink segment-0000000003"))
    assert last_index(open_journal(directory)) == 20


def check_old_identity_keeps_its_log(directory, before):
    """Opens a directory whose damaged files were being moved aside."""
    storage = open_directory(directory, "test", "a")
    assert storage.replica_id != before.replica_id or last_index(
        storage
    ) == last_index(before)


def test_power_loss_while_damaged_files_move_keeps_no_voter(disk, directory):
    """Fails if the old identity can remain with a part of its log.

    The replica would vote although it lacks entries that it acknowledged.
    """
    before = open_journal(directory)
    disk.kill()
    disk.corrupt(directory / "segment-0000000002", 20)
    with disk.crash("before sync damaged"):
        open_directory(directory, "test", "a")
    disk.lose_power(losing("unlink identity", "unlink segment-0000000001"))
    check_old_identity_keeps_its_log(directory, before)


def test_kill_while_damaged_files_move_keeps_no_voter(
    disk, directory, monkeypatch
):
    """Fails if a process that is killed leaves the old identity.

    The order in which a directory lists its files is arbitrary; here the
    newest segments come first.
    """
    before = open_journal(directory)
    disk.kill()
    disk.corrupt(directory / "segment-0000000002", 20)
    iterdir = type(directory).iterdir
    monkeypatch.setattr(
        type(directory),
        "iterdir",
        lambda path: reversed(sorted(iterdir(path))),
    )
    with disk.crash("after rename segment-0000000002"):
        open_directory(directory, "test", "a")
    check_old_identity_keeps_its_log(directory, before)


def test_kill_while_damaged_files_move_keeps_the_files(disk, directory):
    """Fails if the next start deletes the files that were moved already.

    After a lost quorum they may be the last copy of acknowledged entries.
    """
    names = {path.name for path in directory.iterdir()} - {"lock"}
    disk.corrupt(directory / "segment-0000000002", 20)
    with disk.crash("after rename segment-0000000003"):
        open_directory(directory, "test", "a")
    assert open_directory(directory, "test", "a").damage
    moved = {path.name for path in (directory / "damaged").iterdir()}
    assert moved == names


def test_kill_after_damaged_files_have_moved_keeps_the_damage(disk, directory):
    """Fails if the next start looks like the first one on a new disk."""
    disk.corrupt(directory / "segment-0000000002", 20)
    with disk.crash("before create segment-0000000001"):
        open_directory(directory, "test", "a")
    assert open_directory(directory, "test", "a").damage


@pytest.mark.parametrize("received", [False, True])
def test_snapshot_that_was_read_stays(disk, directory, received):
    """Fails if a restart relies on a snapshot whose rename is not durable.

    The new segment is durable with its own sync, and says that the entries
    before it are in the snapshot.
    """
    journal = open_journal(directory).journal
    with disk.crash("after rename snapshot-*"):
        if received:
            journal.write([make_persist(snapshot=make_snapshot(20, 4))])
        else:
            write_snapshot(directory, make_snapshot(9))
    with disk.crash("after sync segment-0000000005"):
        open_journal(directory)
    disk.lose_power(losing("rename snapshot-*"))
    assert last_index(open_journal(directory)) >= 9


@pytest.mark.parametrize(
    "lost",
    ["create segment-0000000004", "write segment-0000000004"],
    ids=["name", "header"],
)
def test_unsynced_segment_before_a_new_one_stays(disk, directory, lost):
    """Fails if a restart starts a segment after one that is not durable."""
    with disk.crash("before sync segment-0000000004"):
        open_journal(directory)
    with disk.crash("after sync segment-0000000005"):
        open_journal(directory)
    disk.lose_power(losing(lost))
    assert last_index(open_journal(directory)) == 9


def test_truncation_before_a_new_segment_stays(disk, directory):
    """Fails if an interrupted write comes back before a newer segment.

    The process was killed during a write, and again before it synced the
    truncation.
    """
    journal = open_journal(directory).journal
    with disk.crash("during write segment-0000000004"):
        journal.write([make_persist([10])])
    with disk.crash("after truncate segment-0000000004"):
        open_journal(directory)
    open_journal(directory)
    disk.lose_power(losing("truncate segment-0000000004"))
    assert last_index(open_journal(directory)) == 9


def test_new_directory_stays_after_a_kill_during_creation(disk):
    """Fails if a restart does not sync the parent of a new directory."""
    path = disk.root / "data"
    with disk.crash(f"before sync {disk.root.name}"):
        open_directory(path, "test", "a")
    open_journal(path).journal.write([make_persist([1])])
    disk.lose_power(losing("mkdir data"))
    assert last_index(open_journal(path)) == 1


def test_lost_entry_that_a_leader_has_replaced_is_no_damage(
    disk, directory, monkeypatch
):
    """Fails if a voter with a whole log is given up.

    Earlier releases relied on an entry that was not synced; here a new leader
    has replaced it in the next segment before the power was lost.
    """
    journal = open_journal(directory).journal
    with disk.crash("before sync segment-*"):
        journal.write([make_persist([10])])
    with monkeypatch.context() as patch:
        patch.setattr(durable_files, "sync_path", lambda path: None)
        journal = open_journal(directory).journal
    journal.write([make_persist([10, 11], term=4)])
    disk.lose_power(losing("write segment-0000000004"))
    assert last_index(open_journal(directory)) == 11


def test_loss_that_an_earlier_release_has_missed_is_damage(
    disk, directory, monkeypatch
):
    """Fails if the header of a later segment hides a lost entry.

    An earlier release has acknowledged an entry that was not synced, and has
    started again without it after the power loss.
    """
    before = open_journal(directory)
    with disk.crash("before sync segment-*"):
        before.journal.write([make_persist([10])])
    with monkeypatch.context() as patch:
        patch.setattr(durable_files, "sync_path", lambda path: None)
        patch.setattr(Replay, "check_end", lambda *arguments: None)
        assert last_index(open_journal(directory)) == 10
        disk.lose_power(losing("write segment-0000000004"))
        assert last_index(open_journal(directory)) == 9
        disk.kill()
    after = open_directory(directory, "test", "a")
    assert after.replica_id != before.replica_id


def test_repeated_installation_on_a_full_disk_is_no_damage(
    disk, directory, monkeypatch
):
    """Fails if a segment that names the index of a snapshot is damage.

    The first attempt has written the snapshot and found no space for the
    segment after it. The repeat finds the newest segment full.
    """
    journal = open_journal(directory).journal
    persists = [
        make_persist([10]),
        make_persist(snapshot=make_snapshot(20, 4)),
    ]
    monkeypatch.setattr(journals, "SEGMENT_BYTES", journal.size_bytes + 20)

    def find_no_space(journal, path, data):
        raise DiskFullError(errno.ENOSPC, "no space")

    with monkeypatch.context() as patch:
        patch.setattr(Journal, "_create_segment_file", find_no_space)
        with pytest.raises(DiskFullError):
            journal.write(persists)
    with disk.crash("after sync data"):
        journal.write(persists)
    assert last_index(open_journal(directory)) == 20


@pytest.mark.parametrize(
    "point",
    ["before unlink segment-0000000005", "after sync segment-0000000006"],
)
def test_partial_record_on_a_full_disk_is_cut_off_before_a_new_segment(
    disk, directory, monkeypatch, point
):
    """Fails if a partial record stays in a segment before the newest.

    The entry after a received snapshot has found no space. The repeat
    installs the snapshot again and starts a segment after the partial record.
    """
    journal = open_journal(directory).journal
    persists = [
        make_persist(snapshot=make_snapshot(20, 4)),
        make_persist([21], term=4),
    ]
    write_all = durable_files.write_all

    def write_part(descriptor, data):
        if b"entry 21 4" in bytes(data):
            write_all(descriptor, data[: len(data) // 2])
            raise DiskFullError(errno.ENOSPC, "no space")
        write_all(descriptor, data)

    with monkeypatch.context() as patch:
        patch.setattr(durable_files, "write_all", write_part)
        with pytest.raises(DiskFullError):
            journal.write(persists)
    with disk.crash(point):
        journal.write(persists)
    assert last_index(open_journal(directory)) >= 20


def test_parent_that_is_made_with_a_directory_stays(disk):
    """Fails if a power loss removes a parent of a new directory."""
    path = disk.root / "lib" / "data"
    open_directory(path, "test", "a").journal.write([make_persist([1])])
    disk.lose_power(losing("mkdir *"))
    assert last_index(open_journal(path)) == 1


def test_end_at_each_operation_of_the_creation_is_no_damage(disk):
    """Fails if a directory that was never in use counts as damaged.

    Among others, the process ends between the creation of the identity file
    and that of the first segment.
    """
    for steps in itertools.count(1):
        for end in (
            disk.kill,
            functools.partial(disk.lose_power, losing("*")),
        ):
            path = disk.root / f"data{steps}"
            disk.steps_left = steps
            try:
                open_journal(path)
            except CrashError:
                is_done = False
            else:
                is_done = True
            end()
            open_journal(path).journal.write([make_persist([1])])
            disk.kill()
            assert last_index(open_journal(path)) == 1
            disk.kill()
            shutil.rmtree(path)
            sync_directory(disk.root)
        if is_done:
            assert steps > 10
            return


@pytest.mark.parametrize("seed", SEEDS)
def test_random_losses_keep_what_a_replica_relies_on(disk, monkeypatch, seed):
    """Fails if a kill or a power loss damages the directory or loses data.

    A replica relies on what a write returned for and on what it recovered
    when it started. Small segments make the writes start and remove many.
    """
    monkeypatch.setattr(journals, "SEGMENT_BYTES", 300)
    monkeypatch.setattr(journals, "COMPACT_BYTES", 100)
    schedule = Schedule(disk, seed)
    for _ in range(RUNS):
        with logbook.TestHandler() as log:
            with pytest.raises(CrashError):
                schedule.run()
            # The process may also end while it moves damaged files aside.
            errors = [
                (r.message, r.extra)
                for r in log.records
                if r.level >= logbook.ERROR
            ]
        assert not errors
        schedule.end()


@pytest.mark.parametrize("seed", SEEDS)
def test_random_losses_while_damaged_files_move_keep_no_voter(
    disk, directory, monkeypatch, seed
):
    """Fails if the old identity opens once its directory is damaged.

    Directories list their files in any order. A new identity that was
    returned must stay.
    """
    source = random.Random(seed)
    iterdir = type(directory).iterdir
    monkeypatch.setattr(
        type(directory),
        "iterdir",
        lambda path: source.sample(paths := sorted(iterdir(path)), len(paths)),
    )
    damaged_id = open_journal(directory).replica_id
    disk.kill()
    disk.corrupt(directory / f"segment-000000000{source.choice('23')}", 20)
    new_id = ""
    for _ in range(6):
        disk.steps_left = source.randrange(1, 30)
        with contextlib.suppress(CrashError):
            storage = open_directory(directory, "test", "a")
            assert storage.replica_id != damaged_id
            assert storage.replica_id == (new_id or storage.replica_id)
            new_id = storage.replica_id
        if source.random() < 0.5:
            disk.kill()
        else:
            disk.lose_power(random_fate(source))


def test_second_move_of_damaged_files_keeps_no_voter(
    disk, directory, monkeypatch
):
    """Fails if a restart relies on the unsynced move of the identity.

    The process is killed after it has moved the identity file, and the power
    fails after the restart has moved the segments.
    """
    before = open_journal(directory)
    disk.kill()
    disk.corrupt(directory / "segment-0000000002", 20)
    iterdir = type(directory).iterdir
    monkeypatch.setattr(
        type(directory), "iterdir", lambda path: sorted(iterdir(path))
    )
    with disk.crash("after rename *identity*"):
        open_directory(directory, "test", "a")
    with disk.crash("before sync damaged"):
        open_directory(directory, "test", "a")
    disk.lose_power(
        losing("* identity", "rename identity*", "unlink segment-0000000001")
    )
    check_old_identity_keeps_its_log(directory, before)


@pytest.mark.parametrize("continues", [False, True])
def test_entry_that_was_read_stays(disk, directory, continues):
    """Fails if a restart relies on an entry that is not durable.

    The loss shows as damage only if a later entry was written after the
    restart. Without one, the replica votes with a shorter log.
    """
    journal = open_journal(directory).journal
    with disk.crash("before sync segment-0000000004"):
        journal.write([make_persist([10])])
    storage = open_journal(directory)
    assert last_index(storage) == 10
    if continues:
        storage.journal.write([make_persist([11])])
    disk.lose_power(losing("write segment-0000000004"))
    assert last_index(open_journal(directory)) == (11 if continues else 10)


def test_compaction_while_the_next_snapshot_is_written_keeps_one(
    disk, directory
):
    """Fails if the older snapshot goes before the newer one is durable.

    The snapshot writer and the journal writer have a thread each. Here the
    compaction of one snapshot runs when the next one has its name, but the
    directory is not synced yet.
    """
    journal = open_journal(directory).journal
    compact(journal)
    journal.write([make_persist(LATER_ENTRIES)])
    write_snapshot(directory, make_snapshot(11))

    compaction = functools.partial(
        journal.write, [make_persist(compact_index=11)]
    )
    with (
        disk.crash("before sync data"),
        after_rename(disk, compaction),
    ):
        write_snapshot(directory, make_snapshot(12))
    disk.lose_power(losing("rename snapshot-*"))
    assert last_index(open_journal(directory)) == 12

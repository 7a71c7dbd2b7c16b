"""Tests of the journal and of the recovery from damaged or lost files."""

import errno
import functools
import os
import random
import shutil

import pytest

from wigeonport import durable_files, journals
from wigeonport.durable_files import DiskFullError
from wigeonport.journal_records import SegmentHeader, encode_record
from wigeonport.journals import JournalError
from wigeonport.memberships import Member, Members
from wigeonport.recoveries import open_directory
from wigeonport.replica_events import HardState, Persist, Snapshot
from wigeonport.replication_messages import DATA, Entry
from wigeonport.snapshots import (
    FormatError,
    decode_state,
    encode_state,
    write_snapshot,
)

MEMBERS = Members([Member("a/1", True, True)])


def make_persist(entries=(), hard_state=None, snapshot=None, compact_index=0):
    """Returns a Persist with an entry for each (index, term) pair."""
    persist = Persist(1)
    persist.entries = [
        Entry(index, term, DATA, b"entry %d" % index)
        for index, term in entries
    ]
    persist.hard_state = hard_state
    persist.snapshot = snapshot
    persist.compact_index = compact_index
    return persist


def index_term_pairs(storage):
    """Returns the (index, term) pairs of the recovered entries."""
    return [(e.index, e.term) for e in storage.recovered.entries]


@pytest.fixture
def directory(tmp_path):
    """A closed data directory with a vote and three synced entries."""
    path = tmp_path / "data"
    journal = open_directory(path, "test", "a").journal
    journal.write([make_persist(hard_state=HardState(3, "b/1"))])
    for index in (1, 2, 3):
        journal.write([make_persist([(index, 1)])])
    journal.close()
    return path


def reopen(path, node="a"):
    """Opens a directory, closes its files and returns the storage."""
    storage = open_directory(path, "test", node)
    storage.journal.close()
    return storage


def test_reopening_returns_what_was_synced(directory):
    """Fails if a restart loses entries, the term or the vote."""
    for _ in range(3):
        storage = reopen(directory)
        assert index_term_pairs(storage) == [(1, 1), (2, 1), (3, 1)]
        assert storage.recovered.hard_state.vote == "b/1"
        assert not storage.damage


def test_write_cut_off_at_each_byte_is_dropped(directory, tmp_path):
    """Fails if a crash in the middle of a write counts as damage.

    The incomplete record must not be read either, and the journal must go
    on after it.
    """
    segment = sorted(directory.glob("segment-*"))[-1]
    data = segment.read_bytes()
    start = data.rfind(b"WGJ")
    for size in range(start, len(data)):
        copy = tmp_path / f"copy{size}"
        shutil.copytree(directory, copy)
        (copy / segment.name).write_bytes(data[:size])
        storage = open_directory(copy, "test", "a")
        assert not storage.damage, f"cut at byte {size}"
        assert index_term_pairs(storage) == [(1, 1), (2, 1)]
        storage.journal.write([make_persist([(3, 2)])])
        storage.journal.close()
        assert index_term_pairs(reopen(copy)) == [(1, 1), (2, 1), (3, 2)]


def test_flipped_bit_in_the_middle_gives_a_new_identity(directory, tmp_path):
    """Fails if a replica that lost acknowledged entries can still vote.

    A flipped bit before the last record damages entries that were synced.
    The replica must start empty and under a new id.
    """
    segment = sorted(directory.glob("segment-*"))[-1]
    data = segment.read_bytes()
    before = reopen(directory)
    for position in range(0, data.rfind(b"WGJ"), 7):
        copy = tmp_path / f"copy{position}"
        shutil.copytree(directory, copy)
        damaged = bytearray(data)
        damaged[position] ^= 0x10
        (copy / segment.name).write_bytes(damaged)
        storage = reopen(copy)
        assert storage.damage, f"bit flipped at byte {position}"
        assert storage.replica_id != before.replica_id
        assert index_term_pairs(storage) == []
        assert storage.recovered.hard_state.term == 0
        assert (copy / "damaged" / segment.name).exists()


def remove_segment(path):
    """Removes the oldest segment file."""
    sorted(path.glob("segment-*"))[0].unlink()


def remove_identity(path):
    """Removes the identity file."""
    (path / "identity").unlink()


def damage_snapshot(path):
    """Writes a snapshot and flips a bit in its last byte."""
    snapshot = Snapshot(3, 1, MEMBERS, b"state")
    write_snapshot(path, snapshot)
    file = sorted(path.glob("snapshot-*"))[-1]
    data = bytearray(file.read_bytes())
    data[-1] ^= 1
    file.write_bytes(data)


def remove_snapshot(path):
    """Removes the snapshot whose entries the log no longer holds."""
    write_snapshot(path, Snapshot(9, 1, MEMBERS, b"state"))
    reopen(path)
    sorted(path.glob("snapshot-*"))[-1].unlink()


def remove_last_record(path):
    """Removes the last record of a segment that is not the newest."""
    segment = sorted(path.glob("segment-*"))[-2]
    os.truncate(segment, segment.read_bytes().rfind(b"WGJ"))


def replace_identity(path):
    """Replaces the identity file by that of another directory."""
    other = path.with_name("other")
    reopen(other)
    shutil.copy(other / "identity", path / "identity")


@pytest.mark.parametrize(
    "damage",
    [
        remove_segment,
        remove_identity,
        remove_snapshot,
        remove_last_record,
        damage_snapshot,
        replace_identity,
    ],
)
def test_lost_files_give_a_new_identity(directory, damage):
    """Fails if a replica that lost part of its files can still vote.

    It must start empty, on its disk and under a new id, and keep that id.
    """
    before = reopen(directory)
    damage(directory)
    storage = reopen(directory)
    assert storage.damage
    assert storage.durable
    assert storage.replica_id != before.replica_id
    assert (index_term_pairs(storage), storage.recovered.snapshot) == (
        [],
        None,
    )
    assert reopen(directory).replica_id == storage.replica_id


def test_directory_of_another_node_stays_unchanged_and_unused(directory):
    """Fails if one disk counts as two voters after it was swapped.

    Another node must not use or change the directory.
    """
    before = reopen(directory)
    files = {path: path.read_bytes() for path in directory.iterdir()}
    storage = reopen(directory, "b")
    assert not storage.durable
    assert storage.replica_id.startswith("b/")
    assert files == {p: p.read_bytes() for p in directory.iterdir()}
    assert reopen(directory).replica_id == before.replica_id


@pytest.mark.parametrize("error_number", [errno.EACCES, errno.EINVAL])
def test_parent_that_cannot_be_synced_stops_no_start(
    directory, monkeypatch, error_number
):
    """Fails if a restart needs more rights than to its own directory."""
    open_file = os.open

    def refuse(path, *arguments, **keywords):
        if os.fspath(path) == os.fspath(directory.parent):
            raise OSError(error_number, os.strerror(error_number))
        return open_file(path, *arguments, **keywords)

    monkeypatch.setattr(os, "open", refuse)
    assert index_term_pairs(reopen(directory)) == [(1, 1), (2, 1), (3, 1)]


def test_directory_in_use_is_refused(directory):
    """Fails if two processes can write to one journal."""
    storage = open_directory(directory, "test", "a")
    with pytest.raises(BlockingIOError):
        open_directory(directory, "test", "a")
    storage.journal.close()


def test_newer_format_is_refused_and_kept(directory):
    """Fails if an older release moves the data of a newer one aside.

    After a downgrade the format is unknown, which is not damage.
    """
    segment = sorted(directory.glob("segment-*"))[-1]
    header = SegmentHeader(99, 1, "x", HardState(0, ""), 0, False)
    segment.write_bytes(encode_record(header))
    with pytest.raises(FormatError):
        open_directory(directory, "test", "a")
    assert segment.exists()


@pytest.mark.parametrize(
    ("name", "error_number"),
    [
        ("write_all", errno.EIO),
        ("sync_file", errno.EIO),
        ("sync_file", errno.ENOSPC),
    ],
)
def test_failed_write_is_never_retried(
    directory, monkeypatch, name, error_number
):
    """Fails if the journal writes or syncs again after an error.

    A second sync may report success although data was lost.
    """
    storage = open_directory(directory, "test", "a")
    calls = []

    def fail(*arguments):
        calls.append(arguments)
        raise OSError(error_number, "failed")

    monkeypatch.setattr(durable_files, name, fail)
    for _ in range(2):
        with pytest.raises(JournalError):
            storage.journal.write([make_persist([(4, 1)])])
    assert len(calls) == 1
    storage.journal.close()


class ProcessKilledError(Exception):
    """Ends a write at the point where the test kills the process."""


class PowerSupply:
    """Follows what the syncs of files cover, until the power is lost.

    Attributes:
        synced_bytes: Maps the path of a file to its size at its last sync.
        kill_before_sync: Whether the next sync of a file is not reached.
    """

    def __init__(self, monkeypatch):
        self.synced_bytes = {}
        self.kill_before_sync = False
        self.sync_file = durable_files.sync_file
        monkeypatch.setattr(durable_files, "sync_file", self.sync)

    def sync(self, descriptor):
        """Syncs a file, unless the process is killed before."""
        if self.kill_before_sync:
            self.kill_before_sync = False
            raise ProcessKilledError
        self.sync_file(descriptor)
        path = os.readlink(f"/proc/self/fd/{descriptor}")
        self.synced_bytes[path] = os.fstat(descriptor).st_size

    def lose(self, directory):
        """Removes what was written to the segments after their last sync."""
        for path in directory.glob("segment-*"):
            os.truncate(path, self.synced_bytes.get(str(path), 0))


@pytest.fixture
def power_supply(monkeypatch):
    """PowerSupply of the directories that the test opens after it."""
    return PowerSupply(monkeypatch)


@pytest.mark.parametrize("later_entries", [0, 1])
def test_entry_recovered_after_a_kill_survives_a_power_loss(
    power_supply, directory, later_entries
):
    """Fails if a replica acknowledges a recovered entry that is not synced.

    The kill comes between the write and the sync of the entry.
    """
    journal = open_directory(directory, "test", "a").journal
    power_supply.kill_before_sync = True
    with pytest.raises(ProcessKilledError):
        journal.write([make_persist([(4, 1)])])
    journal.close()
    restarted = open_directory(directory, "test", "a")
    relied_on = index_term_pairs(restarted)
    assert relied_on == [(1, 1), (2, 1), (3, 1), (4, 1)]
    for index in range(5, 5 + later_entries):
        restarted.journal.write([make_persist([(index, 1)])])
        relied_on.append((index, 1))
    restarted.journal.close()
    power_supply.lose(directory)
    storage = reopen(directory)
    assert storage.damage == ""
    assert index_term_pairs(storage) == relied_on


class FillingDisk:
    """Makes calls that need space fail while the disk is full.

    Attributes:
        random: Source of random numbers.
        full_share: Share of the calls that find no space.
        calls: Number of calls that found none.
    """

    CALLS = ("write", "open", "ftruncate", "replace")

    def __init__(self, monkeypatch, seed=1, full_share=0.0):
        self.random = random.Random(seed)
        self.full_share = full_share
        self.calls = 0
        for name in self.CALLS:
            real = getattr(os, name)
            monkeypatch.setattr(os, name, functools.partial(self.call, real))

    def call(self, real, *arguments, **keywords):
        """Carries out a call, or fails after an incomplete write."""
        needs_space = real.__name__ != "open" or arguments[1] & os.O_CREAT
        if not needs_space or self.random.random() >= self.full_share:
            return real(*arguments, **keywords)
        self.calls += 1
        if real.__name__ == "write":
            descriptor, data = arguments
            real(descriptor, data[: self.random.randrange(len(data))])
        raise OSError(errno.ENOSPC, "no space left on device")


@pytest.fixture
def filling_disk(monkeypatch):
    """Returns a function that makes a FillingDisk from a seed and a share."""
    return functools.partial(FillingDisk, monkeypatch)


def test_full_disk_keeps_the_journal_usable(directory, filling_disk):
    """Fails if a full disk ends the process, or a partial record stays.

    The replica must go on as soon as there is space, with all its entries.
    """
    storage = open_directory(directory, "test", "a")
    disk = filling_disk()
    disk.full_share = 1.0
    persist = make_persist([(4, 1)])
    for _ in range(3):
        with pytest.raises(DiskFullError):
            storage.journal.write([persist])
    disk.full_share = 0.0
    storage.journal.write([persist])
    storage.journal.write([make_persist([(5, 1)])])
    storage.journal.close()
    assert index_term_pairs(reopen(directory)) == [
        (index, 1) for index in (1, 2, 3, 4, 5)
    ]


def test_restart_on_a_full_disk_keeps_the_data(directory, filling_disk):
    """Fails if a replica gives up its data or its lock on a full disk."""
    disk = filling_disk()
    disk.full_share = 1.0
    for _ in range(3):
        with pytest.raises(DiskFullError):
            open_directory(directory, "test", "a")
    disk.full_share = 0.0
    storage = reopen(directory)
    assert not storage.damage
    assert index_term_pairs(storage) == [(1, 1), (2, 1), (3, 1)]


def test_interrupted_writes_in_the_last_two_segments(directory):
    """Fails if an unfinished segment makes the one before it look damaged.

    On a full disk a segment without a header can remain after a power loss,
    and the segment before it stays in use.
    """
    segment = sorted(directory.glob("segment-*"))[-1]
    number = int(segment.name.removeprefix("segment-"))
    with segment.open("ab") as file:
        file.write(b"WGJ")
    unfinished = segment.with_name(f"segment-{number + 1:010d}")
    unfinished.write_bytes(b"WGJ")
    storage = reopen(directory)
    assert not storage.damage
    assert index_term_pairs(storage) == [(1, 1), (2, 1), (3, 1)]


def test_compaction_makes_room_on_a_full_disk(
    directory, filling_disk, monkeypatch
):
    """Fails if a full disk keeps the journal from removing old segments."""
    storage = open_directory(directory, "test", "a")
    storage.journal.write([make_persist([(4, 1)])])
    write_snapshot(directory, Snapshot(3, 1, MEMBERS, b"state"))
    monkeypatch.setattr(journals, "COMPACT_BYTES", 0)
    disk = filling_disk()
    disk.full_share = 1.0
    storage.journal.write([make_persist(compact_index=3)])
    disk.full_share = 0.0
    storage.journal.close()
    assert len(list(directory.glob("segment-*"))) == 1
    assert index_term_pairs(reopen(directory)) == [(4, 1)]


@pytest.mark.parametrize("seed", range(12))
def test_random_writes_on_a_filling_disk_agree_with_a_model(
    tmp_path, monkeypatch, filling_disk, seed
):
    """Fails if a write that found no space loses or damages other entries.

    A third of the failed writes are followed by a restart instead of a
    repetition; the recovered log then is that before or after the write.
    """
    monkeypatch.setattr(journals, "SEGMENT_BYTES", 300)
    monkeypatch.setattr(journals, "COMPACT_BYTES", 100)
    source = random.Random(seed)
    disk = filling_disk(seed)
    model = Model()
    path = tmp_path / "data"
    storage = open_directory(path, "test", "a")
    for _ in range(60):
        before = list(model.entries)
        persist = model.random_persist(source)
        if persist is None:
            write_snapshot(path, Snapshot(*model.base, MEMBERS, b"state"))
            before = model.entries
            persist = make_persist(compact_index=model.base[0])
        while True:
            disk.full_share = 0.3
            try:
                storage.journal.write([persist])
                break
            except DiskFullError:
                pass
            finally:
                disk.full_share = 0.0
            if source.random() < 0.3:
                storage.journal.close()
                storage = open_directory(path, "test", "a")
                assert not storage.damage
                assert index_term_pairs(storage) in (before, model.entries)
    storage.journal.close()
    assert disk.calls > 10
    storage = reopen(path)
    assert index_term_pairs(storage) == model.entries
    assert storage.recovered.hard_state.term == model.hard_state.term


def test_snapshot_without_its_segment_drops_a_log_that_conflicts(directory):
    """Fails if entries that conflict with a received snapshot survive.

    The process crashed after it wrote the snapshot and before it started
    the new segment, so that the old segment still holds the entries.
    """
    write_snapshot(directory, Snapshot(2, 9, MEMBERS, b"state"))
    storage = open_directory(directory, "test", "a")
    assert index_term_pairs(storage) == []
    storage.journal.write([make_persist([(3, 9)])])
    storage.journal.close()
    assert index_term_pairs(reopen(directory)) == [(3, 9)]


class Model:
    """Model of the log that the journal must recover.

    Attributes:
        entries: Pairs (index, term) of the entries after the snapshot.
        hard_state: Newest HardState.
        base: Pair (index, term) of the snapshot.
    """

    def __init__(self):
        self.entries = []
        self.hard_state = HardState(0, "")
        self.base = (0, 0)

    def random_persist(self, source):
        """Returns a random Persist and applies it to the model.

        None asks for a snapshot at ``base`` and the compaction up to it.
        """
        last = self.entries[-1] if self.entries else self.base
        kind = source.randrange(10)
        if kind == 0:
            self.hard_state = HardState(self.hard_state.term + 1, "b/1")
            return make_persist(hard_state=self.hard_state)
        if kind == 1 and self.entries:
            self.base = source.choice(self.entries)
            self.entries = [e for e in self.entries if e > self.base]
            return None
        if kind == 2:
            self.base = (last[0] + source.randrange(1, 9), last[1] + 1)
            self.entries = []
            return make_persist(
                snapshot=Snapshot(*self.base, MEMBERS, b"state")
            )
        first, term = last[0] + 1, last[1]
        if kind < 5 and self.entries:
            first = source.choice(self.entries)[0]
            term += 1
        new = [
            (first + offset, term) for offset in range(source.randrange(1, 5))
        ]
        self.entries = [e for e in self.entries if e[0] < first] + new
        return make_persist(new)


@pytest.mark.parametrize("seed", range(12))
def test_random_writes_and_restarts_agree_with_a_model(
    tmp_path, monkeypatch, seed
):
    """Fails if compaction or replacement of entries loses other entries.

    Small segments make the random writes start and remove many of them.
    """
    monkeypatch.setattr(journals, "SEGMENT_BYTES", 300)
    source = random.Random(seed)
    model = Model()
    path = tmp_path / "data"
    storage = open_directory(path, "test", "a")
    for _ in range(60):
        persist = model.random_persist(source)
        if persist is None:
            write_snapshot(path, Snapshot(*model.base, MEMBERS, b"state"))
            persist = make_persist(compact_index=model.base[0])
        storage.journal.write([persist])
        if source.random() < 0.2:
            storage.journal.close()
            storage = open_directory(path, "test", "a")
            assert not storage.damage
            assert index_term_pairs(storage) == model.entries
            assert storage.recovered.hard_state.term == model.hard_state.term
    assert len(list(path.glob("snapshot-*"))) <= 1
    storage.journal.close()


@pytest.mark.parametrize("count", [0, 1, 100, 101, 250])
def test_sliced_state_reads_back(count):
    """Fails if the encoding loses a separator between two slices."""
    rows = {f"key-{number}": {"row": number} for number in range(count)}
    document = {
        "format": 1,
        "claims": {"rows": rows, "order": list(rows)},
        "empty": {},
        "list": list(range(count)),
    }
    assert decode_state(encode_state(document)) == document

"""Tests of the simulated disk."""

import os
import random

import pytest
from disk_changes import losing, random_fate
from disk_simulations import CrashError

from wigeonport.durable_files import (
    open_empty,
    replace_file,
    sync_directory,
    sync_file,
    write_all,
)


@pytest.fixture
def path(disk):
    """A path at which a file with the content ``old`` is durable."""
    path = disk.root / "file"
    replace_file(path, [b"old"])
    disk.lose_power(losing("*"))
    assert path.read_bytes() == b"old"
    return path


def test_power_loss_undoes_a_rename_before_the_directory_is_synced(disk, path):
    """Fails if the simulation keeps names that no sync covers."""
    with disk.crash("before sync test_*"):
        replace_file(path, [b"new"])
    assert path.read_bytes() == b"new"
    disk.lose_power(losing("rename file"))
    assert path.read_bytes() == b"old"
    assert path.with_name("file.tmp").read_bytes() == b"new"


def test_power_loss_undoes_removals_independently(disk, path):
    """Fails if the simulation keeps the order of changes of names."""
    other = disk.root / "other"
    replace_file(other, [b"other"])
    path.unlink()
    other.unlink()
    disk.lose_power(losing("unlink file"))
    assert path.exists()
    assert not other.exists()


def test_power_loss_keeps_the_name_of_a_synced_new_file(disk):
    """Fails if a new file needs a sync of its directory too."""
    synced, unsynced = disk.root / "synced", disk.root / "unsynced"
    for path in (synced, unsynced):
        descriptor = open_empty(path)
        write_all(descriptor, b"data")
        if path == synced:
            sync_file(descriptor)
    disk.lose_power(losing("*"))
    assert synced.read_bytes() == b"data"
    assert not unsynced.exists()


def test_power_loss_keeps_a_synced_file_that_replaced_an_unsynced_one(disk):
    """Fails if an earlier removal of the name takes the new file."""
    path = disk.root / "file"
    os.close(open_empty(path))
    path.unlink()
    descriptor = open_empty(path)
    sync_file(descriptor)
    os.close(descriptor)
    sync_directory(disk.root)
    disk.lose_power(losing("nothing"))
    assert path.exists()


def test_kill_keeps_writes_that_a_power_loss_then_undoes(disk, path):
    """Fails if a killed process counts as a sync."""
    descriptor = open_empty(path, append=True)
    with disk.crash("during write file"):
        write_all(descriptor, b"new content")
    assert path.read_bytes() == b"new c"
    disk.lose_power(losing("write file"))
    assert path.read_bytes() == b""


def test_ended_process_changes_nothing_more(disk, path):
    """Fails if code that handles an exception still reaches the disk."""
    disk.steps_left = 1
    for _ in range(2):
        with pytest.raises(CrashError):
            path.unlink()
    disk.kill()
    assert path.exists()


def test_random_fate_keeps_loses_and_tears_writes(disk, path):
    """Fails if a kind of loss never occurs in the random tests."""
    source = random.Random(0)
    contents = set()
    for _ in range(400):
        descriptor = open_empty(path)
        sync_file(descriptor)
        os.write(descriptor, b"ab")
        os.write(descriptor, b"cd")
        disk.lose_power(random_fate(source))
        contents.add(path.read_bytes())
    assert {b"", b"ab", b"abcd", b"\0\0cd", b"a", b"a\0"} <= contents


def test_directory_sync_keeps_its_names_only(disk):
    """Fails if the sync of a directory covers the content of its files."""
    path = disk.root / "data" / "file"
    path.parent.mkdir()
    descriptor = open_empty(path)
    write_all(descriptor, b"data")
    sync_directory(path.parent)
    disk.lose_power(losing("write file"))
    assert path.read_bytes() == b""
    os.remove(path)
    sync_directory(disk.root)
    disk.lose_power(losing("*"))
    assert path.exists()

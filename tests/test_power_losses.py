"""Tests of groups whose voters are killed and then lose their power.

A killed process leaves its unsynced writes in the cache of the kernel. The
process that restarts reads them and may rely on them, and a later loss of
power removes them. Names of files are kept; only their content goes back.
"""

import os
import shutil
import stat
import threading
from pathlib import Path

import pytest
import trio
from consensus_groups import SEEDS, ProcessKilledError

# An election takes about 1 s; the rest is for a busy machine.
ELECTION_WAIT_S = 10
# Ends a hanging sync if the test fails before it kills the node.
MAX_HANG_S = 15


class DiskCache:
    """Keeps the content of each file as of its last sync.

    Attributes:
        synced: Maps the inode of a file to the content that its last sync
            covered.
        descriptors: Descriptors that keep the synced files open, so that no
            inode number is given to another file.
        hanging_node: Node whose syncs of segments hang until it is killed,
            or "".
        hanging: Event set once a sync hangs.
        killed: Event set once the node is killed.
    """

    def __init__(self):
        self.synced = {}
        self.descriptors = []
        self.hanging_node = ""
        self.hanging = threading.Event()
        self.killed = threading.Event()

    def sync(self, descriptor):
        """Replaces os.fsync and os.fdatasync.

        Raises:
            ProcessKilledError: If the node of the file is killed meanwhile.
        """
        status = os.fstat(descriptor)
        if stat.S_ISDIR(status.st_mode):
            return
        link = Path(f"/proc/self/fd/{descriptor}")
        path = link.readlink()
        is_segment = path.name.startswith("segment-")
        if is_segment and path.parent.name == self.hanging_node:
            self.hanging.set()
            self.killed.wait(MAX_HANG_S)
            raise ProcessKilledError
        if status.st_ino not in self.synced:
            self.descriptors.append(os.dup(descriptor))
        self.synced[status.st_ino] = link.read_bytes()

    async def wait_until_hanging(self):
        """Waits until the hanging node has written a record."""
        while not self.hanging.is_set():
            await trio.sleep(0.02)

    async def kill(self, group):
        """Kills the hanging node and waits for the end of its task."""
        consensus = group.tasks[self.hanging_node]
        self.killed.set()
        await group.stopped[consensus].wait()
        self.hanging_node = ""

    def lose_power(self, directory):
        """Takes all files of a directory back to their last sync."""
        for path in list(directory.rglob("*")):
            if path.is_dir():
                continue
            content = self.synced.get(path.stat().st_ino)
            if content is None:
                path.unlink()
            else:
                path.write_bytes(content)


@pytest.fixture
def disk_cache(monkeypatch):
    """A DiskCache that all syncs of the process go to.

    It replaces the calls of the operating system, so that it sees every sync
    whichever function of wigeonport makes it.
    """
    cache = DiskCache()
    monkeypatch.setattr(os, "fsync", cache.sync)
    monkeypatch.setattr(os, "fdatasync", cache.sync)
    yield cache
    for descriptor in cache.descriptors:
        os.close(descriptor)


async def claim_all(group, keys, acknowledged):
    """Claims keys at the leader until each claim is acknowledged.

    Args:
        group: Group.
        keys: Keys to claim.
        acknowledged: Dictionary that gets the index for each key.
    """
    for key in keys:
        while key not in acknowledged:
            answer = await group.claim(await group.leader(), key)
            if answer.outcome == "committed":
                acknowledged[key] = answer.index


async def wait_for_journals(group, index):
    """Waits until the journals of all running nodes contain an index."""
    for consensus in list(group.tasks.values()):
        while consensus.journal.last_index < index:
            await trio.sleep(0.02)


async def lose_power(group, cache, emptied_node):
    """Takes the power of all nodes and the disk of one, and restarts all."""
    for node in list(group.tasks):
        await group.stop(node)
    for node in SEEDS:
        cache.lose_power(group.directory / node)
    shutil.rmtree(group.directory / emptied_node)
    for node in SEEDS:
        await group.start(node)


async def check_acknowledged(group, acknowledged):
    """Checks that a leader is elected and has every acknowledged claim."""
    damage = {node: text for node, text in group.damage.items() if text}
    leader = None
    with trio.move_on_after(ELECTION_WAIT_S):
        leader = await group.leader()
    assert leader, f"no leader is elected; damage: {damage}"
    lost = []
    for key in acknowledged:
        answer = await group.claim(leader, key, "other")
        if type(answer.answer).__name__ != "ClaimInProgress":
            lost.append(key)
    assert not lost, f"acknowledged claims are lost; damage: {damage}"


@pytest.mark.parametrize("emptied", ["leader", "follower"])
@pytest.mark.parametrize("killed", ["leader", "follower"])
def test_group_survives_a_kill_a_power_loss_and_a_lost_disk(
    run_group, disk_cache, killed, emptied
):
    """Fails if a restarted voter loses a record that it read unsynced.

    The voter is killed between the write and the sync of a record that the
    others hold, goes on after it and loses it with the power. Its directory
    would count as damaged, and with the disk of another voter lost too, no
    quorum with data would be left.
    """

    async def scenario(group):
        acknowledged = {}
        for node in SEEDS:
            await group.start(node)
        first_leader = await group.leader()
        follower = next(node for node in SEEDS if node != first_leader)
        killed_node = first_leader if killed == "leader" else follower
        keys = [f"before-{number}" for number in range(8)]
        await claim_all(group, keys, acknowledged)
        await wait_for_journals(group, max(acknowledged.values()))
        disk_cache.hanging_node = killed_node
        await claim_all(group, ["unsynced"], acknowledged)
        await disk_cache.wait_until_hanging()
        await disk_cache.kill(group)
        await group.leader()
        await group.start(killed_node)
        keys = [f"after-{number}" for number in range(8)]
        await claim_all(group, keys, acknowledged)
        await wait_for_journals(group, max(acknowledged.values()))
        last_leader = await group.leader()
        others = [node for node in SEEDS if node != killed_node]
        emptied_node = next(
            node
            for node in others
            if (node == last_leader) == (emptied == "leader")
        )
        await lose_power(group, disk_cache, emptied_node)
        await check_acknowledged(group, acknowledged)

    run_group(scenario)


def test_record_that_a_restart_read_counts_only_once_durable(
    run_group, disk_cache
):
    """Fails if a claim is acknowledged that only one disk holds.

    A follower is killed between the write and the sync of a record, while
    the third voter is down. The leader commits the record with the restarted
    follower. After a loss of power and of the leader's disk, the follower
    and the third voter would go on without the claim, and nothing would
    count as damaged.
    """

    async def scenario(group):
        acknowledged = {}
        for node in SEEDS:
            await group.start(node)
        leader = await group.leader()
        follower, third = (node for node in SEEDS if node != leader)
        await claim_all(group, ["before"], acknowledged)
        await wait_for_journals(group, max(acknowledged.values()))
        await group.stop(third)
        async with trio.open_nursery() as nursery:
            disk_cache.hanging_node = follower
            nursery.start_soon(claim_all, group, ["unsynced"], acknowledged)
            await disk_cache.wait_until_hanging()
            assert "unsynced" not in acknowledged
            await disk_cache.kill(group)
            await group.start(follower)
        await lose_power(group, disk_cache, leader)
        await check_acknowledged(group, acknowledged)

    run_group(scenario)

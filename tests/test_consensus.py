"""Tests of the consensus task with journals on disk."""

import errno

import pytest
import trio
from consensus_groups import SEEDS

from wigeonport import consensus_writers, durable_files
from wigeonport.channels import ask
from wigeonport.consensus_requests import Read
from wigeonport.journals import Journal, JournalError


def test_proposals_survive_a_leader_change_and_a_full_restart(run_group):
    """Fails if an acknowledged command is lost.

    First the leader stops, then all replicas stop and start again.
    """

    async def scenario(group):
        for node in SEEDS:
            await group.start(node)
        first_leader = await group.leader()
        follower = next(node for node in SEEDS if node != first_leader)
        acknowledged_indexes = [
            (await group.claim(node, f"{number}")).index
            for number in range(60)
            for node in (first_leader, follower)
        ]
        await group.stop(first_leader)
        second_leader = await group.leader()
        assert second_leader != first_leader
        assert await group.read_applied_index(second_leader) >= max(
            acknowledged_indexes
        )
        answer = await group.claim(second_leader, "7", "other")
        assert type(answer.answer).__name__ == "ClaimInProgress"
        for node in list(group.tasks):
            await group.stop(node)
        for node in SEEDS:
            await group.start(node)
        third_leader = await group.leader()
        assert await group.read_applied_index(third_leader) >= max(
            acknowledged_indexes
        )
        answer = await group.claim(third_leader, "59", "other")
        assert type(answer.answer).__name__ == "ClaimInProgress"

    run_group(scenario)


def test_view_that_raises_does_not_end_the_task(run_group):
    """Fails if an exception in the view of a read stops the replica."""

    async def scenario(group):
        for node in SEEDS:
            await group.start(node)
        leader = await group.leader()
        inbox = group.tasks[leader].inbox
        result = await ask(
            inbox, lambda r: Read(lambda state: state.missing, r), 5_000
        )
        assert "the view failed" in result.ok.error
        assert await group.read_applied_index(leader) >= 1

    run_group(scenario)


def test_lost_disk_and_diskless_node_join_as_learners(run_group):
    """Fails if a replica that lost its data votes under its old id.

    Its directory is empty when it starts again, so that it must join under
    a new id and become a voter after it has caught up. A node without a
    disk must never become a voter.
    """

    async def scenario(group):
        for node in SEEDS:
            await group.start(node)
        await group.start("m", durable=False)
        leader = await group.leader()
        for number in range(80):
            await group.claim(leader, f"{number}")
        emptied_node = next(node for node in SEEDS if node != leader)
        old_id = (await group.status(emptied_node)).replica_id
        await group.stop(emptied_node)
        await trio.sleep(0.5)
        (group.directory / emptied_node).rename(group.directory / "gone")
        await group.start(emptied_node)
        while True:
            members = (await group.status(leader)).members
            voters = {m.replica_id for m in members if m.voter}
            nodes = {m.replica_id.partition("/")[0] for m in members}
            if len(voters) == 3 and old_id not in voters and "m" in nodes:
                break
            await trio.sleep(0.05)
        assert not any(voter.startswith("m/") for voter in voters)
        for node in (emptied_node, "m"):
            assert await group.read_applied_index(node) >= 80

    run_group(scenario)


def test_failed_sync_ends_the_task(run_group, monkeypatch):
    """Fails if the replica acknowledges a command after a failed sync."""

    async def scenario(group):
        for node in SEEDS:
            await group.start(node)
        leader = await group.leader()

        def fail(descriptor):
            raise OSError(28, "no space left on device")

        monkeypatch.setattr(durable_files, "sync_file", fail)
        answer = await group.claim(leader, "key")
        assert answer.outcome == "unknown"
        await trio.sleep(5)

    with pytest.raises(BaseExceptionGroup) as caught:
        run_group(scenario)
    assert caught.group_contains(JournalError)


@pytest.fixture
def full_disks(monkeypatch):
    """A set of nodes whose disks refuse every write of the journal."""
    nodes = set()
    write = Journal.write

    def write_if_space(journal, persists):
        if journal.directory.name in nodes:
            raise durable_files.DiskFullError(errno.ENOSPC, "no space")
        write(journal, persists)

    monkeypatch.setattr(Journal, "write", write_if_space)
    return nodes


@pytest.mark.parametrize("on_leader", [True, False])
def test_full_disk_of_one_replica_stops_no_commit(
    run_group, full_disks, on_leader
):
    """Fails if a full disk ends a replica or holds up the others.

    Nothing that is acknowledged meanwhile may depend on the full disk, and
    the replica catches up once there is space.
    """

    async def scenario(group):
        for node in SEEDS:
            await group.start(node)
        leader = await group.leader()
        others = [node for node in SEEDS if node != leader]
        full_node = leader if on_leader else others[0]
        full_disks.add(full_node)
        indexes = [
            (await group.claim(leader, f"{number}")).index
            for number in range(120)
        ]
        journal = group.tasks[full_node].journal
        assert journal.last_index < indexes[0]
        full_disks.clear()
        while journal.last_index < indexes[-1]:
            await trio.sleep(0.05)
        assert await group.read_applied_index(full_node) >= indexes[-1]

    run_group(scenario)


def test_leader_with_a_full_disk_hands_over(
    run_group, full_disks, monkeypatch
):
    """Fails if a leader with a full disk collects entries without limit."""
    monkeypatch.setattr(consensus_writers, "DISK_FULL_RESIGN_MS", 400)

    async def scenario(group):
        for node in SEEDS:
            await group.start(node)
        first_leader = await group.leader()
        full_disks.add(first_leader)
        answer = await group.claim(first_leader, "key")
        assert answer.outcome == "committed"
        while await group.leader() == first_leader:
            await trio.sleep(0.05)
        second_leader = await group.leader()
        assert (await group.claim(second_leader, "other")).outcome == (
            "committed"
        )

    run_group(scenario)


def test_no_quorum_of_disks_acknowledges_nothing(run_group, full_disks):
    """Fails if a command is acknowledged that only one disk holds."""

    async def scenario(group):
        for node in SEEDS:
            await group.start(node)
        leader = await group.leader()
        full_disks.update(node for node in SEEDS if node != leader)
        with trio.move_on_after(1.5) as waiting:
            await group.claim(leader, "key")
        assert waiting.cancelled_caught
        full_disks.clear()
        answer = await group.claim(await group.leader(), "key", "other")
        assert type(answer.answer).__name__ == "ClaimInProgress"

    run_group(scenario)


def test_full_disk_skips_a_snapshot(run_group, monkeypatch):
    """Fails if a full disk ends a replica that writes a snapshot.

    The log stays, and a later snapshot compacts it.
    """
    full = True
    write = consensus_writers.write_snapshot

    def write_if_space(directory, snapshot):
        if full:
            raise durable_files.DiskFullError(errno.ENOSPC, "no space")
        write(directory, snapshot)

    monkeypatch.setattr(consensus_writers, "write_snapshot", write_if_space)

    async def scenario(group):
        nonlocal full
        for node in SEEDS:
            await group.start(node)
        leader = await group.leader()
        for number in range(120):
            await group.claim(leader, f"{number}")
        assert not list(group.directory.glob("*/snapshot-*"))
        full = False
        for number in range(120, 240):
            await group.claim(leader, f"{number}")
        while not list(group.directory.glob("*/snapshot-*")):
            await trio.sleep(0.05)

    run_group(scenario)


def test_directory_is_measured_while_files_are_removed(tmp_path):
    """Fails if a segment that is removed meanwhile ends the process."""
    (tmp_path / "kept").write_bytes(b"12345")
    removed = tmp_path / "removed"

    class Directory:
        """Lists a file that is gone when it is looked at."""

        def iterdir(self):
            """Returns the paths."""
            return [tmp_path / "kept", removed]

    assert consensus_writers.measure_directory(Directory()) == 5


def test_snapshot_is_due_by_bytes(run_group):
    """Guards against a log of few, large entries that fills the memory.

    A snapshot was due by number of entries only.
    """

    async def scenario(group):
        for node in SEEDS:
            consensus = await group.start(node)
            consensus.snapshot_entries = 1_000_000
            consensus.snapshot_bytes = 2_000
        leader = await group.leader()
        for number in range(60):
            await group.claim(leader, f"{number}")
        log = group.tasks[leader].replica.log
        with trio.fail_after(5):
            while log.base_index == 0:
                await trio.sleep(0.05)

    run_group(scenario)

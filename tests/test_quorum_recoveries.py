"""Tests of the recovery from a quorum that is lost for good."""

import shutil

import pytest
import trio
from consensus_groups import SEEDS

from wigeonport.memberships import Member, Members
from wigeonport.probes import ReplicaReport
from wigeonport.quorum_recoveries import (
    find_objections,
    make_sole_voter,
    open_survivor,
)
from wigeonport.settings import settings_from_document


def make_settings(directory, node):
    """Returns the settings of a node of the test group."""
    return settings_from_document(
        {
            "node_id": node,
            "cluster_id": "test",
            "availability_zone": "ikeja",
            "voters": [node],
            "data_dir": str(directory),
            "key_files": ["links.key"],
        }
    ).ok


@pytest.fixture
def survivor(tmp_path, monkeypatch):
    """A survivor among three voters whose log ends at index 10."""

    class OpenedStorage:
        """Stands for the parts of a Survivor that the checks read."""

        __slots__ = ("replica_id", "last_index", "members")

    storage = OpenedStorage()
    storage.replica_id = "a/1"
    storage.last_index = 10
    storage.members = Members(
        [Member(f"{node}/1", True, True) for node in SEEDS]
    )
    return storage


def test_refuses_where_a_quorum_may_live(survivor):
    """Guards against two groups that both accept changes."""
    assert find_objections(survivor, []) == []
    follows = find_objections(survivor, [ReplicaReport("m/1", "b/1", 3, 9)])
    assert follows == ["m/1 follows the leader b/1"]
    living = find_objections(survivor, [ReplicaReport("b/1", "", 3, 9)])
    assert "2 of 3 voters live" in living[0]


def test_refuses_where_another_voter_holds_more(survivor):
    """Guards against the loss of changes that a living voter holds."""
    survivor.members = Members(
        [Member(f"{node}/1", True, True) for node in "abcde"]
    )
    longer = find_objections(survivor, [ReplicaReport("b/1", "", 3, 11)])
    assert "recover on b" in longer[0]
    shorter = find_objections(survivor, [ReplicaReport("b/1", "", 3, 10)])
    assert shorter == []


def test_refuses_on_a_learner(survivor):
    """Guards against a recovery from a replica that may lag at will."""
    survivor.replica_id = "m/1"
    assert find_objections(survivor, []) == ["m/1 is not a voter"]


def test_refuses_a_running_or_missing_replica(run_group, tmp_path):
    """Guards against changing the data of a control that runs."""
    missing = open_survivor(make_settings(tmp_path / "gone", "a"))
    assert "holds no replica" in missing.error
    assert not (tmp_path / "gone").exists()

    async def scenario(group):
        await group.start("a")
        running = open_survivor(make_settings(tmp_path / "a", "a"))
        assert "cannot be opened" in running.error
        other = open_survivor(make_settings(tmp_path / "a", "b"))
        assert "another node" in other.error

    run_group(scenario)


def test_survivor_goes_on_and_others_join_again(run_group, tmp_path):
    """Guards against a recovery that loses what the survivor holds."""

    async def scenario(group):
        for node in SEEDS:
            await group.start(node)
        leader = await group.leader()
        acked = [
            (await group.claim(leader, f"{number}")).index
            for number in range(60)
        ]
        for node in list(group.tasks):
            await group.stop(node)
        for node in SEEDS:
            if node != leader:
                shutil.rmtree(tmp_path / node)
        found = open_survivor(make_settings(tmp_path / leader, leader)).ok
        assert found.last_index >= max(acked)
        assert len(found.describe()) == 4
        make_sole_voter(found)
        found.storage.journal.close()
        await group.start(leader)
        assert await group.leader() == leader
        assert await group.read_applied_index(leader) >= max(acked)
        for node in SEEDS:
            if node != leader:
                await group.start(node)
        while True:
            members = (await group.status(leader)).members
            if sum(member.voter for member in members) == 3:
                break
            await trio.sleep(0.05)
        answer = await group.claim(leader, "7", "other")
        assert type(answer.answer).__name__ == "ClaimInProgress"

    run_group(scenario)

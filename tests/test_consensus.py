"""Tests of the consensus task with journals on disk."""

import random

import pytest
import trio

from wigeonport import durable_files
from wigeonport.channels import ask
from wigeonport.clocks import Clock
from wigeonport.consensus import Consensus
from wigeonport.consensus_requests import Proposal, Read, StatusRequest
from wigeonport.journals import JournalError
from wigeonport.metrics import Metrics
from wigeonport.recoveries import open_directory, open_memory
from wigeonport.replica_events import ReplicaSettings
from wigeonport.state_commands import ClaimKey
from wigeonport.states import ReplicatedState, state_from_document

SEEDS = ("a", "b", "c")


class Group:
    """Consensus tasks that hand messages to each other directly."""

    def __init__(self, directory, nursery, snapshot_entries=50):
        self.directory = directory
        self.nursery = nursery
        self.snapshot_entries = snapshot_entries
        self.tasks = {}
        self.scopes = {}
        self.stopped = {}

    def send(self, node, message):
        """Delivers a message, or loses it if the target is stopped."""
        target = self.tasks.get(node)
        return target is not None and target.inbox.put_nowait(message)

    async def start(self, node, durable=True):
        """Starts a node from its data directory."""
        directory = self.directory / node
        opened = (
            open_directory(directory, "test", node)
            if durable
            else open_memory("test", node)
        )
        settings = ReplicaSettings(keep_entries=10)
        settings.election_ms, settings.election_spread_ms = 300, 300
        settings.lease_ms, settings.heartbeat_ms = 200, 50
        settings.learner_heartbeat_ms = 100
        consensus = Consensus(
            opened,
            directory,
            SEEDS,
            ReplicatedState(),
            state_from_document,
            self.send,
            Clock(),
            Metrics(),
            settings,
            random.Random(node),
            self.snapshot_entries,
        )
        self.tasks[node] = consensus
        self.stopped[consensus] = trio.Event()
        self.scopes[node] = trio.CancelScope()
        await self.nursery.start(self.run, consensus, self.scopes[node])
        return consensus

    async def run(self, consensus, scope, task_status):
        """Runs a task inside its own scope."""
        with scope:
            await consensus.run(task_status)
        self.stopped[consensus].set()

    async def stop(self, node):
        """Cancels the task of a node and waits for its end."""
        self.scopes[node].cancel()
        await self.stopped[self.tasks.pop(node)].wait()

    async def status(self, node):
        """Returns the Status of a node."""
        return (await ask(self.tasks[node].inbox, StatusRequest, 2_000)).ok

    async def leader(self):
        """Waits until a leader is ready and returns its node."""
        while True:
            for node in list(self.tasks):
                if (await self.status(node)).ready:
                    return node
            await trio.sleep(0.02)

    async def claim(self, node, key, attempt="first"):
        """Proposes a claim at a node and returns the ProposalAnswer."""
        command = ClaimKey(key, "digest", attempt)
        inbox = self.tasks[node].inbox
        found = await ask(inbox, lambda r: Proposal(command, r), 5_000)
        return found.ok

    async def index(self, node):
        """Returns the applied index that a consistent read sees."""
        inbox = self.tasks[node].inbox
        found = await ask(
            inbox, lambda r: Read(lambda s: s.applied_index, r), 5_000
        )
        return found.ok.ok


@pytest.fixture
def run_group(tmp_path):
    """Runs a scenario with a Group and a bound on its time."""

    def run(scenario):
        async def main():
            with trio.fail_after(30):
                async with trio.open_nursery() as nursery:
                    await scenario(Group(tmp_path, nursery))
                    nursery.cancel_scope.cancel()

        trio.run(main)

    return run


def test_proposals_survive_a_leader_change_and_a_full_restart(run_group):
    """Guards against losing an acknowledged command."""

    async def scenario(group):
        for node in SEEDS:
            await group.start(node)
        first = await group.leader()
        follower = next(node for node in SEEDS if node != first)
        acked = [
            (await group.claim(node, f"{number}")).index
            for number in range(60)
            for node in (first, follower)
        ]
        await group.stop(first)
        second = await group.leader()
        assert second != first
        assert await group.index(second) >= max(acked)
        answer = await group.claim(second, "7", "other")
        assert type(answer.answer).__name__ == "ClaimInProgress"
        for node in list(group.tasks):
            await group.stop(node)
        for node in SEEDS:
            await group.start(node)
        third = await group.leader()
        assert await group.index(third) >= max(acked)
        answer = await group.claim(third, "59", "other")
        assert type(answer.answer).__name__ == "ClaimInProgress"

    run_group(scenario)


def test_view_that_raises_does_not_end_the_task(run_group):
    """Guards against a fault of another filter that stops the replica."""

    async def scenario(group):
        for node in SEEDS:
            await group.start(node)
        leader = await group.leader()
        inbox = group.tasks[leader].inbox
        found = await ask(
            inbox, lambda r: Read(lambda state: state.missing, r), 5_000
        )
        assert "the view failed" in found.ok.error
        assert await group.index(leader) >= 1

    run_group(scenario)


def test_lost_disk_and_diskless_node_join_as_learners(run_group):
    """Guards against a vote of a replica that lost its data."""

    async def scenario(group):
        for node in SEEDS:
            await group.start(node)
        await group.start("m", durable=False)
        leader = await group.leader()
        for number in range(80):
            await group.claim(leader, f"{number}")
        lost = next(node for node in SEEDS if node != leader)
        old_id = (await group.status(lost)).replica_id
        await group.stop(lost)
        await trio.sleep(0.5)
        (group.directory / lost).rename(group.directory / "gone")
        await group.start(lost)
        while True:
            members = (await group.status(leader)).members
            voters = {m.replica_id for m in members if m.voter}
            nodes = {m.replica_id.partition("/")[0] for m in members}
            if len(voters) == 3 and old_id not in voters and "m" in nodes:
                break
            await trio.sleep(0.05)
        assert not any(voter.startswith("m/") for voter in voters)
        for node in (lost, "m"):
            assert await group.index(node) >= 80

    run_group(scenario)


def test_failed_sync_ends_the_task(run_group, monkeypatch):
    """Guards against acknowledging after a sync that failed."""

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

"""Groups of consensus tasks that tests run in one process."""

import random

import pytest
import trio

from wigeonport.channels import ask
from wigeonport.clocks import Clock
from wigeonport.consensus import Consensus
from wigeonport.consensus_requests import Proposal, Read, StatusRequest
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
        recipient = self.tasks.get(node)
        return recipient is not None and recipient.inbox.put_nowait(message)

    async def start(self, node, durable=True):
        """Starts a node from its data directory."""
        directory = self.directory / node
        storage = (
            open_directory(directory, "test", node)
            if durable
            else open_memory("test", node)
        )
        settings = ReplicaSettings(retained_entries=10)
        settings.min_election_timeout_ms, settings.election_jitter_ms = (
            300,
            300,
        )
        settings.lease_ms, settings.heartbeat_ms = 200, 50
        settings.learner_heartbeat_ms = 100
        consensus = Consensus(
            storage,
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
        result = await ask(inbox, lambda r: Proposal(command, r), 5_000)
        return result.ok

    async def read_applied_index(self, node):
        """Returns the applied index that a consistent read sees."""
        inbox = self.tasks[node].inbox
        result = await ask(
            inbox, lambda r: Read(lambda s: s.applied_index, r), 5_000
        )
        return result.ok.ok


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

"""Groups of consensus tasks that run in the process of a test."""

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


class ProcessKilledError(Exception):
    """Raised by a fixture to end the task of a node as SIGKILL does.

    What the task has written stays in its files, synced or not.
    """


class Group:
    """Consensus tasks that pass messages to each other without links.

    Attributes:
        directory: Parent of the data directories.
        nursery: Nursery of the tasks.
        snapshot_entries: Entries between two snapshots of a replica.
        tasks: Maps a running node to its Consensus.
        scopes: Maps a node to the cancel scope of its last task.
        stopped: Maps a Consensus to the event set when its task has ended.
        damage: Maps a node to the reason why its last start did not use the
            data of its directory, or to "".
    """

    def __init__(self, directory, nursery, snapshot_entries=50):
        self.directory = directory
        self.nursery = nursery
        self.snapshot_entries = snapshot_entries
        self.tasks = {}
        self.scopes = {}
        self.stopped = {}
        self.damage = {}

    def send(self, node, message):
        """Delivers a message, or drops it if the recipient is stopped."""
        recipient = self.tasks.get(node)
        return recipient is not None and recipient.inbox.put_nowait(message)

    async def start(self, node, durable=True):
        """Starts a node.

        Args:
            node: Id of the node.
            durable: Whether it uses its data directory; otherwise it runs
                in memory.
        """
        directory = self.directory / node
        storage = (
            open_directory(directory, "test", node)
            if durable
            else open_memory("test", node)
        )
        self.damage[node] = storage.damage
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
        """Runs a task in its cancel scope and sets its event at the end."""
        try:
            with scope:
                await consensus.run(task_status)
        except* ProcessKilledError:
            self.tasks = {
                node: task
                for node, task in self.tasks.items()
                if task is not consensus
            }
        self.stopped[consensus].set()

    async def stop(self, node):
        """Cancels the task of a node and waits for its end."""
        self.scopes[node].cancel()
        await self.stopped[self.tasks.pop(node)].wait()

    async def status(self, node):
        """Returns the Status of a node."""
        return (await ask(self.tasks[node].inbox, StatusRequest, 2_000)).ok

    async def leader(self):
        """Waits until a leader is ready and returns its node id."""
        while True:
            for node in list(self.tasks):
                if (await self.status(node)).ready:
                    return node
            await trio.sleep(0.02)

    async def claim(self, node, key, attempt="first"):
        """Proposes a ClaimKey at a node and returns the ProposalAnswer."""
        command = ClaimKey(key, "digest", attempt)
        inbox = self.tasks[node].inbox
        result = await ask(inbox, lambda r: Proposal(command, r), 5_000)
        return result.ok

    async def read_applied_index(self, node):
        """Returns the applied index from a consistent read at a node."""
        inbox = self.tasks[node].inbox
        result = await ask(
            inbox, lambda r: Read(lambda s: s.applied_index, r), 5_000
        )
        return result.ok.ok


@pytest.fixture
def run_group(tmp_path):
    """Returns a function that runs a scenario with a Group for up to 30 s."""

    def run(scenario):
        async def main():
            with trio.fail_after(30):
                async with trio.open_nursery() as nursery:
                    await scenario(Group(tmp_path, nursery))
                    nursery.cancel_scope.cancel()

        trio.run(main)

    return run

"""Random schedules of work and failures for a simulated network."""

import heapq
import random

from network_simulations import REMOVAL_NUMBER, Network

from wigeonport.replica_events import (
    ProposalItem,
    Propose,
    ReadRequest,
    RemoveReplica,
    Resign,
    Snapshot,
    SnapshotTaken,
)


class Schedule:
    """Injects proposals, reads and failures at random."""

    def __init__(self, seed, network=None):
        self.network = network or Network(seed)
        self.random = random.Random(seed + 7)
        self.number = 0
        self.no_proposals_until_ms = 0
        # Every second schedule is a storm: failures follow each other
        # before the group has recovered, and each Append has one entry.
        self.has_frequent_failures = seed % 2 == 1
        if self.has_frequent_failures:
            self.network.settings.max_append_bytes = 1

    def running(self):
        """Returns the nodes whose replica runs."""
        nodes = self.network.nodes.values()
        return [node for node in nodes if node.replica is not None]

    def act(self):
        """Does one random thing and schedules the next."""
        choice = self.random.choices(
            [self.propose, self.read, self.snapshot, self.fail],
            [50, 10, 8, 32]
            if self.has_frequent_failures
            else [60, 15, 10, 15],
        )[0]
        choice()
        self.network.at(self.random.randrange(1, 100), self.act)

    def propose(self):
        """Proposes a small batch at a random node, often the leader."""
        if self.network.now_ms < self.no_proposals_until_ms:
            return
        items = []
        for _ in range(self.random.randrange(1, 4)):
            self.number += 1
            items.append(ProposalItem(self.number, b"%d" % self.number))
        nodes = self.running()
        leaders = [node for node in nodes if node.replica.is_leader()]
        if nodes:
            node = self.random.choice(leaders or nodes)
            self.network.step(node, Propose(items))

    def read(self):
        """Reads at a random leader."""
        leaders = [n for n in self.running() if n.replica.is_leader()]
        if leaders:
            self.number += 1
            network = self.network
            network.reads[self.number] = max(network.acknowledged, default=0)
            request = ReadRequest(self.number)
            network.step(self.random.choice(leaders), request)

    def snapshot(self):
        """Takes a snapshot at a random node."""
        nodes = self.running()
        if not nodes:
            return
        node = self.random.choice(nodes)
        log = node.replica.log
        index = node.applied_index
        term = log.term_at(index)
        if term is None or index <= log.base_index:
            return
        taken = Snapshot(index, term, log.members_at(index), node.digest)
        node.disk.recovered.snapshot = taken
        self.network.step(node, SnapshotTaken(taken))

    def fail(self):
        """Injects or heals one failure; stopped nodes restart later."""
        nodes = list(self.network.nodes.values())
        leaders = [n for n in self.running() if n.replica.is_leader()]
        if leaders and self.random.random() < 0.4:
            nodes = leaders
        failure = self.random.choice(
            [
                self.lose_messages,
                self.block_pairs,
                self.partition,
                self.heal,
                self.heal,
                self.crash,
                self.lose_disk,
                self.pause,
                self.remove,
                self.resign,
                self.block_one_link,
            ]
        )
        failure(self.random.choice(nodes))
        limit_ms = 1_000 if self.has_frequent_failures else 4_000
        self.network.at(self.random.randrange(limit_ms), self.restart)

    def lose_messages(self, node):
        """Sets the rate of loss, duplication and long delays."""
        self.network.loss = self.random.choice([0.0, 0.05, 0.3])

    def block_pairs(self, node):
        """Blocks random pairs of nodes, each in one direction."""
        names = self.network.names
        self.network.blocked = {
            (one, two)
            for one in names
            for two in names
            if self.random.random() < 0.3
        }

    def partition(self, node):
        """Separates the nodes into two sides."""
        names = self.network.names
        side = {name for name in names if self.random.random() < 0.5}
        self.network.blocked = {
            (one, two)
            for one in names
            for two in names
            if (one in side) != (two in side)
        }

    def heal(self, node):
        """Connects all nodes."""
        self.network.blocked = set()

    def block_one_link(self, node):
        """Lets one node not hear another, which all others hear.

        Without new entries its log stays good enough for an election.
        """
        self.network.blocked = {
            (node.name, self.random.choice(self.network.names))
        }
        self.no_proposals_until_ms = self.network.now_ms + 2_000

    def crash(self, node):
        """Crashes one node, at times all of them at once."""
        self.network.crash(node)
        if self.random.random() < 0.3:
            for other in self.network.nodes.values():
                self.network.crash(other)

    def lose_disk(self, node):
        """Crashes a node whose disk is empty afterwards."""
        if self.network.may_lose_disk(node):
            self.network.crash(node, lose_disk=True)

    def pause(self, node):
        """Stops a node for a while, as SIGSTOP does."""
        duration_ms = self.random.randrange(4_000)
        node.paused_until_ms = self.network.now_ms + duration_ms

    def remove(self, node):
        """Removes a member, if the node leads."""
        network = self.network
        if not node.replica or not node.replica.is_leader():
            return
        # A stopped leader would handle the request after the check below.
        if network.now_ms < node.paused_until_ms:
            return
        members = node.replica.members()
        # Removing a voter just after another lost its disk leaves no
        # quorum with data, as with any two such losses of three.
        whole = not network.lost_replica_ids & set(members.voters)
        if whole and len(members.voters) >= 3:
            target = self.random.choice(sorted(members.by_id))
            network.step(node, RemoveReplica(REMOVAL_NUMBER, target))

    def resign(self, node):
        """Lets a leader hand its lead over."""
        if node.replica and self.network.now_ms >= node.paused_until_ms:
            self.network.step(node, Resign())

    def restart(self):
        """Starts what is stopped."""
        for node in self.network.nodes.values():
            if node.replica is None:
                self.network.start(node)

    def run(self, duration_ms=15_000, settle_ms=25_000):
        """Runs the schedule, heals everything and checks the end."""
        network = self.network
        for node in network.nodes.values():
            network.start(node)
            network.counter += 1
        network.at(3_000, self.act)
        network.run_until(network.now_ms + duration_ms)
        network.queue = [
            item for item in network.queue if item[2].__name__ != "act"
        ]
        heapq.heapify(network.queue)
        network.loss = 0.0
        network.blocked = set()
        self.restart()
        network.run_until(network.now_ms + settle_ms)
        network.check_end()
        return network

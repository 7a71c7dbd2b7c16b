"""A simulated network of replicas with injected failures.

A seed determines the whole run. The checks run at each step and raise
AssertionError at the first step that violates an invariant.
"""

import hashlib
import heapq
import random

from storage_simulations import Storage

from wigeonport.replica_events import (
    COMMITTED,
    Outcome,
    Persisted,
    ReplicaSettings,
    Tick,
)
from wigeonport.replicas import Replica
from wigeonport.replication_messages import node_of
from wigeonport.snapshots import DamageError

VOTERS = ("a", "b", "c", "d", "e")
SPARE = "s"
DISKLESS = "m"
REMOVAL_NUMBER = 1_000_000


class Node:
    """One VM with a disk, a clock and, unless it has crashed, a replica.

    Attributes:
        name: Node name.
        clock_rate: Speed of the node's clock relative to simulated time.
        offset_ms: Offset of the node's clock.
        durable: Whether the node keeps its log on the disk.
        storage: Storage.
        identity: Identity of the replica, or 0 if the next start draws a
            new one.
        replica: Running Replica, or None.
        epoch: Number of times that the replica was stopped; events from
            before are dropped.
        unsynced: Persists that are not durable yet, in order.
        writing: The first of them, which the journal writes and syncs.
        tick_ms: Simulated time of the next Tick, or None.
        digest: Hash over the applied entries; it stands for the state.
        applied_index: Index of the last applied entry.
        paused_until_ms: Simulated time until which the node is paused.
    """

    def __init__(self, name, clock_rate, offset_ms):
        self.name = name
        self.clock_rate = clock_rate
        self.offset_ms = offset_ms
        self.durable = name != DISKLESS
        self.storage = Storage()
        self.identity = 0
        self.replica = None
        self.epoch = 0
        self.unsynced = []
        self.writing = []
        self.tick_ms = None
        self.digest = b""
        self.applied_index = 0
        self.paused_until_ms = 0

    def clock_ms(self, now_ms):
        """Returns the drifting monotonic time of this node."""
        return int(now_ms * self.clock_rate) + self.offset_ms


class Network:
    """Simulates the nodes and the messages and checks the invariants.

    Attributes:
        random: Source of all random decisions.
        voters: Names of the nodes that form the cluster.
        names: Names of all nodes.
        settings: ReplicaSettings of all replicas.
        recovery_syncs: Whether a recovery syncs what it reads.
        now_ms: Simulated time.
        queue: Heap of scheduled calls.
        counter: Number of scheduled calls; orders calls of the same time
            and supplies the identities of new replicas.
        loss: Weight of losing and of duplicating a message, against 1 for
            neither; also the probability of a delay of up to 3 s.
        blocked: Pairs of sender and recipient names that are disconnected.
        leaders: Maps term to the replica id of its leader.
        committed: Maps index to term and payload of the committed entry.
        digests: Maps index to the state's digest after that entry.
        acknowledged: Maps index to the number of the proposal that was
            acknowledged as committed.
        reads: Maps the number of a read to the highest index acknowledged
            before the read.
        lost_replica_ids: Replica ids that have lost their log.
        steps: Number of steps so far.
        installs: Number of snapshots installed from a leader.
        unsynced_restarts: Number of restarts that read unsynced entries.
        nodes: Maps node name to Node.
    """

    def __init__(self, seed, settings=None, recovery_syncs=True):
        self.random = random.Random(seed)
        # Every third schedule has five voters, the others three.
        self.voters = VOTERS if seed % 3 == 2 else VOTERS[:3]
        self.names = (*self.voters, SPARE, DISKLESS)
        self.settings = settings or ReplicaSettings(len(self.voters), 5)
        self.settings.heartbeat_ms = 100
        self.settings.learner_heartbeat_ms = 400
        self.settings.min_election_timeout_ms = 500
        self.settings.election_jitter_ms = 300
        self.settings.lease_ms = 400
        self.settings.snapshot_piece_bytes = 7
        self.settings.max_append_bytes = 300
        self.settings.max_in_flight_entries = 8
        self.settings.replace_voter_ms = 8_000
        self.settings.remove_learner_ms = 20_000
        self.recovery_syncs = recovery_syncs
        self.now_ms = 1_000
        self.queue = []
        self.counter = 1
        self.loss = 0.0
        self.blocked = set()
        self.leaders = {}
        self.committed = {}
        self.digests = {0: b""}
        self.acknowledged = {}
        self.reads = {}
        self.lost_replica_ids = set()
        self.known_members = None
        self.steps = 0
        self.installs = 0
        self.unsynced_restarts = 0
        rates = [0.97, 1.0, 1.03]
        self.nodes = {
            name: Node(
                name, self.random.choice(rates), self.random.randrange(9_000)
            )
            for name in self.names
        }

    def call_after(self, delay_ms, action, *arguments):
        """Schedules a call of ``action`` after a delay."""
        self.counter += 1
        heapq.heappush(
            self.queue,
            (self.now_ms + delay_ms, self.counter, action, arguments),
        )

    def run_until(self, end_ms):
        """Runs the scheduled calls up to a time."""
        while self.queue and self.queue[0][0] <= end_ms:
            self.now_ms, _, action, arguments = heapq.heappop(self.queue)
            action(*arguments)
        self.now_ms = end_ms

    def start(self, node):
        """Starts a replica that recovers from the node's storage.

        A replica with damaged storage starts empty under a new identity. Its
        earlier identity does not count as lost, because the schedule may
        still empty as many disks as if the damage had not happened.
        """
        if not node.durable or node.identity == 0:
            self.empty_storage(node)
        self.unsynced_restarts += node.storage.has_unsynced_entries()
        try:
            recovered = node.storage.recover()
        except DamageError:
            if self.recovery_syncs:
                raise
            self.empty_storage(node)
            recovered = node.storage.recover()
        node.unsynced = []
        node.writing = []
        node.tick_ms = None
        node.replica = Replica(
            f"{node.name}/{node.identity}",
            self.voters,
            node.durable,
            recovered,
            node.clock_ms(self.now_ms),
            self.random,
            self.settings,
        )
        node.applied_index = 0
        node.digest = b""
        if recovered.snapshot:
            self.install(node, recovered.snapshot)
        self.schedule_tick(node)

    def empty_storage(self, node):
        """Gives a stopped node a new identity and empty storage."""
        node.identity = self.counter
        node.storage = Storage(self.recovery_syncs)

    def kill(self, node):
        """Ends the process of a node; what it has written stays.

        The batch that the journal has got is one record, and it is written
        as a whole or not at all. Most of the time goes into its sync.
        """
        if node.replica is None:
            return
        if self.random.random() < 0.75:
            node.storage.write(node.writing)
        if not node.durable:
            self.lost_replica_ids.add(node.replica.replica_id)
        node.replica = None
        node.epoch += 1

    def lose_power(self, node):
        """Takes the power of a node; what it has not synced may be lost.

        That includes what a process wrote before it was killed.
        """
        self.kill(node)
        node.storage.lose_power(self.random)

    def lose_disk(self, node):
        """Takes the power and the disk of a node."""
        if node.replica is not None:
            self.lost_replica_ids.add(node.replica.replica_id)
            self.kill(node)
            node.identity = 0

    def may_lose_disk(self, node):
        """Returns whether enough voters keep their log if this one is lost.

        That must hold for every set of members in the log of any replica.
        Returns False while any node is stopped, since its log is not checked.
        """
        lost = self.lost_replica_ids | {f"{node.name}/{node.identity}"}
        for other in self.nodes.values():
            if other.replica is None:
                return False
            for _, members in other.replica.log.members_history:
                lost_count = len(lost & set(members.voters))
                if lost_count > len(members.voters) - members.quorum():
                    return False
        return True

    def step(self, node, event):
        """Runs one step of a replica and handles its Output."""
        replica = node.replica
        self.steps += 1
        if self.now_ms < node.paused_until_ms:
            delay_ms = node.paused_until_ms - self.now_ms
            self.call_after(
                delay_ms, self.step_if_running, node, node.epoch, event
            )
            return
        out = replica.step(event, node.clock_ms(self.now_ms))
        if out.persist:
            node.unsynced.append(out.persist)
            self.start_sync(node)
        for message in out.messages:
            self.transmit(node, message)
        if out.install:
            assert out.install.index > node.applied_index
            self.installs += 1
            self.install(node, out.install)
        for entry in out.committed:
            self.apply(node, entry)
        for reply in out.replies:
            self.handle_reply(node, reply)
        self.check_leaders(node)
        self.schedule_tick(node)

    def step_if_running(self, node, epoch, event):
        """Runs a step unless the replica was stopped in the meantime."""
        if node.replica is not None and node.epoch == epoch:
            self.step(node, event)

    def schedule_tick(self, node):
        """Schedules the next Tick."""
        due_ms = node.replica.next_deadline_ms() - node.offset_ms
        due_ms = max(int(due_ms / node.clock_rate) + 1, self.now_ms + 1)
        if node.tick_ms is None or due_ms < node.tick_ms:
            node.tick_ms = due_ms
            self.call_after(
                due_ms - self.now_ms, self.tick, node, node.epoch, due_ms
            )

    def tick(self, node, epoch, due_ms):
        """Fires a timer."""
        if node.epoch == epoch and node.tick_ms == due_ms:
            node.tick_ms = None
            self.step_if_running(node, epoch, Tick())

    def start_sync(self, node):
        """Starts an fsync of all unsynced writes, unless one is running."""
        if node.writing or not node.unsynced:
            return
        delay_ms = self.random.choice([1, 2, 5, 30, 200])
        node.writing = list(node.unsynced)
        self.call_after(delay_ms, self.finish_sync, node, node.epoch)

    def finish_sync(self, node, epoch):
        """Completes an fsync and reports it to the replica."""
        if node.epoch != epoch or node.replica is None:
            return
        batch, node.writing = node.writing, []
        node.storage.write(batch)
        node.storage.sync()
        node.unsynced = node.unsynced[len(batch) :]
        self.start_sync(node)
        self.step(node, Persisted(batch[-1].sequence))

    def transmit(self, node, message):
        """Sends a message, which may be lost, duplicated or delayed."""
        target = self.nodes[node_of(message.recipient)]
        copies = self.random.choices([0, 1, 2], [self.loss, 1, self.loss])[0]
        for _ in range(copies):
            delay_ms = self.random.choice([1, 2, 3, 8])
            if self.random.random() < self.loss:
                delay_ms = self.random.randrange(3_000)
            self.call_after(delay_ms, self.deliver, node.name, target, message)

    def deliver(self, sender, target, message):
        """Delivers a message if the two nodes are connected."""
        if target.replica and (sender, target.name) not in self.blocked:
            self.step(target, message)

    def install(self, node, snapshot):
        """Replaces the state of a node by a snapshot."""
        node.digest = snapshot.data
        node.applied_index = snapshot.index
        assert self.digests[snapshot.index] == snapshot.data

    def apply(self, node, entry):
        """Applies an entry and checks that all nodes apply the same one."""
        assert entry.index == node.applied_index + 1
        node.applied_index = entry.index
        key = (entry.term, entry.payload)
        first_key = self.committed.setdefault(entry.index, key)
        assert first_key == key, f"index {entry.index} has two entries"
        node.digest = hashlib.sha256(node.digest + entry.payload).digest()
        self.digests.setdefault(entry.index, node.digest)
        assert self.digests[entry.index] == node.digest

    def handle_reply(self, node, reply):
        """Records an acknowledged proposal, or checks that a read is fresh."""
        if not isinstance(reply, Outcome):
            if reply.index >= 0:
                assert reply.index >= self.reads[reply.number], "stale read"
            return
        if reply.outcome == COMMITTED:
            self.acknowledged[reply.index] = reply.number

    def check_leaders(self, node):
        """Checks that a term has one leader and no older lease is in force."""
        replica = node.replica
        if not replica.is_leader():
            return
        leader_id = self.leaders.setdefault(replica.term, replica.replica_id)
        assert leader_id == replica.replica_id, (
            f"two leaders in {replica.term}"
        )
        for other in self.nodes.values():
            if other.replica is None or not other.replica.is_leader():
                continue
            if other.replica.term < replica.term:
                now_ms = other.clock_ms(self.now_ms)
                until_ms = other.replica.lease_until_ms()
                assert now_ms >= until_ms, "lease outlives an election"

    def check_final_state(self):
        """Checks that every node has all acknowledged proposals."""
        logs = {}
        last_index = max(self.acknowledged, default=0)
        for node in self.nodes.values():
            assert node.applied_index >= last_index, f"{node.name} is behind"
            for entry in node.replica.log.entries:
                key = (entry.index, entry.term)
                value = (entry.kind, entry.payload)
                assert logs.setdefault(key, value) == value
        for index, number in self.acknowledged.items():
            committed_payload = self.committed[index][1]
            if number != REMOVAL_NUMBER:
                assert committed_payload == b"%d" % number, f"lost {number}"

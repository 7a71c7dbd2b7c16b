"""Consensus core: one replica as a state machine without input or output.

``Replica.step(event, now_ms)`` takes a local event or a message from a
peer and returns an Output. The core reads no clock, opens no file or
socket and draws random numbers only from the generator passed in. The
algorithm is Raft (Ongaro and Ousterhout, 2014) with pre-vote,
check-quorum, leader leases and single-step membership changes.
"""

from wigeonport import (
    appends,
    elections,
    handovers,  # noqa: F401, registers its handlers
    linearizable_reads,
    persistence,
    proposals,  # noqa: F401, registers its handlers
    ticks,  # noqa: F401, registers its handlers
)
from wigeonport.memberships import Members
from wigeonport.replica_events import (
    COMMITTED,
    FOLLOWER,
    LEADER,
    UNKNOWN,
    ConsistencyError,
    HardState,
    Outcome,
    Output,
    Persist,
    ReplicaSettings,
    handlers,
)
from wigeonport.replica_logs import ReplicaLog
from wigeonport.replication_messages import (
    MEMBERS,
    Append,
    AppendReply,
    Entry,
    SnapshotPiece,
)


class Replica:
    """One replica of the log.

    All times are in ms on the local monotonic clock.

    Attributes:
        replica_id: ``node/identity`` of this replica.
        node: Node name.
        seeds: Names of the nodes that form a new cluster as voters.
        durable: Whether the log is kept on a disk; a replica without a
            disk never votes.
        settings: ReplicaSettings.
        random: Random number generator for the election timeouts.
        term: Current term.
        vote: Replica id voted for in this term, or "".
        role: ``FOLLOWER``, ``PRE_CANDIDATE``, ``CANDIDATE`` or ``LEADER``.
        leader_id: Replica id of this term's leader, or "" while unknown.
        log: ReplicaLog.
        snapshot: Newest Snapshot, or None.
        commit_index: Highest index known to be committed.
        delivered_index: Highest index returned in ``Output.committed`` or
            contained in an installed snapshot.
        now_ms: Time of the current step.
        out: Output of the current step.
        persist: Persist of the current step.
        sequence: Sequence of the last Persist.
        pending: PendingPersist objects that are not durable yet, in order.
        hard_state_sequence: Sequence of the last Persist with a hard state.
        durable_sequence: Every Persist up to this sequence is durable.
        deferred: Pairs of sequence and message; the message is sent once
            the Persist with this sequence is durable.
        verified_index: Highest index known to match the leader's log.
        acknowledged_round: Highest heartbeat round of the leader that this
            replica has acknowledged.
        leader_contact_ms: Time of the last message from the leader. The
            replica grants no vote for ``min_election_timeout_ms`` after
            it, which protects the leader's lease. A restart counts as a
            contact, because the replica may have acknowledged a heartbeat
            just before it.
        election_deadline_ms: When the next election starts, unless the
            leader makes contact before.
        votes: Replica ids that granted the vote or the pre-vote.
        progress: On the leader, maps replica id to Progress.
        proposals: On the leader, maps log index to proposal number.
        term_start_index: On the leader, first index of its term.
        round: On the leader, number of the last heartbeat round.
        pending_reads: On the leader, PendingReads that wait for a round.
        next_voter_heartbeat_ms: When voters get the next heartbeat.
        next_learner_heartbeat_ms: When learners get the next heartbeat.
        commit_notice_due_ms: When the leader announces its commit index
            in a message of its own, or None.
        incoming: IncomingSnapshot being received, or None.
        join_due_ms: When to send the next JoinRequest.
        leader_hint: Node that leads according to a peer, or "".
        blank_peers: Maps the node name of each seed with a blank log to
            its replica id.
    """

    __slots__ = (
        "replica_id",
        "node",
        "seeds",
        "durable",
        "settings",
        "random",
        "term",
        "vote",
        "role",
        "leader_id",
        "log",
        "snapshot",
        "commit_index",
        "delivered_index",
        "now_ms",
        "out",
        "persist",
        "sequence",
        "pending",
        "hard_state_sequence",
        "durable_sequence",
        "deferred",
        "verified_index",
        "acknowledged_round",
        "leader_contact_ms",
        "election_deadline_ms",
        "votes",
        "progress",
        "proposals",
        "term_start_index",
        "round",
        "pending_reads",
        "next_voter_heartbeat_ms",
        "next_learner_heartbeat_ms",
        "commit_notice_due_ms",
        "incoming",
        "join_due_ms",
        "leader_hint",
        "blank_peers",
    )

    def __init__(
        self, replica_id, seeds, durable, recovered, now_ms, random, settings
    ):
        self.replica_id = replica_id
        self.node = replica_id.partition("/")[0]
        self.seeds = tuple(seeds)
        self.durable = durable
        self.settings = settings or ReplicaSettings()
        self.random = random
        self.now_ms = now_ms
        self._recover(recovered)
        self.out = None
        self.persist = None
        self.sequence = 0
        self.pending = []
        self.hard_state_sequence = 0
        self.durable_sequence = 0
        self.deferred = []
        self.role = FOLLOWER
        self.leader_id = ""
        self.acknowledged_round = 0
        self.leader_contact_ms = now_ms
        self.votes = set()
        self.progress = {}
        self.proposals = {}
        self.term_start_index = 0
        self.round = 0
        self.pending_reads = []
        self.next_voter_heartbeat_ms = 0
        self.next_learner_heartbeat_ms = 0
        self.commit_notice_due_ms = None
        self.incoming = None
        self.join_due_ms = now_ms
        self.leader_hint = ""
        self.blank_peers = {}
        self.reset_election_timer()

    def _recover(self, recovered):
        self.term = recovered.hard_state.term
        self.vote = recovered.hard_state.vote
        self.snapshot = recovered.snapshot
        base_index, base_term, members = 0, 0, Members()
        if self.snapshot:
            base_index = self.snapshot.index
            base_term = self.snapshot.term
            members = self.snapshot.members
        self.log = ReplicaLog(
            base_index, base_term, members, recovered.entries
        )
        self.commit_index = base_index
        self.delivered_index = base_index
        self.verified_index = base_index

    def step(self, event, now_ms):
        """Handles one local event or message and returns the Output.

        Raises:
            ConsistencyError: An invariant of the log is violated.
        """
        self.now_ms = max(self.now_ms, now_ms)
        self.out = Output()
        self.persist = Persist(self.sequence + 1)
        handlers.entries[type(event).__name__](self, event)
        self._finish()
        return self.out

    def _finish(self):
        persist = self.persist
        if persist.is_empty():
            return
        self.sequence = persist.sequence
        last_index = 0
        if persist.snapshot:
            last_index = persist.snapshot.index
        if persist.entries:
            last_index = persist.entries[-1].index
        self.pending.append(
            persistence.PendingPersist(self.sequence, last_index)
        )
        self.out.persist = persist

    def is_leader(self):
        """Returns whether this replica leads its term."""
        return self.role == LEADER

    def members(self):
        """Returns the newest members in the log, committed or not."""
        return self.log.members()

    def is_blank(self):
        """Returns whether this replica has no entry and has seen no term."""
        return self.log.last_index() == 0 and self.term == 0

    def reset_election_timer(self):
        """Sets the election deadline after a new random timeout."""
        settings = self.settings
        spread_ms = self.random.randrange(settings.election_jitter_ms)
        self.election_deadline_ms = (
            self.now_ms + settings.min_election_timeout_ms + spread_ms
        )

    def accept_message(self, message):
        """Returns whether to handle a message, by its recipient and term.

        A higher term makes this replica a follower in that term. A leader
        with a lower term gets a reply with the current term.
        """
        if message.recipient != self.replica_id:
            return False
        from_leader = isinstance(message, Append | SnapshotPiece)
        if message.term < self.term:
            if from_leader:
                self.send_durable(
                    AppendReply(
                        self.term,
                        self.replica_id,
                        message.sender,
                        False,
                        0,
                        0,
                        0,
                        0,
                    )
                )
            return False
        if message.term > self.term:
            leader_id = message.sender if from_leader else ""
            self.become_follower(message.term, leader_id)
        return True

    def record_leader_contact(self, leader_id):
        """Follows the leader of the current term after a message from it.

        Raises:
            ConsistencyError: This replica leads the same term.
        """
        if self.is_leader():
            raise ConsistencyError(
                f"{leader_id} and this replica both lead term {self.term}"
            )
        self.become_follower(self.term, leader_id)
        self.leader_contact_ms = self.now_ms
        self.reset_election_timer()

    def lease_until_ms(self):
        """Returns the end of this leader's lease in ms, or 0 without a lease.

        No other leader can be elected before the end: a quorum has
        acknowledged heartbeats sent at or after the start of the lease, and
        grants no vote for ``min_election_timeout_ms`` after receiving them.
        """
        if not self.is_leader():
            return 0
        sent_ms = self.quorum_value(
            self.now_ms, lambda progress: progress.acked_sent_ms
        )
        return sent_ms + self.settings.lease_ms if sent_ms else 0

    def quorum_value(self, own, value_of):
        """Returns the highest value that a quorum of voters has reached.

        Args:
            own: Value of this replica.
            value_of: Function that returns the value of a peer, given its
                Progress.
        """
        members = self.members()
        values = [
            own if voter == self.replica_id else value_of(self.progress[voter])
            for voter in members.voters
        ]
        values.sort(reverse=True)
        return values[members.quorum() - 1] if values else 0

    def next_deadline_ms(self):
        """Returns the time of the next Tick in ms."""
        if self.is_leader():
            due_ms = min(
                self.next_voter_heartbeat_ms, self.next_learner_heartbeat_ms
            )
            if self.commit_notice_due_ms is not None:
                due_ms = min(due_ms, self.commit_notice_due_ms)
            return due_ms
        due_ms = self.join_due_ms
        if elections.may_campaign(self):
            due_ms = min(due_ms, self.election_deadline_ms)
        return due_ms

    def set_hard_state(self, term, vote):
        """Changes term and vote and adds them to the current Persist."""
        self.term = term
        self.vote = vote
        self.persist.hard_state = HardState(term, vote)
        self.hard_state_sequence = self.persist.sequence

    def send(self, message):
        """Sends a message without waiting for the disk."""
        self.out.messages.append(message)

    def send_durable(self, message):
        """Sends a message once the current term and vote are durable."""
        if self.hard_state_sequence <= self.durable_sequence:
            self.send(message)
        else:
            self.deferred.append((self.hard_state_sequence, message))

    def become_follower(self, term, leader_id):
        """Becomes a follower in ``term``; ``leader_id`` is "" if unknown."""
        if self.is_leader():
            self._drop_leadership()
        if term > self.term:
            self.set_hard_state(term, "")
            self.verified_index = self.commit_index
            self.acknowledged_round = 0
            self.incoming = None
        self.role = FOLLOWER
        self.leader_id = leader_id
        self.votes = set()

    def _drop_leadership(self):
        """Answers the pending proposals with unknown and refuses the reads."""
        for index, number in self.proposals.items():
            self.out.replies.append(
                Outcome(number, UNKNOWN, "the leader changed", index)
            )
        self.proposals = {}
        self.progress = {}
        self.commit_notice_due_ms = None
        linearizable_reads.refuse_all(self)
        self.reset_election_timer()

    def append_local(self, term, kind, payload):
        """Appends an entry to the log and to the current Persist."""
        entry = Entry(self.log.last_index() + 1, term, kind, payload)
        self.log.append(entry)
        self.persist.entries.append(entry)

    def append_as_leader(self, kind, payload):
        """Appends an entry of the current term; only for the leader."""
        self.append_local(self.term, kind, payload)
        if kind == MEMBERS:
            appends.refresh_progress(self)

    def truncate_from(self, index):
        """Removes the entries from ``index`` on.

        They are not committed and conflict with the leader's log.

        Raises:
            ConsistencyError: The entry at ``index`` is committed.
        """
        if index <= self.commit_index:
            raise ConsistencyError(
                f"committed entry {index} conflicts with the leader's log"
            )
        self.log.truncate_from(index)
        self.verified_index = min(self.verified_index, index - 1)
        for pending_persist in self.pending:
            pending_persist.last_index = min(
                pending_persist.last_index, index - 1
            )

    def start_heartbeat_round(self):
        """Sends a heartbeat to every other member at once."""
        appends.start_heartbeat_round(self)

    def broadcast(self):
        """Sends the entries that the peers lack, within their windows."""
        appends.send_all(self)

    def commit_to(self, index):
        """Advances the commit index and delivers the newly committed entries.

        Raises:
            ConsistencyError: ``index`` is beyond the end of the log.
        """
        if index <= self.commit_index:
            return
        self.commit_index = index
        if index > self.log.last_index():
            raise ConsistencyError(
                f"commit index {index} is beyond the end of the log"
            )
        entries = self.log.entries_between(self.delivered_index + 1, index)
        self.out.committed.extend(entries)
        self.delivered_index = index
        if not self.proposals:
            return
        for entry in entries:
            number = self.proposals.pop(entry.index, None)
            if number is not None:
                self.out.replies.append(
                    Outcome(number, COMMITTED, "", entry.index)
                )

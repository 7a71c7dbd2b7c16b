"""Local events, settings and output of the consensus core."""

import zlib

from wigeonport.codecs import message_kinds
from wigeonport.registries import Registry

handlers = Registry("replica event handler")

MIB = 1024 * 1024

COMMITTED = "committed"
REFUSED = "refused"
UNKNOWN = "unknown"

FOLLOWER = "follower"
PRE_CANDIDATE = "pre-candidate"
CANDIDATE = "candidate"
LEADER = "leader"


class ConsistencyError(Exception):
    """An invariant of the log is violated; the replica must stop."""


def handles(kind):
    """Registers a function ``(replica, event)`` for a class of events."""
    return handlers.register(kind.__name__)


class Tick:
    """Asks to fire the timers that are due."""

    __slots__ = ()


class Persisted:
    """Reports that every Persist up to ``sequence`` is durable."""

    __slots__ = ("sequence",)

    def __init__(self, sequence):
        self.sequence = sequence


class ProposalItem:
    """A payload to append.

    Attributes:
        number: Chosen by the caller; the Outcome carries it back.
        payload: Bytes for the state machine.
    """

    __slots__ = ("number", "payload")

    def __init__(self, number, payload):
        self.number = number
        self.payload = payload


class Propose:
    """Asks the leader to append ``items``, a list of ProposalItem."""

    __slots__ = ("items",)

    def __init__(self, items):
        self.items = items


class ReadRequest:
    """Asks for the index up to which a linearizable read must apply the log.

    Attributes:
        number: Chosen by the caller; the ReadReady carries it back.
    """

    __slots__ = ("number",)

    def __init__(self, number):
        self.number = number


class SnapshotTaken:
    """Reports that a snapshot of the local state is durable."""

    __slots__ = ("snapshot",)

    def __init__(self, snapshot):
        self.snapshot = snapshot


class SnapshotSkipped:
    """Reports that there was no space for a snapshot of the local state."""

    __slots__ = ()


class Resign:
    """Asks a leader to step down and hand over to a follower."""

    __slots__ = ()


class RemoveReplica:
    """Asks the leader to remove a member.

    Attributes:
        number: Chosen by the caller; the Outcome carries it back.
        replica_id: Replica id of the member to remove.
    """

    __slots__ = ("number", "replica_id")

    def __init__(self, number, replica_id):
        self.number = number
        self.replica_id = replica_id


class Outcome:
    """Answer to a ProposalItem or a RemoveReplica.

    Attributes:
        number: Number of the request.
        outcome: ``committed``, ``refused`` (never appended) or
            ``unknown`` (may still be committed).
        reason: Why the entry is not known to be committed, or "".
        index: Log index of the entry, or 0 if it was not appended.
    """

    __slots__ = ("number", "outcome", "reason", "index")

    def __init__(self, number, outcome, reason, index):
        self.number = number
        self.outcome = outcome
        self.reason = reason
        self.index = index


class ReadReady:
    """Answer to a ReadRequest.

    Attributes:
        number: Number of the ReadRequest.
        index: Index that the reader must have applied before it reads, or
            -1 if the request was refused.
    """

    __slots__ = ("number", "index")

    def __init__(self, number, index):
        self.number = number
        self.index = index


@message_kinds.register("HardState")
class HardState:
    """Current term and vote.

    They must be durable before a message that depends on them is sent.

    Attributes:
        term: Current term.
        vote: Replica id voted for in this term, or "".
    """

    __slots__ = ("term", "vote")

    def __init__(self, term, vote):
        self.term = term
        self.vote = vote


class Snapshot:
    """State of the state machine at a log index.

    Attributes:
        index: Last log index that the snapshot contains.
        term: Term of the entry at ``index``.
        members: Members as of ``index``.
        data: Encoded state, as bytes.
        checksum: CRC-32 of ``data``.
    """

    __slots__ = ("index", "term", "members", "data", "checksum")

    def __init__(self, index, term, members, data):
        self.index = index
        self.term = term
        self.members = members
        self.data = data
        self.checksum = zlib.crc32(data)


class RecoveredState:
    """State that a replica recovers from its disk at the start.

    Attributes:
        hard_state: HardState; term 0 and no vote for a new disk.
        snapshot: Newest Snapshot, or None.
        entries: Entries after the snapshot.
    """

    __slots__ = ("hard_state", "snapshot", "entries")

    def __init__(self, hard_state=None, snapshot=None, entries=()):
        self.hard_state = hard_state or HardState(0, "")
        self.snapshot = snapshot
        self.entries = list(entries)


class Persist:
    """Changes to make durable; written in the order of ``sequence``.

    Attributes:
        sequence: Number of this Persist, from 1; Persisted reports it back.
        hard_state: New HardState, or None.
        snapshot: Snapshot received from the leader, or None.
        entries: Entries to write; they replace the journal's entries
            from the index of the first one on.
        compact_index: Last index that a durable snapshot contains, or 0
            if no snapshot was taken; the journal may drop the entries up
            to it.
    """

    __slots__ = (
        "sequence",
        "hard_state",
        "snapshot",
        "entries",
        "compact_index",
    )

    def __init__(self, sequence):
        self.sequence = sequence
        self.hard_state = None
        self.snapshot = None
        self.entries = []
        self.compact_index = 0

    def is_empty(self):
        """Returns whether there is nothing to write."""
        return not (
            self.hard_state
            or self.snapshot
            or self.entries
            or self.compact_index
        )


class Output:
    """Result of one step.

    Attributes:
        persist: Persist to write and sync, or None.
        messages: Messages to send; they need not wait for ``persist``.
        install: Snapshot that replaces the state, or None; to be installed
            before ``committed`` is applied.
        committed: Newly committed entries, in log order.
        replies: Outcome and ReadReady objects.
    """

    __slots__ = ("persist", "messages", "install", "committed", "replies")

    def __init__(self):
        self.persist = None
        self.messages = []
        self.install = None
        self.committed = []
        self.replies = []


class ReplicaSettings:
    """Timers and limits of a replica.

    Attributes:
        heartbeat_ms: Interval of heartbeats to voters.
        learner_heartbeat_ms: Interval of heartbeats to learners; longer,
            because a learner neither supports the lease nor starts an
            election.
        min_election_timeout_ms: Minimum time without contact from a leader
            before an election.
        election_jitter_ms: Upper bound (exclusive) of the random time that
            is added to ``min_election_timeout_ms``.
        lease_ms: Length of the lease, counted from the time when an
            acknowledged heartbeat was sent; shorter than
            ``min_election_timeout_ms`` by more than the clocks drift apart
            in that time.
        join_interval_ms: Interval of JoinRequests.
        target_voters: Number of voters up to which learners with a disk
            are promoted.
        replace_voter_ms: Time without a reply after which a voter is
            replaced, once a learner with a disk has caught up.
        remove_learner_ms: Time without a reply after which a learner is
            removed.
        max_append_bytes: Maximum size of the entries in one Append; a
            single larger entry is sent alone.
        max_in_flight_entries: Maximum number of entries sent to a peer and
            not yet acknowledged by it.
        max_in_flight_bytes: Size of such entries beyond which none is added;
            each Append under way has a copy of its entries.
        max_pending_entries: Maximum number of entries that the leader has
            appended and that are not yet both committed and durable on
            the leader's disk.
        max_pending_bytes: Maximum size of such entries.
        max_payload_bytes: Maximum size of the payload of a proposal; an
            Append must fit into a frame of 1 MB.
        snapshot_piece_bytes: Size of a SnapshotPiece's data.
        may_form_cluster: Whether a blank replica may form a new cluster.
        retained_entries: Number of entries kept in memory that the newest
            snapshot already contains, so that a follower that lags a
            little needs no snapshot.
        retained_bytes: Maximum size of those entries.
    """

    __slots__ = (
        "heartbeat_ms",
        "learner_heartbeat_ms",
        "min_election_timeout_ms",
        "election_jitter_ms",
        "lease_ms",
        "join_interval_ms",
        "target_voters",
        "replace_voter_ms",
        "remove_learner_ms",
        "max_append_bytes",
        "max_in_flight_entries",
        "max_in_flight_bytes",
        "max_pending_entries",
        "max_pending_bytes",
        "max_payload_bytes",
        "snapshot_piece_bytes",
        "may_form_cluster",
        "retained_entries",
        "retained_bytes",
    )

    def __init__(self, target_voters=3, retained_entries=500):
        self.heartbeat_ms = 200
        self.learner_heartbeat_ms = 1_000
        self.min_election_timeout_ms = 1_000
        self.election_jitter_ms = 600
        self.lease_ms = 800
        self.join_interval_ms = 500
        self.target_voters = target_voters
        self.replace_voter_ms = 60_000
        self.remove_learner_ms = 600_000
        self.max_append_bytes = 256 * 1024
        self.max_in_flight_entries = 4_096
        self.max_in_flight_bytes = 4 * MIB
        self.max_pending_entries = 20_000
        self.max_pending_bytes = 16 * MIB
        self.max_payload_bytes = 512 * 1024
        self.snapshot_piece_bytes = 128 * 1024
        self.may_form_cluster = True
        self.retained_entries = retained_entries
        self.retained_bytes = 2 * MIB

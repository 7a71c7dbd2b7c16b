"""Local events, settings and output of the consensus core."""

import zlib

from wigeonport.codecs import message_kinds
from wigeonport.registries import Registry

handlers = Registry("replica event handler")

COMMITTED = "committed"
REFUSED = "refused"
UNKNOWN = "unknown"

FOLLOWER = "follower"
PRE_CANDIDATE = "pre-candidate"
CANDIDATE = "candidate"
LEADER = "leader"


class ConsistencyError(Exception):
    """An invariant of the log does not hold; the replica must stop."""


def handles(kind):
    """Registers a function ``(replica, event)`` for a class of events."""
    return handlers.register(kind.__name__)


class Tick:
    """Time has passed; fires the timers that are due."""

    __slots__ = ()


class Persisted:
    """Every Persist up to ``sequence`` is durable."""

    __slots__ = ("sequence",)

    def __init__(self, sequence):
        self.sequence = sequence


class ProposalItem:
    """A payload to append; ``number`` is chosen by the caller."""

    __slots__ = ("number", "payload")

    def __init__(self, number, payload):
        self.number = number
        self.payload = payload


class Propose:
    """Asks to append a batch of proposals."""

    __slots__ = ("items",)

    def __init__(self, items):
        self.items = items


class ReadRequest:
    """Asks for an index that is safe to read at."""

    __slots__ = ("number",)

    def __init__(self, number):
        self.number = number


class SnapshotTaken:
    """A snapshot of the local state has become durable."""

    __slots__ = ("snapshot",)

    def __init__(self, snapshot):
        self.snapshot = snapshot


class Resign:
    """Asks a leader to give up its lead to a follower."""

    __slots__ = ()


class RemoveReplica:
    """Asks the leader to remove a member.

    Attributes:
        number: Number for the outcome.
        replica_id: The member to remove.
    """

    __slots__ = ("number", "replica_id")

    def __init__(self, number, replica_id):
        self.number = number
        self.replica_id = replica_id


class Outcome:
    """Answer to a proposal.

    Attributes:
        number: Number of the ProposalItem.
        outcome: ``committed``, ``refused`` (never appended) or
            ``unknown`` (may still be committed).
        reason: Why it is not committed.
        index: Index of the entry, 0 if it was not appended.
    """

    __slots__ = ("number", "outcome", "reason", "index")

    def __init__(self, number, outcome, reason, index):
        self.number = number
        self.outcome = outcome
        self.reason = reason
        self.index = index


class ReadReady:
    """Answer to a ReadRequest; ``index`` is -1 if it was refused."""

    __slots__ = ("number", "index")

    def __init__(self, number, index):
        self.number = number
        self.index = index


@message_kinds.register("HardState")
class HardState:
    """Term and vote; durable before a message depends on them."""

    __slots__ = ("term", "vote")

    def __init__(self, term, vote):
        self.term = term
        self.vote = vote


class Snapshot:
    """State of the state machine at a log index.

    Attributes:
        index: Last index contained.
        term: Term of that entry.
        members: Members as of that index.
        data: Encoded state.
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
    """What a replica found on its disk.

    Attributes:
        hard_state: HardState, term 0 for a new disk.
        snapshot: Newest Snapshot, or None.
        entries: Entries after the snapshot.
    """

    __slots__ = ("hard_state", "snapshot", "entries")

    def __init__(self, hard_state=None, snapshot=None, entries=()):
        self.hard_state = hard_state or HardState(0, "")
        self.snapshot = snapshot
        self.entries = list(entries)


class Persist:
    """What to make durable, in order of ``sequence``.

    Attributes:
        sequence: Reported back by Persisted.
        hard_state: New HardState, or None.
        snapshot: Snapshot received from the leader, or None.
        entries: Entries to write; they replace what the journal holds
            from the index of the first one.
        compact_index: Entries up to here are in a durable snapshot.
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
        messages: Messages that may be sent at once.
        install: Snapshot that replaces the state, or None; comes
            before ``committed``.
        committed: Newly committed entries in order.
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
            because a learner holds no lease and starts no election.
        min_election_timeout_ms: Shortest time without a leader before an election.
        election_jitter_ms: Random time added to ``min_election_timeout_ms``.
        lease_ms: Lease after an acknowledged heartbeat; shorter than
            ``min_election_timeout_ms`` by more than clocks drift apart in that time.
        join_interval_ms: Interval of JoinRequests.
        target_voters: Learners with a disk are promoted up to here.
        replace_voter_ms: A voter silent for so long is replaced when a
            learner with a disk is ready.
        remove_learner_ms: A learner silent for so long is removed.
        max_append_bytes: Largest payload of one Append.
        max_in_flight_entries: Most entries sent but not acknowledged by a peer.
        max_pending_entries: Most entries that the leader has appended and
            that are not yet committed and durable.
        max_payload_bytes: Largest payload of a proposal; an Append must fit
            into a frame of 1 MB.
        snapshot_piece_bytes: Size of a piece of a snapshot.
        may_form_cluster: Whether a blank replica may form a new cluster.
        retained_entries: Entries kept in memory behind a snapshot, so that
            a follower that lags a little needs no snapshot.
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
        "max_pending_entries",
        "max_payload_bytes",
        "snapshot_piece_bytes",
        "may_form_cluster",
        "retained_entries",
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
        self.max_pending_entries = 20_000
        self.max_payload_bytes = 512 * 1024
        self.snapshot_piece_bytes = 128 * 1024
        self.may_form_cluster = True
        self.retained_entries = retained_entries

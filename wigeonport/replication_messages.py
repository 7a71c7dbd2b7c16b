"""Messages between replicas.

A replica id is ``node/identity``. The identity is drawn at random when the
data directory is created. A node that has lost its disk therefore has
another replica id and does not count as the voter that it was before.

In every message ``sender`` and ``recipient`` are replica ids and ``term`` is
the sender's term, unless the class says otherwise.
"""

from wigeonport.codecs import message_kinds

DATA = 0
BLANK = 1
MEMBERS = 2


def node_of(replica_id):
    """Returns the node name of a replica id."""
    return replica_id.partition("/")[0]


@message_kinds.register("Entry")
class Entry:
    """One entry of the replicated log.

    Attributes:
        index: Position in the log, from 1.
        term: Term of the leader that appended it.
        kind: ``DATA``, ``BLANK`` (start of a term) or ``MEMBERS``.
        payload: Bytes for the state machine, or the encoded members.
    """

    __slots__ = ("index", "term", "kind", "payload")

    def __init__(self, index, term, kind, payload):
        self.index = index
        self.term = term
        self.kind = kind
        self.payload = payload


@message_kinds.register("PreVote")
class PreVote:
    """Asks whether the recipient would vote for the sender.

    Attributes:
        term: Term that the sender would stand for election in.
        last_index: Index of the sender's last entry.
        last_term: Term of the sender's last entry.
    """

    __slots__ = ("term", "sender", "recipient", "last_index", "last_term")

    def __init__(self, term, sender, recipient, last_index, last_term):
        self.term = term
        self.sender = sender
        self.recipient = recipient
        self.last_index = last_index
        self.last_term = last_term


@message_kinds.register("PreVoteReply")
class PreVoteReply:
    """Answers a PreVote.

    Attributes:
        proposed_term: ``term`` of the PreVote.
        granted: Whether the sender would vote for the recipient.
    """

    __slots__ = ("term", "sender", "recipient", "proposed_term", "granted")

    def __init__(self, term, sender, recipient, proposed_term, granted):
        self.term = term
        self.sender = sender
        self.recipient = recipient
        self.proposed_term = proposed_term
        self.granted = granted


@message_kinds.register("Vote")
class Vote:
    """Asks for the vote of the recipient in ``term``.

    Attributes:
        term: Term of the election.
        sender: The candidate.
        recipient: The voter.
        last_index: Index of the candidate's last entry.
        last_term: Term of the candidate's last entry.
        handed_over: Whether the former leader has given up its lease and
            asked the candidate to take over.
    """

    __slots__ = (
        "term",
        "sender",
        "recipient",
        "last_index",
        "last_term",
        "handed_over",
    )

    def __init__(
        self,
        term,
        sender,
        recipient,
        last_index,
        last_term,
        handed_over=False,
    ):
        self.term = term
        self.sender = sender
        self.recipient = recipient
        self.last_index = last_index
        self.last_term = last_term
        self.handed_over = handed_over


@message_kinds.register("HandOver")
class HandOver:
    """Asks the recipient to succeed the sender, the leader of ``term``."""

    __slots__ = ("term", "sender", "recipient")

    def __init__(self, term, sender, recipient):
        self.term = term
        self.sender = sender
        self.recipient = recipient


@message_kinds.register("VoteReply")
class VoteReply:
    """Answers a Vote; sent once the sender's term and vote are durable."""

    __slots__ = ("term", "sender", "recipient", "granted")

    def __init__(self, term, sender, recipient, granted):
        self.term = term
        self.sender = sender
        self.recipient = recipient
        self.granted = granted


@message_kinds.register("Append")
class Append:
    """Entries from the leader; without entries it is a heartbeat.

    Attributes:
        prev_index: Index before the first entry.
        prev_term: Term of the entry at ``prev_index``.
        entries: List of Entry, in log order.
        commit_index: Commit index of the leader.
        round: Number of the leader's heartbeat round.
        sent_ms: Time of sending on the leader's monotonic clock, in ms;
            the reply returns it unchanged.
    """

    __slots__ = (
        "term",
        "sender",
        "recipient",
        "prev_index",
        "prev_term",
        "entries",
        "commit_index",
        "round",
        "sent_ms",
    )

    def __init__(
        self,
        term,
        sender,
        recipient,
        prev_index,
        prev_term,
        entries,
        commit_index,
        round,
        sent_ms,
    ):
        self.term = term
        self.sender = sender
        self.recipient = recipient
        self.prev_index = prev_index
        self.prev_term = prev_term
        self.entries = entries
        self.commit_index = commit_index
        self.round = round
        self.sent_ms = sent_ms


@message_kinds.register("AppendReply")
class AppendReply:
    """Answers an Append.

    Attributes:
        success: False if the log differs from the leader's log at
            ``prev_index``, or if the term of the Append is too old.
        match_index: Highest index up to which the sender's log matches
            the leader's log and is durable; on failure, the index to try
            as the next ``prev_index``.
        prev_index: On failure, ``prev_index`` of the Append; otherwise 0.
        round: Copied from the Append.
        sent_ms: Copied from the Append.
    """

    __slots__ = (
        "term",
        "sender",
        "recipient",
        "success",
        "match_index",
        "prev_index",
        "round",
        "sent_ms",
    )

    def __init__(
        self,
        term,
        sender,
        recipient,
        success,
        match_index,
        prev_index,
        round,
        sent_ms,
    ):
        self.term = term
        self.sender = sender
        self.recipient = recipient
        self.success = success
        self.match_index = match_index
        self.prev_index = prev_index
        self.round = round
        self.sent_ms = sent_ms


@message_kinds.register("SnapshotPiece")
class SnapshotPiece:
    """One piece of the leader's snapshot.

    Attributes:
        index: Last log index that the snapshot contains.
        index_term: Term of the entry at ``index``.
        members: Encoded members as of ``index``.
        offset: Position of ``data`` in the snapshot, in bytes.
        size_bytes: Size of the whole snapshot.
        checksum: CRC-32 of the whole snapshot.
        data: The bytes of this piece.
    """

    __slots__ = (
        "term",
        "sender",
        "recipient",
        "index",
        "index_term",
        "members",
        "offset",
        "size_bytes",
        "checksum",
        "data",
    )

    def __init__(
        self,
        term,
        sender,
        recipient,
        index,
        index_term,
        members,
        offset,
        size_bytes,
        checksum,
        data,
    ):
        self.term = term
        self.sender = sender
        self.recipient = recipient
        self.index = index
        self.index_term = index_term
        self.members = members
        self.offset = offset
        self.size_bytes = size_bytes
        self.checksum = checksum
        self.data = data


@message_kinds.register("SnapshotReply")
class SnapshotReply:
    """Answers a SnapshotPiece while the snapshot is incomplete.

    Attributes:
        index: Last log index that the snapshot contains.
        offset: Number of bytes received, where the next piece starts.
    """

    __slots__ = ("term", "sender", "recipient", "index", "offset")

    def __init__(self, term, sender, recipient, index, offset):
        self.term = term
        self.sender = sender
        self.recipient = recipient
        self.index = index
        self.offset = offset


@message_kinds.register("JoinRequest")
class JoinRequest:
    """Asks to become a member; sent by a replica without a leader.

    Attributes:
        recipient: Node name, because the sender does not know the identity
            of the replica on that node.
        durable: Whether the sender keeps its log on a disk.
        blank: Whether the sender has no entry and has seen no term.
    """

    __slots__ = ("sender", "recipient", "durable", "blank")

    def __init__(self, sender, recipient, durable, blank):
        self.sender = sender
        self.recipient = recipient
        self.durable = durable
        self.blank = blank


@message_kinds.register("JoinReply")
class JoinReply:
    """Answers a JoinRequest with the state of the answering replica.

    Attributes:
        durable: Whether the sender keeps its log on a disk.
        blank: Whether the sender has no entry and has seen no term.
        leader_id: Replica id of the leader that the sender follows, or "".
    """

    __slots__ = ("sender", "recipient", "durable", "blank", "leader_id")

    def __init__(self, sender, recipient, durable, blank, leader_id):
        self.sender = sender
        self.recipient = recipient
        self.durable = durable
        self.blank = blank
        self.leader_id = leader_id


@message_kinds.register("ProposeForward")
class ProposeForward:
    """A proposal that a follower forwards to the leader.

    Attributes:
        number: Chosen by the sender; the ProposeReply carries it back.
        payload: Bytes for the state machine.
    """

    __slots__ = ("sender", "recipient", "number", "payload")

    def __init__(self, sender, recipient, number, payload):
        self.sender = sender
        self.recipient = recipient
        self.number = number
        self.payload = payload


@message_kinds.register("ProposeReply")
class ProposeReply:
    """Answers a ProposeForward.

    Attributes:
        number: Number of the ProposeForward.
        outcome: ``committed``, ``refused`` or ``unknown``, as in Outcome.
        reason: Why the entry is not known to be committed, or "".
        index: Log index of the entry, or 0 if it was not appended.
        answer: Answer of the state machine, encoded by it.
    """

    __slots__ = (
        "sender",
        "recipient",
        "number",
        "outcome",
        "reason",
        "index",
        "answer",
    )

    def __init__(
        self, sender, recipient, number, outcome, reason, index, answer
    ):
        self.sender = sender
        self.recipient = recipient
        self.number = number
        self.outcome = outcome
        self.reason = reason
        self.index = index
        self.answer = answer


@message_kinds.register("ReadIndex")
class ReadIndex:
    """Asks the leader for the index that a read must wait for.

    Attributes:
        number: Chosen by the sender; the ReadIndexReply carries it back.
    """

    __slots__ = ("sender", "recipient", "number")

    def __init__(self, sender, recipient, number):
        self.sender = sender
        self.recipient = recipient
        self.number = number


@message_kinds.register("ReadIndexReply")
class ReadIndexReply:
    """Answers a ReadIndex.

    Attributes:
        number: Number of the ReadIndex.
        index: Index that the reader must have applied, or -1 if the sender
            cannot tell it.
    """

    __slots__ = ("sender", "recipient", "number", "index")

    def __init__(self, sender, recipient, number, index):
        self.sender = sender
        self.recipient = recipient
        self.number = number
        self.index = index

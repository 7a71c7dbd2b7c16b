"""Requests to the consensus task and their answers."""

from wigeonport.codecs import message_kinds


@message_kinds.register("LoggedCommand")
class LoggedCommand:
    """Payload of a log entry that holds a command.

    Attributes:
        time_ms: Wall time at which the leader appended the entry.
        command: The encoded command.
    """

    __slots__ = ("time_ms", "command")

    def __init__(self, time_ms, command):
        self.time_ms = time_ms
        self.command = command


class Proposal:
    """Asks to apply a command; answered by a ProposalAnswer.

    Attributes:
        command: A registered message that the state has a handler for.
        reply: Reply channel.
    """

    __slots__ = ("command", "reply")

    def __init__(self, command, reply):
        self.command = command
        self.reply = reply


class ProposalAnswer:
    """Answer to a Proposal or a RemovalRequest.

    Attributes:
        outcome: ``committed``, ``refused`` (it never takes effect) or
            ``unknown`` (it may still take effect).
        reason: Why it is not known to be committed, or "".
        index: Index of the entry, or 0 if it is not known.
        answer: Answer of the state to a committed command, else None.
    """

    __slots__ = ("outcome", "reason", "index", "answer")

    def __init__(self, outcome, reason, index=0, answer=None):
        self.outcome = outcome
        self.reason = reason
        self.index = index
        self.answer = answer


class Read:
    """Asks for a view of the state; answered by an Ok or an Error.

    Attributes:
        make_view: Function that returns the view of a state. It must not
            change the state and must not return a part that changes later.
        reply: Reply channel.
        consistent: Whether the view must show every change that was
            acknowledged before the read. If not, it shows the local state,
            which may lag behind.
    """

    __slots__ = ("make_view", "reply", "consistent")

    def __init__(self, make_view, reply, consistent=True):
        self.make_view = make_view
        self.reply = reply
        self.consistent = consistent


class RemovalRequest:
    """Asks to remove a replica; answered by a ProposalAnswer.

    Attributes:
        replica_id: Id of the replica to remove.
        reply: Reply channel.
    """

    __slots__ = ("replica_id", "reply")

    def __init__(self, replica_id, reply):
        self.replica_id = replica_id
        self.reply = reply


class ResignRequest:
    """Asks the replica to hand over its leadership.

    Answered by True when the hand-over has been started.
    """

    __slots__ = ("reply",)

    def __init__(self, reply):
        self.reply = reply


class StatusRequest:
    """Asks for the Status of the replica."""

    __slots__ = ("reply",)

    def __init__(self, reply):
        self.reply = reply


class Status:
    """Status of the replica of this process.

    Attributes:
        replica_id: Id of the replica.
        role: Role of the replica in the current term.
        term: Current term.
        leader_id: Replica id of the leader, or "".
        lease_until_ms: On the leader, monotonic time until which no other
            leader can be elected; 0 on other replicas.
        ready: Whether the replica leads and has applied an entry of its
            term, so that its state contains all acknowledged changes.
        applied_index: Index of the last applied entry.
        commit_index: Highest committed index known.
        last_index: Last index of the log.
        members: Members of the group, sorted by replica id.
    """

    __slots__ = (
        "replica_id",
        "role",
        "term",
        "leader_id",
        "lease_until_ms",
        "ready",
        "applied_index",
        "commit_index",
        "last_index",
        "members",
    )

    def __init__(self, replica, applied_index):
        self.replica_id = replica.replica_id
        self.role = replica.role
        self.term = replica.term
        self.leader_id = replica.leader_id
        self.lease_until_ms = replica.lease_until_ms()
        self.ready = (
            replica.is_leader() and applied_index >= replica.term_start_index
        )
        self.applied_index = applied_index
        self.commit_index = replica.commit_index
        self.last_index = replica.log.last_index()
        by_id = replica.members().by_id
        self.members = [by_id[key] for key in sorted(by_id)]


class EntryApplied:
    """Tells observers that a command was applied to the state.

    Attributes:
        index: Index of its entry.
        term: Term of its entry.
        command: The command.
        answer: Answer of the state to the command.
    """

    __slots__ = ("index", "term", "command", "answer")

    def __init__(self, index, term, command, answer):
        self.index = index
        self.term = term
        self.command = command
        self.answer = answer


class SnapshotInstalled:
    """Tells observers that a snapshot replaced the state.

    Attributes:
        index: Index of the last entry that the snapshot contains.
    """

    __slots__ = ("index",)

    def __init__(self, index):
        self.index = index


class LeadershipNotice:
    """Tells observers that the term or the leader changed.

    Attributes:
        term: Current term.
        leader_id: Replica id of the leader, or "".
    """

    __slots__ = ("term", "leader_id")

    def __init__(self, term, leader_id):
        self.term = term
        self.leader_id = leader_id

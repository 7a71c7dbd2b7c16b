"""Requests to the consensus task and their answers."""

from wigeonport.codecs import message_kinds


@message_kinds.register("LoggedCommand")
class LoggedCommand:
    """Payload of an entry.

    Attributes:
        time_ms: Wall time at which the leader appended it.
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
    """What became of a proposal.

    Attributes:
        outcome: ``committed``, ``refused`` (it never takes effect) or
            ``unknown`` (it may take effect).
        reason: Why it is not committed, or "".
        index: Index of the entry, or 0.
        answer: Answer of the state if committed, else None.
    """

    __slots__ = ("outcome", "reason", "index", "answer")

    def __init__(self, outcome, reason, index=0, answer=None):
        self.outcome = outcome
        self.reason = reason
        self.index = index
        self.answer = answer


class Read:
    """Asks for a view of the state; answered by Ok or Error.

    Attributes:
        view: Function of the state; it must not change it and must not
            return a part of it that changes later.
        reply: Reply channel.
        consistent: Whether the view must show every change that was
            acknowledged before; otherwise the local state is used.
    """

    __slots__ = ("view", "reply", "consistent")

    def __init__(self, view, reply, consistent=True):
        self.view = view
        self.reply = reply
        self.consistent = consistent


class RemovalRequest:
    """Asks to remove a replica; answered by a ProposalAnswer.

    Attributes:
        replica_id: Replica to remove.
        reply: Reply channel.
    """

    __slots__ = ("replica_id", "reply")

    def __init__(self, replica_id, reply):
        self.replica_id = replica_id
        self.reply = reply


class ResignRequest:
    """Asks the replica to hand over its lead; answered when it has."""

    __slots__ = ("reply",)

    def __init__(self, reply):
        self.reply = reply


class StatusRequest:
    """Asks for a Status."""

    __slots__ = ("reply",)

    def __init__(self, reply):
        self.reply = reply


class Status:
    """Condition of the replica.

    Attributes:
        replica_id: Replica id of this process.
        role: Role in the current term.
        term: Current term.
        leader_id: Replica id of the leader, or "".
        lease_until_ms: On the leader, monotonic time until which no
            other leader can be elected, else 0.
        ready: Whether the leader has applied an entry of its term, so
            that its state contains all acknowledged changes.
        applied_index: Index of the last applied entry.
        commit_index: Highest committed index known.
        last_index: Last index of the log.
        members: Member objects, sorted by replica id.
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
    """Tells observers that an entry was applied.

    Attributes:
        index: Index of the entry.
        term: Term of the entry.
        command: The command.
        answer: Answer of the state.
    """

    __slots__ = ("index", "term", "command", "answer")

    def __init__(self, index, term, command, answer):
        self.index = index
        self.term = term
        self.command = command
        self.answer = answer


class SnapshotInstalled:
    """Tells observers that a snapshot replaced the state."""

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

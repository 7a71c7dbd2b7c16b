"""Open calls of the consensus task: proposals and reads in progress."""

import secrets

from expression import Error, Ok

from wigeonport.codecs import codecs
from wigeonport.consensus_requests import ProposalAnswer
from wigeonport.logs import PartLogger
from wigeonport.replica_events import UNKNOWN
from wigeonport.replication_messages import (
    ProposeReply,
    ReadIndexReply,
    node_of,
)

logger = PartLogger("consensus")

codec = codecs.get("thrift").ok()

# Longer than an election, so that most calls are answered; callers set their
# own, shorter deadlines.
CALL_TIMEOUT_MS = 10_000


class LocalProposal:
    """A proposal made by this process.

    Attributes:
        reply: Reply channel for a ProposalAnswer.
    """

    __slots__ = ("reply",)

    def __init__(self, reply):
        self.reply = reply

    def finish(self, answer):
        """Sends a ProposalAnswer to the proposer."""
        self.reply.send(answer)

    def abandon(self, reason):
        """Answers that the outcome is unknown, with the reason."""
        self.reply.send(ProposalAnswer(UNKNOWN, reason))


class RemoteProposal:
    """A proposal that another replica forwarded to this one.

    Attributes:
        message: The ProposeForward.
        send: Function ``(node, message)`` that does not wait.
    """

    __slots__ = ("message", "send")

    def __init__(self, message, send):
        self.message = message
        self.send = send

    def finish(self, answer):
        """Sends a ProposalAnswer to the replica that forwarded it."""
        message = self.message
        encoded = b""
        if answer.answer is not None:
            encoded = codec.encode(answer.answer)
        self.send(
            node_of(message.sender),
            ProposeReply(
                message.recipient,
                message.sender,
                message.number,
                answer.outcome,
                answer.reason,
                answer.index,
                encoded,
            ),
        )

    def abandon(self, reason):
        """Answers that the outcome is unknown, with the reason."""
        self.finish(ProposalAnswer(UNKNOWN, reason))


class LocalRead:
    """A read requested by this process.

    Attributes:
        make_view: Function that returns the view of a state.
        reply: Reply channel for an Ok or an Error.
    """

    __slots__ = ("make_view", "reply")

    def __init__(self, make_view, reply):
        self.make_view = make_view
        self.reply = reply

    def finish(self, state):
        """Answers with the view of a state.

        The function belongs to another filter, so an exception in it must
        not end the task that owns the log.
        """
        try:
            answer = Ok(self.make_view(state))
        except Exception as error:
            logger.error("State view raised an exception.", fault=repr(error))
            answer = Error(f"the view failed: {error!r}")
        self.reply.send(answer)

    def abandon(self, reason):
        """Answers with an error.

        A read has no effect, so that its outcome is never unknown.
        """
        self.reply.send(Error(reason))


class RemoteRead:
    """A read index requested by another replica.

    Attributes:
        message: The ReadIndex.
        send: Function ``(node, message)`` that does not wait.
    """

    __slots__ = ("message", "send")

    def __init__(self, message, send):
        self.message = message
        self.send = send

    def answer(self, index):
        """Sends the read index, or -1 if there is none."""
        message = self.message
        self.send(
            node_of(message.sender),
            ReadIndexReply(
                message.recipient, message.sender, message.number, index
            ),
        )

    def abandon(self, reason):
        """Answers that there is no read index."""
        self.answer(-1)


class OpenCall:
    """A call that has not been answered yet.

    Attributes:
        call: LocalProposal, RemoteProposal, LocalRead or RemoteRead.
        deadline_ms: Monotonic time at which it is abandoned.
        leader_id: Id of the leader that it was forwarded to, or "".
    """

    __slots__ = ("call", "deadline_ms", "leader_id")

    def __init__(self, call, deadline_ms, leader_id):
        self.call = call
        self.deadline_ms = deadline_ms
        self.leader_id = leader_id


class OpenCalls:
    """The calls that have not been answered yet.

    Attributes:
        last_number: Number of the last call opened. It starts at a random
            value, so that a late answer to a call from before a restart
            matches no open call.
        by_number: Maps the number of a call to its OpenCall, oldest first.
        waiting_reads: Pairs of a read index and the LocalRead that waits
            until this index is applied.
    """

    __slots__ = ("last_number", "by_number", "waiting_reads")

    def __init__(self):
        self.last_number = secrets.randbits(40) << 20
        self.by_number = {}
        self.waiting_reads = []

    def open(self, call, now_ms, leader_id=""):
        """Adds a call and returns its number.

        Args:
            call: LocalProposal, RemoteProposal, LocalRead or RemoteRead.
            now_ms: Current monotonic time.
            leader_id: Id of the leader that it is forwarded to, or "".
        """
        self.last_number += 1
        deadline_ms = now_ms + CALL_TIMEOUT_MS
        self.by_number[self.last_number] = OpenCall(
            call, deadline_ms, leader_id
        )
        return self.last_number

    def pop(self, number):
        """Removes a call and returns it, or None if it is not open."""
        open_call = self.by_number.pop(number, None)
        return open_call.call if open_call else None

    def expire(self, now_ms):
        """Abandons the calls whose deadline has passed."""
        while self.by_number:
            number = next(iter(self.by_number))
            if self.by_number[number].deadline_ms > now_ms:
                return
            self.pop(number).abandon("no answer within the call timeout")

    def abandon_stale_forwards(self, leader_id):
        """Abandons the calls that were forwarded to any other leader."""
        stale = [
            number
            for number, open_call in self.by_number.items()
            if open_call.leader_id and open_call.leader_id != leader_id
        ]
        for number in stale:
            self.pop(number).abandon("the leader changed")

    def abandon_all(self, reason):
        """Abandons all calls when the process stops."""
        for number in list(self.by_number):
            self.pop(number).abandon(reason)
        for _, read in self.waiting_reads:
            read.abandon(reason)
        self.waiting_reads = []

    def add_waiting_read(self, index, read):
        """Keeps a LocalRead until an index is applied."""
        self.waiting_reads.append((index, read))

    def answer_applied_reads(self, index, state):
        """Answers the reads that waited for this or a lower index."""
        if not self.waiting_reads:
            return
        still_waiting = []
        for read_index, read in self.waiting_reads:
            if read_index <= index:
                read.finish(state)
            else:
                still_waiting.append((read_index, read))
        self.waiting_reads = still_waiting

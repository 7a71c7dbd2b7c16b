"""Handlers of the messages in the inbox of the consensus task."""

from wigeonport.codecs import codecs
from wigeonport.consensus_calls import (
    LocalProposal,
    LocalRead,
    RemoteProposal,
    RemoteRead,
)
from wigeonport.consensus_requests import (
    Proposal,
    ProposalAnswer,
    Read,
    RemovalRequest,
    ResignRequest,
    Status,
    StatusRequest,
)
from wigeonport.logs import PartLogger
from wigeonport.registries import Registry
from wigeonport.replica_events import (
    COMMITTED,
    REFUSED,
    UNKNOWN,
    Persisted,
    ProposalItem,
    ReadRequest,
    RemoveReplica,
    Resign,
    SnapshotSkipped,
    SnapshotTaken,
    handlers,
)
from wigeonport.replication_messages import (
    ProposeForward,
    ProposeReply,
    ReadIndex,
    ReadIndexReply,
    node_of,
)

logger = PartLogger("consensus")

codec = codecs.get("thrift").ok()
inputs = Registry("consensus input")


def handles_input(kind):
    """Registers a function ``(consensus, message)`` for a message class."""
    return inputs.register(kind)


def dispatch(consensus, message):
    """Calls the handler of a message, or passes the message to the core."""
    handler = inputs.entries.get(type(message))
    if handler is not None:
        handler(consensus, message)
        return
    kind = type(message).__name__
    if kind not in handlers.entries:
        logger.warning(
            "Message without a handler ignored.",
            kind=kind,
        )
        return
    # Proposals that arrived before the message must be in the log first.
    consensus.append_batch()
    consensus.step(message)


@handles_input(Proposal)
def on_proposal(consensus, request):
    """Appends a proposal on the leader; forwards it on another replica."""
    replica = consensus.replica
    payload = codec.encode(request.command)
    call = LocalProposal(request.reply)
    now_ms = consensus.clock.now()
    if replica.is_leader():
        number = consensus.calls.open(call, now_ms)
        entry_payload = consensus.encode_command(payload)
        consensus.batch.append(ProposalItem(number, entry_payload))
    elif len(payload) > replica.settings.max_payload_bytes:
        call.finish(
            ProposalAnswer(REFUSED, "the payload is too large for a log entry")
        )
    elif replica.leader_id:
        leader_id = replica.leader_id
        number = consensus.calls.open(call, now_ms, leader_id)
        forward = ProposeForward(
            replica.replica_id, leader_id, number, payload
        )
        if not consensus.send(node_of(leader_id), forward):
            consensus.calls.pop(number)
            call.finish(ProposalAnswer(REFUSED, "the leader is unreachable"))
    else:
        call.finish(ProposalAnswer(REFUSED, "there is no leader"))


@handles_input(ProposeForward)
def on_forward(consensus, message):
    """Appends a proposal that another replica forwarded."""
    replica = consensus.replica
    if message.recipient != replica.replica_id:
        return
    call = RemoteProposal(message, consensus.send)
    if not replica.is_leader():
        call.finish(
            ProposalAnswer(REFUSED, "the addressed replica is not the leader")
        )
        return
    decoded = codec.decode(message.payload)
    if decoded.is_error():
        call.finish(ProposalAnswer(REFUSED, str(decoded.error)))
        return
    number = consensus.calls.open(call, consensus.clock.now())
    entry_payload = consensus.encode_command(message.payload)
    consensus.batch.append(ProposalItem(number, entry_payload))


@handles_input(ProposeReply)
def on_propose_reply(consensus, message):
    """Passes the leader's answer to the proposer of this process."""
    if message.recipient != consensus.replica.replica_id:
        return
    call = consensus.calls.pop(message.number)
    if call is None:
        return
    answer = None
    if message.outcome == COMMITTED and message.answer:
        decoded = codec.decode(message.answer)
        if decoded.is_error():
            call.finish(ProposalAnswer(UNKNOWN, str(decoded.error)))
            return
        answer = decoded.ok
    call.finish(
        ProposalAnswer(message.outcome, message.reason, message.index, answer)
    )


@handles_input(Read)
def on_read(consensus, request):
    """Answers a read of this process.

    A consistent read first asks the leader for the read index; any other
    read uses the local state at once.
    """
    replica = consensus.replica
    call = LocalRead(request.make_view, request.reply)
    now_ms = consensus.clock.now()
    if not request.consistent:
        call.finish(consensus.state)
    elif replica.is_leader():
        number = consensus.calls.open(call, now_ms)
        consensus.append_batch()
        consensus.step(ReadRequest(number))
    elif replica.leader_id:
        leader_id = replica.leader_id
        number = consensus.calls.open(call, now_ms, leader_id)
        consensus.send(
            node_of(leader_id),
            ReadIndex(replica.replica_id, leader_id, number),
        )
    else:
        call.abandon("there is no leader")


@handles_input(ReadIndex)
def on_read_index(consensus, message):
    """Determines the read index for another replica."""
    if message.recipient != consensus.replica.replica_id:
        return
    call = RemoteRead(message, consensus.send)
    number = consensus.calls.open(call, consensus.clock.now())
    consensus.append_batch()
    consensus.step(ReadRequest(number))


@handles_input(ReadIndexReply)
def on_read_index_reply(consensus, message):
    """Reads as soon as the read index from the leader is applied."""
    if message.recipient != consensus.replica.replica_id:
        return
    call = consensus.calls.pop(message.number)
    if call is not None:
        finish_read(consensus, call, message.index)


def finish_read(consensus, call, index):
    """Answers a read whose read index has been determined.

    A read of this process waits until the read index is applied.

    Args:
        consensus: The Consensus.
        call: LocalRead or RemoteRead.
        index: The read index, or -1 if there is none because the leader
            could not confirm its leadership.
    """
    if isinstance(call, RemoteRead):
        call.answer(index)
    elif index < 0:
        call.abandon("the leader could not confirm that it still leads")
    elif index <= consensus.applied_index:
        call.finish(consensus.state)
    else:
        consensus.calls.add_waiting_read(index, call)


@handles_input(RemovalRequest)
def on_removal(consensus, request):
    """Asks the core to remove a replica; only the leader does so."""
    call = LocalProposal(request.reply)
    number = consensus.calls.open(call, consensus.clock.now())
    consensus.append_batch()
    consensus.step(RemoveReplica(number, request.replica_id))


@handles_input(ResignRequest)
def on_resign(consensus, request):
    """Hands the leadership over before the process stops."""
    consensus.append_batch()
    consensus.step(Resign())
    request.reply.send(True)


@handles_input(StatusRequest)
def on_status(consensus, request):
    """Answers with the Status of the replica."""
    request.reply.send(Status(consensus.replica, consensus.applied_index))


@handles_input(Persisted)
def on_persisted(consensus, event):
    """Marks the journal writer as idle and tells the core."""
    consensus.write_in_progress = False
    consensus.append_batch()
    consensus.step(event)


@handles_input(SnapshotSkipped)
def on_snapshot_skipped(consensus, event):
    """Marks the snapshot writer as idle; the log stays until the next one."""
    consensus.snapshot_in_progress = False


@handles_input(SnapshotTaken)
def on_snapshot_taken(consensus, event):
    """Marks the snapshot writer as idle and tells the core."""
    consensus.snapshot_in_progress = False
    consensus.step(event)

"""Transfer of a snapshot from the leader to a peer, piece by piece."""

import zlib

from wigeonport.memberships import Members
from wigeonport.replica_events import Snapshot, handles
from wigeonport.replication_messages import (
    AppendReply,
    SnapshotPiece,
    SnapshotReply,
)


class IncomingSnapshot:
    """A snapshot that is being received.

    Attributes:
        index: Last log index that the snapshot contains.
        term: Term of the entry at ``index``.
        data: Bytes received so far.
    """

    __slots__ = ("index", "term", "data")

    def __init__(self, index, term):
        self.index = index
        self.term = term
        self.data = bytearray()


def start(replica, replica_id, progress):
    """Starts the transfer of the newest snapshot to one peer."""
    progress.snapshot = replica.snapshot
    progress.offset = 0
    _send_piece(replica, replica_id, progress)


def resend(replica, replica_id, progress):
    """Sends the last piece again if no reply came for a heartbeat interval."""
    waited_ms = replica.now_ms - progress.piece_sent_ms
    if waited_ms >= replica.settings.heartbeat_ms:
        _send_piece(replica, replica_id, progress)


def _send_piece(replica, replica_id, progress):
    snapshot = progress.snapshot
    progress.piece_sent_ms = replica.now_ms
    end = progress.offset + replica.settings.snapshot_piece_bytes
    replica.send(
        SnapshotPiece(
            replica.term,
            replica.replica_id,
            replica_id,
            snapshot.index,
            snapshot.term,
            snapshot.members.to_payload(),
            progress.offset,
            len(snapshot.data),
            snapshot.checksum,
            snapshot.data[progress.offset : end],
        )
    )


@handles(SnapshotReply)
def on_snapshot_reply(replica, message):
    """Sends the piece that the peer asks for next."""
    if not replica.accept_message(message) or not replica.is_leader():
        return
    progress = replica.progress.get(message.sender)
    if progress is None:
        return
    progress.last_reply_ms = replica.now_ms
    snapshot = progress.snapshot
    if snapshot is None or snapshot.index != message.index:
        return
    if message.offset == progress.offset:
        return
    progress.offset = message.offset
    if message.offset < len(snapshot.data):
        _send_piece(replica, message.sender, progress)


@handles(SnapshotPiece)
def on_snapshot_piece(replica, message):
    """Collects the pieces and installs the complete snapshot.

    If the checksum of the snapshot is wrong, the transfer starts again.
    """
    if not replica.accept_message(message):
        return
    replica.record_leader_contact(message.sender)
    if message.index <= replica.commit_index:
        _acknowledge(replica)
        return
    incoming = replica.incoming
    position = (message.index, message.index_term)
    if incoming is None or (incoming.index, incoming.term) != position:
        incoming = IncomingSnapshot(*position)
        replica.incoming = incoming
    if message.offset == len(incoming.data):
        incoming.data += message.data
    if len(incoming.data) >= message.size_bytes:
        replica.incoming = None
        data = bytes(incoming.data)
        if zlib.crc32(data) == message.checksum:
            _install(replica, message, data)
            return
        incoming.data.clear()
    replica.send_durable(
        SnapshotReply(
            replica.term,
            replica.replica_id,
            message.sender,
            message.index,
            len(incoming.data),
        )
    )


def _acknowledge(replica):
    replica.send_durable(
        AppendReply(
            replica.term,
            replica.replica_id,
            replica.leader_id,
            True,
            min(replica.verified_index, replica.log.durable_index),
            0,
            0,
            0,
        )
    )


def _install(replica, message, data):
    """Replaces state and log by the snapshot.

    If the log already has the last entry of the snapshot, the log is kept
    and committed up to it.
    """
    members = Members.from_payload(message.members)
    if replica.log.term_at(message.index) == message.index_term:
        replica.verified_index = max(replica.verified_index, message.index)
        replica.commit_to(message.index)
        _acknowledge(replica)
        return
    snapshot = Snapshot(message.index, message.index_term, members, data)
    replica.snapshot = snapshot
    replica.log.reset(snapshot)
    for pending_persist in replica.pending:
        pending_persist.last_index = 0
    replica.persist.snapshot = snapshot
    replica.out.install = snapshot
    replica.commit_index = snapshot.index
    replica.delivered_index = snapshot.index
    replica.verified_index = snapshot.index

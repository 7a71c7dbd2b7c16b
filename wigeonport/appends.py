"""Replication of entries and heartbeats from the leader to its peers."""

from wigeonport import linearizable_reads, snapshot_transfers
from wigeonport.replica_events import handles
from wigeonport.replication_messages import Append, AppendReply

PROBE = "probe"
REPLICATE = "replicate"
SNAPSHOT = "snapshot"

# Delay before the leader announces a new commit index in a message of its
# own; under load the next Append carries it and none is needed.
COMMIT_NOTICE_MS = 20


class Progress:
    """State of the replication to one peer, kept by the leader.

    All times are in ms on the leader's monotonic clock.

    Attributes:
        mode: ``probe`` (searches for the last matching entry, one Append
            at a time), ``replicate`` (pipelined) or ``snapshot``.
        match_index: Highest index known to match and to be durable on the
            peer.
        next_index: Index of the next entry to send.
        probe_sent: Whether a probe awaits its reply.
        last_reply_ms: When the last reply arrived; at first, when this
            Progress was created.
        acked_sent_ms: When the latest acknowledged Append was sent.
        round: Highest heartbeat round that the peer has acknowledged.
        sent_commit_index: Commit index that the last Append carried.
        snapshot: Snapshot being transferred, or None.
        offset: Number of bytes of ``snapshot`` that the peer has received.
        piece_sent_ms: When the last SnapshotPiece was sent.
    """

    __slots__ = (
        "mode",
        "match_index",
        "next_index",
        "probe_sent",
        "last_reply_ms",
        "acked_sent_ms",
        "round",
        "sent_commit_index",
        "snapshot",
        "offset",
        "piece_sent_ms",
    )

    def __init__(self, next_index, now_ms):
        self.mode = PROBE
        self.match_index = 0
        self.next_index = next_index
        self.probe_sent = False
        self.last_reply_ms = now_ms
        self.acked_sent_ms = 0
        self.round = 0
        self.sent_commit_index = 0
        self.snapshot = None
        self.offset = 0
        self.piece_sent_ms = 0


def refresh_progress(replica):
    """Adds and removes Progress so that each other member has one."""
    peer_ids = set(replica.members().by_id) - {replica.replica_id}
    for replica_id in set(replica.progress) - peer_ids:
        del replica.progress[replica_id]
    for replica_id in sorted(peer_ids - set(replica.progress)):
        replica.progress[replica_id] = Progress(
            max(1, replica.log.last_index()), replica.now_ms
        )


def send_all(replica):
    """Sends to every peer the entries that its window permits."""
    for replica_id, progress in replica.progress.items():
        send_entries(replica, replica_id, progress)


def send_entries(replica, replica_id, progress):
    """Sends to one peer the entries that its window permits.

    Starts the transfer of a snapshot if the entries that the peer lacks
    are compacted.
    """
    log = replica.log
    if progress.mode == SNAPSHOT:
        return
    if log.term_at(progress.next_index - 1) is None:
        progress.mode = SNAPSHOT
        snapshot_transfers.start(replica, replica_id, progress)
        return
    if progress.mode == PROBE:
        if not progress.probe_sent and progress.next_index <= log.last_index():
            progress.probe_sent = True
            _send_append(
                replica, replica_id, progress, _batch(replica, progress)
            )
        return
    while progress.next_index <= log.last_index():
        batch = _batch(replica, progress)
        if not batch:
            return
        _send_append(replica, replica_id, progress, batch)
        progress.next_index += len(batch)


def _batch(replica, progress):
    settings = replica.settings
    limit_index = progress.next_index + settings.max_in_flight_entries - 1
    if progress.mode == REPLICATE:
        in_flight_bytes = replica.log.size_between(
            progress.match_index, progress.next_index - 1
        )
        if in_flight_bytes >= settings.max_in_flight_bytes:
            return []
        limit_index = progress.match_index + settings.max_in_flight_entries
    if limit_index < progress.next_index:
        return []
    return replica.log.batch(
        progress.next_index, limit_index, settings.max_append_bytes
    )


def _send_append(replica, replica_id, progress, entries):
    prev_index = progress.next_index - 1
    prev_term = replica.log.term_at(prev_index)
    if progress.mode == SNAPSHOT or prev_term is None:
        # The entry before next_index is compacted. Index 0 matches every
        # log, so the Append serves as a heartbeat only.
        prev_index, prev_term, entries = 0, 0, []
    progress.sent_commit_index = replica.commit_index
    replica.send(
        Append(
            replica.term,
            replica.replica_id,
            replica_id,
            prev_index,
            prev_term,
            entries,
            replica.commit_index,
            replica.round,
            replica.now_ms,
        )
    )


def send_due_heartbeats(replica):
    """Sends the heartbeats and commit indexes that are due."""
    now_ms = replica.now_ms
    settings = replica.settings
    voters_due = now_ms >= replica.next_voter_heartbeat_ms
    learners_due = now_ms >= replica.next_learner_heartbeat_ms
    if voters_due or learners_due:
        replica.round += 1
    if voters_due:
        replica.next_voter_heartbeat_ms = now_ms + settings.heartbeat_ms
    if learners_due:
        replica.next_learner_heartbeat_ms = (
            now_ms + settings.learner_heartbeat_ms
        )
    notice_due = (
        replica.commit_notice_due_ms is not None
        and now_ms >= replica.commit_notice_due_ms
    )
    if notice_due:
        replica.commit_notice_due_ms = None
    members = replica.members()
    for replica_id, progress in replica.progress.items():
        due = voters_due if members.is_voter(replica_id) else learners_due
        if due:
            _send_heartbeat(replica, replica_id, progress)
        elif notice_due and progress.sent_commit_index < replica.commit_index:
            _send_append(replica, replica_id, progress, [])


def start_heartbeat_round(replica):
    """Sends a heartbeat to every other member at once."""
    replica.next_voter_heartbeat_ms = replica.now_ms
    replica.next_learner_heartbeat_ms = replica.now_ms
    send_due_heartbeats(replica)


def _send_heartbeat(replica, replica_id, progress):
    """Sends one heartbeat, with the entries that the peer lacks, if any."""
    if progress.mode == SNAPSHOT:
        _send_append(replica, replica_id, progress, [])
        snapshot_transfers.resend(replica, replica_id, progress)
        return
    progress.probe_sent = False
    sent_count = len(replica.out.messages)
    send_entries(replica, replica_id, progress)
    if len(replica.out.messages) == sent_count:
        _send_append(replica, replica_id, progress, [])


def advance_commit(replica):
    """Commits the entries that a quorum has made durable.

    Only an entry of the current term is committed by counting replicas;
    earlier entries are committed with it (Raft, section 5.4.2). A leader
    steps down once its own removal is committed.
    """
    index = replica.quorum_value(
        replica.log.durable_index,
        lambda progress: progress.match_index,
    )
    if index <= replica.commit_index:
        return
    if replica.log.term_at(index) != replica.term:
        return
    replica.commit_to(index)
    if replica.commit_notice_due_ms is None:
        replica.commit_notice_due_ms = replica.now_ms + COMMIT_NOTICE_MS
    linearizable_reads.answer(replica)
    members = replica.members()
    if replica.replica_id not in members.by_id and (
        replica.log.members_index() <= replica.commit_index
    ):
        send_all(replica)
        replica.become_follower(replica.term, "")


@handles(Append)
def on_append(replica, message):
    """Appends the leader's entries and acknowledges them.

    Entries that conflict with the leader's are removed first. If the entry
    before the first one does not match, the Append is rejected.
    """
    if not replica.accept_message(message):
        return
    replica.record_leader_contact(message.sender)
    log = replica.log
    prev_index = message.prev_index
    if prev_index >= log.base_index and (
        log.term_at(prev_index) != message.prev_term
    ):
        _reject(replica, message)
        return
    for entry in message.entries:
        if entry.index <= log.base_index:
            continue
        term = log.term_at(entry.index)
        if term == entry.term:
            continue
        if term is not None:
            replica.truncate_from(entry.index)
        log.append(entry)
        replica.persist.entries.append(entry)
    last_index = prev_index + len(message.entries)
    replica.verified_index = max(replica.verified_index, last_index)
    replica.commit_to(min(message.commit_index, replica.verified_index))
    # New entries are acknowledged once, after they are synced. Only the
    # first Append of a heartbeat round is acknowledged at once as well,
    # since it extends the leader's lease.
    if replica.persist.entries and message.round <= replica.acknowledged_round:
        return
    replica.acknowledged_round = max(replica.acknowledged_round, message.round)
    acknowledge(replica, message.round, message.sent_ms)


def acknowledge(replica, round=0, sent_ms=0):
    """Tells the leader up to which index the log is verified and durable.

    Args:
        replica: Replica.
        round: Round of the Append that is acknowledged, or 0 for none.
        sent_ms: ``sent_ms`` of that Append, or 0.
    """
    replica.send_durable(
        AppendReply(
            replica.term,
            replica.replica_id,
            replica.leader_id,
            True,
            min(replica.verified_index, replica.log.durable_index),
            0,
            round,
            sent_ms,
        )
    )


def _reject(replica, message):
    """Rejects an Append and names the index that the leader should try next.

    The hint skips all entries of the conflicting term.
    """
    log = replica.log
    hint_index = log.last_index()
    if message.prev_index <= hint_index:
        hint_index = log.first_index_of_term(message.prev_index) - 1
    replica.send_durable(
        AppendReply(
            replica.term,
            replica.replica_id,
            message.sender,
            False,
            max(hint_index, replica.commit_index),
            message.prev_index,
            message.round,
            message.sent_ms,
        )
    )


@handles(AppendReply)
def on_append_reply(replica, message):
    """Updates the progress of a peer and sends it the next entries."""
    if not replica.accept_message(message) or not replica.is_leader():
        return
    progress = replica.progress.get(message.sender)
    if progress is None:
        return
    progress.last_reply_ms = replica.now_ms
    progress.round = max(progress.round, message.round)
    progress.acked_sent_ms = max(progress.acked_sent_ms, message.sent_ms)
    if message.success:
        _on_success(replica, progress, message.match_index)
        advance_commit(replica)
    else:
        _on_failure(progress, message)
    if not replica.is_leader():
        return
    linearizable_reads.answer(replica)
    send_entries(replica, message.sender, progress)


def _on_success(replica, progress, match_index):
    progress.match_index = max(progress.match_index, match_index)
    progress.next_index = max(progress.next_index, progress.match_index + 1)
    if progress.mode == PROBE:
        progress.mode = REPLICATE
    elif progress.mode == SNAPSHOT and (
        progress.match_index >= progress.snapshot.index
    ):
        progress.mode = REPLICATE
        progress.snapshot = None
        progress.next_index = progress.match_index + 1


def _on_failure(progress, message):
    """Goes back to the follower's hint, unless the reply is outdated."""
    if progress.mode == SNAPSHOT:
        return
    if message.prev_index <= progress.match_index:
        return
    if progress.mode == PROBE and (
        message.prev_index != progress.next_index - 1
    ):
        return
    retry_index = min(message.match_index + 1, message.prev_index)
    progress.next_index = max(progress.match_index + 1, retry_index)
    progress.mode = PROBE
    progress.probe_sent = False

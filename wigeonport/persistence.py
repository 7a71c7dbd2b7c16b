"""Handling of Persists that have become durable, and log compaction."""

from wigeonport import appends, elections
from wigeonport.replica_events import Persisted, SnapshotTaken, handles


class PendingPersist:
    """A Persist that is not known to be durable yet.

    Attributes:
        sequence: Sequence of the Persist.
        last_index: Last log index that the Persist makes durable, or 0.
    """

    __slots__ = ("sequence", "last_index")

    def __init__(self, sequence, last_index):
        self.sequence = sequence
        self.last_index = last_index


@handles(Persisted)
def on_persisted(replica, event):
    """Sends what waited for the disk, and counts or acknowledges entries.

    A candidate counts its own vote, a leader advances its commit index and
    a follower acknowledges the entries that are durable now.
    """
    replica.durable_sequence = max(replica.durable_sequence, event.sequence)
    log = replica.log
    previous_durable_index = log.durable_index
    while replica.pending and replica.pending[0].sequence <= event.sequence:
        persisted = replica.pending.pop(0)
        log.durable_index = max(log.durable_index, persisted.last_index)
    deferred_messages = replica.deferred
    replica.deferred = []
    for sequence, message in deferred_messages:
        if sequence > event.sequence:
            replica.deferred.append((sequence, message))
        elif message.term == replica.term:
            replica.send(message)
    elections.count_own_vote(replica)
    if replica.is_leader():
        appends.advance_commit(replica)
    elif log.durable_index > previous_durable_index and replica.leader_id:
        appends.acknowledge(replica)


@handles(SnapshotTaken)
def on_snapshot_taken(replica, event):
    """Compacts the log after a snapshot of the local state is durable.

    The last ``retained_entries`` that the snapshot contains stay in memory,
    unless they take more than ``retained_bytes``.
    A snapshot that is not newer than the present one, or is beyond the
    delivered entries, is ignored.
    """
    snapshot = event.snapshot
    previous_index = replica.snapshot.index if replica.snapshot else 0
    if (
        snapshot.index <= previous_index
        or snapshot.index > replica.delivered_index
    ):
        return
    replica.snapshot = snapshot
    settings, log = replica.settings, replica.log
    log.compact_to(
        max(
            snapshot.index - settings.retained_entries,
            log.first_within(snapshot.index, settings.retained_bytes),
        )
    )
    replica.persist.compact_index = snapshot.index

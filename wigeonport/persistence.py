"""Progress of what a replica asked to make durable."""

from wigeonport import appends, elections
from wigeonport.replica_events import Persisted, SnapshotTaken, handles


class PendingPersist:
    """A Persist that is not known to be durable yet.

    Attributes:
        sequence: Its sequence.
        last_index: Last index that it makes durable, or 0.
    """

    __slots__ = ("sequence", "last_index")

    def __init__(self, sequence, last_index):
        self.sequence = sequence
        self.last_index = last_index


@handles(Persisted)
def on_persisted(replica, event):
    """Learns that entries and hard states are durable."""
    replica.durable_sequence = max(replica.durable_sequence, event.sequence)
    log = replica.log
    before_index = log.durable_index
    while replica.pending and replica.pending[0].sequence <= event.sequence:
        done = replica.pending.pop(0)
        log.durable_index = max(log.durable_index, done.last_index)
    waiting = replica.deferred
    replica.deferred = []
    for sequence, message in waiting:
        if sequence > event.sequence:
            replica.deferred.append((sequence, message))
        elif message.term == replica.term:
            replica.send(message)
    elections.count_own_vote(replica)
    if replica.is_leader():
        appends.advance_commit(replica)
    elif log.durable_index > before_index and replica.leader_id:
        appends.acknowledge(replica)


@handles(SnapshotTaken)
def on_snapshot_taken(replica, event):
    """Compacts the log behind a durable snapshot of the local state."""
    snapshot = event.snapshot
    known = replica.snapshot.index if replica.snapshot else 0
    if snapshot.index <= known or snapshot.index > replica.delivered_index:
        return
    replica.snapshot = snapshot
    keep_from = snapshot.index - replica.settings.retained_entries
    replica.log.compact_to(max(keep_from, replica.log.base_index))
    replica.persist.compact_index = snapshot.index

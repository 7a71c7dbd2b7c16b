"""Read index: reads that see every acknowledged change."""

from wigeonport.replica_events import ReadReady, ReadRequest, handles


class PendingRead:
    """A read that waits for a heartbeat round.

    Attributes:
        number: Number of the ReadRequest.
        round: Round that a quorum must acknowledge.
    """

    __slots__ = ("number", "round")

    def __init__(self, number, round):
        self.number = number
        self.round = round


@handles(ReadRequest)
def on_read_request(replica, event):
    """Answers under the lease, else after a heartbeat round."""
    if not replica.is_leader():
        replica.out.replies.append(ReadReady(event.number, -1))
        return
    if _has_lease(replica):
        replica.out.replies.append(
            ReadReady(event.number, replica.commit_index)
        )
        return
    replica.pending_reads.append(PendingRead(event.number, replica.round + 1))
    replica.start_heartbeat_round()
    answer(replica)


def _has_lease(replica):
    return (
        replica.commit_index >= replica.term_start_index
        and replica.now_ms < replica.lease_until_ms()
    )


def answer(replica):
    """Answers the reads whose round a quorum has acknowledged."""
    if not replica.pending_reads:
        return
    if replica.commit_index < replica.term_start_index:
        return
    round = replica.quorum_value(
        replica.round, lambda progress: progress.round
    )
    waiting = []
    for read in replica.pending_reads:
        if read.round > round:
            waiting.append(read)
            continue
        replica.out.replies.append(
            ReadReady(read.number, replica.commit_index)
        )
    replica.pending_reads = waiting


def refuse_all(replica):
    """Refuses the waiting reads when the leadership ends."""
    for read in replica.pending_reads:
        replica.out.replies.append(ReadReady(read.number, -1))
    replica.pending_reads = []

"""Linearizable reads by the read index (Ongaro, 2014, section 6.4).

A read that has applied the log up to the read index sees every change that
was acknowledged before the read was requested.
"""

from wigeonport.replica_events import ReadReady, ReadRequest, handles


class PendingRead:
    """A read that waits for a heartbeat round.

    Attributes:
        number: Number of the ReadRequest.
        round: Heartbeat round that a quorum must acknowledge first.
    """

    __slots__ = ("number", "round")

    def __init__(self, number, round):
        self.number = number
        self.round = round


@handles(ReadRequest)
def on_read_request(replica, event):
    """Answers at once under a lease, else after a heartbeat round.

    A replica that does not lead refuses the request.
    """
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
    """Answers the reads whose heartbeat round a quorum has acknowledged.

    The leader answers no read before an entry of its own term is
    committed, because until then its commit index may be too low.
    """
    if not replica.pending_reads:
        return
    if replica.commit_index < replica.term_start_index:
        return
    quorum_round = replica.quorum_value(
        replica.round, lambda progress: progress.round
    )
    still_pending = []
    for read in replica.pending_reads:
        if read.round > quorum_round:
            still_pending.append(read)
            continue
        replica.out.replies.append(
            ReadReady(read.number, replica.commit_index)
        )
    replica.pending_reads = still_pending


def refuse_all(replica):
    """Refuses the pending reads when the leadership ends."""
    for read in replica.pending_reads:
        replica.out.replies.append(ReadReady(read.number, -1))
    replica.pending_reads = []

"""Proposals to the replicated log."""

from wigeonport.replica_events import REFUSED, Outcome, Propose, handles
from wigeonport.replication_messages import DATA


@handles(Propose)
def on_propose(replica, event):
    """Appends the proposals that can be accepted and refuses the others."""
    settings = replica.settings
    appended = False
    for item in event.items:
        # A quorum of followers commits entries that are not yet on the
        # leader's disk. If that disk hangs, the backlog of writes must not
        # grow without bound, so an entry is pending until it is durable too.
        committed_durable_index = min(
            replica.commit_index, replica.log.durable_index
        )
        pending = replica.log.last_index() - committed_durable_index
        reason = ""
        if not replica.is_leader():
            reason = "the addressed replica is not the leader"
        elif pending >= settings.max_pending_entries:
            reason = "too many entries wait for commit or for the disk"
        elif (
            replica.log.size_between(
                committed_durable_index, replica.log.last_index()
            )
            >= settings.max_pending_bytes
        ):
            reason = "too many bytes wait for commit or for the disk"
        elif len(item.payload) > settings.max_payload_bytes:
            reason = "the payload is too large for a log entry"
        if reason:
            replica.out.replies.append(
                Outcome(item.number, REFUSED, reason, 0)
            )
            continue
        replica.append_as_leader(DATA, item.payload)
        replica.proposals[replica.log.last_index()] = item.number
        appended = True
    if appended:
        replica.broadcast()

"""Proposals to the replicated log."""

from wigeonport.replica_events import REFUSED, Outcome, Propose, handles
from wigeonport.replication_messages import DATA


@handles(Propose)
def on_propose(replica, event):
    """Appends a batch of proposals, or refuses them."""
    settings = replica.settings
    appended = False
    for item in event.items:
        # Followers may commit without the leader's disk; if it hangs, the
        # writes that wait for it must not grow without bound.
        settled_index = min(replica.commit_index, replica.log.durable_index)
        waiting = replica.log.last_index() - settled_index
        reason = ""
        if not replica.is_leader():
            reason = "not leader"
        elif waiting >= settings.max_pending_entries:
            reason = "too many entries wait for commit or for the disk"
        elif len(item.payload) > settings.max_payload_bytes:
            reason = "payload is too large"
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

"""Timers of a replica."""

from wigeonport import appends, elections, memberships
from wigeonport.replica_events import Tick, handles


@handles(Tick)
def on_tick(replica, event):
    """Starts the heartbeats, elections and JoinRequests that are due."""
    if replica.is_leader():
        if not elections.check_quorum(replica):
            return
        appends.send_due_heartbeats(replica)
        memberships.change_members_if_due(replica)
        return
    if replica.now_ms >= replica.election_deadline_ms:
        replica.reset_election_timer()
        if elections.may_campaign(replica):
            elections.start_pre_vote(replica)
    if replica.now_ms >= replica.join_due_ms:
        replica.join_due_ms = (
            replica.now_ms + replica.settings.join_interval_ms
        )
        if elections.lacks_leader(replica):
            memberships.ask_to_join(replica)

"""Transfer of the leadership from a leader that is about to stop.

The leader gives up its lease before it asks a follower to take over.
Voters therefore need not wait for the end of the lease before they vote.
"""

from wigeonport import elections
from wigeonport.replica_events import Resign, handles
from wigeonport.replication_messages import HandOver


@handles(Resign)
def on_resign(replica, event):
    """Steps down and asks the best successor, if any, to take over."""
    if not replica.is_leader():
        return
    successor = choose_successor(replica)
    replica.become_follower(replica.term, "")
    replica.reset_election_timer()
    if successor:
        replica.send(HandOver(replica.term, replica.replica_id, successor))


def choose_successor(replica):
    """Returns the voter that has the longest log, or "".

    Only voters that replied within the last election timeout count.
    """
    oldest_reply_ms = replica.now_ms - replica.settings.min_election_timeout_ms
    candidates = [
        (progress.match_index, voter)
        for voter in replica.members().voters
        if voter != replica.replica_id
        and (progress := replica.progress[voter]).last_reply_ms
        >= oldest_reply_ms
    ]
    return max(candidates, default=(0, ""))[1]


@handles(HandOver)
def on_hand_over(replica, message):
    """Starts an election without waiting for the former leader's lease."""
    if message.recipient != replica.replica_id:
        return
    if message.term != replica.term or not elections.may_campaign(replica):
        return
    elections.start_election(replica, handed_over=True)

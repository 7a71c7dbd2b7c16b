"""Pre-votes, votes and the start of a leader's term."""

from wigeonport import appends
from wigeonport.replica_events import (
    CANDIDATE,
    LEADER,
    PRE_CANDIDATE,
    handles,
)
from wigeonport.replication_messages import (
    BLANK,
    PreVote,
    PreVoteReply,
    Vote,
    VoteReply,
)


def may_campaign(replica):
    """Returns whether the replica may start an election."""
    return replica.durable and replica.members().is_voter(replica.replica_id)


def lacks_leader(replica):
    """Returns whether this replica is blank or lost contact with a leader."""
    limit_ms = 2 * replica.settings.learner_heartbeat_ms
    silent_ms = replica.now_ms - replica.leader_contact_ms
    return replica.is_blank() or silent_ms >= limit_ms


def check_quorum(replica):
    """Returns whether a quorum replied recently; if not, steps down."""
    last_reply_ms = replica.quorum_value(
        replica.now_ms, lambda progress: progress.last_reply_ms
    )
    if (
        replica.now_ms - last_reply_ms
        <= replica.settings.min_election_timeout_ms
    ):
        return True
    replica.become_follower(replica.term, "")
    return False


def _may_break_lease(replica):
    """Returns whether a vote now could break a leader's lease."""
    if replica.role == LEADER:
        return replica.now_ms < replica.lease_until_ms()
    silent_ms = replica.now_ms - replica.leader_contact_ms
    return silent_ms < replica.settings.min_election_timeout_ms


def _is_up_to_date(replica, message):
    """Returns whether the candidate's log is at least as new as this one."""
    own = (replica.log.last_term(), replica.log.last_index())
    return (message.last_term, message.last_index) >= own


def start_pre_vote(replica):
    """Asks the voters for a pre-vote, without a change of the term."""
    replica.role = PRE_CANDIDATE
    replica.leader_id = ""
    replica.votes = {replica.replica_id}
    _request_votes(replica, PreVote, replica.term + 1, replica.send)
    _tally_votes(replica)


def start_election(replica, handed_over=False):
    """Becomes a candidate in the next term.

    Args:
        replica: Replica.
        handed_over: Whether the leader of the present term has given up
            its lease and asked this replica to take over.
    """
    replica.role = CANDIDATE
    replica.votes = set()
    replica.set_hard_state(replica.term + 1, replica.replica_id)
    replica.verified_index = replica.commit_index
    replica.incoming = None
    replica.reset_election_timer()
    extra_fields = (handed_over,)
    _request_votes(
        replica, Vote, replica.term, replica.send_durable, extra_fields
    )


def _request_votes(replica, message_class, term, send, extra_fields=()):
    log = replica.log
    for voter in replica.members().voters:
        if voter != replica.replica_id:
            send(
                message_class(
                    term,
                    replica.replica_id,
                    voter,
                    log.last_index(),
                    log.last_term(),
                    *extra_fields,
                )
            )


def count_own_vote(replica):
    """Counts the candidate's own vote once it is durable."""
    if replica.role != CANDIDATE:
        return
    if replica.hard_state_sequence <= replica.durable_sequence:
        replica.votes.add(replica.replica_id)
        _tally_votes(replica)


def _tally_votes(replica):
    """Enters the next stage of the election if a quorum has agreed.

    A pre-candidate starts the election; a candidate becomes the leader.
    """
    members = replica.members()
    granted = replica.votes.intersection(members.voters)
    if len(granted) < members.quorum():
        return
    if replica.role == PRE_CANDIDATE:
        start_election(replica)
    elif replica.role == CANDIDATE:
        become_leader(replica)


def become_leader(replica):
    """Makes the winner of an election the leader.

    Its first entry is blank: an entry of an earlier term is committed only
    together with one of the current term (Raft, section 5.4.2).
    """
    replica.role = LEADER
    replica.leader_id = replica.replica_id
    replica.progress = {}
    replica.proposals = {}
    replica.pending_reads = []
    replica.round = 0
    replica.votes = set()
    replica.term_start_index = replica.log.last_index() + 1
    appends.refresh_progress(replica)
    replica.append_as_leader(BLANK, b"")
    appends.start_heartbeat_round(replica)


@handles(PreVote)
def on_pre_vote(replica, message):
    """Answers whether this replica would vote; does not change its term."""
    if message.recipient != replica.replica_id or not replica.durable:
        return
    granted = (
        message.term > replica.term
        and not _may_break_lease(replica)
        and _is_up_to_date(replica, message)
    )
    replica.send_durable(
        PreVoteReply(
            replica.term,
            replica.replica_id,
            message.sender,
            message.term,
            granted,
        )
    )


@handles(PreVoteReply)
def on_pre_vote_reply(replica, message):
    """Counts a pre-vote."""
    if message.recipient != replica.replica_id:
        return
    if message.term > replica.term:
        replica.become_follower(message.term, "")
    if replica.role != PRE_CANDIDATE:
        return
    # The reply may have a lower term than this replica: a voter that lags
    # behind grants the pre-vote in its own term.
    if message.granted and message.proposed_term == replica.term + 1:
        replica.votes.add(message.sender)
        _tally_votes(replica)


@handles(Vote)
def on_vote(replica, message):
    """Votes at most once in a term, and never while a leader may hold a lease.

    A leader that has handed over its leadership has given up its lease.
    """
    if message.recipient != replica.replica_id or not replica.durable:
        return
    breaks_lease = _may_break_lease(replica) and not message.handed_over
    if breaks_lease or not replica.accept_message(message):
        return
    granted = (
        replica.vote in ("", message.sender)
        and not replica.leader_id
        and _is_up_to_date(replica, message)
    )
    if granted:
        if not replica.vote:
            replica.set_hard_state(replica.term, message.sender)
        replica.reset_election_timer()
    replica.send_durable(
        VoteReply(replica.term, replica.replica_id, message.sender, granted)
    )


@handles(VoteReply)
def on_vote_reply(replica, message):
    """Counts a vote."""
    if not replica.accept_message(message) or replica.role != CANDIDATE:
        return
    if message.granted:
        replica.votes.add(message.sender)
        _tally_votes(replica)

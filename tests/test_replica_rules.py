"""Rules of the consensus core whose violation random schedules rarely show.

Each test drives the replica c/1 of the voters a/1, b/1 and c/1 step by step.
"""

import random

import pytest

from wigeonport.memberships import Member, Members
from wigeonport.replica_events import (
    COMMITTED,
    REFUSED,
    HardState,
    Persisted,
    ProposalItem,
    Propose,
    RecoveredState,
    RemoveReplica,
    Resign,
    Tick,
)
from wigeonport.replicas import Replica
from wigeonport.replication_messages import (
    DATA,
    MEMBERS,
    Append,
    AppendReply,
    Entry,
    HandOver,
    PreVote,
    PreVoteReply,
    Vote,
    VoteReply,
)

IDS = ("a/1", "b/1", "c/1")
START_MS = 10_000


@pytest.fixture
def make_replica():
    """Makes a replica in a group of three voters and a learner.

    It is c/1 by default and has restarted at START_MS.
    """

    def make(term=1, vote="", extra=(), durable=True, replica_id="c/1"):
        voters = [Member(each, True, True) for each in IDS]
        members = Members([*voters, Member("s/1", False, True)])
        first = Entry(1, 1, MEMBERS, members.to_payload())
        recovered = RecoveredState(
            HardState(term, vote), None, [first, *extra]
        )
        return Replica(
            replica_id,
            ("a", "b", "c"),
            durable,
            recovered,
            START_MS,
            random.Random(1),
            None,
        )

    return make


@pytest.fixture
def make_leader(make_replica):
    """Makes c/1 the leader of the next term; index 1 is committed."""

    def make(term=1, extra=()):
        replica = make_replica(term, "", extra)
        now_ms = START_MS + 5_000
        heartbeat = Append(term, "a/1", "c/1", 1, 1, [], 1, 1, 1)
        assert len(replica.step(heartbeat, START_MS).committed) == 1
        replica.step(Tick(), now_ms)
        replica.step(PreVoteReply(term, "a/1", "c/1", term + 1, True), now_ms)
        replica.step(Persisted(replica.sequence), now_ms)
        replica.step(VoteReply(term + 1, "a/1", "c/1", True), now_ms)
        assert replica.is_leader()
        return replica

    return make


def ack(replica, match_index):
    """Acknowledges an index as a/1 and returns the Output."""
    term, now_ms = replica.term, replica.now_ms
    reply = AppendReply(term, "a/1", "c/1", True, match_index, 0, 0, now_ms)
    return replica.step(reply, now_ms)


def append(term, sender, prev, entries):
    """Returns an Append to c/1 after the (index, term) pair ``prev``."""
    return Append(term, sender, "c/1", *prev, entries, 0, 1, 1)


def test_vote_is_sent_once_durable_and_kept_over_a_restart(make_replica):
    """A replica that crashed after its vote could vote twice in a term.

    The vote must be sent only after it is durable and must survive a restart,
    or two candidates could win the same term.
    """
    replica = make_replica()
    vote = Vote(2, "a/1", "c/1", 1, 1)
    out = replica.step(vote, START_MS + 2_000)
    assert not out.messages
    stored = out.persist.hard_state
    out = replica.step(Persisted(replica.sequence), START_MS + 2_001)
    assert [reply.granted for reply in out.messages] == [True]
    restarted = make_replica(stored.term, stored.vote)
    rival = Vote(2, "b/1", "c/1", 1, 1)
    out = restarted.step(rival, START_MS + 2_000)
    assert [reply.granted for reply in out.messages] == [False]


def test_no_vote_right_after_a_restart(make_replica):
    """A vote right after a restart could break a leader's lease.

    The replica may have acknowledged a heartbeat just before its crash.
    """
    replica = make_replica()
    out = replica.step(Vote(2, "a/1", "c/1", 9, 1), START_MS + 100)
    assert (out.messages, replica.term) == ([], 1)


def test_no_vote_without_a_disk(make_replica):
    """A replica without a disk forgets its vote in a restart.

    It could then vote twice in one term.
    """
    replica = make_replica(durable=False)
    for kind in (PreVote, Vote):
        out = replica.step(kind(2, "a/1", "c/1", 9, 1), START_MS + 5_000)
        assert not out.messages


def test_vote_for_an_earlier_identity_is_not_given(make_replica):
    """A replica on a new disk does not know the votes of the lost disk.

    If it answered requests to the earlier identity, it could vote twice.
    """
    replica = make_replica(replica_id="c/2")
    out = replica.step(Vote(2, "a/1", "c/1", 9, 1), START_MS + 5_000)
    assert (out.messages, replica.term) == ([], 1)


def test_earlier_term_is_not_committed_by_counting(make_leader):
    """An entry of an earlier term on a quorum can still be replaced.

    It may be committed only together with an entry of the current term.
    """
    leader = make_leader(2, [Entry(2, 2, DATA, b"old")])
    leader.step(Persisted(leader.sequence), leader.now_ms)
    assert not ack(leader, 2).committed
    assert [entry.index for entry in ack(leader, 3).committed] == [2, 3]


def test_leader_does_not_count_its_unsynced_entry(make_leader):
    """An unsynced entry of the leader is lost if the leader crashes.

    If it counted towards the commit, only one follower would have the entry
    after the crash, and the other could be elected without it.
    """
    leader = make_leader()
    assert not ack(leader, 2).committed
    out = leader.step(Persisted(leader.sequence), leader.now_ms)
    assert len(out.committed) == 1


def test_leader_with_a_hanging_disk_refuses_proposals(make_leader):
    """Guards against a backlog of writes that grows without bound.

    Followers commit the entries while the leader's disk hangs.
    """
    leader = make_leader()
    leader.settings.max_pending_entries = 3
    outcomes = []
    for number in range(5):
        item = ProposalItem(number, b"x")
        out = leader.step(Propose([item]), leader.now_ms)
        outcomes += [reply.outcome for reply in out.replies]
        for voter in ("a/1", "b/1"):
            index = leader.log.last_index()
            reply = AppendReply(2, voter, "c/1", True, index, 0, 0, 0)
            out = leader.step(reply, leader.now_ms)
            outcomes += [reply.outcome for reply in out.replies]
    assert outcomes == [COMMITTED, COMMITTED, REFUSED, REFUSED, REFUSED]


def test_one_change_of_members_at_a_time(make_leader):
    """Two pending changes of members could have disjoint quorums.

    Each quorum could then commit its own entries.
    """
    leader = make_leader()
    ack(leader, 1)
    out = leader.step(RemoveReplica(1, "b/1"), leader.now_ms)
    assert out.replies[0].outcome == REFUSED
    leader.step(Persisted(leader.sequence), leader.now_ms)
    ack(leader, 2)
    out = leader.step(RemoveReplica(2, "b/1"), leader.now_ms)
    assert not out.replies
    out = leader.step(RemoveReplica(3, "a/1"), leader.now_ms)
    assert out.replies[0].outcome == REFUSED


def test_replacement_is_promoted_before_a_voter_is_removed(make_leader):
    """If the silent voter were removed first, a lost disk would stop the log.

    The two remaining voters must both acknowledge the removal.
    """
    leader = make_leader()
    voter_sets = []
    for now_ms in range(leader.now_ms, leader.now_ms + 70_000, 200):
        leader.step(Tick(), now_ms)
        leader.step(Persisted(leader.sequence), now_ms)
        for peer in ("a/1", "s/1"):
            index, term = leader.log.last_index(), leader.term
            reply = AppendReply(
                term, peer, "c/1", True, index, 0, leader.round, now_ms
            )
            leader.step(reply, now_ms)
        voters = leader.members().voters
        if voters not in voter_sets:
            voter_sets.append(voters)
    assert voter_sets == [
        ["a/1", "b/1", "c/1"],
        ["a/1", "b/1", "c/1", "s/1"],
        ["a/1", "c/1", "s/1"],
    ]


def test_late_sync_does_not_cover_replaced_entries(make_replica):
    """The sync of replaced entries must not acknowledge their replacements.

    A new leader replaces entries while their fsync is still running.
    """
    replica = make_replica()
    now_ms = START_MS + 10
    old = [Entry(index, 1, DATA, b"old") for index in (2, 3)]
    replica.step(append(1, "a/1", (1, 1), old), now_ms)
    first_sequence = replica.sequence
    new = [Entry(index, 2, DATA, b"new") for index in (2, 3)]
    replica.step(append(2, "b/1", (1, 1), new), now_ms)
    out = replica.step(Persisted(first_sequence), now_ms)
    assert replica.log.durable_index == 1
    assert all(reply.match_index <= 1 for reply in out.messages)
    out = replica.step(Persisted(replica.sequence), now_ms)
    assert out.messages[-1].match_index == 3


def test_isolated_replica_does_not_raise_its_term(make_replica):
    """A returning replica with a higher term would depose a working leader.

    Without pre-votes, an isolated replica raises its term at each timeout.
    """
    replica = make_replica()
    for second in range(5, 60):
        replica.step(Tick(), START_MS + second * 1_000)
    assert replica.term == 1


def test_leader_hands_over_to_the_voter_with_the_longest_log(make_leader):
    """Without a successor, a planned stop costs an election timeout.

    A successor with a shorter log than another voter could lose the election.
    """
    leader = make_leader()
    ack(leader, 2)
    out = leader.step(Resign(), leader.now_ms)
    (hand_over,) = [m for m in out.messages if isinstance(m, HandOver)]
    assert (hand_over.recipient, hand_over.term) == ("a/1", leader.term)
    assert not leader.is_leader()


def test_voter_gives_a_handed_over_vote_at_once(make_replica):
    """A voter that waited for the end of a lease would delay a hand-over.

    The former leader has given up its lease, so the vote breaks none.
    """
    replica = make_replica()
    replica.step(Append(1, "a/1", "c/1", 1, 1, [], 1, 1, 1), START_MS + 5_000)
    refused = replica.step(Vote(2, "b/1", "c/1", 1, 1), START_MS + 5_010)
    assert not refused.messages
    vote = Vote(2, "b/1", "c/1", 1, 1, True)
    replica.step(vote, START_MS + 5_020)
    out = replica.step(Persisted(replica.sequence), START_MS + 5_021)
    assert [reply.granted for reply in out.messages] == [True]


def test_follower_that_is_asked_starts_an_election(make_replica):
    """A successor that waited for its own timeout would delay a hand-over."""
    replica = make_replica()
    replica.step(Append(1, "a/1", "c/1", 1, 1, [], 1, 1, 1), START_MS + 5_000)
    replica.step(HandOver(1, "a/1", "c/1"), START_MS + 5_010)
    out = replica.step(Persisted(replica.sequence), START_MS + 5_011)
    votes = [m for m in out.messages if isinstance(m, Vote)]
    assert {vote.recipient for vote in votes} == {"a/1", "b/1"}
    assert all(vote.handed_over and vote.term == 2 for vote in votes)


def test_late_hand_over_of_a_former_term_changes_nothing(make_replica):
    """A delayed HandOver of an earlier term would depose a later leader."""
    replica = make_replica(term=3)
    out = replica.step(HandOver(2, "a/1", "c/1"), START_MS + 5_000)
    assert (out.messages, replica.term) == ([], 3)

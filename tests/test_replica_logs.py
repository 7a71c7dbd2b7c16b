"""Tests of the bytes that the log holds in memory."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wigeonport.memberships import Member, Members
from wigeonport.replica_events import (
    REFUSED,
    HardState,
    Persisted,
    ProposalItem,
    Propose,
    RecoveredState,
    Snapshot,
    SnapshotTaken,
    Tick,
)
from wigeonport.replica_logs import ENTRY_BYTES, ReplicaLog
from wigeonport.replicas import Replica
from wigeonport.replication_messages import (
    DATA,
    MEMBERS,
    Append,
    AppendReply,
    Entry,
    PreVoteReply,
    VoteReply,
)

CHANGES = st.lists(
    st.tuples(
        st.sampled_from(["append", "truncate", "compact"]),
        st.integers(0, 40),
    ),
    max_size=40,
)


@given(CHANGES, st.integers(0, 400))
def test_offsets_follow_any_changes(changes, limit_bytes):
    """Guards against a log that believes itself smaller than it is."""
    log = ReplicaLog(0, 0, Members(), [])
    for kind, number in changes:
        middle = log.base_index + number % (len(log.entries) + 1)
        if kind == "append":
            payload = b"x" * number
            log.append(Entry(log.last_index() + 1, 1, DATA, payload))
        elif kind == "truncate":
            log.truncate_from(middle + 1)
        else:
            log.compact_to(middle)
        sizes = [len(each.payload) + ENTRY_BYTES for each in log.entries]
        last = log.last_index()
        assert log.size_between(log.base_index, last) == sum(sizes)
        assert log.size_between(0, last) == sum(sizes)
        first = log.first_within(last, limit_bytes)
        assert log.base_index <= first <= last
        assert log.size_between(first, last) <= limit_bytes
        if first > log.base_index:
            assert log.size_between(first - 1, last) > limit_bytes


@pytest.fixture
def leader():
    """A leader of three voters, whose followers acknowledge nothing."""
    voters = [Member(f"{node}/1", True, True) for node in "abc"]
    first = Entry(1, 1, MEMBERS, Members(voters).to_payload())
    recovered = RecoveredState(HardState(1, ""), None, [first])
    replica = Replica(
        "c/1", ("a", "b", "c"), True, recovered, 0, random.Random(1), None
    )
    replica.step(Append(1, "a/1", "c/1", 1, 1, [], 1, 1, 1), 0)
    replica.step(Tick(), 5_000)
    replica.step(PreVoteReply(1, "a/1", "c/1", 2, True), 5_000)
    replica.step(Persisted(replica.sequence), 5_000)
    replica.step(VoteReply(2, "a/1", "c/1", True), 5_000)
    assert replica.is_leader()
    return replica


def propose(replica, number, size_bytes):
    """Proposes an entry of a size and returns the Output."""
    item = ProposalItem(number, b"x" * size_bytes)
    return replica.step(Propose([item]), replica.now_ms)


def count_sent_bytes(out, recipient):
    """Returns the bytes of the entries that were sent to a peer."""
    return sum(
        len(entry.payload)
        for message in out.messages
        if isinstance(message, Append) and message.recipient == recipient
        for entry in message.entries
    )


def test_entries_under_way_to_a_silent_peer_are_bounded(leader):
    """Guards against copies of the log that wait for a peer that is stopped.

    They were bounded by number only, up to 4,096 of 192 KiB.
    """
    index = leader.log.last_index()
    reply = AppendReply(2, "a/1", "c/1", True, index, 0, 0, leader.now_ms)
    leader.step(reply, leader.now_ms)
    leader.settings.max_in_flight_bytes = 10_000
    sent_bytes = sum(
        count_sent_bytes(propose(leader, number, 1_000), "a/1")
        for number in range(50)
    )
    assert 9_000 < sent_bytes < 12_000
    reply = AppendReply(2, "a/1", "c/1", True, index + 8, 0, 0, leader.now_ms)
    out = leader.step(reply, leader.now_ms)
    assert count_sent_bytes(out, "a/1") > 0


def test_entries_that_wait_for_commit_are_bounded(leader):
    """Guards against proposals of many bytes while no quorum answers."""
    leader.settings.max_pending_bytes = 10_000
    outs = [propose(leader, number, 1_000) for number in range(20)]
    outcomes = [reply.outcome for out in outs for reply in out.replies]
    assert outcomes.count(REFUSED) >= 9


def test_entries_kept_after_a_snapshot_are_bounded(leader):
    """Guards against 500 large entries that stay in memory for good."""
    for number in range(20):
        propose(leader, number, 1_000)
    leader.settings.retained_bytes = 5_000
    last_index = leader.log.last_index()
    leader.delivered_index = last_index
    snapshot = Snapshot(last_index, 2, leader.members(), b"")
    leader.step(SnapshotTaken(snapshot), leader.now_ms)
    log = leader.log
    assert 0 < log.size_between(log.base_index, last_index) <= 5_000

"""Members of the replicated log and single-step changes to them."""

import json

from wigeonport.replica_events import (
    REFUSED,
    Outcome,
    RemoveReplica,
    handles,
)
from wigeonport.replication_messages import (
    MEMBERS,
    JoinReply,
    JoinRequest,
    node_of,
)


class Member:
    """One member of the replicated log.

    Attributes:
        replica_id: ``node/identity``.
        voter: Whether it counts towards a quorum; others are learners.
        durable: Whether it keeps its log on a disk.
    """

    __slots__ = ("replica_id", "voter", "durable")

    def __init__(self, replica_id, voter, durable):
        self.replica_id = replica_id
        self.voter = voter
        self.durable = durable


class Members:
    """An immutable set of members.

    Attributes:
        by_id: Maps replica id to Member.
        voters: Sorted replica ids of the voters.
    """

    __slots__ = ("by_id", "voters")

    def __init__(self, members=()):
        self.by_id = {member.replica_id: member for member in members}
        self.voters = sorted(m.replica_id for m in members if m.voter)

    def quorum(self):
        """Returns the number of voters that form a quorum."""
        return len(self.voters) // 2 + 1

    def is_voter(self, replica_id):
        """Returns whether the replica is a voter."""
        member = self.by_id.get(replica_id)
        return member is not None and member.voter

    def with_member(self, member):
        """Returns Members with ``member`` in place of others on its node."""
        node = node_of(member.replica_id)
        others = [
            other
            for other in self.by_id.values()
            if node_of(other.replica_id) != node
        ]
        return Members([*others, member])

    def without(self, replica_id):
        """Returns Members without one replica."""
        return Members(
            [
                member
                for member in self.by_id.values()
                if member.replica_id != replica_id
            ]
        )

    def to_payload(self):
        """Returns the members as bytes for an entry or a snapshot."""
        rows = sorted(
            [member.replica_id, member.voter, member.durable]
            for member in self.by_id.values()
        )
        return json.dumps(rows).encode()

    @classmethod
    def from_payload(cls, payload):
        """Decodes the bytes that ``to_payload`` returned."""
        return cls([Member(*row) for row in json.loads(payload or b"[]")])


def may_change(replica):
    """Returns whether this replica may append a change of members.

    Only the leader may. Single-step changes are safe only if at most one
    is uncommitted and the leader has committed an entry of its own term.
    """
    return (
        replica.is_leader()
        and replica.commit_index >= replica.term_start_index
        and replica.log.members_index() <= replica.commit_index
    )


def append_change(replica, members):
    """Appends a change of members; requires that may_change is true."""
    replica.append_as_leader(MEMBERS, members.to_payload())


def _has_responsive_quorum(replica, members):
    """Returns whether a quorum of ``members`` replied recently.

    A change that only silent voters could commit would stop the log. The
    send time of the acknowledged Append counts, not the arrival of the
    reply: a leader that was paused receives outdated replies when it
    resumes.
    """
    oldest_sent_ms = replica.now_ms - 2 * replica.settings.learner_heartbeat_ms
    responsive = [
        voter
        for voter in members.voters
        if voter == replica.replica_id
        or replica.progress[voter].acked_sent_ms >= oldest_sent_ms
    ]
    return len(responsive) >= members.quorum()


@handles(RemoveReplica)
def on_remove(replica, event):
    """Removes a member, or refuses if that is impossible or unsafe now."""
    members = replica.members()
    if (
        not may_change(replica)
        or event.replica_id not in members.by_id
        or not _has_responsive_quorum(
            replica, members.without(event.replica_id)
        )
    ):
        replica.out.replies.append(
            Outcome(
                event.number, REFUSED, "the member cannot be removed now", 0
            )
        )
        return
    append_change(replica, members.without(event.replica_id))
    replica.proposals[replica.log.last_index()] = event.number
    replica.broadcast()


@handles(JoinRequest)
def on_join_request(replica, message):
    """Answers a JoinRequest; the leader adds the sender as a learner."""
    if message.recipient != replica.node:
        return
    reply = JoinReply(
        replica.replica_id,
        message.sender,
        replica.durable,
        replica.is_blank(),
        replica.leader_id,
    )
    replica.out.messages.append(reply)
    members = replica.members()
    if message.sender in members.by_id or not may_change(replica):
        return
    node = node_of(message.sender)
    if node == replica.node or _node_is_active(replica, node):
        return
    learner = Member(message.sender, False, message.durable)
    append_change(replica, members.with_member(learner))
    replica.broadcast()


def _node_is_active(replica, node):
    """Returns whether a member on the node replied recently.

    A delayed JoinRequest of an earlier identity must not replace the
    current one.
    """
    oldest_reply_ms = (
        replica.now_ms - replica.settings.learner_heartbeat_ms * 2
    )
    return any(
        progress.last_reply_ms > oldest_reply_ms
        for replica_id, progress in replica.progress.items()
        if node_of(replica_id) == node
    )


@handles(JoinReply)
def on_join_reply(replica, message):
    """Forms a new cluster once every seed has replied with a blank log.

    Only the first seed by name does so, and only after replies from all
    others. If it has merely lost its disk, a peer replies with a log that
    is not blank, and it joins the existing cluster instead.
    """
    if message.recipient != replica.replica_id:
        return
    if message.leader_id:
        # The leader may be a node that is not a seed.
        replica.leader_hint = node_of(message.leader_id)
    if not replica.is_blank() or not replica.settings.may_form_cluster:
        return
    if not replica.durable or replica.node != min(replica.seeds, default=""):
        return
    node = node_of(message.sender)
    if not (message.blank and message.durable) or node not in replica.seeds:
        replica.blank_peers.pop(node, None)
        return
    replica.blank_peers[node] = message.sender
    other_seeds = set(replica.seeds) - {replica.node}
    if other_seeds <= set(replica.blank_peers):
        form_cluster(replica)


def form_cluster(replica):
    """Appends the first entry of a new log, which names the initial voters."""
    voter_ids = [replica.replica_id, *replica.blank_peers.values()]
    members = Members(
        [Member(replica_id, True, True) for replica_id in voter_ids]
    )
    replica.become_follower(1, "")
    replica.append_local(1, MEMBERS, members.to_payload())


def ask_to_join(replica):
    """Sends JoinRequests to the seeds, the members and the supposed leader.

    A blank replica that is the only seed forms a cluster by itself.
    """
    nodes = set(replica.seeds)
    nodes.update(node_of(replica_id) for replica_id in replica.members().by_id)
    nodes.add(replica.leader_hint or replica.node)
    nodes.discard(replica.node)
    is_only_node = (
        not nodes and replica.is_blank() and replica.settings.may_form_cluster
    )
    if is_only_node and replica.seeds and replica.durable:
        form_cluster(replica)
    for node in sorted(nodes):
        replica.out.messages.append(
            JoinRequest(
                replica.replica_id, node, replica.durable, replica.is_blank()
            )
        )


def change_members_if_due(replica):
    """Promotes, replaces or removes one member if due; only on the leader."""
    if not may_change(replica):
        return
    members = replica.members()
    if replica.replica_id not in members.by_id:
        return
    next_members = _next_members(replica, members)
    if next_members is not None and _has_responsive_quorum(
        replica, next_members
    ):
        append_change(replica, next_members)


def _next_members(replica, members):
    """Returns the members after the next change that is due, or None.

    A silent voter is removed only after its replacement has been promoted.
    The other order could stop the log for good: with three voters, both
    remaining ones must acknowledge the removal, and one of them may lose
    its disk at that moment.
    """
    settings = replica.settings
    silent_voter = _first_silent_member(
        replica, True, settings.replace_voter_ms
    )
    silent_learner = _first_silent_member(
        replica, False, settings.remove_learner_ms
    )
    ready_learner = _ready_learner(replica, members)
    surplus_count = len(members.voters) - settings.target_voters
    if ready_learner and surplus_count < (1 if silent_voter else 0):
        return members.with_member(Member(ready_learner, True, True))
    if surplus_count > 0:
        return members.without(silent_voter or _longest_silent_voter(replica))
    if silent_learner:
        return members.without(silent_learner)
    return None


def _longest_silent_voter(replica):
    """Returns the other voter whose last reply is the oldest."""
    voters = [
        voter
        for voter in replica.members().voters
        if voter != replica.replica_id
    ]
    return min(voters, key=lambda voter: replica.progress[voter].last_reply_ms)


def _ready_learner(replica, members):
    """Returns a responsive learner with a disk that has caught up, or None."""
    oldest_reply_ms = (
        replica.now_ms - 2 * replica.settings.learner_heartbeat_ms
    )
    for replica_id in sorted(members.by_id):
        member = members.by_id[replica_id]
        progress = replica.progress.get(replica_id)
        if member.voter or not member.durable or progress is None:
            continue
        if progress.match_index >= replica.commit_index and (
            progress.last_reply_ms >= oldest_reply_ms
        ):
            return replica_id
    return None


def _first_silent_member(replica, voter, limit_ms):
    for replica_id, progress in sorted(replica.progress.items()):
        member = replica.members().by_id[replica_id]
        if member.voter == voter and (
            replica.now_ms - progress.last_reply_ms > limit_ms
        ):
            return replica_id
    return None

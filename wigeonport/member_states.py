"""Replicated part: the member list of the control programs."""

from wigeonport.codecs import message_kinds
from wigeonport.documents import Field, Reporter, read_fields
from wigeonport.records import Record
from wigeonport.registries import Registry
from wigeonport.state_answers import CommandRefused, MemberChanged
from wigeonport.state_commands import HANDLERS, RemoveMember, SetMember

ROLES = Registry("member role")
VOTER = "voter"
LEARNER = "learner"


@ROLES.register(VOTER)
def voter_needs_identity(member):
    """A voter is known by the identity stored with its data."""
    return "" if member.identity else "a voter needs an identity"


@ROLES.register(LEARNER)
def learner_needs_nothing(member):
    """A learner holds no data that could be swapped."""
    return ""


@message_kinds.register("Member")
class Member(Record):
    """A control program that takes part in replication.

    Attributes:
        id: Node id.
        identity: Identity stored with the node's data; empty for a learner
            without a disk.
        role: ``voter`` or ``learner``.
        zone: Availability zone.
        host: Address of its links.
        port: Port of its links.
    """

    __slots__ = ("id", "identity", "role", "zone", "host", "port")
    FIELDS = (
        Field("id", "name"),
        Field("identity", "text", ""),
        Field("role", "name"),
        Field("zone", "name"),
        Field("host", "text"),
        Field("port", "whole", least=1, most=65_535),
    )

    def __init__(self, id, identity, role, zone, host, port):
        self.id = id
        self.identity = identity
        self.role = role
        self.zone = zone
        self.host = host
        self.port = port


class MemberState:
    """The member list.

    Attributes:
        members: Member by node id.
    """

    __slots__ = ("members",)

    def __init__(self):
        self.members = {}

    def voters(self):
        """Returns the ids of the voters, ordered."""
        return sorted(m.id for m in self.members.values() if m.role == VOTER)

    def to_document(self):
        """Returns plain data."""
        ordered = sorted(self.members.values(), key=lambda m: m.id)
        return {"members": [member.to_document() for member in ordered]}


def member_state_from_document(document):
    """Returns the MemberState of a snapshot."""
    state = MemberState()
    for item in document["members"]:
        state.members[item["id"]] = Member(**item)
    return state


@HANDLERS.register(SetMember)
def handle_set_member(state, command, now_ms):
    """Adds or replaces a member."""
    reporter = Reporter()
    member = command.member
    document = member.to_document()
    if read_fields(Member.FIELDS, document, ("member",), reporter) is None:
        return CommandRefused(str(reporter.findings))
    role = ROLES.get(member.role)
    fault = role.error if role.is_error() else role.ok(member)
    members = state.members.members
    if not fault and _is_last_voter(state, member.id):
        fault = "" if member.role == VOTER else "the last voter must stay"
    if fault:
        return CommandRefused(fault)
    members[member.id] = member
    return MemberChanged(member.id)


@HANDLERS.register(RemoveMember)
def handle_remove_member(state, command, now_ms):
    """Removes a member; removing an absent one changes nothing."""
    if _is_last_voter(state, command.member):
        return CommandRefused("the last voter must stay")
    state.members.members.pop(command.member, None)
    return MemberChanged(command.member)


def _is_last_voter(state, id):
    return state.members.voters() == [id]

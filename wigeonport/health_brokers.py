"""Health brokers: ask the leader which VMs are unavailable."""

import trio

from wigeonport.channels import ask
from wigeonport.codecs import message_kinds
from wigeonport.consensus_requests import StatusRequest
from wigeonport.links import Delivery
from wigeonport.state_requests import VmHealth, VmHealthQuery

TIMEOUT_MS = 1_000


@message_kinds.register("HealthRequest")
class HealthRequest:
    """Asks the leader for the health of the VMs."""

    __slots__ = ()


@message_kinds.register("HealthReply")
class HealthReply:
    """Answers a HealthRequest.

    Attributes:
        known: Whether the control leads and knows the health of the VMs.
        unavailable: ``unavailable`` of VmHealth.
        unheard: ``not_reporting`` of VmHealth.
    """

    __slots__ = ("known", "unavailable", "unheard")

    def __init__(self, known, unavailable, unheard):
        self.known = known
        self.unavailable = unavailable
        self.unheard = unheard


def to_reply(health):
    """Returns the HealthReply for a VmHealth; None means not known."""
    if health is None:
        return HealthReply(False, [], [])
    return HealthReply(True, health.unavailable, health.not_reporting)


def to_health(reply):
    """Returns the VmHealth of a HealthReply, or None if it carries none."""
    if not reply.known:
        return None
    return VmHealth(reply.unavailable, reply.unheard)


class HealthBroker:
    """Answers health queries from the local planner or from the leader.

    Attributes:
        consensus: Mailbox of the consensus task.
        planner: Mailbox of the planner.
        dialers: Maps node id to the Dialer of another control.
    """

    __slots__ = ("consensus", "planner", "dialers")

    def __init__(self, consensus, planner, dialers):
        self.consensus = consensus
        self.planner = planner
        self.dialers = dialers

    async def handle(self, message):
        """Answers a query of this process or of another control.

        Another control's query is not forwarded.
        """
        if isinstance(message, Delivery):
            message.respond(to_reply(await self.ask_planner()))
        else:
            message.reply.send(await self.find_health())

    async def ask_planner(self):
        """Returns the VmHealth of the local planner.

        None if this control does not lead or its planner does not answer.
        """
        answer = await ask(self.planner, VmHealthQuery, TIMEOUT_MS)
        return answer.default_value(None)

    async def find_health(self):
        """Returns the VmHealth of this control or else of the leader.

        None if neither knows it, or the leader is unknown or does not answer.
        """
        health = await self.ask_planner()
        if health is not None:
            return health
        status = await ask(self.consensus, StatusRequest, TIMEOUT_MS)
        if status.is_error():
            return None
        leader = status.ok.leader_id.partition("/")[0]
        dialer = self.dialers.get(leader)
        if dialer is None:
            return None
        answer = await dialer.ask(HealthRequest(), TIMEOUT_MS)
        if answer.is_error() or not isinstance(answer.ok, HealthReply):
            return None
        return to_health(answer.ok)


async def broker_health(inbound, broker):
    """Answers health queries concurrently."""
    async with trio.open_nursery() as nursery:
        async for message in inbound:
            nursery.start_soon(broker.handle, message)

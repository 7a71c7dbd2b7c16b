"""Tests of health brokers: followers ask the leader for VM health."""

import pytest
import trio
from expression import Ok

from wigeonport.codecs import codecs
from wigeonport.health_brokers import HealthBroker, HealthRequest
from wigeonport.links import Delivery
from wigeonport.state_requests import VmHealth

CODEC = codecs.get("thrift").ok()


class FixedReplyMailbox:
    """Mailbox that answers each message at once with the same value."""

    name = "answerer"

    def __init__(self, answer):
        self.answer = answer

    async def put(self, message):
        """Answers a message and reports it as delivered."""
        message.reply.send(self.answer)
        return True


class LeaderStatus:
    """Stands for the status of a follower, which names the leader."""

    leader_id = "leader/1"


class LeaderLink:
    """Dialer to the leader that encodes and decodes each message."""

    def __init__(self, broker):
        self.broker = broker
        self.response = None

    def submit(self, outgoing):
        """Receives the response of the leader."""
        self.response = CODEC.decode(CODEC.encode(outgoing.message)).ok
        return True

    async def ask(self, message, timeout_ms):
        """Passes a call to the leader's broker; returns its response."""
        sent = CODEC.decode(CODEC.encode(message)).ok
        assert isinstance(sent, HealthRequest)
        await self.broker.handle(Delivery(sent, None, self, 1))
        return Ok(self.response)


@pytest.fixture
def ask_follower():
    """Returns a function that asks a follower for the health of the VMs.

    The function takes the VmHealth that the leader's planner answers.
    """

    def ask(health):
        leader = HealthBroker(
            FixedReplyMailbox(None), FixedReplyMailbox(health), {}
        )
        follower = HealthBroker(
            FixedReplyMailbox(LeaderStatus()),
            FixedReplyMailbox(None),
            {"leader": LeaderLink(leader)},
        )
        return trio.run(follower.find_health)

    return ask


def test_follower_learns_the_health_from_the_leader(ask_follower):
    """A reply that cannot be encoded must not stop the leader.

    This happened: a control that did not lead was asked for a grant and asked
    the leader, whose reply held an object where the thrift struct has texts.
    The leader's process ended.
    """
    health = ask_follower(VmHealth(["vm-1", "vm-2"], ["vm-2"]))
    assert health.unavailable == ["vm-1", "vm-2"]
    assert health.not_reporting == ["vm-2"]


def test_unknown_health_stays_unknown(ask_follower):
    """VMs of unknown health must not be granted as if they were healthy."""
    assert ask_follower(None) is None

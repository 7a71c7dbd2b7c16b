"""Tests of the health of the VMs that followers ask the leader for."""

import pytest
import trio
from expression import Ok

from wigeonport.codecs import codecs
from wigeonport.health_brokers import HealthBroker, HealthRequest
from wigeonport.links import Delivery
from wigeonport.state_requests import VmHealth

CODEC = codecs.get("thrift").ok()


class Answerer:
    """A mailbox that answers each message at once."""

    name = "answerer"

    def __init__(self, answer):
        self.answer = answer

    async def put(self, message):
        """Answers a message."""
        message.reply.send(self.answer)
        return True


class LeaderStatus:
    """Stands for the Status of a follower."""

    leader_id = "leader/1"


class LeaderLink:
    """A dialer whose messages pass through the codec."""

    def __init__(self, broker):
        self.broker = broker
        self.response = None

    def submit(self, outgoing):
        """Takes the response of the leader."""
        self.response = CODEC.decode(CODEC.encode(outgoing.message)).ok
        return True

    async def ask(self, message, timeout_ms):
        """Hands a call to the leader's broker; returns its response."""
        sent = CODEC.decode(CODEC.encode(message)).ok
        assert isinstance(sent, HealthRequest)
        await self.broker.handle(Delivery(sent, None, self, 1))
        return Ok(self.response)


@pytest.fixture
def ask_follower():
    """Returns what a follower learns of a leader's health."""

    def ask(health):
        leader = HealthBroker(Answerer(None), Answerer(health), {})
        follower = HealthBroker(
            Answerer(LeaderStatus()),
            Answerer(None),
            {"leader": LeaderLink(leader)},
        )
        return trio.run(follower.find_health)

    return ask


def test_follower_learns_the_health_from_the_leader(ask_follower):
    """Guards against a reply that cannot be sent and ends the leader.

    Asking a control that did not lead for a grant ended the control that
    did, because the reply held an object where the wire has texts.
    """
    health = ask_follower(VmHealth(["vm-1", "vm-2"], ["vm-2"]))
    assert health.unavailable == ["vm-1", "vm-2"]
    assert health.not_reporting == ["vm-2"]


def test_unknown_health_stays_unknown(ask_follower):
    """Guards against a grant that takes unknown VMs for healthy ones."""
    assert ask_follower(None) is None

"""Tests of the exchange of endpoint tables between entries."""

import itertools

import pytest

from wigeonport.endpoints import (
    LEAVING,
    Announced,
    EndpointChanged,
    EndpointLost,
)
from wigeonport.exchange_messages import EndpointUpdate, TableDigest
from wigeonport.exchanges import Broadcast, SendTo, TableExchange

STEP_MS = 50


class Network:
    """Entries whose messages arrive at once unless they are dropped."""

    def __init__(self, count):
        self.now_ms = 0
        self.exchanges = {}
        self.usable = {}
        self.sent = []
        self.drop = lambda source, target, message: False
        for index in range(count):
            self.start(f"n{index}")

    def start(self, node_id, epoch=100):
        """Starts an entry with an empty table."""
        self.exchanges[node_id] = TableExchange(node_id, epoch, 2_500, 1_000)
        self.usable[node_id] = {}

    def perform(self, source, commands):
        """Delivers messages and applies changes."""
        for command in commands:
            if isinstance(command, EndpointChanged):
                record = command.record
                self.usable[source][record.endpoint_id] = command
            elif isinstance(command, EndpointLost):
                del self.usable[source][command.endpoint_id]
            elif isinstance(command, SendTo):
                self.deliver(source, command.node_id, command.message)
            elif isinstance(command, Broadcast):
                for target in list(self.exchanges):
                    if target != source:
                        self.deliver(source, target, command.message)

    def deliver(self, source, target, message):
        """Delivers one message unless it is dropped."""
        self.sent.append(message)
        if target not in self.exchanges or self.drop(source, target, message):
            return
        exchange = self.exchanges[target]
        self.perform(target, exchange.step(message, self.now_ms))

    def announce(self, record, *node_ids):
        """Lets an endpoint announce to some entries."""
        for node_id in node_ids:
            exchange = self.exchanges[node_id]
            commands = exchange.step(Announced(record), self.now_ms)
            self.perform(node_id, commands)

    def run(self, duration_ms, announce=lambda: None):
        """Lets time pass; ``announce`` is called each second."""
        for _ in range(duration_ms // STEP_MS):
            self.now_ms += STEP_MS
            if self.now_ms % 1_000 == 0:
                announce()
            for node_id, exchange in list(self.exchanges.items()):
                self.perform(node_id, exchange.tick(self.now_ms))

    def ready_at(self, endpoint_id):
        """Returns the entries that would send work to an endpoint."""
        return {
            node_id
            for node_id, usable in self.usable.items()
            if endpoint_id in usable
            and usable[endpoint_id].record.state != LEAVING
        }


@pytest.fixture
def network():
    """Seven entries."""
    return Network(7)


@pytest.fixture
def beat(make_record):
    """Makes the next announcement of an endpoint."""
    numbers = itertools.count(1)

    def make(endpoint_id="e1", **changes):
        return make_record(endpoint_id, sequence=next(numbers), **changes)

    return make


ALL = {f"n{index}" for index in range(7)}


def test_heartbeats_are_not_passed_on(network, beat):
    """Guards against traffic that grows with workers times entries."""
    network.announce(beat(), "n0")
    assert network.ready_at("e1") == ALL
    network.run(2_000, lambda: network.announce(beat(), "n0"))
    network.sent.clear()
    network.run(10_000, lambda: network.announce(beat(), "n0"))
    assert {type(message) for message in network.sent} == {TableDigest}
    assert len(network.sent) == 10 * 7 * 6


@pytest.mark.parametrize("heard_by", [["n0"], ["n3"], []])
def test_leaving_is_known_everywhere_within_three_seconds(
    network, beat, heard_by
):
    """Guards against work sent to an endpoint that has left."""
    both = ("n0", "n3")
    network.announce(beat(), *both)
    network.run(3_000, lambda: network.announce(beat(), *both))
    network.announce(beat(state=LEAVING), *heard_by)
    network.run(3_000)
    assert network.ready_at("e1") == set()


def test_lost_update_is_repaired_by_the_next_digest(network, beat):
    """Guards against an endpoint that stays unknown or leaving unseen."""
    network.announce(beat(), "n0")
    network.run(1_100)
    network.drop = lambda source, target, message: (
        isinstance(message, EndpointUpdate) and target == "n5"
    )
    network.announce(beat(state=LEAVING), "n0")
    network.announce(beat("e2"), "n0")
    assert "n5" in network.ready_at("e1")
    network.run(500)
    assert network.ready_at("e1") == set()
    assert network.ready_at("e2") == ALL


def test_silent_entry_loses_only_what_it_alone_heard(network, beat):
    """Guards against endpoints kept for good after their entry died."""
    network.announce(beat("e1"), "n0")
    network.announce(beat("e2"), "n0", "n1")
    network.run(1_000, lambda: network.announce(beat("e2"), "n1"))
    del network.exchanges["n0"], network.usable["n0"]
    network.run(3_000, lambda: network.announce(beat("e2"), "n1"))
    assert network.ready_at("e1") == set()
    assert network.ready_at("e2") == ALL - {"n0"}
    assert {u["e2"].owner for u in network.usable.values()} == {"n1"}


def test_older_record_does_not_bring_a_left_endpoint_back(network, beat):
    """Guards against a resurrection by an entry that missed the leaving."""
    late = beat()
    network.announce(beat(state=LEAVING), "n3")
    network.run(2_000)
    network.announce(late, "n0")
    network.run(1_000)
    assert network.ready_at("e1") == set()
    network.announce(beat(incarnation=2), "n0")
    assert network.ready_at("e1") == ALL


def test_restarted_entry_with_an_earlier_epoch_is_taken_over(network, beat):
    """Guards against a table ignored after the wall clock went back."""
    network.announce(beat("e1"), "n0")
    network.run(500)
    network.start("n0", epoch=50)
    network.announce(beat("e2"), "n0")
    network.run(3_000, lambda: network.announce(beat("e2"), "n0"))
    assert network.ready_at("e1") == set()
    assert network.ready_at("e2") == ALL


def test_owner_stays_when_another_entry_joins(network, beat):
    """Guards against two entries that grant the same slots."""
    network.announce(beat(), "n3")
    network.announce(beat(), "n3", "n0")
    network.run(2_000, lambda: network.announce(beat(), "n0", "n3"))
    assert {u["e1"].owner for u in network.usable.values()} == {"n3"}

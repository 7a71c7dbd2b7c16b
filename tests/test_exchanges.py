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
    """Simulated entries; their messages arrive at once or are dropped.

    Attributes:
        now_ms: Simulated time.
        exchanges: Maps node id to the TableExchange of that entry.
        published: Maps node id to a dict of endpoint id to its latest
            EndpointChanged.
        sent: All messages that were sent.
        drop: Function of source, target and message; returns whether the
            message is dropped.
    """

    def __init__(self, count):
        self.now_ms = 0
        self.exchanges = {}
        self.published = {}
        self.sent = []
        self.drop = lambda source, target, message: False
        for index in range(count):
            self.start(f"n{index}")

    def start(self, node_id, epoch=100):
        """Starts an entry with an empty table."""
        self.exchanges[node_id] = TableExchange(node_id, epoch, 2_500, 1_000)
        self.published[node_id] = {}

    def perform(self, source, commands):
        """Delivers the messages and records the changes of a step."""
        for command in commands:
            if isinstance(command, EndpointChanged):
                record = command.record
                self.published[source][record.endpoint_id] = command
            elif isinstance(command, EndpointLost):
                del self.published[source][command.endpoint_id]
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
        """Sends the announcement of an endpoint to some entries."""
        for node_id in node_ids:
            exchange = self.exchanges[node_id]
            commands = exchange.step(Announced(record), self.now_ms)
            self.perform(node_id, commands)

    def run(self, duration_ms, announce=lambda: None):
        """Advances the time; calls ``announce`` once per second."""
        for _ in range(duration_ms // STEP_MS):
            self.now_ms += STEP_MS
            if self.now_ms % 1_000 == 0:
                announce()
            for node_id, exchange in list(self.exchanges.items()):
                self.perform(node_id, exchange.tick(self.now_ms))

    def ready_at(self, endpoint_id):
        """Returns the ids of entries that may send requests to an endpoint."""
        return {
            node_id
            for node_id, published in self.published.items()
            if endpoint_id in published
            and published[endpoint_id].record.state != LEAVING
        }


@pytest.fixture
def network():
    """A network of seven entries."""
    return Network(7)


@pytest.fixture
def next_record(make_record):
    """Returns a function that makes records with increasing sequences."""
    numbers = itertools.count(1)

    def make(endpoint_id="e1", **changes):
        return make_record(endpoint_id, sequence=next(numbers), **changes)

    return make


ALL_ENTRIES = {f"n{index}" for index in range(7)}


def test_heartbeats_are_not_passed_on(network, next_record):
    """Heartbeats of endpoints are not forwarded to other entries.

    Otherwise the traffic would grow with endpoints times entries.
    """
    network.announce(next_record(), "n0")
    assert network.ready_at("e1") == ALL_ENTRIES
    network.run(2_000, lambda: network.announce(next_record(), "n0"))
    network.sent.clear()
    network.run(10_000, lambda: network.announce(next_record(), "n0"))
    assert {type(message) for message in network.sent} == {TableDigest}
    assert len(network.sent) == 10 * 7 * 6


@pytest.mark.parametrize("announced_to", [["n0"], ["n3"], []])
def test_leaving_reaches_all_entries_within_three_seconds(
    network, next_record, announced_to
):
    """No entry sends requests to an endpoint that has left.

    The leaving record reaches one of the two entries to which the endpoint
    announces, or none of them if it is lost.
    """
    node_ids = ("n0", "n3")
    network.announce(next_record(), *node_ids)
    network.run(3_000, lambda: network.announce(next_record(), *node_ids))
    network.announce(next_record(state=LEAVING), *announced_to)
    network.run(3_000)
    assert network.ready_at("e1") == set()


def test_lost_update_is_repaired_by_the_next_digest(network, next_record):
    """A lost update is repaired by the digest that follows it.

    Otherwise the entry would never learn of a new endpoint, or that an
    endpoint has left.
    """
    network.announce(next_record(), "n0")
    network.run(1_100)
    network.drop = lambda source, target, message: (
        isinstance(message, EndpointUpdate) and target == "n5"
    )
    network.announce(next_record(state=LEAVING), "n0")
    network.announce(next_record("e2"), "n0")
    assert "n5" in network.ready_at("e1")
    network.run(500)
    assert network.ready_at("e1") == set()
    assert network.ready_at("e2") == ALL_ENTRIES


def test_silent_entry_loses_only_endpoints_known_to_no_other_entry(
    network, next_record
):
    """Endpoints that announced only to a dead entry expire.

    Otherwise the others would send requests to them forever. An endpoint
    that announces to a second entry stays and gets that entry as owner.
    """
    network.announce(next_record("e1"), "n0")
    network.announce(next_record("e2"), "n0", "n1")
    network.run(1_000, lambda: network.announce(next_record("e2"), "n1"))
    del network.exchanges["n0"], network.published["n0"]
    network.run(3_000, lambda: network.announce(next_record("e2"), "n1"))
    assert network.ready_at("e1") == set()
    assert network.ready_at("e2") == ALL_ENTRIES - {"n0"}
    assert {
        published["e2"].owner for published in network.published.values()
    } == {"n1"}


def test_older_record_does_not_restore_an_endpoint_that_left(
    network, next_record
):
    """An entry that missed the leaving record does not restore the endpoint.

    It still publishes an older ready record; only a new incarnation counts.
    """
    older_record = next_record()
    network.announce(next_record(state=LEAVING), "n3")
    network.run(2_000)
    network.announce(older_record, "n0")
    network.run(1_000)
    assert network.ready_at("e1") == set()
    network.announce(next_record(incarnation=2), "n0")
    assert network.ready_at("e1") == ALL_ENTRIES


def test_table_of_an_entry_with_an_earlier_epoch_is_applied(
    network, next_record
):
    """A restarted entry is followed even if its epoch is smaller.

    The epoch is the wall time of the start; it decreases if the clock was set
    back, and the other entries must not ignore the new table.
    """
    network.announce(next_record("e1"), "n0")
    network.run(500)
    network.start("n0", epoch=50)
    network.announce(next_record("e2"), "n0")
    network.run(3_000, lambda: network.announce(next_record("e2"), "n0"))
    assert network.ready_at("e1") == set()
    assert network.ready_at("e2") == ALL_ENTRIES


def test_owner_stays_when_another_entry_joins(network, next_record):
    """The owner stays when the endpoint announces to a second entry.

    Otherwise two entries would grant the same slots for a while.
    """
    network.announce(next_record(), "n3")
    network.announce(next_record(), "n3", "n0")
    network.run(2_000, lambda: network.announce(next_record(), "n0", "n3"))
    assert {
        published["e1"].owner for published in network.published.values()
    } == {"n3"}

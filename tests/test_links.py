"""Tests of links over TCP."""

import pytest
import trio

from wigeonport.channels import Mailbox
from wigeonport.clocks import Clock, LamportCounter
from wigeonport.dialers import Dialer, listen
from wigeonport.links import Delivery, Identity, LinkContext
from wigeonport.messages import Failure, Ping
from wigeonport.metrics import Metrics

HOST = "127.0.0.1"


@pytest.fixture
def make_context():
    """Returns a function that makes the LinkContext of a process."""

    def make(node_id, key=b"secret", cluster_id="lagos"):
        identity = Identity(node_id, "ikeja", cluster_id, {"k1": key})
        inbound = Mailbox(node_id, 16)
        return LinkContext(
            identity, inbound, Clock(), Metrics(), LamportCounter()
        )

    return make


async def answer_calls(context):
    """Answers each call with the text that it carried."""
    async for delivery in context.inbound:
        if isinstance(delivery, Delivery):
            delivery.respond(Failure(f"echo {delivery.message.reason}"))


async def open_link(nursery, server, client):
    """Starts a listener; returns a running Dialer to it."""
    listeners = await nursery.start(listen, server, HOST, 0)
    port = listeners[0].socket.getsockname()[1]
    dialer = Dialer(client, HOST, port)
    nursery.start_soon(dialer.run)
    return dialer


async def wait_until(condition):
    """Waits until a condition holds, for 5 s at most."""
    with trio.fail_after(5):
        while not condition():
            await trio.sleep(0.01)


def test_calls_are_answered_to_their_own_caller(make_context):
    """Each of 50 concurrent calls must get the answer to its own message.

    All share one link, where only the sequence numbers tell them apart.
    """

    async def scenario():
        server, client = make_context("control-1"), make_context("entry-1")
        async with trio.open_nursery() as nursery:
            dialer = await open_link(nursery, server, client)
            nursery.start_soon(answer_calls, server)
            await wait_until(lambda: dialer.connected)
            answers = {}

            async def call(text):
                answer = await dialer.ask(Failure(text), 5_000)
                answers[text] = answer.ok.reason

            async with trio.open_nursery() as calls:
                for number in range(50):
                    calls.start_soon(call, str(number))
            assert answers == {str(n): f"echo {n}" for n in range(50)}
            assert server.lamport.value > 0
            nursery.cancel_scope.cancel()

    trio.run(scenario)


@pytest.mark.parametrize(
    "key, cluster_id", [(b"other", "lagos"), (b"secret", "kroumirie")]
)
def test_unauthenticated_peer_is_refused(make_context, key, cluster_id):
    """A process with another key or cluster id must get no link.

    Calls to it must report that they were not sent.
    """

    async def scenario():
        server = make_context("control-1")
        client = make_context("intruder", key, cluster_id)
        async with trio.open_nursery() as nursery:
            dialer = await open_link(nursery, server, client)
            metrics = server.metrics.counters
            await wait_until(lambda: metrics.get("links_refused_handshakes"))
            assert not dialer.connected
            assert not dialer.post(Ping(0))
            assert (await dialer.ask(Ping(0), 100)).error.sent is False
            nursery.cancel_scope.cancel()

    trio.run(scenario)


def test_silent_connection_is_replaced(make_context):
    """A connection without frames must be closed and opened again.

    A partition can leave a connection open on which nothing arrives. Here a
    relay accepts the first connection and forwards nothing.
    """

    async def scenario():
        server, client = make_context("control-1"), make_context("entry-1")
        accepted = []

        async def relay(stream):
            accepted.append(stream)
            if len(accepted) == 1:
                await trio.sleep_forever()
            upstream = await trio.open_tcp_stream(HOST, port)
            async with trio.open_nursery() as directions:
                directions.start_soon(forward, stream, upstream)
                directions.start_soon(forward, upstream, stream)

        async def forward(source, target):
            async for data in source:
                await target.send_all(data)

        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(listen, server, HOST, 0)
            port = listeners[0].socket.getsockname()[1]
            relays = await nursery.start(trio.serve_tcp, relay, 0)
            relay_port = relays[0].socket.getsockname()[1]
            dialer = Dialer(client, HOST, relay_port)
            nursery.start_soon(dialer.run)
            await wait_until(lambda: dialer.connected)
            assert len(accepted) == 2
            nursery.cancel_scope.cancel()

    trio.run(scenario)


@pytest.mark.parametrize("value", ["\ud800", 5, ["x"]])
def test_message_that_cannot_be_encoded_costs_only_itself(make_context, value):
    """Guards against a process that ends by one value in a message.

    The codec refuses a value of the wrong type and text that has no encoding.
    The sender of a call must learn at once that it was not sent.
    """

    async def scenario():
        server, client = make_context("control-1"), make_context("entry-1")
        async with trio.open_nursery() as nursery:
            dialer = await open_link(nursery, server, client)
            nursery.start_soon(answer_calls, server)
            await wait_until(lambda: dialer.connected)
            answer = await dialer.ask(Failure(value), 5_000)
            assert answer.is_error() and not answer.error.sent
            answer = await dialer.ask(Failure("next"), 5_000)
            assert answer.ok.reason == "echo next"
            assert client.metrics.counters["links_unencodable_messages"] == 1
            assert server.metrics.counters.get("links_bad_frames") is None
            nursery.cancel_scope.cancel()

    trio.run(scenario)


def test_dialer_tries_the_next_address(make_context):
    """A dialer must try all its addresses.

    Otherwise an entry stays without a control while the first ones in its
    list are down.
    """

    async def scenario():
        server, client = make_context("control-1"), make_context("entry-1")
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(listen, server, HOST, 0)
            port = listeners[0].socket.getsockname()[1]
            with trio.socket.socket() as unused:
                await unused.bind((HOST, 0))
                unused_port = unused.getsockname()[1]
                dialer = Dialer(
                    client,
                    HOST,
                    unused_port,
                    None,
                    [(HOST, unused_port), (HOST, port)],
                )
                nursery.start_soon(dialer.run)
                await wait_until(lambda: dialer.connected)
            assert dialer.address == (HOST, port)
            nursery.cancel_scope.cancel()

    trio.run(scenario)

"""Tests of the client of the platform's HTTP interface."""

import pytest
import trio

from wigeonport.clocks import Clock
from wigeonport.metrics import Metrics
from wigeonport.platform_clients import PlatformClient

LIMIT_MS = 100
WAIT_S = 5
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


@pytest.fixture
def run_server():
    """Runs an async check with a client and the connections to a server."""

    def run(check):
        async def main():
            accepted, connections = trio.open_memory_channel(1)

            async def keep_open(connection):
                await accepted.send(connection)
                await trio.sleep_forever()

            async with trio.open_nursery() as nursery:
                (listener,) = await trio.open_tcp_listeners(
                    0, host="127.0.0.1"
                )
                nursery.start_soon(trio.serve_listeners, keep_open, [listener])
                port = listener.socket.getsockname()[1]
                url = f"http://127.0.0.1:{port}"
                with trio.fail_after(WAIT_S):
                    await check(
                        PlatformClient(url, Clock(), Metrics()), connections
                    )
                nursery.cancel_scope.cancel()

        trio.run(main)

    return run


def test_request_that_is_given_up_is_reset(run_server):
    """Guards against an order that arrives after those of a new leader.

    Bytes that a partition holds up are lost if their sender resets the
    connection, and arrive later after an ordinary close.
    """

    async def check(client, connections):
        answer = await client.exchange(
            "POST", "/v1/machine-move", {}, timeout_ms=LIMIT_MS
        )
        assert answer.is_error()
        connection = await connections.receive()
        with pytest.raises(trio.BrokenResourceError):
            while await connection.receive_some():
                pass

    run_server(check)


def test_connection_is_used_again_after_an_answer(run_server):
    """Guards against a reset of each connection once it has been used."""

    async def check(client, connections):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(answer_requests, connections, 2)
            for _ in range(2):
                answer = await client.exchange("GET", "/v1/machines")
                assert answer.ok == (200, {})

    run_server(check)


async def answer_requests(connections, count):
    """Answers requests on one connection."""
    connection = await connections.receive()
    for _ in range(count):
        await connection.receive_some()
        await connection.send_all(RESPONSE)

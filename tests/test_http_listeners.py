"""Tests of the HTTP listener with clients that break the protocol."""

import math

import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonport.client_budgets import CALLERS, ClientBudget
from wigeonport.client_limits import ClientLimits
from wigeonport.http_listeners import HttpListener, ListenerLimits
from wigeonport.servers import (
    HttpResponse,
    make_config,
    read_body,
    send_response,
)

HOST, PORT = "127.249.1.1", 8_624
WAIT_S = 10
MAX_BODY_BYTES = 2_000
# What the parser and the listener tell apart; a fuzz of bytes alone seldom
# gets beyond the first line.
FRAGMENTS = [
    b"GET / HTTP/1.1\r\n",
    b"POST /x HTTP/1.1\r\n",
    b"DELETE /x HTTP/1.0\r\n",
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    b"Host: a\r\n",
    b"Content-Length: 5\r\n",
    b"Content-Length: " + b"9" * 5_000 + b"\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Expect: 100-continue\r\n",
    b"Connection: upgrade\r\nUpgrade: websocket\r\n",
    b"Upgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQAAP__\r\n",
    b"\r\n",
    b"5\r\nhello\r\n",
    b"0\r\n",
    b"fffffffffffffffffff\r\n",
    b"1;" + b"x" * 40_000,
    b"x-a: b\r\n" * 500,
    b"hello",
    b"\0" * 9,
]


async def answer_length(scope, receive, send):
    """Answers with the length of the body, or 404 without reading it."""
    if scope["path"] == "/":
        return await send_response(send, HttpResponse(404, b"{}"))
    body = await read_body(receive, MAX_BODY_BYTES)
    response = (
        HttpResponse(413, b"")
        if body is None
        else HttpResponse(200, b"%d" % len(body))
    )
    return await send_response(send, response)


@pytest.fixture(scope="module")
def run_listener():
    """Runs an async check with a listener and its budget."""

    def run(check, limits, app=answer_length, streams=False):
        async def main():
            budget = ClientBudget(limits)
            stopping = trio.Event()
            listener = HttpListener(
                app,
                make_config(HOST, PORT, 100),
                ListenerLimits(
                    budget, CALLERS, MAX_BODY_BYTES, streams=streams
                ),
            )
            async with trio.open_nursery() as nursery:
                await nursery.start(listener.run, stopping)
                with trio.fail_after(WAIT_S):
                    await check(budget)
                stopping.set()
            assert not budget.holdings
            assert budget.held_bytes == 0

        trio.run(main)

    return run


async def connect():
    """Returns a connection to the listener."""
    return await trio.open_tcp_stream(HOST, PORT)


async def receive_all(stream):
    """Returns what the listener sends until it closes the connection."""
    data = b""
    try:
        while piece := await stream.receive_some():
            data += piece
    except trio.BrokenResourceError:
        pass
    return data


async def is_served():
    """Returns whether an ordinary request is answered."""
    async with await connect() as stream:
        await stream.send_all(
            b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n"
            b"Connection: close\r\n\r\nhello"
        )
        return (await receive_all(stream)).endswith(b"\r\n\r\n5")


@settings(max_examples=40, deadline=None)
@given(
    st.lists(
        st.lists(
            st.sampled_from(FRAGMENTS) | st.binary(max_size=30), max_size=8
        ),
        max_size=4,
    )
)
def test_any_bytes_end_only_their_connection(run_listener, connections):
    """Guards against bytes of one client that end the process."""

    async def play(pieces):
        try:
            async with await connect() as stream:
                for piece in pieces:
                    await stream.send_all(piece)
                    await trio.sleep(0)
        except (trio.BrokenResourceError, OSError):
            pass

    async def check(budget):
        async with trio.open_nursery() as nursery:
            for pieces in connections:
                nursery.start_soon(play, pieces)
        assert await is_served()

    run_listener(check, ClientLimits(100_000, 64))


def test_refused_body_is_told_that_it_has_not_run(run_listener):
    """Guards against a connection that is closed without its refusal."""

    async def check(budget):
        head = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n"
        async with await connect() as stalled, await connect() as newcomer:
            await stalled.send_all(head)
            await trio.sleep(0.1)
            await newcomer.send_all(head)
            answer = await receive_all(stalled)
            assert answer.startswith(b"HTTP/1.1 503 ")
            assert b"retry-after: 1\r\n" in answer
            await newcomer.send_all(b" " * 1_000)
            assert (await newcomer.receive_some()).startswith(b"HTTP/1.1 200")

    run_listener(check, ClientLimits(1_500, math.inf))


def test_answer_before_the_end_of_its_request_ends_the_connection(
    run_listener,
):
    """Guards against parts of a body that nobody takes.

    They kept the connection and what was reserved for it until its time-out,
    and held up the stop of the process.
    """

    async def check(budget):
        async with await connect() as stream:
            await stream.send_all(
                b"POST / HTTP/1.1\r\nHost: a\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 99
            )
            answer = await receive_all(stream)
        assert answer.startswith(b"HTTP/1.1 404")
        assert await is_served()

    run_listener(check, ClientLimits())


@pytest.mark.parametrize(
    ("head", "status"),
    [
        (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", b"505"),
        (
            b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2001\r\n"
            b"Expect: 100-continue\r\n\r\n",
            b"413",
        ),
        (
            b"GET / HTTP/1.1\r\nHost: a\r\nConnection: upgrade, close\r\n"
            b"Upgrade: h2c\r\n\r\n",
            b"404",
        ),
    ],
)
def test_request_is_refused_before_its_body(run_listener, head, status):
    """Guards against bodies and protocols that no client needs."""

    async def check(budget):
        async with await connect() as stream:
            await stream.send_all(head)
            answer = await receive_all(stream)
        assert answer.startswith(b"HTTP/1.1 " + status)
        assert answer.count(b"HTTP/1.1 ") == 1

    run_listener(check, ClientLimits())


async def count_parts(scope, receive, send):
    """Handles each part of a body at once; answers with their length."""
    length, more = 0, True
    while more:
        event = await receive()
        length += len(event.get("body", b""))
        more = event.get("more_body", False)
    return await send_response(send, HttpResponse(200, b"%d" % length))


def test_body_without_an_end_is_not_held(run_listener):
    """Guards against an endpoint whose announcements are cut off.

    It sends them in one long request, of which nothing is kept, and only a
    few bytes at a time.
    """

    async def check(budget):
        async with await connect() as stream:
            await stream.send_all(
                b"POST /x HTTP/1.1\r\nHost: a\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n"
            )
            for _ in range(40):
                await stream.send_all(b"64\r\n" + b"y" * 100 + b"\r\n")
                await trio.sleep(0.05)
            assert budget.held_bytes < 1_000
            await stream.send_all(b"0\r\n\r\n")
            answer = b""
            while not answer.endswith(b"4000"):
                answer += await stream.receive_some(1_000)

    limits = ClientLimits(2_000, 4, 1_000, 1_000)
    run_listener(check, limits, count_parts, streams=True)

"""Tests of attempts against an endpoint that fails in chosen ways."""

import re

import pytest
import trio

from wigeonport.channels import Mailbox
from wigeonport.clocks import Clock
from wigeonport.connections import IdleConnections
from wigeonport.dispatchers import Dispatcher, DispatchLimits, dispatch
from wigeonport.metrics import Metrics
from wigeonport.router_messages import (
    Dispatch,
)

HOST = "127.0.0.1"
HEAD = b"HTTP/1.1 200 OK\r\nwigeonport-request-id: %s\r\n"
WHOLE = HEAD + b"content-length: 2\r\n\r\nok"


class ScriptedEndpoint:
    """Answers the n-th request with the n-th template of its script.

    ``None`` stands for silence and ``b""`` for closing the connection. A
    template is sent as one write; ``close`` after it ends the connection.
    """

    def __init__(self, script, close=False):
        self.script = script
        self.close = close
        self.connections = 0
        self.requests = []

    async def serve(self, stream):
        """Serves one connection."""
        self.connections += 1
        data = b""
        while True:
            try:
                chunk = await stream.receive_some(65_536)
            except trio.BrokenResourceError:
                return
            if not chunk:
                return
            data += chunk
            while (end := data.find(b"\r\n\r\n")) >= 0:
                head, data = data[: end + 4], data[end + 4 :]
                length = int(re.search(rb"content-length: (\d+)", head)[1])
                while len(data) < length:
                    data += await stream.receive_some(65_536)
                data = data[length:]
                if not await self.answer(stream, head):
                    return

    async def answer(self, stream, head):
        """Answers one request; returns whether the connection goes on."""
        template = self.script[len(self.requests)]
        request_id = re.search(rb"wigeonport-request-id: (\S+)", head)[1]
        self.requests.append(request_id)
        if template is None:
            await trio.sleep(10)
        if not template:
            return False
        filled = template.replace(b"%s", request_id)
        await stream.send_all(filled)
        return not self.close


@pytest.fixture
def run_attempts(make_record):
    """Makes attempts one after the other; returns their ends."""

    def run(endpoint, requests, limits=None, port=None):
        ends = []

        async def scenario():
            inbound, results = Mailbox("dispatch", 8), Mailbox("router", 8)
            dispatcher = Dispatcher(
                IdleConnections(9),
                results,
                Clock(),
                Metrics(),
                limits or DispatchLimits(attempt_timeout_ms=100),
            )
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(
                    trio.serve_tcp, endpoint.serve, 0
                )
                number = listeners[0].socket.getsockname()[1]
                record = make_record(port=number if port is None else port)
                nursery.start_soon(dispatch, inbound, dispatcher)
                for request in requests:
                    request.attempts += 1
                    await inbound.put(Dispatch(request, record))
                    with trio.fail_after(10):
                        ends.append(await results.get())
                    await trio.sleep(0.02)
                nursery.cancel_scope.cancel()

        trio.run(scenario)
        return ends

    return run


def test_whole_answers_reuse_the_connection(run_attempts, make_request):
    """Guards against a chain that opens a connection each time."""
    endpoint = ScriptedEndpoint([WHOLE] * 3)
    ends = run_attempts(endpoint, [make_request() for _ in range(3)])
    assert [end.answer.body for end in ends] == [b"ok"] * 3
    assert endpoint.connections == 1


@pytest.mark.parametrize(
    "template",
    [
        HEAD + b"content-length: 9\r\n\r\nok",
        HEAD + b"transfer-encoding: chunked\r\n\r\n9\r\nok",
        HEAD + b"\r\nno length",
        HEAD,
        b"",
        b"garbage\r\n\r\n",
        WHOLE.replace(b"%s", b"other"),
        HEAD + b"content-length: 99\r\n\r\n" + b"x" * 99,
    ],
)
def test_partial_or_foreign_answer_is_unknown(
    run_attempts, make_request, template
):
    """Guards against partial answers and answers to other requests."""
    endpoint = ScriptedEndpoint([template], close=True)
    limits = DispatchLimits(max_answer_bytes=50)
    (end,) = run_attempts(endpoint, [make_request("POST")], limits)
    assert end.answer is None
    assert end.possibly_ran


def test_surplus_bytes_never_answer_the_next_request(
    run_attempts, make_request
):
    """Guards against a late answer taken by the next caller."""
    foreign = b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nbad"
    endpoint = ScriptedEndpoint([WHOLE + foreign, WHOLE, WHOLE])
    ends = run_attempts(endpoint, [make_request() for _ in range(2)])
    assert ends[0].answer.body == b"ok"
    assert ends[1].answer is None or ends[1].answer.body == b"ok"


def test_silent_connection_is_closed_and_a_retry_is_new(
    run_attempts, make_request
):
    """Guards against waiting for good on a dead connection."""
    endpoint = ScriptedEndpoint([WHOLE, None, WHOLE])
    first, second = make_request(), make_request()
    ends = run_attempts(endpoint, [first, second, second])
    assert ends[1].answer is None
    assert ends[1].possibly_ran
    assert ends[2].answer.body == b"ok"
    assert endpoint.connections == 2


def test_non_repeatable_requests_use_new_connections(
    run_attempts, make_request
):
    """Guards against an order lost on a connection that died idle."""
    endpoint = ScriptedEndpoint([WHOLE] * 3)
    requests = [make_request(), make_request("POST"), make_request(key="k")]
    run_attempts(endpoint, requests)
    assert endpoint.connections == 3


def test_connection_closed_while_idle_is_not_used(run_attempts, make_request):
    """Guards against an unknown outcome where a new connection works."""
    endpoint = ScriptedEndpoint([WHOLE, WHOLE], close=True)
    ends = run_attempts(endpoint, [make_request(), make_request()])
    assert [end.answer.body for end in ends] == [b"ok", b"ok"]


def test_unreachable_endpoint_has_not_run(run_attempts, make_request):
    """Guards against calling a request unknown that was never sent."""
    (end,) = run_attempts(ScriptedEndpoint([]), [make_request("POST")], port=1)
    assert end.answer is None
    assert not end.possibly_ran


def test_explicit_refusal_has_not_run(run_attempts, make_request):
    """Guards against giving up on a request that an endpoint refused."""
    refusal = WHOLE.replace(
        b"content-length", b"wigeonport-refused: leaving\r\ncontent-length"
    )
    (end,) = run_attempts(ScriptedEndpoint([refusal]), [make_request("POST")])
    assert (end.answer, end.possibly_ran) == (None, False)
    assert "leaving" in end.reason

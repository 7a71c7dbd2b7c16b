"""Tests of admission, the limits at the callers' edge, and the stop."""

import json
import os
import signal

import pytest
import trio
import trio.testing
from entry_fixtures import HOST, outcome
from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonport.admissions import Admission, RequestEnded, admit
from wigeonport.announcements import FIELDS, parse_announcement
from wigeonport.channels import Mailbox
from wigeonport.clocks import Clock
from wigeonport.configurations import FleetApplied
from wigeonport.metrics import Metrics
from wigeonport.programs import stop_on_signal
from wigeonport.receivers import (
    DEADLINE_HEADER,
    MAX_PRIORITY,
    CallerLimits,
    make_request,
)

FLEET = {"services": [{"id": "roster"}, {"id": "notices"}]}


@pytest.fixture
def admission():
    """An admission of 8 requests and 100 kB in all."""
    admission = Admission(8, 100_000)
    admission.configure(FleetApplied(1, FLEET))
    return admission


def fill(admission, make_request, service, count, body=b""):
    """Offers requests; returns those that were admitted."""
    requests = [make_request(body=body) for _ in range(count)]
    for request in requests:
        request.service = service
    return [r for r in requests if admission.admit(r, 0) is None]


def test_peak_of_a_service_leaves_room_for_others(admission, make_request):
    """Guards against one service that takes the whole entry."""
    assert len(fill(admission, make_request, "roster", 40)) == 4
    assert len(fill(admission, make_request, "notices", 40)) == 2


def test_bodies_are_bounded_and_freed(admission, make_request):
    """Guards against memory that grows with the bodies, or never shrinks."""
    held = fill(admission, make_request, "roster", 8, b"x" * 30_000)
    assert len(held) == 1
    for request in (*held, *held):
        admission.release(request)
    assert admission.total.size_bytes == 0
    assert admission.by_service == {}


def test_end_of_a_request_frees_its_place(make_request):
    """Guards against an entry that fills up with answered requests."""

    async def scenario():
        inbound, outbound = Mailbox("in", 8), Mailbox("out", 64)
        admission = Admission(4, 1_000_000)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                admit, inbound, outbound, admission, Clock(), Metrics()
            )
            await inbound.put(FleetApplied(1, FLEET))
            for _ in range(20):
                request = make_request()
                await inbound.put(request)
                assert await outbound.get_within(1_000) is request
                await inbound.put(RequestEnded(request))
            nursery.cancel_scope.cancel()

    trio.run(scenario)


async def talk(cluster, data, rest=(), pause_s=0.0):
    """Sends raw bytes; returns all that the entry answers."""
    port = cluster.programs[0].settings.callers_port
    stream = await trio.open_tcp_stream(HOST, port)
    received = b""
    async with stream:
        try:
            await stream.send_all(data)
            for piece in rest:
                await trio.sleep(pause_s)
                await stream.send_all(piece)
        except trio.BrokenResourceError:
            pass
        with trio.move_on_after(5):
            try:
                while piece := await stream.receive_some(65_536):
                    received += piece
            except trio.BrokenResourceError:
                pass
    return received


def test_limits_at_the_callers_edge(run_cluster):
    """Guards against large, endless and slow requests."""
    head = b"POST /roster/x HTTP/1.1\r\nhost: a\r\n"

    async def scenario(cluster):
        await cluster.start(1, max_body_bytes=1_000, receive_timeout_ms=300)
        await cluster.add_endpoint("e1")
        await cluster.wait_ready()
        runs = len(cluster.runs())
        large = await talk(cluster, head + b"content-length: 2000\r\n\r\n")
        assert large.startswith(b"HTTP/1.1 413")
        chunk = b"400\r\n" + b"x" * 1_024 + b"\r\n"
        chunked = head + b"transfer-encoding: chunked\r\n\r\n" + chunk * 2
        assert (await talk(cluster, chunked)).startswith(b"HTTP/1.1 413")
        slow = await talk(
            cluster, head + b"content-length: 9\r\n\r\n", [b"x"] * 9, 0.1
        )
        assert slow.startswith(b"HTTP/1.1 408")
        assert b"wigeonport-outcome: not-run" in slow
        wide = head + b"x-wide: " + b"x" * 200_000 + b"\r\n\r\n"
        assert b"200 OK" not in await talk(cluster, wide)
        assert len(cluster.runs()) == runs
        assert (await cluster.call()).status == 200

    run_cluster(scenario)


def test_stop_finishes_running_requests_and_refuses_new_ones(run_cluster):
    """Guards against a planned stop that drops work or takes more."""

    async def scenario(cluster):
        await cluster.start(1, shutdown_grace_ms=5_000)
        await cluster.add_endpoint("e1")
        await cluster.wait_ready()
        answers = []

        async def ask(tag, delay_ms):
            headers = [("x-delay-ms", delay_ms), ("x-tag", tag)]
            answers.append(await cluster.call(0, "POST", headers))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask, "running", "1200")
            await trio.sleep(0.2)
            cluster.programs[0].stopping.set()
            await trio.sleep(0.05)
            await ask("late", "0")
        late, running = answers
        assert (late.status, outcome(late)) == (503, "not-run")
        assert (b"connection", b"close") in late.headers
        assert (running.status, outcome(running)) == (200, "completed")
        tags = [run["tag"] for run in cluster.runs()]
        assert "late" not in tags
        with trio.fail_after(5):
            while not cluster.scopes[0].cancel_called:
                await trio.sleep(0.05)

    run_cluster(scenario)


def test_bound_on_the_stop_answers_unknown(run_cluster):
    """Guards against callers left without an answer at the bound."""

    async def scenario(cluster):
        await cluster.start(1, shutdown_grace_ms=1_000)
        await cluster.add_endpoint("e1")
        await cluster.wait_ready()

        async def stop():
            await trio.sleep(0.2)
            cluster.programs[0].stopping.set()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(stop)
            answer = await cluster.call(0, "POST", [("x-delay-ms", "9000")])
        assert (answer.status, outcome(answer)) == (503, "unknown")

    run_cluster(scenario)


def test_caller_that_does_not_read_cannot_hold_up_the_stop(run_cluster):
    """Guards against answers held, and a stop delayed, for good."""

    async def scenario(cluster):
        await cluster.start(1, shutdown_grace_ms=1_000)
        await cluster.add_endpoint("e1")
        await cluster.wait_ready()
        port = cluster.programs[0].settings.callers_port
        stream = await trio.open_tcp_stream(HOST, port)
        head = b"GET /roster/x HTTP/1.1\r\nhost: a\r\nx-size: 8000000\r\n\r\n"
        async with stream:
            await stream.send_all(head)
            await trio.sleep(0.5)
            cluster.programs[0].stopping.set()
            with trio.fail_after(8):
                while not cluster.scopes[0].cancel_called:
                    await trio.sleep(0.05)

    run_cluster(scenario)


def test_second_signal_has_no_further_effect():
    """Guards against an impatient operator who kills running requests."""

    async def scenario():
        stopping = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stop_on_signal, stopping)
            await trio.testing.wait_all_tasks_blocked()
            for _ in range(2):
                os.kill(os.getpid(), signal.SIGTERM)
                await trio.sleep(0.05)
            assert stopping.is_set()
            assert len(nursery.child_tasks) == 1
            nursery.cancel_scope.cancel()

    trio.run(scenario)


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=5,
)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(
    st.dictionaries(st.sampled_from(FIELDS) | st.text(), JSON_VALUES)
    | JSON_VALUES
)
def test_any_announcement_is_checked(document):
    """Guards against an announcement that ends the receiving task."""
    parsed = parse_announcement(json.dumps(document).encode())
    assert parsed.is_error()
    assert parsed.error.lines()


HEADER_NAMES = st.sampled_from(
    [b"wigeonport-deadline-ms", b"wigeonport-priority", b"idempotency-key"]
)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(
    st.lists(st.tuples(HEADER_NAMES, st.binary(max_size=300)), max_size=4),
    st.binary(max_size=40),
    st.text(max_size=20),
)
def test_any_request_head_is_checked(headers, target, path):
    """Guards against heads that raise or exceed the limits."""
    scope = {
        "method": "GET",
        "path": "/" + path,
        "raw_path": b"/" + target,
        "query_string": b"",
        "headers": headers,
    }
    made = make_request(scope, b"", 0, CallerLimits(1_000, 60_000))
    if not isinstance(made, str):
        assert 0 <= made.deadline_ms <= 60_000
        assert 0 <= made.priority <= MAX_PRIORITY
        assert made.key is None or made.key.isascii()


def test_deadline_is_capped_by_the_setting():
    """Guards against requests held for longer than the operator allows."""
    scope = {"method": "GET", "path": "/roster", "raw_path": b"/roster"}
    scope |= {"query_string": b"", "headers": [(DEADLINE_HEADER, b"90000")]}
    made = make_request(scope, b"", 0, CallerLimits(1_000, 60_000))
    assert made.deadline_ms == 60_000


def test_service_sets_deadline_but_not_repeatability(make_request):
    """Guards against an unused deadline and against a POST run twice."""
    admission = Admission(8, 100_000)
    service = {"id": "roster", "default_deadline_ms": 500}
    admission.configure(FleetApplied(1, {"services": [service]}))
    stated, default, keyed = (
        make_request("POST", key, deadline_ms=9_000)
        for key in (None, None, "k")
    )
    default.deadline_from_caller = False
    for request in (stated, default, keyed):
        assert admission.admit(request, 0) is None
    assert (stated.deadline_ms, default.deadline_ms) == (9_000, 500)
    assert not any(r.repeatable for r in (stated, default, keyed))

"""Tests of admission, the limits of callers' requests, and the stop."""

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
    """An Admission with a limit of 8 requests and 100 kB."""
    admission = Admission(8, 100_000)
    admission.configure(FleetApplied(1, FLEET))
    return admission


def fill(admission, make_request, service, count, body=b""):
    """Offers requests of a service; returns those that were admitted."""
    requests = [make_request(body=body) for _ in range(count)]
    for request in requests:
        request.service = service
    return [r for r in requests if admission.admit(r, 0) is None]


def test_peak_of_a_service_leaves_room_for_others(admission, make_request):
    """A peak of one service must leave capacity for other services.

    With a fixed limit alone, the first service would take all of it and the
    others would be refused.
    """
    assert len(fill(admission, make_request, "roster", 40)) == 4
    assert len(fill(admission, make_request, "notices", 40)) == 2


def test_bodies_are_bounded_and_freed(admission, make_request):
    """Bodies must count towards the limit, and only until their release.

    It fails if only requests are counted, so that large bodies exhaust the
    memory, or if a second release is subtracted twice.
    """
    admitted = fill(admission, make_request, "roster", 8, b"x" * 30_000)
    assert len(admitted) == 1
    for request in (*admitted, *admitted):
        admission.release(request)
    assert admission.total.size_bytes == 0
    assert admission.usage_by_service == {}


def test_ended_request_is_no_longer_counted(make_request):
    """A request must be released when its receiver reports its end.

    It fails if answered requests stay counted: the entry would refuse all
    requests after the first few.
    """

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


async def send_raw(cluster, data, rest=(), pause_s=0.0):
    """Sends raw bytes, in pieces if given; returns the entry's answer."""
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


def test_limits_of_request_bodies_and_headers(run_cluster):
    """Oversized and slow requests must be refused without a run.

    Without these limits, large or endless bodies and headers would exhaust
    the memory, and slow callers would occupy the entry.
    """
    head = b"POST /roster/x HTTP/1.1\r\nhost: a\r\n"

    async def scenario(cluster):
        await cluster.start(1, max_body_bytes=1_000, receive_timeout_ms=300)
        await cluster.add_endpoint("e1")
        await cluster.wait_ready()
        runs = len(cluster.runs())
        large = await send_raw(cluster, head + b"content-length: 2000\r\n\r\n")
        assert large.startswith(b"HTTP/1.1 413")
        chunk = b"400\r\n" + b"x" * 1_024 + b"\r\n"
        chunked = head + b"transfer-encoding: chunked\r\n\r\n" + chunk * 2
        assert (await send_raw(cluster, chunked)).startswith(b"HTTP/1.1 413")
        slow = await send_raw(
            cluster, head + b"content-length: 9\r\n\r\n", [b"x"] * 9, 0.1
        )
        assert slow.startswith(b"HTTP/1.1 408")
        assert b"wigeonport-outcome: not-run" in slow
        large_head = head + b"x-wide: " + b"x" * 200_000 + b"\r\n\r\n"
        assert b"200 OK" not in await send_raw(cluster, large_head)
        assert len(cluster.runs()) == runs
        assert (await cluster.call()).status == 200

    run_cluster(scenario)


def test_stop_finishes_running_requests_and_refuses_new_ones(run_cluster):
    """A planned stop must finish running requests and refuse new ones.

    It fails if the stop cancels requests in flight, or if a request that
    arrives after the signal is run.
    """

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


def test_shutdown_deadline_answers_unknown(run_cluster):
    """Requests still running at the shutdown deadline are answered unknown.

    It fails if the process exits and closes their connections without an
    answer.
    """

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
    """A caller that does not read its answer must not block the stop.

    Its full receive buffer blocks the send of a large answer, and the stop
    would wait for that send forever.
    """

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
    """A second signal during the stop must not end the process at once.

    It fails if the signal handler is removed after the first signal: the
    second would then kill the requests in flight.
    """

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
    """A malformed announcement must give an error text, never an exception.

    An exception would end the task that receives all announcements.
    """
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
    """Any request head must be accepted within the limits or refused.

    It fails if a header value raises an exception, or if a deadline or
    priority above the limit is accepted.
    """
    scope = {
        "method": "GET",
        "path": "/" + path,
        "raw_path": b"/" + target,
        "query_string": b"",
        "headers": headers,
    }
    request = make_request(scope, b"", 0, CallerLimits(1_000, 60_000))
    if not isinstance(request, str):
        assert 0 <= request.deadline_ms <= 60_000
        assert 0 <= request.priority <= MAX_PRIORITY
        assert request.key is None or request.key.isascii()


@pytest.mark.parametrize(
    "name", [b"wigeonport-deadline-ms", b"wigeonport-priority"]
)
def test_number_of_many_digits_is_refused(name):
    """Guards against an answer of 500 instead of a clear refusal.

    Python converts no number of over 4,300 digits.
    """
    scope = {"method": "GET", "path": "/roster", "raw_path": b"/roster"}
    scope |= {"query_string": b"", "headers": [(name, b"9" * 5_000)]}
    request = make_request(scope, b"", 0, CallerLimits(1_000, 60_000))
    assert "must be a number" in request


def test_deadline_is_capped_by_the_setting():
    """A stated deadline above the setting must be reduced to the setting.

    Otherwise a caller could hold a request for longer than the operator
    allows.
    """
    scope = {"method": "GET", "path": "/roster", "raw_path": b"/roster"}
    scope |= {"query_string": b"", "headers": [(DEADLINE_HEADER, b"90000")]}
    request = make_request(scope, b"", 0, CallerLimits(1_000, 60_000))
    assert request.deadline_ms == 60_000


def test_service_sets_deadline_but_not_repeatability(make_request):
    """A service's default deadline applies only where none was stated.

    It fails if the default is ignored or overrides a stated deadline, or if
    the service settings make a POST or keyed request repeatable.
    """
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

"""Tests of queues, retry budgets, quarantines and zones of the router."""

import random

import pytest

from wigeonport.endpoints import EndpointChanged, EndpointLost
from wigeonport.requests import COMPLETED, NOT_RUN, CallerAnswer
from wigeonport.router_messages import (
    AttemptEnded,
    Dispatch,
    HealthChanged,
    Respond,
    RouterLimits,
)
from wigeonport.routers import Router
from wigeonport.shares import ShareChanged


class RouterHarness:
    """A router with a fixed random source and a settable clock."""

    def __init__(self, **limits):
        self.router = Router("ikeja", RouterLimits(**limits))
        self.random_source = random.Random(3)
        self.now_ms = 1_000
        self.health = []

    def send(self, message):
        """Passes a message to the router; returns its commands."""
        return self.router.step(message, self.now_ms, self.random_source)

    def end(
        self,
        dispatch,
        status=200,
        possibly_ran=True,
        duration_ms=100,
        refusal=None,
    ):
        """Ends an attempt; without a status there is no complete answer."""
        answer = CallerAnswer(status, [], b"", COMPLETED) if status else None
        result = AttemptEnded(
            dispatch.request,
            dispatch.record.endpoint_id,
            answer,
            possibly_ran,
            "lost",
        )
        result.duration_ms, result.refusal = duration_ms, refusal
        commands = self.send(result)
        self.health += [c for c in commands if isinstance(c, HealthChanged)]
        return [c for c in commands if not isinstance(c, HealthChanged)]

    def queue(self):
        """Returns the queue of the service."""
        return self.router.service("roster").queue


@pytest.fixture
def make_harness(make_record):
    """Returns a function that makes harnesses with endpoints e0, e1, ..."""

    def make(count, zones=("ikeja",), slots=1, **limits):
        harness = RouterHarness(**{"leased": False, **limits})
        for number in range(count):
            record = make_record(
                f"e{number}",
                slots=slots,
                availability_zone=zones[number % len(zones)],
            )
            harness.send(EndpointChanged(record))
        return harness

    return make


def make_unhurried_request(make_request, **changes):
    """Makes a request whose deadline is far in the future by default."""
    changes.setdefault("deadline_ms", 60_000)
    changes.setdefault("received_ms", 1_000)
    return make_request(**changes)


def test_full_queue_gives_up_the_lowest_priority(make_harness, make_request):
    """A full queue must evict a less urgent request for a more urgent one.

    It fails if a full queue always refuses the new request.
    """
    harness = make_harness(1, queue_bound=2)
    requests = [
        make_unhurried_request(make_request, priority=p)
        for p in (0, 1, 0, 5, 1)
    ]
    commands = [harness.send(request) for request in requests]
    assert isinstance(commands[0][0], Dispatch)
    (evicted,) = commands[3]
    assert evicted.request is requests[2]
    assert evicted.answer.outcome == NOT_RUN
    assert commands[4][0].request is requests[4]
    _, follower = harness.end(commands[0][0])
    assert follower.request is requests[3]


def test_wait_past_the_deadline_is_refused_at_once(make_harness, make_request):
    """A request that would wait past its deadline is refused on arrival.

    Queued, it would hold its caller until the deadline without an answer.
    """
    harness = make_harness(1)
    (first,) = harness.send(make_unhurried_request(make_request))
    harness.end(first, duration_ms=1_000)
    harness.send(make_unhurried_request(make_request))
    for _ in range(2):
        assert (
            harness.send(
                make_unhurried_request(make_request, deadline_ms=9_000)
            )
            == []
        )
    (refused,) = harness.send(
        make_unhurried_request(make_request, deadline_ms=3_500)
    )
    assert refused.answer.outcome == NOT_RUN
    assert refused.answer.retry_after_ms >= 1_000


def test_short_request_is_tried_although_the_mean_is_long(
    make_harness, make_request
):
    """A long mean service time must not refuse all requests.

    If the mean exceeds every deadline and no request is tried, no new
    measurement can lower the mean, and the service refuses everything from
    then on.
    """
    harness = make_harness(1)
    (first,) = harness.send(make_unhurried_request(make_request))
    harness.end(first, duration_ms=30_000)
    (running,) = harness.send(
        make_unhurried_request(make_request, received_ms=0, deadline_ms=1_400)
    )
    assert (
        harness.send(make_unhurried_request(make_request, deadline_ms=1_500))
        == []
    )
    harness.now_ms += 200
    _, command = harness.end(running, 404)
    assert isinstance(command, Dispatch)


def test_standing_queue_serves_the_latest_first(make_harness, make_request):
    """A standing queue must serve the newest request first.

    Served oldest first, all requests are answered just before their
    deadline, or too late.
    """
    harness = make_harness(1, queue_wait_ms=20_000)
    (running,) = harness.send(make_unhurried_request(make_request))
    waiting = [make_unhurried_request(make_request) for _ in range(4)]
    for request in waiting[:2]:
        harness.send(request)
    _, running = harness.end(running)
    assert running.request is waiting[0]
    for _ in range(3):
        harness.now_ms += 250
        harness.router.tick(harness.now_ms, harness.random_source)
    for request in waiting[2:]:
        harness.send(request)
    _, running = harness.end(running)
    assert running.request is waiting[3]


def test_loss_of_a_zone_causes_no_retry_storm(make_harness, make_request):
    """When the endpoints of a zone fail, retries must stay within the budget.

    Without it, each request that fails is tried up to the maximum number of
    attempts, which multiplies the load on the remaining zone.
    """
    harness = make_harness(30, zones=("ikeja", "lekki"), slots=8)
    attempts = 0
    for number in range(500):
        harness.now_ms += 2
        commands = harness.send(make_unhurried_request(make_request))
        while commands and isinstance(commands[0], Dispatch):
            attempts += 1
            in_own_zone = commands[0].record.availability_zone == "ikeja"
            status = None if in_own_zone or number % 2 else 200
            commands = harness.end(commands[0], status)
    assert 500 < attempts < 500 * 1.15 + 20


def test_failing_endpoint_is_quarantined_and_probed(
    make_harness, make_request
):
    """An endpoint with five failures in a row must get only probes.

    Without the quarantine, one failing endpoint of three fails a third of
    all requests. A probe is a repeatable request after the interval, which
    doubles when the probe fails.
    """
    harness = make_harness(3, slots=8, retry_floor=1_000)
    attempted_at = []

    def call(method="GET"):
        commands = harness.send(
            make_unhurried_request(make_request, method=method)
        )
        while isinstance(commands[0], Dispatch):
            endpoint_id = commands[0].record.endpoint_id
            attempted_at.append(endpoint_id)
            status = 500 if endpoint_id == "e1" else 200
            commands = harness.end(commands[0], status)
        return commands

    for _ in range(60):
        call()
    assert attempted_at.count("e1") == 5
    harness.now_ms += 1_100
    call("POST")
    assert attempted_at.count("e1") == 5
    call()
    call()
    assert attempted_at.count("e1") == 6
    harness.now_ms += 1_100
    call()
    assert attempted_at.count("e1") == 6
    assert [c.quarantined for c in harness.health] == [True]


def test_quarantine_keeps_two_thirds_in_use(make_harness, make_request):
    """At most a third of the endpoints may be quarantined.

    If all endpoints fail because of bad requests, a quarantine without this
    limit would leave none in use.
    """
    harness = make_harness(6, slots=8)
    for _ in range(200):
        (command,) = harness.send(make_unhurried_request(make_request))
        harness.end(command, 500)
    targets = harness.router.service("roster").targets.values()
    assert sum(t.health.quarantined for t in targets) == 2


def test_other_zones_serve_requests_when_the_own_zone_is_full(
    make_harness, make_request
):
    """Requests must go to another zone when the entry's zone is full.

    It fails if they wait in the queue while another zone has free slots.
    """
    harness = make_harness(4, zones=("ikeja", "lekki"))
    zones = [
        harness.send(make_unhurried_request(make_request))[
            0
        ].record.availability_zone
        for _ in range(4)
    ]
    assert zones == ["ikeja", "ikeja", "lekki", "lekki"]


def test_lease_and_connections_bound_the_slots(make_harness, make_request):
    """Without a valid lease, a free slot must not be used.

    Other entries may use the slot at the same time. The connections of an
    entry bound its slots even within a larger lease.
    """
    harness = make_harness(1, slots=8, leased=True, entries=32)
    assert harness.send(make_unhurried_request(make_request)) == []
    demand = harness.router.demand(harness.now_ms)
    assert (demand.items, demand.urgent) == ([("e0", 1, 0)], True)
    share = ShareChanged("e0", "roster", 8, harness.now_ms + 100)
    (first,) = harness.send(share)
    (second,) = harness.send(make_unhurried_request(make_request))
    assert harness.send(make_unhurried_request(make_request)) == []
    harness.now_ms += 100
    assert [type(c) for c in harness.end(first)] == [Respond]


def test_lost_endpoint_keeps_its_running_requests(make_harness, make_request):
    """Requests in flight must stay counted when a lost endpoint returns.

    It fails if the loss drops the count: the entry would then send more
    requests than the endpoint has slots.
    """
    harness = make_harness(1, slots=2)
    (first,) = harness.send(make_unhurried_request(make_request))
    record = first.record
    harness.send(EndpointLost("e0", "roster"))
    assert harness.send(make_unhurried_request(make_request)) == []
    (second,) = harness.send(EndpointChanged(record))
    assert harness.send(make_unhurried_request(make_request)) == []
    assert len(harness.end(first)) == 2
    harness.send(EndpointLost("e0", "roster"))
    harness.end(second)


def test_leaving_refusal_is_retried_without_budget(make_harness, make_request):
    """A refusal by a leaving endpoint must not use the retry budget.

    A planned drain would otherwise use up the budget, and its requests would
    fail.
    """
    harness = make_harness(2, slots=8, retry_floor=0, retry_share=0.0)
    (first,) = harness.send(
        make_unhurried_request(make_request, method="POST")
    )
    (retried,) = harness.end(
        first, None, possibly_ran=False, refusal="leaving"
    )
    assert retried.record.endpoint_id != first.record.endpoint_id
    (failed,) = harness.end(retried, None, possibly_ran=False)
    assert failed.answer.outcome == NOT_RUN


def test_idle_service_holds_no_leases(make_harness, make_request):
    """A service without requests for 10 s must request no leases.

    It fails if leases of unused services are renewed, which costs messages
    and withholds the slots from other entries.
    """
    harness = make_harness(2, slots=8, leased=True)
    assert harness.router.demand(harness.now_ms).items == []
    request = make_unhurried_request(
        make_request, deadline_ms=harness.now_ms + 100
    )
    harness.send(request)
    harness.now_ms += 1_000
    harness.router.tick(harness.now_ms, harness.random_source)
    assert len(harness.router.demand(harness.now_ms).items) == 2
    harness.now_ms += 10_000
    assert harness.router.demand(harness.now_ms).items == []


def test_long_request_keeps_its_lease(make_harness, make_request):
    """A request that runs for longer than 10 s must keep its lease.

    It fails if a service without new requests counts as idle while one of
    its requests still runs: its slot would be leased to another entry.
    """
    harness = make_harness(1, slots=8, leased=True)
    harness.send(make_unhurried_request(make_request))
    harness.send(ShareChanged("e0", "roster", 1, harness.now_ms + 100))
    harness.now_ms += 20_000
    assert harness.router.demand(harness.now_ms).items == [("e0", 1, 1)]

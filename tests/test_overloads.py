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


class Bench:
    """A router with a fixed random source and a clock."""

    def __init__(self, **limits):
        self.router = Router("ikeja", RouterLimits(**limits))
        self.chance = random.Random(3)
        self.now_ms = 1_000
        self.health = []

    def send(self, message):
        """Steps the router."""
        return self.router.step(message, self.now_ms, self.chance)

    def end(
        self,
        dispatch,
        status=200,
        possibly_ran=True,
        duration_ms=100,
        refusal=None,
    ):
        """Ends an attempt; no status stands for no whole answer."""
        answer = CallerAnswer(status, [], b"", COMPLETED) if status else None
        ended = AttemptEnded(
            dispatch.request,
            dispatch.record.endpoint_id,
            answer,
            possibly_ran,
            "lost",
        )
        ended.duration_ms, ended.refusal = duration_ms, refusal
        commands = self.send(ended)
        self.health += [c for c in commands if isinstance(c, HealthChanged)]
        return [c for c in commands if not isinstance(c, HealthChanged)]

    def queue(self):
        """Returns the queue of the service."""
        return self.router.service("roster").queue


@pytest.fixture
def make_bench(make_record):
    """Makes benches with endpoints e0, e1 and so on."""

    def make(count, zones=("ikeja",), slots=1, **limits):
        bench = Bench(**{"leased": False, **limits})
        for number in range(count):
            record = make_record(
                f"e{number}",
                slots=slots,
                availability_zone=zones[number % len(zones)],
            )
            bench.send(EndpointChanged(record))
        return bench

    return make


def far(make_request, **changes):
    """Makes a request with a deadline far away."""
    changes.setdefault("deadline_ms", 60_000)
    changes.setdefault("received_ms", 1_000)
    return make_request(**changes)


def test_full_queue_gives_up_the_lowest_priority(make_bench, make_request):
    """Guards against urgent work refused in favour of work that waits."""
    bench = make_bench(1, queue_bound=2)
    requests = [far(make_request, priority=p) for p in (0, 1, 0, 5, 1)]
    commands = [bench.send(request) for request in requests]
    assert isinstance(commands[0][0], Dispatch)
    (evicted,) = commands[3]
    assert evicted.request is requests[2]
    assert evicted.answer.outcome == NOT_RUN
    assert commands[4][0].request is requests[4]
    _, follower = bench.end(commands[0][0])
    assert follower.request is requests[3]


def test_hopeless_wait_is_refused_at_once(make_bench, make_request):
    """Guards against callers that wait for an answer that comes too late."""
    bench = make_bench(1)
    (first,) = bench.send(far(make_request))
    bench.end(first, duration_ms=1_000)
    bench.send(far(make_request))
    for _ in range(2):
        assert bench.send(far(make_request, deadline_ms=9_000)) == []
    (refused,) = bench.send(far(make_request, deadline_ms=3_500))
    assert refused.answer.outcome == NOT_RUN
    assert refused.answer.retry_after_ms >= 1_000


def test_short_request_is_tried_although_the_mean_is_long(
    make_bench, make_request
):
    """Guards against a service that refuses everything for good."""
    bench = make_bench(1)
    (first,) = bench.send(far(make_request))
    bench.end(first, duration_ms=30_000)
    (running,) = bench.send(
        far(make_request, received_ms=0, deadline_ms=1_400)
    )
    assert bench.send(far(make_request, deadline_ms=1_500)) == []
    bench.now_ms += 200
    _, command = bench.end(running, 404)
    assert isinstance(command, Dispatch)


def test_standing_queue_serves_the_latest_first(make_bench, make_request):
    """Guards against serving everyone just before the deadline."""
    bench = make_bench(1, queue_wait_ms=20_000)
    (running,) = bench.send(far(make_request))
    waiting = [far(make_request) for _ in range(4)]
    for request in waiting[:2]:
        bench.send(request)
    _, running = bench.end(running)
    assert running.request is waiting[0]
    for _ in range(3):
        bench.now_ms += 250
        bench.router.tick(bench.now_ms, bench.chance)
    for request in waiting[2:]:
        bench.send(request)
    _, running = bench.end(running)
    assert running.request is waiting[3]


def test_loss_of_a_zone_is_no_retry_storm(make_bench, make_request):
    """Guards against retries that multiply the load."""
    bench = make_bench(30, zones=("ikeja", "lekki"), slots=8)
    attempts = 0
    for number in range(500):
        bench.now_ms += 2
        commands = bench.send(far(make_request))
        while commands and isinstance(commands[0], Dispatch):
            attempts += 1
            near = commands[0].record.availability_zone == "ikeja"
            status = None if near or number % 2 else 200
            commands = bench.end(commands[0], status)
    assert 500 < attempts < 500 * 1.15 + 20


def test_failing_endpoint_is_set_aside_and_probed(make_bench, make_request):
    """Guards against a third of all requests failing at one endpoint."""
    bench = make_bench(3, slots=8, retry_floor=1_000)
    ran_at = []

    def call(method="GET"):
        commands = bench.send(far(make_request, method=method))
        while isinstance(commands[0], Dispatch):
            endpoint_id = commands[0].record.endpoint_id
            ran_at.append(endpoint_id)
            status = 500 if endpoint_id == "e1" else 200
            commands = bench.end(commands[0], status)
        return commands

    for _ in range(60):
        call()
    assert ran_at.count("e1") == 5
    bench.now_ms += 1_100
    call("POST")
    assert ran_at.count("e1") == 5
    call()
    call()
    assert ran_at.count("e1") == 6
    bench.now_ms += 1_100
    call()
    assert ran_at.count("e1") == 6
    assert [c.quarantined for c in bench.health] == [True]


def test_quarantine_keeps_two_thirds_in_use(make_bench, make_request):
    """Guards against a fault of all endpoints that leaves none in use."""
    bench = make_bench(6, slots=8)
    for _ in range(200):
        (command,) = bench.send(far(make_request))
        bench.end(command, 500)
    targets = bench.router.service("roster").targets.values()
    assert sum(t.health.quarantined for t in targets) == 2


def test_other_zones_serve_what_the_own_cannot(make_bench, make_request):
    """Guards against waiting at home while another zone is free."""
    bench = make_bench(4, zones=("ikeja", "lekki"))
    zones = [
        bench.send(far(make_request))[0].record.availability_zone
        for _ in range(4)
    ]
    assert zones == ["ikeja", "ikeja", "lekki", "lekki"]


def test_lease_and_connections_bound_the_slots(make_bench, make_request):
    """Guards against work outside of a lease."""
    bench = make_bench(1, slots=8, leased=True, entries=32)
    assert bench.send(far(make_request)) == []
    demand = bench.router.demand(bench.now_ms)
    assert (demand.items, demand.urgent) == ([("e0", 1, 0)], True)
    share = ShareChanged("e0", "roster", 8, bench.now_ms + 100)
    (first,) = bench.send(share)
    (second,) = bench.send(far(make_request))
    assert bench.send(far(make_request)) == []
    bench.now_ms += 100
    assert [type(c) for c in bench.end(first)] == [Respond]


def test_lost_endpoint_keeps_its_running_requests(make_bench, make_request):
    """Guards against slots counted as free after a short absence."""
    bench = make_bench(1, slots=2)
    (first,) = bench.send(far(make_request))
    record = first.record
    bench.send(EndpointLost("e0", "roster"))
    assert bench.send(far(make_request)) == []
    (second,) = bench.send(EndpointChanged(record))
    assert bench.send(far(make_request)) == []
    assert len(bench.end(first)) == 2
    bench.send(EndpointLost("e0", "roster"))
    bench.end(second)


def test_leaving_refusal_is_retried_without_budget(make_bench, make_request):
    """Guards against a planned drain that uses up the retries."""
    bench = make_bench(2, slots=8, retry_floor=0, retry_share=0.0)
    (first,) = bench.send(far(make_request, method="POST"))
    (again,) = bench.end(first, None, possibly_ran=False, refusal="leaving")
    assert again.record.endpoint_id != first.record.endpoint_id
    (failed,) = bench.end(again, None, possibly_ran=False)
    assert failed.answer.outcome == NOT_RUN


def test_idle_service_holds_no_leases(make_bench, make_request):
    """Guards against traffic for slots that nobody uses."""
    bench = make_bench(2, slots=8, leased=True)
    assert bench.router.demand(bench.now_ms).items == []
    request = far(make_request, deadline_ms=bench.now_ms + 100)
    bench.send(request)
    bench.now_ms += 1_000
    bench.router.tick(bench.now_ms, bench.chance)
    assert len(bench.router.demand(bench.now_ms).items) == 2
    bench.now_ms += 10_000
    assert bench.router.demand(bench.now_ms).items == []


def test_long_request_keeps_its_lease(make_bench, make_request):
    """Guards against slots in use that count as free after 10 s."""
    bench = make_bench(1, slots=8, leased=True)
    bench.send(far(make_request))
    bench.send(ShareChanged("e0", "roster", 1, bench.now_ms + 100))
    bench.now_ms += 20_000
    assert bench.router.demand(bench.now_ms).items == [("e0", 1, 1)]

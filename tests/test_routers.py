"""Tests of the router's decisions on retries and outcomes."""

import random

import pytest

from wigeonport.endpoints import EndpointChanged
from wigeonport.requests import NOT_RUN, UNKNOWN
from wigeonport.router_messages import (
    AttemptEnded,
    Dispatch,
    Respond,
    RouterLimits,
)
from wigeonport.routers import Router


@pytest.fixture
def router(make_record):
    """A router with one endpoint."""
    router = Router("ikeja", RouterLimits(queue_bound=10, leased=False))
    router.step(EndpointChanged(make_record()), 0, random.Random(1))
    return router


def step(router, message, now_ms=0):
    """Passes a message to the router with a fixed random source."""
    return router.step(message, now_ms, random.Random(1))


def test_waiting_retry_is_never_reported_as_not_run(router, make_request):
    """A request that expires while it waits for a retry is unknown.

    Its first attempt may have run; it fails if only the queue time decides
    and the caller is told ``not-run``.
    """
    request = make_request(deadline_ms=100)
    (dispatched,) = step(router, request)
    assert isinstance(dispatched, Dispatch)
    router.services["roster"].targets["e1"].record.slots = 0
    assert step(router, AttemptEnded(request, "e1", None, True, "lost")) == []
    (response,) = router.tick(100, random.Random(1))
    assert response.answer.outcome == UNKNOWN


@pytest.mark.parametrize(
    ("method", "key", "ran", "expected"),
    [
        ("POST", None, True, UNKNOWN),
        ("POST", "k", True, UNKNOWN),
        ("GET", "k", True, UNKNOWN),
        ("POST", None, False, Dispatch),
        ("POST", "k", False, Dispatch),
        ("GET", None, True, Dispatch),
    ],
)
def test_retries_are_only_safe_ones(
    router, make_request, method, key, ran, expected
):
    """Only an attempt that did not run or a repeatable request is retried.

    Retrying a POST or keyed request that may have run could run it twice.
    """
    request = make_request(method, key)
    step(router, request)
    (command,) = step(router, AttemptEnded(request, "e1", None, ran, "lost"))
    if isinstance(command, Respond):
        assert command.answer.outcome == expected
    else:
        assert isinstance(command, expected)


def test_attempts_are_bounded_and_refusals_stay_not_run(router, make_request):
    """Refused attempts stop at the maximum and leave the outcome not run.

    It fails if retries have no limit, or if the last of several refusals is
    reported as unknown.
    """
    request = make_request("POST")
    step(router, request)
    for _ in range(2):
        step(router, AttemptEnded(request, "e1", None, False, "refused"))
    result = AttemptEnded(request, "e1", None, False, "refused")
    (command,) = step(router, result)
    assert command.answer.outcome == NOT_RUN


def test_refused_retry_does_not_hide_an_earlier_run(router, make_request):
    """A refusal after an attempt that may have run is unknown.

    It fails if the outcome is taken from the last attempt alone.
    """
    request = make_request("GET")
    step(router, request)
    for ran in (True, False):
        step(router, AttemptEnded(request, "e1", None, ran, "failed"))
    result = AttemptEnded(request, "e1", None, False, "refused")
    (command,) = step(router, result)
    assert command.answer.outcome == UNKNOWN

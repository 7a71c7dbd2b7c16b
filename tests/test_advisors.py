"""Tests of advice on the workers of a step."""

import pytest
from batch_fixtures import (
    JOB,
    DispatcherHarness,
    make_queue,
    make_table,
    started_runs,
)

from wigeonport.advisors import AdviceAnswered, Advisor
from wigeonport.clocks import ManualClock
from wigeonport.route_tables import AdviceTerms

ONE = {"count": 1, "cpu_milli": 1_000, "memory_mb": 100}
STEP = f"{JOB}.0.0"
VALID_MS = 5_000


@pytest.fixture
def advised():
    """A scene whose queue needs advice, and its advisor."""
    terms = AdviceTerms(50, 5, VALID_MS)
    harness = DispatcherHarness(make_table(queues=[make_queue(advice=terms)]))
    return harness, Advisor(None, ManualClock())


def ask(harness, advisor):
    """Returns the calls that the advisor makes now."""
    advisor.on_tick(harness.dispatcher, harness.now_ms)
    return advisor.calls.drain(10)


def answer(harness, advisor, call, tickets):
    """Passes an answer of the service."""
    event = AdviceAnswered(call, tickets, harness.now_ms)
    advisor.handle_answer(harness.dispatcher, event, harness.now_ms)


def test_task_waits_for_a_ticket(advised):
    """A start without a ticket would be rejected."""
    harness, advisor = advised
    harness.submit(ONE)
    assert started_runs(harness.heartbeat("w1")) == []
    (call,) = ask(harness, advisor)
    assert (call.step, list(call.workers)) == (STEP, ["w1"])
    answer(harness, advisor, call, {"w1": "pass"})
    (start,) = harness.heartbeat("w1").starts
    assert start.ticket == "pass"


def test_worker_that_is_not_allowed_gets_no_task(advised):
    """The policy of the queue excludes workers for good."""
    harness, advisor = advised
    harness.submit(ONE)
    harness.heartbeat("w1")
    (call,) = ask(harness, advisor)
    answer(harness, advisor, call, {})
    assert started_runs(harness.heartbeat("w1")) == []
    assert ask(harness, advisor) == []


def test_expired_ticket_is_asked_for_again(advised):
    """A start must not carry a ticket that has run out."""
    harness, advisor = advised
    harness.submit(ONE)
    harness.heartbeat("w1")
    (call,) = ask(harness, advisor)
    answer(harness, advisor, call, {"w1": "pass"})
    harness.now_ms += VALID_MS
    assert started_runs(harness.heartbeat("w1")) == []
    assert len(ask(harness, advisor)) == 1


def test_new_life_of_a_worker_needs_a_new_ticket(advised):
    """A ticket holds for one life of a worker."""
    harness, advisor = advised
    harness.submit(ONE)
    harness.heartbeat("w1")
    (call,) = ask(harness, advisor)
    answer(harness, advisor, call, {"w1": "pass"})
    assert (
        started_runs(harness.heartbeat("w1", born_ms=60_000, sequence=1)) == []
    )


def test_call_without_an_answer_is_made_again_later(advised):
    """A refused call must neither be lost nor repeated at once."""
    harness, advisor = advised
    harness.submit(ONE)
    harness.heartbeat("w1")
    (call,) = ask(harness, advisor)
    answer(harness, advisor, call, None)
    assert ask(harness, advisor) == []
    harness.now_ms += 600
    harness.heartbeat("w1")
    assert len(ask(harness, advisor)) == 1

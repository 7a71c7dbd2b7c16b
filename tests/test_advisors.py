"""Tests of the requests for tickets that let workers run a step."""

import pytest
from batch_fixtures import JOB, Scene, make_queue, make_table, names

from wigeonport.advisors import AdviceAnswered, Advisor
from wigeonport.clocks import ManualClock
from wigeonport.route_tables import AdviceTerms

ONE = {"count": 1, "cpu_milli": 1_000, "memory_mb": 100}
STEP = f"{JOB}.0.0"
VALID_MS = 5_000


@pytest.fixture
def advised():
    """A dispatcher whose queue needs advice, and its advisor."""
    terms = AdviceTerms(50, 5, VALID_MS)
    scene = Scene(make_table(queues=[make_queue(advice=terms)]))
    return scene, Advisor(None, ManualClock())


def ask(scene, advisor):
    """Runs a tick of the advisor; returns the calls that it makes."""
    advisor.on_tick(scene.dispatcher, scene.now_ms)
    return advisor.calls.drain(10)


def answer(scene, advisor, call, tickets):
    """Passes an answer of the advice service to the advisor."""
    event = AdviceAnswered(call, tickets, scene.now_ms)
    advisor.note_answer(scene.dispatcher, event, scene.now_ms)


def test_task_waits_for_a_ticket(advised):
    """A task must not start without a ticket, since the worker rejects it."""
    scene, advisor = advised
    scene.submit(ONE)
    assert names(scene.beat("w1")) == []
    (call,) = ask(scene, advisor)
    assert (call.step, list(call.workers)) == (STEP, ["w1"])
    answer(scene, advisor, call, {"w1": "pass"})
    (start,) = scene.beat("w1").starts
    assert start.ticket == "pass"


def test_worker_that_is_not_allowed_gets_no_task(advised):
    """Guards against tasks and endless calls for an excluded worker.

    A worker without a ticket in the answer is excluded for good.
    """
    scene, advisor = advised
    scene.submit(ONE)
    scene.beat("w1")
    (call,) = ask(scene, advisor)
    answer(scene, advisor, call, {})
    assert names(scene.beat("w1")) == []
    assert ask(scene, advisor) == []


def test_expired_ticket_is_requested_again(advised):
    """A task must not start with an expired ticket; a new one is requested."""
    scene, advisor = advised
    scene.submit(ONE)
    scene.beat("w1")
    (call,) = ask(scene, advisor)
    answer(scene, advisor, call, {"w1": "pass"})
    scene.now_ms += VALID_MS
    assert names(scene.beat("w1")) == []
    assert len(ask(scene, advisor)) == 1


def test_new_incarnation_of_a_worker_needs_a_new_ticket(advised):
    """A ticket must not be used for a later incarnation of its worker."""
    scene, advisor = advised
    scene.submit(ONE)
    scene.beat("w1")
    (call,) = ask(scene, advisor)
    answer(scene, advisor, call, {"w1": "pass"})
    assert names(scene.beat("w1", born_ms=60_000, sequence=1)) == []


def test_failed_call_is_repeated_after_a_pause(advised):
    """A failed call must be repeated, but only after a pause."""
    scene, advisor = advised
    scene.submit(ONE)
    scene.beat("w1")
    (call,) = ask(scene, advisor)
    answer(scene, advisor, call, None)
    assert ask(scene, advisor) == []
    scene.now_ms += 600
    scene.beat("w1")
    assert len(ask(scene, advisor)) == 1

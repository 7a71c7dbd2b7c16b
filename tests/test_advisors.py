"""Tests of the requests for tickets that let workers run a step."""

import pytest
import trio
from batch_fixtures import (
    JOB,
    DispatcherHarness,
    make_queue,
    make_table,
    started_runs,
)

from wigeonport.advisors import AdviceAnswered, Advisor
from wigeonport.channels import Mailbox
from wigeonport.clocks import ManualClock
from wigeonport.route_tables import AdviceTerms

ONE = {"count": 1, "cpu_milli": 1_000, "memory_mb": 100}
STEP = f"{JOB}.0.0"
VALID_MS = 5_000


@pytest.fixture
def advised():
    """A dispatcher whose queue needs advice, and its advisor."""
    terms = AdviceTerms(50, 5, VALID_MS)
    harness = DispatcherHarness(make_table(queues=[make_queue(advice=terms)]))
    return harness, Advisor(None, ManualClock())


def ask(harness, advisor):
    """Runs a tick of the advisor; returns the calls that it makes."""
    advisor.on_tick(harness.dispatcher, harness.now_ms)
    return advisor.calls.drain(10)


def answer(harness, advisor, call, tickets):
    """Passes an answer of the advice service to the advisor."""
    event = AdviceAnswered(call, tickets, harness.now_ms)
    advisor.handle_answer(harness.dispatcher, event, harness.now_ms)


def test_task_waits_for_a_ticket(advised):
    """A task must not start without a ticket, since the worker rejects it."""
    harness, advisor = advised
    harness.submit(ONE)
    assert started_runs(harness.heartbeat("w1")) == []
    (call,) = ask(harness, advisor)
    assert (call.step, list(call.workers)) == (STEP, ["w1"])
    answer(harness, advisor, call, {"w1": "pass"})
    (start,) = harness.heartbeat("w1").starts
    assert start.ticket == "pass"


def test_worker_that_is_not_allowed_gets_no_task(advised):
    """Guards against tasks and endless calls for an excluded worker.

    A worker without a ticket in the answer is excluded for good.
    """
    harness, advisor = advised
    harness.submit(ONE)
    harness.heartbeat("w1")
    (call,) = ask(harness, advisor)
    answer(harness, advisor, call, {})
    assert started_runs(harness.heartbeat("w1")) == []
    assert ask(harness, advisor) == []


def test_expired_ticket_is_requested_again(advised):
    """A task must not start with an expired ticket; a new one is requested."""
    harness, advisor = advised
    harness.submit(ONE)
    harness.heartbeat("w1")
    (call,) = ask(harness, advisor)
    answer(harness, advisor, call, {"w1": "pass"})
    harness.now_ms += VALID_MS
    assert started_runs(harness.heartbeat("w1")) == []
    assert len(ask(harness, advisor)) == 1


def test_new_incarnation_of_a_worker_needs_a_new_ticket(advised):
    """A ticket must not be used for a later incarnation of its worker."""
    harness, advisor = advised
    harness.submit(ONE)
    harness.heartbeat("w1")
    (call,) = ask(harness, advisor)
    answer(harness, advisor, call, {"w1": "pass"})
    assert (
        started_runs(harness.heartbeat("w1", born_ms=60_000, sequence=1)) == []
    )


def test_failed_call_is_repeated_after_a_pause(advised):
    """A failed call must be repeated, but only after a pause."""
    harness, advisor = advised
    harness.submit(ONE)
    harness.heartbeat("w1")
    (call,) = ask(harness, advisor)
    answer(harness, advisor, call, None)
    assert ask(harness, advisor) == []
    harness.now_ms += 600
    harness.heartbeat("w1")
    assert len(ask(harness, advisor)) == 1


def test_worker_without_a_readable_answer_is_asked_for_again(advised):
    """Guards against a worker that is excluded by a malformed row.

    A worker without a ticket in the answer is excluded for good.
    """
    harness, advisor = advised
    harness.submit(ONE)
    harness.heartbeat("w1")
    (call,) = ask(harness, advisor)
    answer(harness, advisor, call, {"w1": None})
    assert started_runs(harness.heartbeat("w1")) == []
    assert ask(harness, advisor) == []
    harness.now_ms += 600
    harness.heartbeat("w1")
    (call,) = ask(harness, advisor)
    answer(harness, advisor, call, {"w1": "pass"})
    assert len(harness.heartbeat("w1").starts) == 1


class FailingAdvice:
    """An advice client that raises an exception."""

    async def advise(self, step, worker_ids):
        """Raises an exception."""
        raise RecursionError("by the test")


def test_exception_in_a_call_is_a_failed_call(advised):
    """Guards against a control that ends by an answer of the service."""
    harness, advisor = advised
    advisor.client = FailingAdvice()
    harness.submit(ONE)
    harness.heartbeat("w1")
    (call,) = ask(harness, advisor)

    async def main():
        answers = Mailbox("answers", 1)
        await advisor.ask(call, answers)
        return await answers.get()

    assert trio.run(main).tickets is None

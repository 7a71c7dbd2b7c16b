"""Tests of the front of the platform."""

import gc
import json

import pytest
import trio
import trio.testing
from front import FrontEdge, encode_answer
from http_edges import Request

from wigeonport.batch_calls import STATE, SUBMIT, BatchCall
from wigeonport.batch_specs import Step
from wigeonport.channels import REFUSE, Mailbox
from wigeonport.clocks import Clock
from wigeonport.metrics import Metrics

PATH = "/plans/00000000000000aa"
LONG_MS = 60_000


class SilentGateway:
    """A gateway whose leader does not answer.

    Attributes:
        inbox: Mailbox of the GatewayCalls.
    """

    __slots__ = ("inbox",)

    def __init__(self):
        self.inbox = Mailbox("gateway", 8, REFUSE)


@pytest.fixture
def edge():
    """A FrontEdge whose calls stay unanswered."""
    return FrontEdge(SilentGateway(), Clock(), Metrics())


@pytest.mark.parametrize(("verb", "status"), [(SUBMIT, 504), (STATE, 503)])
def test_call_that_waits_is_answered_before_the_process_ends(
    edge, verb, status
):
    """Guards against a connection that a planned stop closes unanswered.

    The outcome of a call with an effect is unknown then.
    """
    answers = []

    async def send():
        call = BatchCall(verb, "jobs.example", PATH)
        answers.append(await edge.ask(call, edge.clock.now() + LONG_MS))

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            await trio.testing.wait_all_tasks_blocked()
            edge.end_waits()

    trio.run(main)
    assert encode_answer(verb, answers[0]).status == status
    assert not edge.waits


def test_call_after_that_has_not_run(edge):
    """A call that arrives at the very end must be refused truthfully."""
    edge.end_waits()
    call = BatchCall(SUBMIT, "jobs.example", PATH)
    answer = trio.run(edge.ask, call, edge.clock.now() + LONG_MS)
    assert encode_answer(SUBMIT, answer).status == 503
    assert edge.gateway.inbox.drain(8) == []


def make_request(body):
    """Returns a Request that submits a job."""

    async def receive():
        return {"type": "http.request", "body": body, "more_body": False}

    return Request({"method": "POST", "path": PATH, "headers": ()}, receive)


def find_steps():
    """Returns all steps in memory."""
    return [each for each in gc.get_objects() if type(each) is Step]


def test_decoded_job_is_not_kept_while_its_call_waits(edge):
    """Guards against calls that hold several times the bytes of their bodies.

    380 jobs of 250 steps took a front of 100 MB to 97 MB.
    """
    body = json.dumps({"spec": "", "steps": [{"count": 1}] * 250}).encode()
    # Other modules of tests have steps of their own.
    former = {id(each): each for each in find_steps()}
    kept = []

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(edge.handle, make_request(body))
            await trio.testing.wait_all_tasks_blocked()
            kept.extend(x for x in find_steps() if id(x) not in former)
            edge.end_waits()

    trio.run(main)
    assert edge.gateway.inbox.depth() == 1
    assert kept == []

"""Tests that a request runs at most once for each idempotency key."""

import pytest
import trio
from expression import Error, Ok

from wigeonport.channels import Mailbox
from wigeonport.claim_states import MAX_STORED_RESPONSE_BYTES, ClaimState
from wigeonport.claims import Claimer, ClaimLimits, claim_keys
from wigeonport.clocks import Clock
from wigeonport.codecs import codecs
from wigeonport.metrics import Metrics
from wigeonport.requests import (
    COMPLETED,
    NOT_RUN,
    UNKNOWN,
    CallerAnswer,
    answer_unknown,
    refuse,
)
from wigeonport.state_commands import (
    HANDLERS,
    ClaimKey,
    CompleteClaim,
    ReleaseClaim,
)

DONE = CallerAnswer(201, [(b"x", b"\xff")], b"sent", COMPLETED)


class FakeControl:
    """Applies claim commands; drops the answers of command types in lost."""

    def __init__(self):
        self.claims = ClaimState()
        self.lost = set()
        self.commands = []

    async def ask(self, command, timeout_ms, control_timeout_ms):
        """Applies a command as the replicated state would."""
        self.commands.append(type(command))
        if isinstance(command, CompleteClaim):
            assert len(command.response) <= MAX_STORED_RESPONSE_BYTES
        handler = HANDLERS.get(type(command)).ok
        answer = handler(self, command, 1_000)
        if type(command) in self.lost:
            return Error("no answer")
        return Ok(answer)


@pytest.fixture
def run_claims(make_request):
    """Returns a function that runs keyed requests one after the other.

    It returns the dispatched requests and the answers to callers.
    """

    def run(control, answers, requests):
        dispatched, results = [], []

        async def stand_in_router(mailbox):
            async for request in mailbox:
                dispatched.append(request)
                request.reply.send(answers[len(dispatched) - 1])

        async def scenario():
            inbound, outbound = Mailbox("claims", 8), Mailbox("router", 8)
            limits = ClaimLimits(close_wait_ms=50, close_timeout_ms=200)
            codec = codecs.get("thrift").ok()
            claimer = Claimer(
                control, outbound, codec, limits, Clock(), Metrics()
            )
            with trio.fail_after(10):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(claim_keys, inbound, claimer)
                    nursery.start_soon(stand_in_router, outbound)
                    for request in requests:
                        await inbound.put(request)
                        results.append((await request.reply.wait(5_000)).ok)
                    nursery.cancel_scope.cancel()

        trio.run(scenario)
        return dispatched, results

    return run


def test_repeat_gets_the_stored_answer(run_claims, make_request):
    """A repeat of a completed request must not be dispatched a second time.

    It fails if the answer is not stored with the claim, or if the repeat is
    dispatched without regard to the stored claim.
    """
    requests = [make_request("POST", "k", b"x") for _ in range(2)]
    dispatched, results = run_claims(FakeControl(), [DONE, DONE], requests)
    assert len(dispatched) == 1
    for result in results:
        assert (result.status, result.headers, result.body) == (
            201,
            [(b"x", b"\xff")],
            b"sent",
        )
        assert result.outcome == COMPLETED


def test_unknown_outcome_is_never_run_again(run_claims, make_request):
    """A repeat must not run the request while its first outcome is unknown.

    It fails if the claim is released after an attempt that may have run.
    """
    requests = [make_request("POST", "k") for _ in range(2)]
    answers = [answer_unknown(502, "lost"), DONE]
    dispatched, results = run_claims(FakeControl(), answers, requests)
    assert len(dispatched) == 1
    assert [result.outcome for result in results] == [UNKNOWN, UNKNOWN]


def test_request_that_did_not_run_can_be_repeated(run_claims, make_request):
    """A request that was refused must not use up its key.

    It fails if the claim stays open although nothing ran: the caller could
    then never run the request under this key.
    """
    requests = [make_request("POST", "k") for _ in range(2)]
    answers = [refuse(503, "full"), DONE]
    dispatched, results = run_claims(FakeControl(), answers, requests)
    assert len(dispatched) == 2
    assert [result.outcome for result in results] == [NOT_RUN, COMPLETED]


def test_unanswered_claim_is_released_and_never_run(run_claims, make_request):
    """A claim whose answer was lost must be released and not dispatched.

    The claim is applied although the caller is told ``not-run``. A dispatch
    would contradict that answer; a claim left open would block the repeat.
    """
    control = FakeControl()
    control.lost = {ClaimKey}
    requests = [make_request("POST", "k")]
    dispatched, results = run_claims(control, [], requests)
    assert (dispatched, results[0].outcome) == ([], NOT_RUN)
    assert control.commands == [ClaimKey, ReleaseClaim]
    control.lost = set()
    dispatched, results = run_claims(
        control, [DONE], [make_request("POST", "k")]
    )
    assert (len(dispatched), results[0].outcome) == (1, COMPLETED)


def test_other_body_with_the_same_key_is_refused(run_claims, make_request):
    """A key reused for another body must not return the first answer.

    It fails if the claim is matched by key alone, without the digest.
    """
    requests = [make_request("POST", "k", body) for body in (b"a", b"b")]
    dispatched, results = run_claims(FakeControl(), [DONE, DONE], requests)
    assert len(dispatched) == 1
    assert (results[1].status, results[1].outcome) == (422, NOT_RUN)


def test_answer_too_large_to_store_is_unknown_later(run_claims, make_request):
    """A repeat must not get a truncated answer or run the request again.

    An answer above the storage limit is not stored, so the repeat is told
    ``unknown``.
    """
    large = CallerAnswer(200, [], b"x" * 9_000, COMPLETED)
    requests = [make_request("POST", "k") for _ in range(2)]
    dispatched, results = run_claims(FakeControl(), [large] * 2, requests)
    assert len(dispatched) == 1
    assert len(results[0].body) == 9_000
    assert results[1].outcome == UNKNOWN

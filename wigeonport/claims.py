"""Claims: at most one run for each idempotency key.

A keyed request is claimed before it is queued. Its answer settles the claim:
a completed answer is stored, a request that did not run is released, and
anything else leaves the claim open, so that a repeat is told ``unknown``.
"""

import trio
from expression import Error, Ok, Result

from wigeonport.channels import Reply
from wigeonport.claim_messages import (
    digest_request,
    restore_answer,
    scope_key,
    store_answer,
)
from wigeonport.claim_states import LARGEST_RESPONSE_BYTES
from wigeonport.logs import PartLogger
from wigeonport.messages import Failure
from wigeonport.registries import Registry
from wigeonport.requests import COMPLETED, NOT_RUN, answer_unknown, refuse
from wigeonport.state_commands import ClaimKey, CompleteClaim, ReleaseClaim

logger = PartLogger("claims")
verdicts = Registry("claim answer")

ANSWER_MARGIN_MS = 100
FIRST_BACKOFF_MS = 50
LAST_BACKOFF_MS = 2_000


class ClaimLimits:
    """Limits of the claims filter.

    Attributes:
        claim_timeout_ms: Longest wait for a claim, over all controls.
        control_timeout_ms: Longest wait for one control.
        close_wait_ms: How long an answer waits until its claim is settled.
        close_timeout_ms: How long settling is tried in the background.
        max_open_claims: Keyed requests and claims being settled at a time.
    """

    __slots__ = (
        "claim_timeout_ms",
        "control_timeout_ms",
        "close_wait_ms",
        "close_timeout_ms",
        "max_open_claims",
    )

    def __init__(
        self,
        claim_timeout_ms=2_000,
        control_timeout_ms=800,
        close_wait_ms=500,
        close_timeout_ms=60_000,
        max_open_claims=1_024,
    ):
        self.claim_timeout_ms = claim_timeout_ms
        self.control_timeout_ms = control_timeout_ms
        self.close_wait_ms = close_wait_ms
        self.close_timeout_ms = close_timeout_ms
        self.max_open_claims = max_open_claims


def judge_claim(codec, answer):
    """Returns None if the request may be dispatched, else its answer."""
    verdict = verdicts.get(type(answer).__name__)
    if verdict.is_error():
        return refuse(503, "the claim was not understood", 1_000)
    return verdict.ok(codec, answer)


@verdicts.register("ClaimGranted")
def go_on(codec, answer):
    """The attempt holds the key."""


@verdicts.register("ClaimRepeat")
def repeat_answer(codec, answer):
    """The request was completed before; its answer is given again."""
    stored = restore_answer(codec, answer.response)
    if stored is None:
        return answer_unknown(409, "completed before; its answer is not kept")
    return stored


@verdicts.register("ClaimUnknown")
def admit_loss(codec, answer):
    """The request was completed, but its answer was too large or old."""
    return answer_unknown(409, "completed before; its answer is not kept")


@verdicts.register("ClaimInProgress")
def avoid_second_run(codec, answer):
    """Another attempt holds the key and may have run."""
    return answer_unknown(409, "another attempt with this key may have run")


@verdicts.register("ClaimConflict")
def refuse_conflict(codec, answer):
    """The key was used for another request."""
    return refuse(422, "the key was used for another request")


@verdicts.register("ClaimRefused")
def refuse_claim(codec, answer):
    """The state machine did not accept the claim."""
    return refuse(503, f"the claim was refused: {answer.why}", 1_000)


def settlement(codec, key, attempt, answer):
    """Returns the command that settles a granted claim, or None."""
    if answer.outcome == COMPLETED:
        stored = store_answer(codec, answer)
        if len(stored) > LARGEST_RESPONSE_BYTES:
            stored = b""
        return CompleteClaim(key, attempt, stored)
    if answer.outcome == NOT_RUN:
        return ReleaseClaim(key, attempt)
    return None


class ControlClient:
    """Asks the controls, the preferred one first.

    Attributes:
        links: ControlLinks of the entry.
        clock: Time source.
    """

    __slots__ = ("links", "clock")

    def __init__(self, links, clock):
        self.links = links
        self.clock = clock

    async def ask(self, command, timeout_ms, control_timeout_ms) -> Result:
        """Returns the first answer of a control, or an error text.

        Every command of the claims may be repeated: the state machine gives
        the same attempt the same answer.
        """
        end_ms = self.clock.now() + timeout_ms
        error = "no control is connected"
        for dialer in self.links.preferred():
            left_ms = end_ms - self.clock.now()
            if left_ms <= 0:
                break
            answer = await dialer.ask(
                command, min(left_ms, control_timeout_ms)
            )
            if answer.is_error():
                error = str(answer.error)
            elif isinstance(answer.ok, Failure):
                error = answer.ok.reason
            else:
                return answer
        return Error(error)


class Claimer:
    """Runs the keyed requests through their claims.

    Attributes:
        caller: ControlCaller, or anything with the same ``ask``.
        outbound: Mailbox of the router.
        codec: Codec of the stored answers.
        limits: ClaimLimits.
        clock: Time source.
        metrics: Metrics of the process.
    """

    __slots__ = ("caller", "outbound", "codec", "limits", "clock", "metrics")

    def __init__(self, caller, outbound, codec, limits, clock, metrics):
        self.caller = caller
        self.outbound = outbound
        self.codec = codec
        self.limits = limits
        self.clock = clock
        self.metrics = metrics

    async def run(self, request, nursery):
        """Answers one keyed request."""
        key, attempt = scope_key(request), request.request_id
        claimed = await self.claim(request, key, attempt)
        if claimed.is_error():
            answer = claimed.error
            await self.settle(ReleaseClaim(key, attempt), nursery)
        elif claimed.ok is not None:
            answer = claimed.ok
        else:
            answer = await self.forward(request)
            command = settlement(self.codec, key, attempt, answer)
            if command is not None:
                await self.settle(command, nursery)
        request.reply.send(answer)

    async def claim(self, request, key, attempt) -> Result:
        """Returns None if granted, else the answer of the request.

        The result is an error if no control answered: the claim may be in
        the log, and has to be released.
        """
        started_ms = self.clock.now()
        left_ms = request.deadline_ms - started_ms
        timeout_ms = min(self.limits.claim_timeout_ms, left_ms)
        command = ClaimKey(key, digest_request(request), attempt)
        answer = await self.caller.ask(
            command, timeout_ms, self.limits.control_timeout_ms
        )
        spent_ms = self.clock.now() - started_ms
        self.metrics.record("claims_wait_us", spent_ms * 1_000)
        if answer.is_error():
            self.metrics.count("claims_unanswered")
            logger.warning("Claim unanswered.", reason=answer.error)
            text = "the key could not be claimed"
            return Error(refuse(503, text, 1_000))
        name = type(answer.ok).__name__
        self.metrics.count(f"claims_{name}")
        return Ok(judge_claim(self.codec, answer.ok))

    async def forward(self, request):
        """Sends a claimed request on and returns its answer."""
        reply = Reply()
        inner = copy_request(request, reply)
        if not await self.outbound.put(inner):
            return refuse(503, "the entry is overloaded", 1_000)
        left_ms = request.deadline_ms - self.clock.now() + ANSWER_MARGIN_MS
        answer = await reply.wait(left_ms)
        if answer.is_error():
            return answer_unknown(504, "no answer within the deadline")
        return answer.ok

    async def settle(self, command, nursery):
        """Settles a claim; waits for it only for a short time.

        A caller that repeats right after its answer then meets the settled
        claim. When the controls do not answer, the caller is not held up.
        """
        settled = trio.Event()
        nursery.start_soon(self.settle_finally, command, settled)
        with trio.move_on_after(self.limits.close_wait_ms / 1000):
            await settled.wait()

    async def settle_finally(self, command, settled):
        """Repeats the command until a control answers."""
        end_ms = self.clock.now() + self.limits.close_timeout_ms
        backoff_ms = FIRST_BACKOFF_MS
        try_ms = self.limits.control_timeout_ms
        while True:
            left_ms = end_ms - self.clock.now()
            answer = await self.caller.ask(command, left_ms, try_ms)
            if answer.is_ok():
                return settled.set()
            if self.clock.now() + backoff_ms >= end_ms:
                break
            await self.clock.sleep(backoff_ms)
            backoff_ms = min(backoff_ms * 2, LAST_BACKOFF_MS)
        self.metrics.count("claims_left_open")
        logger.warning("Claim left open.", key=command.key)
        return settled.set()


def copy_request(request, reply):
    """Returns the same request with a reply channel of its own."""
    copied = object.__new__(type(request))
    for name in type(request).__slots__:
        setattr(copied, name, getattr(request, name))
    copied.reply = reply
    return copied


async def claim_keys(inbound, claimer):
    """Claims keyed requests and passes the others on."""
    async with trio.open_nursery() as nursery:
        async for request in inbound:
            if request.key is None:
                if not await claimer.outbound.put(request):
                    answer = refuse(503, "the entry is overloaded", 1_000)
                    request.reply.send(answer)
            elif len(nursery.child_tasks) >= claimer.limits.max_open_claims:
                claimer.metrics.count("claims_refused")
                answer = refuse(503, "too many keyed requests", 1_000)
                request.reply.send(answer)
            else:
                nursery.start_soon(claimer.run, request, nursery)

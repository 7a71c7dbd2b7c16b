"""Claims: at most one run for each idempotency key.

The key of a request is claimed in the replicated state before the request is
queued. The answer of a completed request closes the claim and is stored with
it. A request that did not run releases its claim. In all other cases the
claim stays open, and a repeat with the same key is told ``unknown``.
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
from wigeonport.claim_states import MAX_STORED_RESPONSE_BYTES
from wigeonport.logs import PartLogger
from wigeonport.messages import Failure
from wigeonport.registries import Registry
from wigeonport.requests import COMPLETED, NOT_RUN, answer_unknown, refuse
from wigeonport.state_commands import ClaimKey, CompleteClaim, ReleaseClaim

logger = PartLogger("claims")
claim_answer_handlers = Registry("claim answer")

ANSWER_MARGIN_MS = 100
INITIAL_BACKOFF_MS = 50
MAX_BACKOFF_MS = 2_000


class ClaimLimits:
    """Limits of the claims filter.

    Attributes:
        claim_timeout_ms: Longest wait for a claim, over all controls tried.
        control_timeout_ms: Longest wait for one control.
        close_wait_ms: How long an answer is held back until its claim is
            closed.
        close_timeout_ms: How long closing a claim is retried in the
            background.
        max_open_claims: Largest number of keyed requests in flight and
            claims being closed, together.
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


def handle_claim_answer(codec, answer):
    """Returns None if the request may be dispatched, else its answer."""
    handler = claim_answer_handlers.get(type(answer).__name__)
    if handler.is_error():
        return refuse(
            503, "the answer to the claim has an unknown type", 1_000
        )
    return handler.ok(codec, answer)


@claim_answer_handlers.register("ClaimGranted")
def allow_dispatch(codec, answer):
    """The attempt holds the key: the request is dispatched."""


@claim_answer_handlers.register("ClaimRepeat")
def return_stored_answer(codec, answer):
    """The request was completed before: its stored answer is returned."""
    stored = restore_answer(codec, answer.response)
    if stored is None:
        return answer_unknown(409, "key used before; its answer is not stored")
    return stored


@claim_answer_handlers.register("ClaimUnknown")
def report_missing_answer(codec, answer):
    """The key was claimed before, but no answer is stored.

    The answer was too large, or the claim was old and reduced to a hash.
    """
    return answer_unknown(409, "key used before; its answer is not stored")


@claim_answer_handlers.register("ClaimInProgress")
def report_open_claim(codec, answer):
    """Another attempt holds the key and may have run."""
    return answer_unknown(409, "another attempt with this key may have run")


@claim_answer_handlers.register("ClaimConflict")
def refuse_reused_key(codec, answer):
    """The key was used for another request."""
    return refuse(422, "the idempotency key was used for another request")


@claim_answer_handlers.register("ClaimRefused")
def refuse_claim(codec, answer):
    """The replicated state refused the claim."""
    return refuse(503, f"the claim was refused: {answer.why}", 1_000)


def make_closing_command(codec, key, attempt, answer):
    """Returns the command that closes a granted claim, or None.

    None leaves the claim open, because the request may have run. An answer
    that is too large is stored empty, so that a repeat is told ``unknown``.
    """
    if answer.outcome == COMPLETED:
        stored = store_answer(codec, answer)
        if len(stored) > MAX_STORED_RESPONSE_BYTES:
            stored = b""
        return CompleteClaim(key, attempt, stored)
    if answer.outcome == NOT_RUN:
        return ReleaseClaim(key, attempt)
    return None


class ControlClient:
    """Sends commands to the controls, the preferred one first.

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

        Trying several controls is safe: claim commands are idempotent, since
        the replicated state gives the same attempt the same answer.

        Args:
            command: The claim command.
            timeout_ms: Longest wait over all controls.
            control_timeout_ms: Longest wait for one control.
        """
        end_ms = self.clock.now() + timeout_ms
        error = "no control is connected"
        for dialer in self.links.preferred():
            remaining_ms = end_ms - self.clock.now()
            if remaining_ms <= 0:
                break
            answer = await dialer.ask(
                command, min(remaining_ms, control_timeout_ms)
            )
            if answer.is_error():
                error = str(answer.error)
            elif isinstance(answer.ok, Failure):
                error = answer.ok.reason
            else:
                return answer
        return Error(error)


class Claimer:
    """Claims the key of each keyed request around its dispatch.

    Attributes:
        control_client: ControlClient, or an object with the same
            ``ask``.
        outbound: Mailbox of the router.
        codec: Codec of the stored answers.
        limits: ClaimLimits.
        clock: Time source.
        metrics: Metrics of the process.
    """

    __slots__ = (
        "control_client",
        "outbound",
        "codec",
        "limits",
        "clock",
        "metrics",
    )

    def __init__(
        self, control_client, outbound, codec, limits, clock, metrics
    ):
        self.control_client = control_client
        self.outbound = outbound
        self.codec = codec
        self.limits = limits
        self.clock = clock
        self.metrics = metrics

    async def run(self, request, nursery):
        """Claims the key, forwards the request and sends its answer."""
        key, attempt = scope_key(request), request.request_id
        claim_result = await self.claim(request, key, attempt)
        if claim_result.is_error():
            answer = claim_result.error
            await self.close_claim(ReleaseClaim(key, attempt), nursery)
        elif claim_result.ok is not None:
            answer = claim_result.ok
        else:
            answer = await self.forward(request)
            command = make_closing_command(self.codec, key, attempt, answer)
            if command is not None:
                await self.close_claim(command, nursery)
        request.reply.send(answer)

    async def claim(self, request, key, attempt) -> Result:
        """Returns Ok(None) if granted, else the answer to the request.

        The answer is an Error if no control answered. The claim may be in
        the replicated log nevertheless and has to be released.
        """
        started_ms = self.clock.now()
        remaining_ms = request.deadline_ms - started_ms
        timeout_ms = min(self.limits.claim_timeout_ms, remaining_ms)
        command = ClaimKey(key, digest_request(request), attempt)
        answer = await self.control_client.ask(
            command, timeout_ms, self.limits.control_timeout_ms
        )
        elapsed_ms = self.clock.now() - started_ms
        self.metrics.record("claims_wait_us", elapsed_ms * 1_000)
        if answer.is_error():
            self.metrics.count("claims_unanswered")
            logger.warning("Claim request failed.", reason=answer.error)
            text = "the idempotency key could not be claimed"
            return Error(refuse(503, text, 1_000))
        name = type(answer.ok).__name__
        self.metrics.count(f"claims_{name}")
        return Ok(handle_claim_answer(self.codec, answer.ok))

    async def forward(self, request):
        """Forwards a claimed request and returns its answer."""
        reply = Reply()
        forwarded = copy_request(request, reply)
        if not await self.outbound.put(forwarded):
            return refuse(503, "the entry is overloaded", 1_000)
        remaining_ms = (
            request.deadline_ms - self.clock.now() + ANSWER_MARGIN_MS
        )
        answer = await reply.wait(remaining_ms)
        if answer.is_error():
            return answer_unknown(504, "no answer within the deadline")
        return answer.ok

    async def close_claim(self, command, nursery):
        """Closes a claim in the background and waits briefly for the result.

        Because of the wait, a caller that repeats its request right after
        the answer normally finds the claim closed. The wait is bounded, so
        that controls that do not answer do not delay the caller for long.
        """
        closed = trio.Event()
        nursery.start_soon(self.retry_until_closed, command, closed)
        with trio.move_on_after(self.limits.close_wait_ms / 1000):
            await closed.wait()

    async def retry_until_closed(self, command, closed):
        """Repeats the command until a control answers or time is up.

        The claim stays open if no control answers within
        ``close_timeout_ms``.
        """
        end_ms = self.clock.now() + self.limits.close_timeout_ms
        backoff_ms = INITIAL_BACKOFF_MS
        try_ms = self.limits.control_timeout_ms
        while True:
            remaining_ms = end_ms - self.clock.now()
            answer = await self.control_client.ask(
                command, remaining_ms, try_ms
            )
            if answer.is_ok():
                return closed.set()
            if self.clock.now() + backoff_ms >= end_ms:
                break
            await self.clock.sleep(backoff_ms)
            backoff_ms = min(backoff_ms * 2, MAX_BACKOFF_MS)
        self.metrics.count("claims_left_open")
        logger.warning("Claim left open.", key=command.key)
        return closed.set()


def copy_request(request, reply):
    """Returns a copy of a request with another reply channel."""
    copied = object.__new__(type(request))
    for name in type(request).__slots__:
        setattr(copied, name, getattr(request, name))
    copied.reply = reply
    return copied


async def claim_keys(inbound, claimer):
    """Runs keyed requests through the claimer and forwards the others."""
    async with trio.open_nursery() as nursery:
        async for request in inbound:
            if request.key is None:
                if not await claimer.outbound.put(request):
                    answer = refuse(503, "the entry is overloaded", 1_000)
                    request.reply.send(answer)
            elif len(nursery.child_tasks) >= claimer.limits.max_open_claims:
                claimer.metrics.count("claims_refused")
                answer = refuse(
                    503, "too many requests with an idempotency key", 1_000
                )
                request.reply.send(answer)
            else:
                nursery.start_soon(claimer.run, request, nursery)

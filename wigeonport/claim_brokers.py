"""Claim brokers: propose the claim commands of entries to the log."""

import trio

from wigeonport.messages import Failure
from wigeonport.state_commands import ClaimKey, CompleteClaim, ReleaseClaim

CLAIM_COMMANDS = (ClaimKey, CompleteClaim, ReleaseClaim)
MAX_OPEN_PROPOSALS = 1_024


class ClaimBroker:
    """Proposes claim commands and answers the entries that sent them.

    Attributes:
        propose: Async function of a command and a timeout in ms; returns a
            Result with the answer of the state machine.
        timeout_ms: Maximum wait for a proposal.
        metrics: Metrics of the process.
    """

    __slots__ = ("propose", "timeout_ms", "metrics")

    def __init__(self, propose, timeout_ms, metrics):
        self.propose = propose
        self.timeout_ms = timeout_ms
        self.metrics = metrics

    async def handle(self, delivery):
        """Proposes one command of an entry and responds with its answer."""
        answer = await self.propose(delivery.message, self.timeout_ms)
        if answer.is_error():
            self.metrics.count("claims_not_proposed")
            delivery.respond(Failure(str(answer.error)))
        else:
            delivery.respond(answer.ok)


async def broker_claims(inbound, broker):
    """Proposes commands concurrently, so that the log can batch them."""
    async with trio.open_nursery() as nursery:
        async for delivery in inbound:
            if not isinstance(delivery.message, CLAIM_COMMANDS):
                delivery.respond(Failure("not a claim command"))
            elif len(nursery.child_tasks) >= MAX_OPEN_PROPOSALS:
                broker.metrics.count("claims_refused_proposals")
                delivery.respond(Failure("too many open proposals"))
            else:
                nursery.start_soon(broker.handle, delivery)

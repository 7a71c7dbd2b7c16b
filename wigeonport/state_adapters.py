"""State adapters: turn requests to the state into consensus requests."""

import trio
from expression import Error, Ok, Result

from wigeonport.channels import Reply, ask
from wigeonport.consensus_requests import Proposal, Read, StatusRequest
from wigeonport.replica_events import COMMITTED, REFUSED
from wigeonport.state_requests import COMMITTED as DECIDED
from wigeonport.state_requests import (
    NOT_RUN,
    UNKNOWN,
    Decision,
    ProposeCommand,
    StateRead,
)

MAX_OPEN_REQUESTS = 256
READ_TIMEOUT_MS = 1_000


class StateAdapter:
    """Asks the consensus task on behalf of other filters.

    Attributes:
        consensus: Mailbox of the consensus task.
        timeout_ms: Longest wait for a proposal.
    """

    __slots__ = ("consensus", "timeout_ms")

    def __init__(self, consensus, timeout_ms):
        self.consensus = consensus
        self.timeout_ms = timeout_ms

    async def handle(self, request):
        """Answers a ProposeCommand or a ReadState."""
        if isinstance(request, ProposeCommand):
            request.reply.send(await self.request_decision(request.command))
        else:
            request.reply.send(await self.read(request.query))

    async def request_decision(self, command):
        """Returns the Decision on a command."""
        reply = Reply()
        delivered = False
        with trio.move_on_after(self.timeout_ms / 1000):
            delivered = await self.consensus.put(Proposal(command, reply))
        if not delivered:
            return Decision(NOT_RUN, reason="the consensus task is busy")
        answer = await reply.wait(self.timeout_ms)
        if answer.is_error():
            return Decision(UNKNOWN, reason=answer.error)
        return to_decision(answer.ok)

    async def propose(self, command, timeout_ms) -> Result:
        """Returns the answer to a command, or the reason for none."""
        decision = await self.request_decision(command)
        if decision.outcome == DECIDED:
            return Ok(decision.answer)
        return Error(f"{decision.outcome}: {decision.reason}")

    async def read(self, query):
        """Returns the StateRead of a query.

        A quorum confirms the state if there is one; else the local state
        is read, whose role and leader tell that it may be outdated.
        """
        document = await self.view(query, True)
        if document.is_error():
            document = await self.view(query, False)
        status = await ask(self.consensus, StatusRequest, READ_TIMEOUT_MS)
        if status.is_error() or document.is_error():
            return StateRead(None, "unknown", "", 0)
        found = status.ok
        leader = found.leader_id.partition("/")[0]
        return StateRead(document.ok, found.role, leader, found.term)

    async def view(self, query, consistent) -> Result:
        """Returns what a query reads."""
        found = await ask(
            self.consensus,
            lambda reply: Read(query.read, reply, consistent),
            READ_TIMEOUT_MS,
        )
        return found.bind(lambda answer: answer)


def to_decision(answer):
    """Returns the Decision of a ProposalAnswer."""
    if answer.outcome == COMMITTED:
        return Decision(DECIDED, answer.answer)
    outcome = NOT_RUN if answer.outcome == REFUSED else UNKNOWN
    return Decision(outcome, reason=answer.reason)


async def adapt_requests(inbound, adapter):
    """Handles requests concurrently, so that the log can group them."""
    limiter = trio.CapacityLimiter(MAX_OPEN_REQUESTS)

    async def handle(request):
        async with limiter:
            await adapter.handle(request)

    async with trio.open_nursery() as nursery:
        async for request in inbound:
            nursery.start_soon(handle, request)

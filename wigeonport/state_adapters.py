"""State adapters: turn state requests into requests to the consensus task."""

import trio
from expression import Error, Ok, Result

from wigeonport.channels import Reply, ask
from wigeonport.consensus_requests import Proposal, Read, StatusRequest
from wigeonport.replica_events import COMMITTED, REFUSED
from wigeonport.state_requests import COMMITTED as COMMAND_COMMITTED
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
    """Sends proposals and reads of other filters to the consensus task.

    Attributes:
        consensus: Mailbox of the consensus task.
        timeout_ms: Maximum wait until the consensus task takes a proposal,
            and again until it answers it.
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
        """Proposes a command and returns the Decision on it."""
        reply = Reply()
        delivered = False
        with trio.move_on_after(self.timeout_ms / 1000):
            delivered = await self.consensus.put(Proposal(command, reply))
        if not delivered:
            return Decision(
                NOT_RUN, reason="the mailbox of the consensus task is full"
            )
        answer = await reply.wait(self.timeout_ms)
        if answer.is_error():
            return Decision(UNKNOWN, reason=answer.error)
        return to_decision(answer.ok)

    async def propose(self, command, timeout_ms) -> Result:
        """Proposes a command; returns its answer or why there is none.

        The parameter ``timeout_ms`` is ignored; that of the adapter applies.
        """
        decision = await self.request_decision(command)
        if decision.outcome == COMMAND_COMMITTED:
            return Ok(decision.answer)
        return Error(f"{decision.outcome}: {decision.reason}")

    async def read(self, query):
        """Returns the StateRead for a query.

        The read is linearizable if a quorum answers. Otherwise the local
        state is read, which may be outdated; the role and the leader in
        the StateRead show that.
        """
        document = await self.evaluate(query, True)
        if document.is_error():
            document = await self.evaluate(query, False)
        status = await ask(self.consensus, StatusRequest, READ_TIMEOUT_MS)
        if status.is_error() or document.is_error():
            return StateRead(None, "unknown", "", 0)
        replica = status.ok
        leader = replica.leader_id.partition("/")[0]
        return StateRead(document.ok, replica.role, leader, replica.term)

    async def evaluate(self, query, consistent) -> Result:
        """Returns the document that a query reads, or an error text."""
        result = await ask(
            self.consensus,
            lambda reply: Read(query.read, reply, consistent),
            READ_TIMEOUT_MS,
        )
        return result.bind(lambda answer: answer)


def to_decision(answer):
    """Returns the Decision of a ProposalAnswer."""
    if answer.outcome == COMMITTED:
        return Decision(COMMAND_COMMITTED, answer.answer)
    outcome = NOT_RUN if answer.outcome == REFUSED else UNKNOWN
    return Decision(outcome, reason=answer.reason)


async def adapt_requests(inbound, adapter):
    """Handles requests concurrently, so that the log can batch them."""
    limiter = trio.CapacityLimiter(MAX_OPEN_REQUESTS)

    async def handle(request):
        async with limiter:
            await adapter.handle(request)

    async with trio.open_nursery() as nursery:
        async for request in inbound:
            nursery.start_soon(handle, request)

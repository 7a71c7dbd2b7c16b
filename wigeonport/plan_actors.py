"""The plan actor: executes the planner's commands."""

import trio

from wigeonport.channels import ask
from wigeonport.consensus_requests import Read
from wigeonport.logs import PartLogger
from wigeonport.plan_commands import LOG, PLATFORM
from wigeonport.plan_events import CommandConfirmed, CommandRefused
from wigeonport.plan_proposals import find_refusal_reason, make_proposals
from wigeonport.registries import Registry
from wigeonport.state_requests import COMMITTED

logger = PartLogger("planner")
target_handlers = Registry("command target")

READ_TIMEOUT_MS = 1_000


class PlannedCommand:
    """A command and the PlanView from which it was planned."""

    __slots__ = ("command", "view")

    def __init__(self, command, view):
        self.command = command
        self.view = view


class PlanActor:
    """Executes commands in the replicated log and on the platform.

    Attributes:
        consensus: Mailbox of the consensus task.
        adapter: StateAdapter for proposals.
        platform: PlatformClient.
        events: EventLog of the process.
        clock: Time source.
    """

    __slots__ = ("consensus", "adapter", "platform", "events", "clock")

    def __init__(self, consensus, adapter, platform, events, clock):
        self.consensus = consensus
        self.adapter = adapter
        self.platform = platform
        self.events = events
        self.clock = clock

    async def execute(self, planned, outbound):
        """Executes a command and reports the result to the planner.

        Args:
            planned: PlannedCommand.
            outbound: Mailbox for CommandConfirmed or CommandRefused. Nothing
                is sent if the result is unknown.
        """
        command = planned.command
        self.events.record(
            f"plan.{command.kind}",
            id=command.command_id,
            text=str(command),
        )
        handler = target_handlers.entries.get(command.target)
        if handler is None:
            logger.info("Planner report.", report=command)
            return
        result = await handler(self, planned)
        if result is not None:
            await outbound.put(result)

    async def propose(self, planned):
        """Proposes the log commands that a command needs.

        Returns:
            The CommandRefused, True if all were committed, or None if that
            is unknown; the planner then repeats the command.
        """
        command = planned.command
        result = await ask(
            self.consensus,
            lambda reply: Read(
                lambda state: make_proposals(
                    command, planned.view, state, self.clock.now()
                ),
                reply,
                consistent=False,
            ),
            READ_TIMEOUT_MS,
        )
        if result.is_error() or result.ok.is_error():
            return None
        for proposal in result.ok.ok:
            decision = await self.adapter.request_decision(proposal)
            if decision.outcome != COMMITTED:
                return None
            reason = find_refusal_reason(decision.answer)
            if reason:
                return CommandRefused(command.command_id, reason)
        return True


@target_handlers.register(LOG)
async def commit_command(actor, planned):
    """Commits a command to the replicated log."""
    result = await actor.propose(planned)
    if result is True:
        return CommandConfirmed(planned.command.command_id)
    return result


@target_handlers.register(PLATFORM)
async def execute_on_platform(actor, planned):
    """Commits a command's proposals, then sends it to the platform."""
    result = await actor.propose(planned)
    if result is True:
        return await actor.platform.execute(planned.command)
    return result


async def execute_commands(inbound, outbound, actor):
    """Executes commands concurrently.

    Commands on the same VM run one after the other, because the planner
    waits for the answer to one before it issues the next.
    """
    async with trio.open_nursery() as nursery:
        async for planned in inbound:
            nursery.start_soon(actor.execute, planned, outbound)

"""Plan actors: carry out the planner's commands."""

import trio

from wigeonport.channels import ask
from wigeonport.consensus_requests import Read
from wigeonport.logs import PartLogger
from wigeonport.plan_commands import LOG, PLATFORM
from wigeonport.plan_events import CommandConfirmed, CommandRefused
from wigeonport.plan_proposals import make_proposals, read_refusal
from wigeonport.registries import Registry
from wigeonport.state_requests import COMMITTED

logger = PartLogger("planner")
targets = Registry("command target")

READ_TIMEOUT_MS = 1_000


class PlannedCommand:
    """A command and the view that it was planned on."""

    __slots__ = ("command", "view")

    def __init__(self, command, view):
        self.command = command
        self.view = view


class PlanActor:
    """Carries out one command at a time for each VM.

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

    async def act(self, planned, outbound):
        """Carries out a command and reports what became of it."""
        command = planned.command
        self.events.record(
            f"plan.{command.kind}",
            id=command.command_id,
            text=str(command),
        )
        carry_out = targets.entries.get(command.target)
        if carry_out is None:
            logger.info("Planner reports.", report=command)
            return
        result = await carry_out(self, planned)
        if result is not None:
            await outbound.put(result)

    async def propose(self, planned):
        """Proposes what a command needs in the log.

        Returns:
            The CommandRefused, True if all was committed, or None if that
            is unknown; the command is then sent again.
        """
        command = planned.command
        found = await ask(
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
        if found.is_error() or found.ok.is_error():
            return None
        for proposal in found.ok.ok:
            decision = await self.adapter.decide(proposal)
            if decision.outcome != COMMITTED:
                return None
            reason = read_refusal(decision.answer)
            if reason:
                return CommandRefused(command.command_id, reason)
        return True


@targets.register(LOG)
async def change_log(actor, planned):
    """Commits a command to the log."""
    result = await actor.propose(planned)
    if result is True:
        return CommandConfirmed(planned.command.command_id)
    return result


@targets.register(PLATFORM)
async def command_platform(actor, planned):
    """Records what the log must know first, then tells the platform."""
    result = await actor.propose(planned)
    if result is True:
        return await actor.platform.execute(planned.command)
    return result


async def execute_commands(inbound, outbound, actor):
    """Carries out commands concurrently.

    Commands on the same VM follow each other, because the planner waits for
    the answer to one before it issues the next.
    """
    async with trio.open_nursery() as nursery:
        async for planned in inbound:
            nursery.start_soon(actor.act, planned, outbound)

"""The planner: turns events into new state and commands.

It does no input or output. The control program feeds it events of the log
and the platform, and a replay feeds it those of a trace.
"""

from expression import Result

from wigeonport import (  # noqa: F401 - registers stages and handlers
    borrow_policies,
    borrowings,
    fleet_events,
    forecasts,
    jobs,
    operation_answers,
    operation_stages,
    operator_drains,
    reserves,
    rollouts,
    waves,
)
from wigeonport.command_ledgers import STALE_TERM, CommandLedger
from wigeonport.findings import Findings
from wigeonport.logs import PartLogger
from wigeonport.plan_events import CommandConfirmed, CommandRefused
from wigeonport.plan_registries import (
    POLICIES,
    confirmations,
    event_handlers,
    refusals,
    stages,
)
from wigeonport.plan_views import PlanView

logger = PartLogger("planner")

# Operations come first, because they free or occupy VMs; rolling out a
# version and covering a guarantee come before maintenance.
STAGE_ORDER = (
    "operations",
    "reserves",
    "rollouts",
    "borrowings",
    "waves",
    "jobs",
)


class Planner:
    """Runs the stages in order for each event.

    Attributes:
        view: PlanView that the stages read and update.
        ledger: CommandLedger of the commands without an answer.
        stage_functions: Functions of the stages, in order.
    """

    __slots__ = ("view", "ledger", "stage_functions")

    def __init__(self, settings, stage_names=STAGE_ORDER):
        self.view = PlanView(settings)
        self.ledger = CommandLedger(settings.command_resend_ms)
        self.stage_functions = [stages.entries[name] for name in stage_names]

    def step(self, event, now_ms, random):
        """Applies an event and plans the pools that it concerns.

        Args:
            event: A message of ``plan_events``.
            now_ms: Time on the planner's clock.
            random: A ``random.Random``.

        Returns:
            The commands of the stages.
        """
        pools = self.apply(event, now_ms)
        if pools is not None and not pools:
            return []
        return self.plan(pools, now_ms, random)

    def apply(self, event, now_ms):
        """Applies an event to the view.

        Returns:
            Names of the pools to plan, or None for all.
        """
        if isinstance(event, CommandConfirmed):
            return self.apply_answer(event.command_id, confirmations, now_ms)
        if isinstance(event, CommandRefused):
            return self.apply_refusal(event, now_ms)
        handler = event_handlers.entries[type(event)]
        pools = handler(self.view, event, now_ms)
        self.ledger.start_term(self.view.term)
        return pools

    def apply_refusal(self, event, now_ms):
        """Applies a refusal; a stale term ends the leadership."""
        logger.warning(
            "Command refused.", id=event.command_id, reason=event.reason
        )
        if event.reason == STALE_TERM:
            self.view.lease_until_ms = 0
        return self.apply_answer(event.command_id, refusals, now_ms)

    def apply_answer(self, command_id, handlers, now_ms):
        """Applies the first answer to a command and ignores later ones.

        Args:
            command_id: Id of the command.
            handlers: Registry ``confirmations`` or ``refusals``.
            now_ms: Time on the planner's clock.

        Returns:
            Names of the pools to plan.
        """
        command = self.ledger.record_answer(command_id)
        if command is None:
            return ()
        handler = handlers.entries.get(type(command))
        if handler is None:
            return ()
        handler(self.view, command, now_ms)
        return self.find_affected_pools(command)

    def find_affected_pools(self, command):
        """Returns the names of the pools that an answer concerns."""
        vm = self.view.fleet.vms.get(getattr(command, "vm", None))
        return () if vm is None else (vm.pool,)

    def plan(self, pools, now_ms, random):
        """Runs the stages and returns their commands.

        Without a live leader lease there are none, because another leader
        may already have granted the same budget. A plan of all pools also
        repeats the commands whose answer is overdue.

        Args:
            pools: Names of the pools to plan, or None for all.
            now_ms: Time on the planner's clock.
            random: A ``random.Random``.
        """
        view = self.view
        if not view.leads(now_ms):
            return []
        view.scope = pools
        view.available = {}
        commands = []
        for plan_stage in self.stage_functions:
            commands.extend(plan_stage(view, now_ms, random))
        view.available = None
        commands = [self.ledger.record_sent(each, now_ms) for each in commands]
        if view.plans_all_pools():
            new_ids = {command.command_id for command in commands}
            commands.extend(
                command
                for command in self.ledger.take_due_resends(now_ms)
                if command.command_id not in new_ids
            )
        return commands


def build_planner(settings, location="plan") -> Result:
    """Returns a Planner, or findings about policies that do not exist."""
    findings = Findings()
    for setting, registry in POLICIES.items():
        policy = registry.get(getattr(settings, setting))
        if policy.is_error():
            findings.add(f"{location}.{setting}", policy.error)
    if findings:
        return findings.result(None)
    return findings.result(Planner(settings))

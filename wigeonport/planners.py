"""The planner: events in, new state and commands out; no input or output.

The control program feeds it the messages of the log and the platform, and
replay feeds it a trace.
"""

from expression import Result

from wigeonport import (  # noqa: F401 - the stages register themselves
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
from wigeonport.platforms import STALE_TERM, CommandLedger

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
        view: PlanView.
        ledger: CommandLedger.
        stage_functions: Stages in order.
    """

    __slots__ = ("view", "ledger", "stage_functions")

    def __init__(self, settings, stage_names=STAGE_ORDER):
        self.view = PlanView(settings)
        self.ledger = CommandLedger(settings.command_resend_ms)
        self.stage_functions = [stages.entries[name] for name in stage_names]

    def step(self, event, now_ms, random):
        """Applies an event and returns the commands that follow from it.

        Args:
            event: A message of ``plan_events``.
            now_ms: Time on the planner's clock.
            random: A ``random.Random``.
        """
        pools = self.apply(event, now_ms)
        if pools is not None and not pools:
            return []
        return self.plan(pools, now_ms, random)

    def apply(self, event, now_ms):
        """Applies an event; returns the pools to plan, None for all."""
        if isinstance(event, CommandConfirmed):
            return self.settle(event.command_id, confirmations, now_ms)
        if isinstance(event, CommandRefused):
            return self.apply_refusal(event, now_ms)
        handle = event_handlers.entries[type(event)]
        pools = handle(self.view, event, now_ms)
        self.ledger.start_term(self.view.term)
        return pools

    def apply_refusal(self, event, now_ms):
        """Applies a refusal; a stale term ends the leadership."""
        logger.warning(
            "Command refused.", id=event.command_id, reason=event.reason
        )
        if event.reason == STALE_TERM:
            self.view.lease_until_ms = 0
        return self.settle(event.command_id, refusals, now_ms)

    def settle(self, command_id, answers, now_ms):
        """Applies the first answer to a command; returns its pools."""
        command = self.ledger.settle(command_id)
        if command is None:
            return ()
        answer = answers.entries.get(type(command))
        if answer is None:
            return ()
        answer(self.view, command, now_ms)
        return self.find_pools(command)

    def find_pools(self, command):
        """Returns the pools that the answer to a command concerns."""
        vm = self.view.fleet.vms.get(getattr(command, "vm", None))
        return () if vm is None else (vm.pool,)

    def plan(self, pools, now_ms, random):
        """Runs the stages over some pools, or all for None.

        Without a live leader lease nothing is decided: another leader may
        already have granted the same budget.
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
        commands = [self.ledger.stamp(each, now_ms) for each in commands]
        if view.plans_all_pools():
            fresh = {command.command_id for command in commands}
            commands.extend(
                command
                for command in self.ledger.overdue(now_ms)
                if command.command_id not in fresh
            )
        return commands


def build_planner(settings, place="plan") -> Result:
    """Returns a Planner, or findings about policies that do not exist."""
    findings = Findings()
    for setting, registry in POLICIES.items():
        found = registry.get(getattr(settings, setting))
        if found.is_error():
            findings.add(f"{place}.{setting}", found.error)
    if findings:
        return findings.result(None)
    return findings.result(Planner(settings))

"""Translates the planner's commands to commands of the replicated log.

One command may need several proposals. They are proposed in order, and the
first refusal refuses the command. Once all are committed, a command for the
log is confirmed, and one for the platform is sent to it.
"""

import json

from wigeonport.availabilities import is_available
from wigeonport.maintenance_answers import GrantRefused, MoveRefused
from wigeonport.plan_commands import (
    ConfirmVmDrain,
    MoveVm,
    RebootVm,
    ReleaseGrant,
    RequestVmGrant,
)
from wigeonport.registries import Registry
from wigeonport.state_answers import CommandRefused, PatchRefused
from wigeonport.state_commands import (
    ConfirmDrain,
    EndGrant,
    FinishMove,
    RenewGrant,
    RequestGrant,
    ReturnWorker,
    SubmitPatch,
)
from wigeonport.view_builders import PLANNER_AUTHOR
from wigeonport.views import READY

proposals = Registry("proposal")

PLANNER_GRANT_PREFIX = "plan-"


def make_proposals(command, view, state, now_ms):
    """Returns the log commands for one command of the planner.

    Args:
        command: The Command, with its id.
        view: PlanView of the planner.
        state: ReplicatedState of the local replica.
        now_ms: Time on the planner's clock.
    """
    handler = proposals.entries.get(type(command))
    return [] if handler is None else handler(command, view, state, now_ms)


@proposals.register(RequestVmGrant)
def propose_grant(command, view, state, now_ms):
    """Renews the planner's live grant, or requests a new one.

    If the version in force does not assign the VM to the destination of a
    move, a patch that does is proposed first.
    """
    lease_ms = max(command.until_ms - now_ms, 1)
    live_grant = state.maintenance.find_grant(command.vm)
    if live_grant is not None and live_grant.author == PLANNER_AUTHOR:
        return [RenewGrant(live_grant.id, lease_ms)]
    request = RequestGrant(
        f"{PLANNER_GRANT_PREFIX}{command.command_id}",
        [command.vm],
        command.purpose,
        PLANNER_AUTHOR,
        command.destination or "maintenance period",
        lease_ms,
        find_unavailable(view, command.vm, now_ms),
    )
    patch = make_patch(command, state)
    return [request] if patch is None else [patch, request]


def make_patch(command, state):
    """Returns the patch that assigns a VM to its destination.

    Returns:
        SubmitPatch, or None if there is no destination, the version already
        assigns the VM to it, or the VM is not in the version.
    """
    worker = state.fleet.fleet.workers.get(command.vm)
    if not command.destination or worker is None:
        return None
    if worker.pool == command.destination:
        return None
    document = {
        "id": f"plan-{command.command_id}",
        "against_version": state.fleet.fleet.version,
        "author": PLANNER_AUTHOR,
        "reason": f"demand or losses in {command.destination}",
        "operations": [
            {
                "operation": "move_worker",
                "worker": command.vm,
                "pool": command.destination,
            }
        ],
    }
    return SubmitPatch(json.dumps(document))


def find_unavailable(view, vm_name, now_ms):
    """Returns the names of the pool's other VMs that are unavailable."""
    pool_name = view.fleet.vms[vm_name].pool
    return [
        vm.name
        for vm in view.fleet.members(pool_name)
        if vm.name != vm_name and not is_available(view, vm, now_ms)
    ]


@proposals.register(ConfirmVmDrain)
@proposals.register(RebootVm)
def propose_drain_confirmation(command, view, state, now_ms):
    """Confirms a drain; a reboot is sent to the platform only after that."""
    grant = state.maintenance.find_grant(command.vm)
    return [] if grant is None else [ConfirmDrain(grant.id, command.vm)]


@proposals.register(MoveVm)
def propose_move(command, view, state, now_ms):
    """Confirms the drain and then changes the pool of the VM."""
    grant = state.maintenance.find_grant(command.vm)
    grant_id = "" if grant is None else grant.id
    return [
        ConfirmDrain(grant_id, command.vm),
        FinishMove(
            grant_id,
            command.vm,
            command.source,
            command.destination or None,
            0,
        ),
    ]


@proposals.register(ReleaseGrant)
def propose_release(command, view, state, now_ms):
    """Ends the grant of a VM, if it still has one."""
    grant = state.maintenance.find_grant(command.vm)
    if grant is None:
        return []
    healthy = [command.vm] if command.healthy else []
    return [EndGrant(grant.id, healthy, view.settings.healthy_hold_ms)]


def make_return_proposals(view, state, now_ms):
    """Returns a ReturnWorker for each missing VM that is available again."""
    hold_ms = view.settings.healthy_hold_ms
    vms = view.fleet.vms
    return [
        ReturnWorker(name, hold_ms)
        for name in state.maintenance.missing
        if name in vms
        and vms[name].state == READY
        and is_available(view, vms[name], now_ms)
    ]


def find_refusal_reason(answer):
    """Returns why the log refused a command, or "" if it did not."""
    if isinstance(answer, GrantRefused | MoveRefused | PatchRefused):
        return "; ".join(answer.findings) or "refused"
    if isinstance(answer, CommandRefused):
        return answer.why
    return ""

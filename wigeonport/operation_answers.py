"""Handlers for the log's answers to requests for grants and moves."""

from wigeonport.operations import (
    CHANGED,
    CHANGING,
    GRANTING,
    MAINTENANCE,
    STARTING,
)
from wigeonport.plan_commands import MoveVm, RequestVmGrant
from wigeonport.plan_registries import confirmations, refusals
from wigeonport.views import REMOVED, GrantView


@confirmations.register(RequestVmGrant)
def confirm_grant(view, command, now_ms):
    """Records a grant or its renewal; the first one lets the drain start."""
    operation = view.operations.get(command.vm)
    if operation is None or operation.kind != command.purpose:
        return
    view.grants[command.vm] = GrantView(
        command.vm, command.purpose, command.destination, command.until_ms
    )
    if operation.phase == GRANTING:
        operation.enter(STARTING, now_ms)
        if command.destination:
            record_assignment(view, command)


def record_assignment(view, command):
    """Records the pool that the log has assigned to a VM to be moved.

    If the VM was assigned to this pool before, the assignment comes from an
    operator's fleet version and not from the planner, so the VM isn't marked
    as lent.
    """
    vm = view.fleet.vms[command.vm]
    if vm.home_pool == command.destination:
        return
    vm.home_pool = command.destination
    if view.fleet.pools[command.destination].spare:
        vm.lender = ""
    elif view.fleet.pools[vm.pool].spare and not vm.lender:
        vm.lender = vm.pool


@confirmations.register(MoveVm)
def confirm_move(view, command, now_ms):
    """Applies a change of pool, or a removal, that the log has committed."""
    vm = view.fleet.vms.get(command.vm)
    if vm is None:
        return
    if command.destination == REMOVED:
        view.fleet.remove(vm)
        view.operations.pop(vm.name, None)
        view.grants.pop(vm.name, None)
        return
    if vm.pool != command.destination:
        view.fleet.move(vm, command.destination, now_ms)
    operation = view.operations.get(command.vm)
    vm.home_pool = command.destination
    if operation is not None and operation.phase == CHANGING:
        operation.enter(CHANGED, now_ms)
        # The log ends the grant of a move together with the change of pool.
        view.grants.pop(command.vm, None)


@refusals.register(RequestVmGrant)
def refuse_grant(view, command, now_ms):
    """Drops an operation whose grant the log refused.

    Maintenance of the VM may be requested again after ``grant_retry_ms``.
    """
    operation = view.operations.get(command.vm)
    if operation is not None and operation.phase == GRANTING:
        del view.operations[command.vm]
    vm = view.fleet.vms.get(command.vm)
    if vm is not None and command.purpose == MAINTENANCE:
        retry_ms = now_ms + view.settings.grant_retry_ms
        vm.closed_until_ms = max(vm.closed_until_ms, retry_ms)


@refusals.register(MoveVm)
def refuse_move(view, command, now_ms):
    """Drops a move that the log refused; the next plan undrains the VM."""
    operation = view.operations.get(command.vm)
    if operation is not None and operation.phase == CHANGING:
        del view.operations[command.vm]

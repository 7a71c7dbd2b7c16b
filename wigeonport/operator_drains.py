"""Phases of a drain that an operator requested by a ``drain`` grant.

The planner drains the VM, confirms the drain in the log and keeps the VM
drained until the operator ends the grant or it expires; then it undrains the
VM.
"""

from wigeonport.operations import (
    HOLDING,
    OPERATOR_EMPTYING,
    OPERATOR_STARTING,
    end_operation,
    is_grant_live,
    phases,
    start_undrain,
)
from wigeonport.plan_commands import ConfirmVmDrain, DrainVm
from wigeonport.views import DRAINED

ENDED_REASON = "the operator's grant has ended"


@phases.register(OPERATOR_STARTING)
def start_operator_drain(view, operation, vm, now_ms):
    """Starts the drain, or ends the operation if the grant has ended."""
    if not is_grant_live(view, vm, now_ms):
        return end_operation(view, operation, ENDED_REASON)
    operation.enter(OPERATOR_EMPTYING, now_ms)
    return [DrainVm(vm.name, operation.kind)]


@phases.register(OPERATOR_EMPTYING)
def await_operator_drain(view, operation, vm, now_ms):
    """Waits for the drain, then confirms it in the log.

    The drain has no time limit other than the grant.
    """
    if not is_grant_live(view, vm, now_ms):
        return end_operator_drain(view, operation, now_ms)
    if vm.state != DRAINED:
        return []
    operation.enter(HOLDING, now_ms)
    return [ConfirmVmDrain(vm.name, operation.kind)]


@phases.register(HOLDING)
def hold_drained(view, operation, vm, now_ms):
    """Keeps the VM drained while the grant is live."""
    if is_grant_live(view, vm, now_ms):
        return []
    return end_operator_drain(view, operation, now_ms)


def end_operator_drain(view, operation, now_ms):
    """Ends the operation and starts the undrain of the VM."""
    commands = end_operation(view, operation, ENDED_REASON)
    commands.append(start_undrain(view, operation.vm, ENDED_REASON, now_ms))
    return commands

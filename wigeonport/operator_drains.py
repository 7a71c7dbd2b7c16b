"""Drains that an operator asked for by a grant of the purpose ``drain``.

The planner drains the VM, records that in the log and keeps it drained until
the operator ends the grant or its lease expires; then it returns the VM.
"""

from wigeonport.operations import (
    HOLDING,
    OPERATOR_EMPTYING,
    OPERATOR_STARTING,
    end,
    grant_is_live,
    phases,
    start_return,
)
from wigeonport.plan_commands import ConfirmVmDrain, DrainVm
from wigeonport.views import DRAINED

ENDED_REASON = "the operator's grant has ended"


@phases.register(OPERATOR_STARTING)
def start_operator_drain(view, operation, vm, now_ms):
    """Drains the VM."""
    if not grant_is_live(view, vm, now_ms):
        return end(view, operation, ENDED_REASON)
    operation.enter(OPERATOR_EMPTYING, now_ms)
    return [DrainVm(vm.name, operation.kind)]


@phases.register(OPERATOR_EMPTYING)
def await_operator_drain(view, operation, vm, now_ms):
    """Records the drain in the log; it has no bound but the lease."""
    if not grant_is_live(view, vm, now_ms):
        return give_back(view, operation, now_ms)
    if vm.state != DRAINED:
        return []
    operation.enter(HOLDING, now_ms)
    return [ConfirmVmDrain(vm.name, operation.kind)]


@phases.register(HOLDING)
def hold_drained(view, operation, vm, now_ms):
    """Keeps the VM drained while the grant is live."""
    if grant_is_live(view, vm, now_ms):
        return []
    return give_back(view, operation, now_ms)


def give_back(view, operation, now_ms):
    """Returns the VM to work."""
    commands = end(view, operation, ENDED_REASON)
    commands.append(start_return(view, operation.vm, ENDED_REASON, now_ms))
    return commands

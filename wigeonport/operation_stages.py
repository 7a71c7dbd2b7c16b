"""Stage that advances the operations, and their recovery by a new leader."""

from wigeonport.operations import (
    EMPTYING,
    MOVE,
    OPERATOR_DRAIN,
    OPERATOR_STARTING,
    ORPHAN_REASON,
    RESTARTING,
    STARTING,
    Operation,
    advance_operation,
    start_undrain,
)
from wigeonport.plan_registries import stages
from wigeonport.views import DRAINED, DRAINING, PREPARING, REBOOTING

RESTORED_PHASES = {
    DRAINING: EMPTYING,
    DRAINED: EMPTYING,
    REBOOTING: RESTARTING,
}


@stages.register("operations")
def plan(view, now_ms, random):
    """Advances the operations in scope and recovers orphaned VMs."""
    commands = []
    for operation in operations_in_scope(view):
        commands.extend(advance_operation(view, operation, now_ms))
    commands.extend(recover_orphans(view, now_ms))
    return commands


def operations_in_scope(view):
    """Returns the operations on VMs of the pools in scope."""
    if view.plans_all_pools():
        return list(view.operations.values())
    names = [name for pool in view.pools() for name in pool.members]
    return [view.operations[name] for name in names if name in view.operations]


def find_destination(grant):
    """Returns the destination of a move, or None for other purposes."""
    return grant.destination if grant.purpose == MOVE else None


def restore_operations(view, grants, now_ms):
    """Rebuilds the operations from the grants in the log.

    The phase of a rebuilt operation follows from the reported state of its
    VM. Operations on VMs that no longer exist are dropped.
    """
    view.grants = {grant.vm: grant for grant in grants}
    vms = view.fleet.vms
    for name in [name for name in view.operations if name not in vms]:
        del view.operations[name]
    for grant in grants:
        vm = vms.get(grant.vm)
        if vm is not None and vm.name not in view.operations:
            phase = RESTORED_PHASES.get(vm.state, STARTING)
            if grant.purpose == OPERATOR_DRAIN:
                phase = OPERATOR_STARTING
            view.operations[vm.name] = Operation(
                vm.name,
                grant.purpose,
                phase,
                now_ms,
                vm.pool,
                find_destination(grant),
            )


def recover_orphans(view, now_ms):
    """Undrains VMs that are out of service without an operation.

    This happens if an earlier leader drained them, or if the log refuses the
    move of a drained VM.
    """
    commands = []
    for pool in view.pools():
        for name in pool.members:
            vm = view.fleet.vms[name]
            orphaned = vm.state in (DRAINING, DRAINED, PREPARING)
            if orphaned and name not in view.operations:
                commands.append(
                    start_undrain(view, vm.name, ORPHAN_REASON, now_ms)
                )
    return commands

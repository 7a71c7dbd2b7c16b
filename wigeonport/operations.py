"""Steps of maintenance, moves and operators' drains, one VM at a time.

Maintenance: grant, drain, reboot, ready. Move: grant, drain, confirm, change
the pool in one step, prepare, ready. Drain: an operator's grant, drain, held
until the operator ends the grant or it expires, ready. A VM has at most one
operation.
"""

from wigeonport.plan_commands import (
    DrainVm,
    MoveVm,
    PrepareVm,
    RebootVm,
    ReleaseGrant,
    RequestVmGrant,
    UndrainVm,
)
from wigeonport.registries import Registry
from wigeonport.views import (
    DRAINED,
    FAILED,
    READY,
)

MAINTENANCE = "maintenance"
MOVE = "move"
RECOVERY = "recovery"
OPERATOR_DRAIN = "drain"
ORPHAN_REASON = "no operation needs the drain"

GRANTING = "granting"
STARTING = "starting"
EMPTYING = "emptying"
RESTARTING = "restarting"
CHANGING = "changing"
CHANGED = "changed"
SETTING_UP = "setting_up"
RETURNING = "returning"
OPERATOR_STARTING = "operator_starting"
OPERATOR_EMPTYING = "operator_emptying"
HOLDING = "holding"
REVOCABLE = (GRANTING, STARTING, EMPTYING)
phases = Registry("operation phase")


class Operation:
    """What is being done with one VM.

    Attributes:
        vm: Name of the VM.
        kind: ``maintenance``, ``move``, ``drain`` or ``recovery``.
        phase: Name in ``phases``.
        since_ms: Start of the phase.
        renewed_ms: Time of the last request for the lease.
        source: Pool that a move leaves, or None.
        destination: Pool that a move enters, or None.
    """

    __slots__ = (
        "vm",
        "kind",
        "phase",
        "since_ms",
        "renewed_ms",
        "source",
        "destination",
    )

    def __init__(self, vm, kind, phase, now_ms, source=None, destination=None):
        self.vm = vm
        self.kind = kind
        self.phase = phase
        self.since_ms = now_ms
        self.renewed_ms = now_ms
        self.source = source
        self.destination = destination

    def enter(self, phase, now_ms):
        """Starts the next phase."""
        self.phase = phase
        self.since_ms = now_ms


def add_operation(view, operation):
    """Records an operation; its VM is not available from now on."""
    view.operations[operation.vm] = operation
    view.forget_available(operation.vm)


def start_maintenance(view, vm, now_ms):
    """Starts maintenance of a VM; returns the commands."""
    operation = Operation(vm.name, MAINTENANCE, GRANTING, now_ms)
    add_operation(view, operation)
    return [request_grant(view, operation, now_ms)]


def start_move(view, vm, destination, now_ms):
    """Starts the move of a VM; returns the commands."""
    operation = Operation(
        vm.name, MOVE, GRANTING, now_ms, vm.pool, destination
    )
    add_operation(view, operation)
    return [request_grant(view, operation, now_ms)]


def request_grant(view, operation, now_ms):
    """Returns the command that asks for, or renews, the lease."""
    return RequestVmGrant(
        operation.vm,
        operation.kind,
        operation.destination or "",
        now_ms + view.settings.grant_lease_ms,
    )


def end_operation(view, operation, reason, healthy=True):
    """Ends an operation; returns the release of its lease if it has one."""
    view.operations.pop(operation.vm, None)
    view.forget_available(operation.vm)
    grant = view.grants.pop(operation.vm, None)
    if operation.kind == OPERATOR_DRAIN:
        # Operators end their own leases.
        return []
    # A request that is still on its way must not be granted later.
    if grant is None and operation.phase != GRANTING:
        return []
    return [ReleaseGrant(operation.vm, healthy, reason)]


def revoke_operation(view, operation, reason, now_ms):
    """Returns a VM to work that was not rebooted or moved yet."""
    drained = operation.phase == EMPTYING
    commands = end_operation(view, operation, reason)
    if drained:
        commands.insert(0, start_undrain(view, operation.vm, reason, now_ms))
    return commands


def start_undrain(view, vm_name, reason, now_ms):
    """Starts the return of a drained VM to work; returns the command."""
    add_operation(view, Operation(vm_name, RECOVERY, RETURNING, now_ms))
    return UndrainVm(vm_name, reason)


def advance_operation(view, operation, now_ms):
    """Takes the next step of one operation, if its condition holds."""
    vm = view.fleet.vms[operation.vm]
    if vm.state == FAILED:
        return end_operation(view, operation, "the VM failed", healthy=False)
    commands = renew_grant(view, operation, now_ms)
    phase_handler = phases.entries[operation.phase]
    commands.extend(phase_handler(view, operation, vm, now_ms))
    return commands


def renew_grant(view, operation, now_ms):
    """Renews the grant of an operation in its last third.

    The lease of an operator's drain is the operator's to renew.
    """
    if operation.kind == OPERATOR_DRAIN:
        return []
    grant = view.grants.get(operation.vm)
    lease_ms = view.settings.grant_lease_ms
    if grant is None or grant.until_ms - now_ms > lease_ms // 3:
        return []
    if now_ms >= grant.until_ms and operation.phase in REVOCABLE:
        return []
    if now_ms < operation.renewed_ms + view.settings.command_resend_ms:
        return []
    operation.renewed_ms = now_ms
    return [request_grant(view, operation, now_ms)]


def is_grant_live(view, vm, now_ms):
    """Returns whether the lease on a VM has not expired."""
    grant = view.grants.get(vm.name)
    return grant is not None and now_ms < grant.until_ms


@phases.register(GRANTING)
def await_grant(view, operation, vm, now_ms):
    """Waits until the log has committed the grant."""
    return []


@phases.register(STARTING)
def start_drain(view, operation, vm, now_ms):
    """Drains a VM whose grant is live."""
    if not is_grant_live(view, vm, now_ms):
        return end_operation(view, operation, "the grant expired")
    operation.enter(EMPTYING, now_ms)
    return [DrainVm(vm.name, operation.kind)]


@phases.register(EMPTYING)
def await_drain(view, operation, vm, now_ms):
    """Waits for the drain; a drain that takes too long is given up."""
    if not is_grant_live(view, vm, now_ms):
        return revoke_operation(view, operation, "the grant expired", now_ms)
    if vm.state == DRAINED:
        if operation.kind == MAINTENANCE:
            operation.enter(RESTARTING, now_ms)
            return [RebootVm(vm.name, MAINTENANCE)]
        operation.enter(CHANGING, now_ms)
        return [MoveVm(vm.name, operation.source, operation.destination)]
    if now_ms - operation.since_ms > view.settings.drain_bound_ms:
        reason = "the drain exceeded its bound"
        return revoke_operation(view, operation, reason, now_ms)
    return []


@phases.register(RESTARTING)
def await_reboot(view, operation, vm, now_ms):
    """Waits for the reboot; one that takes too long counts as a failure."""
    if vm.state == READY:
        vm.maintained_ms = now_ms
        vm.due_ms = now_ms + view.settings.maintenance_period_ms
        vm.unsettled_until_ms = now_ms + view.settings.healthy_hold_ms
        view.wave.completed += 1
        return end_operation(view, operation, "maintained")
    if now_ms - operation.since_ms > view.settings.reboot_bound_ms:
        view.wave.pause(
            f"{vm.name} did not return from its reboot", by_operator=True
        )
        reason = "the reboot exceeded its bound"
        return end_operation(view, operation, reason, healthy=False)
    return []


@phases.register(CHANGING)
def await_change(view, operation, vm, now_ms):
    """Waits until the log has committed the change of pool."""
    return []


@phases.register(CHANGED)
def start_preparation(view, operation, vm, now_ms):
    """Prepares a VM for its new pool."""
    operation.enter(SETTING_UP, now_ms)
    return [PrepareVm(vm.name, vm.pool)]


@phases.register(SETTING_UP)
def await_preparation(view, operation, vm, now_ms):
    """Waits until the VM is ready in its new pool."""
    overdue_ms = now_ms - operation.since_ms - view.settings.prepare_bound_ms
    if vm.state == READY or overdue_ms > 0:
        return end_operation(view, operation, "moved")
    return []


@phases.register(RETURNING)
def await_return(view, operation, vm, now_ms):
    """Waits until an orphaned VM is ready; asks again after the bound."""
    if vm.state == READY:
        return end_operation(view, operation, "returned")
    if now_ms - operation.since_ms > view.settings.prepare_bound_ms:
        operation.enter(RETURNING, now_ms)
        return [UndrainVm(vm.name, ORPHAN_REASON)]
    return []

"""State machine of the operation on a VM; a VM has at most one at a time.

Each kind of operation passes through these phases:

- Maintenance: grant, drain, reboot, ready.
- Move: grant, drain, change of pool committed by the log, preparation,
  ready.
- Drain for an operator: the operator's grant, drain, held drained until the
  operator ends the grant or it expires, undrain, ready.
- Recovery: undrain of a VM that no other operation needs drained, ready.
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
    """An operation in progress on one VM.

    Attributes:
        vm: Name of the VM.
        kind: ``maintenance``, ``move``, ``drain`` or ``recovery``.
        phase: Current phase, a key of ``phases``.
        since_ms: Time at which the phase began.
        renewed_ms: Time of the last request for the grant or its renewal.
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
        """Enters a phase and records its start time."""
        self.phase = phase
        self.since_ms = now_ms


def add_operation(view, operation):
    """Adds an operation; its VM is unavailable until the operation ends."""
    view.operations[operation.vm] = operation
    view.drop_available(operation.vm)


def start_maintenance(view, vm, now_ms):
    """Starts maintenance of a VM; returns the request for its grant."""
    operation = Operation(vm.name, MAINTENANCE, GRANTING, now_ms)
    add_operation(view, operation)
    return [request_grant(view, operation, now_ms)]


def start_move(view, vm, destination, now_ms):
    """Starts the move of a VM; returns the request for its grant."""
    operation = Operation(
        vm.name, MOVE, GRANTING, now_ms, vm.pool, destination
    )
    add_operation(view, operation)
    return [request_grant(view, operation, now_ms)]


def request_grant(view, operation, now_ms):
    """Returns the command that requests or renews the grant of a VM."""
    return RequestVmGrant(
        operation.vm,
        operation.kind,
        operation.destination or "",
        now_ms + view.settings.grant_lease_ms,
    )


def end_operation(view, operation, reason, healthy=True):
    """Ends an operation; returns the release of its grant, if needed."""
    view.operations.pop(operation.vm, None)
    view.drop_available(operation.vm)
    grant = view.grants.pop(operation.vm, None)
    if operation.kind == OPERATOR_DRAIN:
        # The grant of an operator's drain is ended by the operator.
        return []
    # While a grant request is in flight, the release keeps it from being
    # granted later.
    if grant is None and operation.phase != GRANTING:
        return []
    return [ReleaseGrant(operation.vm, healthy, reason)]


def revoke_operation(view, operation, reason, now_ms):
    """Ends an operation before its reboot or move; undrains the VM."""
    drain_started = operation.phase == EMPTYING
    commands = end_operation(view, operation, reason)
    if drain_started:
        commands.insert(0, start_undrain(view, operation.vm, reason, now_ms))
    return commands


def start_undrain(view, vm_name, reason, now_ms):
    """Starts the recovery of a drained VM; returns the undrain command."""
    add_operation(view, Operation(vm_name, RECOVERY, RETURNING, now_ms))
    return UndrainVm(vm_name, reason)


def advance_operation(view, operation, now_ms):
    """Advances an operation to its next phase if the current one is done.

    Returns:
        The commands that follow, and a renewal of the grant if it is due.
    """
    vm = view.fleet.vms[operation.vm]
    if vm.state == FAILED:
        return end_operation(view, operation, "the VM failed", healthy=False)
    commands = renew_grant(view, operation, now_ms)
    phase_handler = phases.entries[operation.phase]
    commands.extend(phase_handler(view, operation, vm, now_ms))
    return commands


def renew_grant(view, operation, now_ms):
    """Returns a renewal if the grant is in the last third of its lease.

    The operator renews the grant of an operator's drain. An expired grant
    isn't renewed while the operation can still be revoked.
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
    """Returns whether a VM has a grant that has not expired."""
    grant = view.grants.get(vm.name)
    return grant is not None and now_ms < grant.until_ms


@phases.register(GRANTING)
def await_grant(view, operation, vm, now_ms):
    """Waits until the log confirms or refuses the grant."""
    return []


@phases.register(STARTING)
def start_drain(view, operation, vm, now_ms):
    """Starts the drain, or ends the operation if the grant has expired."""
    if not is_grant_live(view, vm, now_ms):
        return end_operation(view, operation, "the grant expired")
    operation.enter(EMPTYING, now_ms)
    return [DrainVm(vm.name, operation.kind)]


@phases.register(EMPTYING)
def await_drain(view, operation, vm, now_ms):
    """Waits for the drain, then reboots or moves the VM.

    Revokes the operation if the grant expires or the drain exceeds
    ``drain_bound_ms``.
    """
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
    """Waits until the VM is ready after its reboot.

    A reboot that exceeds ``reboot_bound_ms`` pauses maintenance until an
    operator resumes it.
    """
    if vm.state == READY:
        vm.maintained_ms = now_ms
        vm.due_ms = now_ms + view.settings.maintenance_period_ms
        vm.unsettled_until_ms = now_ms + view.settings.healthy_hold_ms
        view.wave.completed += 1
        return end_operation(view, operation, "maintained")
    if now_ms - operation.since_ms > view.settings.reboot_bound_ms:
        view.wave.pause(
            f"{vm.name} did not return from its reboot",
            operator_must_resume=True,
        )
        reason = "the reboot exceeded its bound"
        return end_operation(view, operation, reason, healthy=False)
    return []


@phases.register(CHANGING)
def await_change(view, operation, vm, now_ms):
    """Waits until the log confirms or refuses the change of pool."""
    return []


@phases.register(CHANGED)
def start_preparation(view, operation, vm, now_ms):
    """Starts the preparation of a VM for its new pool."""
    operation.enter(SETTING_UP, now_ms)
    return [PrepareVm(vm.name, vm.pool)]


@phases.register(SETTING_UP)
def await_preparation(view, operation, vm, now_ms):
    """Waits until the VM is ready in its new pool, or the bound passes."""
    overdue_ms = now_ms - operation.since_ms - view.settings.prepare_bound_ms
    if vm.state == READY or overdue_ms > 0:
        return end_operation(view, operation, "moved")
    return []


@phases.register(RETURNING)
def await_return(view, operation, vm, now_ms):
    """Waits until the VM is ready; repeats the undrain after each bound."""
    if vm.state == READY:
        return end_operation(view, operation, "returned")
    if now_ms - operation.since_ms > view.settings.prepare_bound_ms:
        operation.enter(RETURNING, now_ms)
        return [UndrainVm(vm.name, ORPHAN_REASON)]
    return []

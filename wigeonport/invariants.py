"""Invariants that a replay checks after every event.

The checker derives its own state from the events and the planner's commands,
so that a fault in the planner's view cannot hide a violation.
"""

from wigeonport.plan_commands import (
    DrainVm,
    MoveVm,
    RebootVm,
    ReleaseGrant,
    RequestVmGrant,
)
from wigeonport.plan_events import (
    CommandConfirmed,
    FleetLoaded,
    LeadershipChanged,
    VmReported,
    ZoneReported,
)
from wigeonport.registries import Registry
from wigeonport.views import FAILED, READY, REBOOTING

GRANTED = "granted"
DRAINED = "drained"

observers = Registry("event observer of the invariant checker")
invariants = Registry("invariant")


class InvariantChecker:
    """State against which the invariants are checked.

    Attributes:
        hold_ms: Time for which a VM must stay healthy after a repair before
            it counts as available.
        stale_ms: Age above which a zone's report is stale, so that none of
            the zone's VMs counts as available.
        fleet: FleetView last loaded. Only the parts that the planner does
            not modify are read.
        pools: Maps VM to the pool that the log has committed for it.
        states: Maps VM to its last reported state.
        sequences: Maps VM to the sequence number of its last report.
        hold_until_ms: Maps VM to the end of its hold.
        missing_vms: Maps zone to the VMs missing from its last report.
        zone_reported_ms: Maps zone to the measuring time of its last report.
        withdrawn: Maps VM that the planner has withdrawn from service to
            ``GRANTED`` or ``DRAINED``.
        grants: Maps VM to the end of its grant's lease.
        unconfirmed: Maps id to the command sent to the log and not yet
            confirmed.
        term: Highest term seen.
        lease_until_ms: End of the leader lease.
    """

    __slots__ = (
        "hold_ms",
        "stale_ms",
        "fleet",
        "pools",
        "states",
        "sequences",
        "hold_until_ms",
        "missing_vms",
        "zone_reported_ms",
        "withdrawn",
        "grants",
        "unconfirmed",
        "term",
        "lease_until_ms",
    )

    def __init__(self, hold_ms, stale_ms):
        self.hold_ms = hold_ms
        self.stale_ms = stale_ms
        self.fleet = None
        self.pools = {}
        self.states = {}
        self.sequences = {}
        self.hold_until_ms = {}
        self.missing_vms = {}
        self.zone_reported_ms = {}
        self.withdrawn = {}
        self.grants = {}
        self.unconfirmed = {}
        self.term = 0
        self.lease_until_ms = 0

    def observe(self, event, now_ms):
        """Updates the state with an event, before the planner receives it."""
        observer = observers.entries.get(type(event))
        if observer is not None:
            observer(self, event, now_ms)

    def check(self, view, commands, now_ms):
        """Returns a description of each violation after an event."""
        violations = []
        for check in invariants.entries.values():
            violations.extend(check(self, view, commands, now_ms))
        return violations

    def is_available(self, vm_name, now_ms):
        """Returns whether a VM counts as available in its pool.

        It must be ready, in service, included in a report of its zone that
        is not stale, and past its hold.
        """
        zone = self.fleet.vms[vm_name].zone
        zone_reported_ms = self.zone_reported_ms.get(zone)
        return (
            self.states.get(vm_name) == READY
            and vm_name not in self.withdrawn
            and vm_name not in self.missing_vms.get(zone, ())
            and self.hold_until_ms.get(vm_name, 0) <= now_ms
            and zone_reported_ms is not None
            and now_ms - zone_reported_ms <= self.stale_ms
        )

    def count_available(self, now_ms):
        """Returns a mapping of pool to its number of available VMs."""
        counts = dict.fromkeys(self.fleet.pools, 0)
        for vm_name, pool in self.pools.items():
            if vm_name in self.fleet.vms:
                counts[pool] += self.is_available(vm_name, now_ms)
        return counts


@observers.register(FleetLoaded)
def observe_fleet(checker, event, now_ms):
    """Records the pools and grants of a fleet version.

    The state of a VM is taken only from the version that adds the VM; later
    reports are newer.
    """
    checker.fleet = event.fleet
    for vm in event.fleet.vms.values():
        checker.pools[vm.name] = vm.pool
        checker.states.setdefault(vm.name, vm.state)
    for grant in event.grants:
        checker.grants[grant.vm] = grant.until_ms
        checker.withdrawn[grant.vm] = GRANTED


@observers.register(VmReported)
def observe_vm(checker, event, now_ms):
    """Records a VM's state; ignores a report older than the last one.

    A VM that returns from a failure or a reboot starts its hold.
    """
    if event.sequence <= checker.sequences.get(event.vm, 0):
        return
    checker.sequences[event.vm] = event.sequence
    previous_state = checker.states.get(event.vm)
    checker.states[event.vm] = event.state
    if event.state == READY:
        if checker.withdrawn.get(event.vm) == DRAINED:
            del checker.withdrawn[event.vm]
        if previous_state in (FAILED, REBOOTING):
            checker.hold_until_ms[event.vm] = now_ms + checker.hold_ms
    elif event.state == FAILED:
        checker.withdrawn.pop(event.vm, None)


@observers.register(ZoneReported)
def observe_zone(checker, event, now_ms):
    """Records which VMs a zone's report does not include.

    A VM that the report includes again starts its hold.
    """
    if event.measured_ms <= (checker.zone_reported_ms.get(event.zone) or -1):
        return
    checker.zone_reported_ms[event.zone] = event.measured_ms
    missing = set(event.missing)
    for vm in checker.missing_vms.get(event.zone, set()) - missing:
        checker.hold_until_ms[vm] = now_ms + checker.hold_ms
    checker.missing_vms[event.zone] = missing


@observers.register(LeadershipChanged)
def observe_leadership(checker, event, now_ms):
    """Records the highest term and the end of its leader lease."""
    if event.term < checker.term:
        return
    if event.term > checker.term or event.lease_until_ms == 0:
        checker.lease_until_ms = 0
    checker.term = event.term
    latest_ms = max(checker.lease_until_ms, event.lease_until_ms)
    checker.lease_until_ms = latest_ms


@observers.register(CommandConfirmed)
def observe_confirmation(checker, event, now_ms):
    """Records the grant or move that the log has committed."""
    command = checker.unconfirmed.pop(event.command_id, None)
    if isinstance(command, RequestVmGrant):
        checker.grants[command.vm] = command.until_ms
    elif isinstance(command, MoveVm):
        checker.pools[command.vm] = command.destination


@invariants.register("one pool")
def check_one_pool(checker, view, commands, now_ms):
    """Each VM is in exactly one pool, the one committed by the log."""
    violations = []
    counts = dict.fromkeys(view.fleet.vms, 0)
    for pool in view.fleet.pools.values():
        for vm_name in pool.members:
            counts[vm_name] += 1
    for vm_name, vm in view.fleet.vms.items():
        if counts[vm_name] != 1:
            violations.append(f"{vm_name} is in {counts[vm_name]} pools")
        elif vm_name not in view.fleet.pools[vm.pool].members:
            violations.append(f"{vm_name} is not in its pool {vm.pool}")
        elif vm.pool != checker.pools[vm_name]:
            committed = checker.pools[vm_name]
            violations.append(f"{vm_name} is in {vm.pool}, not {committed}")
    return violations


@invariants.register("availability budget")
def check_budget(checker, view, commands, now_ms):
    """No command leaves a pool fewer available VMs than it must keep."""
    violations = []
    withdrawals = [
        command
        for command in commands
        if isinstance(command, RequestVmGrant | DrainVm)
    ]
    if not withdrawals:
        return violations
    counts = checker.count_available(now_ms)
    for command in withdrawals:
        pool_name = checker.pools[command.vm]
        if checker.is_available(command.vm, now_ms):
            counts[pool_name] -= 1
            required = checker.fleet.pools[pool_name].required()
            if counts[pool_name] < required:
                violations.append(
                    f"{command.kind} of {command.vm} leaves "
                    f"{counts[pool_name]} of {required} required VMs "
                    f"available in {pool_name}"
                )
        record_withdrawal(checker, command)
    return violations


def record_withdrawal(checker, command):
    """Records that a command withdraws a VM from service."""
    if isinstance(command, DrainVm):
        checker.withdrawn[command.vm] = DRAINED
    else:
        checker.withdrawn.setdefault(command.vm, GRANTED)


@invariants.register("live lease")
def check_lease(checker, view, commands, now_ms):
    """A VM is drained, rebooted or moved only while its grant is live."""
    violations = [
        f"{command.kind} of {command.vm} without a live grant lease"
        for command in commands
        if isinstance(command, DrainVm | RebootVm | MoveVm)
        and now_ms >= checker.grants.get(command.vm, 0)
    ]
    for command in commands:
        if isinstance(command, ReleaseGrant):
            checker.grants.pop(command.vm, None)
            if checker.withdrawn.get(command.vm) == GRANTED:
                del checker.withdrawn[command.vm]
    return violations


@invariants.register("live leader")
def check_leader(checker, view, commands, now_ms):
    """Commands are issued only under a leader lease, in the newest term."""
    violations = []
    for command in commands:
        if now_ms >= checker.lease_until_ms:
            violations.append(f"{command.kind} without a live leader lease")
        if command.term < checker.term:
            violations.append(f"{command.kind} with the stale {command.term=}")
        if command.target == "log":
            checker.unconfirmed[command.command_id] = command
    return violations

"""Invariants that replay checks after every event.

The checker keeps its own record of what the log, the platform and the
commands have shown, so that a fault in the planner's view does not hide.
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

observers = Registry("observer of the checker")
invariants = Registry("invariant")


class InvariantChecker:
    """Record of the checks.

    Attributes:
        hold_ms: Hold after a repair that the trace requires.
        stale_ms: Age of a zone's report that leaves its VMs unknown.
        fleet: FleetView last loaded; only its fixed parts are read.
        pools: Pool by VM, as the log has committed it.
        states: State by VM, as reported.
        sequences: Sequence of the last report by VM.
        settled_ms: End of the hold by VM.
        missing: VMs that their zone's last report did not include.
        heard_ms: Time of the last report by zone.
        taken: How the planner has taken a VM, by VM.
        grants: End of the lease by VM.
        sent: Commands to the log by id.
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
        "settled_ms",
        "missing",
        "heard_ms",
        "taken",
        "grants",
        "sent",
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
        self.settled_ms = {}
        self.missing = {}
        self.heard_ms = {}
        self.taken = {}
        self.grants = {}
        self.sent = {}
        self.term = 0
        self.lease_until_ms = 0

    def observe(self, event, now_ms):
        """Records an event before the planner gets it."""
        observe = observers.entries.get(type(event))
        if observe is not None:
            observe(self, event, now_ms)

    def check(self, view, commands, now_ms):
        """Returns a text for each violation after an event."""
        violations = []
        for check in invariants.entries.values():
            violations.extend(check(self, view, commands, now_ms))
        return violations

    def is_available(self, vm_name, now_ms):
        """Returns whether a VM counts towards a guarantee."""
        zone = self.fleet.vms[vm_name].zone
        heard_ms = self.heard_ms.get(zone)
        return (
            self.states.get(vm_name) == READY
            and vm_name not in self.taken
            and vm_name not in self.missing.get(zone, ())
            and self.settled_ms.get(vm_name, 0) <= now_ms
            and heard_ms is not None
            and now_ms - heard_ms <= self.stale_ms
        )

    def count_available(self, now_ms):
        """Returns the number of available VMs by pool."""
        counts = dict.fromkeys(self.fleet.pools, 0)
        for vm_name, pool in self.pools.items():
            if vm_name in self.fleet.vms:
                counts[pool] += self.is_available(vm_name, now_ms)
        return counts


@observers.register(FleetLoaded)
def observe_fleet(checker, event, now_ms):
    """Takes over the pools and the states of a version."""
    checker.fleet = event.fleet
    for vm in event.fleet.vms.values():
        checker.pools[vm.name] = vm.pool
        checker.states.setdefault(vm.name, vm.state)
    for grant in event.grants:
        checker.grants[grant.vm] = grant.until_ms
        checker.taken[grant.vm] = GRANTED


@observers.register(VmReported)
def observe_vm(checker, event, now_ms):
    """Records a report that is newer than the last one."""
    if event.sequence <= checker.sequences.get(event.vm, 0):
        return
    checker.sequences[event.vm] = event.sequence
    was = checker.states.get(event.vm)
    checker.states[event.vm] = event.state
    if event.state == READY:
        if checker.taken.get(event.vm) == DRAINED:
            del checker.taken[event.vm]
        if was in (FAILED, REBOOTING):
            checker.settled_ms[event.vm] = now_ms + checker.hold_ms
    elif event.state == FAILED:
        checker.taken.pop(event.vm, None)


@observers.register(ZoneReported)
def observe_zone(checker, event, now_ms):
    """Records which VMs of a zone were heard."""
    if event.measured_ms <= (checker.heard_ms.get(event.zone) or -1):
        return
    checker.heard_ms[event.zone] = event.measured_ms
    missing = set(event.missing)
    for vm in checker.missing.get(event.zone, set()) - missing:
        checker.settled_ms[vm] = now_ms + checker.hold_ms
    checker.missing[event.zone] = missing


@observers.register(LeadershipChanged)
def observe_leadership(checker, event, now_ms):
    """Records the highest term and the lease."""
    if event.term < checker.term:
        return
    if event.term > checker.term or event.lease_until_ms == 0:
        checker.lease_until_ms = 0
    checker.term = event.term
    latest_ms = max(checker.lease_until_ms, event.lease_until_ms)
    checker.lease_until_ms = latest_ms


@observers.register(CommandConfirmed)
def observe_confirmation(checker, event, now_ms):
    """Records what the log has committed."""
    command = checker.sent.pop(event.command_id, None)
    if isinstance(command, RequestVmGrant):
        checker.grants[command.vm] = command.until_ms
    elif isinstance(command, MoveVm):
        checker.pools[command.vm] = command.destination


@invariants.register("one pool")
def check_one_pool(checker, view, commands, now_ms):
    """Each VM is in exactly one pool, the one that the log names."""
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
    """No command takes a VM away from a pool that cannot spare it."""
    violations = []
    taking = [
        command
        for command in commands
        if isinstance(command, RequestVmGrant | DrainVm)
    ]
    if not taking:
        return violations
    counts = checker.count_available(now_ms)
    for command in taking:
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
        note_taken(checker, command)
    return violations


def note_taken(checker, command):
    """Records that a command takes a VM away."""
    if isinstance(command, DrainVm):
        checker.taken[command.vm] = DRAINED
    else:
        checker.taken.setdefault(command.vm, GRANTED)


@invariants.register("live lease")
def check_lease(checker, view, commands, now_ms):
    """A VM is drained or rebooted only under a live lease."""
    violations = [
        f"{command.kind} of {command.vm} without a live lease"
        for command in commands
        if isinstance(command, DrainVm | RebootVm | MoveVm)
        and now_ms >= checker.grants.get(command.vm, 0)
    ]
    for command in commands:
        if isinstance(command, ReleaseGrant):
            checker.grants.pop(command.vm, None)
            if checker.taken.get(command.vm) == GRANTED:
                del checker.taken[command.vm]
    return violations


@invariants.register("live leader")
def check_leader(checker, view, commands, now_ms):
    """Commands are issued only by a leader, in the newest term."""
    violations = []
    for command in commands:
        if now_ms >= checker.lease_until_ms:
            violations.append(f"{command.kind} without a leader lease")
        if command.term < checker.term:
            violations.append(f"{command.kind} with the old {command.term=}")
        if command.target == "log":
            checker.sent[command.command_id] = command
    return violations

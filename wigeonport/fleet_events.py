"""Handlers that apply fleet, VM, zone and leadership events to the view."""

from wigeonport.logs import PartLogger
from wigeonport.operation_stages import restore_operations
from wigeonport.plan_events import (
    FleetLoaded,
    LeadershipChanged,
    MaintenanceControlled,
    Tick,
    VmReported,
    ZoneReported,
)
from wigeonport.plan_registries import event_handlers
from wigeonport.views import FAILED, READY, REBOOTING

logger = PartLogger("planner")


@event_handlers.register(FleetLoaded)
def handle_fleet(view, event, now_ms):
    """Replaces the fleet by a new version and keeps the reported VM states.

    Returns:
        Names of the pools that differ and of those with operations.
    """
    old = view.fleet
    view.fleet = event.fleet
    view.reserve_sized_for = None
    apply_fleet_settings(view)
    for name, vm in event.fleet.vms.items():
        if name in old.vms:
            copy_reported_state(old.vms[name], vm)
    event.fleet.missing.update(old.missing)
    event.fleet.last_report_ms.update(
        (zone, last_report_ms)
        for zone, last_report_ms in old.last_report_ms.items()
        if zone in event.fleet.last_report_ms
    )
    restore_operations(view, event.grants, now_ms)
    view.jobs.requeue_unrunnable(event.fleet)
    logger.info("Fleet version loaded.", version=event.fleet.version)
    in_operation = {view.fleet.vms[name].pool for name in view.operations}
    return sorted(find_changed_pools(old, event.fleet) | in_operation)


def find_changed_pools(old, new):
    """Returns the names of the pools whose needs or VMs differ."""
    changed = set()
    for name, pool in new.pools.items():
        before = old.pools.get(name)
        if before is None or not has_same_needs(before, pool):
            changed.add(name)
    for name, vm in new.vms.items():
        before = old.vms.get(name)
        if before is None or not has_same_assignment(before, vm):
            changed.add(vm.pool)
    return changed


def has_same_needs(old, new):
    """Returns whether both versions of a pool need the same capacity."""
    return (old.spare, old.floor, old.guaranteed()) == (
        new.spare,
        new.floor,
        new.guaranteed(),
    )


def has_same_assignment(old, new):
    """Returns whether a VM has the same pool, home pool and lender."""
    return (old.pool, old.home_pool, old.lender) == (
        new.pool,
        new.home_pool,
        new.lender,
    )


def apply_fleet_settings(view):
    """Overrides the planner's settings by those of the version in force."""
    weights = view.fleet.weights
    if weights is not None:
        view.settings.weight_buffer = weights.buffer_cost
        view.settings.weight_rollout = weights.rollout_time
        view.settings.weight_moves = weights.moves
    if view.fleet.period_ms is not None:
        view.settings.maintenance_period_ms = view.fleet.period_ms


def copy_reported_state(old, new):
    """Copies the state that the platform reported to the new view of a VM."""
    new.state = old.state
    new.sequence = old.sequence
    new.unsettled_until_ms = max(
        old.unsettled_until_ms, new.unsettled_until_ms
    )
    new.closed_until_ms = max(old.closed_until_ms, new.closed_until_ms)
    new.missing = old.missing
    new.quarantined = old.quarantined
    new.moved_ms = old.moved_ms
    old_maintained_ms, new_maintained_ms = (
        old.maintained_ms or 0,
        new.maintained_ms or 0,
    )
    if new_maintained_ms < old_maintained_ms:
        # The log has not recorded the end of the last maintenance yet.
        new.maintained_ms, new.due_ms = old.maintained_ms, old.due_ms
    elif new_maintained_ms == old_maintained_ms:
        # An operator may have requested earlier maintenance meanwhile.
        new.due_ms = min(old.due_ms, new.due_ms)


@event_handlers.register(VmReported)
def handle_vm(view, event, now_ms):
    """Applies a VM report; repeated and older reports are ignored."""
    vm = view.fleet.vms.get(event.vm)
    if vm is None or event.sequence <= vm.sequence:
        return ()
    vm.sequence = event.sequence
    old_state, vm.state = vm.state, event.state
    if event.state == FAILED and old_state != FAILED:
        view.wave.record_failure(now_ms)
        view.jobs.mark_tasks_lost(vm.name)
    if event.state == READY and old_state in (FAILED, REBOOTING):
        vm.unsettled_until_ms = now_ms + view.settings.healthy_hold_ms
    return (vm.pool,)


@event_handlers.register(ZoneReported)
def handle_zone(view, event, now_ms):
    """Updates which VMs of a zone are missing; ignores older reports."""
    last_report_ms = view.fleet.last_report_ms.get(event.zone, 0)
    if event.zone not in view.fleet.last_report_ms:
        return ()
    if last_report_ms is not None and event.measured_ms <= last_report_ms:
        return ()
    view.fleet.last_report_ms[event.zone] = event.measured_ms
    missing = frozenset(event.missing)
    changed = missing ^ view.fleet.missing.get(event.zone, frozenset())
    view.fleet.missing[event.zone] = missing
    changed_pools = set()
    for name in changed:
        vm = view.fleet.vms.get(name)
        if vm is not None and vm.zone == event.zone:
            change_missing(view, vm, name in missing, now_ms)
            changed_pools.add(vm.pool)
    return sorted(changed_pools)


def change_missing(view, vm, missing, now_ms):
    """Records whether a VM is missing; one that is back starts its hold."""
    vm.missing = missing
    if not missing:
        vm.unsettled_until_ms = now_ms + view.settings.healthy_hold_ms
    elif vm.state == READY:
        view.wave.record_failure(now_ms)


@event_handlers.register(LeadershipChanged)
def handle_leadership(view, event, now_ms):
    """Extends the leader lease, or starts a higher term.

    A lease end of 0 ends the leadership in this term; events of a lower term
    are ignored.
    """
    if event.term < view.term:
        return ()
    if event.term > view.term:
        view.term = event.term
        view.lease_until_ms = 0
        # Another leader may have acted in between, so the operations are
        # rebuilt from the grants in the log.
        view.jobs.begin_leadership(now_ms)
        view.operations.clear()
        restore_operations(view, list(view.grants.values()), now_ms)
    if event.lease_until_ms == 0:
        view.lease_until_ms = 0
    view.lease_until_ms = max(view.lease_until_ms, event.lease_until_ms)
    return ()


@event_handlers.register(MaintenanceControlled)
def handle_maintenance_control(view, event, now_ms):
    """Applies an operator's pause, resume or maintenance request."""
    if event.action == "pause":
        view.wave.pause("paused by an operator", operator_must_resume=True)
    elif event.action == "resume":
        view.wave.resume()
        view.wave.failures = []
    elif event.vm in view.fleet.vms:
        vm = view.fleet.vms[event.vm]
        vm.due_ms = min(vm.due_ms, now_ms)
        return (vm.pool,)
    return ()


@event_handlers.register(Tick)
def handle_tick(view, event, now_ms):
    """Requests a full plan: returns ``None``, which stands for all pools."""

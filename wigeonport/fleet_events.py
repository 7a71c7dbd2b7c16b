"""Effects of fleet versions, platform reports and leadership on the view."""

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
    """Takes over a fleet version and keeps what reports have shown."""
    old = view.fleet
    view.fleet = event.fleet
    view.reserve_basis = None
    apply_fleet_settings(view)
    for name, vm in event.fleet.vms.items():
        if name in old.vms:
            keep_reported(old.vms[name], vm)
    event.fleet.missing.update(old.missing)
    event.fleet.last_report_ms.update(
        (zone, last_report_ms)
        for zone, last_report_ms in old.last_report_ms.items()
        if zone in event.fleet.last_report_ms
    )
    restore_operations(view, event.grants, now_ms)
    view.jobs.fleet_changed(event.fleet)
    logger.info("Fleet version loaded.", version=event.fleet.version)
    granted = {view.fleet.vms[name].pool for name in view.operations}
    return sorted(find_changed_pools(old, event.fleet) | granted)


def find_changed_pools(old, new):
    """Returns the pools that differ between two versions."""
    changed = set()
    for name, pool in new.pools.items():
        before = old.pools.get(name)
        if before is None or not same_pool(before, pool):
            changed.add(name)
    for name, vm in new.vms.items():
        before = old.vms.get(name)
        if before is None or not same_assignment(before, vm):
            changed.add(vm.pool)
    return changed


def same_pool(old, new):
    """Returns whether a pool has the same use and the same needs."""
    return (old.spare, old.floor, old.guaranteed()) == (
        new.spare,
        new.floor,
        new.guaranteed(),
    )


def same_assignment(old, new):
    """Returns whether a VM is and belongs where it did."""
    return (old.pool, old.home_pool, old.lender) == (
        new.pool,
        new.home_pool,
        new.lender,
    )


def apply_fleet_settings(view):
    """Takes over the settings that the version in force carries."""
    weights = view.fleet.weights
    if weights is not None:
        view.settings.weight_buffer = weights.buffer_cost
        view.settings.weight_rollout = weights.rollout_time
        view.settings.weight_moves = weights.moves
    if view.fleet.period_ms is not None:
        view.settings.maintenance_period_ms = view.fleet.period_ms


def keep_reported(old, new):
    """Copies what the platform reported from the old view of a VM."""
    new.state = old.state
    new.sequence = old.sequence
    new.unsettled_until_ms = max(
        old.unsettled_until_ms, new.unsettled_until_ms
    )
    new.closed_until_ms = max(old.closed_until_ms, new.closed_until_ms)
    new.missing = old.missing
    new.quarantined = old.quarantined
    new.moved_ms = old.moved_ms
    known_ms, told_ms = old.maintained_ms or 0, new.maintained_ms or 0
    if told_ms < known_ms:
        # The end of this maintenance is still on its way to the log.
        new.maintained_ms, new.due_ms = old.maintained_ms, old.due_ms
    elif told_ms == known_ms:
        # Keeps what an operator has requested meanwhile.
        new.due_ms = min(old.due_ms, new.due_ms)


@event_handlers.register(VmReported)
def handle_vm(view, event, now_ms):
    """Applies a report that is newer than the last one applied."""
    vm = view.fleet.vms.get(event.vm)
    if vm is None or event.sequence <= vm.sequence:
        return ()
    vm.sequence = event.sequence
    was, vm.state = vm.state, event.state
    if event.state == FAILED and was != FAILED:
        view.wave.note_failure(now_ms)
        view.jobs.vm_lost(vm.name)
    if event.state == READY and was in (FAILED, REBOOTING):
        vm.unsettled_until_ms = now_ms + view.settings.healthy_hold_ms
    return (vm.pool,)


@event_handlers.register(ZoneReported)
def handle_zone(view, event, now_ms):
    """Applies which VMs of a zone are alive; older reports are ignored."""
    last_report_ms = view.fleet.last_report_ms.get(event.zone, 0)
    if event.zone not in view.fleet.last_report_ms:
        return ()
    if last_report_ms is not None and event.measured_ms <= last_report_ms:
        return ()
    view.fleet.last_report_ms[event.zone] = event.measured_ms
    missing = frozenset(event.missing)
    changed = missing ^ view.fleet.missing.get(event.zone, frozenset())
    view.fleet.missing[event.zone] = missing
    touched = set()
    for name in changed:
        vm = view.fleet.vms.get(name)
        if vm is not None and vm.zone == event.zone:
            change_missing(view, vm, name in missing, now_ms)
            touched.add(vm.pool)
    return sorted(touched)


def change_missing(view, vm, missing, now_ms):
    """Records that a VM went missing, or was found and has to settle."""
    vm.missing = missing
    if not missing:
        vm.unsettled_until_ms = now_ms + view.settings.healthy_hold_ms
    elif vm.state == READY:
        view.wave.note_failure(now_ms)


@event_handlers.register(LeadershipChanged)
def handle_leadership(view, event, now_ms):
    """Applies a newer lease, or the end of leadership by a higher term."""
    if event.term < view.term:
        return ()
    if event.term > view.term:
        view.term = event.term
        view.lease_until_ms = 0
        # Another leader may have acted since; only what the log shows
        # counts, and the operations are rebuilt from it.
        view.jobs.take_over(now_ms)
        view.operations.clear()
        restore_operations(view, list(view.grants.values()), now_ms)
    if event.lease_until_ms == 0:
        view.lease_until_ms = 0
    view.lease_until_ms = max(view.lease_until_ms, event.lease_until_ms)
    return ()


@event_handlers.register(MaintenanceControlled)
def handle_steering(view, event, now_ms):
    """Pauses or resumes maintenance, or makes one VM due now."""
    if event.action == "pause":
        view.wave.pause("paused by an operator", by_operator=True)
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
    """Plans every pool: touches ``None``, which stands for all."""

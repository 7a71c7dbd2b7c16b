"""Stage that runs maintenance waves: chooses VMs, pauses and resumes."""

from wigeonport.availabilities import (
    available_vms,
    count_available,
    needed_vms,
)
from wigeonport.operations import (
    MAINTENANCE,
    REVOCABLE,
    revoke_operation,
    start_maintenance,
)
from wigeonport.plan_commands import ReportWave
from wigeonport.plan_registries import stages, wave_orders


@stages.register("waves")
def plan(view, now_ms, random):
    """Pauses, resumes, revokes and, in a full plan, starts maintenance."""
    update_pause(view, now_ms)
    commands = report_change(view)
    if view.wave.pause_reason:
        commands.extend(revoke_all(view, now_ms))
        return commands
    commands.extend(revoke_under_load(view, now_ms))
    if view.plans_all_pools():
        commands.extend(start_due_maintenance(view, now_ms))
    return commands


def update_pause(view, now_ms):
    """Pauses on repeated failures; resumes after a time without any."""
    settings, wave = view.settings, view.wave
    retention_ms = max(settings.wave_failure_window_ms, settings.wave_quiet_ms)
    wave.drop_failures(now_ms - retention_ms)
    window_start_ms = now_ms - settings.wave_failure_window_ms
    recent = sum(failed_ms >= window_start_ms for failed_ms in wave.failures)
    if not wave.pause_reason and recent >= settings.wave_pause_failures:
        seconds = settings.wave_failure_window_ms // 1000
        wave.pause(f"{recent} VMs failed within {seconds} s")
    if (
        wave.pause_reason
        and not wave.operator_must_resume
        and not wave.failures
    ):
        wave.resume()


def report_change(view):
    """Returns a report if the pause has changed since the last report."""
    wave = view.wave
    if wave.reported_reason == wave.pause_reason:
        return []
    wave.reported_reason = wave.pause_reason
    if wave.pause_reason:
        return [ReportWave("paused", wave.pause_reason)]
    return [ReportWave("resumed", "no failures within the quiet time")]


def find_revocable(view):
    """Returns the maintenance operations that can still be revoked."""
    return [
        operation
        for operation in view.operations.values()
        if operation.kind == MAINTENANCE and operation.phase in REVOCABLE
    ]


def revoke_all(view, now_ms):
    """Revokes all maintenance whose VM is not being rebooted yet."""
    commands = []
    for operation in find_revocable(view):
        reason = view.wave.pause_reason
        commands.extend(revoke_operation(view, operation, reason, now_ms))
    return commands


def revoke_under_load(view, now_ms):
    """Revokes maintenance in pools that need the VM for their demand.

    Overdue maintenance goes on.
    """
    commands = []
    in_scope = {pool.name for pool in view.pools()}
    for operation in find_revocable(view):
        vm = view.fleet.vms[operation.vm]
        pool = view.fleet.pools[vm.pool]
        if pool.name not in in_scope or is_overdue(view, vm, now_ms):
            continue
        available = count_available(view, pool.name, now_ms)
        if available < needed_vms(view, pool, now_ms):
            reason = "the pool needs the VM for its demand"
            commands.extend(revoke_operation(view, operation, reason, now_ms))
    return commands


def is_overdue(view, vm, now_ms):
    """Returns whether maintenance is due too soon to wait for low demand."""
    return vm.due_ms - now_ms <= view.settings.wave_overdue_ms


def start_due_maintenance(view, now_ms):
    """Starts as much maintenance as the budgets and the parallelism allow."""
    running = sum(
        operation.kind == MAINTENANCE for operation in view.operations.values()
    )
    free_count = view.settings.wave_parallel - running
    if free_count <= 0:
        return []
    commands = []
    for vm in find_due_vms(view, now_ms):
        if may_grant(view, vm, now_ms):
            commands.extend(start_maintenance(view, vm, now_ms))
            free_count -= 1
        if free_count == 0:
            break
    return commands


def find_due_vms(view, now_ms):
    """Returns the VMs due for maintenance, in the order of the settings."""
    latest_ms = now_ms + view.settings.wave_lead_ms
    due = [
        vm
        for pool in view.fleet.pools
        for vm in available_vms(view, pool, now_ms)
        if vm.due_ms <= latest_ms and vm.closed_until_ms <= now_ms
    ]
    return wave_orders.entries[view.settings.wave_order](view, due, now_ms)


def may_grant(view, vm, now_ms):
    """Returns whether the VM's pool can do without it during maintenance.

    Overdue VMs need to leave the required VMs and the headroom only; others
    also the reserve, in a spare pool, or the VMs that the demand needs.
    """
    pool = view.fleet.pools[vm.pool]
    remaining = count_available(view, pool.name, now_ms) - 1
    if remaining - count_headroom(view, pool) < pool.required():
        return False
    if is_overdue(view, vm, now_ms):
        return True
    if pool.spare and view.reserve is not None:
        return view.reserve.held > view.reserve.needed
    return remaining >= needed_vms(view, pool, now_ms)


def count_headroom(view, pool):
    """Returns the VMs kept back for an unplanned loss during maintenance.

    A pool whose budget is a single VM has no headroom, because with any it
    could never be maintained.
    """
    budget = len(pool.members) - pool.required()
    return max(min(view.settings.wave_headroom, budget - 1), 0)


@wave_orders.register("zone_rack")
def order_by_zone_and_rack(view, due, now_ms):
    """Orders VMs one zone at a time, and rack by rack within the zone.

    The loss of another zone then meets no VM in maintenance there, and a rack
    is finished before the next one starts. VMs past their due time come
    first, whatever their zone.
    """
    past_due = [vm for vm in due if vm.due_ms <= now_ms]
    past_due.sort(key=lambda vm: (vm.due_ms, vm.name))
    zones = {vm.zone for vm in due} | zones_in_maintenance(view)
    if view.wave.zone not in zones:
        first = min(due, key=lambda vm: (vm.due_ms, vm.zone), default=None)
        view.wave.zone = first.zone if first else None
    if zones_in_maintenance(view) - {view.wave.zone}:
        # Maintenance in the previous zone must end first.
        return past_due
    due_in_zone = [vm for vm in due if vm.zone == view.wave.zone]
    due_in_zone.sort(key=lambda vm: (vm.rack, vm.due_ms, vm.name))
    return past_due + [vm for vm in due_in_zone if vm.due_ms > now_ms]


def zones_in_maintenance(view):
    """Returns the zones in which maintenance is running."""
    return {
        view.fleet.vms[operation.vm].zone
        for operation in view.operations.values()
        if operation.kind == MAINTENANCE
    }


@wave_orders.register("oldest_first")
def order_by_due_time(view, due, now_ms):
    """Baseline: orders VMs by due time, in any zone."""
    return sorted(due, key=lambda vm: (vm.due_ms, vm.name))

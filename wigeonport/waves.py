"""Maintenance waves: which VM gets a grant next, when to pause, resume."""

from wigeonport.availabilities import (
    available_vms,
    count_available,
    needed_vms,
)
from wigeonport.operations import (
    MAINTENANCE,
    REVOCABLE,
    revoke,
    start_maintenance,
)
from wigeonport.plan_commands import ReportWave
from wigeonport.plan_registries import stages, wave_orders


@stages.register("waves")
def plan(view, now_ms, random):
    """Pauses or resumes, revokes, and in a full plan grants."""
    update_pause(view, now_ms)
    commands = report_change(view)
    if view.wave.pause_reason:
        commands.extend(revoke_all(view, now_ms))
        return commands
    commands.extend(revoke_under_load(view, now_ms))
    if view.plans_all_pools():
        commands.extend(grant(view, now_ms))
    return commands


def update_pause(view, now_ms):
    """Pauses on failures within the window; resumes after a quiet time."""
    settings, wave = view.settings, view.wave
    kept_ms = max(settings.wave_failure_window_ms, settings.wave_quiet_ms)
    wave.forget_failures(now_ms - kept_ms)
    window_start_ms = now_ms - settings.wave_failure_window_ms
    recent = sum(at >= window_start_ms for at in wave.failures)
    if not wave.pause_reason and recent >= settings.wave_pause_failures:
        seconds = settings.wave_failure_window_ms // 1000
        wave.pause(f"{recent} VMs failed within {seconds} s")
    if wave.pause_reason and not wave.by_operator and not wave.failures:
        wave.resume()


def report_change(view):
    """Returns a report if the pause changed since the last report."""
    wave = view.wave
    if wave.reported == wave.pause_reason:
        return []
    wave.reported = wave.pause_reason
    if wave.pause_reason:
        return [ReportWave("paused", wave.pause_reason)]
    return [ReportWave("resumed", "no failures within the quiet time")]


def revocable(view):
    """Returns the maintenance operations that can still be taken back."""
    return [
        operation
        for operation in view.operations.values()
        if operation.kind == MAINTENANCE and operation.phase in REVOCABLE
    ]


def revoke_all(view, now_ms):
    """Takes back all grants whose VM was not rebooted yet."""
    commands = []
    for operation in revocable(view):
        reason = view.wave.pause_reason
        commands.extend(revoke(view, operation, reason, now_ms))
    return commands


def revoke_under_load(view, now_ms):
    """Takes back grants in pools that need the VM for their demand."""
    commands = []
    in_scope = {pool.name for pool in view.pools()}
    for operation in revocable(view):
        vm = view.fleet.vms[operation.vm]
        pool = view.fleet.pools[vm.pool]
        if pool.name not in in_scope or is_overdue(view, vm, now_ms):
            continue
        available = count_available(view, pool.name, now_ms)
        if available < needed_vms(view, pool, now_ms):
            reason = "the pool needs the VM for its demand"
            commands.extend(revoke(view, operation, reason, now_ms))
    return commands


def is_overdue(view, vm, now_ms):
    """Returns whether maintenance can no longer wait for low demand."""
    return vm.due_ms - now_ms <= view.settings.wave_overdue_ms


def grant(view, now_ms):
    """Starts maintenance of as many VMs as the budgets allow."""
    running = sum(
        operation.kind == MAINTENANCE for operation in view.operations.values()
    )
    free = view.settings.wave_parallel - running
    if free <= 0:
        return []
    commands = []
    for vm in find_order(view, now_ms):
        if may_grant(view, vm, now_ms):
            commands.extend(start_maintenance(view, vm, now_ms))
            free -= 1
        if free == 0:
            break
    return commands


def find_order(view, now_ms):
    """Returns the VMs that are due, in the order of the settings."""
    latest_ms = now_ms + view.settings.wave_lead_ms
    due = [
        vm
        for pool in view.fleet.pools
        for vm in available_vms(view, pool, now_ms)
        if vm.due_ms <= latest_ms and vm.closed_until_ms <= now_ms
    ]
    return wave_orders.entries[view.settings.wave_order](view, due, now_ms)


def may_grant(view, vm, now_ms):
    """Returns whether the budget of the VM's pool allows one more grant."""
    pool = view.fleet.pools[vm.pool]
    left = count_available(view, pool.name, now_ms) - 1
    if left - find_headroom(view, pool) < pool.required():
        return False
    if is_overdue(view, vm, now_ms):
        return True
    if pool.spare and view.reserve is not None:
        return view.reserve.held > view.reserve.needed
    return left >= needed_vms(view, pool, now_ms)


def find_headroom(view, pool):
    """Returns the VMs kept for an unplanned loss during maintenance.

    A pool whose budget is a single VM has no headroom; it could never be
    maintained otherwise.
    """
    budget = len(pool.members) - pool.required()
    return max(min(view.settings.wave_headroom, budget - 1), 0)


@wave_orders.register("zone_rack")
def order_by_zone_and_rack(view, due, now_ms):
    """One zone at a time, and in it one rack after the other.

    The loss of another zone then meets no VM in maintenance there, and a
    rack is finished before the next is touched. VMs that cannot wait come
    first, whatever their zone.
    """
    overdue = [vm for vm in due if vm.due_ms <= now_ms]
    overdue.sort(key=lambda vm: (vm.due_ms, vm.name))
    zones = {vm.zone for vm in due} | zones_in_maintenance(view)
    if view.wave.zone not in zones:
        first = min(due, key=lambda vm: (vm.due_ms, vm.zone), default=None)
        view.wave.zone = first.zone if first else None
    if zones_in_maintenance(view) - {view.wave.zone}:
        # The previous zone ends before the next one starts.
        return overdue
    in_zone = [vm for vm in due if vm.zone == view.wave.zone]
    in_zone.sort(key=lambda vm: (vm.rack, vm.due_ms, vm.name))
    return overdue + [vm for vm in in_zone if vm.due_ms > now_ms]


def zones_in_maintenance(view):
    """Returns the zones in which maintenance is running."""
    return {
        view.fleet.vms[operation.vm].zone
        for operation in view.operations.values()
        if operation.kind == MAINTENANCE
    }


@wave_orders.register("oldest_first")
def order_by_due_time(view, due, now_ms):
    """Baseline: the earliest due VM first, in any zone."""
    return sorted(due, key=lambda vm: (vm.due_ms, vm.name))

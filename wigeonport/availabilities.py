"""Rules for which VMs count as available, and counts of them.

A VM whose state is unknown, for example because its zone has stopped
reporting, does not count.
"""

from wigeonport.views import READY


def is_reported_alive(view, vm, now_ms):
    """Returns whether a recent report of its zone included the VM."""
    last_report_ms = view.fleet.last_report_ms[vm.zone]
    if last_report_ms is None or vm.missing:
        return False
    return now_ms - last_report_ms <= view.settings.report_stale_ms


def is_available(view, vm, now_ms):
    """Returns whether a VM counts towards its pool's guarantee.

    A VM that was repaired or rebooted counts only after the hold, because a
    second loss often follows a repair.
    """
    return (
        vm.state == READY
        and not vm.quarantined
        and vm.unsettled_until_ms <= now_ms
        and vm.name not in view.operations
        and is_reported_alive(view, vm, now_ms)
    )


def available_vms(view, pool_name, now_ms):
    """Returns the available VMs of a pool.

    The list is cached for the rest of the plan, so callers must not change
    it.
    """
    cache = view.available
    if cache is not None and pool_name in cache:
        return cache[pool_name]
    vms = [
        vm
        for vm in view.fleet.members(pool_name)
        if is_available(view, vm, now_ms)
    ]
    if cache is not None:
        cache[pool_name] = vms
    return vms


def count_available(view, pool_name, now_ms):
    """Returns the number of available VMs of a pool."""
    return len(available_vms(view, pool_name, now_ms))


def count_incoming(view, pool_name):
    """Returns the number of VMs that are being moved into a pool."""
    return sum(
        1
        for operation in view.operations.values()
        if operation.destination == pool_name
    )


def needed_vms(view, pool, now_ms):
    """Returns the higher of the VMs guaranteed and the VMs demanded."""
    demanded = sum(
        view.forecasts.needed_vms(service, now_ms) for service in pool.services
    )
    return max(pool.guaranteed(), demanded)

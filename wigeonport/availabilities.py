"""Which VMs count as available; anything unknown does not."""

from wigeonport.views import READY


def is_heard(view, vm, now_ms):
    """Returns whether the VM was reported alive recently."""
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
        and is_heard(view, vm, now_ms)
    )


def available_vms(view, pool_name, now_ms):
    """Returns the available VMs of a pool; the list must not be changed."""
    known = view.available
    if known is not None and pool_name in known:
        return known[pool_name]
    vms = [
        vm
        for vm in view.fleet.members(pool_name)
        if is_available(view, vm, now_ms)
    ]
    if known is not None:
        known[pool_name] = vms
    return vms


def count_available(view, pool_name, now_ms):
    """Returns the number of available VMs of a pool."""
    return len(available_vms(view, pool_name, now_ms))


def count_incoming(view, pool_name):
    """Returns the number of VMs on their way into a pool."""
    return sum(
        1
        for operation in view.operations.values()
        if operation.destination == pool_name
    )


def needed_vms(view, pool, now_ms):
    """Returns the VMs that a pool needs for its guarantee and demand."""
    demanded = sum(
        view.forecasts.needed_vms(service, now_ms) for service in pool.services
    )
    return max(pool.guaranteed(), demanded)

"""Moves VMs to the pool that the fleet version in force assigns to them."""

from wigeonport.availabilities import available_vms
from wigeonport.operations import start_move
from wigeonport.plan_registries import stages


@stages.register("rollouts")
def plan(view, now_ms, random):
    """Moves misplaced VMs as far as their pools stay at the required size."""
    commands = []
    for pool in view.pools():
        misplaced = [
            vm
            for vm in available_vms(view, pool.name, now_ms)
            if vm.pool != vm.home_pool
        ]
        if not misplaced:
            continue
        available = len(available_vms(view, pool.name, now_ms))
        movable_count = available - pool.required()
        for vm in misplaced[: max(movable_count, 0)]:
            commands.extend(start_move(view, vm, vm.home_pool, now_ms))
    return commands

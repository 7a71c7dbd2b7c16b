"""Moves VMs to the pool that the version in force names for them."""

from wigeonport.availabilities import count_available, is_available
from wigeonport.operations import start_move
from wigeonport.plan_registries import stages


@stages.register("rollouts")
def plan(view, now_ms, random):
    """Starts moves of misplaced VMs within the guarantee of their pools."""
    commands = []
    for pool in view.pools():
        misplaced = [
            vm
            for vm in view.fleet.members(pool.name)
            if vm.pool != vm.home_pool and is_available(view, vm, now_ms)
        ]
        if not misplaced:
            continue
        free = count_available(view, pool.name, now_ms) - pool.required()
        for vm in misplaced[: max(free, 0)]:
            commands.extend(start_move(view, vm, vm.home_pool, now_ms))
    return commands

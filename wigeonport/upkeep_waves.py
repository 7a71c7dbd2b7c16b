"""Progress of upkeep waves: which machines go down for upkeep, and when."""

import math

from wigeonport.batch_commands import UPKEEP
from wigeonport.lasting_placements import EMPTYING_MS
from wigeonport.machine_orders import UP
from wigeonport.task_evacuations import evacuate

# Assumed duration of one round of a wave, from which the latest start is
# computed: emptying, the upkeep of 2 s, and the first heartbeat of the new
# worker.
ROUND_MS = 6_500
# Maximum share of a pool that is reserved at the same time, unless a wave
# would miss its deadline.
POOL_SHARE = 0.34
# Share of a pool's processors in use below which a wave may reserve machines
# ahead of its deadline.
UNDERUSED_SHARE = 0.5


def advance_wave(manager, dispatcher, wave, now_ms):
    """Reserves machines of a wave, and orders the upkeep of empty ones."""
    orders = dispatcher.state.upkeep.orders
    # Machines that are being emptied for a move are reserved too, but not
    # for this wave.
    remaining_names = [
        name
        for name in wave.left
        if name not in orders and name not in manager.pending_moves
    ]
    reserved = [
        name
        for name in remaining_names
        if (worker := dispatcher.workers.by_machine.get(name)) is not None
        and worker.reserved_ms is not None
    ]
    others = [name for name in remaining_names if name not in reserved]
    reserve_machines(manager, dispatcher, wave, others, len(reserved), now_ms)
    free = wave.max_count - dispatcher.state.upkeep.count_machines_down(wave)
    for name in reserved:
        if free <= 0:
            break
        worker = dispatcher.workers.by_machine[name]
        if not worker.runs and manager.may_order(dispatcher, name, now_ms):
            manager.record(dispatcher, name, UPKEEP, str(wave.number))
            free -= 1


def reserve_machines(manager, dispatcher, wave, names, reserved_count, now_ms):
    """Reserves machines up to the wave's maximum number.

    A machine without a worker needs no emptying and is ordered at once.
    Others are reserved if the wave is short of time or their pool can spare
    them.

    Args:
        manager: MachineManager.
        dispatcher: BatchDispatcher.
        wave: Wave.
        names: Machines that may be reserved.
        reserved_count: Number of machines that are reserved already.
        now_ms: Monotonic time.
    """
    rounds = math.ceil((len(names) + reserved_count) / max(1, wave.max_count))
    slack_ms = wave.due_ms - dispatcher.wall_ms - rounds * ROUND_MS
    free = (
        wave.max_count
        - dispatcher.state.upkeep.count_machines_down(wave)
        - reserved_count
    )
    for name in sort_by_work(dispatcher, names):
        if free <= 0:
            return
        if not manager.may_order(dispatcher, name, now_ms):
            continue
        worker = dispatcher.workers.by_machine.get(name)
        if worker is None:
            row = manager.rows.get(name)
            listed_up = row is None or row.state == UP
            if listed_up and now_ms >= dispatcher.orphans_until_ms:
                manager.record(dispatcher, name, UPKEEP, str(wave.number))
                free -= 1
        elif slack_ms < 0 or can_spare_worker(dispatcher, worker):
            worker.reserved_ms = now_ms
            free -= 1


def sort_by_work(dispatcher, names):
    """Returns machines sorted by the processors in use, fewest first."""

    def work(name):
        worker = dispatcher.workers.by_machine.get(name)
        if worker is None:
            return -1
        return sum(step.cpu_milli for step in worker.runs.values())

    return sorted(names, key=work)


def can_spare_worker(dispatcher, worker):
    """Returns whether the pool of a worker can do without it now."""
    members = [
        other
        for other in dispatcher.workers.of_service(worker.report.service)
        if other.report.capacity
    ]
    reserved_count = sum(other.reserved_ms is not None for other in members)
    if reserved_count + 1 > max(1, POOL_SHARE * len(members)):
        return False
    total = sum(other.report.capacity.cpu_milli for other in members)
    free = sum(max(0, other.free_capacity().cpu_milli) for other in members)
    return total - free < UNDERUSED_SHARE * total


def empty_reserved(dispatcher, now_ms):
    """Moves the runs away from reserved workers."""
    for worker in dispatcher.workers.by_id.values():
        if worker.reserved_ms is None:
            continue
        stop_all = now_ms - worker.reserved_ms > EMPTYING_MS
        evacuate(dispatcher, worker, stop_all)

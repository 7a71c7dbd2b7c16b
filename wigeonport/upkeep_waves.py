"""Upkeep waves: which machines are taken, and when."""

import math

from wigeonport.batch_commands import UPKEEP
from wigeonport.machine_orders import UP
from wigeonport.task_evacuations import evacuate

# A machine that is to be emptied loses its remaining tasks after this time:
# two mean run times of the longest kind of task.
EMPTYING_MS = 4_000
# Time of one upkeep for the pace of a wave: emptying, the upkeep of 2 s,
# and the first heartbeat of the new worker.
ROUND_MS = 6_500
# Share of a pool that a wave takes at a time while it is not pressed.
POOL_SHARE = 0.34
# Use of a pool's processors below which a wave may take machines early.
UNDERUSED_SHARE = 0.5


def advance_wave(manager, dispatcher, wave, now_ms):
    """Reserves machines of a wave, and orders those that are empty."""
    orders = dispatcher.state.upkeep.orders
    # Machines that are emptied for another pool are reserved too.
    left = [
        name
        for name in wave.left
        if name not in orders and name not in manager.pending_moves
    ]
    reserved = [
        name
        for name in left
        if (worker := dispatcher.workers.by_machine.get(name)) is not None
        and worker.reserved_ms is not None
    ]
    others = [name for name in left if name not in reserved]
    reserve_machines(manager, dispatcher, wave, others, len(reserved), now_ms)
    free = wave.max_count - dispatcher.state.upkeep.count_down(wave)
    for name in reserved:
        if free <= 0:
            break
        worker = dispatcher.workers.by_machine[name]
        if not worker.runs and manager.may_order(dispatcher, name, now_ms):
            manager.record(dispatcher, name, UPKEEP, str(wave.number))
            free -= 1


def reserve_machines(manager, dispatcher, wave, names, reserved, now_ms):
    """Reserves machines as far as the bound allows.

    A machine without a worker needs no emptying and is ordered at once.

    Args:
        manager: MachineManager.
        dispatcher: BatchDispatcher.
        wave: Wave.
        names: Machines that may be reserved.
        reserved: Number of machines that are reserved already.
        now_ms: Monotonic time.
    """
    rounds = math.ceil((len(names) + reserved) / max(1, wave.max_count))
    slack_ms = wave.due_ms - dispatcher.wall_ms - rounds * ROUND_MS
    free = wave.max_count - dispatcher.state.upkeep.count_down(wave) - reserved
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
    """Returns machines, those with the least work first."""

    def work(name):
        worker = dispatcher.workers.by_machine.get(name)
        if worker is None:
            return -1
        return sum(step.cpu_milli for step in worker.runs.values())

    return sorted(names, key=work)


def can_spare_worker(dispatcher, worker):
    """Returns whether a pool can spare a worker now."""
    members = [
        other
        for other in dispatcher.workers.of_service(worker.report.service)
        if other.report.capacity
    ]
    taken = sum(other.reserved_ms is not None for other in members)
    if taken + 1 > max(1, POOL_SHARE * len(members)):
        return False
    total = sum(other.report.capacity.cpu_milli for other in members)
    free = sum(max(0, other.free_capacity().cpu_milli) for other in members)
    return total - free < UNDERUSED_SHARE * total


def empty_reserved(dispatcher, now_ms):
    """Moves what runs on the machines that are being emptied."""
    for worker in dispatcher.workers.by_id.values():
        if worker.reserved_ms is None:
            continue
        late = now_ms - worker.reserved_ms > EMPTYING_MS
        evacuate(dispatcher, worker, late)

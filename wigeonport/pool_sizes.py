"""Sizes of the pools: which machines move between pools, and when.

A machine in a pool costs money by the second, one in a standby pool doesn't.
A move costs about as much as two seconds in a pool and takes about two
seconds. So a pool grows when its jobs would miss their objectives, and shrinks
when it has been underused for a while.
"""

import math

from wigeonport.batch_commands import MOVE
from wigeonport.logs import PartLogger
from wigeonport.machine_orders import UP
from wigeonport.pool_loads import PoolLoad, measure_pool, share_machines

logger = PartLogger("pools")

# A pool shrinks when it could have spared a machine for this long, which is
# less than the cost of a move and the move back, in seconds of a machine.
UNDERUSED_MS = 2_000
# Share of the peak need that an underused pool keeps for the next peak, whose
# first seconds it serves alone.
PEAK_SHARE = 0.65
# Time in which a peak need counts half, about the period of the demand.
PEAK_HALF_LIFE_MS = 40_000
# Time after a change of leader in which the size of a pool counts as its peak
# need, because the demand before is unknown.
TERM_START_MS = 5_000


def count_machines(manager, dispatcher, pools):
    """Returns the number of machines in the pools, on standby or between."""
    standby = dispatcher.state.routes.table.standby_services()
    orders = dispatcher.state.upkeep.orders
    idle = sum(
        row.pool in standby and machine not in orders
        for machine, row in manager.rows.items()
    )
    return idle + sum(
        pool.size() + count_incoming(manager, dispatcher, pool.service)
        for pool in pools
    )


def plan_moves(manager, dispatcher, now_ms):
    """Plans the moves that adapt the pools to their demand.

    Reserves the machines to move, and orders the moves of empty ones.
    """
    order_pending_moves(manager, dispatcher, now_ms)
    table = dispatcher.state.routes.table
    standby = table.standby_services()
    if not standby:
        return
    served = {queue.service for queue in table.queues.values()}
    pools = [
        measure_pool(manager, dispatcher, service, now_ms)
        for service in sorted(served)
        if service not in standby
    ]
    share_machines(pools, count_machines(manager, dispatcher, pools))
    for pool in sorted(pools, key=PoolLoad.count_missing, reverse=True):
        grow(manager, dispatcher, pool, pools, now_ms)
    for pool in pools:
        shrink(manager, dispatcher, pool, standby[0], now_ms)


def grow(manager, dispatcher, pool, pools, now_ms):
    """Adds machines to a pool whose jobs would be late.

    They come first from pools that can spare an idle one, which takes one
    move instead of two, then from standby, and then from pools that can spare
    one once its tasks have ended.
    """
    if not pool.workers and pool.unseen:
        # The workers have yet to find a new leader.
        return
    incoming = count_incoming(manager, dispatcher, pool.service)
    wanted = pool.count_missing() - incoming
    if wanted <= 0:
        return
    wanted -= take_from_pools(
        manager, dispatcher, pool, pools, wanted, now_ms, only_idle=True
    )
    standby = find_standby(manager, dispatcher, pool.service, now_ms)
    for machine in standby[: max(0, wanted)]:
        log_growth(pool, machine, "standby")
        manager.record(dispatcher, machine, MOVE, pool.service)
        wanted -= 1
    take_from_pools(
        manager, dispatcher, pool, pools, wanted, now_ms, only_idle=False
    )


def take_from_pools(
    manager, dispatcher, pool, pools, wanted, now_ms, only_idle
):
    """Reserves machines that other pools can spare for a move to a pool.

    Args:
        manager: MachineManager.
        dispatcher: BatchDispatcher.
        pool: PoolLoad that grows.
        pools: PoolLoads of all pools.
        wanted: Maximum number of machines.
        now_ms: Monotonic time.
        only_idle: Whether to take only machines without a run.

    Returns:
        The number of machines that are reserved.
    """
    taken = 0
    for donor in sorted(pools, key=PoolLoad.count_spare, reverse=True):
        if donor is pool:
            continue
        spare = min(donor.count_spare(), wanted - taken)
        for worker in find_movable(
            manager, dispatcher, donor, now_ms, pool.service
        )[: max(0, spare)]:
            if only_idle and worker.runs:
                break
            machine = worker.report.machine
            log_growth(pool, machine, donor.service)
            donor.workers.remove(worker)
            worker.reserved_ms = now_ms
            manager.pending_moves[machine] = pool.service
            taken += 1
    return taken


def count_incoming(manager, dispatcher, service):
    """Returns the number of machines that are being moved to a pool."""
    orders = dispatcher.state.upkeep.orders.values()
    ordered = sum(o.purpose == MOVE and o.target == service for o in orders)
    pending = sum(
        target == service for target in manager.pending_moves.values()
    )
    return ordered + pending


def find_standby(manager, dispatcher, service, now_ms):
    """Returns the machines on standby that may be moved to a pool.

    Those of an unfinished wave come last, because their upkeep costs nothing
    while they are on standby.
    """
    standby = dispatcher.state.routes.table.standby_services()
    orders = dispatcher.state.upkeep.orders
    due = due_machines(dispatcher)
    machines = [
        machine
        for machine, row in manager.rows.items()
        if row.pool in standby
        and machine not in orders
        and (machine, service) not in manager.refused_moves
        and manager.may_order(dispatcher, machine, now_ms)
    ]
    return sorted(machines, key=lambda machine: (machine in due, machine))


def due_machines(dispatcher):
    """Returns the machines that unfinished waves have to maintain."""
    return {
        machine
        for wave in dispatcher.state.upkeep.waves.values()
        for machine in wave.left
    }


def log_growth(pool, machine, source):
    """Logs that a machine is to be moved to a pool."""
    logger.info(
        "Pool growth started.",
        pool=pool.service,
        machine=machine,
        source=source,
        needed=round(pool.needed, 1),
        machines=len(pool.workers),
    )


def find_movable(manager, dispatcher, pool, now_ms, target):
    """Returns the workers that may be moved, the least used first.

    Workers with lasting tasks are left out, and those of an unfinished wave,
    because a move would delay their upkeep.
    """
    due = due_machines(dispatcher)
    candidates = [
        worker
        for worker in pool.workers
        if worker.report.machine
        and worker.report.machine not in due
        and worker.reserved_ms is None
        and not any(step.lasting for step in worker.runs.values())
        and (worker.report.machine, target) not in manager.refused_moves
        and manager.may_order(dispatcher, worker.report.machine, now_ms)
    ]
    return sorted(
        candidates,
        key=lambda each: each.free_capacity().cpu_milli,
        reverse=True,
    )


def shrink(manager, dispatcher, pool, standby, now_ms):
    """Reserves the machines that a pool spares for a move to standby.

    During a shortage the other pools take them directly.
    """
    peak = update_peak_need(manager, pool, now_ms)
    min_size = math.ceil(PEAK_SHARE * peak)
    spare = min(pool.count_spare(), pool.size() - min_size)
    if spare <= 0 or pool.share is not None:
        manager.underused_since_ms.pop(pool.service, None)
        return
    since_ms = manager.underused_since_ms.setdefault(pool.service, now_ms)
    if now_ms - since_ms < UNDERUSED_MS:
        return
    for worker in find_movable(manager, dispatcher, pool, now_ms, standby)[
        :spare
    ]:
        logger.info(
            "Pool reduction started.",
            pool=pool.service,
            machine=worker.report.machine,
            needed=round(pool.needed, 1),
            machines=len(pool.workers),
        )
        worker.reserved_ms = now_ms
        manager.pending_moves[worker.report.machine] = standby
    manager.underused_since_ms.pop(pool.service, None)


def update_peak_need(manager, pool, now_ms):
    """Returns the peak need of a pool, in machines, after an update.

    At the start of a term the need is unknown, and the size counts as such.
    """
    peak, updated_ms = manager.peak_needs.get(pool.service, (0, now_ms))
    if now_ms - manager.since_ms < TERM_START_MS:
        peak = max(peak, pool.size())
    decay = 0.5 ** ((now_ms - updated_ms) / PEAK_HALF_LIFE_MS)
    peak = max(peak * decay, pool.needed)
    manager.peak_needs[pool.service] = (peak, now_ms)
    return peak


def order_pending_moves(manager, dispatcher, now_ms):
    """Orders the pending moves of machines that are empty.

    A move is dropped if the machine is not up, has another order, or has got a
    lasting task. Without an order, its worker gets tasks again.
    """
    for machine, target in list(manager.pending_moves.items()):
        worker = dispatcher.workers.by_machine.get(machine)
        row = manager.rows.get(machine)
        ordered = machine in dispatcher.state.upkeep.orders
        lasting = worker is not None and any(
            step.lasting for step in worker.runs.values()
        )
        gone = worker is None or row is None or row.state != UP
        if ordered or gone or lasting:
            # An upkeep wave may have ordered the machine in the meantime.
            del manager.pending_moves[machine]
            if not ordered:
                manager.release(dispatcher, machine)
        elif not worker.runs:
            manager.record(dispatcher, machine, MOVE, target)
            del manager.pending_moves[machine]

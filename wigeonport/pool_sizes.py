"""Sizes of the pools: which machines move between pools, and when.

A machine in a pool costs money by the second, one in a standby pool doesn't.
A move costs about as much as two seconds in a pool and takes about two
seconds. So a pool grows when its jobs would miss their objectives, and shrinks
when it has been underused for a while.
"""

import math

from wigeonport.batch_commands import MOVE
from wigeonport.job_orders import ESTIMATE_MARGIN
from wigeonport.logs import PartLogger
from wigeonport.machine_orders import UP
from wigeonport.task_placements import active_ranked_jobs

logger = PartLogger("pools")

# A pool shrinks when it could have spared a machine for this long, which is
# less than the cost of a move and the move back, in seconds of a machine.
UNDERUSED_MS = 2_000
# Factor on the needed capacity that a pool keeps when it shrinks.
SHRINK_MARGIN = 1.35
# Machines that a pool keeps beyond the minimum for its lasting tasks.
SPARE_MACHINES = 1
# Share of its peak size that an underused pool keeps.
MIN_SIZE_SHARE = 0.6
# Window over which the arrival rate of work is measured.
ARRIVAL_MS = 1_500
# Minimum time in which work is assumed to be done; limits the capacity needed
# for jobs that are nearly late.
MIN_SPAN_MS = 1_000
# Maximum number of machines that are being moved to one pool, and the same as
# a share of its workers; the larger one applies. A move costs about as much
# as one second of a machine, a late job as much as fifteen.
MAX_ADDED = 6
MAX_ADDED_SHARE = 1.0


class PoolLoad:
    """Capacity and demand of a pool.

    Attributes:
        service: Name of the service, which is that of the pool.
        workers: Workers that accept tasks.
        capacity: Total capacity of these workers, in thousandths of a core.
        lasting: Thousandths of a core that its lasting tasks use.
        needed: Thousandths of a core that its jobs need to meet their
            objectives, including ``lasting``.
        min_machines: Minimum number of machines for its lasting tasks.
    """

    __slots__ = (
        "service",
        "workers",
        "capacity",
        "lasting",
        "needed",
        "min_machines",
    )

    def __init__(self, service, workers):
        self.service = service
        self.workers = workers
        self.capacity = sum(
            worker.report.capacity.cpu_milli for worker in workers
        )
        self.lasting = 0
        self.needed = 0
        self.min_machines = 0

    def can_spare_machine(self):
        """Returns whether the pool can do without one machine."""
        remaining = self.capacity - self.mean_machine_milli
        if len(self.workers) <= self.min_machines + SPARE_MACHINES:
            return False
        return self.needed * SHRINK_MARGIN <= remaining

    def remove_worker(self, worker):
        """Removes a worker and its capacity."""
        self.workers.remove(worker)
        self.capacity -= worker.report.capacity.cpu_milli

    @property
    def mean_machine_milli(self):
        """Mean capacity of a worker of the pool, in thousandths of a core."""
        return self.capacity / len(self.workers) if self.workers else 0


def measure_pool(dispatcher, service, now_ms, wall_ms):
    """Returns the PoolLoad of a service at present."""
    workers = [
        worker
        for worker in dispatcher.workers.of_service(service)
        if worker.accepts_tasks(now_ms, dispatcher.max_silence_ms())
    ]
    pool = PoolLoad(service, workers)
    lasting = 0
    waiting_work, needed, arrived_work = 0, 0, 0
    ranked_jobs = active_ranked_jobs(dispatcher, service, wall_ms)
    for ranked_job in sorted(
        ranked_jobs, key=lambda ranked_job: ranked_job.objective_ms
    ):
        if ranked_job.lasting:
            steps = ranked_job.job.spec.steps
            pool.min_machines = max(
                pool.min_machines, *map(machines_for, steps)
            )
            lasting += sum(
                step.count * step.cpu_milli for step in steps if not step.fills
            )
            continue
        span_ms = (
            ranked_job.objective_ms - wall_ms - ranked_job.remaining_ms / 2
        )
        if span_ms < ranked_job.remaining_ms / 2:
            continue
        waiting_work += ranked_job.waiting_work * ESTIMATE_MARGIN
        needed = max(needed, waiting_work / max(span_ms, MIN_SPAN_MS))
        if wall_ms - ranked_job.job.submitted_ms < ARRIVAL_MS:
            arrived_work += ranked_job.waiting_work + ranked_job.running_work
    pool.lasting = lasting
    pool.needed = lasting + max(needed, arrived_work / ARRIVAL_MS)
    return pool


def machines_for(step):
    """Returns the minimum number of machines for the tasks of a step."""
    if not step.lasting or not step.max_per_worker:
        return 1
    return math.ceil(step.count / step.max_per_worker)


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
        measure_pool(dispatcher, service, now_ms, dispatcher.wall_ms)
        for service in sorted(served)
        if service not in standby
    ]
    for pool in pools:
        if pool.needed > pool.lasting:
            manager.used_services.add(pool.service)
        grow(manager, dispatcher, pool, pools, now_ms)
    # A pool that has had only lasting jobs in this term keeps its size,
    # because its further demand is unknown.
    for pool in pools:
        if pool.service in manager.used_services:
            shrink(manager, dispatcher, pool, standby[0], now_ms)


def grow(manager, dispatcher, pool, pools, now_ms):
    """Adds machines to a pool whose jobs would be late.

    They come from standby first, and then from pools that can spare one.
    """
    if pool.needed <= pool.capacity or not pool.workers:
        return
    missing = (pool.needed - pool.capacity) / pool.mean_machine_milli
    max_added = max(MAX_ADDED, int(MAX_ADDED_SHARE * len(pool.workers)))
    wanted = min(max_added, math.ceil(missing))
    wanted -= count_incoming(manager, dispatcher, pool.service)
    if wanted <= 0:
        return
    standby = find_standby(manager, dispatcher, pool.service, now_ms)
    for machine in standby[:wanted]:
        log_growth(pool, machine, "standby")
        manager.record(dispatcher, machine, MOVE, pool.service)
        wanted -= 1
    for donor in sorted(pools, key=lambda load: load.needed - load.capacity):
        while wanted > 0 and donor is not pool and donor.can_spare_machine():
            worker = find_least_used_worker(manager, dispatcher, donor, now_ms)
            machine = worker.report.machine if worker else ""
            if not worker or (machine, pool.service) in manager.refused_moves:
                break
            log_growth(pool, machine, donor.service)
            donor.remove_worker(worker)
            worker.reserved_ms = now_ms
            manager.pending_moves[machine] = pool.service
            wanted -= 1


def count_incoming(manager, dispatcher, service):
    """Returns the number of machines that are being moved to a pool."""
    orders = dispatcher.state.upkeep.orders.values()
    ordered = sum(o.purpose == MOVE and o.target == service for o in orders)
    pending = sum(
        target == service for target in manager.pending_moves.values()
    )
    return ordered + pending


def find_standby(manager, dispatcher, service, now_ms):
    """Returns the machines on standby that may be moved to a pool."""
    standby = dispatcher.state.routes.table.standby_services()
    orders = dispatcher.state.upkeep.orders
    return [
        machine
        for machine, row in sorted(manager.rows.items())
        if row.pool in standby
        and machine not in orders
        and (machine, service) not in manager.refused_moves
        and manager.may_order(dispatcher, machine, now_ms)
    ]


def log_growth(pool, machine, source):
    """Logs that a machine is to be moved to a pool."""
    logger.info(
        "Pool growth started.",
        pool=pool.service,
        machine=machine,
        source=source,
        needed_milli=int(pool.needed),
        capacity_milli=pool.capacity,
    )


def find_least_used_worker(manager, dispatcher, pool, now_ms):
    """Returns the worker with the most free processors, or None.

    Workers with lasting tasks are left out.
    """
    candidates = [
        worker
        for worker in pool.workers
        if worker.report.machine
        and worker.reserved_ms is None
        and not any(step.lasting for step in worker.runs.values())
        and manager.may_order(dispatcher, worker.report.machine, now_ms)
    ]
    return max(
        candidates,
        key=lambda each: each.free_capacity().cpu_milli,
        default=None,
    )


def shrink(manager, dispatcher, pool, standby, now_ms):
    """Reserves one machine of an underused pool for a move to standby."""
    peak_size = max(len(pool.workers), manager.peak_sizes.get(pool.service, 0))
    manager.peak_sizes[pool.service] = peak_size
    min_size = math.ceil(MIN_SIZE_SHARE * peak_size)
    if not pool.can_spare_machine() or len(pool.workers) <= min_size:
        manager.underused_since_ms.pop(pool.service, None)
        return
    since_ms = manager.underused_since_ms.setdefault(pool.service, now_ms)
    if now_ms - since_ms < UNDERUSED_MS:
        return
    worker = find_least_used_worker(manager, dispatcher, pool, now_ms)
    if worker is None:
        return
    logger.info(
        "Pool reduction started.",
        pool=pool.service,
        machine=worker.report.machine,
        needed_milli=int(pool.needed),
        capacity_milli=pool.capacity,
    )
    worker.reserved_ms = now_ms
    manager.pending_moves[worker.report.machine] = standby
    manager.underused_since_ms.pop(pool.service, None)


def order_pending_moves(manager, dispatcher, now_ms):
    """Orders the pending moves of machines that are empty.

    A move is dropped if the machine is not up or has another order.
    """
    for machine, target in list(manager.pending_moves.items()):
        worker = dispatcher.workers.by_machine.get(machine)
        row = manager.rows.get(machine)
        ordered = machine in dispatcher.state.upkeep.orders
        if ordered or worker is None or row is None or row.state != UP:
            # An upkeep wave may have ordered the machine in the meantime.
            del manager.pending_moves[machine]
        elif not worker.runs:
            manager.record(dispatcher, machine, MOVE, target)
            del manager.pending_moves[machine]

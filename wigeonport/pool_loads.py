"""Capacity and demand of the pools of machines."""

import math

from wigeonport.job_orders import ESTIMATE_MARGIN, PACKING_SHARE, RankedPool
from wigeonport.machine_orders import UP
from wigeonport.task_placements import active_ranked_jobs

# Factor on the needed size that a pool keeps when it shrinks.
SHRINK_MARGIN = 1.35
# Machines that a pool keeps beyond the minimum for its lasting tasks, so that
# they have a place when a machine fails.
SPARE_MACHINES = 1
# Machines above its share that a pool keeps during a shortage, so that small
# changes of the needs move nothing.
SHORTAGE_MARGIN = 1
# Time in which workers find a new leader. A machine whose worker has sent no
# heartbeat by then does not count as serving its pool.
WORKERS_RETURN_MS = 1_500
# Window over which the arrival rate of work is measured. A peak rises to half
# of its height within two seconds, and a move takes as long.
ARRIVAL_MS = 800
# Time for which work is expected to go on arriving at the measured rate, about
# the second half of a peak.
PEAK_MS = 5_000
# Time that work may take beyond the end of a peak: the latency objective of
# the callers.
SLACK_MS = 3_500
# A late job is still of use until this multiple of its objective.
LATE_FACTOR = 3
# Time in which the work of jobs that are no longer of use is to be done.
MIN_LATE_SPAN_MS = 5_000
# Minimum time in which work is assumed to be done; limits the size needed for
# jobs that are nearly late.
MIN_SPAN_MS = 1_000


class PoolLoad:
    """Capacity and demand of a pool.

    Attributes:
        service: Name of the service, which is that of the pool.
        workers: Workers that accept tasks.
        unseen: Number of its machines that are up, but whose workers have
            sent no heartbeat since the term began.
        lasting: Machines that its lasting tasks use.
        needed: Machines that its jobs need to meet their objectives,
            including ``lasting``.
        late: Machines that jobs need which are or will be late.
        min_machines: Minimum number of machines for its lasting tasks.
        share: Machines that it gets while the pools together need more
            than there are, otherwise None.
    """

    __slots__ = (
        "service",
        "workers",
        "unseen",
        "lasting",
        "needed",
        "late",
        "min_machines",
        "share",
    )

    def __init__(self, service, workers, unseen):
        self.service = service
        self.workers = workers
        self.unseen = unseen
        self.lasting = 0
        self.needed = 0
        self.late = 0
        self.min_machines = 0
        self.share = None

    def size(self):
        """Returns the number of machines of the pool that serve it."""
        return len(self.workers) + self.unseen

    def count_wanted(self):
        """Returns how many machines the pool needs in all."""
        return max(math.ceil(self.needed + self.late), self.min_machines)

    def count_urgent(self):
        """Returns how many machines it needs without those for late jobs."""
        return max(math.ceil(self.needed), self.min_machines)

    def count_missing(self):
        """Returns how many machines the pool needs beyond its own."""
        wanted = self.count_wanted() if self.share is None else self.share
        return wanted - self.size()

    def count_spare(self):
        """Returns how many machines the pool can do without."""
        if self.share is not None:
            return self.size() - self.share - SHORTAGE_MARGIN
        kept = max(
            self.min_machines + SPARE_MACHINES,
            math.ceil(self.needed * SHRINK_MARGIN + self.late),
        )
        return self.size() - kept


def measure_pool(manager, dispatcher, service, now_ms):
    """Returns the PoolLoad of a service at present."""
    wall_ms = dispatcher.wall_ms
    workers = [
        worker
        for worker in dispatcher.workers.of_service(service)
        if worker.accepts_tasks(now_ms, dispatcher.max_silence_ms())
    ]
    unseen = count_unseen(manager, dispatcher, service, now_ms)
    pool = PoolLoad(service, workers, unseen)
    lasting = 0
    margined_work, needed, waiting_work = 0, 0, 0
    late_work, late = 0, 0
    arrivals = []
    # A pool without a worker that accepts tasks still has to grow.
    sized = workers or dispatcher.workers.of_service(service)
    machine = RankedPool([each.report.capacity for each in sized]).machine
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
                step.count * machine.share_of(step)
                for step in steps
                if not step.fills
            )
            continue
        if ranked_job.limited:
            # More machines would not let it start.
            continue
        span_ms = (
            ranked_job.objective_ms - wall_ms - ranked_job.remaining_ms / 2
        )
        if span_ms < ranked_job.remaining_ms / 2:
            late_work += ranked_job.waiting_work
            late = max(late, late_work / late_span_ms(ranked_job, wall_ms))
            continue
        waiting_work += ranked_job.waiting_work
        margined_work += ranked_job.waiting_work * ESTIMATE_MARGIN
        needed = max(needed, margined_work / max(span_ms, MIN_SPAN_MS))
        if wall_ms - ranked_job.job.submitted_ms < ARRIVAL_MS:
            arrivals.append(ranked_job.waiting_work + ranked_job.running_work)
    pool.lasting = lasting
    expected_work = waiting_work + estimate_rate(arrivals) * PEAK_MS
    expected = expected_work / (PEAK_MS + SLACK_MS)
    pool.needed = lasting + max(needed, expected) / PACKING_SHARE
    pool.late = late / PACKING_SHARE
    return pool


def estimate_rate(arrivals):
    """Returns the rate at which work arrives, in machines.

    Counts of arrivals scatter by their square root. Half of that is taken off,
    so that a few jobs by chance count less than a peak.

    Args:
        arrivals: Work of each job that arrived in the last ``ARRIVAL_MS``.
    """
    if not arrivals:
        return 0
    certain_share = 1 - 0.5 / math.sqrt(len(arrivals))
    return certain_share * sum(arrivals) / ARRIVAL_MS


def late_span_ms(ranked_job, wall_ms):
    """Returns the time in which the work of a late job is to be done."""
    submitted_ms = ranked_job.job.submitted_ms
    allowed_ms = LATE_FACTOR * (ranked_job.objective_ms - submitted_ms)
    span_ms = submitted_ms + allowed_ms - wall_ms
    return max(span_ms - ranked_job.remaining_ms / 2, MIN_LATE_SPAN_MS)


def count_unseen(manager, dispatcher, service, now_ms):
    """Returns how many machines of a pool have not reported in this term.

    They count as serving it while the term begins, so that the pool does not
    look smaller than it is.
    """
    if now_ms - manager.since_ms >= WORKERS_RETURN_MS:
        return 0
    return sum(
        row.pool == service
        and row.state == UP
        and machine not in dispatcher.workers.by_machine
        for machine, row in manager.rows.items()
    )


def share_machines(pools, total):
    """Divides the machines among pools that together need more.

    Machines for lasting tasks come first, then those for jobs that can be in
    time, then those for late jobs. What is too little for all of a kind is
    divided by need, so that a pool whose peak came first does not keep it.

    Args:
        pools: PoolLoads.
        total: Number of machines that can be divided.
    """
    if sum(pool.count_wanted() for pool in pools) <= total:
        return
    shares = [0] * len(pools)
    for targets in (
        [pool.min_machines for pool in pools],
        [pool.count_urgent() for pool in pools],
        [pool.count_wanted() for pool in pools],
    ):
        shares = raise_shares(shares, targets, total)
    for pool, share in zip(pools, shares, strict=True):
        pool.share = share


def raise_shares(shares, targets, total):
    """Returns the shares raised to their targets, as far as there is room.

    Args:
        shares: Numbers of machines.
        targets: Wanted numbers, none above ``total`` counts.
        total: Maximum sum of the shares.
    """
    missing = [
        max(0, min(target, total) - share)
        for share, target in zip(shares, targets, strict=True)
    ]
    factor = min(1, max(0, total - sum(shares)) / max(1, sum(missing)))
    return [
        share + int(factor * more)
        for share, more in zip(shares, missing, strict=True)
    ]


def machines_for(step):
    """Returns the minimum number of machines for the tasks of a step."""
    if not step.lasting or not step.max_per_worker:
        return 1
    return math.ceil(step.count / step.max_per_worker)

"""Shares of tenants in the starts of a pool that is full.

Start-time fair queueing (P. Goyal, H. M. Vin, H. Cheng: "Start-time Fair
Queuing", SIGCOMM 1996), with several servers as in W. Jin, J. S. Chase,
J. Kaur: "Interposed Proportional Sharing for a Storage Service Utility",
SIGMETRICS 2004. Each tenant has a tag, the work that it has started divided
by its weight, and the next start is that of the tenant with the lowest tag.
The virtual time of a pool is the mean of the tags by weight, as in I. Stoica,
H. Abdel-Wahab: "Earliest Eligible Virtual Deadline First", 1995.

A pool is full while not all jobs that wait can be in time. While it is not,
jobs are ordered by their objectives and nothing is charged: room that others
leave idle costs a tenant nothing.
"""

import heapq
import math

from wigeonport.batch_jobs import RUNNING
from wigeonport.job_orders import (
    PACKING_SHARE,
    divide_jobs,
    finish_time_ms,
    job_orders,
    objective_of,
    order_feasible_first,
)
from wigeonport.tenant_buckets import rate_of

# A tenant whose jobs could not start although it was its turn, for example at
# its limit, catches up at most what the pool does in this time, so that the
# others wait no longer than this when it can go on.
MAX_LAG_MS = 1_000
# Weight of jobs without a tenant in the table: the least that one may have.
UNKNOWN_WEIGHT = 1


class PoolShares:
    """Work that tenants have started in a pool since it is full.

    A new leader starts with equal tags: it forgets who was ahead, which is
    at most about one job for each tenant.

    Attributes:
        tenants: Maps name to Tenant, in the newest table in force.
        tags: Maps tenant to the work that it has started, in ms of a whole
            machine, divided by its weight.
        full: Whether not all waiting jobs can be in time.
        served: Number of jobs in the order that are to be in time.
        limited: Names of the tenants whose limits keep jobs of theirs from
            being in time.
    """

    __slots__ = ("tenants", "tags", "full", "served", "limited")

    def __init__(self):
        self.tenants = {}
        self.limited = set()
        self.tags = {}
        self.full = False
        self.served = 0

    def weight_of(self, name):
        """Returns the weight of a tenant."""
        tenant = self.tenants.get(name)
        return UNKNOWN_WEIGHT if tenant is None else rate_of(tenant)

    def charge(self, name, work):
        """Adds started work to the tag of a tenant while the pool is full."""
        if self.full and name in self.tags:
            self.tags[name] += work / self.weight_of(name)

    def clear(self):
        """Forgets all tags, because the pool is not full."""
        self.full = False
        self.tags = {}

    def update(self, names, machines):
        """Sets the tags of the tenants whose jobs wait.

        One that returns starts at the virtual time, so it is neither behind
        those that went on nor ahead of them. Others are dropped.

        Args:
            names: Names of the tenants.
            machines: Number of machines of the pool.
        """
        self.full = True
        kept = [name for name in names if name in self.tags]
        total = sum(self.weight_of(name) for name in kept)
        virtual_ms = 0
        if kept:
            virtual_ms = (
                sum(self.weight_of(name) * self.tags[name] for name in kept)
                / total
            )
        total = sum(self.weight_of(name) for name in names)
        lowest = virtual_ms - MAX_LAG_MS * max(1, machines) / total
        self.tags = {
            name: max(lowest, self.tags.get(name, virtual_ms))
            for name in names
        }


class TenantQueues:
    """The jobs of each tenant, taken in the order of the tenants' tags.

    Attributes:
        shares: PoolShares.
        jobs: Maps tenant to the list of its RankedJobs, next one last.
        turns: Heap of pairs of tag and tenant.
    """

    __slots__ = ("shares", "jobs", "turns")

    def __init__(self, shares, tags, ranked_jobs):
        self.shares = shares
        self.jobs = {}
        for ranked_job in reversed(ranked_jobs):
            self.jobs.setdefault(ranked_job.job.tenant, []).append(ranked_job)
        self.turns = [(tags[name], name) for name in self.jobs]
        heapq.heapify(self.turns)

    def take(self, accepts):
        """Returns the jobs in order, and those that are not accepted.

        Args:
            accepts: Function that returns whether a RankedJob takes its
                turn; one that does not costs its tenant nothing.
        """
        taken, refused = [], []
        while self.turns:
            tag, name = self.turns[0]
            ranked_job = self.jobs[name].pop()
            if accepts(ranked_job):
                taken.append(ranked_job)
                tag += ranked_job.waiting_work / self.shares.weight_of(name)
            else:
                refused.append(ranked_job)
            if self.jobs[name]:
                heapq.heapreplace(self.turns, (tag, name))
            else:
                heapq.heappop(self.turns)
        return taken, refused


class Schedule:
    """The work that precedes the next job on a pool.

    Attributes:
        rate: Number of machines that do the work.
        now_ms: Wall time.
        work: Work of the jobs so far.
    """

    __slots__ = ("rate", "now_ms", "work")

    def __init__(self, rate, now_ms):
        self.rate = rate
        self.now_ms = now_ms
        self.work = 0

    def accepts(self, ranked_job):
        """Adds a job if it can be in time after those before it."""
        finish_ms, work = finish_time_ms(
            ranked_job, self.work, self.rate, self.now_ms
        )
        if finish_ms > ranked_job.objective_ms:
            return False
        self.work = work
        return True


@job_orders.register("weighted")
def order_by_weight(ranked_jobs, pool, now_ms):
    """Sorts by objective, and by the tenants' shares once the pool is full.

    Then the tenants take turns by their tags, each with its jobs by priority
    and objective. A job that can't be in time leaves its turn to the next of
    its tenant. Jobs of which half has been started come first, because what
    has run would be lost. Without tenants, the order is "feasible".
    """
    shares = pool.shares
    if shares is None:
        return order_feasible_first(ranked_jobs, pool, now_ms)
    by_objective, limited = split_limited(ranked_jobs, pool, now_ms)
    lasting, feasible, deferred, late = divide_jobs(by_objective, pool, now_ms)
    if not deferred:
        shares.clear()
        return lasting + feasible + limited + late
    possible = sorted(feasible + deferred, key=urgency_of)
    names = dict.fromkeys(each.job.tenant for each in possible + late)
    shares.update(names, pool.count)
    schedule = Schedule(PACKING_SHARE * max(1, pool.count), now_ms)
    begun, fresh = [], []
    for ranked_job in possible:
        first = is_half_started(ranked_job, pool) and schedule.accepts(
            ranked_job
        )
        (begun if first else fresh).append(ranked_job)
    queues = TenantQueues(shares, shares.tags, fresh)
    served, refused = queues.take(schedule.accepts)
    rest = take_turns(shares, refused) + limited + take_turns(shares, late)
    shares.served = len(lasting) + len(begun) + len(served)
    return lasting + begun + served + rest


def split_limited(ranked_jobs, pool, now_ms):
    """Returns jobs by objective, and those that a tenant's limit makes late.

    The latter would stand before jobs of others without being able to start,
    and let a pool look full that has room.
    """
    shares = pool.shares
    shares.limited = set()
    schedules, free, limited = {}, [], []
    for ranked_job in sorted(ranked_jobs, key=objective_of):
        name = ranked_job.job.tenant
        schedule = schedules.get(name)
        if schedule is None:
            rate = limit_of(shares.tenants.get(name), pool.machine)
            schedule = schedules[name] = Schedule(rate, now_ms)
        late = now_ms + ranked_job.remaining_ms > ranked_job.objective_ms
        ranked_job.limited = not (
            ranked_job.lasting or late or schedule.accepts(ranked_job)
        )
        if ranked_job.limited:
            shares.limited.add(name)
        (limited if ranked_job.limited else free).append(ranked_job)
    return free, limited


def limit_of(tenant, machine):
    """Returns how many machines the tasks of a tenant may fill.

    The resource that allows most counts: which one a task needs most of
    differs, and a job must not wait for a limit that does not bind it.

    Args:
        tenant: Tenant, or None.
        machine: Resources of a mean machine.
    """
    if tenant is None:
        return math.inf
    limit = tenant.max_running
    shares = [
        getattr(limit, name) / getattr(machine, name)
        for name in limit.__slots__
        if getattr(limit, name) and getattr(machine, name)
    ]
    return max(shares, default=math.inf)


def take_turns(shares, ranked_jobs):
    """Returns jobs in the order of the tenants' turns."""
    queues = TenantQueues(shares, shares.tags, ranked_jobs)
    return queues.take(lambda ranked_job: True)[0]


def urgency_of(ranked_job):
    """Returns the sort key of the jobs of a tenant."""
    return ranked_job.queue.priority, ranked_job.objective_ms


def is_half_started(ranked_job, pool):
    """Returns whether at least half of the work of a job has been started."""
    if ranked_job.job.state != RUNNING:
        return False
    total = sum(
        pool.machine.share_of(step_run.step)
        * step_run.step.estimated_ms
        * step_run.step.count
        for step_runs in ranked_job.job.occurrences.values()
        for step_run in step_runs
    )
    return 2 * ranked_job.waiting_work <= total


def find_shares(dispatcher, service):
    """Returns the PoolShares of a service, or None without tenants."""
    tenants = dispatcher.state.routes.table.tenants
    if tenants is None:
        return None
    shares = dispatcher.shares.setdefault(service, PoolShares())
    shares.tenants = tenants.by_name
    return shares


def charge_start(dispatcher, job, step):
    """Charges a tenant for a started run.

    Lasting tasks are not charged: they have no work that ends, and the limit
    of the tenant bounds them.
    """
    queue = dispatcher.state.routes.queue_of(job.queue)
    service = queue.service if queue else ""
    shares = dispatcher.shares.get(service)
    ranking = dispatcher.rankings.get(service)
    if shares is not None and ranking is not None and not step.lasting:
        work = ranking.pool.machine.share_of(step) * step.estimated_ms
        shares.charge(job.tenant, work)

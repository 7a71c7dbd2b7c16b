"""What each tenant has running, and what it may still start.

Usage is counted from orders: a run counts from the StartRuns that is recorded
before its worker gets the order, until its end is recorded. That is when its
worker has reported the end, or when the run is certain not to be live. So a
run on a worker that is cut off counts until the lease of its runs is over, and
a new leader counts what the former one ordered, from the replicated state.
"""

import math

from wigeonport.logs import PartLogger
from wigeonport.records import Record

logger = PartLogger("tenants")

# Interval at which a tenant that its limit holds back is logged again.
LIMIT_LOG_MS = 5_000


class Usage(Record):
    """Resources of the live runs of a tenant.

    Tasks that fill count in full. They use CPU that others leave idle, but
    they do use it, and a limit on what a tenant has running covers it.

    Attributes:
        cpu_milli: CPU in thousandths of a core.
        memory_mb: Memory in MB.
        gpu: Number of accelerators.
        runs: Number of runs.
    """

    __slots__ = ("cpu_milli", "memory_mb", "gpu", "runs")

    def __init__(self, cpu_milli=0, memory_mb=0, gpu=0, runs=0):
        self.cpu_milli = cpu_milli
        self.memory_mb = memory_mb
        self.gpu = gpu
        self.runs = runs

    def add(self, step, sign=1):
        """Adds one run of a step, or removes it if ``sign`` is -1."""
        self.cpu_milli += sign * step.cpu_milli
        self.memory_mb += sign * step.memory_mb
        self.gpu += sign * step.gpu
        self.runs += sign


class TenantUsage:
    """The usage of all tenants, kept by the dispatcher as it records runs.

    Attributes:
        by_tenant: Maps the name of each tenant with live runs to its Usage.
        logged_ms: Maps the name of a tenant to the monotonic time at which
            it was last logged to be at its limit.
    """

    __slots__ = ("by_tenant", "logged_ms")

    def __init__(self):
        self.by_tenant = {}
        self.logged_ms = {}

    def add_run(self, job, step):
        """Counts a run; a job without a tenant has no limit."""
        if job.tenant:
            usage = self.by_tenant.get(job.tenant)
            if usage is None:
                usage = self.by_tenant[job.tenant] = Usage()
            usage.add(step)

    def remove_run(self, job, step):
        """Removes a run that ``add_run`` has counted."""
        if job.tenant:
            usage = self.by_tenant[job.tenant]
            usage.add(step, -1)
            if not usage.runs:
                del self.by_tenant[job.tenant]

    def of(self, name):
        """Returns the Usage of a tenant."""
        return self.by_tenant.get(name) or Usage()

    def log_limit(self, tenant, step, now_ms):
        """Logs that a limit has held back a task, at most once a while."""
        logged_ms = self.logged_ms.get(tenant.name)
        if logged_ms is not None and now_ms - logged_ms < LIMIT_LOG_MS:
            return
        if len(self.logged_ms) > len(self.by_tenant) + 1_000:
            self.logged_ms.clear()
        self.logged_ms[tenant.name] = now_ms
        usage = self.of(tenant.name)
        logger.info(
            "Tenant at its limit.",
            tenant=tenant.name,
            running=usage.to_document(),
            limit=tenant.max_running.to_document(),
            task_cpu_milli=step.cpu_milli,
            task_memory_mb=step.memory_mb,
            task_gpu=step.gpu,
        )


class Allowance:
    """What tenants may start in one pass of decisions.

    The tasks that a pass has chosen count before they are recorded.

    Attributes:
        dispatcher: BatchDispatcher.
        tenants: Maps name to Tenant, in the newest table in force.
        left: Maps name to Usage, what the tenant may still start; without
            a limit on a resource, infinite.
    """

    __slots__ = ("dispatcher", "tenants", "left")

    def __init__(self, dispatcher):
        self.dispatcher = dispatcher
        self.tenants = dispatcher.state.routes.table.tenants.by_name
        self.left = {}

    def allows(self, name, step, count=1):
        """Returns whether a number of tasks of a step may start together.

        A tenant that the table no longer has is not limited by it. One with
        less than half of its limit running may start one more task of any
        size: a task of more than half of the limit would otherwise wait for
        ever beside a lasting one.

        Args:
            name: Name of the tenant.
            step: Step, or the LeastNeed of several.
            count: Number of tasks.
        """
        tenant = self.tenants.get(name)
        if tenant is None:
            return True
        left = self.left.get(name)
        if left is None:
            left = self.left[name] = compute_left(
                tenant.max_running, self.dispatcher.usage.of(name)
            )
        if (
            count * step.cpu_milli <= left.cpu_milli
            and count * step.memory_mb <= left.memory_mb
            and count * step.gpu <= left.gpu
        ):
            return True
        if count == 1 and has_half_left(tenant.max_running, left):
            return True
        self.dispatcher.usage.log_limit(tenant, step, self.dispatcher.now_ms)
        return False

    def take(self, job, step):
        """Counts a task that is about to start, after ``allows``."""
        left = self.left.get(job.tenant)
        if left is not None:
            left.add(step, -1)


def open_allowance(dispatcher):
    """Returns the Allowance for one pass, or None if there are no tenants."""
    if dispatcher.state.routes.table.tenants is None:
        return None
    return Allowance(dispatcher)


def may_start(dispatcher, job, step, count=1):
    """Returns whether tasks of a step may start together, in a new pass."""
    allowance = open_allowance(dispatcher)
    return allowance is None or allowance.allows(job.tenant, step, count)


def compute_left(limit, usage):
    """Returns what may start beside ``usage`` within a limit.

    Each resource of the limit that is 0 is not limited. A task that does not
    need a resource starts even if a lowered limit has been exceeded there.

    Args:
        limit: Resources.
        usage: Usage.
    """
    left = Usage()
    for name in limit.__slots__:
        maximum, used = getattr(limit, name), getattr(usage, name)
        setattr(left, name, max(0, maximum - used) if maximum else math.inf)
    return left


def has_half_left(limit, left):
    """Returns whether more than half of each limited resource is left.

    Args:
        limit: Resources.
        left: Usage, what may still start within the limit.
    """
    return all(
        not getattr(limit, name)
        or 2 * getattr(left, name) > getattr(limit, name)
        for name in limit.__slots__
    )


def exceeds_limit(dispatcher, job, step):
    """Returns whether a run that was assigned must not start any more.

    That is so if its tenant is above its limit, and would have half of it
    running without the run. The limit was lowered then.
    """
    if not is_above_limit(dispatcher, job):
        return False
    limit = dispatcher.state.routes.table.tenants.by_name[
        job.tenant
    ].max_running
    usage = dispatcher.usage.of(job.tenant)
    return any(
        getattr(limit, name)
        and 2 * (getattr(usage, name) - getattr(step, name))
        >= getattr(limit, name)
        for name in limit.__slots__
    )


def is_above_limit(dispatcher, job):
    """Returns whether the tenant of a job has more running than its limit.

    That is so after the limit was lowered, or after one large task.
    """
    tenants = dispatcher.state.routes.table.tenants
    if tenants is None:
        return False
    tenant = tenants.by_name.get(job.tenant)
    if tenant is None:
        return False
    limit, usage = tenant.max_running, dispatcher.usage.of(job.tenant)
    return any(
        0 < getattr(limit, resource) < getattr(usage, resource)
        for resource in limit.__slots__
    )


def find_excess(step, limit):
    """Returns why no task of a step can ever run, or "".

    The members of a gang run together, so they count together.

    Args:
        step: Step.
        limit: Resources that the tenant may have running.
    """
    members = step.count if step.gang else 1
    for name in limit.__slots__:
        need, maximum = members * getattr(step, name), getattr(limit, name)
        if maximum and need > maximum:
            what = "a gang" if step.gang else "a task"
            return (
                f"{what} needs {name} {need}, but the tenant may have "
                f"{maximum} running"
            )
    return ""

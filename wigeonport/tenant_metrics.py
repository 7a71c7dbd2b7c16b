"""Metrics of tenants, which the leader sets once a second."""

from wigeonport.batch_jobs import QUEUED

PREFIX = "tenants_"
# More tenants have no metrics: each has five, and a process holds all in
# memory and in each answer with its metrics.
MAX_TENANTS = 100
INTERVAL_MS = 1_000


def publish_tenants(dispatcher, metrics, now_ms):
    """Sets the gauges of the first tenants of the table, when they are due.

    Args:
        dispatcher: BatchDispatcher.
        metrics: Metrics.
        now_ms: Monotonic time.
    """
    tenants = dispatcher.state.routes.table.tenants
    admissions = dispatcher.admissions
    if tenants is None:
        if admissions.published_ms is not None:
            clear_tenants(metrics)
            admissions.published_ms = None
        return
    published_ms = admissions.published_ms
    if published_ms is not None and now_ms - published_ms < INTERVAL_MS:
        return
    admissions.published_ms = now_ms
    clear_tenants(metrics)
    waiting = count_waiting(dispatcher)
    for name in list(tenants.by_name)[:MAX_TENANTS]:
        usage = dispatcher.usage.of(name)
        values = {
            "running_runs": usage.runs,
            "running_cpu_milli": usage.cpu_milli,
            "running_memory_mb": usage.memory_mb,
            "waiting_jobs": waiting.get(name, 0),
            "refused_jobs": admissions.refused.get(name, 0),
        }
        for what, value in values.items():
            metrics.set(f"{PREFIX}{what}/{name}", value)


def count_waiting(dispatcher):
    """Returns a dict of tenant to the number of its jobs without a start."""
    counts = {}
    for job in dispatcher.active.values():
        if job.state == QUEUED:
            counts[job.tenant] = counts.get(job.tenant, 0) + 1
    return counts


def clear_tenants(metrics):
    """Removes the gauges, because the tenants or the leader may change."""
    for name in [name for name in metrics.gauges if name.startswith(PREFIX)]:
        del metrics.gauges[name]

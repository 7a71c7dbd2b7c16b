"""Admission of jobs: which submissions of a tenant are refused.

A job that can never run is refused for good. What a tenant submits beyond its
rate is refused only under pressure: while the pool, or the tenant's limit,
can't have all of its waiting jobs in time. A tenant within its rate is not
refused, whatever others send.
"""

from wigeonport.batch_calls import INVALID, REJECTED, BatchReply
from wigeonport.batch_specs import job_spec_from_json
from wigeonport.job_paths import split_job_path
from wigeonport.logs import PartLogger
from wigeonport.task_placements import current_ranking
from wigeonport.tenant_buckets import rate_of
from wigeonport.tenant_usage import find_excess

logger = PartLogger("tenants")

# What decoding a malformed specification raises. The job is refused for it
# when it is recorded.
SPEC_ERRORS = (AttributeError, KeyError, RecursionError, TypeError, ValueError)
# Minimum time between two lines on refused submissions, and the most tenants
# that a line names.
REFUSAL_LOG_MS = 1_000
MAX_LOGGED_TENANTS = 10


def refuse_submission(dispatcher, tenant, queue, call):
    """Returns the BatchReply that refuses a new job, or None to accept it.

    A resubmission of an accepted job is never refused.

    Args:
        dispatcher: BatchDispatcher.
        tenant: Tenant that submits the job, or None if the queue asks for no
            key.
        queue: Queue of the job.
        call: BatchCall.
    """
    if tenant is None:
        return None
    job_id = split_job_path(call.path)[1]
    if dispatcher.state.batch.has_accepted(job_id):
        return None
    return refuse_impossible(tenant, call, job_id) or refuse_excess(
        dispatcher, tenant, queue
    )


def refuse_impossible(tenant, call, job_id):
    """Returns the refusal of a job that can never run within the limit."""
    try:
        spec = job_spec_from_json(call.spec_json)
    except SPEC_ERRORS:
        return None
    for number, step in enumerate(spec.steps):
        excess = find_excess(step, tenant.max_running)
        if excess:
            reason = f"step {number} can never run: {excess}"
            logger.warning(
                "Job refused.", job=job_id, tenant=tenant.name, fault=reason
            )
            return BatchReply(INVALID, reason)
    return None


def refuse_excess(dispatcher, tenant, queue):
    """Returns the refusal of a job beyond the rate of its tenant, or None.

    A job that is accepted counts, also without pressure.
    """
    now_ms = dispatcher.wall_ms
    admissions = dispatcher.admissions
    bucket = admissions.bucket_of(tenant, now_ms)
    if bucket.tokens >= 1 or not is_under_pressure(dispatcher, tenant, queue):
        bucket.take()
        return None
    return_ms = bucket.promise_return(rate_of(tenant), now_ms)
    admissions.count_refusal(tenant.name)
    log_refusals(admissions, queue, return_ms, now_ms)
    return BatchReply(
        REJECTED, "the tenant submits more than its rate", return_ms
    )


def is_under_pressure(dispatcher, tenant, queue):
    """Returns whether not all jobs that wait for a pool can be in time.

    A tenant at its limit is under pressure alone.
    """
    ranking = current_ranking(dispatcher, queue.service, dispatcher.wall_ms)
    shares = ranking.pool.shares
    return shares is not None and (
        shares.full or tenant.name in shares.limited
    )


def log_refusals(admissions, queue, return_ms, now_ms):
    """Logs the refusals since the last line, at most once a second."""
    logged_ms = admissions.logged_ms
    if logged_ms is not None and 0 <= now_ms - logged_ms < REFUSAL_LOG_MS:
        return
    counts = sorted(admissions.unlogged.items(), key=lambda row: -row[1])
    logger.warning(
        "Submissions refused.",
        queue=queue.name,
        tenants=dict(counts[:MAX_LOGGED_TENANTS]),
        refused=sum(admissions.unlogged.values()),
        return_ms=return_ms,
    )
    admissions.unlogged = {}
    admissions.logged_ms = now_ms

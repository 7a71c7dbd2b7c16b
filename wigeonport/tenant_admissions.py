"""Admission of jobs: which submissions of a tenant are refused."""

from wigeonport.batch_calls import INVALID, BatchReply
from wigeonport.batch_specs import job_spec_from_json
from wigeonport.job_paths import split_job_path
from wigeonport.logs import PartLogger
from wigeonport.tenant_usage import find_excess

logger = PartLogger("tenants")

# What decoding a malformed specification raises. The job is refused for it
# when it is recorded.
SPEC_ERRORS = (AttributeError, KeyError, RecursionError, TypeError, ValueError)


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
    return refuse_impossible(tenant, call, job_id)


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

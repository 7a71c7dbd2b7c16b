"""Handlers of callers' requests about jobs, registered by verb.

Each takes the dispatcher, the BatchCall, its Queue, the job id in the path,
which is "" for a request about the whole queue, and the Tenant of the caller,
which is None if the queue requires no key. It returns the BatchReply.

A job is found under the path at which it was accepted, also if the prefix
belongs to another queue by now, and under that of its queue. Under any other
path it does not exist, so that no caller gets at the job of another. Nor
does it exist for a caller with the key of another tenant.
"""

from wigeonport.batch_calls import (
    CANCEL,
    COUNT,
    GONE,
    INVALID,
    NO_JOB,
    NO_QUEUE,
    OK,
    REJECTED,
    STATE,
    SUBMIT,
    BatchReply,
)
from wigeonport.batch_commands import AddTombstone, CancelJob, SubmitJob
from wigeonport.batch_jobs import QUEUED
from wigeonport.batch_specs import job_spec_from_json
from wigeonport.job_paths import is_job_id, split_job_path
from wigeonport.logs import PartLogger
from wigeonport.memory_admissions import refuse_for_memory
from wigeonport.registries import Registry
from wigeonport.tenant_admissions import refuse_submission
from wigeonport.tenant_keys import authenticate, may_reach

logger = PartLogger("dispatch")

call_handlers = Registry("batch call")

READS = (STATE, COUNT)
# What decoding the specification of a job raises if it is malformed; the job
# has not been added then.
SPEC_ERRORS = (AttributeError, KeyError, RecursionError, TypeError, ValueError)


def answer_call(dispatcher, call):
    """Returns the BatchReply to a call about jobs."""
    queue, rest = dispatcher.state.routes.table.split(call.host, call.path)
    if queue is not None and is_job_id(rest):
        return answer_by_verb(dispatcher, call.verb, call, queue, rest)
    if queue is not None and not rest and call.verb in READS:
        return answer_by_verb(dispatcher, COUNT, call, queue, rest)
    if call.verb == CANCEL:
        return cancel_former(dispatcher, call)
    return BatchReply(NO_QUEUE)


def answer_by_verb(dispatcher, verb, call, queue, job_id):
    """Returns the BatchReply of the handler that a verb is registered for.

    A call without a valid key is refused before anything else is decided.
    """
    table = dispatcher.state.routes.table
    tenant = authenticate(table, queue, call.api_key)
    if tenant.is_error():
        return tenant.error
    handler = call_handlers.get(verb)
    if handler.is_error():
        return BatchReply(INVALID, handler.error)
    return handler.ok(dispatcher, call, queue, job_id, tenant.ok)


def find_job(dispatcher, queue, job_id, tenant):
    """Returns the job that a path names for a caller, or None.

    Args:
        dispatcher: BatchDispatcher.
        queue: Queue that the path selects.
        job_id: Job id in the path.
        tenant: Tenant of the caller, or None if the queue requires no key.
    """
    job = dispatcher.state.batch.jobs.get(job_id)
    if job is None or not may_reach(tenant, job):
        return None
    if job.queue == queue.name:
        return job
    former = dispatcher.state.routes.former_names(
        queue.host, queue.path_prefix
    )
    return job if job.queue in former else None


def cancel_former(dispatcher, call):
    """Cancels a job at a path that belongs to no queue, or not any more.

    The caller of a job whose queue has moved knows no other path. The reply
    is that there is no such job, which is so for every other request to the
    path. The queue of the job decides whether a key is required; without it,
    the reply is that there is no such queue, as for a job that never existed.
    """
    prefix, job_id = split_job_path(call.path)
    if not job_id:
        return BatchReply(NO_QUEUE)
    routes = dispatcher.state.routes
    job = dispatcher.state.batch.jobs.get(job_id)
    former = routes.former_names(call.host, prefix)
    if job is None:
        tenant = authenticate(routes.table, None, call.api_key)
        refusal = None
        if tenant.is_ok():
            refusal = bar_unknown(dispatcher, job_id, tenant.ok)
        return refusal or BatchReply(NO_QUEUE)
    if job.queue not in former:
        return BatchReply(NO_QUEUE)
    tenant = authenticate(
        routes.table, routes.queue_of(job.queue), call.api_key
    )
    if tenant.is_error() or not may_reach(tenant.ok, job):
        return BatchReply(NO_QUEUE)
    if job.active:
        dispatcher.record(CancelJob(job_id))
    return BatchReply(NO_JOB)


@call_handlers.register(SUBMIT)
def submit(dispatcher, call, queue, job_id, tenant):
    """Accepts a job; accepting the same job id again has no effect.

    The job belongs to the tenant of its first accepted submission for good.
    """
    batch = dispatcher.state.batch
    found = find_job(dispatcher, queue, job_id, tenant)
    if job_id in batch.jobs and found is None:
        logger.warning(
            "Job refused.", job=job_id, fault="its id is in use elsewhere"
        )
        return BatchReply(
            INVALID, "the job id is in use in another queue or tenant"
        )
    if batch.has_accepted(job_id):
        return BatchReply(OK)
    owner = tenant.name if tenant is not None else None
    if batch.tombstones.covers(owner, job_id):
        return BatchReply(
            GONE, "the job was cancelled before it arrived and never runs"
        )
    try:
        spec = job_spec_from_json(call.spec_json)
        refusal = refuse_for_memory(
            dispatcher, tenant, spec
        ) or refuse_submission(dispatcher, tenant, queue, call)
        if refusal is not None:
            return refusal
        dispatcher.record(SubmitJob(job_id, queue.name, call.spec_json, owner))
    except SPEC_ERRORS as error:
        logger.warning("Job refused.", job=job_id, fault=type(error).__name__)
        return BatchReply(INVALID, "the job cannot be decoded")
    return BatchReply(OK)


@call_handlers.register(STATE)
def show_state(dispatcher, call, queue, job_id, tenant):
    """Returns the state of a job."""
    job = find_job(dispatcher, queue, job_id, tenant)
    return BatchReply(OK, job.state) if job else BatchReply(NO_JOB)


@call_handlers.register(CANCEL)
def cancel(dispatcher, call, queue, job_id, tenant):
    """Cancels a job if it is active, and returns its state."""
    job = find_job(dispatcher, queue, job_id, tenant)
    if job is None:
        return bar_unknown(dispatcher, job_id, tenant) or BatchReply(NO_JOB)
    if job.active:
        dispatcher.record(CancelJob(job_id))
    return BatchReply(OK, job.state)


def bar_unknown(dispatcher, job_id, tenant):
    """Bars an id that was cancelled before any submission of it arrived.

    Args:
        dispatcher: BatchDispatcher.
        job_id: Id of the job.
        tenant: Tenant of the caller, or None without a key.

    Returns:
        The BatchReply that refuses the cancellation if there is no room for
        a tombstone, otherwise None.
    """
    batch = dispatcher.state.batch
    owner = tenant.name if tenant is not None else ""
    if batch.has_accepted(job_id) or batch.tombstones.covers(owner, job_id):
        return None
    wait_ms = batch.tombstones.find_wait(owner, dispatcher.wall_ms)
    if wait_ms:
        return BatchReply(
            REJECTED, "too many unknown jobs were cancelled", wait_ms
        )
    dispatcher.record(AddTombstone(job_id, owner))
    return None


@call_handlers.register(COUNT)
def count_waiting(dispatcher, call, queue, job_id, tenant):
    """Returns the number of jobs of a queue with no task started yet."""
    number = sum(
        job.state == QUEUED and job.queue == queue.name
        for job in dispatcher.active.values()
    )
    return BatchReply(OK, "", number)

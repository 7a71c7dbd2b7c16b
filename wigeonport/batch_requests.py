"""Handlers of callers' requests about jobs, registered by verb.

Each takes the dispatcher, the BatchCall, its Queue and the job id in the
path, which is "" for a request about the whole queue, and returns the
BatchReply.

A job is found under the path at which it was accepted, also if the prefix
belongs to another queue by now, and under that of its queue. Under any other
path it does not exist, so that no caller gets at the job of another.
"""

from wigeonport.batch_calls import (
    CANCEL,
    COUNT,
    INVALID,
    NO_JOB,
    NO_QUEUE,
    OK,
    STATE,
    SUBMIT,
    BatchReply,
)
from wigeonport.batch_commands import CancelJob, SubmitJob
from wigeonport.batch_jobs import QUEUED
from wigeonport.job_paths import is_job_id, split_job_path
from wigeonport.logs import PartLogger
from wigeonport.registries import Registry

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
    """Returns the BatchReply of the handler that a verb is registered for."""
    handler = call_handlers.get(verb)
    if handler.is_error():
        return BatchReply(INVALID, handler.error)
    return handler.ok(dispatcher, call, queue, job_id)


def find_job(dispatcher, queue, job_id):
    """Returns the job that a path names, or None.

    Args:
        dispatcher: BatchDispatcher.
        queue: Queue that the path selects.
        job_id: Job id in the path.
    """
    job = dispatcher.state.batch.jobs.get(job_id)
    if job is None or job.queue == queue.name:
        return job
    former = dispatcher.state.routes.former_names(
        queue.host, queue.path_prefix
    )
    return job if job.queue in former else None


def cancel_former(dispatcher, call):
    """Cancels a job at its former path, which belongs to no queue any more.

    Its caller knows no other path. The reply is that there is no such job,
    which is so for every other request to the path.
    """
    prefix, job_id = split_job_path(call.path)
    job = dispatcher.state.batch.jobs.get(job_id)
    former = dispatcher.state.routes.former_names(call.host, prefix)
    if job is None or job.queue not in former:
        return BatchReply(NO_QUEUE)
    if job.active:
        dispatcher.record(CancelJob(job_id))
    return BatchReply(NO_JOB)


@call_handlers.register(SUBMIT)
def submit(dispatcher, call, queue, job_id):
    """Accepts a job; accepting the same job id again has no effect."""
    batch = dispatcher.state.batch
    if job_id in batch.jobs and not find_job(dispatcher, queue, job_id):
        logger.warning(
            "Job refused.", job=job_id, fault="its id is in use elsewhere"
        )
        return BatchReply(INVALID, "the job id is in use in another queue")
    if not batch.has_accepted(job_id):
        try:
            dispatcher.record(SubmitJob(job_id, queue.name, call.spec_json))
        except SPEC_ERRORS as error:
            logger.warning(
                "Job refused.", job=job_id, fault=type(error).__name__
            )
            return BatchReply(INVALID, "the job cannot be decoded")
    return BatchReply(OK)


@call_handlers.register(STATE)
def show_state(dispatcher, call, queue, job_id):
    """Returns the state of a job."""
    job = find_job(dispatcher, queue, job_id)
    return BatchReply(OK, job.state) if job else BatchReply(NO_JOB)


@call_handlers.register(CANCEL)
def cancel(dispatcher, call, queue, job_id):
    """Cancels a job if it is active, and returns its state."""
    job = find_job(dispatcher, queue, job_id)
    if job is None:
        return BatchReply(NO_JOB)
    if job.active:
        dispatcher.record(CancelJob(job_id))
    return BatchReply(OK, job.state)


@call_handlers.register(COUNT)
def count_waiting(dispatcher, call, queue, job_id):
    """Returns the number of jobs of a queue with no task started yet."""
    number = sum(
        job.state == QUEUED and job.queue == queue.name
        for job in dispatcher.active.values()
    )
    return BatchReply(OK, "", number)

"""Handlers of callers' requests about jobs, registered by verb.

Each takes the dispatcher, the BatchCall, its Queue and the rest of the path
after the prefix of the queue (the job id, where there is one), and returns
the BatchReply.
"""

from wigeonport.batch_calls import (
    CANCEL,
    COUNT,
    INVALID,
    NO_JOB,
    OK,
    STATE,
    SUBMIT,
    BatchReply,
)
from wigeonport.batch_commands import CancelJob, SubmitJob
from wigeonport.batch_jobs import QUEUED
from wigeonport.logs import PartLogger
from wigeonport.registries import Registry

logger = PartLogger("dispatch")

call_handlers = Registry("batch call")

# What decoding the specification of a job raises if it is malformed; the job
# has not been added then.
SPEC_ERRORS = (AttributeError, KeyError, RecursionError, TypeError, ValueError)


@call_handlers.register(SUBMIT)
def submit(dispatcher, call, queue, job_id):
    """Accepts a job; accepting the same job id again has no effect."""
    if not dispatcher.state.batch.has_accepted(job_id):
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
    job = dispatcher.state.batch.jobs.get(job_id)
    return BatchReply(OK, job.state) if job else BatchReply(NO_JOB)


@call_handlers.register(CANCEL)
def cancel(dispatcher, call, queue, job_id):
    """Cancels a job if it is active, and returns its state."""
    job = dispatcher.state.batch.jobs.get(job_id)
    if job is None:
        return BatchReply(NO_JOB)
    if job.active:
        dispatcher.record(CancelJob(job_id))
    return BatchReply(OK, job.state)


@call_handlers.register(COUNT)
def count_waiting(dispatcher, call, queue, rest):
    """Returns the number of jobs of a queue with no task started yet."""
    number = sum(
        job.state == QUEUED and job.queue == queue.name
        for job in dispatcher.active.values()
    )
    return BatchReply(OK, "", number)

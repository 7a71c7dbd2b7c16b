"""Handlers for submissions, cancellations, task and usage reports."""

from wigeonport.estimates import estimate_size, learn_run, learn_usage
from wigeonport.job_tables import (
    CANCELLED,
    CANCELLING,
    FINISHED,
    RUNNING,
    STARTING,
    UNRUNNABLE,
)
from wigeonport.plan_commands import CheckpointTask, StartTask, StopTask
from wigeonport.plan_events import (
    CHECKPOINTED,
    TASK_FAILED,
    JobsCancelled,
    JobSubmitted,
    TaskReported,
    UsageReported,
)
from wigeonport.plan_events import FINISHED as TASK_FINISHED
from wigeonport.plan_events import RUNNING as TASK_RUNNING
from wigeonport.plan_events import STOPPED as TASK_STOPPED
from wigeonport.plan_events import THROTTLED as TASK_THROTTLED
from wigeonport.plan_registries import event_handlers, refusals
from wigeonport.preemptions import apply_throttle
from wigeonport.registries import Registry

RETRY_BASE_MS = 1_000
RETRY_MAX_MS = 60_000

task_reports = Registry("task report")


@event_handlers.register(JobSubmitted)
def handle_submission(view, event, now_ms):
    """Adds a job; a submission with a known id has no effect."""
    job = view.jobs.add(event, now_ms)
    if job is None:
        return ()
    reason = find_unknown_name(view, event)
    if reason:
        view.jobs.finish(job, UNRUNNABLE, reason)
        view.jobs.unreported_unrunnable.append(job)
        return tuple(view.fleet.pools)[:1]
    others_wait = len(view.jobs.queue_of(job)) > 1
    # A job behind others in its queue can wait for the next full plan.
    return (event.pool,) if event.urgent or not others_wait else ()


def find_unknown_name(view, submitted):
    """Returns which pool or team of a job does not exist, as text, or ""."""
    if submitted.pool not in view.fleet.pools:
        return f"there is no pool {submitted.pool}"
    if submitted.team not in view.fleet.teams:
        return f"there is no team {submitted.team}"
    return ""


@event_handlers.register(JobsCancelled)
def handle_cancellation(view, event, now_ms):
    """Cancels waiting jobs at once; collects running ones for one command."""
    table = view.jobs
    names = list(event.jobs)
    if event.team:
        names.extend(table.by_team.get(event.team, ()))
    pools = {}
    for name in names:
        job = table.jobs.get(name)
        if job is None or job.state == CANCELLING:
            continue
        pools[job.submitted.pool] = None
        if job.vm is None:
            table.finish(job, CANCELLED)
        else:
            job.state = CANCELLING
            table.cancelled.append(name)
    return tuple(pools)


@event_handlers.register(UsageReported)
def handle_usage(view, event, now_ms):
    """Adds the usage of a job, which may have ended, to its history."""
    job = view.jobs.find(event.job)
    if job is not None:
        learn_usage(view.jobs, job, event.used)
    return ()


@event_handlers.register(TaskReported)
def handle_task(view, event, now_ms):
    """Applies a task report; ignores those about earlier attempts."""
    job = view.jobs.jobs.get(event.job)
    if job is None:
        return ()
    if event.attempt > job.attempt:
        adopt_attempt(view, job, event, now_ms)
    if (job.vm, job.attempt) != (event.vm, event.attempt):
        return ()
    task_reports.entries[event.state](view, job, now_ms)
    return (job.submitted.pool,)


def adopt_attempt(view, job, event, now_ms):
    """Records a later attempt, which another planner has started as leader.

    Followers apply task reports too, so that a new leader knows the tasks
    that its predecessor started.
    """
    if event.vm not in view.fleet.vms:
        return
    size = estimate_size(view.jobs, job)
    view.jobs.unbind(job)
    job.attempt = event.attempt - 1
    view.jobs.bind(job, event.vm, size, now_ms)


@task_reports.register(TASK_RUNNING)
def handle_task_running(view, job, now_ms):
    """Records that a task has started to run."""
    if job.state == STARTING:
        job.state = RUNNING
        job.started_ms = now_ms


@task_reports.register(TASK_FINISHED)
def handle_task_finished(view, job, now_ms):
    """Finishes a job and records its run time."""
    view.faults.record_success(job.vm, now_ms)
    learn_run(view.jobs, job, now_ms - job.started_ms)
    view.jobs.finish(job, FINISHED)


@task_reports.register(TASK_FAILED)
def handle_task_failed(view, job, now_ms):
    """Queues a failed job again after a backoff, or ends it as unrunnable."""
    view.faults.record_failure(job.vm, job.name, now_ms)
    if job.state == CANCELLING:
        view.jobs.finish(job, CANCELLED)
        return
    job.failed_on[job.vm] = None
    view.jobs.unbind(job)
    reason = find_failure_cause(view, job)
    if reason:
        view.jobs.finish(job, UNRUNNABLE, reason)
        view.jobs.unreported_unrunnable.append(job)
        return
    delay_ms = RETRY_BASE_MS * 2 ** (len(job.failed_on) - 1)
    job.retry_ms = now_ms + min(delay_ms, RETRY_MAX_MS)
    view.jobs.enqueue(job)


def find_failure_cause(view, job):
    """Returns why the failures of a job count as its own, or "".

    Only failures on workers that finish other jobs count against a job.
    """
    succeeding_count = sum(
        view.faults.finishes_tasks(vm) for vm in job.failed_on
    )
    if succeeding_count >= view.settings.job_failed_workers:
        return f"failed on {succeeding_count} workers that finish other jobs"
    members = view.fleet.pools[job.submitted.pool].members
    if succeeding_count and job.failed_on.keys() >= members.keys():
        return "failed on every worker of its pool"
    return ""


@task_reports.register(CHECKPOINTED)
@task_reports.register(TASK_STOPPED)
def handle_task_stopped(view, job, now_ms):
    """Queues a job whose task was checkpointed or stopped."""
    requeue(view, job)


def requeue(view, job):
    """Frees the worker of a job and queues it; ends a cancelled job."""
    if job.state == CANCELLING:
        view.jobs.finish(job, CANCELLED)
        return
    view.jobs.unbind(job)
    view.jobs.enqueue(job)


@task_reports.register(TASK_THROTTLED)
def handle_task_throttled(view, job, now_ms):
    """Releases the cores that a throttled task no longer uses."""
    apply_throttle(view, job)


@refusals.register(StartTask)
@refusals.register(CheckpointTask)
@refusals.register(StopTask)
def refuse_task(view, command, now_ms):
    """Queues a job whose task, as the platform answers, is not running."""
    job = view.jobs.jobs.get(command.job)
    if job is None or (job.vm, job.attempt) != (command.vm, command.attempt):
        return
    requeue(view, job)
    job.retry_ms = now_ms + RETRY_BASE_MS

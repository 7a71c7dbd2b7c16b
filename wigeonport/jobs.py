"""Life of a job: submission, task reports, leases, cancellation, drains."""

from wigeonport.availabilities import is_heard
from wigeonport.estimates import (
    estimate_run_ms,
    estimate_size,
    learn_run,
    learn_usage,
)
from wigeonport.job_tables import (
    CANCELLED,
    CANCELLING,
    ENDING,
    FINISHED,
    NEVER,
    RUNNING,
    STARTING,
)
from wigeonport.placements import PoolPlacement
from wigeonport.plan_commands import (
    CancelJobs,
    CheckpointTask,
    RenewTasks,
    ReportJob,
)
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
from wigeonport.plan_registries import event_handlers, stages
from wigeonport.preemptions import (
    advance_preemptions,
    apply_throttle,
    restore_throttled,
)
from wigeonport.registries import Registry
from wigeonport.views import FAILED
from wigeonport.worker_faults import review_workers

RENEWALS_PER_LEASE = 6
RETRY_BASE_MS = 1_000
RETRY_LONGEST_MS = 60_000
# A task that ends within this share of the drain bound is left to end.
DRAIN_WAIT_SHARE = 0.5

task_reports = Registry("task report")


@event_handlers.register(JobSubmitted)
def handle_submission(view, event, now_ms):
    """Adds a job; a repeated id has no effect."""
    job = view.jobs.add(event, now_ms)
    if job is None:
        return ()
    reason = find_unknown(view, event)
    if reason:
        view.jobs.finish(job, NEVER, reason)
        view.jobs.verdicts.append(job)
        return tuple(view.fleet.pools)[:1]
    others_wait = len(view.jobs.queue_of(job)) > 1
    # Behind others the job can wait for the next full plan.
    return (event.pool,) if event.urgent or not others_wait else ()


def find_unknown(view, submitted):
    """Returns which name of a submission the fleet does not know, or ""."""
    if submitted.pool not in view.fleet.pools:
        return f"there is no pool {submitted.pool}"
    if submitted.team not in view.fleet.teams:
        return f"there is no team {submitted.team}"
    return ""


@event_handlers.register(JobsCancelled)
def handle_cancellation(view, event, now_ms):
    """Cancels jobs; the running ones are collected for one command."""
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
    """Learns from a usage report, also after the job has ended."""
    job = view.jobs.find(event.job)
    if job is not None:
        learn_usage(view.jobs, job, event.used)
    return ()


@event_handlers.register(TaskReported)
def handle_task(view, event, now_ms):
    """Applies a report about the current attempt; others are late."""
    job = view.jobs.jobs.get(event.job)
    if job is None:
        return ()
    if job.vm is None and job.submitted.may_run:
        adopt_task(view, job, event, now_ms)
    if (job.vm, job.attempt) != (event.vm, event.attempt):
        return ()
    task_reports.entries[event.state](view, job, now_ms)
    return (job.submitted.pool,)


def adopt_task(view, job, event, now_ms):
    """Takes over a task that an earlier leader has started."""
    known = event.vm in view.fleet.vms
    if known and event.attempt > job.attempt and event.state == TASK_RUNNING:
        size = estimate_size(view.jobs, job)
        job.attempt = event.attempt - 1
        view.jobs.bind(job, event.vm, size, now_ms)


@task_reports.register(TASK_RUNNING)
def note_running(view, job, now_ms):
    """Records the start of a task."""
    if job.state == STARTING:
        job.state = RUNNING
        job.started_ms = now_ms


@task_reports.register(TASK_FINISHED)
def note_finished(view, job, now_ms):
    """Ends a job that has run to its end."""
    view.faults.note_success(job.vm, now_ms)
    learn_run(view.jobs, job, now_ms - job.started_ms)
    view.jobs.finish(job, FINISHED)


@task_reports.register(TASK_FAILED)
def note_failed(view, job, now_ms):
    """Retries a failed job elsewhere, or finds that it can never run."""
    view.faults.note_failure(job.vm, job.name, now_ms)
    if job.state == CANCELLING:
        view.jobs.finish(job, CANCELLED)
        return
    job.failed_on[job.vm] = None
    view.jobs.unbind(job)
    reason = find_fault(view, job)
    if reason:
        view.jobs.finish(job, NEVER, reason)
        view.jobs.verdicts.append(job)
        return
    delay_ms = RETRY_BASE_MS * 2 ** (len(job.failed_on) - 1)
    job.retry_ms = now_ms + min(delay_ms, RETRY_LONGEST_MS)
    view.jobs.enqueue(job)


def find_fault(view, job):
    """Returns why the failures of a job are its own, or "".

    Only failures on workers that finish other jobs speak against it.
    """
    trusted = sum(view.faults.is_trusted(vm) for vm in job.failed_on)
    if trusted >= view.settings.job_failed_workers:
        return f"failed on {trusted} workers that finish other jobs"
    members = view.fleet.pools[job.submitted.pool].members
    if trusted and job.failed_on.keys() >= members.keys():
        return "failed on every worker of its pool"
    return ""


@task_reports.register(CHECKPOINTED)
@task_reports.register(TASK_STOPPED)
def note_ended(view, job, now_ms):
    """Queues a job whose task gave way, or ends a cancelled one."""
    requeue(view, job)


def requeue(view, job):
    """Frees the worker of a job that is to run again, if not cancelled."""
    if job.state == CANCELLING:
        view.jobs.finish(job, CANCELLED)
        return
    view.jobs.unbind(job)
    view.jobs.enqueue(job)


@task_reports.register(TASK_THROTTLED)
def note_throttled(view, job, now_ms):
    """Frees the processors of a throttled task."""
    apply_throttle(view, job)


@stages.register("jobs")
def plan(view, now_ms, random):
    """Reviews workers, ends, renews and starts tasks."""
    commands = review_workers(view, now_ms)
    commands.extend(report_verdicts(view))
    commands.extend(cancel_running(view))
    expire_leases(view, now_ms)
    keep_stuck_tasks(view, now_ms)
    commands.extend(checkpoint_drained(view, now_ms))
    commands.extend(advance_preemptions(view, now_ms))
    for pool in view.pools():
        commands.extend(place_waiting(view, pool, now_ms, random))
    commands.extend(restore_throttled(view, now_ms))
    if view.is_full():
        commands.extend(renew_all_leases(view, now_ms))
    return commands


def report_verdicts(view):
    """Returns a report for each job found never to run."""
    jobs, view.jobs.verdicts = view.jobs.verdicts, []
    return [ReportJob(job.name, job.state, job.reason) for job in jobs]


def cancel_running(view):
    """Returns one command for all cancelled jobs that still run."""
    names, view.jobs.cancelled = view.jobs.cancelled, []
    running = tuple(name for name in names if name in view.jobs.jobs)
    return [CancelJobs(running)] if running else []


def place_waiting(view, pool, now_ms, random):
    """Places the waiting jobs of a pool, if there are any."""
    table = view.jobs
    if not table.waiting.get(pool.name) and not table.urgent.get(pool.name):
        return []
    return PoolPlacement(view, pool, now_ms, random).run()


def jobs_on(view, vm):
    """Returns the jobs on a worker."""
    return [view.jobs.jobs[name] for name in view.jobs.tasks_on(vm.name)]


def expire_leases(view, now_ms):
    """Queues jobs again whose lease has ended; no worker runs them now."""
    if view.is_full():
        # Includes workers that the present version no longer lists.
        vm_names = list(view.jobs.on_vm)
    else:
        vm_names = [name for pool in view.pools() for name in pool.members]
    for vm_name in vm_names:
        for name in list(view.jobs.tasks_on(vm_name)):
            job = view.jobs.jobs[name]
            if now_ms >= job.lease_until_ms:
                requeue(view, job)


def renew_all_leases(view, now_ms):
    """Renews the leases of all pools, a few times in the time of a lease."""
    interval_ms = view.settings.task_lease_ms // RENEWALS_PER_LEASE
    if now_ms - view.jobs.renewed_ms < interval_ms:
        return []
    view.jobs.renewed_ms = now_ms
    commands = []
    for pool in view.pools():
        commands.extend(renew_leases(view, pool, now_ms))
    return commands


def renew_leases(view, pool, now_ms):
    """Renews the leases in their second half by one command for a pool."""
    lease_ms = view.settings.task_lease_ms
    names = []
    for vm_name in pool.members:
        vm = view.fleet.vms[vm_name]
        if vm.state == FAILED or not is_heard(view, vm, now_ms):
            continue
        for job in jobs_on(view, vm):
            ends_soon = job.lease_until_ms - now_ms <= lease_ms // 2
            if ends_soon and may_renew(view, job, now_ms):
                job.lease_until_ms = now_ms + lease_ms
                names.append(job.name)
    if not names:
        return []
    attempts = tuple(view.jobs.jobs[name].attempt for name in names)
    until_ms = now_ms + lease_ms
    return [RenewTasks(pool.name, tuple(names), attempts, until_ms)]


def may_renew(view, job, now_ms):
    """Returns whether a task still has a reason to run.

    A task that was never reported as running is not renewed, so that its
    job is free to start elsewhere when the lease ends.
    """
    if job.state == STARTING:
        waited_ms = now_ms - job.started_ms
        return waited_ms <= view.settings.start_bound_ms
    return job.state in (RUNNING, ENDING)


def checkpoint_drained(view, now_ms):
    """Checkpoints tasks on draining workers that would outlast the drain."""
    commands = []
    for vm_name in view.operations:
        for job in jobs_on(view, view.fleet.vms[vm_name]):
            if outlasts_drain(view, job, now_ms):
                view.jobs.give_way(job, now_ms)
                commands.append(CheckpointTask(job.name, vm_name, job.attempt))
    return commands


def keep_stuck_tasks(view, now_ms):
    """Lets tasks go on that did not give way, once no one needs their room.

    Otherwise a task that ignores checkpoints would never be asked again.
    """
    table = view.jobs
    for name in list(table.yielding):
        job = table.jobs[name]
        if job.vm in view.operations or job.vm in table.preemptions:
            continue
        if now_ms - job.ending_ms > view.settings.checkpoint_bound_ms:
            del table.yielding[name]
            if job.state == ENDING:
                job.state = RUNNING


def outlasts_drain(view, job, now_ms):
    """Returns whether a task that can be checkpointed runs too long."""
    if job.state != RUNNING or not job.submitted.can_checkpoint:
        return False
    elapsed_ms = now_ms - job.started_ms
    left_ms = estimate_run_ms(view.jobs, job) - elapsed_ms
    bound_ms = view.settings.drain_bound_ms * DRAIN_WAIT_SHARE
    # A task that has outlasted its estimate may run for any time.
    return left_ms > bound_ms or left_ms < 0

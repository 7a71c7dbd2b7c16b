"""Stage of the jobs: leases, cancellation, drains, placement, preemption."""

from wigeonport.availabilities import is_reported_alive
from wigeonport.estimates import estimate_run_ms
from wigeonport.job_events import requeue
from wigeonport.job_tables import ENDING, RUNNING, STARTING
from wigeonport.placements import PoolPlacement
from wigeonport.plan_commands import (
    CancelJobs,
    CheckpointTask,
    RenewTasks,
    ReportJob,
)
from wigeonport.plan_registries import stages
from wigeonport.preemptions import advance_preemptions, unthrottle_tasks
from wigeonport.views import FAILED
from wigeonport.worker_faults import update_quarantines

RENEWAL_CHECKS_PER_LEASE = 6
# A task on a draining worker that is expected to end within this share of
# ``drain_bound_ms`` is not checkpointed.
DRAIN_WAIT_SHARE = 0.5


@stages.register("jobs")
def plan(view, now_ms, random):
    """Updates quarantines, then stops, starts and renews tasks."""
    commands = update_quarantines(view, now_ms)
    commands.extend(report_unrunnable(view))
    commands.extend(send_cancellations(view))
    expire_leases(view, now_ms)
    reset_unyielded_tasks(view, now_ms)
    commands.extend(checkpoint_draining(view, now_ms))
    commands.extend(advance_preemptions(view, now_ms))
    for pool in view.pools():
        commands.extend(place_waiting(view, pool, now_ms, random))
    commands.extend(unthrottle_tasks(view, now_ms))
    if view.plans_all_pools():
        commands.extend(renew_all_leases(view, now_ms))
    return commands


def report_unrunnable(view):
    """Returns a report for each job newly found to be unrunnable."""
    jobs, view.jobs.unreported_unrunnable = view.jobs.unreported_unrunnable, []
    return [ReportJob(job.name, job.state, job.reason) for job in jobs]


def send_cancellations(view):
    """Returns one command that cancels all the tasks still to be stopped."""
    names, view.jobs.cancelled = view.jobs.cancelled, []
    running = tuple(name for name in names if name in view.jobs.jobs)
    return [CancelJobs(running)] if running else []


def place_waiting(view, pool, now_ms, random):
    """Places the waiting jobs of a pool; returns the commands."""
    table = view.jobs
    if not table.waiting.get(pool.name) and not table.urgent.get(pool.name):
        return []
    return PoolPlacement(view, pool, now_ms, random).run()


def jobs_on(view, vm):
    """Returns the Jobs whose tasks are on a worker."""
    return [view.jobs.jobs[name] for name in view.jobs.tasks_on(vm.name)]


def expire_leases(view, now_ms):
    """Queues jobs whose task lease has expired; no worker runs them now."""
    if view.plans_all_pools():
        # Includes workers that the fleet version in force has removed.
        vm_names = list(view.jobs.on_vm)
    else:
        vm_names = [name for pool in view.pools() for name in pool.members]
    for vm_name in vm_names:
        for name in list(view.jobs.tasks_on(vm_name)):
            job = view.jobs.jobs[name]
            if now_ms >= job.lease_until_ms:
                requeue(view, job)


def renew_all_leases(view, now_ms):
    """Renews the task leases that need it.

    Looks for them ``RENEWAL_CHECKS_PER_LEASE`` times per lease time.
    """
    interval_ms = view.settings.task_lease_ms // RENEWAL_CHECKS_PER_LEASE
    if now_ms - view.jobs.renewed_ms < interval_ms:
        return []
    view.jobs.renewed_ms = now_ms
    commands = []
    for pool in view.pools():
        commands.extend(renew_leases(view, pool, now_ms))
    return commands


def renew_leases(view, pool, now_ms):
    """Renews a pool's task leases that are in their second half.

    Leases on workers that have failed or are not reported alive run out.

    Returns:
        One command for all tasks of the pool, or none.
    """
    lease_ms = view.settings.task_lease_ms
    names = []
    for vm_name in pool.members:
        vm = view.fleet.vms[vm_name]
        if vm.state == FAILED or not is_reported_alive(view, vm, now_ms):
            continue
        for job in jobs_on(view, vm):
            ends_soon = job.lease_until_ms - now_ms <= lease_ms // 2
            if ends_soon and may_renew(view, job, now_ms):
                job.lease_until_ms = now_ms + lease_ms
                names.append(job.name)
    if not names:
        return []
    jobs = [view.jobs.jobs[name] for name in names]
    vms = tuple(job.vm for job in jobs)
    attempts = tuple(job.attempt for job in jobs)
    until_ms = now_ms + lease_ms
    return [RenewTasks(pool.name, tuple(names), vms, attempts, until_ms)]


def may_renew(view, job, now_ms):
    """Returns whether the lease of a task may be renewed.

    A task that is not reported as running within ``start_bound_ms`` isn't
    renewed, so that its job can start elsewhere once the lease expires.
    """
    if job.state == STARTING:
        waited_ms = now_ms - job.started_ms
        return waited_ms <= view.settings.start_bound_ms
    return job.state in (RUNNING, ENDING)


def checkpoint_draining(view, now_ms):
    """Checkpoints tasks on draining workers that would outlast the drain."""
    commands = []
    for vm_name in view.operations:
        for job in jobs_on(view, view.fleet.vms[vm_name]):
            if outlasts_drain(view, job, now_ms):
                view.jobs.mark_yielding(job, now_ms)
                commands.append(CheckpointTask(job.name, vm_name, job.attempt))
    return commands


def reset_unyielded_tasks(view, now_ms):
    """Resets tasks that did not yield in time to the running state.

    This applies once the checkpoint bound has passed and neither a drain nor
    a preemption needs their worker. Without it, a task that ignored one
    checkpoint command would never get another.
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
    """Returns whether a checkpointable task is likely to outlast a drain."""
    if job.state != RUNNING or not job.submitted.can_checkpoint:
        return False
    elapsed_ms = now_ms - job.started_ms
    remaining_ms = estimate_run_ms(view.jobs, job) - elapsed_ms
    bound_ms = view.settings.drain_bound_ms * DRAIN_WAIT_SHARE
    # Once a task has outlasted its estimate, its end can't be predicted.
    return remaining_ms > bound_ms or remaining_ms < 0

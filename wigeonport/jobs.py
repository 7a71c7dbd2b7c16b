"""Stage of the jobs: leases, cancellation, drains and placement."""

from wigeonport.availabilities import is_heard
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
from wigeonport.preemptions import advance_preemptions, restore_throttled
from wigeonport.views import FAILED
from wigeonport.worker_faults import review_workers

RENEWALS_PER_LEASE = 6
# A task that ends within this share of the drain bound is left to end.
DRAIN_WAIT_SHARE = 0.5


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
    if view.plans_all_pools():
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
    if view.plans_all_pools():
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
    jobs = [view.jobs.jobs[name] for name in names]
    vms = tuple(job.vm for job in jobs)
    attempts = tuple(job.attempt for job in jobs)
    until_ms = now_ms + lease_ms
    return [RenewTasks(pool.name, tuple(names), vms, attempts, until_ms)]


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

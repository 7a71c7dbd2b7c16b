"""Tasks on the simulated platform and the commands for them."""

from wigeonport.plan_events import (
    CHECKPOINTED,
    FINISHED,
    RUNNING,
    STOPPED,
    TASK_FAILED,
    THROTTLED,
    TaskReported,
    UsageReported,
)
from wigeonport.replay_platforms import (
    command_handlers,
    report_drained_if_idle,
)
from wigeonport.trace_kinds import ActualJob


class Task:
    """A task on a worker.

    Attributes:
        job: Id of the job.
        vm: Name of the worker.
        attempt: Attempt number of the job.
        lease_until_ms: End of the task's lease.
        end_ms: Planned end, or None until it is scheduled.
        share: Share of the task's processors that it gets; below 1 if it
            is throttled.
    """

    __slots__ = ("job", "vm", "attempt", "lease_until_ms", "end_ms", "share")

    def __init__(self, job, vm, attempt, lease_until_ms):
        self.job = job
        self.vm = vm
        self.attempt = attempt
        self.lease_until_ms = lease_until_ms
        self.end_ms = None
        self.share = 1


def report_task(platform, task, state, at_ms, guard=None):
    """Schedules a report about a task.

    The report is dropped if the task has ended by then, or if ``guard`` is
    false. A task whose worker has failed or whose lease has ended then ends
    without a report.
    """

    def is_valid(time_ms):
        if platform.tasks.get(task.job) is not task:
            return False
        if task.vm in platform.failed_vms or time_ms >= task.lease_until_ms:
            end_task(platform, task, time_ms)
            return False
        if guard is not None and not guard():
            return False
        if state not in (RUNNING, THROTTLED):
            end_task(platform, task, time_ms)
        return True

    report = TaskReported(task.job, task.vm, task.attempt, state)
    platform.schedule(at_ms, report, is_valid)


def end_task(platform, task, now_ms):
    """Removes a task from its worker."""
    del platform.tasks[task.job]
    report_drained_if_idle(platform, task.vm, now_ms)


def find_actual_job(platform, job):
    """Returns the ActualJob of a job, by default what the job declared."""
    if job in platform.actual_jobs:
        return platform.actual_jobs[job]
    submitted_job = platform.submitted_jobs[job]
    return ActualJob(
        job, submitted_job.declared, submitted_job.declared_run_ms
    )


@command_handlers.register("start_task")
def handle_start(platform, command, at_ms):
    """Starts a task, which fails or reports its usage and finishes."""
    task = Task(command.job, command.vm, command.attempt, command.until_ms)
    platform.tasks[command.job] = task
    started_ms = at_ms + platform.delays_ms["start_ms"]
    report_task(platform, task, RUNNING, started_ms)
    actual_job = find_actual_job(platform, command.job)
    if will_fail(platform, task):
        failed_ms = started_ms + platform.delays_ms["fail_ms"]
        report_task(platform, task, TASK_FAILED, failed_ms)
        return
    usage_ms = started_ms + platform.delays_ms["usage_lag_ms"]
    usage = UsageReported(command.job, actual_job.used, started_ms)
    platform.schedule(usage_ms, usage)
    schedule_end(platform, task, started_ms, compute_run_ms(platform, task))


def will_fail(platform, task):
    """Returns whether a task fails: by a fault or for lack of memory."""
    faults = platform.faults
    if task.vm in faults.failing_workers or task.job in faults.failing_jobs:
        return True
    memory_mb = sum(
        find_actual_job(platform, each.job).used.memory_mb
        for each in platform.tasks.values()
        if each.vm == task.vm
    )
    return memory_mb > platform.fleet.vms[task.vm].size.memory_mb


def compute_run_ms(platform, task):
    """Returns the run time, longer if the worker is overloaded.

    It then grows by the ratio of the cores that the worker's tasks use to
    the cores that the worker has.
    """
    cores = sum(
        find_actual_job(platform, each.job).used.cores * each.share
        for each in platform.tasks.values()
        if each.vm == task.vm
    )
    load_factor = cores / platform.fleet.vms[task.vm].size.cores
    return round(
        find_actual_job(platform, task.job).run_ms * max(1, load_factor)
    )


def schedule_end(platform, task, now_ms, remaining_ms):
    """Schedules the end of a task and cancels an end planned earlier."""
    task.end_ms = now_ms + remaining_ms
    planned_ms = task.end_ms
    report_task(
        platform,
        task,
        FINISHED,
        planned_ms,
        lambda: task.end_ms == planned_ms,
    )


@command_handlers.register("renew_tasks")
def handle_renew(platform, command, at_ms):
    """Extends the leases of running tasks; reports others as stopped."""
    renewals = zip(command.jobs, command.vms, command.attempts, strict=True)
    for job, vm, attempt in renewals:
        task = platform.tasks.get(job)
        if task is not None and task.attempt == attempt:
            task.lease_until_ms = command.until_ms
        else:
            report = TaskReported(job, vm, attempt, STOPPED)
            platform.schedule(at_ms, report)


def find_task(platform, command):
    """Returns the task of a command's attempt, or None if it has ended."""
    task = platform.tasks.get(command.job)
    if task is None or task.attempt != command.attempt:
        return None
    return task


@command_handlers.register("checkpoint_task")
def handle_checkpoint(platform, command, at_ms):
    """Ends a task after its checkpoint; a stuck job ignores the command."""
    task = find_task(platform, command)
    if task is not None and task.job not in platform.faults.stuck_jobs:
        checkpointed_ms = at_ms + platform.delays_ms["checkpoint_ms"]
        report_task(platform, task, CHECKPOINTED, checkpointed_ms)


@command_handlers.register("stop_task")
def handle_stop(platform, command, at_ms):
    """Ends a task after the stop delay."""
    task = find_task(platform, command)
    if task is not None:
        stopped_ms = at_ms + platform.delays_ms["stop_ms"]
        report_task(platform, task, STOPPED, stopped_ms)


@command_handlers.register("throttle_task")
def handle_throttle(platform, command, at_ms):
    """Changes the share of a task and moves its end accordingly."""
    task = find_task(platform, command)
    if task is None:
        return
    remaining_ms = max((task.end_ms or at_ms) - at_ms, 0) * task.share
    task.share = command.share
    schedule_end(platform, task, at_ms, round(remaining_ms / task.share))
    if command.share < 1:
        throttled_ms = at_ms + platform.delays_ms["throttle_ms"]
        report_task(platform, task, THROTTLED, throttled_ms)


@command_handlers.register("cancel_jobs")
def handle_cancel(platform, command, at_ms):
    """Ends the tasks of all listed jobs after the stop delay."""
    stopped_ms = at_ms + platform.delays_ms["stop_ms"]
    for job in command.jobs:
        if job in platform.tasks:
            report_task(platform, platform.tasks[job], STOPPED, stopped_ms)

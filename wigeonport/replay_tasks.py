"""Tasks of the replay's stand-in of the platform."""

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
from wigeonport.replay_platforms import answers, report_if_empty
from wigeonport.trace_kinds import ActualJob


class Task:
    """A task on a worker.

    Attributes:
        job: Id of the job.
        vm: Worker.
        attempt: Attempt.
        until_ms: End of the lease.
        ends_ms: Planned end, or None before the start.
        share: Share of the processors that the task gets.
    """

    __slots__ = ("job", "vm", "attempt", "until_ms", "ends_ms", "share")

    def __init__(self, job, vm, attempt, until_ms):
        self.job = job
        self.vm = vm
        self.attempt = attempt
        self.until_ms = until_ms
        self.ends_ms = None
        self.share = 1


def report_task(platform, task, state, at_ms, guard=None):
    """Schedules a report about a task, dropped if it has ended by then."""

    def holds(time_ms):
        if platform.tasks.get(task.job) is not task:
            return False
        if task.vm in platform.down or time_ms >= task.until_ms:
            end_task(platform, task, time_ms)
            return False
        if guard is not None and not guard():
            return False
        if state not in (RUNNING, THROTTLED):
            end_task(platform, task, time_ms)
        return True

    report = TaskReported(task.job, task.vm, task.attempt, state)
    platform.schedule(at_ms, report, holds)


def end_task(platform, task, now_ms):
    """Removes a task from its worker."""
    del platform.tasks[task.job]
    report_if_empty(platform, task.vm, now_ms)


def find_actual(platform, job):
    """Returns what a job really uses."""
    if job in platform.actual:
        return platform.actual[job]
    submitted = platform.submitted[job]
    return ActualJob(job, submitted.declared, submitted.declared_run_ms)


@answers.register("start_task")
def answer_start(platform, command, at_ms):
    """Runs a task: it fails, or reports its usage and finishes."""
    task = Task(command.job, command.vm, command.attempt, command.until_ms)
    platform.tasks[command.job] = task
    started_ms = at_ms + platform.delays["start_ms"]
    report_task(platform, task, RUNNING, started_ms)
    actual = find_actual(platform, command.job)
    if will_fail(platform, task):
        failed_ms = started_ms + platform.delays["fail_ms"]
        report_task(platform, task, TASK_FAILED, failed_ms)
        return
    usage_ms = started_ms + platform.delays["usage_lag_ms"]
    usage = UsageReported(command.job, actual.used, started_ms)
    platform.schedule(usage_ms, usage)
    schedule_end(platform, task, started_ms, find_run_ms(platform, task))


def will_fail(platform, task):
    """Returns whether a task fails, also for lack of memory."""
    world = platform.world
    if task.vm in world.failing_workers or task.job in world.failing_jobs:
        return True
    memory_mb = sum(
        find_actual(platform, each.job).used.memory_mb
        for each in platform.tasks.values()
        if each.vm == task.vm
    )
    return memory_mb > platform.fleet.vms[task.vm].size.memory_mb


def find_run_ms(platform, task):
    """Returns the run time; too many cores in use lengthen it."""
    cores = sum(
        find_actual(platform, each.job).used.cores * each.share
        for each in platform.tasks.values()
        if each.vm == task.vm
    )
    crowding = cores / platform.fleet.vms[task.vm].size.cores
    return round(find_actual(platform, task.job).run_ms * max(1, crowding))


def schedule_end(platform, task, now_ms, left_ms):
    """Schedules the end of a task; an earlier plan no longer holds."""
    task.ends_ms = now_ms + left_ms
    planned_ms = task.ends_ms
    report_task(
        platform,
        task,
        FINISHED,
        planned_ms,
        lambda: task.ends_ms == planned_ms,
    )


@answers.register("renew_tasks")
def answer_renew(platform, command, at_ms):
    """Extends the leases of running tasks, reports others as stopped."""
    renewed = zip(command.jobs, command.vms, command.attempts, strict=True)
    for job, vm, attempt in renewed:
        task = platform.tasks.get(job)
        if task is not None and task.attempt == attempt:
            task.until_ms = command.until_ms
        else:
            report = TaskReported(job, vm, attempt, STOPPED)
            platform.schedule(at_ms, report)


def find_task(platform, command):
    """Returns the task of a command, or None if it has ended."""
    task = platform.tasks.get(command.job)
    if task is None or task.attempt != command.attempt:
        return None
    return task


@answers.register("checkpoint_task")
def answer_checkpoint(platform, command, at_ms):
    """Ends a task after its checkpoint, unless it is stuck."""
    task = find_task(platform, command)
    if task is not None and task.job not in platform.world.stuck_jobs:
        saved_ms = at_ms + platform.delays["checkpoint_ms"]
        report_task(platform, task, CHECKPOINTED, saved_ms)


@answers.register("stop_task")
def answer_stop(platform, command, at_ms):
    """Ends a task."""
    task = find_task(platform, command)
    if task is not None:
        stopped_ms = at_ms + platform.delays["stop_ms"]
        report_task(platform, task, STOPPED, stopped_ms)


@answers.register("throttle_task")
def answer_throttle(platform, command, at_ms):
    """Changes the share of a task and thereby its end."""
    task = find_task(platform, command)
    if task is None:
        return
    left_ms = max((task.ends_ms or at_ms) - at_ms, 0) * task.share
    task.share = command.share
    schedule_end(platform, task, at_ms, round(left_ms / task.share))
    if command.share < 1:
        throttled_ms = at_ms + platform.delays["throttle_ms"]
        report_task(platform, task, THROTTLED, throttled_ms)


@answers.register("cancel_jobs")
def answer_cancel(platform, command, at_ms):
    """Ends all listed tasks."""
    stopped_ms = at_ms + platform.delays["stop_ms"]
    for job in command.jobs:
        if job in platform.tasks:
            report_task(platform, platform.tasks[job], STOPPED, stopped_ms)

"""Preempts tasks for urgent jobs: checkpoints, then throttles, then stops."""

from wigeonport.availabilities import is_available
from wigeonport.job_tables import RUNNING, STARTING
from wigeonport.plan_commands import (
    CheckpointTask,
    StartTask,
    StopTask,
    ThrottleTask,
)
from wigeonport.views import Size

CHECKPOINT = "checkpoint"
THROTTLE = "throttle"
STOP = "stop"


class Preemption:
    """A worker reserved for an urgent job until its victims have yielded.

    Attributes:
        vm: Name of the worker.
        job: Id of the urgent job.
        size: Size that the job needs.
        victims: Maps the id of each job to be preempted to the number of its
            attempt.
        started_ms: Start of the preemption.
        last_action: ``checkpoint``, ``throttle`` or ``stop``.
    """

    __slots__ = ("vm", "job", "size", "victims", "started_ms", "last_action")

    def __init__(self, vm, job, size, victims, started_ms):
        self.vm = vm
        self.job = job
        self.size = size
        self.victims = victims
        self.started_ms = started_ms
        self.last_action = CHECKPOINT


def start_preemption(view, pool, job, size, now_ms):
    """Starts a preemption on the worker on which the least work is lost.

    Returns:
        The first command for each victim; none if no worker has enough tasks
        to preempt or the job has a preemption already.
    """
    table = view.jobs
    if any(
        preemption.job == job.name for preemption in table.preemptions.values()
    ):
        return []
    best = None
    for vm in view.fleet.members(pool.name):
        if vm.name in table.preemptions or not is_available(view, vm, now_ms):
            continue
        cost_and_victims = find_victims(view, vm, size, now_ms)
        if cost_and_victims is not None and (
            best is None or cost_and_victims[0] < best[0]
        ):
            best = (*cost_and_victims, vm)
    if best is None:
        return []
    _, victims, vm = best
    attempts = {victim.name: victim.attempt for victim in victims}
    table.preemptions[vm.name] = Preemption(
        vm.name, job.name, size, attempts, now_ms
    )
    return [start_yielding(view, victim, now_ms) for victim in victims]


def start_yielding(view, victim, now_ms):
    """Returns the command to checkpoint a task, else one to throttle it."""
    if victim.submitted.can_checkpoint:
        view.jobs.mark_yielding(victim, now_ms)
        return CheckpointTask(victim.name, victim.vm, victim.attempt)
    return throttle_command(view, victim)


def throttle_command(view, victim):
    """Returns the command that limits a task to a share of its cores."""
    share = view.settings.throttle_share
    return ThrottleTask(victim.name, victim.vm, victim.attempt, share)


def find_victims(view, vm, size, now_ms):
    """Returns the lost core-ms and the victims that free enough room.

    Returns None if the tasks that may be preempted don't free enough. Tasks
    that lose the least work are chosen first.
    """
    table = view.jobs
    candidates = [
        table.jobs[name]
        for name in table.tasks_on(vm.name)
        if not table.jobs[name].submitted.urgent
        and table.jobs[name].state in (STARTING, RUNNING)
    ]
    candidates.sort(
        key=lambda job: (lost_core_ms(view, job, now_ms), job.name)
    )
    room = vm.size.minus(table.reserved_on(vm.name))
    cost, victims = 0, []
    for victim in candidates:
        if size.fits(room):
            break
        room = room.plus(victim.size)
        cost += lost_core_ms(view, victim, now_ms)
        victims.append(victim)
    return (cost, victims) if size.fits(room) else None


def lost_core_ms(view, job, now_ms):
    """Returns the core-ms that are lost if a task is preempted."""
    if job.submitted.can_checkpoint:
        return view.settings.checkpoint_bound_ms * job.size.cores
    return (now_ms - job.started_ms) * job.size.cores


def advance_preemptions(view, now_ms):
    """Advances all preemptions; drops those on removed workers."""
    commands = []
    for preemption in list(view.jobs.preemptions.values()):
        vm = view.fleet.vms.get(preemption.vm)
        if vm is None:
            del view.jobs.preemptions[preemption.vm]
        else:
            commands.extend(advance_preemption(view, vm, preemption, now_ms))
    return commands


def advance_preemption(view, vm, preemption, now_ms):
    """Starts the urgent job if it has room, else escalates.

    Drops the preemption if the job no longer waits or the worker is no longer
    available.
    """
    table = view.jobs
    job = table.jobs.get(preemption.job)
    is_waiting = job is not None and job.vm is None
    if not is_waiting or not is_available(view, vm, now_ms):
        del table.preemptions[vm.name]
        return []
    if preemption.size.fits(vm.size.minus(table.reserved_on(vm.name))):
        del table.preemptions[vm.name]
        table.bind(job, vm.name, preemption.size, now_ms)
        until_ms = job.lease_until_ms
        size = preemption.size
        return [StartTask(job.name, vm.name, job.attempt, size, until_ms)]
    return escalate(view, preemption, now_ms)


def escalate(view, preemption, now_ms):
    """Throttles, then stops the victims that have not yielded in time."""
    elapsed_ms = now_ms - preemption.started_ms
    last_action = preemption.last_action
    if elapsed_ms >= view.settings.preempt_bound_ms and last_action != STOP:
        preemption.last_action = STOP
        return [
            StopTask(victim.name, victim.vm, victim.attempt)
            for victim in find_remaining(view, preemption)
        ]
    bound_ms = view.settings.checkpoint_bound_ms
    if elapsed_ms >= bound_ms and last_action == CHECKPOINT:
        preemption.last_action = THROTTLE
        return [
            throttle_command(view, victim)
            for victim in find_remaining(view, preemption)
            if not victim.throttled
        ]
    return []


def find_remaining(view, preemption):
    """Returns the victims whose attempt is still on the worker."""
    jobs = (view.jobs.jobs.get(name) for name in preemption.victims)
    return [
        job
        for job in jobs
        if job is not None
        and job.vm == preemption.vm
        and job.attempt == preemption.victims[job.name]
    ]


def apply_throttle(view, job):
    """Releases the cores that a throttled task no longer uses."""
    if not job.throttled:
        job.throttled = True
        view.jobs.throttled[job.name] = None
        share = view.settings.throttle_share
        size = job.size
        cores = size.cores * share
        limited = Size(cores, size.memory_mb, size.accelerators)
        view.jobs.resize(job, limited)


def unthrottle_tasks(view, now_ms):
    """Restores throttled tasks to full speed where the worker has room."""
    commands = []
    for name in list(view.jobs.throttled):
        job = view.jobs.jobs[name]
        vm = view.fleet.vms.get(job.vm)
        reserved = job.vm in view.jobs.preemptions
        if job.state == RUNNING and not reserved and vm is not None:
            commands.extend(unthrottle(view, vm, job))
    return commands


def unthrottle(view, vm, job):
    """Restores one task to full speed if its full size fits."""
    size = job.size
    cores = size.cores / view.settings.throttle_share
    full = Size(cores, size.memory_mb, size.accelerators)
    room = vm.size.minus(view.jobs.reserved_on(vm.name)).plus(size)
    if not full.fits(room):
        return []
    view.jobs.resize(job, full)
    job.throttled = False
    view.jobs.throttled.pop(job.name, None)
    return [ThrottleTask(job.name, job.vm, job.attempt, 1)]

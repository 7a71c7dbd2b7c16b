"""Places waiting jobs on the workers of their pool."""

from itertools import islice

from wigeonport.availabilities import available_vms
from wigeonport.estimates import estimate_run_ms, estimate_size
from wigeonport.job_tables import UNRUNNABLE
from wigeonport.plan_commands import StartTask
from wigeonport.plan_registries import placement_policies
from wigeonport.preemptions import start_preemption
from wigeonport.views import Size

# Waiting jobs examined for one pool in one plan; bounds the planning time
# when thousands of jobs wait.
MAX_EXAMINED_JOBS = 500
# A job that has waited this long for room is no longer overtaken.
MAX_OVERTAKEN_MS = 60_000
# Urgent work may exceed its team's quota by this share.
URGENT_EXTRA_SHARE = 0.25


class CandidateWorker:
    """A worker that may take tasks in this plan.

    Attributes:
        vm: The VmView.
        room: Size that is free.
    """

    __slots__ = ("vm", "room")

    def __init__(self, vm, room):
        self.vm = vm
        self.room = room


class PoolPlacement:
    """One pass over the waiting jobs of a pool.

    Attributes:
        view: PlanView.
        pool: PoolView.
        now_ms: Time of the plan.
        random: Source for choices between equals.
        workers: Workers that may take tasks.
        largest: Largest of each resource on any VM of the pool.
        blocked: Sizes found to fit on no worker in this pass.
        sizes: Size by team, kind and declaration, computed once in a pass.
        commands: Commands so far.
    """

    __slots__ = (
        "view",
        "pool",
        "now_ms",
        "random",
        "workers",
        "largest",
        "blocked",
        "sizes",
        "commands",
    )

    def __init__(self, view, pool, now_ms, random):
        self.view = view
        self.pool = pool
        self.now_ms = now_ms
        self.random = random
        self.workers = list(find_candidates(view, pool, now_ms))
        self.largest = find_largest(view, pool)
        self.blocked = []
        self.sizes = {}
        self.commands = []

    def run(self):
        """Places urgent jobs first; returns the commands."""
        table = self.view.jobs
        urgent = table.urgent.get(self.pool.name, {})
        waiting = table.waiting.get(self.pool.name, {})
        for name in list(islice(urgent, MAX_EXAMINED_JOBS)):
            self.place(table.jobs[name])
        for name in list(islice(waiting, MAX_EXAMINED_JOBS)):
            job = table.jobs[name]
            placed = self.place(job)
            waited_ms = self.now_ms - job.submitted_ms
            no_room = not placed and job.reason == NO_ROOM
            if no_room and waited_ms > MAX_OVERTAKEN_MS:
                break
        return self.commands

    def place(self, job):
        """Places one job; returns whether it got a worker."""
        if job.retry_ms > self.now_ms:
            return False
        size = self.find_size(job)
        if self.exceeds_quota(job, size):
            job.reason = "the quota of the team is used"
            return False
        if any(blocked.fits(size) for blocked in self.blocked):
            job.reason = NO_ROOM
            return False
        choose = placement_policies.entries[
            self.view.settings.placement_policy
        ]
        worker = choose(self, job, size)
        if worker is None:
            self.handle_no_room(job, size)
            return False
        self.start(job, worker, size)
        return True

    def find_size(self, job):
        """Returns the estimated size, with the margin cut to the workers."""
        submitted = job.submitted
        key = (submitted.team, submitted.job_kind, str(submitted.declared))
        if key not in self.sizes:
            self.sizes[key] = self.compute_size(job)
        return self.sizes[key]

    def compute_size(self, job):
        """Computes the size for ``find_size``."""
        size = estimate_size(self.view.jobs, job)
        if size is job.submitted.declared:
            return size
        margin = self.view.settings.estimate_margin
        return Size(
            limit_margin(size.cores, self.largest.cores, margin),
            limit_margin(size.memory_mb, self.largest.memory_mb, margin),
            size.accelerators,
        )

    def exceeds_quota(self, job, size):
        """Returns whether the team would exceed its quota."""
        team = self.view.fleet.teams.get(job.submitted.team)
        if team is None:
            return True
        quota = team.quota_cores
        if job.submitted.urgent:
            quota *= 1 + URGENT_EXTRA_SHARE
        held = self.view.jobs.team_cores.get(team.name, 0)
        return held + size.cores > quota

    def handle_no_room(self, job, size):
        """Names a job that can never run, or preempts for urgent work."""
        reason = find_unrunnable_reason(self.view, self.pool, size)
        if reason:
            self.view.jobs.finish(job, UNRUNNABLE, reason)
            self.view.jobs.unreported_unrunnable.append(job)
            return
        job.reason = NO_ROOM
        if job.submitted.urgent:
            self.commands.extend(
                start_preemption(self.view, self.pool, job, size, self.now_ms)
            )
        elif not job.failed_on:
            self.blocked.append(size)

    def start(self, job, worker, size):
        """Reserves the worker and returns the start command."""
        worker.room = worker.room.minus(size)
        self.commands.append(
            start_task(self.view, job, worker.vm, size, self.now_ms)
        )


NO_ROOM = "no worker has room"


def start_task(view, job, vm, size, now_ms):
    """Binds a job to a worker; returns the command."""
    view.jobs.bind(job, vm.name, size, now_ms)
    return StartTask(job.name, vm.name, job.attempt, size, job.lease_until_ms)


def limit_margin(amount, largest, margin):
    """Returns the largest amount if only the margin exceeds it."""
    return largest if amount / margin <= largest < amount else amount


def find_candidates(view, pool, now_ms):
    """Yields the workers that may take tasks, with their room."""
    for vm in available_vms(view, pool.name, now_ms):
        if vm.name not in view.jobs.preemptions:
            yield CandidateWorker(
                vm, vm.size.minus(view.jobs.used_on(vm.name))
            )


def find_largest(view, pool):
    """Returns the largest of each resource on any VM of the pool."""
    sizes = [vm.size for vm in view.fleet.members(pool.name)]
    return Size(
        max((size.cores for size in sizes), default=0),
        max((size.memory_mb for size in sizes), default=0),
        max((size.accelerators for size in sizes), default=0),
    )


def find_unrunnable_reason(view, pool, size):
    """Returns why a size fits on no VM of the pool even when idle, or ""."""
    vms = view.fleet.members(pool.name)
    if any(size.fits(vm.size) for vm in vms):
        return ""
    largest = find_largest(view, pool)
    return f"needs {size}; pool {pool.name} has at most {largest}"


@placement_policies.register("estimated_best_fit")
def choose_best_fit(placement, job, size):
    """Returns the fitting worker with the least room left over.

    A task that can neither end nor be checkpointed within a drain goes to
    the worker whose maintenance is due last.
    """
    fitting = find_fitting(placement, job, size)
    if not fitting:
        return None
    bound_ms = placement.view.settings.drain_bound_ms
    if (
        not job.submitted.can_checkpoint
        and estimate_run_ms(placement.view.jobs, job) > bound_ms
    ):
        return max(fitting, key=lambda worker: worker.vm.due_ms)
    scores = [score_room_left(worker, size) for worker in fitting]
    best = min(scores)
    best_workers = [
        worker
        for worker, score in zip(fitting, scores, strict=True)
        if score == best
    ]
    return placement.random.choice(best_workers)


def find_fitting(placement, job, size):
    """Returns the workers with room, without those that failed the job."""
    fitting = [
        worker for worker in placement.workers if size.fits(worker.room)
    ]
    untried = [
        worker for worker in fitting if worker.vm.name not in job.failed_on
    ]
    if not job.failed_on:
        return fitting
    faults = placement.view.faults
    # Only a worker that finishes other jobs shows whose fault it is.
    proven = [
        worker for worker in untried if faults.finishes_tasks(worker.vm.name)
    ]
    return proven or untried or fitting


def score_room_left(worker, size):
    """Returns the share of the worker left over, summed over resources.

    Accelerators weigh most, so that tasks without them avoid workers that
    have some.
    """
    left = worker.room.minus(size)
    return (
        left.accelerators * 10
        + left.cores / worker.vm.size.cores
        + left.memory_mb / worker.vm.size.memory_mb
    )


@placement_policies.register("first_fit")
def choose_first_fit(placement, job, size):
    """Baseline: returns the first worker with room."""
    fitting = (
        worker for worker in placement.workers if size.fits(worker.room)
    )
    return next(fitting, None)

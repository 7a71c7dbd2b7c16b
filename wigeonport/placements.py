"""Places waiting jobs on the workers of their pool."""

import math
from itertools import islice

from wigeonport.availabilities import available_vms
from wigeonport.estimates import estimate_run_ms, estimate_size
from wigeonport.job_tables import UNRUNNABLE
from wigeonport.plan_commands import StartTask
from wigeonport.plan_registries import placement_policies
from wigeonport.preemptions import start_preemption
from wigeonport.views import Size

# Number of waiting jobs that are examined per pool, queue and plan in order of
# arrival, which bounds the planning time. As many of those behind them take
# turns, because all of the first ones may be unable to start.
MAX_EXAMINED_JOBS = 500
# Once a job has waited this long for room, no job behind it is placed before
# it, so that small jobs don't starve a large one.
MAX_OVERTAKEN_MS = 60_000
# Share of the quota by which urgent jobs may exceed it.
URGENT_EXTRA_SHARE = 0.25


class CandidateWorker:
    """A worker that may take tasks in the current plan.

    Attributes:
        vm: The VmView.
        room: Size that is not reserved.
    """

    __slots__ = ("vm", "room")

    def __init__(self, vm, room):
        self.vm = vm
        self.room = room


class PoolPlacement:
    """Placement of the waiting jobs of one pool in one plan.

    Attributes:
        view: PlanView.
        pool: PoolView.
        now_ms: Time of the plan.
        random: Random source for choices between equally good workers.
        workers: CandidateWorkers of the pool.
        largest: Size with the maximum of each resource on any VM of the
            pool.
        blocked: Sizes found to fit on no worker in this plan.
        sizes: Cache that maps (team, job kind, declared size) to the
            estimated Size.
        commands: Commands of the placement so far.
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
        """Places the urgent jobs, then the others; returns the commands."""
        table = self.view.jobs
        urgent = table.urgent.get(self.pool.name, {})
        waiting = table.waiting.get(self.pool.name, {})
        for name in self.choose_examined(urgent):
            self.place(table.jobs[name])
        for name in self.choose_examined(waiting):
            job = table.jobs[name]
            placed = self.place(job)
            waited_ms = self.now_ms - job.submitted_ms
            no_room = not placed and job.reason == NO_ROOM
            if (
                no_room
                and waited_ms > MAX_OVERTAKEN_MS
                and self.has_large_worker(job)
            ):
                break
        return self.commands

    def choose_examined(self, queue):
        """Returns the names of the jobs of a queue to examine, in its order.

        Those behind the first ones are drawn, so that each has its turn
        whatever the interval of the plans is.
        """
        names = list(islice(queue, MAX_EXAMINED_JOBS))
        parts = math.ceil((len(queue) - len(names)) / MAX_EXAMINED_JOBS)
        if parts:
            start = MAX_EXAMINED_JOBS * (1 + self.random.randrange(parts))
            names += islice(queue, start, start + MAX_EXAMINED_JOBS)
        return names

    def has_large_worker(self, job):
        """Returns whether a job will have room once enough tasks have ended.

        The workers that are large enough may all be unavailable.
        """
        size = self.find_size(job)
        return any(size.fits(worker.vm.size) for worker in self.workers)

    def place(self, job):
        """Places one job if possible; returns whether it got a worker."""
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
        """Returns the estimated size of a job; computes it once per plan."""
        submitted = job.submitted
        key = (submitted.team, submitted.job_kind, str(submitted.declared))
        if key not in self.sizes:
            self.sizes[key] = self.compute_size(job)
        return self.sizes[key]

    def compute_size(self, job):
        """Estimates the size; limits its margin to the largest worker."""
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
        """Returns whether the job would exceed its team's quota.

        The quota of a team that no longer exists is exceeded.
        """
        team = self.view.fleet.teams.get(job.submitted.team)
        if team is None:
            return True
        quota = team.quota_cores
        if job.submitted.urgent:
            quota *= 1 + URGENT_EXTRA_SHARE
        held = self.view.jobs.team_cores.get(team.name, 0)
        return held + size.cores > quota

    def handle_no_room(self, job, size):
        """Ends an unrunnable job, or starts a preemption for an urgent one."""
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
        """Reserves room on the worker and adds the start command."""
        worker.room = worker.room.minus(size)
        self.commands.append(
            start_task(self.view, job, worker.vm, size, self.now_ms)
        )


NO_ROOM = "no worker has room"


def start_task(view, job, vm, size, now_ms):
    """Reserves a worker for a job; returns the start command."""
    view.jobs.bind(job, vm.name, size, now_ms)
    return StartTask(job.name, vm.name, job.attempt, size, job.lease_until_ms)


def limit_margin(amount, largest, margin):
    """Returns the amount, or the largest if only the margin exceeds that.

    Without this, a job that fits the largest worker would seem unrunnable
    because of the margin of its estimate.
    """
    return largest if amount / margin <= largest < amount else amount


def find_candidates(view, pool, now_ms):
    """Yields a CandidateWorker for each available VM without a preemption."""
    for vm in available_vms(view, pool.name, now_ms):
        if vm.name not in view.jobs.preemptions:
            yield CandidateWorker(
                vm, vm.size.minus(view.jobs.reserved_on(vm.name))
            )


def find_largest(view, pool):
    """Returns a Size with the maximum of each resource on any VM."""
    sizes = [vm.size for vm in view.fleet.members(pool.name)]
    return Size(
        max((size.cores for size in sizes), default=0),
        max((size.memory_mb for size in sizes), default=0),
        max((size.accelerators for size in sizes), default=0),
    )


def find_unrunnable_reason(view, pool, size):
    """Returns why a size fits on no VM of the pool, even when idle, or ""."""
    vms = view.fleet.members(pool.name)
    if any(size.fits(vm.size) for vm in vms):
        return ""
    largest = find_largest(view, pool)
    return f"needs {size}; pool {pool.name} has at most {largest}"


@placement_policies.register("estimated_best_fit")
def choose_best_fit(placement, job, size):
    """Returns the worker with the least room remaining, or None.

    A task that can't be checkpointed and runs longer than a drain may
    take goes to the worker whose maintenance is due last.
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
    scores = [score_remaining_room(worker, size) for worker in fitting]
    best = min(scores)
    best_workers = [
        worker
        for worker, score in zip(fitting, scores, strict=True)
        if score == best
    ]
    return placement.random.choice(best_workers)


def find_fitting(placement, job, size):
    """Returns the workers with room for a job.

    After a failure, workers that finish other tasks and on which the job has
    not failed yet are preferred, then others on which it has not failed.
    """
    fitting = [
        worker for worker in placement.workers if size.fits(worker.room)
    ]
    untried = [
        worker for worker in fitting if worker.vm.name not in job.failed_on
    ]
    if not job.failed_on:
        return fitting
    faults = placement.view.faults
    # Only on a worker that finishes other jobs does another failure show that
    # the job is at fault.
    succeeding = [
        worker for worker in untried if faults.finishes_tasks(worker.vm.name)
    ]
    return succeeding or untried or fitting


def score_remaining_room(worker, size):
    """Scores the room that a task of a size would leave; lower is better.

    Sums the remaining shares of cores and memory. Each remaining accelerator
    adds 10, so that tasks without accelerators avoid workers that have some.
    """
    remaining = worker.room.minus(size)
    return (
        remaining.accelerators * 10
        + remaining.cores / worker.vm.size.cores
        + remaining.memory_mb / worker.vm.size.memory_mb
    )


@placement_policies.register("first_fit")
def choose_first_fit(placement, job, size):
    """Baseline: returns the first worker with room, or None."""
    fitting = (
        worker for worker in placement.workers if size.fits(worker.room)
    )
    return next(fitting, None)

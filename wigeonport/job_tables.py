"""Table of the jobs, indexed by pool, worker and team."""

from wigeonport.views import Size

WAITING = "waiting"
STARTING = "starting"
RUNNING = "running"
ENDING = "ending"
CANCELLING = "cancelling"
LOST = "lost"
FINISHED = "finished"
CANCELLED = "cancelled"
UNRUNNABLE = "never"


class Job:
    """A job and its current attempt.

    Attributes:
        submitted: The JobSubmitted message.
        state: One of the states above.
        submitted_ms: Time of the submission.
        reason: Why the job waits or can never run.
        attempt: Number of the current attempt.
        vm: Worker of the current attempt, or None.
        size: Size reserved on the worker.
        started_ms: Start of the attempt as reported, or of its command.
        ending_ms: Time at which the task was asked to give way.
        lease_until_ms: Latest end of the task's lease.
        retry_ms: Earliest time of the next attempt.
        failed_on: Workers on which an attempt failed.
        throttled: Whether the task is limited to a share.
    """

    __slots__ = (
        "submitted",
        "state",
        "submitted_ms",
        "reason",
        "attempt",
        "vm",
        "size",
        "started_ms",
        "ending_ms",
        "lease_until_ms",
        "retry_ms",
        "failed_on",
        "throttled",
    )

    def __init__(self, submitted, now_ms):
        self.submitted = submitted
        self.state = WAITING
        self.submitted_ms = now_ms
        self.reason = ""
        self.attempt = 0
        self.vm = None
        self.size = None
        self.started_ms = None
        self.ending_ms = None
        self.lease_until_ms = 0
        self.retry_ms = 0
        self.failed_on = {}
        self.throttled = False

    @property
    def name(self):
        """Id of the job."""
        return self.submitted.job


class JobTable:
    """All jobs that are not ended, and a bounded number that are.

    Attributes:
        settings: PlanSettings.
        jobs: Job by id.
        ended_jobs: Ended jobs by id, oldest first; late reports still teach.
        waiting: Ids of waiting jobs by pool, in order of submission.
        urgent: Ids of waiting urgent jobs by pool.
        on_vm: Ids of jobs by worker.
        by_team: Ids of jobs that are not ended, by team.
        team_cores: Cores held by team.
        used: Size reserved by worker.
        cancelled: Ids of cancelled jobs that still run.
        unreported_unrunnable: Jobs found never to run and not reported yet.
        histories: History by (team, kind), for estimates.
        preemptions: Preemption by worker.
        yielding: Ids of jobs whose tasks were asked to give way.
        throttled: Ids of jobs whose tasks are limited.
        renewed_ms: Time of the last renewal of leases.
    """

    __slots__ = (
        "settings",
        "jobs",
        "ended_jobs",
        "waiting",
        "urgent",
        "on_vm",
        "by_team",
        "team_cores",
        "used",
        "cancelled",
        "unreported_unrunnable",
        "histories",
        "preemptions",
        "yielding",
        "throttled",
        "renewed_ms",
    )

    def __init__(self, settings):
        self.settings = settings
        self.jobs = {}
        self.ended_jobs = {}
        self.waiting = {}
        self.urgent = {}
        self.on_vm = {}
        self.by_team = {}
        self.team_cores = {}
        self.used = {}
        self.cancelled = []
        self.unreported_unrunnable = []
        self.histories = {}
        self.preemptions = {}
        self.yielding = {}
        self.throttled = {}
        self.renewed_ms = 0

    def add(self, submitted, now_ms):
        """Adds a job; returns None if its id was submitted before."""
        if submitted.job in self.jobs or submitted.job in self.ended_jobs:
            return None
        job = Job(submitted, now_ms)
        if submitted.may_run:
            job.retry_ms = now_ms + self.settings.task_lease_ms
        self.jobs[job.name] = job
        self.by_team.setdefault(submitted.team, {})[job.name] = None
        self.enqueue(job)
        return job

    def queue_of(self, job):
        """Returns the queue in which a job waits."""
        queues = self.urgent if job.submitted.urgent else self.waiting
        return queues.setdefault(job.submitted.pool, {})

    def enqueue(self, job):
        """Makes a job wait for a worker."""
        job.state = WAITING
        self.queue_of(job)[job.name] = None

    def bind(self, job, vm_name, size, now_ms):
        """Reserves a worker for the next attempt of a job."""
        self.queue_of(job).pop(job.name, None)
        job.state = STARTING
        job.reason = ""
        job.attempt += 1
        job.vm = vm_name
        job.size = size
        job.started_ms = now_ms
        job.lease_until_ms = now_ms + self.settings.task_lease_ms
        job.throttled = False
        self.on_vm.setdefault(vm_name, {})[job.name] = None
        self.used[vm_name] = self.used_on(vm_name).plus(size)
        self.hold_cores(job, size.cores)

    def mark_yielding(self, job, now_ms):
        """Records that a task was asked to save its state and end."""
        job.state = ENDING
        job.ending_ms = now_ms
        self.yielding[job.name] = None

    def hold_cores(self, job, cores):
        """Adds to the cores that the job's team holds."""
        team = job.submitted.team
        self.team_cores[team] = self.team_cores.get(team, 0) + cores

    def resize(self, job, size):
        """Changes the size reserved for a job."""
        self.used[job.vm] = self.used_on(job.vm).plus(size).minus(job.size)
        self.hold_cores(job, size.cores - job.size.cores)
        job.size = size

    def unbind(self, job):
        """Frees the worker of a job."""
        if job.vm is None:
            return
        self.on_vm[job.vm].pop(job.name, None)
        self.used[job.vm] = self.used_on(job.vm).minus(job.size)
        if not self.on_vm[job.vm]:
            # Removes the rounding residue of sums of fractions.
            del self.on_vm[job.vm]
            del self.used[job.vm]
        self.hold_cores(job, -job.size.cores)
        self.yielding.pop(job.name, None)
        self.throttled.pop(job.name, None)
        job.vm = None
        job.throttled = False

    def finish(self, job, state, reason=""):
        """Ends a job and keeps it for late reports."""
        self.unbind(job)
        self.queue_of(job).pop(job.name, None)
        job.state = state
        job.reason = reason
        self.jobs.pop(job.name, None)
        self.by_team[job.submitted.team].pop(job.name, None)
        self.ended_jobs[job.name] = job
        while len(self.ended_jobs) > self.settings.finished_jobs_kept:
            del self.ended_jobs[next(iter(self.ended_jobs))]

    def find(self, name):
        """Returns a job that may have ended, or None."""
        return self.jobs.get(name) or self.ended_jobs.get(name)

    def tasks_on(self, vm_name):
        """Returns the ids of the jobs on a worker."""
        return self.on_vm.get(vm_name, {})

    def used_on(self, vm_name):
        """Returns the size reserved on a worker."""
        return self.used.get(vm_name) or Size(0, 0, 0)

    def take_over(self, now_ms):
        """Prepares for decisions after an earlier leader's.

        Tasks that are known may have been renewed until just now. A start
        that the earlier leader sent last may not have been reported yet.
        """
        for job in self.jobs.values():
            if job.vm is not None:
                until_ms = now_ms + self.settings.task_lease_ms
                job.lease_until_ms = max(job.lease_until_ms, until_ms)
            else:
                until_ms = now_ms + self.settings.start_bound_ms
                job.retry_ms = max(job.retry_ms, until_ms)

    def mark_tasks_lost(self, vm_name):
        """Stops waiting for reports of a failed worker.

        Its jobs run again only after their leases, because a worker that
        was reported as failed may still run them.
        """
        for name in self.tasks_on(vm_name):
            job = self.jobs[name]
            if job.state != CANCELLING:
                job.state = LOST

    def requeue_unrunnable(self, fleet):
        """Reconsiders jobs that could never run on the earlier fleet."""
        never = [
            job
            for job in self.ended_jobs.values()
            if job.state == UNRUNNABLE
            and job.submitted.pool in fleet.pools
            and job.submitted.team in fleet.teams
        ]
        for job in never:
            del self.ended_jobs[job.name]
            self.jobs[job.name] = job
            self.by_team.setdefault(job.submitted.team, {})[job.name] = None
            job.failed_on.clear()
            self.enqueue(job)

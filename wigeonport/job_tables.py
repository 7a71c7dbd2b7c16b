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
    """A job and its latest attempt.

    Attributes:
        submitted: The JobSubmitted message.
        state: One of the states defined in this module.
        submitted_ms: Time of the submission.
        reason: Why the job waits or is unrunnable, or "".
        attempt: Number of the latest attempt, 0 before the first.
        vm: Name of the worker on which the attempt runs, or None.
        size: Size reserved on the worker.
        started_ms: Time at which the task was reported as running; until
            then, the time of its start command.
        ending_ms: Time at which the task was asked to yield its worker.
        lease_until_ms: End of the task's lease; the task may run until then.
        retry_ms: Earliest time of the next attempt.
        failed_on: Names of the workers on which an attempt failed, as keys
            in the order of the first failure.
        throttled: Whether the task is limited to a share of its cores.
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
    """All jobs that have not ended, and the last ones that have.

    Attributes:
        settings: PlanSettings.
        jobs: Maps id to each Job that has not ended.
        ended_jobs: Maps id to an ended Job, oldest first; at most
            ``finished_jobs_kept``, so that late usage reports still count.
        waiting: Maps pool name to the ids of its waiting jobs that are not
            urgent, in the order in which they were queued.
        urgent: The same for waiting urgent jobs.
        on_vm: Maps worker name to the ids of the jobs on it.
        by_team: Maps team name to the ids of its jobs that have not ended.
        team_cores: Maps team name to the cores reserved for its tasks.
        reserved: Maps worker name to the Size reserved on it.
        cancelled: Ids of cancelled jobs whose tasks are yet to be stopped.
        unreported_unrunnable: Jobs found to be unrunnable and not yet
            reported as such.
        histories: Maps (team, job kind) to the History used for estimates.
        preemptions: Maps worker name to its Preemption.
        yielding: Ids of jobs whose tasks were asked to yield their worker.
        throttled: Ids of jobs whose tasks are throttled.
        renewed_ms: Time at which the task leases were last renewed.
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
        "reserved",
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
        self.reserved = {}
        self.cancelled = []
        self.unreported_unrunnable = []
        self.histories = {}
        self.preemptions = {}
        self.yielding = {}
        self.throttled = {}
        self.renewed_ms = 0

    def add(self, submitted, now_ms):
        """Adds a job; returns None if its id was submitted before.

        A job of which a task may be running already is not started before
        the time of a lease has passed.
        """
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
        """Returns the queue of a job's pool and urgency."""
        queues = self.urgent if job.submitted.urgent else self.waiting
        return queues.setdefault(job.submitted.pool, {})

    def enqueue(self, job):
        """Adds a job to its queue."""
        job.state = WAITING
        self.queue_of(job)[job.name] = None

    def bind(self, job, vm_name, size, now_ms):
        """Reserves room on a worker for the next attempt of a job."""
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
        self.reserved[vm_name] = self.reserved_on(vm_name).plus(size)
        self.add_team_cores(job, size.cores)

    def mark_yielding(self, job, now_ms):
        """Records that a task was asked to checkpoint and yield its worker."""
        job.state = ENDING
        job.ending_ms = now_ms
        self.yielding[job.name] = None

    def add_team_cores(self, job, cores):
        """Adds cores, maybe a negative number, to those of the job's team."""
        team = job.submitted.team
        self.team_cores[team] = self.team_cores.get(team, 0) + cores

    def resize(self, job, size):
        """Changes the size reserved for a job."""
        self.reserved[job.vm] = (
            self.reserved_on(job.vm).plus(size).minus(job.size)
        )
        self.add_team_cores(job, size.cores - job.size.cores)
        job.size = size

    def unbind(self, job):
        """Releases what is reserved for a job on its worker, if anything."""
        if job.vm is None:
            return
        self.on_vm[job.vm].pop(job.name, None)
        self.reserved[job.vm] = self.reserved_on(job.vm).minus(job.size)
        if not self.on_vm[job.vm]:
            # Discards the rounding error of adding up fractional cores.
            del self.on_vm[job.vm]
            del self.reserved[job.vm]
        self.add_team_cores(job, -job.size.cores)
        self.yielding.pop(job.name, None)
        self.throttled.pop(job.name, None)
        job.vm = None
        job.throttled = False

    def finish(self, job, state, reason=""):
        """Ends a job; keeps it among the ended ones for late reports."""
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
        """Returns a job, ended or not, or None if the id is unknown."""
        return self.jobs.get(name) or self.ended_jobs.get(name)

    def tasks_on(self, vm_name):
        """Returns the ids of the jobs whose tasks are on a worker."""
        return self.on_vm.get(vm_name, {})

    def reserved_on(self, vm_name):
        """Returns the size reserved on a worker."""
        return self.reserved.get(vm_name) or Size(0, 0, 0)

    def begin_leadership(self, now_ms):
        """Prepares the table for the decisions of a new leader.

        The earlier leader may have renewed the lease of any running task
        until just now, so each lease is assumed to have begun now. It may
        also have started any waiting job without a report so far, so waiting
        jobs start only after ``start_bound_ms``.
        """
        for job in self.jobs.values():
            if job.vm is not None:
                until_ms = now_ms + self.settings.task_lease_ms
                job.lease_until_ms = max(job.lease_until_ms, until_ms)
            else:
                until_ms = now_ms + self.settings.start_bound_ms
                job.retry_ms = max(job.retry_ms, until_ms)

    def mark_tasks_lost(self, vm_name):
        """Marks the tasks of a failed worker as lost.

        Their jobs start again only after the leases expire, because a worker
        that was reported as failed may still run them.
        """
        for name in self.tasks_on(vm_name):
            job = self.jobs[name]
            if job.state != CANCELLING:
                job.state = LOST

    def requeue_unrunnable(self, fleet):
        """Queues the unrunnable jobs whose pool and team the fleet has."""
        unrunnable = [
            job
            for job in self.ended_jobs.values()
            if job.state == UNRUNNABLE
            and job.submitted.pool in fleet.pools
            and job.submitted.team in fleet.teams
        ]
        for job in unrunnable:
            del self.ended_jobs[job.name]
            self.jobs[job.name] = job
            self.by_team.setdefault(job.submitted.team, {})[job.name] = None
            job.failed_on.clear()
            self.enqueue(job)

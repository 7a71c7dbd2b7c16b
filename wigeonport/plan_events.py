"""Events of the planner; one slotted class for each kind."""

RUNNING = "running"
FINISHED = "finished"
TASK_FAILED = "failed"
CHECKPOINTED = "checkpointed"
THROTTLED = "throttled"
STOPPED = "stopped"
TASK_STATES = (
    RUNNING,
    FINISHED,
    TASK_FAILED,
    CHECKPOINTED,
    THROTTLED,
    STOPPED,
)
PAUSE = "pause"
RESUME = "resume"
REQUEST = "request"
MAINTENANCE_ACTIONS = (PAUSE, RESUME, REQUEST)


class FleetLoaded:
    """The version in force was read from the replicated state.

    Attributes:
        fleet: FleetView of the version.
        grants: GrantViews of the live grants.
    """

    __slots__ = ("fleet", "grants")

    def __init__(self, fleet, grants=()):
        self.fleet = fleet
        self.grants = grants


class VmReported:
    """The platform reports the state of one VM.

    Attributes:
        vm: Name of the VM.
        state: One of ``views.VM_STATES``.
        sequence: Number that increases with each report about this VM.
    """

    __slots__ = ("vm", "state", "sequence")

    def __init__(self, vm, state, sequence):
        self.vm = vm
        self.state = state
        self.sequence = sequence


class ZoneReported:
    """A zone sent its report; its VMs that are not missing are alive.

    Attributes:
        zone: Name of the zone.
        measured_ms: Time of the measurement.
        missing: Names of the VMs that did not answer.
    """

    __slots__ = ("zone", "measured_ms", "missing")

    def __init__(self, zone, measured_ms, missing=()):
        self.zone = zone
        self.measured_ms = measured_ms
        self.missing = missing


class DemandReported:
    """The entries reported the demand of a service.

    Attributes:
        service: Name of the service.
        slots: Number of requests running and queued.
        measured_ms: Time of the measurement, not of the arrival.
    """

    __slots__ = ("service", "slots", "measured_ms")

    def __init__(self, service, slots, measured_ms):
        self.service = service
        self.slots = slots
        self.measured_ms = measured_ms


class LeadershipChanged:
    """Tells whether this process leads, and until when.

    Attributes:
        term: Term of the replicated log.
        lease_until_ms: End of the leader lease; 0 for a follower.
    """

    __slots__ = ("term", "lease_until_ms")

    def __init__(self, term, lease_until_ms):
        self.term = term
        self.lease_until_ms = lease_until_ms


class CommandConfirmed:
    """The log committed a command, or the platform accepted it."""

    __slots__ = ("command_id",)

    def __init__(self, command_id):
        self.command_id = command_id


class CommandRefused:
    """The log or the platform refused a command.

    Attributes:
        command_id: Id of the command.
        reason: Why it was refused, as a short text.
    """

    __slots__ = ("command_id", "reason")

    def __init__(self, command_id, reason):
        self.command_id = command_id
        self.reason = reason


class JobSubmitted:
    """A team submits a job.

    Attributes:
        job: Unique id.
        team: Team whose quota the job uses.
        pool: Pool whose workers may run the job.
        job_kind: Kind of the job; jobs of a kind have similar sizes and run
            times.
        declared: Declared Size.
        declared_run_ms: Declared run time.
        urgent: Whether the job must start within ``urgent_start_ms``.
        can_checkpoint: Whether the job can save its state and continue.
        may_run: Whether an attempt that an earlier leader started may still
            run; the job then waits for its report or for the end of a lease.
    """

    __slots__ = (
        "job",
        "team",
        "pool",
        "job_kind",
        "declared",
        "declared_run_ms",
        "urgent",
        "can_checkpoint",
        "may_run",
    )

    def __init__(
        self,
        job,
        team,
        pool,
        job_kind,
        declared,
        declared_run_ms,
        urgent=False,
        can_checkpoint=True,
        may_run=False,
    ):
        self.job = job
        self.team = team
        self.pool = pool
        self.job_kind = job_kind
        self.declared = declared
        self.declared_run_ms = declared_run_ms
        self.urgent = urgent
        self.can_checkpoint = can_checkpoint
        self.may_run = may_run


class JobsCancelled:
    """The listed jobs and, if ``team`` is set, all of its jobs are cancelled.

    Attributes:
        jobs: Ids of jobs.
        team: Name of a team, or "".
    """

    __slots__ = ("jobs", "team")

    def __init__(self, jobs=(), team=""):
        self.jobs = jobs
        self.team = team


class TaskReported:
    """A worker reports the state of a task.

    Attributes:
        job: Id of the job.
        vm: Name of the worker.
        attempt: Number of the attempt.
        state: One of ``TASK_STATES``.
    """

    __slots__ = ("job", "vm", "attempt", "state")

    def __init__(self, job, vm, attempt, state):
        self.job = job
        self.vm = vm
        self.attempt = attempt
        self.state = state


class UsageReported:
    """A worker reports, with some delay, what a task used.

    Attributes:
        job: Id of the job.
        used: Peak usage as a Size.
        measured_ms: Time of the measurement.
    """

    __slots__ = ("job", "used", "measured_ms")

    def __init__(self, job, used, measured_ms):
        self.job = job
        self.used = used
        self.measured_ms = measured_ms


class MaintenanceControlled:
    """An operator paused, resumed or requested maintenance.

    Attributes:
        action: ``pause`` or ``resume`` for the whole fleet, or ``request``
            for one VM.
        vm: Name of the VM of a request, else "".
    """

    __slots__ = ("action", "vm")

    def __init__(self, action, vm=""):
        self.action = action
        self.vm = vm


class Tick:
    """Time has passed; every pool is planned again."""

    __slots__ = ()

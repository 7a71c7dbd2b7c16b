"""Commands of the planner, for the replicated log or the platform."""

from wigeonport.registries import Registry

LOG = "log"
PLATFORM = "platform"
OPERATORS = "operators"

command_kinds = Registry("command")


class Command:
    """Base class of all commands; the ledger sets id and term.

    Attributes:
        command_id: ``term-number``; a repeated id has no second effect.
        term: Term of the leader that issued the command.
        kind: Name in ``command_kinds``.
        target: Receiver: ``log``, ``platform`` or ``operators``.
    """

    __slots__ = ("command_id", "term")
    kind = ""
    target = PLATFORM

    def __init__(self):
        self.command_id = None
        self.term = None

    def fields(self):
        """Returns the names of the fields of this kind."""
        return type(self).__slots__

    def __str__(self):
        pairs = (f"{name}={getattr(self, name)}" for name in self.fields())
        return " ".join((self.kind, *pairs))


def register(kind, target):
    """Returns a decorator that registers a command class.

    Args:
        kind: Name of the command in traces and at the platform.
        target: ``log``, ``platform`` or ``operators``.
    """

    def decorate(command_class):
        command_class.kind = kind
        command_class.target = target
        return command_kinds.register(kind)(command_class)

    return decorate


class VmCommand(Command):
    """A command about one VM with a reason."""

    __slots__ = ("vm", "reason")

    def __init__(self, vm, reason):
        super().__init__()
        self.vm = vm
        self.reason = reason

    def fields(self):
        """Returns the names of the fields of this kind."""
        return ("vm", "reason")


@register("drain_vm", PLATFORM)
class DrainVm(VmCommand):
    """Stops new work on a VM and lets running work finish."""

    __slots__ = ()


@register("undrain_vm", PLATFORM)
class UndrainVm(VmCommand):
    """Lets a drained or draining VM take new work again."""

    __slots__ = ()


@register("confirm_drain", LOG)
class ConfirmVmDrain(VmCommand):
    """Records that a draining VM has no running work left."""

    __slots__ = ()


@register("reboot_vm", PLATFORM)
class RebootVm(VmCommand):
    """Reboots a drained VM gracefully."""

    __slots__ = ()


@register("quarantine_worker", OPERATORS)
class QuarantineWorker(VmCommand):
    """Reports that a worker is quarantined and gets no new tasks."""

    __slots__ = ()


@register("release_worker", OPERATORS)
class ReleaseWorker(VmCommand):
    """Reports that a worker left quarantine and gets tasks again."""

    __slots__ = ()


@register("request_grant", LOG)
class RequestVmGrant(Command):
    """Requests or renews a grant, which permits taking a VM out of service.

    Attributes:
        vm: Name of the VM.
        purpose: ``maintenance`` or ``move``.
        destination: Pool that a move enters, else "".
        until_ms: End of the lease.
    """

    __slots__ = ("vm", "purpose", "destination", "until_ms")

    def __init__(self, vm, purpose, destination, until_ms):
        super().__init__()
        self.vm = vm
        self.purpose = purpose
        self.destination = destination
        self.until_ms = until_ms


@register("release_grant", LOG)
class ReleaseGrant(Command):
    """Ends the grant of a VM and tells whether the VM is healthy."""

    __slots__ = ("vm", "healthy", "reason")

    def __init__(self, vm, healthy, reason):
        super().__init__()
        self.vm = vm
        self.healthy = healthy
        self.reason = reason


@register("move_vm", LOG)
class MoveVm(Command):
    """Changes the pool of a drained VM, or removes the VM."""

    __slots__ = ("vm", "source", "destination")

    def __init__(self, vm, source, destination):
        super().__init__()
        self.vm = vm
        self.source = source
        self.destination = destination


@register("prepare_vm", PLATFORM)
class PrepareVm(Command):
    """Prepares a moved VM for the work of its new pool."""

    __slots__ = ("vm", "pool")

    def __init__(self, vm, pool):
        super().__init__()
        self.vm = vm
        self.pool = pool


@register("start_task", PLATFORM)
class StartTask(Command):
    """Starts an attempt of a job on a worker under a lease."""

    __slots__ = (
        "job",
        "vm",
        "attempt",
        "cores",
        "memory_mb",
        "accelerators",
        "until_ms",
    )

    def __init__(self, job, vm, attempt, size, until_ms):
        super().__init__()
        self.job = job
        self.vm = vm
        self.attempt = attempt
        self.cores = round(size.cores, 3)
        self.memory_mb = round(size.memory_mb, 1)
        self.accelerators = size.accelerators
        self.until_ms = until_ms


@register("renew_tasks", PLATFORM)
class RenewTasks(Command):
    """Renews the leases of all listed tasks of a pool in one message.

    The platform reports a listed task that does not run as stopped.

    Attributes:
        pool: Name of the pool.
        jobs: Ids of the jobs.
        vms: Worker of each job, in the same order.
        attempts: Attempt of each job, in the same order.
        until_ms: End of the leases.
    """

    __slots__ = ("pool", "jobs", "vms", "attempts", "until_ms")

    def __init__(self, pool, jobs, vms, attempts, until_ms):
        super().__init__()
        self.pool = pool
        self.jobs = jobs
        self.vms = vms
        self.attempts = attempts
        self.until_ms = until_ms


class TaskCommand(Command):
    """A command about one attempt of a job."""

    __slots__ = ("job", "vm", "attempt")

    def __init__(self, job, vm, attempt):
        super().__init__()
        self.job = job
        self.vm = vm
        self.attempt = attempt

    def fields(self):
        """Returns the names of the fields of this kind."""
        return ("job", "vm", "attempt")


@register("checkpoint_task", PLATFORM)
class CheckpointTask(TaskCommand):
    """Saves the state of a task and ends it."""

    __slots__ = ()


@register("stop_task", PLATFORM)
class StopTask(TaskCommand):
    """Ends a task without a checkpoint; its progress is lost."""

    __slots__ = ()


@register("throttle_task", PLATFORM)
class ThrottleTask(Command):
    """Limits a task to a share of its cores; 1 removes the limit."""

    __slots__ = ("job", "vm", "attempt", "share")

    def __init__(self, job, vm, attempt, share):
        super().__init__()
        self.job = job
        self.vm = vm
        self.attempt = attempt
        self.share = share


@register("cancel_jobs", PLATFORM)
class CancelJobs(Command):
    """Ends the running tasks of all cancelled jobs in one message."""

    __slots__ = ("jobs",)

    def __init__(self, jobs):
        super().__init__()
        self.jobs = jobs


@register("report_job", OPERATORS)
class ReportJob(Command):
    """Reports that a job can never run, with the reason."""

    __slots__ = ("job", "verdict", "reason")

    def __init__(self, job, verdict, reason):
        super().__init__()
        self.job = job
        self.verdict = verdict
        self.reason = reason


@register("report_wave", OPERATORS)
class ReportWave(Command):
    """Reports that maintenance paused or resumed, with the reason."""

    __slots__ = ("state", "reason")

    def __init__(self, state, reason):
        super().__init__()
        self.state = state
        self.reason = reason


@register("report_reserve", OPERATORS)
class ReportReserve(Command):
    """Reports a change of the reserve and whether a zone loss is covered."""

    __slots__ = ("needed", "held", "uncovered")

    def __init__(self, needed, held, uncovered):
        super().__init__()
        self.needed = needed
        self.held = held
        self.uncovered = uncovered

"""Operations on batch jobs, routes and upkeep waves in the replicated log.

The leader collects pending operations into one RecordBatch (see
``state_commands``), so that they are committed together.
"""

from wigeonport.codecs import message_kinds
from wigeonport.records import Record
from wigeonport.registries import Registry

OPERATIONS = Registry("batch operation")

UPKEEP = "upkeep"
MOVE = "move"


@message_kinds.register("BatchRecorded")
class BatchRecorded(Record):
    """Result of applying a RecordBatch: its number of operations."""

    __slots__ = ("count",)

    def __init__(self, count):
        self.count = count


@message_kinds.register("SubmitJob")
class SubmitJob(Record):
    """Accepts a job; has no effect if the job id already exists.

    Attributes:
        job_id: Id that the caller chose.
        queue: Name of the queue of the job.
        spec_json: JobSpec as JSON.
        tenant: Name of the tenant that owns the job, or None.
    """

    __slots__ = ("job_id", "queue", "spec_json", "tenant")

    def __init__(self, job_id, queue, spec_json, tenant=None):
        self.job_id = job_id
        self.queue = queue
        self.spec_json = spec_json
        self.tenant = tenant


@message_kinds.register("CancelJob")
class CancelJob(Record):
    """Cancels a job; has no effect if it has finished."""

    __slots__ = ("job_id",)

    def __init__(self, job_id):
        self.job_id = job_id


@message_kinds.register("AddTombstone")
class AddTombstone(Record):
    """Bars a job id that was cancelled before a submission of it arrived.

    Attributes:
        job_id: Id of the job.
        tenant: Name of the tenant that cancelled it, or "".
    """

    __slots__ = ("job_id", "tenant")

    def __init__(self, job_id, tenant):
        self.job_id = job_id
        self.tenant = tenant


@message_kinds.register("OpenOccurrence")
class OpenOccurrence(Record):
    """Makes the tasks of an occurrence that is due eligible to run."""

    __slots__ = ("job_id", "occurrence")

    def __init__(self, job_id, occurrence):
        self.job_id = job_id
        self.occurrence = occurrence


@message_kinds.register("StartRuns")
class StartRuns(Record):
    """Assigns runs of tasks to a worker, before the worker gets the order.

    Attributes:
        tasks: Task ids.
        runs: Run number of each task, in the same order.
        worker: Incarnation of the worker.
    """

    __slots__ = ("tasks", "runs", "worker")

    def __init__(self, tasks, runs, worker):
        self.tasks = tasks
        self.runs = runs
        self.worker = worker


@message_kinds.register("EndRuns")
class EndRuns(Record):
    """Records the outcomes of runs that have ended.

    Attributes:
        tasks: Task ids.
        runs: Run number of each task, in the same order.
        outcomes: Outcome of each run, for example ``done`` or ``lost``.
        checkpoints: Newest checkpoint of each task, or "" for none.
    """

    __slots__ = ("tasks", "runs", "outcomes", "checkpoints")

    def __init__(self, tasks, runs, outcomes, checkpoints):
        self.tasks = tasks
        self.runs = runs
        self.outcomes = outcomes
        self.checkpoints = checkpoints


@message_kinds.register("AdoptRoutes")
class AdoptRoutes(Record):
    """Replaces the routing table if the new version is higher.

    Attributes:
        version: Version number that the operator gave.
        document: RouteTable as compressed JSON; uncompressed, thousands of
            queues would exceed the maximum size of a log entry.
    """

    __slots__ = ("version", "document")

    def __init__(self, version, document):
        self.version = version
        self.document = document


@message_kinds.register("OpenWave")
class OpenWave(Record):
    """Accepts an upkeep wave; has no effect if its number already exists.

    Attributes:
        wave: Number that the operator gave.
        machines: Names of the machines that need upkeep.
        due_ms: Wall time by which the upkeep of all must have begun.
        max_count: Maximum number of machines of the wave that are down at
            the same time.
    """

    __slots__ = ("wave", "machines", "due_ms", "max_count")

    def __init__(self, wave, machines, due_ms, max_count):
        self.wave = wave
        self.machines = machines
        self.due_ms = due_ms
        self.max_count = max_count


@message_kinds.register("OrderMachine")
class OrderMachine(Record):
    """Records an order for a machine before it is sent to the platform.

    Attributes:
        machine: Name of the machine.
        purpose: UPKEEP or MOVE.
        target: Number of the wave for UPKEEP, name of the pool for MOVE.
    """

    __slots__ = ("machine", "purpose", "target")

    def __init__(self, machine, purpose, target):
        self.machine = machine
        self.purpose = purpose
        self.target = target


@message_kinds.register("ConfirmMachine")
class ConfirmMachine(Record):
    """Records that the platform has begun to execute an order."""

    __slots__ = ("machine",)

    def __init__(self, machine):
        self.machine = machine


@message_kinds.register("SettleMachine")
class SettleMachine(Record):
    """Records that an order is complete, whether executed or refused.

    Attributes:
        machine: Name of the machine.
        gone: Whether the machine no longer exists.
    """

    __slots__ = ("machine", "gone")

    def __init__(self, machine, gone):
        self.machine = machine
        self.gone = gone

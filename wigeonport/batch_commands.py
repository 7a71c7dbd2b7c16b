"""Commands that change batch jobs, routes and upkeep waves.

The leader groups the operations of a moment into one RecordBatch of
``state_commands``, so that they become durable together.
"""

from wigeonport.codecs import message_kinds
from wigeonport.records import Record
from wigeonport.registries import Registry

OPERATIONS = Registry("batch operation")

UPKEEP = "upkeep"
MOVE = "move"


@message_kinds.register("BatchRecorded")
class BatchRecorded(Record):
    """Answers a RecordBatch with the number of operations."""

    __slots__ = ("count",)

    def __init__(self, count):
        self.count = count


@message_kinds.register("SubmitJob")
class SubmitJob(Record):
    """Accepts a job; without effect if its id is known.

    Attributes:
        job_id: Id that the caller chose.
        queue: Name of the queue.
        spec_json: JobSpec as JSON.
    """

    __slots__ = ("job_id", "queue", "spec_json")

    def __init__(self, job_id, queue, spec_json):
        self.job_id = job_id
        self.queue = queue
        self.spec_json = spec_json


@message_kinds.register("CancelJob")
class CancelJob(Record):
    """Cancels a job; without effect if it has ended."""

    __slots__ = ("job_id",)

    def __init__(self, job_id):
        self.job_id = job_id


@message_kinds.register("OpenOccurrence")
class OpenOccurrence(Record):
    """Makes the tasks of an occurrence that is due eligible."""

    __slots__ = ("job_id", "occurrence")

    def __init__(self, job_id, occurrence):
        self.job_id = job_id
        self.occurrence = occurrence


@message_kinds.register("StartRuns")
class StartRuns(Record):
    """Assigns runs of tasks to a worker, before it is told.

    Attributes:
        tasks: Names of the tasks.
        runs: Number of the run of each.
        worker: Incarnation of the worker.
    """

    __slots__ = ("tasks", "runs", "worker")

    def __init__(self, tasks, runs, worker):
        self.tasks = tasks
        self.runs = runs
        self.worker = worker


@message_kinds.register("EndRuns")
class EndRuns(Record):
    """Records how runs have ended.

    Attributes:
        tasks: Names of the tasks.
        runs: Number of the run of each.
        outcomes: How each has ended.
        checkpoints: Newest checkpoint of each, or "".
    """

    __slots__ = ("tasks", "runs", "outcomes", "checkpoints")

    def __init__(self, tasks, runs, outcomes, checkpoints):
        self.tasks = tasks
        self.runs = runs
        self.outcomes = outcomes
        self.checkpoints = checkpoints


@message_kinds.register("AdoptRoutes")
class AdoptRoutes(Record):
    """Replaces the routing table if the version is higher.

    Attributes:
        version: Number that the operator gave.
        document: RouteTable as compressed JSON; thousands of queues would
            not fit into one entry of the log otherwise.
    """

    __slots__ = ("version", "document")

    def __init__(self, version, document):
        self.version = version
        self.document = document


@message_kinds.register("OpenWave")
class OpenWave(Record):
    """Accepts an upkeep wave; without effect if its number is known.

    Attributes:
        wave: Number that the operator gave.
        machines: Machines that are due.
        due_ms: Wall time by which all must have begun.
        max_count: Most machines of the wave that are down at a time.
    """

    __slots__ = ("wave", "machines", "due_ms", "max_count")

    def __init__(self, wave, machines, due_ms, max_count):
        self.wave = wave
        self.machines = machines
        self.due_ms = due_ms
        self.max_count = max_count


@message_kinds.register("OrderMachine")
class OrderMachine(Record):
    """Records an order to a machine before the platform is called.

    Attributes:
        machine: Machine.
        purpose: UPKEEP or MOVE.
        target: Number of the wave, or name of the pool.
    """

    __slots__ = ("machine", "purpose", "target")

    def __init__(self, machine, purpose, target):
        self.machine = machine
        self.purpose = purpose
        self.target = target


@message_kinds.register("ConfirmMachine")
class ConfirmMachine(Record):
    """Records that the platform has begun to carry out an order."""

    __slots__ = ("machine",)

    def __init__(self, machine):
        self.machine = machine


@message_kinds.register("SettleMachine")
class SettleMachine(Record):
    """Records that an order is over, carried out or refused.

    Attributes:
        machine: Machine.
        gone: Whether the machine does not exist any more.
    """

    __slots__ = ("machine", "gone")

    def __init__(self, machine, gone):
        self.machine = machine
        self.gone = gone

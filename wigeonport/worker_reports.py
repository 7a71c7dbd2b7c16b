"""What workers report of themselves and of their runs, and their orders."""

from wigeonport.records import Record


def worker_id_of(incarnation):
    """Returns the worker id in the name of a life of a worker."""
    return incarnation.partition("@")[0]


class Resources(Record):
    """Amounts of what tasks use.

    Attributes:
        cpu_milli: Thousandths of a core.
        memory_mb: Memory.
        gpu: Accelerators.
    """

    __slots__ = ("cpu_milli", "memory_mb", "gpu")

    def __init__(self, cpu_milli=0, memory_mb=0, gpu=0):
        self.cpu_milli = cpu_milli
        self.memory_mb = memory_mb
        self.gpu = gpu

    def subtract(self, step):
        """Subtracts what a task of a step uses."""
        if not step.fills:
            self.cpu_milli -= step.cpu_milli
        self.memory_mb -= step.memory_mb
        self.gpu -= step.gpu

    def fits(self, step):
        """Returns whether a task of a step fits."""
        if step.memory_mb > self.memory_mb or step.gpu > self.gpu:
            return False
        return step.fills or step.cpu_milli <= self.cpu_milli


class RunReport(Record):
    """A run that a worker reports as live.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        checkpoint: Newest checkpoint, or "".
        percent: Progress, for a lasting task 100 when it is at work.
        measurement: Tail latency in ms of a serving task, else the thousandths
            of a core in use, over about half a second.
    """

    __slots__ = ("task", "run", "checkpoint", "percent", "measurement")

    def __init__(self, task, run, checkpoint, percent, measurement):
        self.task = task
        self.run = run
        self.checkpoint = checkpoint
        self.percent = percent
        self.measurement = measurement


class RunEnd(Record):
    """A run that a worker reports as ended.

    Attributes:
        number: Number of the end in the life of the worker.
        task: Name of the task.
        run: Number of the run.
        outcome: How it ended.
        checkpoint: Newest checkpoint, or "".
    """

    __slots__ = ("number", "task", "run", "outcome", "checkpoint")

    def __init__(self, number, task, run, outcome, checkpoint):
        self.number = number
        self.task = task
        self.run = run
        self.outcome = outcome
        self.checkpoint = checkpoint


class WorkerReport(Record):
    """A heartbeat of a worker.

    Attributes:
        worker_id: Id that the worker gave itself.
        started_ms: Wall time of the start of this life.
        sequence: Number that rises with each heartbeat of a life.
        service: Service whose pool it belongs to.
        machine: VM whose life it is, or "".
        availability_zone: Its zone.
        rack: Its rack, or "".
        labels: All labels.
        capacity: Room of the empty worker, or None if it runs no tasks.
        draining: Whether it leaves.
        drain_remaining_ms: Time that is left to it at least.
        running: List of RunReport.
        ended: List of RunEnd that were not acknowledged.
    """

    __slots__ = (
        "worker_id",
        "started_ms",
        "sequence",
        "service",
        "machine",
        "availability_zone",
        "rack",
        "labels",
        "capacity",
        "draining",
        "drain_remaining_ms",
        "running",
        "ended",
    )

    def __init__(self, **values):
        for name in self.__slots__:
            setattr(self, name, values[name])

    @property
    def incarnation(self):
        """Name of this life of the worker."""
        return f"{self.worker_id}@{self.started_ms}"


class StartOrder(Record):
    """Tells a worker to start a run.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        payload: Text that the task is started with.
        checkpoint: Checkpoint to resume from, or "".
        ticket: Permission for this worker, or "".
    """

    __slots__ = ("task", "run", "payload", "checkpoint", "ticket")

    def __init__(self, task, run, payload, checkpoint, ticket=""):
        self.task = task
        self.run = run
        self.payload = payload
        self.checkpoint = checkpoint
        self.ticket = ticket


class WorkerOrders(Record):
    """Answer to a heartbeat.

    Attributes:
        starts: List of StartOrder.
        stops: Pairs of task and run to stop.
        rates: Triples of task, run and percent of full speed.
        run_lease_ms: Length of the lease of all that runs, counted from the
            sending of the heartbeat; 0 extends nothing.
        acknowledged: Number up to which ends are durable.
        fence: Term of the leader that gives the orders.
        retry_after_ms: When the next heartbeat is wanted.
    """

    __slots__ = (
        "starts",
        "stops",
        "rates",
        "run_lease_ms",
        "acknowledged",
        "fence",
        "retry_after_ms",
    )

    def __init__(self, fence, retry_after_ms):
        self.starts = []
        self.stops = []
        self.rates = []
        self.run_lease_ms = 0
        self.acknowledged = 0
        self.fence = fence
        self.retry_after_ms = retry_after_ms

"""Heartbeats of workers, and the orders in the replies to them."""

from wigeonport.records import Record


def worker_id_of(incarnation):
    """Returns the worker id that an incarnation name contains."""
    return incarnation.partition("@")[0]


class Resources(Record):
    """Amounts of CPU, memory and accelerators.

    Attributes:
        cpu_milli: CPU in thousandths of a core.
        memory_mb: Memory in MB.
        gpu: Number of accelerators.
    """

    __slots__ = ("cpu_milli", "memory_mb", "gpu")

    def __init__(self, cpu_milli=0, memory_mb=0, gpu=0):
        self.cpu_milli = cpu_milli
        self.memory_mb = memory_mb
        self.gpu = gpu

    def subtract(self, step):
        """Subtracts what one task of a step uses."""
        if not step.fills:
            self.cpu_milli -= step.cpu_milli
        self.memory_mb -= step.memory_mb
        self.gpu -= step.gpu

    def share_of(self, step):
        """Returns the largest share of any resource that one task uses."""
        cpu_milli = 0 if step.fills else step.cpu_milli
        return max(
            cpu_milli / max(1, self.cpu_milli),
            step.memory_mb / max(1, self.memory_mb),
            step.gpu / max(1, self.gpu),
        )

    def fits(self, step):
        """Returns whether one task of a step fits."""
        if step.memory_mb > self.memory_mb or step.gpu > self.gpu:
            return False
        return step.fills or step.cpu_milli <= self.cpu_milli

    def count_fitting(self, step, maximum):
        """Returns how many tasks of a step fit together, up to a maximum."""
        if not self.fits(step):
            return 0
        amounts = [(self.memory_mb, step.memory_mb), (self.gpu, step.gpu)]
        if not step.fills:
            amounts.append((self.cpu_milli, step.cpu_milli))
        counts = [int(free // need) for free, need in amounts if need]
        return min([maximum, *counts])


def mean_resources(capacities):
    """Returns the mean of a list of Resources, which must not be empty."""
    count = len(capacities)
    return Resources(
        sum(each.cpu_milli for each in capacities) / count,
        sum(each.memory_mb for each in capacities) / count,
        sum(each.gpu for each in capacities) / count,
    )


class RunReport(Record):
    """A run that a worker reports as live.

    Attributes:
        task: Task id.
        run: Number of the run.
        checkpoint: Newest checkpoint, or "".
        percent: Progress; 100 for a lasting task that is up and working;
            None if it is not known.
        measurement: Tail latency in ms for a serving task, otherwise the CPU
            in use in thousandths of a core; over about half a second.
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
        number: Sequence number of this end in the worker's incarnation.
        task: Task id.
        run: Number of the run.
        outcome: Outcome of the run, as the worker names it.
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
        worker_id: Id that the worker chose for itself.
        started_ms: Wall time at which this incarnation started.
        sequence: Number that increases with each heartbeat of an
            incarnation.
        service: Service whose pool the worker belongs to.
        machine: VM that the worker runs on, or "".
        availability_zone: Zone of the worker.
        rack: Rack of the worker, or "".
        labels: All labels of the worker.
        capacity: Total Resources of the worker, or None for a worker that
            never runs tasks.
        draining: Whether the worker drains and is about to leave.
        drain_remaining_ms: Minimum time until a draining worker stops.
        clock_ms: Steady clock of the worker when it made this report, or 0
            if it is not known.
        running: List of RunReport.
        ended: List of RunEnd that are not acknowledged yet.
        skipped_rows: Number of malformed rows of live and ended runs.
        skipped_ends: Numbers of the malformed rows of ended runs, as far as
            they could be read.
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
        "clock_ms",
        "running",
        "ended",
        "skipped_rows",
        "skipped_ends",
    )

    def __init__(self, skipped_rows=0, skipped_ends=(), **values):
        values |= {"skipped_rows": skipped_rows, "skipped_ends": skipped_ends}
        for name in self.__slots__:
            setattr(self, name, values[name])

    @property
    def incarnation(self):
        """Name of this incarnation of the worker: ``id@start``."""
        return f"{self.worker_id}@{self.started_ms}"


class StartOrder(Record):
    """Tells a worker to start a run.

    Attributes:
        task: Task id.
        run: Number of the run.
        payload: Text that the task gets as its input.
        checkpoint: Checkpoint to resume from, or "".
        ticket: Ticket that permits this worker to run the task, or "".
    """

    __slots__ = ("task", "run", "payload", "checkpoint", "ticket")

    def __init__(self, task, run, payload, checkpoint, ticket=""):
        self.task = task
        self.run = run
        self.payload = payload
        self.checkpoint = checkpoint
        self.ticket = ticket


class WorkerOrders(Record):
    """The reply to a heartbeat.

    Attributes:
        starts: List of StartOrder.
        stops: List of pairs (task id, run) of the runs to stop.
        rates: List of triples (task id, run, percent of full speed).
        run_lease_ms: Length of the lease of all live runs, counted from the
            sending of the heartbeat; 0 does not extend the lease.
        acknowledged: Number up to which the reported ends are committed.
        fence: Fencing token: the term of the leader that gives the orders.
        retry_after_ms: Time until the worker should send its next
            heartbeat.
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

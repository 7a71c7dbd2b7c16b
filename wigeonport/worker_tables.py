"""The leader's table of workers, rebuilt from their heartbeats each term."""

from wigeonport.worker_reports import Resources

# Share added to the lease because the clock of a worker may be 2% slow.
CLOCK_DRIFT = 0.03
# Time that a worker needs to stop its runs once its lease has expired
# (`stop-ms`).
STOP_MARGIN_MS = 250
# A worker drops an answer that arrives later than this after its heartbeat was
# sent, so that a heartbeat which took longer can't start anything.
MAX_DELAY_MS = 1_000
# Maximum number of removed incarnations whose last report is kept, far more
# than have a heartbeat in transmission.
MAX_REMOVED = 1_024


def lease_end_ms(run_lease_ms, now_ms):
    """Returns the latest time at which a run may be live.

    Args:
        run_lease_ms: Lease that the answer to a heartbeat grants.
        now_ms: Monotonic time of the answer.
    """
    return now_ms + int(run_lease_ms * (1 + CLOCK_DRIFT)) + STOP_MARGIN_MS


class RunProgress:
    """Progress of a run as its worker has reported it.

    Attributes:
        percent: Newest progress, in percent.
        first_ms: Time of the first report, from ``Worker.measured_ms``, as
            all times here.
        first_percent: Progress in the first report.
        changed_ms: Time of the last change of the progress.
    """

    __slots__ = ("percent", "first_ms", "first_percent", "changed_ms")

    def __init__(self, percent, now_ms):
        self.percent = percent
        self.first_ms = now_ms
        self.first_percent = percent
        self.changed_ms = now_ms

    def update(self, percent, now_ms):
        """Records the progress of a newer report."""
        if percent != self.percent:
            self.percent = percent
            self.changed_ms = now_ms

    def remaining_ms(self, now_ms):
        """Returns the estimated remaining time at the mean speed so far."""
        gained = max(1, self.percent - self.first_percent)
        return (100 - self.percent) * (now_ms - self.first_ms) / gained


class Worker:
    """One incarnation of a worker: its time between two restarts.

    Times are monotonic.

    Attributes:
        report: Newest WorkerReport.
        last_heartbeat_ms: Time at which that report arrived.
        delay_ms: How much longer that report took than the one before, by
            the worker's own clock.
        clock_offset_ms: Difference between this leader's clock and the
            worker's own clock at the first report that gave it, or None.
        lease_until_ms: Latest time at which its runs may be live.
        runs: Maps pairs of task id and run number to Step, for all runs
            that may be live.
        excluded_until_ms: Time before which no task is placed on it.
        stopping: Pairs of task id and run number, for the runs to stop so
            that their tasks start on other workers.
        fill_percent: Rate of its filler tasks, in percent of full speed.
        reserved_ms: Time since which it gets no tasks because its machine
            has an order or is being emptied for one, or None.
        progress: Maps pairs of task id and run number to RunProgress.
        ordered_ms: Maps pairs of task id and run number to the time of the
            order to start the run, from ``measured_ms``, or to None if it
            was ordered repeatedly.
        failed_jobs: Ids of the jobs with a task that failed on it since its
            last success.
        exclusion_ms: Duration of its last exclusion.
        acknowledged: Highest number of an end that an answer of this leader
            acknowledged.
    """

    __slots__ = (
        "report",
        "last_heartbeat_ms",
        "delay_ms",
        "clock_offset_ms",
        "lease_until_ms",
        "runs",
        "excluded_until_ms",
        "stopping",
        "fill_percent",
        "reserved_ms",
        "progress",
        "ordered_ms",
        "failed_jobs",
        "exclusion_ms",
        "acknowledged",
    )

    def __init__(self, report, now_ms):
        self.report = report
        self.last_heartbeat_ms = now_ms
        self.delay_ms = 0
        self.clock_offset_ms = None
        self.lease_until_ms = now_ms
        self.runs = {}
        self.excluded_until_ms = 0
        self.stopping = set()
        self.fill_percent = 100
        self.reserved_ms = None
        self.progress = {}
        self.ordered_ms = {}
        self.failed_jobs = set()
        self.exclusion_ms = 0
        self.acknowledged = 0

    @property
    def incarnation(self):
        """Worker id and start time, which identify the incarnation."""
        return self.report.incarnation

    def measured_ms(self):
        """Returns the time at which the newest report was made.

        A report may arrive seconds after it was made, so the progress of
        runs is timed by the worker's own clock. Only differences between
        these times are meaningful.
        """
        clock_ms = self.report.clock_ms
        if not clock_ms:
            return self.last_heartbeat_ms
        if self.clock_offset_ms is None:
            self.clock_offset_ms = self.last_heartbeat_ms - clock_ms
        return clock_ms + self.clock_offset_ms

    def extend_lease(self, run_lease_ms, now_ms):
        """Records that an answer extends the lease of all its runs."""
        until_ms = lease_end_ms(run_lease_ms, now_ms)
        self.lease_until_ms = max(self.lease_until_ms, until_ms)

    def free_capacity(self):
        """Returns the free capacity; runs being stopped still use theirs."""
        capacity = self.report.capacity
        free_capacity = Resources(
            capacity.cpu_milli, capacity.memory_mb, capacity.gpu
        )
        for step in self.runs.values():
            free_capacity.subtract(step)
        return free_capacity

    def capacity_beside_lasting(self):
        """Returns the capacity that is free beside the lasting runs."""
        capacity = self.report.capacity
        free_capacity = Resources(
            capacity.cpu_milli, capacity.memory_mb, capacity.gpu
        )
        for step in self.runs.values():
            if step.lasting:
                free_capacity.subtract(step)
        return free_capacity

    def receive(self, report, previous, now_ms):
        """Records a newer report.

        Args:
            report: WorkerReport.
            previous: Worker with the report before.
            now_ms: Time at which the report has arrived.
        """
        self.delay_ms = 0
        if report.clock_ms and previous.report.clock_ms:
            passed_ms = now_ms - previous.last_heartbeat_ms
            clock_passed_ms = report.clock_ms - previous.report.clock_ms
            self.delay_ms = passed_ms - clock_passed_ms
        self.report = report
        self.last_heartbeat_ms = now_ms

    def receives_answer(self):
        """Returns whether the answer to its newest report can be in time."""
        return self.delay_ms <= MAX_DELAY_MS

    def accepts_tasks(self, now_ms, silent_ms):
        """Returns whether new tasks may be placed on it."""
        return (
            self.report.capacity is not None
            and not self.report.draining
            and self.reserved_ms is None
            and now_ms >= self.excluded_until_ms
            and now_ms - self.last_heartbeat_ms <= silent_ms
        )


class WorkerTable:
    """The newest incarnation of each worker, and the runs on all of them.

    Attributes:
        by_id: Maps worker id to Worker.
        by_machine: Maps machine to Worker.
        runs: Maps incarnation to a dict from pairs of task id and run
            number to Step. Includes incarnations that have sent no
            heartbeat to this leader.
        removed: Maps incarnation to Worker, for the latest removed ones.
        pending: Maps incarnation to PendingRegistration.
    """

    __slots__ = ("by_id", "by_machine", "runs", "removed", "pending")

    def __init__(self):
        self.by_id = {}
        self.by_machine = {}
        self.runs = {}
        self.removed = {}
        self.pending = {}

    def record_heartbeat(self, report, now_ms):
        """Records a heartbeat that ``find_rejection`` has not rejected.

        Returns:
            The Worker, or None if the heartbeat is outdated, and the list
            of the incarnations that the sender has replaced: earlier ones
            of the same worker or on the same machine.
        """
        previous = self.by_id.get(report.worker_id)
        if previous is not None and is_outdated(report, previous.report):
            return None, []
        removed = self.removed.get(report.incarnation)
        if removed is not None and is_outdated(report, removed.report):
            return None, []
        replaced = []
        same_machine = (
            self.by_machine.get(report.machine) if report.machine else None
        )
        for other in (previous, same_machine):
            if other is None or other.incarnation == report.incarnation:
                continue
            if other.report.started_ms > report.started_ms:
                return None, []
            if other.incarnation not in replaced:
                replaced.append(other.incarnation)
                self.remove_worker(other)
        if previous is not None and previous.incarnation == report.incarnation:
            previous.receive(report, previous, now_ms)
            return previous, replaced
        worker = Worker(report, now_ms)
        if removed is not None:
            worker.receive(report, removed, now_ms)
        worker.runs = self.runs.setdefault(report.incarnation, {})
        self.by_id[report.worker_id] = worker
        if report.machine:
            self.by_machine[report.machine] = worker
        return worker, replaced

    def remove_worker(self, worker):
        """Removes a worker from the indexes; its runs stay.

        Its last report is kept, so that a heartbeat which was held up on its
        way does not bring back a worker that has left.
        """
        self.removed.pop(worker.incarnation, None)
        if len(self.removed) >= MAX_REMOVED:
            del self.removed[next(iter(self.removed))]
        self.removed[worker.incarnation] = worker
        report = worker.report
        if self.by_id.get(report.worker_id) is worker:
            del self.by_id[report.worker_id]
        if self.by_machine.get(report.machine) is worker:
            del self.by_machine[report.machine]

    def add_run(self, incarnation, task, run, step):
        """Records a run that may be live from now on."""
        self.runs.setdefault(incarnation, {})[task, run] = step

    def drop_run(self, incarnation, task, run):
        """Removes a run that has ended; returns its Step if it was live."""
        runs = self.runs.get(incarnation)
        return None if runs is None else runs.pop((task, run), None)

    def of_service(self, service):
        """Returns the workers of a service."""
        return [
            worker
            for worker in self.by_id.values()
            if worker.report.service == service
        ]

    def count_senders(self):
        """Returns the number of senders of heartbeats."""
        return len(self.by_id) + len(self.pending)

    def incarnations(self):
        """Returns the incarnations that have sent a heartbeat."""
        return {worker.incarnation for worker in self.by_id.values()}


def is_outdated(report, newest):
    """Returns whether a heartbeat is not newer than the newest one."""
    if report.started_ms != newest.started_ms:
        return report.started_ms < newest.started_ms
    return report.sequence <= newest.sequence

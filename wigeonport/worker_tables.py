"""The leader's view of the workers; rebuilt from their heartbeats."""

from wigeonport.worker_reports import Resources

# Lease time that is added because the clock of a worker may be 2% slow.
CLOCK_DRIFT = 0.03
# Time in which a stop takes effect after a lease has lapsed (`stop-ms`).
STOP_MARGIN_MS = 250


def lease_end_ms(run_lease_ms, now_ms):
    """Returns until when runs with a lease of now may live at the latest."""
    return now_ms + int(run_lease_ms * (1 + CLOCK_DRIFT)) + STOP_MARGIN_MS


class RunProgress:
    """Progress of a run as its worker has reported it.

    Attributes:
        percent: Newest percent.
        first_ms: When the run was reported first.
        first_percent: Percent of that report.
        changed_ms: When the percent changed last.
    """

    __slots__ = ("percent", "first_ms", "first_percent", "changed_ms")

    def __init__(self, percent, now_ms):
        self.percent = percent
        self.first_ms = now_ms
        self.first_percent = percent
        self.changed_ms = now_ms

    def note(self, percent, now_ms):
        """Takes in a newer report."""
        if percent != self.percent:
            self.percent = percent
            self.changed_ms = now_ms

    def left_ms(self, now_ms):
        """Returns how long the run takes yet at its speed so far."""
        gained = max(1, self.percent - self.first_percent)
        return (100 - self.percent) * (now_ms - self.first_ms) / gained


class Worker:
    """One life of a worker.

    Attributes:
        report: Newest WorkerReport.
        heard_ms: When it arrived.
        lease_until_ms: Until when its runs may live at the latest.
        runs: Step by pair of task and run, for all that may be live.
        shunned_until_ms: No task is placed on it before.
        stopping: Pairs of task and run that the leader wants moved.
        fill_percent: Speed of the tasks that fill.
        reserved_ms: Since when it is being emptied for a machine order, or
            None.
        progress: RunProgress by pair of task and run.
        failed_jobs: Jobs that failed on it since its last success.
        shun_ms: Length of its last exclusion.
    """

    __slots__ = (
        "report",
        "heard_ms",
        "lease_until_ms",
        "runs",
        "shunned_until_ms",
        "stopping",
        "fill_percent",
        "reserved_ms",
        "progress",
        "failed_jobs",
        "shun_ms",
    )

    def __init__(self, report, now_ms):
        self.report = report
        self.heard_ms = now_ms
        self.lease_until_ms = now_ms
        self.runs = {}
        self.shunned_until_ms = 0
        self.stopping = set()
        self.fill_percent = 100
        self.reserved_ms = None
        self.progress = {}
        self.failed_jobs = set()
        self.shun_ms = 0

    @property
    def incarnation(self):
        """Name of this life."""
        return self.report.incarnation

    def extend_lease(self, run_lease_ms, now_ms):
        """Notes that an answer extends the lease of all that runs."""
        until_ms = lease_end_ms(run_lease_ms, now_ms)
        self.lease_until_ms = max(self.lease_until_ms, until_ms)

    def room(self):
        """Returns what is free; what is being stopped still counts."""
        capacity = self.report.capacity
        room = Resources(capacity.cpu_milli, capacity.memory_mb, capacity.gpu)
        for step in self.runs.values():
            room.subtract(step)
        return room

    def accepts(self, now_ms, silent_ms):
        """Returns whether new tasks may be placed on it."""
        return (
            self.report.capacity is not None
            and not self.report.draining
            and self.reserved_ms is None
            and now_ms >= self.shunned_until_ms
            and now_ms - self.heard_ms <= silent_ms
        )


class WorkerTable:
    """Workers by id, and the newest life of each machine.

    Attributes:
        by_id: Worker by worker id.
        by_machine: Worker by machine.
        runs: Dict of Step by pair of task and run, by incarnation; also
            for incarnations that have not been heard by this leader.
    """

    __slots__ = ("by_id", "by_machine", "runs")

    def __init__(self):
        self.by_id = {}
        self.by_machine = {}
        self.runs = {}

    def admit(self, report, now_ms):
        """Takes in a heartbeat.

        Returns:
            The Worker, or None if the heartbeat is outdated, and the list
            of the incarnations that it shows to be over.
        """
        known = self.by_id.get(report.worker_id)
        if known is not None and is_outdated(report, known.report):
            return None, []
        over = []
        twin = self.by_machine.get(report.machine) if report.machine else None
        for other in (known, twin):
            if other is None or other.incarnation == report.incarnation:
                continue
            if other.report.started_ms > report.started_ms:
                return None, []
            if other.incarnation not in over:
                over.append(other.incarnation)
                self.forget(other)
        if known is not None and known.incarnation == report.incarnation:
            known.report = report
            known.heard_ms = now_ms
            return known, over
        worker = Worker(report, now_ms)
        worker.runs = self.runs.setdefault(report.incarnation, {})
        self.by_id[report.worker_id] = worker
        if report.machine:
            self.by_machine[report.machine] = worker
        return worker, over

    def forget(self, worker):
        """Removes a worker that is gone."""
        report = worker.report
        if self.by_id.get(report.worker_id) is worker:
            del self.by_id[report.worker_id]
        if self.by_machine.get(report.machine) is worker:
            del self.by_machine[report.machine]

    def add_run(self, incarnation, task, run, step):
        """Notes a run that may be live."""
        self.runs.setdefault(incarnation, {})[task, run] = step

    def drop_run(self, incarnation, task, run):
        """Notes that a run has ended."""
        runs = self.runs.get(incarnation)
        if runs is not None:
            runs.pop((task, run), None)

    def of_service(self, service):
        """Returns the workers of a service."""
        return [
            worker
            for worker in self.by_id.values()
            if worker.report.service == service
        ]

    def incarnations(self):
        """Returns the incarnations of all known lives."""
        return {worker.incarnation for worker in self.by_id.values()}


def is_outdated(report, newest):
    """Returns whether a heartbeat is older than the newest one."""
    if report.started_ms != newest.started_ms:
        return report.started_ms < newest.started_ms
    return report.sequence <= newest.sequence

"""Settings of the decisions on batch jobs."""

import math

from wigeonport.records import Record


class BatchSettings(Record):
    """Settings of the dispatcher.

    Attributes:
        run_lease_ms: Lease that the reply to a heartbeat gives to the runs
            on a worker. It outlasts a change of leader (about 2.5 s: the
            election timeout and a lost heartbeat) and limits how long the
            tasks of a lost worker stay blocked.
        heartbeat_interval_ms: Minimum interval between the heartbeats of a
            worker that has no change to report.
        interval_per_worker_ms: Heartbeat interval per worker. It limits a
            leader to 250 heartbeats per second, unless the interval would
            exceed a quarter of the lease.
        max_silent_intervals: Number of heartbeat intervals without a
            heartbeat after which a worker gets no more tasks.
        job_order: Name of the ordering of jobs, in ``job_orders``. Without
            tenants, "weighted" is "feasible".
        takeover_wait_ms: Time after a change of leader in which a machine
            with a recent order gets no new one, because the former leader
            may just have sent it one.
        max_job_bytes: Memory that accepted jobs may take.
        separate_interfering_tasks: Whether kinds of task that slow each
            other down are learned and kept apart.
        separated_pairs: Texts ``KIND beside KIND`` of the kinds that are
            kept apart whatever is learned.
        unseparated_pairs: The same for kinds that are never kept apart.
    """

    __slots__ = (
        "run_lease_ms",
        "heartbeat_interval_ms",
        "interval_per_worker_ms",
        "max_silent_intervals",
        "job_order",
        "takeover_wait_ms",
        "max_job_bytes",
        "separate_interfering_tasks",
        "separated_pairs",
        "unseparated_pairs",
    )

    def __init__(self, max_hold_ms=10_000, lease_ms=3_000):
        self.run_lease_ms = min(4_500, max_hold_ms)
        self.heartbeat_interval_ms = 400
        self.interval_per_worker_ms = 4
        self.max_silent_intervals = 3.75
        self.job_order = "weighted"
        self.takeover_wait_ms = lease_ms + 500
        self.max_job_bytes = math.inf
        self.separate_interfering_tasks = False
        self.separated_pairs = ()
        self.unseparated_pairs = ()

    def choose_heartbeat_interval(self, workers):
        """Returns the heartbeat interval, in ms, for a number of workers.

        The result is at most a quarter of the lease, so that four heartbeats
        fit into a lease, however many workers there are.
        """
        wanted_ms = max(
            self.heartbeat_interval_ms, self.interval_per_worker_ms * workers
        )
        return min(wanted_ms, self.run_lease_ms // 4)

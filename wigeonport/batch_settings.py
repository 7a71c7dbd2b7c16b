"""Figures that the decisions on batch jobs depend on."""

from wigeonport.records import Record


class BatchSettings(Record):
    """Settings of the dispatcher.

    Attributes:
        run_lease_ms: Lease that an answer gives to what runs on a worker. It
            covers a change of leader (about 2.5 s, from the election
            timeout and a lost heartbeat) and bounds the time in which the
            tasks of a lost worker are blocked.
        heartbeat_interval_ms: Shortest interval of heartbeats of a worker without
            news.
        interval_per_worker_ms: Interval of heartbeats for each worker; bounds
            the heartbeats that one leader answers to 250 a second.
        max_silent_intervals: A worker that has been silent for more intervals gets
            no task.
        job_order: Name in ``job_orders``.
        max_filler_tasks_per_step: Most filling tasks of a step on one worker.
        takeover_wait_ms: Time after a change of leader without orders for a
            machine to which the former leader may just have given one.
    """

    __slots__ = (
        "run_lease_ms",
        "heartbeat_interval_ms",
        "interval_per_worker_ms",
        "max_silent_intervals",
        "job_order",
        "max_filler_tasks_per_step",
        "takeover_wait_ms",
    )

    def __init__(self, max_hold_ms=10_000, lease_ms=3_000):
        self.run_lease_ms = min(4_500, max_hold_ms)
        self.heartbeat_interval_ms = 400
        self.interval_per_worker_ms = 4
        self.max_silent_intervals = 3.75
        self.job_order = "objective"
        self.max_filler_tasks_per_step = 2
        self.takeover_wait_ms = lease_ms + 500

    def choose_heartbeat_interval(self, workers):
        """Returns the interval of heartbeats for a number of workers.

        Four heartbeats fit into a lease, however many workers there are.
        """
        wanted_ms = max(
            self.heartbeat_interval_ms, self.interval_per_worker_ms * workers
        )
        return min(wanted_ms, self.run_lease_ms // 4)

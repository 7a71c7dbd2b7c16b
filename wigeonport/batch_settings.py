"""Figures that the decisions on batch jobs depend on."""

from wigeonport.records import Record


class BatchSettings(Record):
    """Settings of the dispatcher.

    Attributes:
        hold_ms: Lease that an answer gives to what runs on a worker. It
            covers a change of leader (about 2.5 s, from the election
            timeout and a lost heartbeat) and bounds the time in which the
            tasks of a lost worker are blocked.
        retry_after_ms: Interval of heartbeats of a worker without news.
        silence_ms: A worker that has been silent for longer gets no task.
        job_order: Name in ``job_orders``.
        max_fills_per_step: Most filling tasks of a step on one worker.
        occurrence_lead_ms: How early an occurrence may be opened.
        duty_wait_ms: Time after a change of leader without machine orders.
    """

    __slots__ = (
        "hold_ms",
        "retry_after_ms",
        "silence_ms",
        "job_order",
        "max_fills_per_step",
        "occurrence_lead_ms",
        "duty_wait_ms",
    )

    def __init__(self, max_hold_ms=10_000, lease_ms=3_000):
        self.hold_ms = min(4_500, max_hold_ms)
        self.retry_after_ms = 400
        self.silence_ms = 1_500
        self.job_order = "objective"
        self.max_fills_per_step = 2
        self.occurrence_lead_ms = 0
        self.duty_wait_ms = lease_ms + 500

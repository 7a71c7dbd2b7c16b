"""Quarantines: endpoints that keep failing get only occasional probes."""

QUARANTINE_FAILURES = 5
INITIAL_PROBE_INTERVAL_MS = 1_000
MAX_PROBE_INTERVAL_MS = 30_000
# Largest share of a service's endpoints in quarantine. When more of them
# fail, the cause is more likely the requests or the service as a whole.
MAX_QUARANTINED_SHARE = 1 / 3


class Health:
    """Failures of one endpoint as observed by this entry.

    Attributes:
        consecutive_failures: Number of failures since the last success.
        quarantined: Whether it gets only probes.
        next_probe_ms: Monotonic time when the next probe may be sent.
        probe_interval_ms: Time between two probes; doubles with each
            failed probe.
        probing: Whether a probe is in flight.
    """

    __slots__ = (
        "consecutive_failures",
        "quarantined",
        "next_probe_ms",
        "probe_interval_ms",
        "probing",
    )

    def __init__(self):
        self.reset()

    def reset(self):
        """Clears all failures and ends the quarantine."""
        self.consecutive_failures = 0
        self.quarantined = False
        self.next_probe_ms = 0
        self.probe_interval_ms = INITIAL_PROBE_INTERVAL_MS
        self.probing = False

    def accepts(self, request, now_ms):
        """Returns whether a request may be sent to the endpoint.

        A probe should be a repeatable request: if it fails, another endpoint
        can still answer it. If no such request has come for a further
        interval after the probe was due, any request serves as the probe.
        """
        if not self.quarantined:
            return True
        if self.probing or now_ms < self.next_probe_ms:
            return False
        probe_overdue = now_ms >= self.next_probe_ms + self.probe_interval_ms
        return request.repeatable or probe_overdue

    def record_dispatch(self):
        """Marks a request sent to a quarantined endpoint as its probe."""
        self.probing = self.quarantined

    def record_success(self):
        """Records a complete answer; returns whether a quarantine ended."""
        was_quarantined = self.quarantined
        self.reset()
        return was_quarantined

    def record_failure(self, now_ms, may_quarantine):
        """Records a failure; returns whether a quarantine began.

        Args:
            now_ms: Monotonic time.
            may_quarantine: Whether one more endpoint of the service may be
                quarantined.
        """
        self.consecutive_failures += 1
        if self.quarantined:
            self.probing = False
            self.probe_interval_ms = min(
                self.probe_interval_ms * 2, MAX_PROBE_INTERVAL_MS
            )
            self.next_probe_ms = now_ms + self.probe_interval_ms
            return False
        if (
            self.consecutive_failures < QUARANTINE_FAILURES
            or not may_quarantine
        ):
            return False
        self.quarantined = True
        self.probe_interval_ms = INITIAL_PROBE_INTERVAL_MS
        self.next_probe_ms = now_ms + self.probe_interval_ms
        return True


def may_quarantine(healths):
    """Returns whether one more endpoint of a service may be quarantined.

    Args:
        healths: Health of each endpoint of the service.
    """
    count = sum(health.quarantined for health in healths)
    return count + 1 <= len(healths) * MAX_QUARANTINED_SHARE

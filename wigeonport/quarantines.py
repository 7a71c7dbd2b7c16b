"""Quarantines: endpoints that fail everything get no work for a while."""

FAILURES_IN_A_ROW = 5
FIRST_PROBE_MS = 1_000
LAST_PROBE_MS = 30_000
# Largest share of a service's endpoints in quarantine. When more of them
# fail, the fault is more likely in the requests or in the service.
LARGEST_SHARE = 1 / 3


class Health:
    """Failures of one endpoint as this entry sees them.

    Attributes:
        failures: Failures since the last success.
        quarantined: Whether it gets probes only.
        probe_ms: When the next probe may be sent.
        interval_ms: Time between two probes.
        probing: Whether a probe is under way.
    """

    __slots__ = (
        "failures",
        "quarantined",
        "probe_ms",
        "interval_ms",
        "probing",
    )

    def __init__(self):
        self.release()

    def release(self):
        """Starts afresh."""
        self.failures = 0
        self.quarantined = False
        self.probe_ms = 0
        self.interval_ms = FIRST_PROBE_MS
        self.probing = False

    def accepts(self, request, now_ms):
        """Returns whether a request may be sent.

        A probe is a repeatable request: if it fails, another endpoint can
        still answer it. A service without such requests is probed with any
        request once the interval has passed twice.
        """
        if not self.quarantined:
            return True
        if self.probing or now_ms < self.probe_ms:
            return False
        late = now_ms >= self.probe_ms + self.interval_ms
        return request.repeatable or late

    def note_sent(self):
        """Notes that a request was sent."""
        self.probing = self.quarantined

    def note_success(self):
        """Notes a whole answer; returns whether a quarantine ended."""
        ended = self.quarantined
        self.release()
        return ended

    def note_failure(self, now_ms, may_quarantine):
        """Notes a failure; returns whether a quarantine began.

        Args:
            now_ms: Monotonic time.
            may_quarantine: Whether the floor allows one more.
        """
        self.failures += 1
        if self.quarantined:
            self.probing = False
            self.interval_ms = min(self.interval_ms * 2, LAST_PROBE_MS)
            self.probe_ms = now_ms + self.interval_ms
            return False
        if self.failures < FAILURES_IN_A_ROW or not may_quarantine:
            return False
        self.quarantined = True
        self.interval_ms = FIRST_PROBE_MS
        self.probe_ms = now_ms + self.interval_ms
        return True


def may_quarantine(healths):
    """Returns whether one more of a service's endpoints may be set aside."""
    count = sum(health.quarantined for health in healths)
    return count + 1 <= len(healths) * LARGEST_SHARE

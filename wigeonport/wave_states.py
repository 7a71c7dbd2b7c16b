"""State of the maintenance wave and the failures seen in it."""


class WaveState:
    """Pause, resume and recent failures.

    Attributes:
        failures: Times of recent VM failures in ms.
        pause_reason: Why maintenance is paused, or "".
        by_operator: Whether only an operator ends the pause.
        zone: Zone in maintenance, or None.
        reported: Pause reason last reported to operators.
        completed: Number of VMs maintained.
    """

    __slots__ = (
        "failures",
        "pause_reason",
        "by_operator",
        "zone",
        "reported",
        "completed",
    )

    def __init__(self):
        self.failures = []
        self.pause_reason = ""
        self.by_operator = False
        self.zone = None
        self.reported = ""
        self.completed = 0

    def record_failure(self, now_ms):
        """Records the failure of a VM."""
        self.failures.append(now_ms)

    def drop_failures(self, before_ms):
        """Drops failures older than a time."""
        self.failures = [
            failed_ms for failed_ms in self.failures if failed_ms >= before_ms
        ]

    def pause(self, reason, by_operator=False):
        """Pauses maintenance; an operator's pause outlasts others."""
        if self.pause_reason and self.by_operator:
            return
        self.pause_reason = reason
        self.by_operator = by_operator

    def resume(self):
        """Ends a pause."""
        self.pause_reason = ""
        self.by_operator = False

"""State of the maintenance wave."""


class WaveState:
    """Pause, current zone and recent failures of the maintenance wave.

    Attributes:
        failures: Times of recent VM failures in ms.
        pause_reason: Why maintenance is paused, or "".
        operator_must_resume: Whether only an operator can end the pause.
        zone: Zone whose VMs are maintained now, or None.
        reported_reason: Pause reason last reported to operators, or "".
        completed: Number of VMs maintained so far.
    """

    __slots__ = (
        "failures",
        "pause_reason",
        "operator_must_resume",
        "zone",
        "reported_reason",
        "completed",
    )

    def __init__(self):
        self.failures = []
        self.pause_reason = ""
        self.operator_must_resume = False
        self.zone = None
        self.reported_reason = ""
        self.completed = 0

    def record_failure(self, now_ms):
        """Records the failure of a VM."""
        self.failures.append(now_ms)

    def drop_failures(self, before_ms):
        """Drops the failures before a time."""
        self.failures = [
            failed_ms for failed_ms in self.failures if failed_ms >= before_ms
        ]

    def pause(self, reason, operator_must_resume=False):
        """Pauses maintenance; keeps a pause that only an operator can end."""
        if self.pause_reason and self.operator_must_resume:
            return
        self.pause_reason = reason
        self.operator_must_resume = operator_must_resume

    def resume(self):
        """Ends a pause."""
        self.pause_reason = ""
        self.operator_must_resume = False

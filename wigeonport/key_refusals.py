"""The log of calls that were refused because they had no valid key."""

from wigeonport.logs import PartLogger

logger = PartLogger("dispatch")

# Anybody can send calls without a valid key, so one line stands for all of a
# second.
LOG_INTERVAL_MS = 1_000


class KeyRefusals:
    """Logs refused calls, at most one line for each ``LOG_INTERVAL_MS``.

    Attributes:
        refused: Number of refused calls since the last line.
        due_ms: Monotonic time from which the next line may be logged.
    """

    __slots__ = ("refused", "due_ms")

    def __init__(self):
        self.refused = 0
        self.due_ms = 0

    def record(self, reason, now_ms):
        """Counts a refused call, and logs the count if a line is due.

        Args:
            reason: Why the newest one was refused; names its queue.
            now_ms: Monotonic time.
        """
        self.refused += 1
        if now_ms < self.due_ms:
            return
        logger.warning(
            "Calls without a valid key refused.",
            calls=self.refused,
            newest=reason,
        )
        self.refused = 0
        self.due_ms = now_ms + LOG_INTERVAL_MS

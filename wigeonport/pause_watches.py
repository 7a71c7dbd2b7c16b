"""Notices pauses of this process, during which nothing was read.

A request that is read after a pause may have arrived at its beginning: its
bytes were in the receive buffer of the connection, or the connection was in
the backlog of the listener.
"""

import collections

# A longer time between two observations is a pause. The listener observes at
# least every 500 ms unless the process is late.
MIN_PAUSE_MS = 750
# Running time after a pause until everything that arrived during it was read.
SETTLE_MS = 1_000


class PauseWatch:
    """Estimates when requests arrived that are read after a pause.

    Attributes:
        clock: Clock.
        observed_ms: Monotonic time of the last observation.
        running_ms: Time for which the process ran. Up to ``MIN_PAUSE_MS``
            between two observations count, so that a process that is always
            late does not treat all requests as old.
        pauses: Pairs of the monotonic time at which a pause began and the
            running time at its end, oldest first.
    """

    __slots__ = ("clock", "observed_ms", "running_ms", "pauses")

    def __init__(self, clock):
        self.clock = clock
        self.observed_ms = clock.now()
        self.running_ms = 0
        self.pauses = collections.deque()

    def observe(self):
        """Notes that the process runs; returns the monotonic time."""
        now_ms = self.clock.now()
        passed_ms = now_ms - self.observed_ms
        self.running_ms += min(passed_ms, MIN_PAUSE_MS)
        if passed_ms > MIN_PAUSE_MS:
            self.pauses.append((self.observed_ms, self.running_ms))
        self.observed_ms = now_ms
        while self.pauses and self.running_ms - self.pauses[0][1] > SETTLE_MS:
            self.pauses.popleft()
        return now_ms

    def earliest_arrival(self):
        """Returns the earliest time at which what is read now may have come.

        It is a monotonic time.
        """
        now_ms = self.observe()
        return self.pauses[0][0] if self.pauses else now_ms

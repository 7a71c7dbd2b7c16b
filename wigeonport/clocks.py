"""Time in integer milliseconds."""

import time

import trio


class Clock:
    """Reads the clocks of this VM.

    CLOCK_MONOTONIC stands still while a VM is suspended, so that a leader
    lease would outlive its time; CLOCK_BOOTTIME goes on.
    """

    __slots__ = ()

    def now(self):
        """Returns the monotonic time in ms; its origin is arbitrary."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def wall(self):
        """Returns the time since the Unix epoch in ms."""
        return time.time_ns() // 1_000_000

    async def sleep(self, duration_ms):
        """Waits for a number of milliseconds."""
        await trio.sleep(duration_ms / 1000)


class ManualClock(Clock):
    """A clock that moves only when told to; for replay and tests.

    Attributes:
        now_ms: Current monotonic time.
        offset_ms: Difference between wall time and monotonic time.
    """

    __slots__ = ("now_ms", "offset_ms")

    def __init__(self, now_ms=0, offset_ms=0):
        self.now_ms = now_ms
        self.offset_ms = offset_ms

    def now(self):
        """Returns the current manual time in ms."""
        return self.now_ms

    def wall(self):
        """Returns the manual wall time in ms."""
        return self.now_ms + self.offset_ms

    def advance(self, duration_ms):
        """Moves the clock forward."""
        self.now_ms += duration_ms


class LamportCounter:
    """Counts events so that a message is numbered after its cause.

    Source: L. Lamport, "Time, Clocks, and the Ordering of Events in a
    Distributed System", 1978.

    Attributes:
        value: Number of the latest event.
    """

    __slots__ = ("value",)

    def __init__(self):
        self.value = 0

    def tick(self):
        """Returns the number of a new event of this process."""
        self.value += 1
        return self.value

    def observe(self, value):
        """Moves past the number on a received message."""
        self.value = max(self.value, value) + 1

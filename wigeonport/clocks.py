"""Clocks in integer milliseconds, and the Lamport counter."""

import time

import trio


class Clock:
    """Reads the clocks of this VM.

    The monotonic time is CLOCK_BOOTTIME, which goes on while a VM is
    suspended. CLOCK_MONOTONIC stops, so that a leader lease would still seem
    valid after it expired.
    """

    __slots__ = ()

    def now(self):
        """Returns the monotonic time in ms; its origin is arbitrary."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def wall(self):
        """Returns the time since the Unix epoch in ms."""
        return time.time_ns() // 1_000_000

    async def sleep(self, duration_ms):
        """Sleeps for ``duration_ms``; other tasks run meanwhile."""
        await trio.sleep(duration_ms / 1000)


class ManualClock(Clock):
    """A clock that moves only by ``advance``; for replays and tests.

    Attributes:
        now_ms: Current monotonic time in ms.
        offset_ms: Wall time minus monotonic time, in ms.
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
        """Moves the clock forward by ``duration_ms``."""
        self.now_ms += duration_ms


class LamportCounter:
    """Numbers events so that an effect has a higher number than its cause.

    Source: L. Lamport, "Time, Clocks, and the Ordering of Events in a
    Distributed System", 1978.

    Attributes:
        value: Lamport number of the latest event.
    """

    __slots__ = ("value",)

    def __init__(self):
        self.value = 0

    def tick(self):
        """Returns the Lamport number of a new event of this process."""
        self.value += 1
        return self.value

    def observe(self, value):
        """Raises the counter above the number of a received message."""
        self.value = max(self.value, value) + 1

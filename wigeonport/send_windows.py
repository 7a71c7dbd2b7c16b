"""Bound of the bytes that a process has under way to another one."""

import collections

import trio


class SendWindow:
    """Counts messages under way; others wait in the order of their arrival.

    It belongs to one task and its children, and no method but ``acquire``
    waits.

    Attributes:
        limit_bytes: Bytes that may be under way. A larger message goes alone.
        used_bytes: Bytes that are under way.
        waiting: Pairs of size and trio.Event of the messages that wait.
    """

    __slots__ = ("limit_bytes", "used_bytes", "waiting")

    def __init__(self, limit_bytes):
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.waiting = collections.deque()

    def fits(self, size_bytes):
        """Returns whether a message may go now."""
        return (
            not self.used_bytes
            or self.used_bytes + size_bytes <= self.limit_bytes
        )

    async def acquire(self, size_bytes, timeout_ms):
        """Waits until a message may go.

        Returns:
            Whether it may; otherwise the time has run out and it must not be
            sent.
        """
        if not self.waiting and self.fits(size_bytes):
            self.used_bytes += size_bytes
            return True
        entry = (size_bytes, trio.Event())
        self.waiting.append(entry)
        try:
            with trio.move_on_after(max(timeout_ms, 0) / 1000):
                await entry[1].wait()
        except trio.Cancelled:
            if entry[1].is_set():
                self.release(size_bytes)
            raise
        finally:
            if not entry[1].is_set():
                self.waiting.remove(entry)
                self.admit()
        return entry[1].is_set()

    def release(self, size_bytes):
        """Ends a message that was under way."""
        self.used_bytes -= size_bytes
        self.admit()

    def admit(self):
        """Lets the messages go that fit, the oldest first."""
        while self.waiting and self.fits(self.waiting[0][0]):
            size_bytes, event = self.waiting.popleft()
            self.used_bytes += size_bytes
            event.set()

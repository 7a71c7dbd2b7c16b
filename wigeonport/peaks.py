"""Lengths of demand peaks, learned to judge whether a move still pays."""

KEPT_PEAKS = 5
KEPT_SHARED_PEAKS = 20
# Peaks of other pools are used only when there are this many.
LEAST_SHARED_PEAKS = 2


class PeakRecord:
    """Peaks of one pool: times in which it needs more than its own VMs.

    Attributes:
        started_ms: Start of the present peak, or None.
        lengths_ms: Lengths of the last peaks, oldest first.
    """

    __slots__ = ("started_ms", "lengths_ms")

    def __init__(self):
        self.started_ms = None
        self.lengths_ms = []

    def update(self, peaks, now_ms):
        """Notes whether the pool is in a peak.

        Returns:
            Length in ms of a peak that has ended just now, else None.
        """
        if peaks and self.started_ms is None:
            self.started_ms = now_ms
        elif not peaks and self.started_ms is not None:
            self.lengths_ms.append(now_ms - self.started_ms)
            del self.lengths_ms[:-KEPT_PEAKS]
            self.started_ms = None
            return self.lengths_ms[-1]
        return None


class PeakRecords:
    """PeakRecord of each pool.

    Attributes:
        records: PeakRecord by pool.
        shared_ms: Lengths of the last peaks of all pools, oldest first.
    """

    __slots__ = ("records", "shared_ms")

    def __init__(self):
        self.records = {}
        self.shared_ms = []

    def update(self, pool_name, peaks, now_ms):
        """Notes whether a pool is in a peak."""
        length_ms = self.find(pool_name).update(peaks, now_ms)
        if length_ms is not None:
            self.shared_ms.append(length_ms)
            del self.shared_ms[:-KEPT_SHARED_PEAKS]

    def find(self, pool_name):
        """Returns the record of a pool; creates it if new."""
        return self.records.setdefault(pool_name, PeakRecord())

    def expected_left_ms(self, pool_name, now_ms):
        """Returns how long the present peak should still last.

        A pool without peaks in its record is judged by those of the others,
        because rotating demand gives peaks of similar length.

        Returns:
            Time in ms, or None if nothing was learned yet or the peak has
            outlasted what was learned.
        """
        record = self.find(pool_name)
        if record.started_ms is None:
            return None
        lengths_ms = record.lengths_ms
        if not lengths_ms:
            lengths_ms = self.shared_ms
            if len(lengths_ms) < LEAST_SHARED_PEAKS:
                return None
        expected_ms = sorted(lengths_ms)[(len(lengths_ms) - 1) // 2]
        left_ms = expected_ms - (now_ms - record.started_ms)
        return left_ms if left_ms > 0 else None

"""Lengths of demand peaks, learned to judge whether a move still pays."""

MAX_PEAKS_PER_POOL = 5
MAX_SHARED_PEAKS = 20
# Peaks of other pools are used only when there are this many.
MIN_SHARED_PEAKS = 2


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

    def update(self, in_peak, now_ms):
        """Notes whether the pool is in a peak.

        Returns:
            Length in ms of a peak that has ended just now, else None.
        """
        if in_peak and self.started_ms is None:
            self.started_ms = now_ms
        elif not in_peak and self.started_ms is not None:
            self.lengths_ms.append(now_ms - self.started_ms)
            del self.lengths_ms[:-MAX_PEAKS_PER_POOL]
            self.started_ms = None
            return self.lengths_ms[-1]
        return None


class PeakRecords:
    """PeakRecord of each pool.

    Attributes:
        records: PeakRecord by pool.
        shared_lengths_ms: Lengths of the last ``MAX_SHARED_PEAKS`` peaks of
            all pools, oldest first.
    """

    __slots__ = ("records", "shared_lengths_ms")

    def __init__(self):
        self.records = {}
        self.shared_lengths_ms = []

    def update(self, pool_name, in_peak, now_ms):
        """Notes whether a pool is in a peak."""
        length_ms = self.find_or_create(pool_name).update(in_peak, now_ms)
        if length_ms is not None:
            self.shared_lengths_ms.append(length_ms)
            del self.shared_lengths_ms[:-MAX_SHARED_PEAKS]

    def find_or_create(self, pool_name):
        """Returns the record of a pool; creates it if new."""
        return self.records.setdefault(pool_name, PeakRecord())

    def expected_remaining_ms(self, pool_name, now_ms):
        """Returns how long the present peak should still last.

        A pool without peaks in its record is judged by those of the others,
        because rotating demand gives peaks of similar length.

        Returns:
            Time in ms, or None if nothing was learned yet or the peak has
            outlasted what was learned.
        """
        record = self.find_or_create(pool_name)
        if record.started_ms is None:
            return None
        lengths_ms = record.lengths_ms
        if not lengths_ms:
            lengths_ms = self.shared_lengths_ms
            if len(lengths_ms) < MIN_SHARED_PEAKS:
                return None
        expected_ms = sorted(lengths_ms)[(len(lengths_ms) - 1) // 2]
        remaining_ms = expected_ms - (now_ms - record.started_ms)
        return remaining_ms if remaining_ms > 0 else None

"""Records the lengths of demand peaks to estimate how long one will last.

The estimate decides whether a move at the start of a peak is worth its price.
"""

MAX_PEAKS_PER_POOL = 5
MAX_SHARED_PEAKS = 20
# A single unusual peak must not decide for all other pools.
MIN_SHARED_PEAKS = 2


class PeakRecord:
    """Peaks of one pool: periods in which it needs more than its own VMs.

    Attributes:
        started_ms: Start of the current peak, or None outside a peak.
        lengths_ms: Lengths of the last ``MAX_PEAKS_PER_POOL`` peaks, oldest
            first.
    """

    __slots__ = ("started_ms", "lengths_ms")

    def __init__(self):
        self.started_ms = None
        self.lengths_ms = []

    def update(self, in_peak, now_ms):
        """Records the start or end of a peak.

        Returns:
            Length in ms of a peak that ends with this call, else None.
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
    """Peaks of all pools.

    Attributes:
        records: Maps pool name to its PeakRecord.
        shared_lengths_ms: Lengths of the last ``MAX_SHARED_PEAKS`` peaks of
            all pools, oldest first.
    """

    __slots__ = ("records", "shared_lengths_ms")

    def __init__(self):
        self.records = {}
        self.shared_lengths_ms = []

    def update(self, pool_name, in_peak, now_ms):
        """Records whether a pool is in a peak now."""
        length_ms = self.find_or_create(pool_name).update(in_peak, now_ms)
        if length_ms is not None:
            self.shared_lengths_ms.append(length_ms)
            del self.shared_lengths_ms[:-MAX_SHARED_PEAKS]

    def find_or_create(self, pool_name):
        """Returns the record of a pool; creates it if there is none."""
        return self.records.setdefault(pool_name, PeakRecord())

    def expected_remaining_ms(self, pool_name, now_ms):
        """Returns the expected rest of the current peak of a pool.

        The expected length is the median of the pool's earlier peaks. For a
        pool without earlier peaks, those of the other pools are used, because
        rotating demand gives peaks of similar length.

        Returns:
            Time in ms, or None if the pool is not in a peak, there are too
            few earlier peaks, or the peak has outlasted the expected length.
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

"""Compact sets of key hashes, which expire by the hour."""

import base64
import hashlib
import sys
from array import array
from bisect import bisect_left

HASH_BYTES = 8
MS_PER_HOUR = 3_600_000
# Merging costs a pass over the bucket. New hashes are therefore collected and
# merged when there are MIN_MERGE_HASHES, or 1 / MERGE_DIVISOR of the bucket
# if that is more.
MIN_MERGE_HASHES = 1_024
MERGE_DIVISOR = 8


def hash_key(*texts):
    """Returns a 64-bit hash of texts that is the same on all nodes."""
    digest = hashlib.blake2b(digest_size=HASH_BYTES)
    for text in texts:
        data = text.encode()
        digest.update(len(data).to_bytes(4, "big"))
        digest.update(data)
    return int.from_bytes(digest.digest(), "big")


class Bucket:
    """Hashes of the keys whose time lies in one hour.

    Attributes:
        hashes: Sorted array of the merged hashes.
        pending: Set of the hashes that are not merged yet.
    """

    __slots__ = ("hashes", "pending")

    def __init__(self):
        self.hashes = array("Q")
        self.pending = set()

    def add(self, hash_value):
        """Adds a hash that is not in the bucket."""
        self.pending.add(hash_value)
        merge_at = max(MIN_MERGE_HASHES, len(self.hashes) // MERGE_DIVISOR)
        if len(self.pending) >= merge_at:
            self.merge()

    def merge(self):
        """Moves the pending hashes into the sorted array."""
        if self.pending:
            # Python's sort takes linear time for two sorted runs.
            values = [*self.hashes, *sorted(self.pending)]
            values.sort()
            self.hashes = array("Q", values)
            self.pending = set()

    def __contains__(self, hash_value):
        if hash_value in self.pending:
            return True
        index = bisect_left(self.hashes, hash_value)
        return index < len(self.hashes) and self.hashes[index] == hash_value

    def __len__(self):
        return len(self.hashes) + len(self.pending)


class KeySet:
    """Set of keys, stored as hashes of 8 bytes and dropped when they expire.

    A key that is not in the set is reported as contained if its hash equals
    that of a key in the set. For n keys, the probability is about n / 2**64.

    Attributes:
        retention_ms: Minimum time for which a key is kept.
        buckets: Maps hours since the epoch to Bucket.
        count: Number of hashes in all buckets.
    """

    __slots__ = ("retention_ms", "buckets", "count")

    def __init__(self, retention_ms):
        self.retention_ms = retention_ms
        self.buckets = {}
        self.count = 0

    def add(self, hash_value, time_ms):
        """Adds the hash of a key; the retention counts from ``time_ms``."""
        if hash_value not in self:
            hour = time_ms // MS_PER_HOUR
            self.buckets.setdefault(hour, Bucket()).add(hash_value)
            self.count += 1

    def expire(self, now_ms):
        """Drops the hours all of whose keys are older than the retention."""
        oldest_hour = (now_ms - self.retention_ms) // MS_PER_HOUR
        for hour in [h for h in self.buckets if h < oldest_hour]:
            self.count -= len(self.buckets.pop(hour))

    def size_bytes(self):
        """Returns the total size of the hashes."""
        return self.count * HASH_BYTES

    def __contains__(self, hash_value):
        return any(hash_value in bucket for bucket in self.buckets.values())

    def to_document(self):
        """Returns the hour and the sorted hashes, in base64, of each bucket.

        The hashes are 64-bit integers in little-endian byte order.
        """
        rows = []
        for hour, bucket in sorted(self.buckets.items()):
            bucket.merge()
            data = swap_if_big_endian(bucket.hashes).tobytes()
            rows.append([hour, base64.b64encode(data).decode()])
        return rows


def key_set_from_document(document, retention_ms):
    """Returns the KeySet of a snapshot."""
    keys = KeySet(retention_ms)
    for hour, text in document:
        bucket = Bucket()
        hashes = array("Q")
        hashes.frombytes(base64.b64decode(text))
        bucket.hashes = swap_if_big_endian(hashes)
        keys.buckets[hour] = bucket
        keys.count += len(bucket)
    return keys


def swap_if_big_endian(hashes):
    """Converts hashes between native and little-endian byte order.

    On a little-endian machine they are returned unchanged.
    """
    if sys.byteorder == "little":
        return hashes
    swapped = array("Q", hashes)
    swapped.byteswap()
    return swapped

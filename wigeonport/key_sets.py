"""Compact sets of keys that expire by the hour."""

import base64
import hashlib
import sys
from array import array
from bisect import bisect_left

HASH_BYTES = 8
MS_PER_HOUR = 3_600_000
# Merging costs a pass over the bucket, so hashes are merged in groups that
# grow with the bucket.
MIN_MERGE_HASHES = 1_024
MERGE_DIVISOR = 8


def hash_key(*texts):
    """Returns a 64-bit hash of texts; it is equal on all nodes."""
    digest = hashlib.blake2b(digest_size=HASH_BYTES)
    for text in texts:
        data = text.encode()
        digest.update(len(data).to_bytes(4, "big"))
        digest.update(data)
    return int.from_bytes(digest.digest(), "big")


class Bucket:
    """Hashes of the keys of one hour.

    Attributes:
        hashes: Sorted array of hashes.
        pending: Hashes that are not merged yet.
    """

    __slots__ = ("hashes", "pending")

    def __init__(self):
        self.hashes = array("Q")
        self.pending = set()

    def add(self, value):
        """Adds a hash that is not in the bucket."""
        self.pending.add(value)
        bound = max(MIN_MERGE_HASHES, len(self.hashes) // MERGE_DIVISOR)
        if len(self.pending) >= bound:
            self.merge()

    def merge(self):
        """Moves the pending hashes into the sorted array."""
        if self.pending:
            # Sorting is linear for an array followed by a short tail.
            values = [*self.hashes, *sorted(self.pending)]
            values.sort()
            self.hashes = array("Q", values)
            self.pending = set()

    def __contains__(self, value):
        if value in self.pending:
            return True
        index = bisect_left(self.hashes, value)
        return index < len(self.hashes) and self.hashes[index] == value

    def __len__(self):
        return len(self.hashes) + len(self.pending)


class KeySet:
    """A set of keys in 8 bytes each, dropped some hours after their time.

    Two keys have the same hash with a probability of about the number of
    keys over 2**64; a key is then taken for one that is in the set.

    Attributes:
        retention_ms: Shortest time for which a key is kept.
        buckets: Bucket by hour since the epoch.
        count: Number of hashes.
    """

    __slots__ = ("retention_ms", "buckets", "count")

    def __init__(self, retention_ms):
        self.retention_ms = retention_ms
        self.buckets = {}
        self.count = 0

    def add(self, value, time_ms):
        """Adds the hash of a key whose time is given."""
        if value not in self:
            hour = time_ms // MS_PER_HOUR
            self.buckets.setdefault(hour, Bucket()).add(value)
            self.count += 1

    def expire(self, now_ms):
        """Drops the hours that lie wholly before the retention."""
        oldest_hour = (now_ms - self.retention_ms) // MS_PER_HOUR
        for hour in [h for h in self.buckets if h < oldest_hour]:
            self.count -= len(self.buckets.pop(hour))

    def size_bytes(self):
        """Returns the size of the hashes."""
        return self.count * HASH_BYTES

    def __contains__(self, value):
        return any(value in bucket for bucket in self.buckets.values())

    def to_document(self):
        """Returns hour and sorted hashes, in base64, of every bucket."""
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
    """Returns hashes in little-endian order; on most machines unchanged."""
    if sys.byteorder == "little":
        return hashes
    swapped = array("Q", hashes)
    swapped.byteswap()
    return swapped

"""Endpoint tables of this entry and its peers, and the view merged from them.

Each entry is authoritative for the endpoints that announce to it. An endpoint
may announce to several entries; the merged view uses its newest record among
the tables of all entries that are alive.
"""

from wigeonport.endpoints import (
    LEAVING,
    EndpointChanged,
    EndpointLost,
    equal_except_sequence,
)
from wigeonport.exchange_messages import (
    LOST,
    EndpointUpdate,
    TableDigest,
    TableEntry,
    checksum_entries,
)

# While the tombstone of an endpoint that left is kept, an older record from
# another entry does not bring the endpoint back.
TOMBSTONE_RETENTION_MS = 30_000


class LocalTable:
    """The endpoints that announce to this entry.

    Attributes:
        origin: Node id of this entry.
        epoch: Wall time at which this process started, in ms.
        expiry_ms: Time without an announcement after which an endpoint is
            lost.
        number: Number of the latest change.
        entries: Maps endpoint id to TableEntry.
        last_announced_ms: Maps endpoint id to the time of its last
            announcement.
    """

    __slots__ = (
        "origin",
        "epoch",
        "expiry_ms",
        "number",
        "entries",
        "last_announced_ms",
    )

    def __init__(self, origin, epoch, expiry_ms):
        self.origin = origin
        self.epoch = epoch
        self.expiry_ms = expiry_ms
        self.number = 0
        self.entries = {}
        self.last_announced_ms = {}

    def announce(self, record, now_ms):
        """Records an announcement; returns the updates for other entries.

        An announcement that changes nothing but its sequence is a heartbeat
        and yields no update. One that is not newer than the recorded one is
        ignored.
        """
        previous = self.entries.get(record.endpoint_id)
        if (
            previous is not None
            and record.revision <= previous.record.revision
        ):
            return []
        unchanged = previous is not None and equal_except_sequence(
            previous.record, record
        )
        first_sequence = record.sequence
        if previous and previous.record.incarnation == record.incarnation:
            first_sequence = previous.first_sequence
        entry = TableEntry(record, first_sequence)
        self.entries[record.endpoint_id] = entry
        self.last_announced_ms[record.endpoint_id] = now_ms
        return [] if unchanged else [self.make_update(record.state, entry)]

    def expire(self, now_ms):
        """Removes silent endpoints; returns the updates for other entries."""
        silent = [
            endpoint_id
            for endpoint_id, time_ms in self.last_announced_ms.items()
            if now_ms - time_ms > self.expiry_ms
        ]
        updates = []
        for endpoint_id in silent:
            del self.last_announced_ms[endpoint_id]
            entry = self.entries.pop(endpoint_id)
            updates.append(self.make_update(LOST, entry))
        return updates

    def make_update(self, change, entry):
        """Returns an EndpointUpdate with the next number."""
        self.number += 1
        return EndpointUpdate(
            self.origin, self.epoch, self.number, change, entry
        )

    def digest(self):
        """Returns a TableDigest of the current table."""
        return TableDigest(
            self.origin,
            self.epoch,
            self.number,
            len(self.entries),
            checksum_entries(self.entries),
        )


class PeerTable:
    """Copy of the table of another entry.

    Attributes:
        epoch: Epoch of that entry, -1 before its first table arrived.
        number: Number of its latest change that was applied here.
        entries: Maps endpoint id to TableEntry.
        last_message_ms: Time of the last message from that entry.
        last_request_ms: Time at which its table was last requested, or
            None.
        parts: Maps part number to the entries of that part, for a table of
            which parts are still missing.
        parts_version: Epoch and number of that table, or None.
    """

    __slots__ = (
        "epoch",
        "number",
        "entries",
        "last_message_ms",
        "last_request_ms",
        "parts",
        "parts_version",
    )

    def __init__(self, now_ms):
        self.epoch = -1
        self.number = -1
        self.entries = {}
        self.last_message_ms = now_ms
        self.last_request_ms = None
        self.parts = {}
        self.parts_version = None

    def apply_update(self, update):
        """Applies an update; returns False if an earlier one is missing."""
        if update.epoch == self.epoch and update.number <= self.number:
            return True
        if (update.epoch, update.number) != (self.epoch, self.number + 1):
            return False
        self.number = update.number
        endpoint_id = update.entry.record.endpoint_id
        if update.change == LOST:
            self.entries.pop(endpoint_id, None)
        else:
            self.entries[endpoint_id] = update.entry
        return True

    def matches(self, digest):
        """Returns whether a digest describes this table."""
        return (
            digest.epoch == self.epoch
            and digest.number == self.number
            and digest.count == len(self.entries)
            and digest.checksum == checksum_entries(self.entries)
        )

    def add_part(self, piece):
        """Adds a part; replaces the table once all parts have arrived.

        Epochs are compared for equality only, because the wall clock of an
        entry may have been set back before the entry restarted.
        """
        if piece.epoch == self.epoch and piece.number < self.number:
            return
        version = (piece.epoch, piece.number)
        if self.parts_version != version:
            self.parts, self.parts_version = {}, version
        self.parts[piece.part] = piece.entries
        if len(self.parts) < piece.parts:
            return
        self.epoch, self.number = version
        self.entries = {
            entry.record.endpoint_id: entry
            for entries in self.parts.values()
            for entry in entries
        }
        self.parts, self.parts_version = {}, None


class MergedView:
    """The endpoints as published to the filters of this entry.

    Attributes:
        published: Maps endpoint id to the EndpointChanged that was published
            last.
        tombstones: Maps endpoint id to the revision of its newest leaving
            record and the time at which that record was last seen.
        alive_until_ms: Maps the node id of an entry that is now silent to
            the time until which it may have been alive.
    """

    __slots__ = ("published", "tombstones", "alive_until_ms")

    def __init__(self):
        self.published = {}
        self.tombstones = {}
        self.alive_until_ms = {}

    def refresh(self, tables, endpoint_ids, now_ms):
        """Merges the records of some endpoints; returns what changed.

        Args:
            tables: Maps the node id of each live entry to its table, which
                maps endpoint id to TableEntry.
            endpoint_ids: Ids of the endpoints that may have changed.
            now_ms: Monotonic time.

        Returns:
            EndpointChanged and EndpointLost objects.
        """
        changes = []
        for endpoint_id in sorted(endpoint_ids):
            change = self.merge(tables, endpoint_id, now_ms)
            if change is not None:
                changes.append(change)
        self.expire_tombstones(now_ms)
        return changes

    def merge(self, tables, endpoint_id, now_ms):
        """Returns the change of one endpoint, or None if nothing changed."""
        candidates = {
            node_id: entries[endpoint_id]
            for node_id, entries in tables.items()
            if endpoint_id in entries
        }
        published = self.published.get(endpoint_id)
        newest = max(
            (entry.record for entry in candidates.values()),
            key=lambda record: record.revision,
            default=None,
        )
        if newest is not None and newest.state == LEAVING:
            self.tombstones[endpoint_id] = (newest.revision, now_ms)
        tombstone_revision, _ = self.tombstones.get(endpoint_id, ((-1, -1), 0))
        if newest is None or newest.revision < tombstone_revision:
            if published is None:
                return None
            del self.published[endpoint_id]
            return EndpointLost(endpoint_id, published.record.service_id)
        owner = choose_owner(candidates, newest.incarnation)
        if (
            published is not None
            and published.owner == owner
            and equal_except_sequence(published.record, newest)
        ):
            return None
        replaced_ms = None
        if (
            published is not None
            and published.owner != owner
            and published.record.incarnation == newest.incarnation
        ):
            replaced_ms = self.alive_until_ms.get(published.owner, now_ms)
        change = EndpointChanged(newest, owner, replaced_ms)
        self.published[endpoint_id] = change
        return change

    def expire_tombstones(self, now_ms):
        """Removes tombstones older than TOMBSTONE_RETENTION_MS."""
        for endpoint_id, (_, time_ms) in list(self.tombstones.items()):
            if now_ms - time_ms > TOMBSTONE_RETENTION_MS:
                del self.tombstones[endpoint_id]


def choose_owner(candidates, incarnation):
    """Returns the node id of the entry that grants an endpoint's slots.

    The owner is the entry with the smallest first sequence: it has received
    the announcements of this incarnation for the longest time without a gap.
    The smaller node id breaks a tie. An entry to which the endpoint announces
    later does not take over, so the owner changes only when the owner loses
    the endpoint.

    Args:
        candidates: Maps node id to the TableEntry of that entry.
        incarnation: Incarnation of the endpoint's newest record.
    """
    return min(
        (entry.first_sequence, node_id)
        for node_id, entry in candidates.items()
        if entry.record.incarnation == incarnation
    )[1]

"""Endpoint tables: what one entry hears, and what all of them hear together.

Every entry is the authority for the endpoints that announce to it. The
merged view takes the newest record of all entries that are alive.
"""

from wigeonport.endpoints import (
    LEAVING,
    EndpointChanged,
    EndpointLost,
    is_same,
)
from wigeonport.exchange_messages import (
    LOST,
    EndpointUpdate,
    TableDigest,
    TableEntry,
    checksum_entries,
)

# An endpoint that left stays hidden for this long, so that an older record
# of another entry does not bring it back.
LEFT_MEMORY_MS = 30_000


class LocalTable:
    """The endpoints that announce to this entry.

    Attributes:
        origin: Node id of this entry.
        epoch: Start of this process.
        expiry_ms: Time without an announcement after which one is lost.
        number: Number of the latest change.
        entries: TableEntry by endpoint id.
        heard_ms: Time of the last announcement by endpoint id.
    """

    __slots__ = (
        "origin",
        "epoch",
        "expiry_ms",
        "number",
        "entries",
        "heard_ms",
    )

    def __init__(self, origin, epoch, expiry_ms):
        self.origin = origin
        self.epoch = epoch
        self.expiry_ms = expiry_ms
        self.number = 0
        self.entries = {}
        self.heard_ms = {}

    def announce(self, record, now_ms):
        """Takes an announcement; returns the updates for other entries."""
        known = self.entries.get(record.endpoint_id)
        if known is not None and record.age <= known.record.age:
            return []
        same = known is not None and is_same(known.record, record)
        first = record.sequence
        if known and known.record.incarnation == record.incarnation:
            first = known.first_sequence
        entry = TableEntry(record, first)
        self.entries[record.endpoint_id] = entry
        self.heard_ms[record.endpoint_id] = now_ms
        return [] if same else [self.update(record.state, entry)]

    def expire(self, now_ms):
        """Removes silent endpoints; returns the updates."""
        silent = [
            endpoint_id
            for endpoint_id, heard_ms in self.heard_ms.items()
            if now_ms - heard_ms > self.expiry_ms
        ]
        updates = []
        for endpoint_id in silent:
            del self.heard_ms[endpoint_id]
            entry = self.entries.pop(endpoint_id)
            updates.append(self.update(LOST, entry))
        return updates

    def update(self, change, entry):
        """Numbers a change."""
        self.number += 1
        return EndpointUpdate(
            self.origin, self.epoch, self.number, change, entry
        )

    def digest(self):
        """Returns the digest of the table."""
        return TableDigest(
            self.origin,
            self.epoch,
            self.number,
            len(self.entries),
            checksum_entries(self.entries),
        )


class PeerTable:
    """What another entry hears, as far as it is known here.

    Attributes:
        epoch: Start of that entry.
        number: Number of its latest change that was applied.
        entries: TableEntry by endpoint id.
        heard_ms: When it was heard last.
        asked_ms: When its table was asked for last.
        parts: Parts of a table that is being received, by number.
        parts_mark: Epoch and number of that table.
    """

    __slots__ = (
        "epoch",
        "number",
        "entries",
        "heard_ms",
        "asked_ms",
        "parts",
        "parts_mark",
    )

    def __init__(self, now_ms):
        self.epoch = -1
        self.number = -1
        self.entries = {}
        self.heard_ms = now_ms
        self.asked_ms = None
        self.parts = {}
        self.parts_mark = None

    def take_update(self, update):
        """Applies an update; returns False if one before it is missing."""
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

    def take_piece(self, piece):
        """Adds a part; replaces the table once all parts are there.

        Epochs are compared for equality only: the wall clock of an entry
        may have been set back before it restarted.
        """
        if piece.epoch == self.epoch and piece.number < self.number:
            return
        mark = (piece.epoch, piece.number)
        if self.parts_mark != mark:
            self.parts, self.parts_mark = {}, mark
        self.parts[piece.part] = piece.entries
        if len(self.parts) < piece.parts:
            return
        self.epoch, self.number = mark
        self.entries = {
            entry.record.endpoint_id: entry
            for entries in self.parts.values()
            for entry in entries
        }
        self.parts, self.parts_mark = {}, None


class MergedView:
    """The endpoints as the filters of this entry see them.

    Attributes:
        shown: EndpointChanged that was sent last, by endpoint id.
        left: Age and time of the last leaving record by endpoint id.
        gone_ms: Time until which an entry that is now silent may have been
            alive, by node id.
    """

    __slots__ = ("shown", "left", "gone_ms")

    def __init__(self):
        self.shown = {}
        self.left = {}
        self.gone_ms = {}

    def refresh(self, tables, endpoint_ids, now_ms):
        """Returns the changes after some endpoints may have changed.

        Args:
            tables: Entries by endpoint id, by node id of live entries.
            endpoint_ids: Endpoints to look at.
            now_ms: Monotonic time.
        """
        changes = []
        for endpoint_id in sorted(endpoint_ids):
            change = self.merge(tables, endpoint_id, now_ms)
            if change is not None:
                changes.append(change)
        self.forget_left(now_ms)
        return changes

    def merge(self, tables, endpoint_id, now_ms):
        """Returns the change of one endpoint, or None."""
        heard = {
            node_id: entries[endpoint_id]
            for node_id, entries in tables.items()
            if endpoint_id in entries
        }
        shown = self.shown.get(endpoint_id)
        newest = max(
            (entry.record for entry in heard.values()),
            key=lambda record: record.age,
            default=None,
        )
        if newest is not None and newest.state == LEAVING:
            self.left[endpoint_id] = (newest.age, now_ms)
        left_age, _ = self.left.get(endpoint_id, ((-1, -1), 0))
        if newest is None or newest.age < left_age:
            if shown is None:
                return None
            del self.shown[endpoint_id]
            return EndpointLost(endpoint_id, shown.record.service_id)
        owner = choose_owner(heard, newest.incarnation)
        if (
            shown is not None
            and shown.owner == owner
            and is_same(shown.record, newest)
        ):
            return None
        replaced_ms = None
        if (
            shown is not None
            and shown.owner != owner
            and shown.record.incarnation == newest.incarnation
        ):
            replaced_ms = self.gone_ms.get(shown.owner, now_ms)
        change = EndpointChanged(newest, owner, replaced_ms)
        self.shown[endpoint_id] = change
        return change

    def forget_left(self, now_ms):
        """Forgets endpoints that left long ago."""
        for endpoint_id, (_, time_ms) in list(self.left.items()):
            if now_ms - time_ms > LEFT_MEMORY_MS:
                del self.left[endpoint_id]


def choose_owner(heard, incarnation):
    """Returns the node id of the entry that grants an endpoint's slots.

    The entry that has heard this run of the endpoint from its earliest
    announcement on. An entry that hears it later does not take over, so
    the owner changes only when the owner loses the endpoint.
    """
    return min(
        (entry.first_sequence, node_id)
        for node_id, entry in heard.items()
        if entry.record.incarnation == incarnation
    )[1]

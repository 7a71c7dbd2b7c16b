"""Messages by which entries exchange what their endpoints announced."""

import zlib

from wigeonport.codecs import message_kinds
from wigeonport.endpoints import EndpointRecord

LOST = "lost"
CHECKED_FIELDS = tuple(
    name for name in EndpointRecord.__slots__ if name != "sequence"
)


@message_kinds.register("TableEntry")
class TableEntry:
    """An endpoint as one entry hears it.

    Attributes:
        record: Its latest EndpointRecord.
        first_sequence: Sequence of the first announcement that this entry
            heard without a gap longer than the expiry. The entry with the
            smallest one grants the slots.
    """

    __slots__ = ("record", "first_sequence")

    def __init__(self, record, first_sequence):
        self.record = record
        self.first_sequence = first_sequence


@message_kinds.register("EndpointUpdate")
class EndpointUpdate:
    """One change of the endpoints that announce to the sender.

    Attributes:
        origin: Node id of the sender.
        epoch: Start of the sender; numbers begin again after a restart.
        number: Number of the change.
        change: ``ready``, ``leaving`` or ``lost``.
        entry: TableEntry after the change, or the last one before the loss.
    """

    __slots__ = ("origin", "epoch", "number", "change", "entry")

    def __init__(self, origin, epoch, number, change, entry):
        self.origin = origin
        self.epoch = epoch
        self.number = number
        self.change = change
        self.entry = entry


@message_kinds.register("TableDigest")
class TableDigest:
    """State of the sender's own table, to detect lost updates.

    Attributes:
        origin: Node id of the sender.
        epoch: Start of the sender.
        number: Number of the latest change.
        count: Number of endpoints.
        checksum: Checksum of their entries.
    """

    __slots__ = ("origin", "epoch", "number", "count", "checksum")

    def __init__(self, origin, epoch, number, count, checksum):
        self.origin = origin
        self.epoch = epoch
        self.number = number
        self.count = count
        self.checksum = checksum


@message_kinds.register("TableRequest")
class TableRequest:
    """Asks for the whole table of the receiver."""

    __slots__ = ("origin",)

    def __init__(self, origin):
        self.origin = origin


@message_kinds.register("TablePiece")
class TablePiece:
    """A part of the sender's own table.

    Attributes:
        origin: Node id of the sender.
        epoch: Start of the sender.
        number: Number of the latest change in the table.
        part: Number of this part, from 0.
        parts: Number of all parts.
        entries: TableEntry objects.
    """

    __slots__ = ("origin", "epoch", "number", "part", "parts", "entries")

    def __init__(self, origin, epoch, number, part, parts, entries):
        self.origin = origin
        self.epoch = epoch
        self.number = number
        self.part = part
        self.parts = parts
        self.entries = entries


def checksum_entries(entries):
    """Returns a checksum that does not change with each heartbeat."""
    checksum = 0
    for endpoint_id in sorted(entries):
        entry = entries[endpoint_id]
        values = [getattr(entry.record, name) for name in CHECKED_FIELDS]
        text = repr((values, entry.first_sequence))
        checksum = zlib.crc32(text.encode(), checksum)
    return checksum

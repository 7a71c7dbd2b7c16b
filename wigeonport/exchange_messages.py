"""Messages by which entries exchange their endpoint tables."""

import zlib

from wigeonport.codecs import message_kinds
from wigeonport.endpoints import EndpointRecord

LOST = "lost"
CHECKSUM_FIELDS = tuple(
    name for name in EndpointRecord.__slots__ if name != "sequence"
)


@message_kinds.register("TableEntry")
class TableEntry:
    """An endpoint in the table of one entry.

    Attributes:
        record: EndpointRecord of its latest announcement to that entry.
        first_sequence: Sequence of the first announcement since which the
            entry has received announcements without a gap longer than the
            expiry. The entry with the smallest one grants the slots.
    """

    __slots__ = ("record", "first_sequence")

    def __init__(self, record, first_sequence):
        self.record = record
        self.first_sequence = first_sequence


@message_kinds.register("EndpointUpdate")
class EndpointUpdate:
    """One change of the sender's own table.

    Attributes:
        origin: Node id of the sender.
        epoch: Wall time at which the sender started, in ms; the numbers
            begin again after a restart.
        number: Number of the change; consecutive within an epoch.
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
    """Digest of the sender's own table, by which lost updates are detected.

    Attributes:
        origin: Node id of the sender.
        epoch: Epoch of the sender, as in EndpointUpdate.
        number: Number of the latest change.
        count: Number of endpoints in the table.
        checksum: CRC-32 of the entries, see checksum_entries.
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
    """Requests the whole table of the receiver.

    Attributes:
        origin: Node id of the sender.
    """

    __slots__ = ("origin",)

    def __init__(self, origin):
        self.origin = origin


@message_kinds.register("TablePiece")
class TablePiece:
    """A part of the sender's own table.

    Attributes:
        origin: Node id of the sender.
        epoch: Epoch of the sender, as in EndpointUpdate.
        number: Number of the latest change in the table.
        part: Number of this part, from 0.
        parts: Number of parts of the table.
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
    """Returns the CRC-32 of a table; heartbeats do not change it.

    Args:
        entries: Maps endpoint id to TableEntry.
    """
    checksum = 0
    for endpoint_id in sorted(entries):
        entry = entries[endpoint_id]
        values = [getattr(entry.record, name) for name in CHECKSUM_FIELDS]
        text = repr((values, entry.first_sequence))
        checksum = zlib.crc32(text.encode(), checksum)
    return checksum

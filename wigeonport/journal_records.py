"""Records of journal files: a checksum around one thrift message.

A record is a marker, the length and the CRC-32 of the body, and the body.
Everything that is synced at once is one record. An invalid record that a
valid one follows was therefore synced before, so it is damage and not the
trace of an interrupted write.
"""

import struct
import zlib

from wigeonport.codecs import codecs, message_kinds

MARKER = b"WGJ\x01"
RECORD_HEADER = struct.Struct("<4sII")


@message_kinds.register("SegmentHeader")
class SegmentHeader:
    """First record of a segment.

    Attributes:
        format: Version of the journal's format.
        number: Number of the segment, from 1.
        identity: Identity of the data directory.
        hard_state: Term and vote when the segment was started.
        last_index: Last index of the log when the segment was started;
            shows whether an earlier segment is missing.
        starts_anew: Whether the earlier segments hold no part of the log.
    """

    __slots__ = (
        "format",
        "number",
        "identity",
        "hard_state",
        "last_index",
        "starts_anew",
    )

    def __init__(
        self, format, number, identity, hard_state, last_index, starts_anew
    ):
        self.format = format
        self.number = number
        self.identity = identity
        self.hard_state = hard_state
        self.last_index = last_index
        self.starts_anew = starts_anew


@message_kinds.register("JournalBatch")
class JournalBatch:
    """What one sync makes durable.

    Attributes:
        hard_state: New HardState, or None.
        entries: Entries; each replaces the log from its index on.
    """

    __slots__ = ("hard_state", "entries")

    def __init__(self, hard_state, entries):
        self.hard_state = hard_state
        self.entries = entries


@message_kinds.register("SnapshotHeader")
class SnapshotHeader:
    """First record of a snapshot file.

    Attributes:
        format: Version of the format.
        index: Last index contained.
        term: Term of that entry.
        members: Encoded members.
        size_bytes: Size of the data that follows.
        checksum: CRC-32 of that data.
    """

    __slots__ = (
        "format",
        "index",
        "term",
        "members",
        "size_bytes",
        "checksum",
    )

    def __init__(self, format, index, term, members, size_bytes, checksum):
        self.format = format
        self.index = index
        self.term = term
        self.members = members
        self.size_bytes = size_bytes
        self.checksum = checksum


codec = codecs.get("thrift").ok()


def encode_record(message):
    """Returns the bytes of a record."""
    body = codec.encode(message)
    return RECORD_HEADER.pack(MARKER, len(body), zlib.crc32(body)) + body


def read_body(data, offset):
    """Returns the body of the record at an offset, or None."""
    if offset + RECORD_HEADER.size > len(data):
        return None
    marker, size, checksum = RECORD_HEADER.unpack_from(data, offset)
    start = offset + RECORD_HEADER.size
    if marker != MARKER or start + size > len(data):
        return None
    body = data[start : start + size]
    return body if zlib.crc32(body) == checksum else None


def read_records(data):
    """Returns the messages up to the first invalid record, and its offset.

    Returns:
        A list of messages and the offset at which reading ended; it is
        the length of ``data`` if all of it is valid.
    """
    messages = []
    offset = 0
    while offset < len(data):
        body = read_body(data, offset)
        if body is None:
            break
        decoded = codec.decode(body)
        if decoded.is_error():
            break
        messages.append(decoded.ok)
        offset += RECORD_HEADER.size + len(body)
    return messages, offset


def has_record_after(data, offset):
    """Returns whether a valid record starts after an offset."""
    found = data.find(MARKER, offset + 1)
    while found >= 0:
        if read_body(data, found) is not None:
            return True
        found = data.find(MARKER, found + 1)
    return False

"""Records of journal files: one thrift message each, with a checksum.

A record consists of a marker, the length and the CRC-32 of the body, and the
body. All that one sync makes durable is one record. A record followed by a
valid one was therefore synced earlier; if it is invalid, the file is damaged,
and the cause is not an interrupted write.
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
        hard_state: HardState when the segment was started.
        last_index: Last index of the log when the segment was started; it
            shows whether entries before this segment are missing.
        starts_anew: Whether the entries of all earlier segments are
            obsolete, because a snapshot replaced them.
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
    """Changes that one sync makes durable.

    Attributes:
        hard_state: New HardState, or None.
        entries: Entries to append; each replaces the earlier entries at
            its index and above.
    """

    __slots__ = ("hard_state", "entries")

    def __init__(self, hard_state, entries):
        self.hard_state = hard_state
        self.entries = entries


@message_kinds.register("SnapshotHeader")
class SnapshotHeader:
    """First record of a snapshot file.

    Attributes:
        format: Version of the snapshot's format.
        index: Index of the last entry that the state contains.
        term: Term of that entry.
        members: Encoded Members as of that entry.
        size_bytes: Size of the encoded state that follows the header.
        checksum: CRC-32 of the encoded state.
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
    """Returns the bytes of the record for a message."""
    body = codec.encode(message)
    return RECORD_HEADER.pack(MARKER, len(body), zlib.crc32(body)) + body


def read_body(data, offset):
    """Returns the body of the record at an offset, or None if invalid."""
    if offset + RECORD_HEADER.size > len(data):
        return None
    marker, size, checksum = RECORD_HEADER.unpack_from(data, offset)
    start = offset + RECORD_HEADER.size
    if marker != MARKER or start + size > len(data):
        return None
    body = data[start : start + size]
    return body if zlib.crc32(body) == checksum else None


def read_records(data):
    """Decodes the records up to the first invalid one.

    Returns:
        A list of messages and the offset of the first invalid record, which
        is the length of ``data`` if all records are valid.
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
    position = data.find(MARKER, offset + 1)
    while position >= 0:
        if read_body(data, position) is not None:
            return True
        position = data.find(MARKER, position + 1)
    return False

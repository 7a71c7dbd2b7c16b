"""Snapshot files: one complete state at a log index."""

import functools
import json
import zlib

from wigeonport.durable_files import replace_file, sync_directory
from wigeonport.journal_records import (
    HEAD,
    SnapshotHeader,
    encode_record,
    read_body,
)
from wigeonport.journal_records import codec as record_codec
from wigeonport.memberships import Members
from wigeonport.replica_events import Snapshot

FORMAT = 1
PREFIX = "snapshot-"
# Level 1 compresses a state of repeated keys nearly as well as the
# default level at a fraction of the time.
COMPRESSION_LEVEL = 1
GROUP_ITEMS = 128


to_json = functools.partial(json.dumps, separators=(",", ":"))


class DamageError(Exception):
    """Stored data is missing or does not match its checksum."""


class FormatError(Exception):
    """Stored data has a format that this version does not read."""


def encode_state(document):
    """Returns the bytes of a state's document.

    The worker thread that encodes a snapshot shares the interpreter with the
    event loop, and encoding JSON does not yield within one call. Long lists
    are therefore encoded in groups.
    """
    compressor = zlib.compressobj(COMPRESSION_LEVEL)
    pieces = [
        compressor.compress(text.encode()) for text in json_pieces(document)
    ]
    pieces.append(compressor.flush())
    return b"".join(pieces)


def json_pieces(value):
    """Yields the JSON text of a document in short pieces."""
    if isinstance(value, dict):
        separator = "{"
        for key, item in value.items():
            yield f"{separator}{to_json(str(key))}:"
            yield from json_pieces(item)
            separator = ","
        yield "}" if value else "{}"
    elif isinstance(value, list) and len(value) > GROUP_ITEMS:
        separator = "["
        for start in range(0, len(value), GROUP_ITEMS):
            group = to_json(value[start : start + GROUP_ITEMS])
            yield f"{separator}{group[1:-1]}"
            separator = ","
        yield "]"
    else:
        yield to_json(value)


def decode_state(data):
    """Returns the document from its bytes."""
    return json.loads(zlib.decompress(data))


def snapshot_path(directory, index):
    """Returns the path of the snapshot at an index."""
    return directory / f"{PREFIX}{index:016d}"


def write_snapshot(directory, snapshot):
    """Writes a snapshot durably.

    Raises:
        OSError: If a write or a sync fails.
    """
    header = SnapshotHeader(
        FORMAT,
        snapshot.index,
        snapshot.term,
        snapshot.members.to_payload(),
        len(snapshot.data),
        snapshot.checksum,
    )
    path = snapshot_path(directory, snapshot.index)
    replace_file(path, [encode_record(header), snapshot.data])


def read_newest(directory):
    """Returns the newest Snapshot, or None if there is no file.

    Raises:
        DamageError: If the newest file is damaged.
        FormatError: If its format is unknown.
    """
    paths = list_snapshots(directory)
    if not paths:
        return None
    data = paths[-1].read_bytes()
    body = read_body(data, 0)
    if body is None:
        raise DamageError(f"{paths[-1].name}: header is damaged")
    decoded = record_codec.decode(body)
    if decoded.is_error():
        raise FormatError(f"{paths[-1].name}: {decoded.error}")
    header = decoded.ok
    if header.format != FORMAT:
        raise FormatError(f"{paths[-1].name}: format {header.format}")
    content = data[HEAD.size + len(body) :]
    if len(content) != header.size_bytes or (
        zlib.crc32(content) != header.checksum
    ):
        raise DamageError(f"{paths[-1].name}: content is damaged")
    members = Members.from_payload(header.members)
    return Snapshot(header.index, header.term, members, content)


def list_snapshots(directory):
    """Returns the paths of the snapshots, oldest first."""
    return sorted(
        path for path in directory.glob(f"{PREFIX}*") if path.suffix != ".tmp"
    )


def remove_older(directory):
    """Removes all snapshots but the newest one."""
    older = list_snapshots(directory)[:-1]
    for path in older:
        path.unlink()
    if older:
        sync_directory(directory)

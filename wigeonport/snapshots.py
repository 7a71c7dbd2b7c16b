"""Snapshot files: the whole replicated state as of one log index."""

import itertools
import json
import zlib

from wigeonport.durable_files import replace_file, sync_directory
from wigeonport.journal_records import (
    RECORD_HEADER,
    SnapshotHeader,
    encode_record,
    read_body,
)
from wigeonport.journal_records import codec as record_codec
from wigeonport.memberships import Members
from wigeonport.replica_events import Snapshot

FORMAT = 1
PREFIX = "snapshot-"
# The documents repeat their keys, so that level 1 compresses them nearly as
# well as the default level in a fraction of the time.
COMPRESSION_LEVEL = 1
# Levels of nesting at which objects are always encoded item by item: a state's
# document holds sections, and a section holds tables of many rows.
MAX_SLICED_DEPTH = 2
MAX_SLICE_ITEMS = 100
encode_json = json.JSONEncoder(separators=(",", ":")).encode


class DamageError(Exception):
    """Stored data is missing or does not match its checksum."""


class FormatError(Exception):
    """Stored data has a format that this version does not read."""


def encode_state(document):
    """Returns a state's document as compressed JSON."""
    compressor = zlib.compressobj(COMPRESSION_LEVEL)
    parts = [
        compressor.compress(text.encode())
        for text in encode_slices(document, MAX_SLICED_DEPTH)
    ]
    return b"".join([*parts, compressor.flush()])


def encode_slices(value, depth):
    """Yields the JSON text of plain data in short pieces.

    The JSON encoder holds the interpreter lock throughout a call, so that
    encoding a large state in one call would delay the heartbeats.

    Args:
        value: The data.
        depth: Number of levels of nested objects to encode item by item.
    """
    if isinstance(value, dict) and depth and value:
        prefix = "{"
        for key, item in value.items():
            yield f"{prefix}{encode_json(str(key))}:"
            yield from encode_slices(item, depth - 1)
            prefix = ","
        yield "}"
    elif isinstance(value, dict | list) and len(value) > MAX_SLICE_ITEMS:
        slice_prefix, closing = "{}" if isinstance(value, dict) else "[]"
        items = value.items() if isinstance(value, dict) else value
        source = iter(items)
        while part := list(itertools.islice(source, MAX_SLICE_ITEMS)):
            text = encode_json(type(value)(part))
            yield slice_prefix + text[1:-1]
            slice_prefix = ","
        yield closing
    else:
        yield encode_json(value)


def decode_state(data):
    """Returns the document that ``encode_state`` encoded."""
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


def read_newest_snapshot(directory):
    """Returns the newest Snapshot, or None if there is no snapshot file.

    Raises:
        DamageError: If the newest file is damaged.
        FormatError: If this version does not read its format.
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
        raise FormatError(
            f"{paths[-1].name}: format {header.format} is not {FORMAT}"
        )
    content = data[RECORD_HEADER.size + len(body) :]
    if len(content) != header.size_bytes or (
        zlib.crc32(content) != header.checksum
    ):
        raise DamageError(f"{paths[-1].name}: content is damaged")
    members = Members.from_payload(header.members)
    return Snapshot(header.index, header.term, members, content)


def list_snapshots(directory):
    """Returns the paths of the snapshot files, oldest first."""
    return sorted(
        path for path in directory.glob(f"{PREFIX}*") if path.suffix != ".tmp"
    )


def remove_older_snapshots(directory, index):
    """Removes the snapshot files below the index of a durable snapshot.

    A newer file may exist whose name is not durable yet.
    """
    durable_path = snapshot_path(directory, index)
    older = [path for path in list_snapshots(directory) if path < durable_path]
    for path in older:
        path.unlink()
    if older:
        sync_directory(directory)

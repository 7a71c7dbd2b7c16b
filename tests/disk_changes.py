"""Changes of files and names that no sync covers, and what is left of them.

A fate is a function that returns KEPT, LOST or TORN for a change.
"""

import fnmatch

KEPT = "kept"
LOST = "lost"
TORN = "torn"


class File:
    """A file or a directory, independent of its names.

    Attributes:
        is_directory: Whether this is a directory.
        synced: Content that the last sync covered, as bytes.
        changes: Writes and Truncations since the last sync.
    """

    __slots__ = ("is_directory", "synced", "changes")

    def __init__(self, is_directory=False, synced=b""):
        self.is_directory = is_directory
        self.synced = synced
        self.changes = []

    def content(self, fate=lambda change: KEPT):
        """Returns the content after the changes that a fate keeps."""
        data = bytearray(self.synced)
        for change in self.changes:
            decision = fate(change)
            if decision != LOST:
                change.apply(data, decision)
        return bytes(data)


class Write:
    """Bytes written to a file.

    Attributes:
        label: Operation and name of the file, such as ``write identity``.
        offset: Position in the file.
        data: The bytes.
        torn: Bytes that a torn write leaves at the offset.
    """

    __slots__ = ("label", "offset", "data", "torn")

    def __init__(self, label, offset, data):
        self.label = label
        self.offset = offset
        self.data = data
        self.torn = data[: len(data) // 2]

    def apply(self, data, decision):
        """Changes the content of a file."""
        written = self.torn if decision == TORN else self.data
        data.extend(bytes(max(0, self.offset - len(data))))
        data[self.offset : self.offset + len(written)] = written


class Truncation:
    """A new length of a file, in bytes."""

    __slots__ = ("label", "size_bytes")

    def __init__(self, label, size_bytes):
        self.label = label
        self.size_bytes = size_bytes

    def apply(self, data, decision):
        """Changes the content of a file."""
        del data[self.size_bytes :]
        data.extend(bytes(self.size_bytes - len(data)))


class NameChange:
    """A name that was created, renamed or removed.

    Attributes:
        label: Operation and name, such as ``unlink identity``; a rename has
            its new name.
        directory: Path of the directory whose sync makes the change durable.
        file: The File.
        removed: Path that no longer names the file, or None.
        added: Path that names the file, or None.
    """

    __slots__ = ("label", "directory", "file", "removed", "added")

    def __init__(self, label, file, removed=None, added=None):
        self.label = label
        self.directory = (added or removed).parent
        self.file = file
        self.removed = removed
        self.added = added

    def forget(self, path):
        """Makes this change leave a path as it is."""
        if path is not None:
            self.added = None if self.added == path else self.added
            self.removed = None if self.removed == path else self.removed

    def apply(self, names):
        """Changes a dict of path to File."""
        if self.removed and names.get(self.removed) is self.file:
            del names[self.removed]
        if self.added:
            names[self.added] = self.file


def losing(*patterns):
    """Returns a fate: changes whose labels match a pattern are lost."""
    return lambda change: (
        LOST
        if any(fnmatch.fnmatch(change.label, pattern) for pattern in patterns)
        else KEPT
    )


def random_fate(source):
    """Returns a fate from a random source.

    At some losses all later writes are gone, and at some all changes.
    """
    loses_writes = source.random() < 0.25
    loses_names = source.random() < 0.25
    kept_share = source.choice([0.2, 0.5, 0.8])

    def choose(change):
        is_name = isinstance(change, NameChange)
        if (loses_names if is_name else loses_writes) or (
            source.random() >= kept_share
        ):
            return LOST
        if isinstance(change, Write) and source.random() < 0.4:
            change.torn = tear(source, change.data)
            return TORN
        return KEPT

    return choose


def tear(source, data):
    """Returns what a torn write leaves: its start, or also its length."""
    start = data[: source.randrange(len(data) + 1)]
    return start + bytes(source.choice([0, len(data) - len(start)]))

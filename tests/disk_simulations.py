"""Simulation of what a killed process and a power loss leave on a disk.

The simulation follows the files below a real directory. The operations go
through to the real files, so that a killed process leaves what the directory
holds. A power loss rewrites the directory: what a sync covered stays, and a
fate is chosen for each later change.

- A write or a truncation after the last sync of its file is kept, lost or
  torn.
- The creation, renaming or removal of a name after the last sync of its
  directory is kept or lost, independently of the others. The sync of a new
  file also keeps its name; that of a new directory does not.
- A move to another directory consists of a new name there and a removed name
  here, each with a fate of its own.
"""

import contextlib
import fnmatch
import os
import pathlib
import shutil

import pytest

KEPT = "kept"
LOST = "lost"
TORN = "torn"

HOOKED = (
    "open",
    "close",
    "write",
    "ftruncate",
    "fsync",
    "fdatasync",
    "mkdir",
    "rmdir",
    "unlink",
    "remove",
    "rename",
    "replace",
)


@pytest.fixture
def disk(tmp_path, monkeypatch):
    """A simulated disk below an existing, empty directory."""
    disk = Disk(tmp_path)
    disk.install(monkeypatch)
    return disk


class CrashError(Exception):
    """The simulated process ends at an operation on the disk."""


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

    def apply(self, names):
        """Changes a dict of path to File."""
        if self.removed and names.get(self.removed) is self.file:
            del names[self.removed]
        if self.added:
            names[self.added] = self.file


class OpenFile:
    """An open descriptor: its path, File, position and append mode."""

    __slots__ = ("path", "file", "offset", "appends")

    def __init__(self, path, file, appends):
        self.path = path
        self.file = file
        self.offset = 0
        self.appends = appends


class Disk:
    """The simulated disk; one process uses it at a time.

    Attributes:
        root: Path below which files are followed; it exists durably.
        names: Dict of path to File as the process sees them.
        synced_names: Dict of path to File that a power loss leaves at least.
        name_changes: NameChanges that no sync covers, in order.
        open_files: Dict of descriptor to OpenFile.
        point: Pattern of the operation at which the process ends, or "".
        steps_left: Number of operations until the process ends, or None.
        reached: The operation at which the process has ended, or "".
        history: Operations and losses so far, to explain a failure.
        real: Dict of name to function of the module ``os``.
    """

    __slots__ = (
        "root",
        "names",
        "synced_names",
        "name_changes",
        "open_files",
        "point",
        "steps_left",
        "reached",
        "history",
        "real",
    )

    def __init__(self, root):
        self.root = root
        self.names = {}
        self.synced_names = {}
        self.name_changes = []
        self.open_files = {}
        self.point = ""
        self.steps_left = None
        self.reached = ""
        self.history = []
        self.real = {name: getattr(os, name) for name in HOOKED}
        self.real["rmtree"] = shutil.rmtree

    def install(self, monkeypatch):
        """Replaces the functions of ``os`` that change files."""
        for name in HOOKED:
            monkeypatch.setattr(os, name, getattr(self, name))
        # The original works with descriptors of directories.
        monkeypatch.setattr(shutil, "rmtree", self.rmtree)

    @contextlib.contextmanager
    def crash(self, point):
        """Ends the process at an operation of the block.

        Args:
            point: ``before``, ``during`` or ``after`` and the label of an
                operation; ``*`` stands for any text.
        """
        self.point = point
        with pytest.raises(CrashError):
            yield
        self.kill()

    def kill(self):
        """Ends the process; all that it has written stays."""
        self.history.append(f"kill {self.reached}")
        for descriptor in self.open_files:
            self.real["close"](descriptor)
        self.open_files = {}
        self.point = ""
        self.steps_left = None
        self.reached = ""
        self.check_that_names_agree()

    def lose_power(self, fate):
        """Ends the process and leaves what the disk has of its changes.

        Args:
            fate: Function that returns KEPT, LOST or TORN for a change.
        """
        self.kill()

        def record(change):
            decision = fate(change)
            self.history.append(f"{decision} {change.label}")
            return decision

        for change in self.name_changes:
            if record(change) != LOST:
                change.apply(self.synced_names)
        self.name_changes = []
        contents = {
            file: file.content(record)
            for file in dict.fromkeys(self.synced_names.values())
        }
        for path in sorted(self.root.rglob("*"), reverse=True):
            self.real["rmdir" if path.is_dir() else "unlink"](path)
        self.names = {}
        for path in sorted(self.synced_names):
            file = self.synced_names[path]
            # Files of a lost directory are lost too.
            if path.parent == self.root or path.parent in self.names:
                self._restore(path, file.is_directory, contents[file])
        self.synced_names = dict(self.names)

    def _restore(self, path, is_directory, content):
        self.names[path] = File(is_directory, content)
        if is_directory:
            self.real["mkdir"](path)
            return
        descriptor = self.real["open"](path, os.O_WRONLY | os.O_CREAT, 0o600)
        self.real["write"](descriptor, content)
        self.real["close"](descriptor)

    def check_that_names_agree(self):
        """Checks that no operation has bypassed the simulation."""
        assert sorted(self.names) == sorted(self.root.rglob("*"))
        for path, file in self.names.items():
            if not file.is_directory:
                assert path.read_bytes() == file.content(), path.name

    def corrupt(self, path, offset):
        """Flips a bit of the synced content of a file."""
        data = bytearray(path.read_bytes())
        data[offset] ^= 1
        self.names[path].synced = bytes(data)
        path.write_bytes(data)

    def follows(self, path):
        """Returns whether the simulation follows a path."""
        return isinstance(path, str | os.PathLike) and (
            self.root in pathlib.Path(path).parents
        )

    def step(self, when, label):
        """Passes a point at which the process may end.

        Raises:
            CrashError: If the process ends here, or has ended already.
        """
        if self.steps_left is not None:
            self.steps_left -= 1
        point = f"{when} {label}"
        if fnmatch.fnmatch(point, self.point) or self.steps_left == 0:
            self.reached = self.reached or point
        if self.reached:
            raise CrashError(self.reached)
        if when == "after":
            self.history.append(label)

    def change_name(self, operation, file, removed=None, added=None):
        """Records that a name of a File was created, renamed or removed."""
        label = f"{operation} {(added or removed).name}"
        change = NameChange(label, file, removed, added)
        change.apply(self.names)
        self.name_changes.append(change)

    def open(self, path, flags, mode=0o777, *, dir_fd=None):
        """Opens a file; replaces ``os.open``."""
        if dir_fd is not None or not self.follows(path):
            return self.real["open"](path, flags, mode, dir_fd=dir_fd)
        path = pathlib.Path(path)
        file = self.names.get(path)
        creates = file is None and flags & os.O_CREAT
        empties = file is not None and flags & os.O_TRUNC
        label = f"{'create' if creates else 'truncate'} {path.name}"
        if creates or empties:
            self.step("before", label)
        descriptor = self.real["open"](path, flags, mode)
        if creates:
            file = File()
            self.change_name("create", file, added=path)
        elif empties:
            file.changes.append(Truncation(label, 0))
        self.open_files[descriptor] = OpenFile(
            path, file, bool(flags & os.O_APPEND)
        )
        if creates or empties:
            self.step("after", label)
        return descriptor

    def close(self, descriptor):
        """Closes a file; replaces ``os.close``."""
        self.open_files.pop(descriptor, None)
        self.real["close"](descriptor)

    def write(self, descriptor, data):
        """Writes to a file; replaces ``os.write``."""
        opened = self.open_files.get(descriptor)
        if opened is None:
            return self.real["write"](descriptor, data)
        data = bytes(data)
        label = f"write {opened.path.name}"
        self.step("before", label)
        half = len(data) // 2
        for when, part in (("during", data[:half]), ("after", data[half:])):
            self._write_part(label, descriptor, opened, part)
            if when == "during":
                self.step(when, label)
        # The halves are one write unless the process ended between them.
        second, first = opened.file.changes.pop(), opened.file.changes.pop()
        opened.file.changes.append(
            Write(label, first.offset, first.data + second.data)
        )
        self.step("after", label)
        return len(data)

    def _write_part(self, label, descriptor, opened, data):
        if opened.appends:
            opened.offset = len(opened.file.content())
        self.real["write"](descriptor, data)
        opened.file.changes.append(Write(label, opened.offset, data))
        opened.offset += len(data)

    def ftruncate(self, descriptor, size_bytes):
        """Sets the length of a file; replaces ``os.ftruncate``."""
        opened = self.open_files.get(descriptor)
        if opened is None:
            self.real["ftruncate"](descriptor, size_bytes)
            return
        label = f"truncate {opened.path.name}"
        self.step("before", label)
        self.real["ftruncate"](descriptor, size_bytes)
        opened.file.changes.append(Truncation(label, size_bytes))
        self.step("after", label)

    def fsync(self, descriptor):
        """Syncs a file or a directory; replaces ``os.fsync``.

        The real file is not synced, which would only take time.
        """
        opened = self.open_files.get(descriptor)
        if opened is not None:
            path, file = opened.path, opened.file
        else:
            # The root, or a file that was opened for reading elsewhere.
            path = pathlib.Path(os.readlink(f"/proc/self/fd/{descriptor}"))
            file = self.names.get(path) or File(is_directory=True)
        label = f"sync {path.name}"
        self.step("before", label)
        left = []
        for change in self.name_changes:
            if change.directory == path or (
                change.file is file and change.label.startswith("create")
            ):
                change.apply(self.synced_names)
            else:
                left.append(change)
        self.name_changes = left
        file.synced = file.content()
        file.changes = []
        self.step("after", label)

    fdatasync = fsync

    def mkdir(self, path, mode=0o777, *, dir_fd=None):
        """Creates a directory; replaces ``os.mkdir``."""
        if not self.follows(path) or pathlib.Path(path) in self.names:
            self.real["mkdir"](path, mode, dir_fd=dir_fd)
            return
        path = pathlib.Path(path)
        self.step("before", f"mkdir {path.name}")
        self.real["mkdir"](path, mode)
        self.change_name("mkdir", File(is_directory=True), added=path)
        self.step("after", f"mkdir {path.name}")

    def unlink(self, path, *, dir_fd=None):
        """Removes a file; replaces ``os.unlink`` and ``os.remove``."""
        self._remove("unlink", path, dir_fd)

    remove = unlink

    def rmdir(self, path, *, dir_fd=None):
        """Removes a directory; replaces ``os.rmdir``."""
        self._remove("rmdir", path, dir_fd)

    def _remove(self, operation, path, dir_fd):
        if not self.follows(path) or pathlib.Path(path) not in self.names:
            self.real[operation](path, dir_fd=dir_fd)
            return
        path = pathlib.Path(path)
        self.step("before", f"{operation} {path.name}")
        self.real[operation](path)
        self.change_name(operation, self.names[path], removed=path)
        self.step("after", f"{operation} {path.name}")

    def rmtree(self, path, *arguments, **keywords):
        """Removes a directory with its files; replaces ``shutil.rmtree``."""
        if not self.follows(path):
            self.real["rmtree"](path, *arguments, **keywords)
            return
        for child in sorted(pathlib.Path(path).iterdir()):
            if child.is_dir():
                self.rmtree(child)
            else:
                self.unlink(child)
        self.rmdir(path)

    def replace(self, source, target):
        """Renames a file; replaces ``os.replace`` and ``os.rename``."""
        source, target = pathlib.Path(source), pathlib.Path(target)
        if not self.follows(source):
            self.real["replace"](source, target)
            return
        self.step("before", f"rename {target.name}")
        self.real["replace"](source, target)
        file = self.names[source]
        if source.parent == target.parent:
            self.change_name("rename", file, source, target)
        else:
            self.change_name("move", file, added=target)
            self.change_name("unlink", file, removed=source)
        self.step("after", f"rename {target.name}")

    rename = replace


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

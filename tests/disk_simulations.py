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
from disk_changes import LOST, File, NameChange, Truncation, Write

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
    yield disk
    # Captured, and shown if the test fails.
    print(*disk.history[-60:], sep="\n")
    disk.close_files()


class CrashError(Exception):
    """The simulated process ends at an operation on the disk."""


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
        self.close_files()
        self.point = ""
        self.steps_left = None
        self.reached = ""
        self.check_that_names_agree()

    def close_files(self):
        """Closes the files that the process has left open."""
        for descriptor in self.open_files:
            self.real["close"](descriptor)
        self.open_files = {}

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
                # An earlier change of the name must not follow this one.
                for earlier in left:
                    earlier.forget(change.added)
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


@contextlib.contextmanager
def after_rename(disk, function):
    """Calls a function after the next rename, as another thread might."""

    def replace(source, target):
        patch.undo()
        disk.replace(source, target)
        function()

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(os, "replace", replace)
        yield

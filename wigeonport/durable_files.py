"""File operations that are durable once the call returns.

After a failed sync it is unknown which pages reached the disk, and a second
sync may report success although they did not (fsyncgate, 2018). Callers
therefore treat its error as fatal. A write that finds no space is different:
nothing has been synced, and it may be repeated.
"""

import contextlib
import errno
import fcntl
import os

LOCK_NAME = "lock"
# No space on the device, in the quota of the user, and below the limit of the
# process on file sizes.
NO_SPACE_ERRORS = frozenset({errno.ENOSPC, errno.EDQUOT, errno.EFBIG})


class DiskFullError(OSError):
    """A write found no space."""


@contextlib.contextmanager
def report_full_disk():
    """Raises DiskFullError in place of an OSError for lack of space."""
    try:
        yield
    except OSError as error:
        if error.errno not in NO_SPACE_ERRORS:
            raise
        raise DiskFullError(error.errno, error.strerror) from error


def lock_directory(path):
    """Locks a data directory.

    Returns:
        The descriptor that holds the lock until it is closed.

    Raises:
        BlockingIOError: If another process holds the lock.
        DiskFullError: If there is no space for the file of the lock.
    """
    with report_full_disk():
        descriptor = os.open(path / LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o600)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(descriptor)
        raise
    return descriptor


def sync_file(descriptor):
    """Makes the data written to an open file durable."""
    os.fdatasync(descriptor)


def sync_path(path):
    """Makes the data in a file durable, also that of other processes."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        sync_file(descriptor)
    finally:
        os.close(descriptor)


def sync_directory(path):
    """Makes the creation, renaming and removal of its files durable."""
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def write_all(descriptor, data):
    """Writes all bytes, with further calls after a short write.

    Raises:
        DiskFullError: If there is no space; a part may have been written.
    """
    view = memoryview(data)
    with report_full_disk():
        while view:
            view = view[os.write(descriptor, view) :]


def truncate(descriptor, size_bytes):
    """Shortens an open file.

    Raises:
        DiskFullError: If a full disk refuses it.
    """
    with report_full_disk():
        os.ftruncate(descriptor, size_bytes)


def open_empty(path, append=False):
    """Opens a new or emptied file for writing and returns its descriptor.

    Raises:
        DiskFullError: If there is no space for the file.
    """
    flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
    with report_full_disk():
        return os.open(path, flags | (os.O_APPEND if append else 0), 0o600)


def make_directory(path):
    """Makes a directory and its parents durably if they do not exist.

    Raises:
        DiskFullError: If there is no space.
    """
    if path.is_dir():
        return
    make_directory(path.parent)
    with report_full_disk():
        path.mkdir(exist_ok=True)
    sync_directory(path.parent)


def replace_file(path, parts):
    """Replaces a file atomically and durably.

    The content is written under a temporary name, synced and renamed.

    Args:
        path: Final path.
        parts: Byte strings that form the content.

    Raises:
        DiskFullError: If there is no space. The file at the final path is
            unchanged, and the temporary file is removed.
        OSError: If any other step fails. The file at the final path is then
            either unchanged or has the whole new content.
    """
    temporary = path.with_name(path.name + ".tmp")
    try:
        descriptor = open_empty(temporary)
        try:
            for part in parts:
                write_all(descriptor, part)
            sync_file(descriptor)
        finally:
            os.close(descriptor)
        with report_full_disk():
            os.replace(temporary, path)
    except DiskFullError:
        temporary.unlink(missing_ok=True)
        raise
    sync_directory(path.parent)

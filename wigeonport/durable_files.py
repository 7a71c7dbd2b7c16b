"""File operations that are durable once the call returns.

After a failed sync it is unknown which pages reached the disk, and a second
sync may report success although they did not (fsyncgate, 2018). Callers
therefore never retry a failed call and treat its error as fatal.
"""

import fcntl
import os

LOCK_NAME = "lock"


def lock_directory(path):
    """Locks a data directory.

    Returns:
        The descriptor that holds the lock until it is closed.

    Raises:
        BlockingIOError: If another process holds the lock.
    """
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


def sync_directory(path):
    """Makes the creation, renaming and removal of its files durable."""
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def write_all(descriptor, data):
    """Writes all bytes, with further calls after a short write."""
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


def replace_file(path, parts):
    """Replaces a file atomically and durably.

    The content is written under a temporary name, synced and renamed.

    Args:
        path: Final path.
        parts: Byte strings that form the content.

    Raises:
        OSError: If any step fails. The file at the final path is then
            either unchanged or has the whole new content.
    """
    temporary = path.with_name(path.name + ".tmp")
    flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
    descriptor = os.open(temporary, flags, 0o600)
    try:
        for part in parts:
            write_all(descriptor, part)
        sync_file(descriptor)
    finally:
        os.close(descriptor)
    os.replace(temporary, path)
    sync_directory(path.parent)

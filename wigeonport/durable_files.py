"""Files that are durable once a call returns.

A failed sync leaves it unknown which pages reached the disk, and a second
call may report success although they did not (fsyncgate, 2018). No caller
may therefore retry; each treats the error as fatal.
"""

import fcntl
import os

LOCK_NAME = "lock"


def lock_directory(path):
    """Returns a descriptor that holds the lock of a data directory.

    Raises:
        BlockingIOError: If another process holds it.
    """
    descriptor = os.open(path / LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o600)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(descriptor)
        raise
    return descriptor


def sync_file(descriptor):
    """Makes the written data of an open file durable."""
    os.fdatasync(descriptor)


def sync_directory(path):
    """Makes created, renamed and removed names durable."""
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def write_all(descriptor, data):
    """Writes all bytes; a short write is continued."""
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


def replace_file(path, parts):
    """Writes a file under a temporary name, syncs and renames it.

    Args:
        path: Final path.
        parts: Byte strings that form the content.

    Raises:
        OSError: If any step fails; the final name is then unchanged or
            holds the complete content.
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

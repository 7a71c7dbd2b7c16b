"""Memory and descriptors that a process may use on its machine."""

import resource

from wigeonport.logs import PartLogger
from wigeonport.records import Record

logger = PartLogger("program")

MIB = 1024 * 1024


class MachineLimits(Record):
    """What the machine of a process allows.

    Attributes:
        memory_mb: Memory of the machine in MB.
        max_descriptors: Descriptors that the process may open.
    """

    __slots__ = ("memory_mb", "max_descriptors")

    def __init__(self, memory_mb, max_descriptors):
        self.memory_mb = memory_mb
        self.max_descriptors = max_descriptors


def find_machine_limits(settings):
    """Returns the MachineLimits that Settings state, or those of the system.

    A process without limits would grow with its clients until the system ends
    it.
    """
    memory_mb = settings.memory_mb or read_memory_mb()
    max_descriptors = settings.max_descriptors or read_descriptors()
    if not settings.memory_mb or not settings.max_descriptors:
        logger.info(
            "Limits taken from the system.",
            memory_mb=memory_mb,
            max_descriptors=max_descriptors,
        )
    return MachineLimits(memory_mb, max_descriptors)


def read_memory_mb():
    """Returns the memory of the machine in MB."""
    # Imported only here: the import takes 20 ms, and the platform states the
    # memory at each start.
    import psutil

    return psutil.virtual_memory().total // MIB


def read_descriptors():
    """Returns the number of descriptors that the process may open."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return soft

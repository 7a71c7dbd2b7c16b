"""Limits of what a process holds for its clients, from its machine."""

import math

MIB = 1024 * 1024
# Memory of a program without clients, with a margin: both start with 47 MB.
PROGRAM_MEMORY_MB = 64
# Of the memory beside the program, the bytes held for clients and their
# connections get a quarter each. The other half is for the program's own state
# and for the objects that bodies are decoded into.
MEMORY_PARTS = 4
# Accepted jobs get an eighth of it, and the log, messages under way, snapshots
# and decoded bodies the rest.
JOB_PARTS = 8
# Four of the largest job that the platform's pages allow.
MIN_JOB_BYTES = 12 * MIB
# The log in memory gets a twelfth until a snapshot is due.
LOG_PARTS = 12
MIN_LOG_BYTES = 8 * MIB
# A small machine still takes one configuration of full size, 8 MiB, with its
# header block.
MIN_HELD_BYTES = 9 * MIB
MIN_CONNECTIONS = 64
# Memory of a connection with a request: its tasks, parser and buffers.
CONNECTION_BYTES = 24 * 1024
# Descriptors that the platform reserves for files outside the disk folder.
PLATFORM_DESCRIPTORS = 200
# 256 accepted links, as many pending handshakes, the opened links, the journal
# and the listeners.
PROGRAM_DESCRIPTORS = 550


class ClientLimits:
    """Limits of what a process holds for its clients.

    Attributes:
        held_bytes: Bytes received for requests in progress and of answers
            that are being sent.
        connections: Number of open connections.
        body_stall_ms: Time without progress after which a request is ended.
        answer_stall_ms: Time without progress after which the connection of
            an answer is closed.
    """

    __slots__ = (
        "held_bytes",
        "connections",
        "body_stall_ms",
        "answer_stall_ms",
    )

    def __init__(
        self,
        held_bytes=math.inf,
        connections=math.inf,
        body_stall_ms=math.inf,
        answer_stall_ms=math.inf,
    ):
        self.held_bytes = held_bytes
        self.connections = connections
        self.body_stall_ms = body_stall_ms
        self.answer_stall_ms = answer_stall_ms


def derive_limits(settings, machine):
    """Returns the ClientLimits of a program.

    Args:
        settings: Settings.
        machine: MachineLimits.
    """
    return ClientLimits(
        settings.max_client_bytes or derive_bytes(machine.memory_mb),
        settings.max_client_connections
        or derive_connections(machine.memory_mb, machine.max_descriptors),
        settings.body_stall_ms,
        settings.answer_stall_ms,
    )


def spare_bytes(memory_mb):
    """Returns each part of the memory beside the program, in bytes."""
    return (memory_mb - PROGRAM_MEMORY_MB) * MIB // MEMORY_PARTS


def derive_bytes(memory_mb):
    """Returns the limit of held bytes; ``memory_mb`` 0 is not known."""
    if not memory_mb:
        return math.inf
    return max(MIN_HELD_BYTES, spare_bytes(memory_mb))


def derive_job_bytes(settings, machine):
    """Returns the bytes that accepted jobs may take at a control."""
    if settings.max_job_bytes:
        return settings.max_job_bytes
    spare_mb = machine.memory_mb - PROGRAM_MEMORY_MB
    return max(MIN_JOB_BYTES, spare_mb * MIB // JOB_PARTS)


def derive_log_bytes(machine):
    """Returns the bytes of applied entries at which a snapshot is due."""
    spare_mb = machine.memory_mb - PROGRAM_MEMORY_MB
    return max(MIN_LOG_BYTES, spare_mb * MIB // LOG_PARTS)


def derive_connections(memory_mb, max_descriptors):
    """Returns the limit of connections; 0 is not known."""
    limit = math.inf
    if memory_mb:
        limit = spare_bytes(memory_mb) // CONNECTION_BYTES
    if max_descriptors:
        reserved = PLATFORM_DESCRIPTORS + PROGRAM_DESCRIPTORS
        limit = min(limit, max_descriptors - reserved)
    return max(MIN_CONNECTIONS, limit)

"""Admission of jobs by the memory that they take at the leader.

A job is refused before anything of it is recorded, so that it never runs. A
job may take up to a quarter of what is free: a crowd of large jobs then stops
long before the limit and leaves room for many small ones. Half of the limit is
reserved for tenants by their weights, so that a crowd of one tenant keeps no
other one out.
"""

from wigeonport.batch_calls import INVALID, REJECTED, BatchReply
from wigeonport.job_sizes import size_of_new_job, size_of_occurrence
from wigeonport.logs import PartLogger

logger = PartLogger("jobs")

MAX_SHARE_OF_FREE = 1 / 4
RESERVED_SHARE = 1 / 2
# Share of the limit for the occurrences that periodic jobs have open beside
# their first one. Due occurrences wait without loss, and each one costs the
# leader time in every heartbeat that starts tasks.
OCCURRENCE_SHARE = 1 / 8
# Refused callers are told to return within these times. Ended jobs free their
# memory at once, so that a longer wait is seldom needed.
MIN_RETURN_MS = 1_000
MAX_RETURN_MS = 10_000
# Callers for whom the longest time is too short are spread over these steps
# before it, in whole seconds as ``Retry-After`` has them.
LATE_STEPS = 5
STEP_MS = 1_000
# Time over which the freed memory is averaged.
AVERAGE_MS = 5_000
MIN_FREED_PER_MS = 0.001
LOG_INTERVAL_MS = 1_000


class MemoryAdmissions:
    """How fast memory of jobs is freed, and what was refused, in one term.

    Attributes:
        limit_bytes: Memory that accepted jobs may take.
        refused: Number of refused submissions.
        freed_bytes: Memory that was freed in total at the last update.
        freed_per_ms: Average of the memory that is freed.
        updated_ms: Time of the last update, or None.
        promised_ms: Time up to which returns of refused callers have been
            promised.
        logged_ms: Time of the last log line, or None.
        logged: Number of refused submissions at that time.
    """

    __slots__ = (
        "limit_bytes",
        "refused",
        "freed_bytes",
        "freed_per_ms",
        "updated_ms",
        "promised_ms",
        "logged_ms",
        "logged",
    )

    def __init__(self, limit_bytes):
        self.limit_bytes = limit_bytes
        self.refused = 0
        self.freed_bytes = 0
        self.freed_per_ms = 0.0
        self.updated_ms = None
        self.promised_ms = 0
        self.logged_ms = None
        self.logged = 0

    def update(self, freed_bytes, now_ms):
        """Updates the average with the memory that was freed in total."""
        if self.updated_ms is not None and now_ms > self.updated_ms:
            passed_ms = now_ms - self.updated_ms
            recent = (freed_bytes - self.freed_bytes) / passed_ms
            part = min(1, passed_ms / AVERAGE_MS)
            self.freed_per_ms += (recent - self.freed_per_ms) * part
        self.updated_ms = now_ms
        self.freed_bytes = freed_bytes

    def promise_return(self, size_bytes, free_bytes, now_ms):
        """Returns the time, in ms, after which a refused caller has room.

        Each refused caller gets a later time, so that they don't return
        together.
        """
        missing_bytes = max(0, size_bytes / MAX_SHARE_OF_FREE - free_bytes)
        freed_per_ms = max(self.freed_per_ms, MIN_FREED_PER_MS)
        next_ms = now_ms + missing_bytes / freed_per_ms
        earliest_ms = max(next_ms, self.promised_ms, now_ms + MIN_RETURN_MS)
        if earliest_ms >= now_ms + MAX_RETURN_MS:
            return MAX_RETURN_MS - self.refused % LATE_STEPS * STEP_MS
        self.promised_ms = earliest_ms + size_bytes / freed_per_ms
        return int(earliest_ms - now_ms)

    def count_refusal(self, held_bytes, size_bytes, return_ms, now_ms):
        """Counts a refusal; logs at most one line a second."""
        self.refused += 1
        if self.logged_ms is not None and (
            0 <= now_ms - self.logged_ms < LOG_INTERVAL_MS
        ):
            return
        logger.warning(
            "Submissions refused for memory.",
            refused=self.refused - self.logged,
            size_bytes=size_bytes,
            held_bytes=held_bytes,
            limit_bytes=self.limit_bytes,
            return_ms=return_ms,
        )
        self.logged_ms = now_ms
        self.logged = self.refused


def refuse_for_memory(dispatcher, tenant, spec):
    """Returns the BatchReply that refuses a new job, or None to accept it.

    Args:
        dispatcher: BatchDispatcher.
        tenant: Tenant that submits the job, or None without a key.
        spec: JobSpec.
    """
    batch, admissions = dispatcher.state.batch, dispatcher.memory
    size_bytes = size_of_new_job(spec)
    if size_bytes > admissions.limit_bytes * MAX_SHARE_OF_FREE:
        return BatchReply(INVALID, "the job is larger than this system holds")
    free_bytes = find_limit(dispatcher, tenant, size_bytes) - batch.held_bytes
    if size_bytes <= free_bytes * MAX_SHARE_OF_FREE:
        return None
    now_ms = dispatcher.wall_ms
    return_ms = admissions.promise_return(size_bytes, free_bytes, now_ms)
    admissions.count_refusal(batch.held_bytes, size_bytes, return_ms, now_ms)
    return BatchReply(
        REJECTED, "there is no memory for the job now", return_ms
    )


def has_room_for_occurrence(dispatcher, job, open_bytes):
    """Returns whether one more occurrence of a job fits into the memory.

    The first one was counted when the job was accepted, so that each job can
    go on however many occurrences of others are open.

    Args:
        dispatcher: BatchDispatcher.
        job: BatchJob.
        open_bytes: Result of ``count_occurrence_bytes``.
    """
    if not job.occurrences:
        return True
    limit_bytes = dispatcher.memory.limit_bytes
    size_bytes = size_of_occurrence(job.spec)
    free_bytes = limit_bytes - dispatcher.state.batch.held_bytes
    return (
        size_bytes <= free_bytes * MAX_SHARE_OF_FREE
        and open_bytes + size_bytes <= limit_bytes * OCCURRENCE_SHARE
    )


def count_occurrence_bytes(jobs):
    """Returns the memory of all open occurrences but the first of each job."""
    return sum(
        (len(job.occurrences) - 1) * size_of_occurrence(job.spec)
        for job in jobs
        if len(job.occurrences) > 1
    )


def find_limit(dispatcher, tenant, size_bytes):
    """Returns the limit, in bytes, up to which all jobs may grow with a job.

    A tenant within its part of the reserved memory may use all of the limit,
    and any other caller what is not reserved.
    """
    limit_bytes = dispatcher.memory.limit_bytes
    tenants = dispatcher.state.routes.table.tenants
    if tenants is None:
        return limit_bytes
    if tenant is not None:
        weights = sum(each.weight for each in tenants.by_name.values())
        held_bytes = dispatcher.state.batch.bytes_by_tenant[tenant.name]
        reserved_bytes = limit_bytes * RESERVED_SHARE
        part_bytes = reserved_bytes * tenant.weight / weights
        if held_bytes + size_bytes <= part_bytes:
            return limit_bytes
    return limit_bytes * (1 - RESERVED_SHARE)


def publish_memory(dispatcher, metrics):
    """Sets the gauges of the memory that jobs and tombstones take."""
    batch = dispatcher.state.batch
    metrics.set("batch_job_bytes", batch.held_bytes)
    metrics.set("batch_tombstones", batch.tombstones.count)
    metrics.set("batch_refused_for_memory", dispatcher.memory.refused)

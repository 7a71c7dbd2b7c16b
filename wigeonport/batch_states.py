"""Replicated state of the batch jobs."""

import collections

from wigeonport.batch_commands import (
    OPERATIONS,
    AddTombstone,
    BatchRecorded,
    CancelJob,
    EndRuns,
    OpenOccurrence,
    StartRuns,
    SubmitJob,
)
from wigeonport.batch_jobs import CANCELLED, BatchJob, job_from_document
from wigeonport.batch_specs import job_spec_from_json, split_task_id
from wigeonport.codecs import codecs
from wigeonport.job_tombstones import (
    TombstoneTable,
    tombstones_from_document,
)
from wigeonport.logs import PartLogger
from wigeonport.state_commands import HANDLERS, RecordBatch

logger = PartLogger("jobs")
codec = codecs.get("thrift").ok()

# A finished job stays readable for at least this long; the platform's
# settings require 120 s.
RETENTION_MS = 300_000
# Maximum number of ids of dropped jobs, about 120 bytes each. They let a
# resent submission be recognised; once this many later jobs have been
# dropped too, it is accepted as a new job.
MAX_REMEMBERED_IDS = 100_000


class BatchState:
    """All jobs that are active or still readable.

    Attributes:
        jobs: Maps job id to BatchJob, in order of acceptance.
        remembered: Ids of dropped jobs as the keys of a dict, oldest first.
        tombstones: TombstoneTable.
        next_prune_ms: Wall time of the next removal of expired jobs.
        finished: Jobs that may have to be released, by job id.
        held_bytes: Memory that the jobs take.
        bytes_by_tenant: The same, by name of the tenant.
        freed_bytes: Memory of jobs that was freed in total.
    """

    __slots__ = (
        "jobs",
        "remembered",
        "tombstones",
        "next_prune_ms",
        "finished",
        "held_bytes",
        "bytes_by_tenant",
        "freed_bytes",
    )

    def __init__(self):
        self.jobs = {}
        self.remembered = {}
        self.tombstones = TombstoneTable()
        self.next_prune_ms = 0
        self.finished = {}
        self.held_bytes = 0
        self.bytes_by_tenant = collections.Counter()
        self.freed_bytes = 0

    def has_accepted(self, job_id):
        """Returns whether a job with this id has been accepted before."""
        return job_id in self.jobs or job_id in self.remembered

    def note_change(self, job):
        """Notes a job whose state or runs have changed."""
        self.count(job, job.size_bytes())
        if not job.active:
            self.finished[job.job_id] = job

    def count(self, job, size_bytes):
        """Counts a job at its present size; 0 for one that is dropped."""
        change_bytes = size_bytes - job.counted_bytes
        job.counted_bytes = size_bytes
        self.held_bytes += change_bytes
        self.bytes_by_tenant[job.tenant] += change_bytes
        self.freed_bytes += max(0, -change_bytes)
        if not self.bytes_by_tenant[job.tenant]:
            del self.bytes_by_tenant[job.tenant]

    def prune(self, now_ms):
        """Releases finished jobs; drops those older than ``RETENTION_MS``.

        A job with a run that may still be live is kept as it is; the end of
        the run notes the job again.
        """
        for job in self.finished.values():
            job.release()
            self.count(job, job.size_bytes())
        self.finished.clear()
        if now_ms < self.next_prune_ms:
            return
        self.next_prune_ms = now_ms + RETENTION_MS // 10
        expired_ids = [
            job.job_id
            for job in self.jobs.values()
            if job.finished_ms
            and now_ms - job.finished_ms > RETENTION_MS
            and not any(job.live_runs())
        ]
        for job_id in expired_ids:
            self.count(self.jobs.pop(job_id), 0)
            self.remembered[job_id] = True
        while len(self.remembered) > MAX_REMEMBERED_IDS:
            del self.remembered[next(iter(self.remembered))]

    def copy(self):
        """Returns a copy that shares only the specifications of jobs."""
        copied = BatchState()
        copied.jobs = {name: job.copy() for name, job in self.jobs.items()}
        copied.remembered = dict(self.remembered)
        copied.tombstones = self.tombstones.copy()
        copied.next_prune_ms = self.next_prune_ms
        copied.held_bytes = self.held_bytes
        copied.bytes_by_tenant = self.bytes_by_tenant.copy()
        return copied

    def to_document(self):
        """Returns the state as a JSON-compatible dict."""
        return {
            "jobs": [job.to_document() for job in self.jobs.values()],
            "remembered": list(self.remembered),
            "tombstones": self.tombstones.to_document(),
            "next_prune_ms": self.next_prune_ms,
        }


def batch_state_from_document(document):
    """Rebuilds a BatchState from ``BatchState.to_document``."""
    state = BatchState()
    for row in document["jobs"]:
        job = job_from_document(row)
        job.release()
        state.jobs[job.job_id] = job
        state.count(job, job.size_bytes())
    state.remembered = dict.fromkeys(document["remembered"], True)
    if "tombstones" in document:
        # Earlier releases stored none.
        state.tombstones = tombstones_from_document(document["tombstones"])
    state.next_prune_ms = document["next_prune_ms"]
    return state


def encode_operations(operations):
    """Returns the list of the encoded operations."""
    return [codec.encode(operation) for operation in operations]


def apply_operation(state, operation, now_ms):
    """Applies one decoded operation to a ReplicatedState."""
    OPERATIONS.entries[type(operation)](state, operation, now_ms)


@HANDLERS.register(RecordBatch)
def record_batch(state, command, now_ms):
    """Applies a batch of operations that were decided together."""
    for data in command.operations:
        decoded = codec.decode(data)
        if decoded.is_error():
            # All replicas skip the same operation, so their states stay
            # equal. The leader encodes only operations that it has built
            # itself, so this is not expected.
            logger.error(
                "Undecodable operation skipped.",
                reason=decoded.error,
            )
            continue
        apply_operation(state, decoded.ok, command.time_ms)
    state.batch.prune(command.time_ms)
    return BatchRecorded(len(command.operations))


@OPERATIONS.register(SubmitJob)
def submit_job(state, operation, now_ms):
    """Adds a job unless its id has been accepted before."""
    if state.batch.has_accepted(operation.job_id):
        return
    queue = state.routes.queues.get(operation.queue)
    attempts = queue.attempts if queue else 1
    spec = job_spec_from_json(operation.spec_json)
    job = BatchJob(
        operation.job_id,
        operation.queue,
        spec,
        attempts,
        now_ms,
        operation.tenant or "",
    )
    state.batch.jobs[operation.job_id] = job
    state.batch.note_change(job)


@OPERATIONS.register(CancelJob)
def cancel_job(state, operation, now_ms):
    """Cancels an active job."""
    job = state.batch.jobs.get(operation.job_id)
    if job is not None and job.active:
        job.end(CANCELLED, now_ms)
        state.batch.note_change(job)


@OPERATIONS.register(AddTombstone)
def add_tombstone(state, operation, now_ms):
    """Adds a tombstone."""
    state.batch.tombstones.add(operation.tenant, operation.job_id, now_ms)


@OPERATIONS.register(OpenOccurrence)
def open_occurrence(state, operation, now_ms):
    """Opens the next occurrence of a job."""
    job = state.batch.jobs.get(operation.job_id)
    if job is not None and job.opened == operation.occurrence:
        job.open_next()
        state.batch.note_change(job)


@OPERATIONS.register(StartRuns)
def start_runs(state, operation, now_ms):
    """Records runs before their worker is ordered to start them."""
    for task_id, run in zip(operation.tasks, operation.runs, strict=True):
        job_id, *position = split_task_id(task_id)
        job = state.batch.jobs.get(job_id)
        if job is not None:
            job.start_run(position, run, operation.worker)
            state.batch.note_change(job)


@OPERATIONS.register(EndRuns)
def end_runs(state, operation, now_ms):
    """Records the outcomes and checkpoints of ended runs."""
    rows = zip(
        operation.tasks,
        operation.runs,
        operation.outcomes,
        operation.checkpoints,
        strict=True,
    )
    for task_id, run, outcome, checkpoint in rows:
        job_id, *position = split_task_id(task_id)
        job = state.batch.jobs.get(job_id)
        if job is not None:
            job.end_run(position, run, outcome, checkpoint, now_ms)
            state.batch.note_change(job)

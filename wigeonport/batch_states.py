"""Replicated state of the batch jobs."""

from wigeonport.batch_commands import (
    OPERATIONS,
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
from wigeonport.logs import PartLogger
from wigeonport.state_commands import HANDLERS, RecordBatch

logger = PartLogger("jobs")
codec = codecs.get("thrift").ok()

# A finished job can be asked for at least this long; the platform's
# settings ask for 120 s.
RETENTION_MS = 300_000
# Ids of jobs that were dropped; a submission that is resent later than
# this many jobs after its end is not recognised. About 120 bytes each.
REMEMBERED_IDS = 100_000


class BatchState:
    """All jobs that are active or can still be asked for.

    Attributes:
        jobs: BatchJob by id, in order of acceptance.
        remembered: Ids of dropped jobs, oldest first.
        next_prune_ms: When finished jobs are looked through again.
    """

    __slots__ = ("jobs", "remembered", "next_prune_ms")

    def __init__(self):
        self.jobs = {}
        self.remembered = {}
        self.next_prune_ms = 0

    def knows(self, job_id):
        """Returns whether a job with this id was ever accepted."""
        return job_id in self.jobs or job_id in self.remembered

    def prune(self, now_ms):
        """Drops jobs whose retention has passed."""
        if now_ms < self.next_prune_ms:
            return
        self.next_prune_ms = now_ms + RETENTION_MS // 10
        old = [
            job.job_id
            for job in self.jobs.values()
            if job.finished_ms
            and now_ms - job.finished_ms > RETENTION_MS
            and not any(job.live_runs())
        ]
        for job_id in old:
            del self.jobs[job_id]
            self.remembered[job_id] = True
        while len(self.remembered) > REMEMBERED_IDS:
            del self.remembered[next(iter(self.remembered))]

    def to_document(self):
        """Returns plain data."""
        return {
            "jobs": [job.to_document() for job in self.jobs.values()],
            "remembered": list(self.remembered),
            "next_prune_ms": self.next_prune_ms,
        }


def batch_state_from_document(document):
    """Reads what ``BatchState.to_document`` returned."""
    state = BatchState()
    for row in document["jobs"]:
        job = job_from_document(row)
        state.jobs[job.job_id] = job
    state.remembered = dict.fromkeys(document["remembered"], True)
    state.next_prune_ms = document["next_prune_ms"]
    return state


def encode_operations(operations):
    """Returns the encoded form of operations."""
    return [codec.encode(operation) for operation in operations]


def apply_operation(state, operation, now_ms):
    """Applies one decoded operation to a ReplicatedState."""
    OPERATIONS.entries[type(operation)](state, operation, now_ms)


@HANDLERS.register(RecordBatch)
def record_batch(state, command, now_ms):
    """Applies the operations of a moment."""
    for data in command.operations:
        decoded = codec.decode(data)
        if decoded.is_error():
            # Every replica skips it alike; the leader encodes only what
            # it has built itself.
            logger.error("Operation is unreadable.", reason=decoded.error)
            continue
        apply_operation(state, decoded.ok, command.time_ms)
    state.batch.prune(command.time_ms)
    return BatchRecorded(len(command.operations))


@OPERATIONS.register(SubmitJob)
def submit_job(state, operation, now_ms):
    """Adds a job unless its id is known."""
    if state.batch.knows(operation.job_id):
        return
    queue = state.routes.queues.get(operation.queue)
    attempts = queue.attempts if queue else 1
    spec = job_spec_from_json(operation.spec_json)
    state.batch.jobs[operation.job_id] = BatchJob(
        operation.job_id, operation.queue, spec, attempts, now_ms
    )


@OPERATIONS.register(CancelJob)
def cancel_job(state, operation, now_ms):
    """Cancels an active job."""
    job = state.batch.jobs.get(operation.job_id)
    if job is not None and job.active:
        job.end(CANCELLED, now_ms)


@OPERATIONS.register(OpenOccurrence)
def open_occurrence(state, operation, now_ms):
    """Opens the next occurrence of a job."""
    job = state.batch.jobs.get(operation.job_id)
    if job is not None and job.opened == operation.occurrence:
        job.open_next()


@OPERATIONS.register(StartRuns)
def start_runs(state, operation, now_ms):
    """Notes runs that a worker is about to be told of."""
    for name, run in zip(operation.tasks, operation.runs, strict=True):
        job_id, *position = split_task_id(name)
        job = state.batch.jobs.get(job_id)
        if job is not None:
            job.start_run(position, run, operation.worker)


@OPERATIONS.register(EndRuns)
def end_runs(state, operation, now_ms):
    """Notes ends of runs."""
    rows = zip(
        operation.tasks,
        operation.runs,
        operation.outcomes,
        operation.checkpoints,
        strict=True,
    )
    for name, run, outcome, checkpoint in rows:
        job_id, *position = split_task_id(name)
        job = state.batch.jobs.get(job_id)
        if job is not None:
            job.end_run(position, run, outcome, checkpoint, now_ms)

"""Accepted batch jobs and the progress of their tasks."""

from wigeonport.batch_specs import JobSpec, job_spec_from_document, task_id
from wigeonport.job_sizes import (
    FINISHED_JOB_BYTES,
    JOB_BYTES,
    TASK_BYTES,
    size_of_occurrence,
    size_of_spec,
)
from wigeonport.step_runs import StepRun, step_run_from_rows

QUEUED = "queued"
RUNNING = "running"
COMPLETED = "completed"
FAILED = "failed"
CANCELLED = "cancelled"
ACTIVE = (QUEUED, RUNNING)

DONE = "done"
ENDED_FAILED = "failed"
ENDED_REFUSED = "refused"
LOST = "lost"

# Takes the place of the specification of a finished job.
NO_SPEC = JobSpec("", ())


class BatchJob:
    """An accepted job.

    Attributes:
        job_id: Id that the caller chose.
        queue: Name of its queue.
        spec: JobSpec, or ``NO_SPEC`` once the job is released.
        attempts: Number of failed runs of a task after which the job fails.
        submitted_ms: Wall time at which the job was accepted.
        tenant: Name of the tenant that owns the job, or "".
        state: QUEUED, RUNNING, COMPLETED, FAILED or CANCELLED.
        finished_ms: Wall time at which the job finished, or 0.
        occurrences: Maps the number of each open occurrence to its list of
            StepRun.
        opened: Number of occurrences opened so far.
        remaining: Number of occurrences that are not done.
        spec_bytes: Size of the specification.
        kept_tasks: Number of tasks in open occurrences that have run.
        counted_bytes: Size at which the BatchState has counted the job.
    """

    __slots__ = (
        "job_id",
        "queue",
        "spec",
        "attempts",
        "submitted_ms",
        "tenant",
        "state",
        "finished_ms",
        "occurrences",
        "opened",
        "remaining",
        "spec_bytes",
        "kept_tasks",
        "counted_bytes",
    )

    def __init__(self, job_id, queue, spec, attempts, submitted_ms, tenant=""):
        self.job_id = job_id
        self.queue = queue
        self.spec = spec
        self.attempts = attempts
        self.submitted_ms = submitted_ms
        self.tenant = tenant
        self.state = QUEUED
        self.finished_ms = 0
        self.occurrences = {}
        self.opened = 0
        self.remaining = spec.occurrences()
        self.spec_bytes = size_of_spec(spec)
        self.kept_tasks = 0
        self.counted_bytes = 0
        if not spec.repeat_count:
            self.open_next()

    @property
    def active(self):
        """Whether tasks of the job may still be started."""
        return self.state in ACTIVE

    def size_bytes(self):
        """Returns the memory that the job takes.

        It includes one occurrence in advance, so that a periodic job can
        always open its next one.
        """
        if self.spec is NO_SPEC:
            return FINISHED_JOB_BYTES
        occurrences = max(1, len(self.occurrences))
        return (
            JOB_BYTES
            + self.spec_bytes
            + occurrences * size_of_occurrence(self.spec)
            + self.kept_tasks * TASK_BYTES
        )

    def open_next(self):
        """Opens the next occurrence, so that its tasks may start."""
        self.occurrences[self.opened] = [
            StepRun(step) for step in self.spec.steps
        ]
        self.opened += 1

    def find(self, occurrence, step, index):
        """Returns the StepRun and Task of a task, or None if unknown.

        The Task is to be read only.
        """
        step_runs = self.occurrences.get(occurrence)
        if step_runs is None or not 0 <= step < len(step_runs):
            return None
        task = step_runs[step].find(index)
        return None if task is None else (step_runs[step], task)

    def ready_steps(self):
        """Yields occurrence, step number and StepRun of each ready step.

        A step is ready when it has unfinished tasks and all steps that it
        depends on are done.
        """
        for occurrence, step_runs in self.occurrences.items():
            for number, step_run in enumerate(step_runs):
                if not step_run.remaining:
                    continue
                depends_on = step_run.step.depends_on
                if all(not step_runs[each].remaining for each in depends_on):
                    yield occurrence, number, step_run

    def live_runs(self):
        """Yields task id, run number, worker and Step of each live run."""
        for occurrence, step_runs in self.occurrences.items():
            for number, step_run in enumerate(step_runs):
                for index, run, worker in step_run.live_runs():
                    name = task_id(self.job_id, occurrence, number, index)
                    yield name, run, worker, step_run.step

    def end(self, state, now_ms):
        """Finishes the job; live runs stay recorded until they end."""
        self.state = state
        self.finished_ms = now_ms

    def release(self):
        """Drops specification and tasks once the job and its runs have ended.

        What remains is the state that callers may read.

        Returns:
            Whether they are dropped.
        """
        if self.active or any(self.live_runs()):
            return False
        self.spec = NO_SPEC
        self.occurrences = {}
        self.kept_tasks = 0
        return True

    def start_run(self, position, run, worker):
        """Records a new run of a task; returns False for an unknown task.

        Args:
            position: Occurrence, step and index of the task.
            run: Number of the run.
            worker: Incarnation of the worker.
        """
        occurrence, step, index = position
        if self.find(*position) is None:
            return False
        step_run = self.occurrences[occurrence][step]
        self.kept_tasks -= len(step_run.tasks)
        step_run.start(index, run, worker)
        self.kept_tasks += len(step_run.tasks)
        if self.state == QUEUED:
            self.state = RUNNING
        return True

    def end_run(self, position, run, outcome, checkpoint, now_ms):
        """Records the end of a run; returns whether it changed anything."""
        entry = self.find(*position)
        if entry is None:
            return False
        step_run, task = entry
        self.kept_tasks -= len(step_run.tasks)
        was_live = task.end_run(run)
        if checkpoint:
            step_run.store_checkpoint(position[2], checkpoint)
        if outcome == DONE:
            self.finish_task(position, now_ms)
        elif was_live and outcome == ENDED_FAILED:
            task.failures += 1
            attempts_exhausted = (
                task.failures >= self.attempts and not task.done
            )
            if (
                attempts_exhausted
                and not step_run.step.lasting
                and self.active
            ):
                self.end(FAILED, now_ms)
        step_run.requeue(position[2])
        self.kept_tasks += len(step_run.tasks)
        self.drop_finished_occurrence(position[0])
        return was_live or outcome == DONE

    def finish_task(self, position, now_ms):
        """Marks a task as done; the last one completes the job."""
        occurrence, step, index = position
        step_runs = self.occurrences[occurrence]
        had_remaining = any(each.remaining for each in step_runs)
        step_runs[step].finish(index)
        if had_remaining and not any(each.remaining for each in step_runs):
            self.remaining -= 1
        if self.remaining <= 0 and self.active:
            self.end(COMPLETED, now_ms)

    def drop_finished_occurrence(self, occurrence):
        """Removes an occurrence that is done and has no live run."""
        step_runs = self.occurrences[occurrence]
        if not self.spec.repeat_count or any(s.remaining for s in step_runs):
            return
        if not any(any(step_run.live_runs()) for step_run in step_runs):
            del self.occurrences[occurrence]
            self.kept_tasks -= sum(len(each.tasks) for each in step_runs)

    def copy(self):
        """Returns a copy that shares only the specification."""
        copied = object.__new__(BatchJob)
        for name in self.__slots__:
            setattr(copied, name, getattr(self, name))
        copied.occurrences = {
            number: [step_run.copy() for step_run in step_runs]
            for number, step_runs in self.occurrences.items()
        }
        return copied

    def to_document(self):
        """Returns the job as JSON-compatible data."""
        return {
            "job_id": self.job_id,
            "queue": self.queue,
            "spec": self.spec.to_document(),
            "attempts": self.attempts,
            "submitted_ms": self.submitted_ms,
            "tenant": self.tenant,
            "state": self.state,
            "finished_ms": self.finished_ms,
            "opened": self.opened,
            "left": self.remaining,
            "occurrences": [
                [number, [step_run.to_rows() for step_run in step_runs]]
                for number, step_runs in self.occurrences.items()
            ],
        }


def job_from_document(document):
    """Returns the BatchJob of the data that ``to_document`` returned."""
    spec = job_spec_from_document(document["spec"])
    job = BatchJob(
        document["job_id"],
        document["queue"],
        spec,
        document["attempts"],
        document["submitted_ms"],
        document.get("tenant", ""),
    )
    job.state = document["state"]
    job.finished_ms = document["finished_ms"]
    job.opened = document["opened"]
    job.remaining = document["left"]
    job.occurrences = {
        number: [
            step_run_from_rows(step, rows)
            for step, rows in zip(spec.steps, step_rows, strict=True)
        ]
        for number, step_rows in document["occurrences"]
    }
    job.kept_tasks = sum(
        len(step_run.tasks)
        for step_runs in job.occurrences.values()
        for step_run in step_runs
    )
    return job

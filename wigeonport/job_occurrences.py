"""Occurrences of repeated jobs, which the leader opens when they are due."""

from wigeonport.batch_commands import OpenOccurrence
from wigeonport.job_sizes import size_of_occurrence
from wigeonport.memory_admissions import (
    count_occurrence_bytes,
    has_room_for_occurrence,
)

# Maximum number of tasks in the open occurrences of a job, unless it has only
# one. Due occurrences beyond it are opened as earlier ones end.
MAX_OPEN_TASKS = 10_000


def open_occurrences(dispatcher, wall_ms):
    """Opens the due occurrences of repeated jobs."""
    periodic = [
        job for job in dispatcher.active.values() if job.spec.repeat_count
    ]
    open_bytes = count_occurrence_bytes(periodic)
    for job in periodic:
        spec = job.spec
        while (
            job.active
            and job.opened < spec.repeat_count
            and spec.due_ms(job.opened) <= wall_ms
            and may_open(job)
            and has_room_for_occurrence(dispatcher, job, open_bytes)
        ):
            if job.occurrences:
                open_bytes += size_of_occurrence(spec)
            dispatcher.record(OpenOccurrence(job.job_id, job.opened))


def may_open(job):
    """Returns whether one more occurrence of a job may be opened."""
    if not job.occurrences:
        return True
    tasks = sum(step.count for step in job.spec.steps)
    return (len(job.occurrences) + 1) * tasks <= MAX_OPEN_TASKS

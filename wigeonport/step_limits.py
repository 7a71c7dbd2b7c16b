"""Limits on the tasks of a step on a worker, for all paths that place them."""

import math


def count_tasks(worker, prefix):
    """Returns how many tasks of a step a worker runs.

    Args:
        worker: Worker.
        prefix: Common prefix of the ids of the step's tasks.
    """
    return sum(task.startswith(prefix) for task, _ in worker.runs)


def count_remaining(worker, prefix, step):
    """Returns how many more tasks of a step a worker may run.

    Only the caller's own limit counts; without one, the result is infinite.
    """
    if not step.max_per_worker:
        return math.inf
    return max(0, step.max_per_worker - count_tasks(worker, prefix))

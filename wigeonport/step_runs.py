"""Progress of the tasks of a step.

Only a task that has run, or has a checkpoint, has an object of its own: a
step may have 10,000 tasks, and most jobs wait before any of them starts.
"""

import heapq
import types

# Shared by all tasks without a live run, and by all steps of which no task has
# an object yet: an empty dict or set that has held an item takes 200 bytes.
NO_RUNS = types.MappingProxyType({})
NO_TASKS = types.MappingProxyType({})
NO_INDICES = frozenset()
# Steps of up to this many tasks are stored task by task in snapshots, which
# the former release reads too.
MAX_LISTED_TASKS = 100


class Task:
    """Progress of one task.

    Attributes:
        runs: Maps the number of each run that may still be live to the
            incarnation of its worker; to be changed by the methods only.
        last_run: Highest run number assigned so far.
        failures: Number of runs that failed.
        done: 1 after a run has completed, otherwise 0.
        checkpoint: Newest checkpoint, or "".
    """

    __slots__ = ("runs", "last_run", "failures", "done", "checkpoint")

    def __init__(
        self, runs=None, last_run=0, failures=0, done=0, checkpoint=""
    ):
        self.runs = runs or NO_RUNS
        self.last_run = last_run
        self.failures = failures
        self.done = done
        self.checkpoint = checkpoint

    def add_run(self, run, worker):
        """Records a new run."""
        self.runs = {**self.runs, run: worker}
        self.last_run = max(self.last_run, run)

    def end_run(self, run):
        """Removes a run; returns whether it was live."""
        if run not in self.runs:
            return False
        runs = {each: w for each, w in self.runs.items() if each != run}
        self.runs = runs or NO_RUNS
        return True

    def copy(self):
        """Returns a copy that shares nothing mutable."""
        return Task(
            dict(self.runs),
            self.last_run,
            self.failures,
            self.done,
            self.checkpoint,
        )

    def to_row(self):
        """Returns the progress as a JSON-compatible list."""
        runs = [[run, worker] for run, worker in self.runs.items()]
        return [runs, self.last_run, self.failures, self.done, self.checkpoint]

    @classmethod
    def from_row(cls, row):
        """Returns the Task of the data that ``to_row`` returned."""
        return cls(dict(map(tuple, row[0])), *row[1:])


UNTOUCHED_ROW = Task().to_row()


class StepRun:
    """Progress of a step in one occurrence of the job.

    Attributes:
        step: Step.
        tasks: Maps the index of each task that has run, or has a checkpoint,
            to its Task. The others wait for their first run.
        requeued: Set of the indices in ``tasks`` that are neither done nor
            running.
        first_untouched: Lowest index that may not be in ``tasks``.
        remaining: Number of tasks that are not done.
    """

    __slots__ = ("step", "tasks", "requeued", "first_untouched", "remaining")

    def __init__(self, step, tasks=NO_TASKS):
        self.step = step
        self.tasks = tasks
        self.requeued = {
            index
            for index, task in tasks.items()
            if not task.done and not task.runs
        } or NO_INDICES
        self.first_untouched = 0
        self.remaining = step.count - sum(task.done for task in tasks.values())

    @property
    def waiting(self):
        """Number of tasks that are neither done nor running."""
        return self.step.count - len(self.tasks) + len(self.requeued)

    def waiting_indices(self):
        """Yields the indices of the waiting tasks in ascending order."""
        untouched = (
            index
            for index in range(self.first_untouched, self.step.count)
            if index not in self.tasks
        )
        return heapq.merge(sorted(self.requeued), untouched)

    def copy(self):
        """Returns a copy that shares only the Step."""
        copied = object.__new__(StepRun)
        copied.step = self.step
        copied.tasks = {
            index: task.copy() for index, task in self.tasks.items()
        } or NO_TASKS
        copied.requeued = set(self.requeued) or NO_INDICES
        copied.first_untouched = self.first_untouched
        copied.remaining = self.remaining
        return copied

    def find(self, index):
        """Returns the Task at an index, to be read only, or None."""
        if not 0 <= index < self.step.count:
            return None
        return self.tasks.get(index) or Task()

    def touch(self, index):
        """Returns the Task at an index, which is kept from now on.

        It no longer counts as waiting, unless it is requeued.
        """
        task = self.tasks.get(index)
        if task is None:
            task = Task()
            if not self.tasks:
                self.tasks = {}
            self.tasks[index] = task
            while self.first_untouched in self.tasks:
                self.first_untouched += 1
        return task

    def start(self, index, run, worker):
        """Records a new run of a task."""
        task = self.touch(index)
        task.add_run(run, worker)
        self.drop_waiting(index)

    def requeue(self, index):
        """Makes a task eligible again if it is neither done nor running."""
        task = self.tasks.get(index)
        if task is not None and not task.done and not task.runs:
            self.requeued = self.requeued or set()
            self.requeued.add(index)

    def drop_waiting(self, index):
        """Removes a task from the waiting ones."""
        if index in self.requeued:
            self.requeued.remove(index)
            self.requeued = self.requeued or NO_INDICES

    def finish(self, index):
        """Marks a task as done; for a gang, all of its tasks.

        Their checkpoints are dropped, because no further run needs them.
        """
        indices = range(self.step.count) if self.step.gang else (index,)
        for each in indices:
            task = self.touch(each)
            if not task.done:
                task.done = 1
                task.checkpoint = ""
                self.remaining -= 1
            self.drop_waiting(each)

    def store_checkpoint(self, index, checkpoint):
        """Stores a checkpoint; in a gang it applies to every task.

        A task that is done keeps none.
        """
        indices = range(self.step.count) if self.step.gang else (index,)
        for each in indices:
            task = self.touch(each)
            if not task.done:
                task.checkpoint = checkpoint
            self.requeue(each)

    def live_runs(self):
        """Yields index, run number and worker of each live run."""
        for index, task in self.tasks.items():
            for run, worker in task.runs.items():
                yield index, run, worker

    def to_rows(self):
        """Returns the progress as JSON-compatible data.

        This is an empty list if no task has run, a list of all tasks of a
        small step, and otherwise a dict with a row for each task that has.
        """
        if not self.tasks:
            return []
        if self.step.count > MAX_LISTED_TASKS:
            return {
                str(index): task.to_row() for index, task in self.tasks.items()
            }
        rows = [UNTOUCHED_ROW] * self.step.count
        for index, task in self.tasks.items():
            rows[index] = task.to_row()
        return rows


def step_run_from_rows(step, rows):
    """Returns the StepRun of a Step and the data of ``StepRun.to_rows``."""
    items = rows.items() if isinstance(rows, dict) else enumerate(rows)
    tasks = {
        int(index): Task.from_row(row)
        for index, row in items
        if row != UNTOUCHED_ROW
    }
    return StepRun(step, tasks or NO_TASKS)

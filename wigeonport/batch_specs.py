"""Specification of a batch job: its steps and their requirements."""

import json

from wigeonport.records import Record

STEP_DEFAULTS = {
    "count": 1,
    "cpu_milli": 0,
    "memory_mb": 0,
    "gpu": 0,
    "estimated_ms": 0,
    "depends_on": (),
    "checkpoints": False,
    "gang": False,
    "same_rack": False,
    "required_label": "",
    "data_rack": "",
    "max_per_worker": 0,
    "duplicates": False,
    "lasting": False,
    "image": "",
    "target_ms": 0,
    "fills": False,
    "max_unavailable": 0,
}


class Step(Record):
    """A group of tasks of a job with the same requirements.

    Attributes:
        count: Number of tasks.
        cpu_milli: CPU that a task needs, in thousandths of a core.
        memory_mb: Memory that a task needs, in MB.
        gpu: Number of accelerators that a task needs.
        estimated_ms: Rough estimate of the run time of a task.
        depends_on: Numbers of the steps that must be done first.
        checkpoints: Whether a task writes checkpoints of its progress.
        gang: Whether all tasks must run at the same time (gang scheduling).
        same_rack: Whether the tasks run slower when spread over racks.
        required_label: Label that the worker must have, or "".
        data_rack: Rack that stores the input data, or "".
        max_per_worker: Maximum number of tasks of the step on one worker,
            0 for no limit.
        duplicates: Whether several runs of a task may execute in parallel.
        lasting: Whether the tasks run until the job is cancelled.
        image: Name of the program image that the tasks run.
        target_ms: Maximum tail latency of a serving task, or 0.
        fills: Whether the tasks are filler tasks, which use only CPU that
            other tasks leave idle.
        max_unavailable: Maximum number of tasks of a lasting step that
            planned actions may take down at the same time; 0 for no limit.
    """

    __slots__ = tuple(STEP_DEFAULTS)

    def __init__(self, values):
        for name, default in STEP_DEFAULTS.items():
            setattr(self, name, values.get(name, default))
        self.depends_on = tuple(self.depends_on)

    def to_document(self):
        """Returns a dict of the values that differ from the defaults."""
        return {
            name: getattr(self, name)
            for name, default in STEP_DEFAULTS.items()
            if getattr(self, name) != default
        }


class JobSpec(Record):
    """What a caller submits as a batch job.

    Attributes:
        payload: Text that each task gets as its input.
        steps: Tuple of Step.
        repeat_count: Number of occurrences of a periodic job, 0 for a job
            that runs once.
        first_ms: Wall time at which the first occurrence is due.
        interval_ms: Time between two occurrences.
        longest_ms: Cached result of ``longest_chain_ms``, or None.
    """

    __slots__ = (
        "payload",
        "steps",
        "repeat_count",
        "first_ms",
        "interval_ms",
        "longest_ms",
    )

    def __init__(
        self, payload, steps, repeat_count=0, first_ms=0, interval_ms=0
    ):
        self.payload = payload
        self.steps = tuple(steps)
        self.repeat_count = repeat_count
        self.first_ms = first_ms
        self.interval_ms = interval_ms
        self.longest_ms = None

    def to_document(self):
        """Returns the specification as JSON-compatible data."""
        document = {
            "payload": self.payload,
            "steps": [step.to_document() for step in self.steps],
        }
        if self.repeat_count:
            document |= {
                "repeat_count": self.repeat_count,
                "first_ms": self.first_ms,
                "interval_ms": self.interval_ms,
            }
        return document

    def to_json(self):
        """Returns the specification as JSON text."""
        return json.dumps(self.to_document(), separators=(",", ":"))

    def occurrences(self):
        """Returns the number of occurrences, at least 1."""
        return max(1, self.repeat_count)

    def due_ms(self, occurrence):
        """Returns the wall time at which an occurrence is due.

        The result is 0 for a job that is not periodic.
        """
        if not self.repeat_count:
            return 0
        return self.first_ms + occurrence * self.interval_ms

    def longest_chain_ms(self):
        """Returns the estimated run time of the longest dependency chain."""
        if self.longest_ms is None:
            self.longest_ms = self.compute_longest_chain(
                [step.estimated_ms for step in self.steps]
            )
        return self.longest_ms

    def compute_longest_chain(self, run_times_ms):
        """Returns the run time of the longest dependency chain.

        Args:
            run_times_ms: Run time of a task of each step, in ms.
        """
        finish_times_ms = []
        for step, run_ms in zip(self.steps, run_times_ms, strict=True):
            dependencies_ms = [
                finish_times_ms[number] for number in step.depends_on
            ]
            finish_times_ms.append(max(dependencies_ms, default=0) + run_ms)
        return max(finish_times_ms, default=0)


def job_spec_from_document(document):
    """Returns the JobSpec of the data that ``to_document`` returned."""
    steps = [Step(values) for values in document["steps"]]
    return JobSpec(
        document["payload"],
        steps,
        document.get("repeat_count", 0),
        document.get("first_ms", 0),
        document.get("interval_ms", 0),
    )


def job_spec_from_json(text):
    """Returns the JobSpec of the text that ``to_json`` returned."""
    return job_spec_from_document(json.loads(text))


def task_id(job_id, occurrence, step, index):
    """Returns the id of a task: ``job.occurrence.step.index``."""
    return f"{job_id}.{occurrence}.{step}.{index}"


def split_task_id(name):
    """Returns the job id, occurrence, step and index in a task id.

    Raises:
        ValueError: If the text is not a task id.
    """
    job_id, occurrence, step, index = name.rsplit(".", 3)
    return job_id, int(occurrence), int(step), int(index)

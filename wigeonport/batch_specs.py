"""What a caller asks a batch job to do: its steps and their needs."""

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
    """Tasks of a job that need the same.

    Attributes:
        count: Number of tasks.
        cpu_milli: Thousandths of a core that a task needs.
        memory_mb: Memory that a task needs.
        gpu: Accelerators that a task needs.
        estimated_ms: Rough estimate of a task's run time.
        depends_on: Numbers of the steps that must be done before.
        checkpoints: Whether a task saves its progress.
        gang: Whether the tasks work only together.
        same_rack: Whether the tasks are slower on more than one rack.
        required_label: Label that the worker must have, or "".
        data_rack: Rack of the data, or "".
        max_per_worker: Most tasks of the step on one worker, 0 for any.
        duplicates: Whether copies of a task may run in parallel.
        lasting: Whether the tasks run until the job is cancelled.
        image: Name of what the tasks run.
        target_ms: Bound on the tail latency of a serving task, or 0.
        fills: Whether the tasks use only what others leave unused.
        max_unavailable: Most tasks of a lasting step that may be away
            because of planned actions; 0 for no bound.
    """

    __slots__ = tuple(STEP_DEFAULTS)

    def __init__(self, values):
        for name, default in STEP_DEFAULTS.items():
            setattr(self, name, values.get(name, default))
        self.depends_on = tuple(self.depends_on)

    def to_document(self):
        """Returns the values that differ from the defaults."""
        return {
            name: getattr(self, name)
            for name, default in STEP_DEFAULTS.items()
            if getattr(self, name) != default
        }


class JobSpec(Record):
    """Content of a submission.

    Attributes:
        payload: Text that each task is started with.
        steps: Tuple of Step.
        repeat_count: Number of occurrences, or 0 for a job without times.
        first_ms: Wall time at which the first occurrence is due.
        interval_ms: Time between two occurrences.
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
        """Returns plain data."""
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
        """Returns the document as JSON text."""
        return json.dumps(self.to_document(), separators=(",", ":"))

    def occurrences(self):
        """Returns how often the steps run."""
        return max(1, self.repeat_count)

    def due_ms(self, occurrence):
        """Returns the wall time at which an occurrence is due, or 0."""
        if not self.repeat_count:
            return 0
        return self.first_ms + occurrence * self.interval_ms

    def longest_chain_ms(self):
        """Returns the estimated run time of the longest chain of steps."""
        if self.longest_ms is None:
            self.longest_ms = self.compute_longest_chain()
        return self.longest_ms

    def compute_longest_chain(self):
        """Computes what ``longest_chain_ms`` returns."""
        finish = []
        for step in self.steps:
            before = [finish[number] for number in step.depends_on]
            finish.append(max(before, default=0) + step.estimated_ms)
        return max(finish, default=0)


def job_spec_from_document(document):
    """Reads what ``to_document`` returned."""
    steps = [Step(values) for values in document["steps"]]
    return JobSpec(
        document["payload"],
        steps,
        document.get("repeat_count", 0),
        document.get("first_ms", 0),
        document.get("interval_ms", 0),
    )


def job_spec_from_json(text):
    """Reads what ``to_json`` returned."""
    return job_spec_from_document(json.loads(text))


def task_id(job_id, occurrence, step, index):
    """Returns the name of a task."""
    return f"{job_id}.{occurrence}.{step}.{index}"


def split_task_id(name):
    """Returns job id, occurrence, step and index of a task's name.

    Raises:
        ValueError: If it is no name of a task.
    """
    job_id, occurrence, step, index = name.rsplit(".", 3)
    return job_id, int(occurrence), int(step), int(index)

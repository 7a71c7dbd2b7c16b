"""Conversion of the platform's JSON reports to planner events."""

from expression import Error, Ok, Result

from wigeonport.json_bodies import MAX_COUNT, is_count, is_text
from wigeonport.plan_events import (
    TASK_STATES,
    JobsCancelled,
    JobSubmitted,
    TaskReported,
    UsageReported,
    VmReported,
    ZoneReported,
)
from wigeonport.registries import Registry
from wigeonport.views import VM_STATES, Size

report_readers = Registry("platform report")

MAX_TEXT_BYTES = 1_000


@report_readers.register("vm")
def read_vm(document, offset_ms):
    """Reads the state of a VM."""
    return VmReported(
        read_text(document, "vm"),
        read_choice(document, "state", VM_STATES),
        read_count(document, "sequence"),
    )


@report_readers.register("zone")
def read_zone(document, offset_ms):
    """Reads the report of a zone with the VMs that did not answer."""
    return ZoneReported(
        read_text(document, "zone"),
        read_count(document, "measured_ms") + offset_ms,
        read_texts(document, "missing"),
    )


@report_readers.register("task")
def read_task(document, offset_ms):
    """Reads the state of a task."""
    return TaskReported(
        read_text(document, "job"),
        read_text(document, "vm"),
        read_count(document, "attempt"),
        read_choice(document, "state", TASK_STATES),
    )


@report_readers.register("usage")
def read_usage(document, offset_ms):
    """Reads the resources that a task used."""
    measured_ms = read_count(document, "measured_ms") + offset_ms
    return UsageReported(
        read_text(document, "job"), read_size(document), measured_ms
    )


@report_readers.register("job")
def read_job(document, offset_ms):
    """Reads a job that a team submitted."""
    return JobSubmitted(
        read_text(document, "job"),
        read_text(document, "team"),
        read_text(document, "pool"),
        read_text(document, "job_kind"),
        read_size(document["declared"]),
        read_count(document, "declared_run_ms"),
        read_flag(document, "urgent", False),
        read_flag(document, "can_checkpoint", True),
        read_flag(document, "may_run", False),
    )


@report_readers.register("cancel")
def read_cancellation(document, offset_ms):
    """Reads the cancelled jobs, or the team whose jobs are all cancelled."""
    fields = {"jobs": [], "team": ""} | document
    return JobsCancelled(read_texts(fields, "jobs"), read_text(fields, "team"))


def read_size(document):
    """Reads the resources of a task."""
    if not isinstance(document, dict):
        raise ValueError("the resources are not an object")
    return Size(
        read_amount(document, "cores"),
        read_amount(document, "memory_mb"),
        read_count({"accelerators": 0} | document, "accelerators"),
    )


def read_text(document, name):
    """Returns the text of a field."""
    value = document[name]
    if not is_text(value, MAX_TEXT_BYTES):
        raise ValueError(f"{name} is not a text of {MAX_TEXT_BYTES} bytes")
    return value


def read_texts(document, name):
    """Returns the texts of a field as a tuple."""
    values = document[name]
    if not isinstance(values, list) or not all(
        is_text(value, MAX_TEXT_BYTES) for value in values
    ):
        raise ValueError(f"{name} is not a list of texts")
    return tuple(values)


def read_choice(document, name, choices):
    """Returns the value of a field that has one of several values."""
    value = read_text(document, name)
    if value not in choices:
        raise ValueError(f"{name} is not one of {', '.join(choices)}")
    return value


def read_count(document, name):
    """Returns a whole number from 0 to 2**53 - 1."""
    value = document[name]
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    if not is_count(value):
        raise ValueError(f"{name} is not a whole number up to {MAX_COUNT}")
    return value


def read_amount(document, name):
    """Returns a number from 0 to 2**53 - 1."""
    value = document[name]
    if type(value) not in (int, float) or not 0 <= value <= MAX_COUNT:
        raise ValueError(f"{name} is not a number up to {MAX_COUNT}")
    return float(value)


def read_flag(document, name, default):
    """Returns a truth value, or the default of an absent field."""
    value = document.get(name, default)
    if not isinstance(value, bool):
        raise ValueError(f"{name} is not a truth value")
    return value


def read_report(document, offset_ms) -> Result:
    """Returns the planner event of a report, or the text of an error.

    Args:
        document: A JSON object with ``kind`` and the fields of the kind.
        offset_ms: The planner's clock minus the wall clock, in ms.
    """
    if not isinstance(document, dict):
        return Error("report is not a JSON object")
    kind = document.get("kind")
    if not is_text(kind, MAX_TEXT_BYTES):
        return Error("report without a kind")
    reader = report_readers.get(kind)
    if reader.is_error():
        return reader
    try:
        return Ok(reader.ok(document, offset_ms))
    except (KeyError, ValueError) as error:
        return Error(f"{kind} report: {error!r}")

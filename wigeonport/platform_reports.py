"""Conversion of the platform's JSON reports to planner events."""

from expression import Error, Ok, Result

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


@report_readers.register("vm")
def read_vm(document, offset_ms):
    """Reads the state of a VM."""
    if document["state"] not in VM_STATES:
        raise ValueError(f"unknown state {document['state']!r}")
    return VmReported(
        str(document["vm"]), document["state"], int(document["sequence"])
    )


@report_readers.register("zone")
def read_zone(document, offset_ms):
    """Reads the report of a zone with the VMs that did not answer."""
    return ZoneReported(
        str(document["zone"]),
        int(document["measured_ms"]) + offset_ms,
        tuple(str(name) for name in document["missing"]),
    )


@report_readers.register("task")
def read_task(document, offset_ms):
    """Reads the state of a task."""
    if document["state"] not in TASK_STATES:
        raise ValueError(f"unknown state {document['state']!r}")
    return TaskReported(
        str(document["job"]),
        str(document["vm"]),
        int(document["attempt"]),
        document["state"],
    )


@report_readers.register("usage")
def read_usage(document, offset_ms):
    """Reads the resources that a task used."""
    measured_ms = int(document["measured_ms"]) + offset_ms
    return UsageReported(
        str(document["job"]), read_size(document), measured_ms
    )


@report_readers.register("job")
def read_job(document, offset_ms):
    """Reads a job that a team submitted."""
    return JobSubmitted(
        str(document["job"]),
        str(document["team"]),
        str(document["pool"]),
        str(document["job_kind"]),
        read_size(document["declared"]),
        int(document["declared_run_ms"]),
        bool(document.get("urgent", False)),
        bool(document.get("can_checkpoint", True)),
        bool(document.get("may_run", False)),
    )


def read_size(document):
    """Reads the resources of a task."""
    return Size(
        float(document["cores"]),
        float(document["memory_mb"]),
        int(document.get("accelerators", 0)),
    )


@report_readers.register("cancel")
def read_cancellation(document, offset_ms):
    """Reads the cancelled jobs, or the team whose jobs are all cancelled."""
    jobs = tuple(str(name) for name in document.get("jobs", ()))
    return JobsCancelled(jobs, str(document.get("team", "")))


def read_report(document, offset_ms) -> Result:
    """Returns the planner event of a report, or the text of an error.

    Args:
        document: A JSON object with ``kind`` and the fields of the kind.
        offset_ms: The planner's clock minus the wall clock, in ms.
    """
    if not isinstance(document, dict):
        return Error("report is not a JSON object")
    reader = report_readers.get(document.get("kind"))
    if reader.is_error():
        return reader
    try:
        return Ok(reader.ok(document, offset_ms))
    except (KeyError, TypeError, ValueError) as error:
        return Error(f"{document['kind']} report: {error!r}")

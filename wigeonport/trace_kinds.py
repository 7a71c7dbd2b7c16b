"""Kinds of events in a trace, with the checks of their fields."""

from wigeonport import plan_events as events
from wigeonport.registries import Registry
from wigeonport.view_documents import (
    fleet_from_document,
    fleet_to_document,
    grants_from_document,
    grants_to_document,
    size_from_document,
    size_to_document,
)
from wigeonport.views import VM_STATES

REQUIRED = object()

trace_kinds = Registry("kind of trace event")


class ActualJob:
    """What a job really uses; only the stand-in of the platform reads it.

    Attributes:
        job: Id of the job.
        used: Size that it uses.
        run_ms: Time that it runs at full speed.
    """

    __slots__ = ("job", "used", "run_ms")

    def __init__(self, job, used, run_ms):
        self.job = job
        self.used = used
        self.run_ms = run_ms


class FaultsChanged:
    """Faults that only the stand-in of the platform knows.

    Attributes:
        failing_workers: Workers that fail every task.
        failing_jobs: Jobs that fail on every worker.
        stuck_jobs: Jobs that ignore checkpoint commands.
        stuck_reboots: VMs that do not return from a reboot.
    """

    __slots__ = (
        "failing_workers",
        "failing_jobs",
        "stuck_jobs",
        "stuck_reboots",
    )

    def __init__(
        self,
        failing_workers=(),
        failing_jobs=(),
        stuck_jobs=(),
        stuck_reboots=(),
    ):
        self.failing_workers = failing_workers
        self.failing_jobs = failing_jobs
        self.stuck_jobs = stuck_jobs
        self.stuck_reboots = stuck_reboots


class FieldType:
    """How one type of field is checked and converted.

    Attributes:
        text: Description for findings.
        accepts: Returns whether plain data has the type.
        decode: Converts plain data to the value.
        encode: Converts the value to plain data.
    """

    __slots__ = ("text", "accepts", "decode", "encode")

    def __init__(self, text, accepts, decode=None, encode=None):
        self.text = text
        self.accepts = accepts
        self.decode = decode or keep
        self.encode = encode or keep


def keep(value):
    """Returns the value unchanged."""
    return value


def is_whole(value):
    """Returns whether a value is a whole number."""
    return isinstance(value, int) and not isinstance(value, bool)


def is_number(value):
    """Returns whether a value is a number."""
    return isinstance(value, int | float) and not isinstance(value, bool)


def is_texts(value):
    """Returns whether a value is a list of texts."""
    return isinstance(value, list) and all(
        isinstance(each, str) for each in value
    )


def is_list(value):
    """Returns whether a value is a list."""
    return isinstance(value, list)


def choice(values):
    """Returns the type of a text out of a list."""
    text = f"must be one of {', '.join(values)}"
    return FieldType(text, values.__contains__)


def is_mapping(value):
    """Returns whether a value is a JSON object."""
    return isinstance(value, dict)


TEXT = FieldType("must be a text", lambda value: isinstance(value, str))
WHOLE = FieldType("must be a whole number", is_whole)
NUMBER = FieldType("must be a number", is_number)
FLAG = FieldType("must be true or false", lambda v: isinstance(v, bool))
TEXTS = FieldType("must be a list of texts", is_texts, tuple, list)
GRANTS = FieldType(
    "must be a list of grants",
    is_list,
    grants_from_document,
    grants_to_document,
)
SIZE = FieldType(
    "must have cores and memory_mb",
    is_mapping,
    size_from_document,
    size_to_document,
)
FLEET = FieldType(
    "must be a fleet", is_mapping, fleet_from_document, fleet_to_document
)


class Field:
    """One field of a kind of event."""

    __slots__ = ("name", "type", "default")

    def __init__(self, name, field_type, default=REQUIRED):
        self.name = name
        self.type = field_type
        self.default = default


class TraceKind:
    """One kind of event: its class and its fields."""

    __slots__ = ("event_class", "fields")

    def __init__(self, event_class, fields):
        self.event_class = event_class
        self.fields = fields

    def decode(self, document, findings, place):
        """Returns the event, or None after adding findings."""
        before = len(findings.items)
        known = {field.name for field in self.fields}
        for name in document.keys() - known - {"kind", "at_ms"}:
            findings.add(f"{place}: {name}", "is not a known field")
        values = {
            field.name: decode_field(field, document, findings, place)
            for field in self.fields
        }
        if len(findings.items) > before:
            return None
        return self.event_class(**values)

    def encode(self, event):
        """Returns the fields of an event as plain data."""
        return {
            field.name: field.type.encode(getattr(event, field.name))
            for field in self.fields
        }


def decode_field(field, document, findings, place):
    """Returns the value of one field; adds a finding if it is wrong."""
    where = f"{place}: {field.name}"
    if field.name not in document:
        if field.default is REQUIRED:
            findings.add(where, "is missing")
        return field.default
    value = document[field.name]
    if not field.type.accepts(value):
        findings.add(where, field.type.text)
        return None
    try:
        return field.type.decode(value)
    except KeyError as error:
        findings.add(where, f"lacks, or does not list, {error}")
    except (TypeError, ValueError, AttributeError) as error:
        findings.add(where, f"{field.type.text}: {error}")
    return None


def declare(kind, event_class, *fields):
    """Registers a kind of event."""
    trace_kinds.register(kind)(TraceKind(event_class, fields))


declare(
    "fleet",
    events.FleetLoaded,
    Field("fleet", FLEET),
    Field("grants", GRANTS, ()),
)
declare(
    "vm",
    events.VmReported,
    Field("vm", TEXT),
    Field("state", choice(VM_STATES)),
    Field("sequence", WHOLE),
)
declare(
    "zone",
    events.ZoneReported,
    Field("zone", TEXT),
    Field("measured_ms", WHOLE),
    Field("missing", TEXTS, ()),
)
declare(
    "demand",
    events.DemandReported,
    Field("service", TEXT),
    Field("slots", NUMBER),
    Field("measured_ms", WHOLE),
)
declare(
    "leadership",
    events.LeadershipChanged,
    Field("term", WHOLE),
    Field("lease_until_ms", WHOLE),
)
declare("confirmed", events.CommandConfirmed, Field("command_id", TEXT))
declare(
    "refused",
    events.CommandRefused,
    Field("command_id", TEXT),
    Field("reason", TEXT),
)
declare(
    "job",
    events.JobSubmitted,
    Field("job", TEXT),
    Field("team", TEXT),
    Field("pool", TEXT),
    Field("job_kind", TEXT),
    Field("declared", SIZE),
    Field("declared_run_ms", WHOLE),
    Field("urgent", FLAG, False),
    Field("can_checkpoint", FLAG, True),
    Field("may_run", FLAG, False),
)
declare(
    "cancel",
    events.JobsCancelled,
    Field("jobs", TEXTS, ()),
    Field("team", TEXT, ""),
)
declare(
    "task",
    events.TaskReported,
    Field("job", TEXT),
    Field("vm", TEXT),
    Field("attempt", WHOLE),
    Field("state", choice(events.TASK_STATES)),
)
declare(
    "usage",
    events.UsageReported,
    Field("job", TEXT),
    Field("used", SIZE),
    Field("measured_ms", WHOLE),
)
declare(
    "maintenance",
    events.MaintenanceControlled,
    Field("action", choice(events.MAINTENANCE_ACTIONS)),
    Field("vm", TEXT, ""),
)
declare("tick", events.Tick)
declare(
    "actual",
    ActualJob,
    Field("job", TEXT),
    Field("used", SIZE),
    Field("run_ms", WHOLE),
)
declare(
    "faults",
    FaultsChanged,
    Field("failing_workers", TEXTS, ()),
    Field("failing_jobs", TEXTS, ()),
    Field("stuck_jobs", TEXTS, ()),
    Field("stuck_reboots", TEXTS, ()),
)

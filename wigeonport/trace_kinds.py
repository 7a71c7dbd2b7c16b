"""Event kinds of a trace and the validation of their fields."""

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
    """Actual resource usage of a job, which only the simulated platform reads.

    The planner sees the declared size and learns the usage from reports.

    Attributes:
        job: Id of the job.
        used: Size that the job actually uses.
        run_ms: Run time when neither throttled nor slowed down by an
            overloaded worker.
    """

    __slots__ = ("job", "used", "run_ms")

    def __init__(self, job, used, run_ms):
        self.job = job
        self.used = used
        self.run_ms = run_ms


class FaultsChanged:
    """Faults that the simulated platform injects from now on.

    They replace those of the previous event; the planner does not see them.

    Attributes:
        failing_workers: Workers on which every task fails.
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
    """Validation and conversion of one type of field.

    Attributes:
        requirement: Text of the finding about a value of another type.
        accepts: Predicate that tells whether a JSON value has the type.
        decode: Converts a JSON value to the field's value; unchanged by
            default.
        encode: Converts the field's value to a JSON value; unchanged by
            default.
    """

    __slots__ = ("requirement", "accepts", "decode", "encode")

    def __init__(self, requirement, accepts, decode=None, encode=None):
        self.requirement = requirement
        self.accepts = accepts
        self.decode = decode or identity
        self.encode = encode or identity


def identity(value):
    """Returns the value unchanged."""
    return value


def is_integer(value):
    """Returns whether a value is an int other than a bool."""
    return isinstance(value, int) and not isinstance(value, bool)


def is_number(value):
    """Returns whether a value is an int or float other than a bool."""
    return isinstance(value, int | float) and not isinstance(value, bool)


def is_string_list(value):
    """Returns whether a value is a list of strings."""
    return isinstance(value, list) and all(
        isinstance(each, str) for each in value
    )


def is_list(value):
    """Returns whether a value is a list."""
    return isinstance(value, list)


def one_of(values):
    """Returns the FieldType of a string that must be one of ``values``."""
    requirement = f"must be one of {', '.join(values)}"
    return FieldType(requirement, values.__contains__)


def is_mapping(value):
    """Returns whether a value is a JSON object."""
    return isinstance(value, dict)


STRING = FieldType("must be a string", lambda value: isinstance(value, str))
INTEGER = FieldType("must be a whole number", is_integer)
NUMBER = FieldType("must be a number", is_number)
BOOLEAN = FieldType("must be true or false", lambda v: isinstance(v, bool))
STRINGS = FieldType("must be a list of strings", is_string_list, tuple, list)
GRANTS = FieldType(
    "must be a list of grants",
    is_list,
    grants_from_document,
    grants_to_document,
)
SIZE = FieldType(
    "must be an object with cores and memory_mb",
    is_mapping,
    size_from_document,
    size_to_document,
)
FLEET = FieldType(
    "must be a fleet object",
    is_mapping,
    fleet_from_document,
    fleet_to_document,
)


class Field:
    """One field of an event kind: its name, type and default value."""

    __slots__ = ("name", "type", "default")

    def __init__(self, name, field_type, default=REQUIRED):
        self.name = name
        self.type = field_type
        self.default = default


class TraceKind:
    """One event kind: its class and the fields that a trace line holds."""

    __slots__ = ("event_class", "fields")

    def __init__(self, event_class, fields):
        self.event_class = event_class
        self.fields = fields

    def decode(self, document, findings, location):
        """Returns the event; adds findings and returns None if it is bad."""
        before = len(findings.items)
        field_names = {field.name for field in self.fields}
        for name in document.keys() - field_names - {"kind", "at_ms"}:
            findings.add(f"{location}: {name}", "is not a known field")
        values = {
            field.name: decode_field(field, document, findings, location)
            for field in self.fields
        }
        if len(findings.items) > before:
            return None
        return self.event_class(**values)

    def encode(self, event):
        """Returns the fields of an event as JSON values."""
        return {
            field.name: field.type.encode(getattr(event, field.name))
            for field in self.fields
        }


def decode_field(field, document, findings, location):
    """Returns the value or default of a field; adds a finding if bad."""
    field_location = f"{location}: {field.name}"
    if field.name not in document:
        if field.default is REQUIRED:
            findings.add(field_location, "is missing")
        return field.default
    value = document[field.name]
    if not field.type.accepts(value):
        findings.add(field_location, field.type.requirement)
        return None
    try:
        return field.type.decode(value)
    except KeyError as error:
        findings.add(field_location, f"has no field or entry {error}")
    except (TypeError, ValueError, AttributeError) as error:
        findings.add(field_location, f"{field.type.requirement}: {error}")
    return None


def register_event(kind, event_class, *fields):
    """Registers the TraceKind of an event class under its kind name."""
    trace_kinds.register(kind)(TraceKind(event_class, fields))


register_event(
    "fleet",
    events.FleetLoaded,
    Field("fleet", FLEET),
    Field("grants", GRANTS, ()),
)
register_event(
    "vm",
    events.VmReported,
    Field("vm", STRING),
    Field("state", one_of(VM_STATES)),
    Field("sequence", INTEGER),
)
register_event(
    "zone",
    events.ZoneReported,
    Field("zone", STRING),
    Field("measured_ms", INTEGER),
    Field("missing", STRINGS, ()),
)
register_event(
    "demand",
    events.DemandReported,
    Field("service", STRING),
    Field("slots", NUMBER),
    Field("measured_ms", INTEGER),
)
register_event(
    "leadership",
    events.LeadershipChanged,
    Field("term", INTEGER),
    Field("lease_until_ms", INTEGER),
)
register_event(
    "confirmed", events.CommandConfirmed, Field("command_id", STRING)
)
register_event(
    "refused",
    events.CommandRefused,
    Field("command_id", STRING),
    Field("reason", STRING),
)
register_event(
    "job",
    events.JobSubmitted,
    Field("job", STRING),
    Field("team", STRING),
    Field("pool", STRING),
    Field("job_kind", STRING),
    Field("declared", SIZE),
    Field("declared_run_ms", INTEGER),
    Field("urgent", BOOLEAN, False),
    Field("can_checkpoint", BOOLEAN, True),
    Field("may_run", BOOLEAN, False),
)
register_event(
    "cancel",
    events.JobsCancelled,
    Field("jobs", STRINGS, ()),
    Field("team", STRING, ""),
)
register_event(
    "task",
    events.TaskReported,
    Field("job", STRING),
    Field("vm", STRING),
    Field("attempt", INTEGER),
    Field("state", one_of(events.TASK_STATES)),
)
register_event(
    "usage",
    events.UsageReported,
    Field("job", STRING),
    Field("used", SIZE),
    Field("measured_ms", INTEGER),
)
register_event(
    "maintenance",
    events.MaintenanceControlled,
    Field("action", one_of(events.MAINTENANCE_ACTIONS)),
    Field("vm", STRING, ""),
)
register_event("tick", events.Tick)
register_event(
    "actual",
    ActualJob,
    Field("job", STRING),
    Field("used", SIZE),
    Field("run_ms", INTEGER),
)
register_event(
    "faults",
    FaultsChanged,
    Field("failing_workers", STRINGS, ()),
    Field("failing_jobs", STRINGS, ()),
    Field("stuck_jobs", STRINGS, ()),
    Field("stuck_reboots", STRINGS, ()),
)

"""Route that shows which processes apply which version."""

from wigeonport.channels import ask
from wigeonport.operator_routes import operator_routes, read_state
from wigeonport.publishers import StatusQuery
from wigeonport.records import Record
from wigeonport.servers import respond_json
from wigeonport.state_queries import VersionQuery

# Processes report at least every 5 s.
SILENT_MS = 12_000
ROLES = ("control", "entry")


class ProcessLine(Record):
    """What is known of one process.

    Attributes:
        process: Node id of the process on its links, ``role/vm``.
        availability_zone: Its zone, or an empty text.
        version: Version that it applies, or None if it never reported.
        silent_ms: Time since its last report, or None.
        lag: Why it does not apply the version in force; empty if it does.
    """

    __slots__ = ("process", "availability_zone", "version", "silent_ms", "lag")

    def __init__(self, process, availability_zone, version, silent_ms, lag):
        self.process = process
        self.availability_zone = availability_zone
        self.version = version
        self.silent_ms = silent_ms
        self.lag = lag


def list_expected(settings):
    """Returns zone by process for the programs of all VMs."""
    return {
        f"{role}/{vm.node_id}": vm.availability_zone
        for role in ROLES
        for vm in (settings, *settings.peers)
    }


def list_processes(expected, statuses, version, now_ms):
    """Returns a ProcessLine for every expected or reporting process."""
    reported = {status.node_id: status for status in statuses}
    lines = []
    for process in sorted(expected.keys() | reported.keys()):
        status = reported.get(process)
        if status is None:
            zone = expected[process]
            lag = "has not reported since this control started"
            lines.append(ProcessLine(process, zone, None, None, lag))
            continue
        silent_ms = now_ms - status.last_seen_ms
        lag = explain_lag(status.version, version, silent_ms)
        zone = status.availability_zone
        lines.append(
            ProcessLine(process, zone, status.version, silent_ms, lag)
        )
    return lines


def explain_lag(applied, version, silent_ms):
    """Returns why a process does not apply the version, or no text."""
    reasons = []
    if applied < version:
        reasons.append(
            f"applies version {applied}, {version - applied} behind"
        )
    if applied > version:
        reasons.append(f"this control is {applied - version} versions behind")
    if silent_ms > SILENT_MS:
        reasons.append(f"silent for {silent_ms} ms")
    return "; ".join(reasons)


@operator_routes.register(("GET", "/v1/status"))
async def show_status(control, request):
    """Returns the version that every process applies."""
    read = await read_state(control, VersionQuery())
    if read.is_error():
        return read.error
    found = read.ok
    statuses = await ask(
        control.publisher, StatusQuery, control.state_client.timeout_ms
    )
    version = found.document["version"]
    lines = list_processes(
        list_expected(control.settings),
        statuses.default_value([]),
        version,
        control.clock.now(),
    )
    document = {
        **found.document,
        "role": found.role,
        "leader": found.leader,
        "term": found.term,
        "in_force_everywhere": not any(line.lag for line in lines),
        "processes": [line.to_document() for line in lines],
    }
    if statuses.is_error():
        document["reason"] = statuses.error
    return respond_json(200, document)

"""Route that shows which fleet version each process applies."""

from wigeonport.channels import ask
from wigeonport.operator_routes import operator_routes, read_state
from wigeonport.publishers import StatusQuery
from wigeonport.records import Record
from wigeonport.servers import respond_json
from wigeonport.state_queries import VersionQuery

# Every process reports at least every 5 s.
MAX_REPORT_AGE_MS = 12_000
ROLES = ("control", "entry")


class ProcessLine(Record):
    """What this control knows about one process.

    Attributes:
        process: Node id of the process on its links, ``role/vm``.
        availability_zone: Its zone, or the empty string.
        version: Fleet version that it applies, or None if it never reported.
        silent_ms: Time since its last report, or None if it never reported.
        lag: Why it does not apply the version in force, or the empty string
            if it does.
    """

    __slots__ = ("process", "availability_zone", "version", "silent_ms", "lag")

    def __init__(self, process, availability_zone, version, silent_ms, lag):
        self.process = process
        self.availability_zone = availability_zone
        self.version = version
        self.silent_ms = silent_ms
        self.lag = lag


def map_expected_zones(settings):
    """Returns a dict of process name to zone for the programs of all VMs."""
    return {
        f"{role}/{vm.node_id}": vm.availability_zone
        for role in ROLES
        for vm in (settings, *settings.peers)
    }


def list_processes(expected_zones, statuses, version, now_ms):
    """Returns a ProcessLine for every expected or reporting process.

    Args:
        expected_zones: Maps the name of each expected process to its zone.
        statuses: ProcessStatus of each process that reported.
        version: Fleet version in force.
        now_ms: Time on the clock of this control.
    """
    reported = {status.node_id: status for status in statuses}
    rows = []
    for process in sorted(expected_zones.keys() | reported.keys()):
        status = reported.get(process)
        if status is None:
            zone = expected_zones[process]
            lag = "has not reported since this control started"
            rows.append(ProcessLine(process, zone, None, None, lag))
            continue
        silent_ms = now_ms - status.last_seen_ms
        lag = explain_lag(status.version, version, silent_ms)
        zone = status.availability_zone
        rows.append(ProcessLine(process, zone, status.version, silent_ms, lag))
    return rows


def explain_lag(applied, version, silent_ms):
    """Returns why a process does not apply the version in force.

    Args:
        applied: Version that the process applies.
        version: Version in force as this control knows it.
        silent_ms: Time since the last report of the process.

    Returns:
        The reasons as one text, empty if there are none.
    """
    reasons = []
    if applied < version:
        reasons.append(
            f"applies version {applied}, {version - applied} behind"
        )
    if applied > version:
        reasons.append(f"this control is {applied - version} versions behind")
    if silent_ms > MAX_REPORT_AGE_MS:
        reasons.append(f"silent for {silent_ms} ms")
    return "; ".join(reasons)


@operator_routes.register(("GET", "/v1/status"))
async def show_status(control, request):
    """Returns the fleet version in force and the one each process applies."""
    result = await read_state(control, VersionQuery())
    if result.is_error():
        return result.error
    state_read = result.ok
    statuses = await ask(
        control.publisher, StatusQuery, control.state_client.timeout_ms
    )
    version = state_read.document["version"]
    rows = list_processes(
        map_expected_zones(control.settings),
        statuses.default_value([]),
        version,
        control.clock.now(),
    )
    document = {
        **state_read.document,
        "role": state_read.role,
        "leader": state_read.leader,
        "term": state_read.term,
        "in_force_everywhere": not any(row.lag for row in rows),
        "processes": [row.to_document() for row in rows],
    }
    if statuses.is_error():
        document["reason"] = statuses.error
    return respond_json(200, document)

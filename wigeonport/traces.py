"""Reads and writes planner traces: JSON Lines with one event per line."""

import json

from expression import Result

from wigeonport.findings import Findings
from wigeonport.plan_settings import PlanSettings, read_plan_settings
from wigeonport.trace_kinds import is_integer, trace_kinds

FORMAT = 1
HEADER_KIND = "header"
DEFAULT_ANSWER_DELAYS = {
    "commit_ms": 20,
    "accept_ms": 10,
    "drain_ms": 1_000,
    "undrain_ms": 200,
    "reboot_ms": 5_000,
    "prepare_ms": 1_500,
    "start_ms": 200,
    "fail_ms": 500,
    "checkpoint_ms": 800,
    "throttle_ms": 100,
    "stop_ms": 100,
    "usage_lag_ms": 3_000,
}


class TraceHeader:
    """First line of a trace.

    Attributes:
        deployment: Name of the deployment, for reports.
        seed: Seed of the planner's random number generator.
        tick_ms: Interval of the ticks that the replay adds, or 0 if the
            trace contains its own ticks.
        end_ms: Time at which the replay ends.
        settings: PlanSettings.
        answer_delays: Maps kind of delay to the delay in ms with which the
            replay answers commands itself, or None if the trace contains
            the recorded answers.
    """

    __slots__ = (
        "deployment",
        "seed",
        "tick_ms",
        "end_ms",
        "settings",
        "answer_delays",
    )

    def __init__(
        self, deployment, seed, tick_ms, end_ms, settings, answer_delays
    ):
        self.deployment = deployment
        self.seed = seed
        self.tick_ms = tick_ms
        self.end_ms = end_ms
        self.settings = settings
        self.answer_delays = answer_delays


class TraceEvent:
    """One event of a trace.

    Attributes:
        line: Line number in the trace file, from 1.
        at_ms: Time at which the event reached the planner.
        event: Event object of one of the registered trace kinds.
    """

    __slots__ = ("line", "at_ms", "event")

    def __init__(self, line, at_ms, event):
        self.line = line
        self.at_ms = at_ms
        self.event = event


class Trace:
    """Header and events of a trace, in file order."""

    __slots__ = ("header", "events")

    def __init__(self, header, events):
        self.header = header
        self.events = events


class TraceReader:
    """Decodes the lines of a trace and collects a finding for each bad line.

    Attributes:
        name: Name of the source, with which the findings' locations begin.
        findings: Findings so far.
        header: TraceHeader, or None until the first line was read.
        events: TraceEvents so far.
        at_ms: Time of the last event, which the next may not precede.
    """

    __slots__ = ("name", "findings", "header", "events", "at_ms")

    def __init__(self, name):
        self.name = name
        self.findings = Findings()
        self.header = None
        self.events = []
        self.at_ms = 0

    def read(self, lines) -> Result:
        """Returns the Trace, or Findings located at their lines."""
        for line_number, line in enumerate(lines, 1):
            if line.strip():
                self.read_line(line_number, line)
        if self.header is None and not self.findings:
            self.findings.add(
                f"{self.name}:1", "the trace is empty: the header is missing"
            )
        return self.findings.result(Trace(self.header, self.events))

    def read_line(self, line_number, line):
        """Decodes one line as the header or an event."""
        location = f"{self.name}:{line_number}"
        try:
            document = json.loads(line)
        except (ValueError, RecursionError) as error:
            self.findings.add(location, f"is not JSON: {error}")
            return
        if not isinstance(document, dict):
            self.findings.add(location, "must be a JSON object")
        elif self.header is None:
            self.read_header(document, location)
        else:
            self.read_event(line_number, document, location)

    def read_header(self, document, location):
        """Decodes the first line, which must be the header."""
        if document.get("kind") != HEADER_KIND:
            self.findings.add(
                location, 'the first line must be the header (kind "header")'
            )
        elif document.get("format") != FORMAT:
            self.findings.add(f"{location}: format", f"must be {FORMAT}")
        self.header = decode_header(document, self.findings, location)

    def read_event(self, line_number, document, location):
        """Decodes an event; events must be in order of time."""
        kind_result = trace_kinds.get(document.get("kind"))
        if kind_result.is_error():
            self.findings.add(f"{location}: kind", kind_result.error)
            return
        at_ms = document.get("at_ms")
        if not is_integer(at_ms):
            self.findings.add(f"{location}: at_ms", "must be a whole number")
            return
        if at_ms < self.at_ms:
            reason = f"is before the previous event at {self.at_ms}"
            self.findings.add(f"{location}: at_ms", reason)
        event = kind_result.ok.decode(document, self.findings, location)
        self.at_ms = at_ms
        self.events.append(TraceEvent(line_number, at_ms, event))


def decode_header(document, findings, location):
    """Returns the TraceHeader; adds a finding for each bad field."""
    numbers = {"seed": 0, "tick_ms": 1_000, "end_ms": 0}
    for name, default in numbers.items():
        numbers[name] = document.get(name, default)
        if not is_integer(numbers[name]) or numbers[name] < 0:
            findings.add(f"{location}: {name}", "must be a whole number, >= 0")
    settings = PlanSettings()
    settings_result = read_plan_settings(
        document.get("settings", {}), f"{location}: settings"
    )
    if settings_result.is_error():
        findings.extend(settings_result.error)
    else:
        settings = settings_result.ok
    answer_delays = decode_answer_delays(
        document.get("answers"), findings, location
    )
    deployment = str(document.get("deployment", ""))
    return TraceHeader(
        deployment,
        numbers["seed"],
        numbers["tick_ms"],
        numbers["end_ms"],
        settings,
        answer_delays,
    )


def decode_answer_delays(document, findings, location):
    """Returns the delays, defaults included; None if ``document`` is None."""
    if document is None:
        return None
    answer_delays = dict(DEFAULT_ANSWER_DELAYS)
    for name, value in document.items():
        if name not in DEFAULT_ANSWER_DELAYS:
            findings.add(f"{location}: answers.{name}", "is not a known delay")
        elif not is_integer(value) or value < 0:
            field_location = f"{location}: answers.{name}"
            findings.add(field_location, "must be a whole number, >= 0")
        answer_delays[name] = value
    return answer_delays


def read_trace(path) -> Result:
    """Reads a trace file; returns a Trace or Findings."""
    try:
        with open(path, encoding="utf-8") as file:
            return TraceReader(str(path)).read(file)
    except (OSError, UnicodeDecodeError) as error:
        findings = Findings()
        findings.add(str(path), f"cannot be read: {error}")
        return findings.result(None)


class TraceWriter:
    """Writes a trace line by line.

    Attributes:
        file: Text file, or any object with ``write``.
        kinds: Maps event class to the name of its trace kind.
    """

    __slots__ = ("file", "kinds")

    def __init__(self, file):
        self.file = file
        self.kinds = {
            kind.event_class: name
            for name, kind in trace_kinds.entries.items()
        }

    def write_header(self, document):
        """Writes the header line with the fields in ``document``."""
        header = {"kind": HEADER_KIND, "format": FORMAT, **document}
        self.write_line(header)

    def write(self, at_ms, event):
        """Writes one event with the time at which the planner received it."""
        name = self.kinds[type(event)]
        fields = trace_kinds.entries[name].encode(event)
        self.write_line({"at_ms": at_ms, "kind": name, **fields})

    def write_line(self, document):
        """Writes a JSON object as one compact line."""
        self.file.write(json.dumps(document, separators=(",", ":")) + "\n")

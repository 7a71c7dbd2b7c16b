"""Reader and writer of traces: JSON Lines, one event a line."""

import json

from expression import Result

from wigeonport.findings import Findings
from wigeonport.plan_settings import PlanSettings, read_plan_settings
from wigeonport.trace_kinds import is_whole, trace_kinds

FORMAT = 1
HEADER_KIND = "header"
ANSWERS = {
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
        seed: Seed of the random source.
        tick_ms: Interval of added ticks, or 0 if the trace has its own.
        end_ms: Time at which the replay ends.
        settings: PlanSettings.
        answers: Delay by answer in ms with which the replay answers commands
            itself, or None if the trace holds the recorded answers.
    """

    __slots__ = (
        "deployment",
        "seed",
        "tick_ms",
        "end_ms",
        "settings",
        "answers",
    )

    def __init__(self, deployment, seed, tick_ms, end_ms, settings, answers):
        self.deployment = deployment
        self.seed = seed
        self.tick_ms = tick_ms
        self.end_ms = end_ms
        self.settings = settings
        self.answers = answers


class TraceEvent:
    """One line of a trace.

    Attributes:
        line: Line number, from 1.
        at_ms: Time at which the event reached the planner.
        event: The message.
    """

    __slots__ = ("line", "at_ms", "event")

    def __init__(self, line, at_ms, event):
        self.line = line
        self.at_ms = at_ms
        self.event = event


class Trace:
    """A whole trace."""

    __slots__ = ("header", "events")

    def __init__(self, header, events):
        self.header = header
        self.events = events


class TraceReader:
    """Reads lines and collects a finding for every bad one.

    Attributes:
        name: Name of the source, for findings.
        findings: Findings so far.
        header: TraceHeader, or None before it was read.
        events: TraceEvents so far.
        at_ms: Time of the last event.
    """

    __slots__ = ("name", "findings", "header", "events", "at_ms")

    def __init__(self, name):
        self.name = name
        self.findings = Findings()
        self.header = None
        self.events = []
        self.at_ms = 0

    def read(self, lines) -> Result:
        """Returns the Trace, or Findings with their line numbers."""
        for number, line in enumerate(lines, 1):
            if line.strip():
                self.read_line(number, line)
        if self.header is None and not self.findings:
            self.findings.add(f"{self.name}:1", "the header is missing")
        return self.findings.result(Trace(self.header, self.events))

    def read_line(self, number, line):
        """Reads one line."""
        place = f"{self.name}:{number}"
        try:
            document = json.loads(line)
        except ValueError as error:
            self.findings.add(place, f"is not JSON: {error}")
            return
        if not isinstance(document, dict):
            self.findings.add(place, "must be a JSON object")
        elif self.header is None:
            self.read_header(document, place)
        else:
            self.read_event(number, document, place)

    def read_header(self, document, place):
        """Reads the first line."""
        if document.get("kind") != HEADER_KIND:
            self.findings.add(place, "the first line must be the header")
        elif document.get("format") != FORMAT:
            self.findings.add(f"{place}: format", f"must be {FORMAT}")
        self.header = decode_header(document, self.findings, place)

    def read_event(self, number, document, place):
        """Reads any other line."""
        found = trace_kinds.get(document.get("kind"))
        if found.is_error():
            self.findings.add(f"{place}: kind", found.error)
            return
        at_ms = document.get("at_ms")
        if not is_whole(at_ms):
            self.findings.add(f"{place}: at_ms", "must be a whole number")
            return
        if at_ms < self.at_ms:
            earlier = f"is before the previous event at {self.at_ms}"
            self.findings.add(f"{place}: at_ms", earlier)
        event = found.ok.decode(document, self.findings, place)
        self.at_ms = at_ms
        self.events.append(TraceEvent(number, at_ms, event))


def decode_header(document, findings, place):
    """Returns the TraceHeader; adds findings about its fields."""
    numbers = {"seed": 0, "tick_ms": 1_000, "end_ms": 0}
    for name, default in numbers.items():
        numbers[name] = document.get(name, default)
        if not is_whole(numbers[name]) or numbers[name] < 0:
            findings.add(f"{place}: {name}", "must be a whole number, >= 0")
    settings = PlanSettings()
    read = read_plan_settings(
        document.get("settings", {}), f"{place}: settings"
    )
    if read.is_error():
        findings.extend(read.error)
    else:
        settings = read.ok
    answers = decode_answers(document.get("answers"), findings, place)
    deployment = str(document.get("deployment", ""))
    return TraceHeader(
        deployment,
        numbers["seed"],
        numbers["tick_ms"],
        numbers["end_ms"],
        settings,
        answers,
    )


def decode_answers(document, findings, place):
    """Returns the delays of the answers, or None."""
    if document is None:
        return None
    answers = dict(ANSWERS)
    for name, value in document.items():
        if name not in ANSWERS:
            findings.add(f"{place}: answers.{name}", "is not a known answer")
        elif not is_whole(value) or value < 0:
            where = f"{place}: answers.{name}"
            findings.add(where, "must be a whole number, >= 0")
        answers[name] = value
    return answers


def read_trace(path) -> Result:
    """Reads a file; returns a Trace or Findings."""
    try:
        with open(path, encoding="utf-8") as file:
            return TraceReader(str(path)).read(file)
    except (OSError, UnicodeDecodeError) as error:
        findings = Findings()
        findings.add(str(path), f"cannot be read: {error}")
        return findings.result(None)


class TraceWriter:
    """Writes a trace, one event at a time.

    Attributes:
        file: Text file, or any object with ``write``.
        kinds: Kind by class of event.
    """

    __slots__ = ("file", "kinds")

    def __init__(self, file):
        self.file = file
        self.kinds = {
            kind.event_class: name
            for name, kind in trace_kinds.entries.items()
        }

    def write_header(self, document):
        """Writes the first line; ``document`` holds fields of the header."""
        line = {"kind": HEADER_KIND, "format": FORMAT, **document}
        self.write_line(line)

    def write(self, at_ms, event):
        """Writes one event with the time at which it arrived."""
        name = self.kinds[type(event)]
        fields = trace_kinds.entries[name].encode(event)
        self.write_line({"at_ms": at_ms, "kind": name, **fields})

    def write_line(self, document):
        """Writes one line."""
        self.file.write(json.dumps(document, separators=(",", ":")) + "\n")

"""Expected outcomes of a replay: one JSON object a line."""

import json

from expression import Result

from wigeonport.findings import Findings
from wigeonport.plan_commands import command_kinds
from wigeonport.registries import Registry
from wigeonport.trace_kinds import is_number, is_whole

expectations = Registry("kind of expectation")


class Difference:
    """One outcome that differs from the expectation.

    Attributes:
        line: Line of the trace event.
        text: What differs.
    """

    __slots__ = ("line", "text")

    def __init__(self, line, text):
        self.line = line
        self.text = text

    def __str__(self):
        return f"line {self.line}: {self.text}"


class Expectation:
    """One line of an expect file.

    Attributes:
        place: File and line, for reports.
        kind: Name in ``expectations``.
        fields: The fields of the line.
    """

    __slots__ = ("place", "kind", "fields")

    def __init__(self, place, kind, fields):
        self.place = place
        self.kind = kind
        self.fields = fields

    def check(self, record):
        """Returns the Differences from a ReplayRecord."""
        return expectations.entries[self.kind](self, record)


class FieldCheck:
    """Allowed fields of a kind of expectation and which are required."""

    __slots__ = ("checks", "required")

    def __init__(self, checks, required):
        self.checks = checks
        self.required = required


def is_text(value):
    """Returns whether a value is a text."""
    return isinstance(value, str)


def is_command(value):
    """Returns whether a value names a kind of command."""
    return value in command_kinds.entries


def is_match(value):
    """Returns whether a value maps fields to expected values."""
    return isinstance(value, dict)


def is_commands(value):
    """Returns whether a value is a list of command texts."""
    return isinstance(value, list) and all(map(is_text, value))


WINDOW = {"after_ms": is_whole, "before_ms": is_whole}
BOUNDS = {"at_least": is_number, "at_most": is_number, "equals": is_number}
COMMAND = {"command": is_command, "match": is_match, **WINDOW, **BOUNDS}
FIELD_CHECKS = {
    "commands": FieldCheck(COMMAND, ("command",)),
    "measure": FieldCheck(
        {"name": is_text, "key": is_text, **BOUNDS}, ("name",)
    ),
    "outcome": FieldCheck(
        {"line": is_whole, "commands": is_commands}, ("line", "commands")
    ),
}


def read_expectations(path) -> Result:
    """Reads an expect file; returns Expectations or Findings."""
    findings = Findings()
    found = []
    try:
        with open(path, encoding="utf-8") as file:
            lines = file.read().splitlines()
    except (OSError, UnicodeDecodeError) as error:
        findings.add(str(path), f"cannot be read: {error}")
        return findings.result(None)
    for number, line in enumerate(lines, 1):
        if line.strip():
            place = f"{path}:{number}"
            found.append(read_expectation(line, findings, place))
    return findings.result(found)


def read_expectation(line, findings, place):
    """Returns the Expectation of a line, or None after adding findings."""
    try:
        document = json.loads(line)
    except ValueError as error:
        findings.add(place, f"is not JSON: {error}")
        return None
    if not isinstance(document, dict):
        findings.add(place, "must be a JSON object")
        return None
    kind = document.pop("expect", None)
    found = expectations.get(kind)
    if found.is_error():
        findings.add(f"{place}: expect", found.error)
        return None
    check_fields(FIELD_CHECKS[kind], document, findings, place)
    return Expectation(place, kind, document)


def check_fields(field_check, document, findings, place):
    """Adds a finding for each wrong or missing field."""
    for name, value in document.items():
        if name not in field_check.checks:
            findings.add(f"{place}: {name}", "is not a known field")
        elif not field_check.checks[name](value):
            findings.add(f"{place}: {name}", f"has the wrong value {value!r}")
    for name in field_check.required:
        if name not in document:
            findings.add(f"{place}: {name}", "is missing")


def find_breach(fields, value):
    """Returns how a value breaks its bounds, or ""."""
    if "equals" in fields and value != fields["equals"]:
        return f"expected {fields['equals']}"
    if value < fields.get("at_least", value):
        return f"expected at least {fields['at_least']}"
    if value > fields.get("at_most", value):
        return f"expected at most {fields['at_most']}"
    return ""


@expectations.register("commands")
def check_commands(expectation, record):
    """Compares the number of matching commands within a time window."""
    fields = expectation.fields
    if not BOUNDS.keys() & fields.keys():
        fields = {"at_least": 1, **fields}
    matching = [
        outcome
        for outcome in record.outcomes
        if matches(outcome.command, outcome.at_ms, fields)
    ]
    breach = find_breach(fields, len(matching))
    if not breach:
        return []
    before_ms = fields.get("before_ms")
    line = matching[-1].line if matching else record.line_at(before_ms)
    wanted = " ".join(
        (
            fields["command"],
            *(f"{k}={v}" for k, v in fields.get("match", {}).items()),
        )
    )
    text = f"{len(matching)} times {wanted}, {breach}"
    return [Difference(line, f"{text} ({expectation.place})")]


def matches(command, at_ms, fields):
    """Returns whether a command meets the conditions of an expectation."""
    if command.kind != fields["command"]:
        return False
    if at_ms < fields.get("after_ms", at_ms):
        return False
    if at_ms > fields.get("before_ms", at_ms):
        return False
    return all(
        str(getattr(command, name, "")).startswith(str(value))
        for name, value in fields.get("match", {}).items()
    )


@expectations.register("measure")
def check_measure(expectation, record):
    """Compares a measure at the end of the replay."""
    fields = expectation.fields
    value = record.measures.to_document().get(fields["name"])
    if isinstance(value, dict):
        value = value.get(fields.get("key"), 0)
    elif isinstance(value, list):
        value = len(value)
    if value is None:
        breach = "which is not a measure"
    else:
        breach = find_breach(fields, value)
    if not breach:
        return []
    name = " ".join((fields["name"], fields.get("key", ""))).strip()
    text = f"{name} is {value}, {breach} ({expectation.place})"
    return [Difference(record.line_at(None), text)]


@expectations.register("outcome")
def check_outcome(expectation, record):
    """Compares all commands that followed from one line of the trace."""
    line = expectation.fields["line"]
    got = [str(o.command) for o in record.outcomes if o.line == line]
    wanted = expectation.fields["commands"]
    if got == wanted:
        return []
    missing = [text for text in wanted if text not in got]
    extra = [text for text in got if text not in wanted]
    if not missing and not extra:
        missing = ["the same commands in another order or number"]
    text = f"missing {missing}, unexpected {extra} ({expectation.place})"
    return [Difference(line, text)]

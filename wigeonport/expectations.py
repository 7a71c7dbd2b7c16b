"""Expected outcomes of a replay, read from JSON Lines."""

import json

from expression import Result

from wigeonport.findings import Findings
from wigeonport.plan_commands import command_kinds
from wigeonport.registries import Registry
from wigeonport.trace_kinds import is_integer, is_number

expectations = Registry("kind of expectation")


class Difference:
    """Unmet expectation or violated invariant of a replay.

    Attributes:
        line: Line number of the trace event to which it belongs.
        text: Expected and actual outcome, or the violation.
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
        location: File and line number, for reports.
        kind: Name in the registry ``expectations``.
        fields: The JSON fields of the line except ``expect``.
    """

    __slots__ = ("location", "kind", "fields")

    def __init__(self, location, kind, fields):
        self.location = location
        self.kind = kind
        self.fields = fields

    def check(self, record):
        """Returns the Differences of a ReplayRecord from the expectation."""
        return expectations.entries[self.kind](self, record)


class FieldRules:
    """Fields that a kind of expectation allows and requires.

    Attributes:
        checks: Maps name of an allowed field to the predicate that its value
            must satisfy.
        required: Names of the required fields.
    """

    __slots__ = ("checks", "required")

    def __init__(self, checks, required):
        self.checks = checks
        self.required = required


def is_string(value):
    """Returns whether a value is a string."""
    return isinstance(value, str)


def is_command(value):
    """Returns whether a value is the name of a command kind."""
    return value in command_kinds.entries


def is_mapping(value):
    """Returns whether a value is a JSON object."""
    return isinstance(value, dict)


def is_command_list(value):
    """Returns whether a value is a list of commands as strings."""
    return isinstance(value, list) and all(map(is_string, value))


WINDOW_FIELDS = {"after_ms": is_integer, "before_ms": is_integer}
BOUND_FIELDS = {
    "at_least": is_number,
    "at_most": is_number,
    "equals": is_number,
}
COMMAND_FIELDS = {
    "command": is_command,
    "match": is_mapping,
    **WINDOW_FIELDS,
    **BOUND_FIELDS,
}
FIELD_RULES = {
    "commands": FieldRules(COMMAND_FIELDS, ("command",)),
    "measure": FieldRules(
        {"name": is_string, "key": is_string, **BOUND_FIELDS}, ("name",)
    ),
    "outcome": FieldRules(
        {"line": is_integer, "commands": is_command_list}, ("line", "commands")
    ),
}


def read_expectations(path) -> Result:
    """Reads an expect file; returns a list of Expectations, or Findings."""
    findings = Findings()
    expected = []
    try:
        with open(path, encoding="utf-8") as file:
            lines = file.read().splitlines()
    except (OSError, UnicodeDecodeError) as error:
        findings.add(str(path), f"cannot be read: {error}")
        return findings.result(None)
    for number, line in enumerate(lines, 1):
        if line.strip():
            location = f"{path}:{number}"
            expected.append(read_expectation(line, findings, location))
    return findings.result(expected)


def read_expectation(line, findings, location):
    """Returns the Expectation of a line; adds findings if it is bad."""
    try:
        document = json.loads(line)
    except (ValueError, RecursionError) as error:
        findings.add(location, f"is not JSON: {error}")
        return None
    if not isinstance(document, dict):
        findings.add(location, "must be a JSON object")
        return None
    kind = document.pop("expect", None)
    kind_result = expectations.get(kind)
    if kind_result.is_error():
        findings.add(f"{location}: expect", kind_result.error)
        return None
    check_fields(FIELD_RULES[kind], document, findings, location)
    return Expectation(location, kind, document)


def check_fields(field_rules, document, findings, location):
    """Adds a finding for each unknown, invalid or missing field."""
    for name, value in document.items():
        if name not in field_rules.checks:
            findings.add(f"{location}: {name}", "is not a known field")
        elif not field_rules.checks[name](value):
            findings.add(
                f"{location}: {name}", f"has the invalid value {value!r}"
            )
    for name in field_rules.required:
        if name not in document:
            findings.add(f"{location}: {name}", "is missing")


def describe_breach(fields, value):
    """Returns the bound that a value breaks, as text, or ""."""
    if "equals" in fields and value != fields["equals"]:
        return f"expected {fields['equals']}"
    if value < fields.get("at_least", value):
        return f"expected at least {fields['at_least']}"
    if value > fields.get("at_most", value):
        return f"expected at most {fields['at_most']}"
    return ""


@expectations.register("commands")
def check_commands(expectation, record):
    """Checks the number of matching commands in a time window.

    Without bounds, at least one command must match.
    """
    fields = expectation.fields
    if not BOUND_FIELDS.keys() & fields.keys():
        fields = {"at_least": 1, **fields}
    matching = [
        outcome
        for outcome in record.outcomes
        if matches(outcome.command, outcome.at_ms, fields)
    ]
    breach = describe_breach(fields, len(matching))
    if not breach:
        return []
    before_ms = fields.get("before_ms")
    line = matching[-1].line if matching else record.line_at(before_ms)
    description = " ".join(
        (
            fields["command"],
            *(f"{k}={v}" for k, v in fields.get("match", {}).items()),
        )
    )
    text = f"{len(matching)} commands match {description}, {breach}"
    return [Difference(line, f"{text} ({expectation.location})")]


def matches(command, at_ms, fields):
    """Returns whether a command has the expected kind, time and fields.

    A field matches if its text begins with the expected value.
    """
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
    """Checks a measure at the end of the replay; a list counts its items."""
    fields = expectation.fields
    value = record.measures.to_document().get(fields["name"])
    if isinstance(value, dict):
        value = value.get(fields.get("key"), 0)
    elif isinstance(value, list):
        value = len(value)
    if value is None:
        breach = "there is no such measure"
    else:
        breach = describe_breach(fields, value)
    if not breach:
        return []
    name = " ".join((fields["name"], fields.get("key", ""))).strip()
    text = f"{name} is {value}, {breach} ({expectation.location})"
    return [Difference(record.line_at(None), text)]


@expectations.register("outcome")
def check_outcome(expectation, record):
    """Compares the commands that one line of the trace led to."""
    line = expectation.fields["line"]
    actual = [str(o.command) for o in record.outcomes if o.line == line]
    expected = expectation.fields["commands"]
    if actual == expected:
        return []
    missing = [text for text in expected if text not in actual]
    extra = [text for text in actual if text not in expected]
    if not missing and not extra:
        missing = ["the same commands in another order or number"]
    text = f"missing {missing}, unexpected {extra} ({expectation.location})"
    return [Difference(line, text)]

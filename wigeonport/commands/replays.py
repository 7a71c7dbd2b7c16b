"""Command ``wigeonport replay``."""

import json

from cleo.commands.command import Command
from cleo.helpers import argument, option

from wigeonport.commands import commands
from wigeonport.expectations import read_expectations
from wigeonport.findings import Findings
from wigeonport.replays import replay_trace
from wigeonport.traces import read_trace

EXIT_SAME = 0
EXIT_DIFFERENT = 1


@commands.register("replay")
class ReplayCommand(Command):
    """Replays a trace through the planner and compares the outcomes."""

    name = "replay"
    description = "Replays a trace and reports outcomes that differ."
    arguments = [argument("trace", "Trace file (JSON Lines).")]
    options = [
        option(
            "expect",
            None,
            "Compares the outcomes with those of this file.",
            flag=False,
        ),
        option(
            "record",
            None,
            "Writes the outcomes to this file, for use with --expect.",
            False,
        ),
        option(
            "set",
            None,
            "Overrides a setting of the trace; takes NAME=VALUE.",
            flag=False,
            multiple=True,
        ),
        option("json", None, "Prints the result as JSON."),
    ]

    def handle(self):
        """Returns exit code 0, or 1 if it reported a finding or difference."""
        findings = Findings()
        trace = read_or_collect(read_trace, self.argument("trace"), findings)
        expected = []
        if self.option("expect"):
            expected = read_or_collect(
                read_expectations, self.option("expect"), findings
            )
        overrides = read_overrides(self.option("set"), findings)
        if findings:
            return self.report_findings(findings)
        replayed = replay_trace(trace, overrides)
        if replayed.is_error():
            return self.report_findings(replayed.error)
        return self.report(replayed.ok, expected)

    def report_findings(self, findings):
        """Prints all findings."""
        if self.option("json"):
            self.line(json.dumps({"findings": findings.lines()}))
        else:
            for text in findings.lines():
                self.line_error(text)
        return EXIT_DIFFERENT

    def report(self, record, expected):
        """Writes the outcomes if asked to; prints measures and differences."""
        if self.option("record"):
            with open(self.option("record"), "w", encoding="utf-8") as file:
                record.write_outcomes(file)
        differences = record.differences(expected)
        if self.option("json"):
            self.line(json.dumps(make_document(record, differences)))
        else:
            for name, value in record.measures.to_document().items():
                self.line(f"{name}: {value}")
            for difference in differences:
                self.line_error(str(difference))
            self.line(f"{len(differences)} outcomes differ")
        return EXIT_DIFFERENT if differences else EXIT_SAME


def make_document(record, differences):
    """Returns the result as a JSON object."""
    return {
        "measures": record.measures.to_document(),
        "differences": [
            {"line": each.line, "text": each.text} for each in differences
        ],
    }


def read_or_collect(read, path, findings):
    """Returns what ``read`` gives, or None after adding its findings."""
    result = read(path)
    if result.is_error():
        findings.extend(result.error)
        return None
    return result.ok


def read_overrides(texts, findings):
    """Returns a dict of setting name to value.

    A value that is not JSON is taken as text.
    """
    overrides = {}
    for text in texts:
        name, separator, value = text.partition("=")
        if not separator:
            findings.add(f"--set {text}", "expected NAME=VALUE")
            continue
        try:
            overrides[name] = json.loads(value)
        except (ValueError, RecursionError):
            overrides[name] = value
    return overrides

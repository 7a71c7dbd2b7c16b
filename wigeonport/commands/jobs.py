"""Commands that explain how batch jobs ran."""

import json

from cleo.helpers import argument, option

from wigeonport.commands import commands
from wigeonport.commands.options import (
    EXIT_DONE,
    EXIT_REFUSED,
    JSON_OPTION,
    PlainCommand,
    UsageError,
)
from wigeonport.commands.timeline import fetch_content
from wigeonport.findings import Findings
from wigeonport.interference_tables import INTERFERENCE_TABLE, render_rows
from wigeonport.job_histories import (
    LogSummary,
    read_log_lines,
    summarize_logs,
)
from wigeonport.job_losses import count_losses, render_plot, render_table
from wigeonport.operator_clients import parse_whole_number

DEFAULT_INTERVAL_MS = 2_000
MIN_INTERVAL_MS = 100


@commands.register("jobs losses")
class JobsLossesCommand(PlainCommand):
    """Prints why jobs were late, refused or lost."""

    name = "jobs losses"
    description = "Explains late, refused and lost jobs from the logs."
    arguments = [
        argument(
            "logs",
            "Files with the output of entries and controls.",
            multiple=True,
        )
    ]
    options = [
        option(
            "interval-ms",
            None,
            "Length of an interval of the plot, in ms.",
            flag=False,
            default=str(DEFAULT_INTERVAL_MS),
        ),
        JSON_OPTION,
    ]

    def handle(self):
        """Prints a table by queue and cause, and a plot over time."""
        interval_ms = parse_whole_number(self.option("interval-ms"))
        if interval_ms is None or interval_ms < MIN_INTERVAL_MS:
            raise UsageError(
                f"--interval-ms must be a whole number from {MIN_INTERVAL_MS}"
            )
        summary, entries, failed = LogSummary(), [], False
        for path in self.argument("logs"):
            try:
                with open(path, encoding="utf-8", errors="replace") as lines:
                    entries += read_log_lines(lines, summary)
            except OSError as error:
                self.print_error(f"{path}: cannot be read: {error.strerror}")
                failed = True
        summarize_logs(entries, summary)
        table = count_losses(summary)
        if self.option("json"):
            self.print(json.dumps({path: dict(table[path]) for path in table}))
        else:
            for line in render_table(table):
                self.print(line)
            for line in render_plot(summary, interval_ms):
                self.print(line)
        if summary.unread:
            self.print_error(f"lines that are no log lines: {summary.unread}")
        return EXIT_REFUSED if failed else EXIT_DONE


@commands.register("jobs interference")
class JobsInterferenceCommand(PlainCommand):
    """Prints which kinds of task slow each other down."""

    name = "jobs interference"
    description = "Shows which kinds of task slow each other down."
    arguments = [
        argument(
            "url",
            "Metrics of the leading control, as http://host:port/metrics.",
        )
    ]
    options = [JSON_OPTION]

    def handle(self):
        """Prints the table; returns 1 if the process has none."""
        findings = Findings()
        url = self.argument("url")
        rows = read_table(url, findings)
        if self.option("json"):
            self.print_json({"rows": rows, "findings": findings.lines()})
        else:
            for line in render_rows(rows):
                self.print(line)
        for line in findings.lines():
            self.print_error(line)
        return EXIT_REFUSED if findings else EXIT_DONE


def read_table(url, findings):
    """Returns the rows of the table in the metrics of a process."""
    content = fetch_content(url, findings)
    if content is None:
        return []
    try:
        return json.loads(content)["tables"][INTERFERENCE_TABLE]
    except (ValueError, KeyError, TypeError):
        text = "has no table: it does not lead, or does not separate tasks"
        findings.add(url, text)
        return []

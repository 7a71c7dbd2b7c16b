"""Command that merges the event logs of several processes."""

import httpcore
import trio
from cleo.helpers import argument

from wigeonport.commands import commands
from wigeonport.commands.options import (
    EXIT_DONE,
    EXIT_REFUSED,
    JSON_OPTION,
    PlainCommand,
)
from wigeonport.findings import Findings
from wigeonport.operator_clients import describe_error, fetch
from wigeonport.timelines import merge, read_lines, render

FETCH_TIMEOUT_MS = 10_000
URL_PREFIX = "http://"


@commands.register("timeline")
class TimelineCommand(PlainCommand):
    """Prints the events of several logs as one timeline."""

    name = "timeline"
    description = "Merges event logs into one timeline in causal order."
    arguments = [
        argument(
            "sources",
            "Event files, or addresses such as http://host:port/events.",
            multiple=True,
        )
    ]
    options = [JSON_OPTION]

    def handle(self):
        """Prints the events, then the sources and lines it could not read."""
        findings = Findings()
        events = []
        for source in self.argument("sources"):
            events += read_source(source, findings)
        merged = merge(events)
        if self.option("json"):
            for event in merged:
                self.print(event.line())
        else:
            for event in merged:
                self.print(render(event))
        for line in findings.lines():
            self.print_error(line)
        return EXIT_REFUSED if findings else EXIT_DONE


def read_source(source, findings):
    """Returns the events of a file or of a running process."""
    if source.startswith(URL_PREFIX):
        return read_url(source, findings)
    try:
        with open(source, "rb") as lines:
            return read_lines(source, lines, findings)
    except OSError as error:
        findings.add(source, f"cannot be read: {error.strerror}")
        return []


def read_url(url, findings):
    """Returns the events that a running process serves."""
    content = fetch_content(url, findings)
    if content is None:
        return []
    return read_lines(url, content.splitlines(), findings)


def fetch_content(url, findings):
    """Returns the body that a running process serves, or None."""
    try:
        status, content = trio.run(fetch, url, FETCH_TIMEOUT_MS)
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
        httpcore.UnsupportedProtocol,
        trio.TooSlowError,
        OSError,
        ValueError,
    ) as error:
        findings.add(url, f"cannot be read: {describe_error(error)}")
        return None
    if status != 200:
        findings.add(url, f"answered with HTTP status {status}, not 200")
        return None
    return content

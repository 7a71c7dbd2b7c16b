"""Merges the event logs of several processes in causal order."""

import heapq
import json

from wigeonport.documents import Field, Reporter, SourceMap, read_fields
from wigeonport.events import GAP, Event, make_gap_event

MAX_LINE_BYTES = 1_048_576
FIELDS = (
    Field("node", "text"),
    Field("run", "whole"),
    Field("sequence", "whole", least=0),
    Field("lamport", "whole", least=0),
    Field("wall_ms", "whole"),
    Field("kind", "text"),
    Field("fields", "mapping"),
)


def read_lines(name, lines, findings):
    """Returns the Events of JSON Lines; reports malformed lines.

    Args:
        name: Name of the source, for the findings.
        lines: Iterable of bytes or texts.
        findings: Findings to which the malformed lines are added.
    """
    events = []
    for number, line in enumerate(lines, start=1):
        location = f"{name}:{number}"
        if not line.strip():
            continue
        event = _read_line(location, line, findings)
        if event is not None:
            events.append(event)
    return events


def _read_line(location, line, findings):
    if len(line) > MAX_LINE_BYTES:
        findings.add(location, f"is longer than {MAX_LINE_BYTES} bytes")
        return None
    try:
        document = json.loads(line)
    except (ValueError, RecursionError) as error:
        findings.add(location, f"is not JSON: {error}")
        return None
    reporter = Reporter(SourceMap(location))
    values = read_fields(FIELDS, document, (), reporter)
    findings.extend(reporter.findings)
    return None if values is None else Event(**values)


def merge(events):
    """Returns all events in causal order, with gap events for missing ones.

    The events of a process stay in sequence, over all its runs. An event
    comes after every event of another process that caused it, because a
    message raises the Lamport number of its receiver. Wall times of different
    VMs are not compared. An event that occurs in several sources is returned
    once.
    """
    streams = {}
    for event in events:
        if event.kind != GAP:
            key = (event.run, event.sequence)
            streams.setdefault(event.node, {}).setdefault(key, event)
    keyed_streams = [
        _with_sort_keys(_with_gaps([stream[key] for key in sorted(stream)]))
        for _, stream in sorted(streams.items())
    ]
    return [
        event
        for _, event in heapq.merge(*keyed_streams, key=lambda keyed: keyed[0])
    ]


def _with_sort_keys(events):
    """Returns pairs of a sort key and an event of one process.

    The keys never decrease, so that the merge keeps the order of the events.
    """
    keyed_events, max_lamport = [], 0
    for event in events:
        max_lamport = max(max_lamport, event.lamport)
        keyed_events.append(((max_lamport, event.node), event))
    return keyed_events


def _with_gaps(events):
    """Inserts a gap event where sequence numbers of a run are missing."""
    result, run, next_sequence = [], None, 1
    for event in events:
        if event.run != run:
            run, next_sequence = event.run, 1
        if event.sequence > next_sequence:
            result.append(
                make_gap_event(event, event.sequence - next_sequence)
            )
        result.append(event)
        next_sequence = event.sequence + 1
    return result


def render(event):
    """Returns an event as one readable line."""
    fields = " ".join(
        f"{key}={json.dumps(value)}" for key, value in event.fields.items()
    )
    text = f"{event.lamport} {event.wall_ms} {event.node} {event.kind}"
    return f"{text} {fields}".rstrip()

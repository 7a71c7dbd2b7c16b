"""Checks the guarantees of the requests against the logs of a run.

Compares the outcomes in the callers' log of ``load.py`` with the run logs of
the endpoint stand-ins and, if given, the list of injected faults. Exits 1 if
a guarantee was violated, and names each violated one.
"""

import argparse
import json
import pathlib
import sys
from collections import Counter, defaultdict

from wigeonport.registries import Registry

guarantees = Registry("guarantee")

LEAVING_GRACE_MS = 3_000
# Callers and endpoints read the same clock, one before and the other after a
# step, and round to milliseconds, so that close times may seem out of order.
CLOCK_TOLERANCE_MS = 5
MAX_PRINTED_VIOLATIONS = 5
COMPLETED, NOT_RUN, NO_OUTCOME = "completed", "not-run", "none"


class RunLogs:
    """Logs of one run of the system.

    Attributes:
        sendings: Documents of the callers' log, one per sending of a request.
        runs: Maps the tag of a request to its runs at endpoints.
        events: Documents of the endpoints' logs, in order of time.
        faults: Injected faults; each has ``process`` (address of an entry),
            ``from_ms`` and ``until_ms``.
    """

    __slots__ = ("sendings", "runs", "events", "faults")

    def __init__(self, sendings, events, faults=()):
        self.sendings = sendings
        self.events = sorted(events, key=lambda event: event["wall_ms"])
        self.faults = faults
        self.runs = defaultdict(list)
        for event in self.events:
            if event["event"] == "run":
                self.runs[event["tag"]].append(event)

    def sendings_by_tag(self):
        """Returns a mapping of the tag of a request to its sendings."""
        by_tag = defaultdict(list)
        for sending in self.sendings:
            by_tag[sending["tag"]].append(sending)
        return by_tag

    def entry_was_faulty(self, sending):
        """Returns whether a fault hit the entry while the request was open.

        If an entry process dies, its callers see a closed connection; no
        outcome can be sent to them then.
        """
        return any(
            fault["process"] == sending["entry"]
            and fault["from_ms"] <= sending["ended_ms"]
            and fault["until_ms"] >= sending["sent_ms"]
            for fault in self.faults
        )


@guarantees.register("R3 whole responses")
def check_responses(logs):
    """Finds completed responses that are cut short or of another request."""
    return [
        f"{sending['tag']}: the response body is {sending['check']}"
        for sending in logs.sendings
        if sending["outcome"] == COMPLETED and sending["check"] != "whole"
    ]


@guarantees.register("R3 completed requests ran")
def check_completed(logs):
    """Finds requests that completed without a run."""
    return [
        f"{sending['tag']}: completed, but no endpoint ran it"
        for sending in logs.sendings
        if sending["outcome"] == COMPLETED
        and not logs.runs.get(sending["tag"])
    ]


@guarantees.register("R4 not-run did not run")
def check_not_run(logs):
    """Finds runs that no sending of the request can have caused.

    A sending with the outcome not-run must not cause a run. A request with a
    key that was first answered not-run may run because of a later sending.
    """
    violations = []
    for tag, sendings in logs.sendings_by_tag().items():
        possible_causes = [s for s in sendings if s["outcome"] != NOT_RUN]
        for run in logs.runs.get(tag, ()):
            latest_ms = run["wall_ms"] + CLOCK_TOLERANCE_MS
            if not any(
                cause["sent_ms"] <= latest_ms for cause in possible_causes
            ):
                violations.append(
                    f"{tag}: outcome not-run, but {run['endpoint']} ran it"
                )
    return violations


@guarantees.register("R5 at most one run")
def check_single_runs(logs):
    """Finds POST requests, with or without a key, that ran repeatedly."""
    violations = []
    for tag, sendings in logs.sendings_by_tag().items():
        if not sendings[0]["key"] and sendings[0]["method"] != "POST":
            continue
        endpoints = [run["endpoint"] for run in logs.runs.get(tag, ())]
        if len(endpoints) > 1:
            violations.append(
                f"{tag}: ran more than once: {', '.join(endpoints)}"
            )
    return violations


@guarantees.register("R6 no work for leaving endpoints")
def check_leaving(logs):
    """Finds requests at endpoints that announced over 3 s ago to leave."""
    violations, leaving_ms = [], {}
    for event in logs.events:
        endpoint, kind = event["endpoint"], event["event"]
        if kind == "leaving":
            leaving_ms[endpoint] = event["wall_ms"]
        elif kind == "ready":
            leaving_ms.pop(endpoint, None)
        elif endpoint in leaving_ms:
            late_ms = event["wall_ms"] - leaving_ms[endpoint]
            if late_ms > LEAVING_GRACE_MS:
                violations.append(
                    f"{endpoint}: request {late_ms} ms after it began to leave"
                )
    return violations


@guarantees.register("R7 every request has an outcome")
def check_outcomes(logs):
    """Finds sendings to an entry without a fault that got no outcome."""
    return [
        f"{sending['tag']}: no outcome from {sending['entry']}: "
        f"{sending['reason']}"
        for sending in logs.sendings
        if sending["outcome"] == NO_OUTCOME
        and not logs.entry_was_faulty(sending)
    ]


def check_guarantees(logs):
    """Returns a mapping of guarantee to the texts of its violations."""
    return {name: guarantees.get(name).ok(logs) for name in guarantees.names()}


def summarize_logs(logs):
    """Returns counts of requests, outcomes and endpoint events."""
    outcome_counts = Counter(s["outcome"] for s in logs.sendings)
    event_counts = Counter(event["event"] for event in logs.events)
    unanswered_count = sum(
        1
        for sending in logs.sendings
        if sending["outcome"] == NO_OUTCOME and logs.entry_was_faulty(sending)
    )
    return {
        "requests": len(logs.sendings_by_tag()),
        "sendings": len(logs.sendings),
        "outcomes": dict(outcome_counts),
        "endpoint_events": dict(event_counts),
        "without_outcome_at_a_faulty_entry": unanswered_count,
    }


def read_lines(paths):
    """Returns the documents of JSON Lines files.

    Skips an incomplete last line, as a killed process may leave it.

    Raises:
        ValueError: If any other line is not JSON.
    """
    documents = []
    for path in paths:
        lines = path.read_text(encoding="utf-8").splitlines()
        for number, line in enumerate(lines):
            try:
                documents.append(json.loads(line))
            except ValueError:
                if number != len(lines) - 1:
                    raise
    return documents


def print_results(logs, violations_by_guarantee):
    """Prints counts and violations; returns the violated guarantees."""
    print(json.dumps(summarize_logs(logs), indent=2))
    for name, violations in violations_by_guarantee.items():
        state = "violated" if violations else "held"
        print(f"{name}: {state}, {len(violations)} violations")
        for violation in violations[:MAX_PRINTED_VIOLATIONS]:
            print(f"  {violation}")
    return [
        name
        for name, violations in violations_by_guarantee.items()
        if violations
    ]


def main(arguments=None):
    """Checks the logs; returns 1 if a guarantee is violated, else 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    paths = {"type": pathlib.Path, "nargs": "+"}
    parser.add_argument("--callers", required=True, **paths)
    parser.add_argument("--endpoints", required=True, **paths)
    parser.add_argument("--faults", default=[], **paths)
    options = parser.parse_args(arguments)
    logs = RunLogs(
        read_lines(options.callers),
        read_lines(options.endpoints),
        read_lines(options.faults),
    )
    violated_guarantees = print_results(logs, check_guarantees(logs))
    for name in violated_guarantees:
        print(f"broken: {name}", file=sys.stderr)
    return 1 if violated_guarantees else 0


if __name__ == "__main__":
    sys.exit(main())

"""Checker: compares what callers were told with what endpoints ran.

It reads the callers' lines of ``load.py``, the run logs of the endpoint
stand-ins and, if given, the list of injected faults, and exits 1 naming each
guarantee that was broken.
"""

import argparse
import json
import pathlib
import sys
from collections import Counter, defaultdict

from wigeonport.registries import Registry

guarantees = Registry("guarantee")

LEAVING_GRACE_MS = 3_000
# The stand-ins and the callers read the same clock, one at the start and one
# at the end of a step, so neighbouring times may differ by a rounding.
CLOCK_SLACK_MS = 5
PRINTED_VIOLATIONS = 5
COMPLETED, NOT_RUN, NO_OUTCOME = "completed", "not-run", "none"


class RunLogs:
    """The logs of one run.

    Attributes:
        sendings: Lines of the callers.
        runs: Runs of the endpoints by tag.
        events: All lines of the endpoints in order of time.
        faults: Faults with ``process``, ``from_ms`` and ``until_ms``.
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
        """Returns the sendings of each request."""
        by_tag = defaultdict(list)
        for sending in self.sendings:
            by_tag[sending["tag"]].append(sending)
        return by_tag

    def entry_was_faulty(self, sending):
        """Returns whether its entry was faulty while the request was open.

        A caller whose entry dies sees a closed connection; that is not an
        answer that wigeonport can give.
        """
        return any(
            fault["process"] == sending["entry"]
            and fault["from_ms"] <= sending["ended_ms"]
            and fault["until_ms"] >= sending["sent_ms"]
            for fault in self.faults
        )


@guarantees.register("R3 whole responses")
def check_responses(logs):
    """A completed response is whole and belongs to its request."""
    return [
        f"{sending['tag']}: the body is {sending['check']}"
        for sending in logs.sendings
        if sending["outcome"] == COMPLETED and sending["check"] != "whole"
    ]


@guarantees.register("R3 completed requests ran")
def check_completed(logs):
    """A request that completed did run."""
    return [
        f"{sending['tag']}: completed, but no endpoint ran it"
        for sending in logs.sendings
        if sending["outcome"] == COMPLETED
        and not logs.runs.get(sending["tag"])
    ]


@guarantees.register("R4 not-run did not run")
def check_not_run(logs):
    """Each run has a sending that may have caused it.

    A sending whose outcome is not-run causes no run. A keyed request that
    was not run at first may run because of a later sending.
    """
    violations = []
    for tag, sendings in logs.sendings_by_tag().items():
        causes = [s for s in sendings if s["outcome"] != NOT_RUN]
        for run in logs.runs.get(tag, ()):
            latest_ms = run["wall_ms"] + CLOCK_SLACK_MS
            if not any(cause["sent_ms"] <= latest_ms for cause in causes):
                violations.append(
                    f"{tag}: told not-run, but {run['endpoint']} ran it"
                )
    return violations


@guarantees.register("R5 at most one run")
def check_single_runs(logs):
    """A request with a key and a POST without one run at most once."""
    violations = []
    for tag, sendings in logs.sendings_by_tag().items():
        if not sendings[0]["key"] and sendings[0]["method"] != "POST":
            continue
        places = [run["endpoint"] for run in logs.runs.get(tag, ())]
        if len(places) > 1:
            violations.append(f"{tag}: ran at {', '.join(places)}")
    return violations


@guarantees.register("R6 no work for leaving endpoints")
def check_leaving(logs):
    """No work arrives 3 s after an endpoint announced that it leaves."""
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
                violations.append(f"{endpoint}: work after {late_ms} ms")
    return violations


@guarantees.register("R7 every request has an outcome")
def check_outcomes(logs):
    """Every request that reached a working entry has an outcome."""
    return [
        f"{sending['tag']}: no outcome from {sending['entry']}: "
        f"{sending['reason']}"
        for sending in logs.sendings
        if sending["outcome"] == NO_OUTCOME
        and not logs.entry_was_faulty(sending)
    ]


def check_guarantees(logs):
    """Returns the violations by guarantee."""
    return {name: guarantees.get(name).ok(logs) for name in guarantees.names()}


def count(logs):
    """Returns the counts that are printed."""
    outcomes = Counter(s["outcome"] for s in logs.sendings)
    kinds = Counter(event["event"] for event in logs.events)
    excused = sum(
        1
        for sending in logs.sendings
        if sending["outcome"] == NO_OUTCOME and logs.entry_was_faulty(sending)
    )
    return {
        "requests": len(logs.sendings_by_tag()),
        "sendings": len(logs.sendings),
        "outcomes": dict(outcomes),
        "endpoint_events": dict(kinds),
        "without_outcome_at_a_faulty_entry": excused,
    }


def read_lines(paths):
    """Returns the documents of JSON Lines files.

    A process that was killed may leave a last line cut short; it is skipped.
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


def print_results(logs, verdict):
    """Prints counts and violations; returns the names of the broken."""
    print(json.dumps(count(logs), indent=2))
    for name, violations in verdict.items():
        state = "broken" if violations else "held"
        print(f"{name}: {state}, {len(violations)} violations")
        for violation in violations[:PRINTED_VIOLATIONS]:
            print(f"  {violation}")
    return [name for name, violations in verdict.items() if violations]


def main(arguments=None):
    """Reads the logs and exits 1 if a guarantee is broken."""
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
    broken = print_results(logs, check_guarantees(logs))
    for name in broken:
        print(f"broken: {name}", file=sys.stderr)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())

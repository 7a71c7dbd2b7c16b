"""Tests that the outcome checker finds each kind of violation."""

import json

import outcomes
import pytest


def sending(tag, outcome="completed", **changes):
    """Returns a log line of a caller."""
    return {
        "tag": tag,
        "key": "",
        "service": "roster",
        "method": "GET",
        "entry": "127.0.0.1:1",
        "sent_ms": 1_000,
        "ended_ms": 1_050,
        "status": 200,
        "outcome": outcome,
        "reason": "",
        "check": "whole" if outcome == "completed" else "absent",
        "number": 1,
    } | changes


def event(kind, wall_ms=1_020, tag="", endpoint="roster-1"):
    """Returns a log line of an endpoint."""
    return {
        "endpoint": endpoint,
        "event": kind,
        "wall_ms": wall_ms,
        "tag": tag,
    }


def keyed(tag, **changes):
    """Returns a log line of a caller for a request with a key."""
    return sending(tag, **({"key": f"k-{tag}", "method": "POST"} | changes))


@pytest.fixture
def valid_logs():
    """Logs that keep every guarantee and contain each permitted exception."""
    sendings = [
        sending("plain"),
        sending("refused", "not-run"),
        keyed("once"),
        # Refused at first, then run by a later sending.
        keyed("later", outcome="not-run", check="absent"),
        keyed("later", sent_ms=1_100, ended_ms=1_150, number=2),
        sending("lost", "none", entry="127.0.0.1:2"),
        # The caller closed the connection itself; the request may have run.
        sending("left", "abandoned"),
    ]
    events = [
        event("ready", 0),
        event("run", tag="plain"),
        # A repeatable request may run twice.
        event("run", 1_030, tag="plain", endpoint="roster-2"),
        event("run", tag="once"),
        event("run", tag="left"),
        event("run", 1_120, tag="later"),
        event("leaving", 5_000, endpoint="roster-2"),
        event("refused-leaving", 7_900, endpoint="roster-2"),
        event("ready", 9_000, endpoint="roster-2"),
        event("run", 9_500, tag="once-more", endpoint="roster-2"),
    ]
    faults = [{"process": "127.0.0.1:2", "from_ms": 900, "until_ms": 1_020}]
    return sendings, events, faults


def broken_guarantees(sendings, events, faults):
    """Returns the names of the broken guarantees."""
    verdict = outcomes.check_guarantees(
        outcomes.RunLogs(sendings, events, faults)
    )
    return [name for name, violations in verdict.items() if violations]


def test_valid_logs_pass(valid_logs):
    """Logs that keep all guarantees must give no violation.

    It fails if the checker reports a permitted exception, for example a
    second run of a repeatable request.
    """
    assert broken_guarantees(*valid_logs) == []


INJECTED = {
    "double run of a key": (
        [],
        [event("run", 1_040, "once", "roster-2")],
        "R5 at most one run",
    ),
    "double run of a POST": (
        [sending("post", method="POST")],
        [event("run", tag="post"), event("run", 1_030, tag="post")],
        "R5 at most one run",
    ),
    "not-run that ran": (
        [],
        [event("run", tag="refused")],
        "R4 not-run did not run",
    ),
    "keyed not-run that ran before the later sending": (
        [
            keyed("early", outcome="not-run", check="absent"),
            keyed("early", sent_ms=1_100, ended_ms=1_150, number=2),
        ],
        [event("run", 1_020, "early")],
        "R4 not-run did not run",
    ),
    "partial response": (
        [sending("cut", check="partial")],
        [event("run", tag="cut")],
        "R3 whole responses",
    ),
    "response to another request": (
        [sending("other", check="foreign")],
        [event("run", tag="other")],
        "R3 whole responses",
    ),
    "completed without a run": (
        [sending("invented")],
        [],
        "R3 completed requests ran",
    ),
    "run at a leaving endpoint": (
        [],
        [event("run", 8_100, "late", "roster-2")],
        "R6 no work for leaving endpoints",
    ),
    "work refused by a leaving endpoint too late": (
        [],
        [event("refused-leaving", 8_001, endpoint="roster-2")],
        "R6 no work for leaving endpoints",
    ),
    "no outcome at a working entry": (
        [sending("lost-too", "none")],
        [],
        "R7 every request has an outcome",
    ),
    "no outcome after the fault": (
        [sending("l", "none", entry="127.0.0.1:2", sent_ms=1_030)],
        [],
        "R7 every request has an outcome",
    ),
}


@pytest.mark.parametrize("name", INJECTED)
def test_injected_violation_is_found(valid_logs, name):
    """Each injected violation must be reported under its guarantee.

    It fails if the checker overlooks it: load tests would then pass although
    a guarantee is broken.
    """
    sendings, events, faults = valid_logs
    more_sendings, more_events, guarantee = INJECTED[name]
    logs = (sendings + more_sendings, events + more_events, faults)
    assert broken_guarantees(*logs) == [guarantee]


def test_exit_code_names_the_guarantee(valid_logs, tmp_path, capsys):
    """A broken guarantee must give exit code 1 and be named on stderr.

    It fails if the exit code is 0, or if an incomplete last line stops the
    check: a script would then not notice the failure.
    """
    sendings, events, _ = valid_logs
    callers, endpoints = tmp_path / "callers", tmp_path / "endpoints"
    callers.write_text("\n".join(map(json.dumps, sendings)))
    endpoints.write_text("\n".join(map(json.dumps, events)) + '\n{"cut')
    arguments = ["--callers", str(callers), "--endpoints", str(endpoints)]
    assert outcomes.main(arguments) == 1
    assert "broken: R7" in capsys.readouterr().err

"""Tests of the trace format and of the replay command."""

import io
import json
import os
import pathlib
import subprocess
import sys

import pytest
from cleo.application import Application
from cleo.testers.command_tester import CommandTester
from planning_fixtures import TRACES

from wigeonport.commands.replays import ReplayCommand
from wigeonport.expectations import read_expectations
from wigeonport.plan_events import DemandReported, VmReported
from wigeonport.plan_settings import PlanSettings
from wigeonport.planners import Planner
from wigeonport.replays import Replay, replay_trace
from wigeonport.trace_recorders import TraceRecorder
from wigeonport.traces import TraceReader, TraceWriter, read_trace

ROOT = pathlib.Path(__file__).parent.parent
HEADER = '{"kind":"header","format":1}'
TICK = '{"at_ms":5,"kind":"tick"}'


def read(*lines):
    """Reads the lines of a trace."""
    return TraceReader("t").read(lines)


def test_every_bad_line_is_a_finding_with_its_number():
    """Guards against a reader that stops at the first bad line."""
    result = read(
        HEADER,
        "{",
        '{"at_ms":1,"kind":"unknown"}',
        '{"at_ms":2,"kind":"vm","vm":"a","state":"asleep","sequence":1}',
        '{"at_ms":3,"kind":"demand","service":"roster"}',
        TICK,
        '{"at_ms":4,"kind":"tick","extra":1}',
        '{"kind":"tick"}',
        '{"at_ms":9,"kind":"fleet","fleet":{"version":1}}',
        "[]",
    )
    places = [finding.location for finding in result.error.items]
    lines = {int(location.split(":")[1]) for location in places}
    assert lines == {2, 3, 4, 5, 7, 8, 9, 10}


@pytest.mark.parametrize(
    "header",
    [
        TICK,
        '{"kind":"header","format":2}',
        '{"kind":"header","format":1,"settings":{"borow":1}}',
        '{"kind":"header","format":1,"seed":"x"}',
        '{"kind":"header","format":1,"answers":{"drain_ms":-1}}',
    ],
)
def test_bad_header_is_a_finding(header):
    """Guards against a replay with other settings than recorded."""
    assert str(read(header, TICK).error).startswith("t:1")


def test_empty_trace_is_a_finding():
    """Guards against an empty file that passes as a good replay."""
    assert read().is_error()


def test_written_events_are_read_back():
    """Guards against fields that the writer loses."""
    file = io.StringIO()
    writer = TraceWriter(file)
    writer.write_header({"seed": 3})
    writer.write(7, VmReported("vm-1", "ready", 2))
    writer.write(8, DemandReported("roster", 1.5, 6))
    trace = read(*file.getvalue().splitlines()).ok
    assert trace.header.seed == 3
    first, second = trace.events
    assert (first.at_ms, first.line) == (7, 2)
    assert (first.event.vm, first.event.sequence) == ("vm-1", 2)
    assert (second.event.slots, second.event.measured_ms) == (1.5, 6)


def test_generated_traces_are_stable_under_rewriting():
    """Guards against an event whose written form differs from the read."""
    path = TRACES / "lagos_urgent_work.jsonl"
    trace = read_trace(path).ok
    file = io.StringIO()
    writer = TraceWriter(file)
    for item in trace.events:
        writer.write(item.at_ms, item.event)
    assert file.getvalue().splitlines() == path.read_text().splitlines()[1:]


def test_recorded_run_replays_to_the_same_commands(tmp_path):
    """Guards against decisions that a recorded trace does not reproduce."""
    closed = read_trace(TRACES / "lagos_failures_in_wave.jsonl").ok
    path = tmp_path / "open.jsonl"
    with path.open("w") as file:
        settings = closed.header.settings
        recorder = TraceRecorder(file, 10**8, settings, closed.header.seed)
        replay = Replay(closed.header, Planner(settings), recorder)
        first = replay.run(closed.events)
    opened = read_trace(path)
    assert opened.is_ok(), str(opened.error)
    second = replay_trace(opened.ok).ok
    assert second.violations == []
    texts = [
        [f"{o.at_ms} {o.command.command_id} {o.command}" for o in r.outcomes]
        for r in (first, second)
    ]
    assert texts[0] == texts[1]


def test_recording_ends_at_its_bound():
    """Guards against a trace that fills the disk."""
    file = io.StringIO()
    recorder = TraceRecorder(file, 2_500, PlanSettings(), 1)
    for second in range(1_000):
        recorder.record(VmReported("vm-1", "ready", second), second)
    assert 2_500 <= len(file.getvalue()) < 2_600
    assert TraceReader("t").read(file.getvalue().splitlines()).is_ok()


def test_bad_expectations_are_findings(tmp_path):
    """Guards against a mistyped expectation that always holds."""
    path = tmp_path / "expect"
    path.write_text(
        '{"expect":"commands","command":"dance"}\n'
        '{"expect":"measure"}\n'
        '{"expect":"nothing"}\n'
        '{"expect":"measure","name":"moves","at_mots":1}\n'
    )
    found = read_expectations(path).error
    lines = [int(f.location.split("expect:")[1][0]) for f in found.items]
    assert lines == [1, 2, 3, 4]


@pytest.fixture
def run_command():
    """Runs the replay command; returns exit code and output."""

    def run(arguments):
        command = ReplayCommand()
        Application().add(command)
        tester = CommandTester(command)
        code = tester.execute(arguments)
        return code, tester.io.fetch_output(), tester.io.fetch_error()

    return run


def test_command_exits_zero_and_prints_json(run_command):
    """Guards against an exit code that hides the result."""
    trace = TRACES / "lagos_rotation.jsonl"
    expect = TRACES / "lagos_rotation.expect.jsonl"
    code, output, _ = run_command(f"{trace} --expect {expect} --json")
    assert code == 0
    assert json.loads(output)["measures"]["moves"] == 0


def test_command_reports_differences(run_command):
    """Guards against a difference that is printed but not signalled."""
    trace = TRACES / "lagos_rotation.jsonl"
    expect = TRACES / "lagos_rotation.expect.jsonl"
    code, _, error = run_command(
        f"{trace} --expect {expect} --set borrow_policy=follow_demand"
    )
    assert code == 1
    assert "line " in error


def test_command_reports_all_findings(run_command, tmp_path):
    """Guards against findings of one file hiding those of the other."""
    bad = tmp_path / "bad"
    bad.write_text("{\n[]\n")
    code, _, error = run_command(f"{bad} --expect {bad} --set x")
    assert code == 1
    assert len(error.splitlines()) == 5


def test_recorded_outcomes_hold_on_replay(run_command, tmp_path):
    """Guards against a record that its own trace does not meet."""
    trace = TRACES / "lagos_second_loss.jsonl"
    record = tmp_path / "record.jsonl"
    assert run_command(f"{trace} --record {record}")[0] == 0
    assert run_command(f"{trace} --expect {record}")[0] == 0


def test_traces_are_those_of_the_generator(tmp_path):
    """Guards against traces that no longer fit their generator."""
    script = ROOT / "tools" / "generate_traces.py"
    environment = os.environ | {"PYTHONPATH": str(ROOT)}
    subprocess.run(
        [sys.executable, script, tmp_path], check=True, env=environment
    )
    names = sorted(path.name for path in tmp_path.iterdir())
    assert len(names) >= 32
    for name in names:
        committed = (TRACES / name).read_text()
        assert (tmp_path / name).read_text() == committed, name

"""Tests of the trace format, trace recording and the replay command."""

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


def read_lines(*lines):
    """Decodes trace lines; returns a Result of a Trace."""
    return TraceReader("t").read(lines)


def test_every_bad_line_is_a_finding_with_its_number():
    """A reader that stops at the first bad line hides the later ones."""
    result = read_lines(
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
    locations = [finding.location for finding in result.error.items]
    lines = {int(location.split(":")[1]) for location in locations}
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
    """A header accepted in spite of a fault would replay other settings.

    A mistyped setting, for example, would silently keep its default.
    """
    assert str(read_lines(header, TICK).error).startswith("t:1")


@pytest.mark.parametrize(
    "line",
    [
        "[" * 5_000 + "]" * 5_000,
        "9" * 5_000,
        '{"at_ms":1,"kind":["vm"]}',
        '{"at_ms":1,"kind":{}}',
        '{"at_ms":1e999,"kind":"tick"}',
    ],
)
def test_line_that_cannot_be_represented_is_a_finding(line):
    """Guards against a replay that ends without naming the line."""
    result = read_lines('{"kind":"header","format":1}', line)
    (finding,) = result.error.items
    assert finding.location.startswith("t:2")


def test_empty_trace_is_a_finding():
    """An empty trace has no violations, so it would pass as a good replay."""
    assert read_lines().is_error()


def test_written_events_are_read_back():
    """A field that the writer omits or the reader misplaces would be lost."""
    file = io.StringIO()
    writer = TraceWriter(file)
    writer.write_header({"seed": 3})
    writer.write(7, VmReported("vm-1", "ready", 2))
    writer.write(8, DemandReported("roster", 1.5, 6))
    trace = read_lines(*file.getvalue().splitlines()).ok
    assert trace.header.seed == 3
    first, second = trace.events
    assert (first.at_ms, first.line) == (7, 2)
    assert (first.event.vm, first.event.sequence) == ("vm-1", 2)
    assert (second.event.slots, second.event.measured_ms) == (1.5, 6)


def test_generated_trace_is_unchanged_by_reading_and_writing():
    """Decoding and encoding must be inverse for every kind in the trace.

    Otherwise an event changes when a replayed trace is written again.
    """
    path = TRACES / "lagos_urgent_work.jsonl"
    trace = read_trace(path).ok
    file = io.StringIO()
    writer = TraceWriter(file)
    for item in trace.events:
        writer.write(item.at_ms, item.event)
    assert file.getvalue().splitlines() == path.read_text().splitlines()[1:]


def test_recorded_run_replays_to_the_same_commands(tmp_path):
    """A recording that misses an event would replay to other commands."""
    original = read_trace(TRACES / "lagos_failures_in_wave.jsonl").ok
    path = tmp_path / "open.jsonl"
    with path.open("w") as file:
        settings = original.header.settings
        recorder = TraceRecorder(file, 10**8, settings, original.header.seed)
        replay = Replay(original.header, Planner(settings), recorder)
        first = replay.run(original.events)
    recorded = read_trace(path)
    assert recorded.is_ok(), str(recorded.error)
    second = replay_trace(recorded.ok).ok
    assert second.violations == []
    command_texts = [
        [f"{o.at_ms} {o.command.command_id} {o.command}" for o in r.outcomes]
        for r in (first, second)
    ]
    assert command_texts[0] == command_texts[1]


def test_recording_ends_at_its_maximum_size():
    """A recording that runs past its maximum size would fill the disk."""
    file = io.StringIO()
    recorder = TraceRecorder(file, 2_500, PlanSettings(), 1)
    for second in range(1_000):
        recorder.record(VmReported("vm-1", "ready", second), second)
    assert 2_500 <= len(file.getvalue()) < 2_600
    assert TraceReader("t").read(file.getvalue().splitlines()).is_ok()


def test_bad_expectations_are_findings(tmp_path):
    """An accepted typo would make an expectation that always holds."""
    path = tmp_path / "expect"
    path.write_text(
        '{"expect":"commands","command":"dance"}\n'
        '{"expect":"measure"}\n'
        '{"expect":"nothing"}\n'
        '{"expect":"measure","name":"moves","at_mots":1}\n'
        + "[" * 5_000
        + "]" * 5_000
        + '\n{"expect":["measure"]}\n'
    )
    findings = read_expectations(path).error
    lines = [int(f.location.split("expect:")[1][0]) for f in findings.items]
    assert lines == [1, 2, 3, 4, 5, 6]


@pytest.fixture
def run_command():
    """Runs the replay command; returns exit code, output and errors."""

    def run(arguments):
        command = ReplayCommand()
        Application().add(command)
        tester = CommandTester(command)
        code = tester.execute(arguments)
        return code, tester.io.fetch_output(), tester.io.fetch_error()

    return run


def test_command_exits_zero_and_prints_json(run_command):
    """A replay that meets its expectations must not look like a failure."""
    trace = TRACES / "lagos_rotation.jsonl"
    expect = TRACES / "lagos_rotation.expect.jsonl"
    code, output, _ = run_command(f"{trace} --expect {expect} --json")
    assert code == 0
    assert json.loads(output)["measures"]["moves"] == 0


def test_command_reports_differences(run_command):
    """A script would miss a difference that leaves the exit code at 0."""
    trace = TRACES / "lagos_rotation.jsonl"
    expect = TRACES / "lagos_rotation.expect.jsonl"
    code, _, error = run_command(
        f"{trace} --expect {expect} --set borrow_policy=follow_demand"
    )
    assert code == 1
    assert "line " in error


def test_command_reports_all_findings(run_command, tmp_path):
    """Findings of the trace must not hide those of the other arguments."""
    bad = tmp_path / "bad"
    bad.write_text("{\n[]\n")
    code, _, error = run_command(f"{bad} --expect {bad} --set x")
    assert code == 1
    assert len(error.splitlines()) == 5


def test_recorded_outcomes_hold_on_replay(run_command, tmp_path):
    """A written expect file must hold for the trace that it comes from."""
    trace = TRACES / "lagos_second_loss.jsonl"
    record = tmp_path / "record.jsonl"
    assert run_command(f"{trace} --record {record}")[0] == 0
    assert run_command(f"{trace} --expect {record}")[0] == 0


def test_traces_are_those_of_the_generator(tmp_path):
    """The traces and their generator could diverge if only one is changed."""
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

"""Tests of the event log and the merged timeline."""

import json
import random

import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonport import events as events_module
from wigeonport.clocks import LamportCounter, ManualClock
from wigeonport.events import EventLog, append, write_events
from wigeonport.findings import Findings
from wigeonport.metrics import Metrics
from wigeonport.timelines import merge, read_lines, render


def make_log(node, clock, **options):
    """Returns an event log with its own Lamport counter."""
    options.setdefault("ring_bound", 100)
    return EventLog(node, clock, LamportCounter(), **options)


def events_of(*logs):
    """Returns the events read from the lines of several logs."""
    findings = Findings()
    events = []
    for log in logs:
        events += read_lines(log.node, log.lines(), findings)
    assert not findings
    return events


def kinds(events):
    """Returns a text ``NODE:KIND`` for every event."""
    return [f"{event.node}:{event.kind}" for event in events]


def test_effect_follows_its_cause_although_clocks_differ():
    """An effect must come after its cause although its clock is behind.

    The wall clocks of VMs differ, so an order by wall time would be wrong.
    """
    ahead = make_log("a", ManualClock(9_000_000))
    behind = make_log("b", ManualClock(1_000))
    cause = ahead.record("sent")
    behind.lamport.observe(cause.lamport)
    behind.record("received")
    ahead.lamport.observe(behind.record("answered").lamport)
    ahead.record("done")
    merged = kinds(merge(events_of(behind, ahead)))
    assert merged == [
        "b:start",
        "a:start",
        "a:sent",
        "b:received",
        "b:answered",
        "a:done",
    ]


def test_new_run_follows_the_earlier_run():
    """Events of a new run must come after those of the earlier run.

    With a Lamport counter that restarts at 0 they would come first.
    """
    clock = ManualClock(1_000)
    first = make_log("a", clock)
    first.lamport.observe(50_000)
    first.record("old")
    clock.advance(10)
    second = make_log("a", clock)
    second.record("new")
    merged = kinds(merge(events_of(second, first)))
    assert merged == ["a:start", "a:old", "a:start", "a:new"]


def test_full_ring_records_a_gap(clock):
    """Events that a full ring drops must be shown as a gap, not omitted."""
    log = make_log("a", clock, ring_bound=2)
    for number in range(5):
        log.record("step", number=number)
    lines = [json.loads(line) for line in log.lines()]
    assert [line["kind"] for line in lines] == ["gap", "step", "step"]
    assert lines[0]["fields"] == {"lost": 4}
    merged = merge(events_of(log))
    assert kinds(merged) == ["a:gap", "a:step", "a:step"]


def test_several_sources_of_one_process_are_joined(clock):
    """An event that two sources of a process contain must be listed once."""
    log = make_log("a", clock)
    log.record("one")
    before = events_of(log)
    log.record("two")
    merged = merge(before + events_of(log))
    assert kinds(merged) == ["a:start", "a:one", "a:two"]


def test_missing_sequence_numbers_become_a_gap(clock):
    """Events that are missing in the middle must be shown as a gap."""
    log = make_log("a", clock)
    for _ in range(3):
        log.record("step")
    events = events_of(log)
    merged = merge([events[0], events[3]])
    assert kinds(merged) == ["a:start", "a:gap", "a:step"]
    assert merged[1].fields == {"lost": 2}


def test_file_holds_every_event_over_restarts(tmp_path, clock):
    """No event may be lost when a process stops or crashes.

    A crash leaves an incomplete last line; the next run must not append to
    it, and a reader reports that line only.
    """
    path = tmp_path / "deep" / "events.jsonl"

    async def run(*names):
        log = make_log("a", clock, has_file=True)
        for name in names:
            log.record(name)
        log.writer.close()
        await write_events(log, path, Metrics())
        clock.advance(5)

    trio.run(run, "one", "two")
    with path.open("ab") as target:
        target.write(b'{"node": "a", "ru')
    trio.run(run, "three")
    findings = Findings()
    with path.open("rb") as source:
        merged = merge(read_lines(str(path), source, findings))
    assert kinds(merged) == [
        "a:start",
        "a:one",
        "a:two",
        "a:start",
        "a:three",
    ]
    assert [item.location for item in findings.items] == [f"{path}:4"]


def test_slow_writer_leaves_a_gap_in_the_file(tmp_path, clock, monkeypatch):
    """Events that the writer's full mailbox refuses must not vanish silently.

    A gap event takes their place in the file.
    """
    monkeypatch.setattr(events_module, "WRITER_BOUND", 2)
    path = tmp_path / "events.jsonl"

    async def run():
        log = make_log("a", clock, has_file=True)
        for _ in range(4):
            log.record("step")
        assert await log.writer.get()
        log.record("last")
        log.writer.close()
        await write_events(log, path, Metrics())

    trio.run(run)
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    assert [line["kind"] for line in lines] == ["step", "gap", "last"]
    assert lines[1]["fields"] == {"lost": 3}


def test_full_file_starts_a_new_one(tmp_path):
    """The event file must not grow without limit and fill the disk."""
    path = tmp_path / "events.jsonl"
    for number in range(4):
        append(path, b"%d" % number * 8 + b"\n", 20)
    assert path.read_bytes() == b"22222222\n33333333\n"
    old = path.with_name("events.jsonl.1")
    assert old.read_bytes() == b"00000000\n11111111\n"


def test_unwritable_file_is_counted(tmp_path, clock):
    """A file that cannot be written must not stop the process.

    The lost events are counted.
    """
    (tmp_path / "file").write_text("")

    async def run():
        metrics = Metrics()
        log = make_log("a", clock, has_file=True)
        log.writer.close()
        await write_events(log, tmp_path / "file" / "x", metrics)
        assert metrics.counters["events_lost"] == 1

    trio.run(run)


@pytest.mark.parametrize("seed", range(20))
def test_merge_is_causal_for_random_exchanges(seed):
    """Every effect must follow its cause, in any order of the sources."""
    source = random.Random(seed)
    clocks = [ManualClock(source.randrange(10**6)) for _ in range(4)]
    logs = [make_log(f"n{i}", clock) for i, clock in enumerate(clocks)]
    causes = {}
    for step in range(60):
        sender, receiver = source.sample(logs, 2)
        sent = sender.record("sent", step=step)
        receiver.lamport.observe(sent.lamport)
        causes[step] = receiver.record("received", step=step)
        source.choice(clocks).advance(source.randrange(100))
    shuffled = events_of(*logs)
    source.shuffle(shuffled)
    seen, last = set(), {}
    for event in merge(shuffled):
        if event.kind == "sent":
            seen.add(event.fields["step"])
        if event.kind == "received":
            assert event.fields["step"] in seen
        assert event.sequence == last.get(event.node, 0) + 1
        last[event.node] = event.sequence
    assert len(seen) == len(causes)


@given(
    lines=st.lists(
        st.binary(max_size=30)
        | st.text(max_size=20)
        | st.sampled_from([b"{}", b"[]", b'{"node": 1}', b"[" * 9_999]),
        max_size=4,
    )
)
@settings(max_examples=100, derandomize=True, deadline=None)
def test_malformed_lines_are_findings(lines):
    """Every malformed line must be a finding.

    It must neither raise an error nor be skipped silently.
    """
    findings = Findings()
    assert read_lines("x", lines, findings) == []
    nonblank_lines = [line for line in lines if line.strip()]
    line_numbers = {item.location.split(":")[1] for item in findings.items}
    assert len(line_numbers) == len(nonblank_lines)


def test_rendered_line_is_readable(clock):
    """A line must show node, kind and fields, so that it can be searched."""
    log = make_log("a", clock)
    line = render(log.record("moved", worker="vm-1", ok=True))
    assert line.endswith('a moved worker="vm-1" ok=true')

"""Replays a trace through the planner and compares the outcomes."""

import json
import random

from expression import Ok, Result

from wigeonport import replay_tasks  # noqa: F401 - registers its answers
from wigeonport.expectations import Difference
from wigeonport.invariants import InvariantChecker
from wigeonport.plan_events import (
    CommandConfirmed,
    CommandRefused,
    FleetLoaded,
    Tick,
)
from wigeonport.plan_settings import DEFAULTS, read_plan_settings
from wigeonport.planners import build_planner
from wigeonport.replay_measures import Measures
from wigeonport.replay_platforms import AnswerPlatform
from wigeonport.trace_kinds import ActualJob, WorldChanged
from wigeonport.view_documents import copy_fleet

WORLD_ONLY = (ActualJob, WorldChanged)


class Outcome:
    """A command and the event from which it followed.

    Attributes:
        line: Line of the trace event; answers and ticks that the replay
            adds have the line of the last event before them.
        at_ms: Time of the command.
        command: The Command.
    """

    __slots__ = ("line", "at_ms", "command")

    def __init__(self, line, at_ms, command):
        self.line = line
        self.at_ms = at_ms
        self.command = command


class ReplayRecord:
    """Everything that a replay has shown.

    Attributes:
        outcomes: Outcomes in order.
        violations: Differences found by the invariants.
        measures: Measures.
        lines: (time, line) of each event of the trace.
    """

    __slots__ = ("outcomes", "violations", "measures", "lines")

    def __init__(self):
        self.outcomes = []
        self.violations = []
        self.measures = Measures()
        self.lines = []

    def line_at(self, at_ms):
        """Returns the line of the last event up to a time, or of all."""
        last = 1
        for event_ms, line in self.lines:
            if at_ms is not None and event_ms > at_ms:
                break
            last = line
        return last

    def differences(self, expected):
        """Returns violations and differences from the Expectations."""
        found = list(self.violations)
        for expectation in expected:
            found.extend(expectation.check(self))
        return sorted(found, key=lambda difference: difference.line)

    def write_outcomes(self, file):
        """Writes an expect file with the commands of each line."""
        by_line = {}
        for outcome in self.outcomes:
            texts = by_line.setdefault(outcome.line, [])
            texts.append(str(outcome.command))
        for line, texts in by_line.items():
            document = {"expect": "outcome", "line": line, "commands": texts}
            file.write(json.dumps(document) + "\n")


class Replay:
    """One run of a trace.

    Attributes:
        header: TraceHeader.
        planner: Planner.
        platform: AnswerPlatform, or None if the trace holds the answers.
        checker: InvariantChecker.
        record: ReplayRecord.
        random: Source of randomness with the trace's seed.
        tick_at_ms: Time of the next added tick, or None.
        line: Line of the last trace event.
        issued: Ids of all commands.
        recorder: TraceRecorder of what reaches the planner, or None.
    """

    __slots__ = (
        "header",
        "planner",
        "platform",
        "checker",
        "record",
        "random",
        "tick_at_ms",
        "line",
        "issued",
        "recorder",
    )

    def __init__(self, header, planner, recorder=None):
        self.header = header
        self.planner = planner
        self.recorder = recorder
        self.platform = None
        if header.answers is not None:
            self.platform = AnswerPlatform(header.answers)
        # The hold is a requirement on the outcome, not a choice of policy.
        self.checker = InvariantChecker(
            DEFAULTS["healthy_hold_ms"], DEFAULTS["report_stale_ms"]
        )
        self.record = ReplayRecord()
        self.random = random.Random(header.seed)
        self.tick_at_ms = None
        self.line = 1
        self.issued = set()

    def run(self, events):
        """Feeds all events and what follows until the end time."""
        for item in events:
            if self.tick_at_ms is None and self.header.tick_ms:
                self.tick_at_ms = item.at_ms + self.header.tick_ms
            self.run_until(item.at_ms)
            self.line = item.line
            self.record.lines.append((item.at_ms, item.line))
            self.feed_recorded(item.event, item.at_ms)
        self.run_until(self.header.end_ms)
        return self.record

    def run_until(self, until_ms):
        """Feeds the answers and ticks that are due before a time."""
        while True:
            answer_ms = self.platform.next_ms() if self.platform else None
            times = [t for t in (answer_ms, self.tick_at_ms) if t is not None]
            if not times or min(times) > until_ms:
                return
            if answer_ms is not None and answer_ms == min(times):
                event = self.platform.take()
                if event is not None:
                    self.feed(event, answer_ms)
            else:
                now_ms, self.tick_at_ms = self.tick_at_ms, None
                self.tick_at_ms = now_ms + self.header.tick_ms
                self.feed(Tick(), now_ms)

    def feed_recorded(self, event, now_ms):
        """Feeds an event of the trace."""
        if isinstance(event, FleetLoaded):
            # The planner changes its fleet; the trace may be run again.
            event = FleetLoaded(copy_fleet(event.fleet), event.grants)
        if self.platform is not None:
            self.platform.observe(event, now_ms)
        if not isinstance(event, WORLD_ONLY):
            self.feed(event, now_ms)

    def feed(self, event, now_ms):
        """Feeds one event to the planner and checks what follows."""
        if self.recorder is not None:
            self.recorder.record(event, now_ms)
        view = self.planner.view
        measures = self.record.measures
        measures.pass_time(view, now_ms)
        measures.note_event(event, now_ms)
        self.checker.observe(event, now_ms)
        self.check_answer(event)
        commands = self.planner.step(event, now_ms, self.random)
        for text in self.checker.check(view, commands, now_ms):
            self.record.violations.append(Difference(self.line, text))
        for command in commands:
            self.issued.add(command.command_id)
            self.record.outcomes.append(Outcome(self.line, now_ms, command))
            if self.platform is not None and command.target != "operators":
                self.platform.send(command, now_ms)
        measures.note_commands(view, commands, now_ms)

    def check_answer(self, event):
        """Reports an answer to a command that was not issued.

        The decisions then differ from those of the recorded run.
        """
        if not isinstance(event, CommandConfirmed | CommandRefused):
            return
        if event.command_id not in self.issued:
            text = f"command {event.command_id} is answered but not issued"
            self.record.violations.append(Difference(self.line, text))


def override_settings(settings, overrides) -> Result:
    """Returns settings with some values replaced, or Findings."""
    values = {name: getattr(settings, name) for name in DEFAULTS}
    return read_plan_settings({**values, **overrides}, "settings")


def replay_trace(trace, overrides=None) -> Result:
    """Replays a trace; returns a ReplayRecord or Findings.

    Args:
        trace: The Trace.
        overrides: Settings that replace those of the trace, to compare
            policies.
    """
    settings = override_settings(trace.header.settings, overrides or {})
    if settings.is_error():
        return settings
    built = build_planner(settings.ok, "settings")
    if built.is_error():
        return built
    return Ok(Replay(trace.header, built.ok).run(trace.events))

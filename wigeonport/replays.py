"""Replays a trace through the planner and checks the resulting commands."""

import json
import random

from expression import Ok, Result

from wigeonport import replay_tasks  # noqa: F401 - registers handlers
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
from wigeonport.replay_platforms import SimulatedPlatform
from wigeonport.trace_kinds import ActualJob, FaultsChanged
from wigeonport.view_documents import copy_fleet

SIMULATOR_ONLY_EVENTS = (ActualJob, FaultsChanged)


class Outcome:
    """A command and the event that led to it.

    Attributes:
        line: Line number of the trace event. Answers and ticks that the
            replay adds have the line number of the last event before them.
        at_ms: Time at which the planner issued the command.
        command: The Command.
    """

    __slots__ = ("line", "at_ms", "command")

    def __init__(self, line, at_ms, command):
        self.line = line
        self.at_ms = at_ms
        self.command = command


class ReplayRecord:
    """Result of a replay.

    Attributes:
        outcomes: Outcomes in the order of their commands.
        violations: Differences for violated invariants and for answers to
            commands that were not issued.
        measures: Measures.
        event_lines: (time in ms, line number) of each event of the trace.
    """

    __slots__ = ("outcomes", "violations", "measures", "event_lines")

    def __init__(self):
        self.outcomes = []
        self.violations = []
        self.measures = Measures()
        self.event_lines = []

    def line_at(self, at_ms):
        """Returns the line number of the last event up to ``at_ms``.

        ``None`` stands for the end of the trace.
        """
        last_line = 1
        for event_ms, line in self.event_lines:
            if at_ms is not None and event_ms > at_ms:
                break
            last_line = line
        return last_line

    def differences(self, expected):
        """Returns the violations and the unmet expectations, by line."""
        differences = list(self.violations)
        for expectation in expected:
            differences.extend(expectation.check(self))
        return sorted(differences, key=lambda difference: difference.line)

    def write_outcomes(self, file):
        """Writes an expect file that lists the commands of each line."""
        by_line = {}
        for outcome in self.outcomes:
            commands = by_line.setdefault(outcome.line, [])
            commands.append(str(outcome.command))
        for line, commands in by_line.items():
            document = {
                "expect": "outcome",
                "line": line,
                "commands": commands,
            }
            file.write(json.dumps(document) + "\n")


class Replay:
    """One run of a trace.

    Attributes:
        header: TraceHeader.
        planner: Planner.
        platform: SimulatedPlatform, or None if the trace contains the
            recorded answers.
        checker: InvariantChecker.
        record: ReplayRecord.
        random: Random number generator with the trace's seed.
        next_tick_ms: Time of the next tick that the replay adds, or None.
        line: Line number of the last trace event.
        issued_ids: Ids of all commands issued so far.
        recorder: TraceRecorder of the events passed to the planner, or None.
    """

    __slots__ = (
        "header",
        "planner",
        "platform",
        "checker",
        "record",
        "random",
        "next_tick_ms",
        "line",
        "issued_ids",
        "recorder",
    )

    def __init__(self, header, planner, recorder=None):
        self.header = header
        self.planner = planner
        self.recorder = recorder
        self.platform = None
        if header.answer_delays is not None:
            self.platform = SimulatedPlatform(header.answer_delays)
        # The required hold after a repair and the age of stale reports are
        # the defaults, not the trace's settings: otherwise a policy with a
        # shorter hold would pass its own check.
        self.checker = InvariantChecker(
            DEFAULTS["healthy_hold_ms"], DEFAULTS["report_stale_ms"]
        )
        self.record = ReplayRecord()
        self.random = random.Random(header.seed)
        self.next_tick_ms = None
        self.line = 1
        self.issued_ids = set()

    def run(self, events):
        """Feeds all events, answers and ticks up to the end time."""
        for trace_event in events:
            if self.next_tick_ms is None and self.header.tick_ms:
                self.next_tick_ms = trace_event.at_ms + self.header.tick_ms
            self.run_until(trace_event.at_ms)
            self.line = trace_event.line
            self.record.event_lines.append(
                (trace_event.at_ms, trace_event.line)
            )
            self.feed_trace_event(trace_event.event, trace_event.at_ms)
        self.run_until(self.header.end_ms)
        return self.record

    def run_until(self, until_ms):
        """Feeds the simulated answers and ticks due up to ``until_ms``.

        An answer goes before a tick of the same time.
        """
        while True:
            answer_ms = (
                self.platform.next_answer_ms() if self.platform else None
            )
            times = [
                t for t in (answer_ms, self.next_tick_ms) if t is not None
            ]
            if not times or min(times) > until_ms:
                return
            if answer_ms is not None and answer_ms == min(times):
                event = self.platform.pop_answer()
                if event is not None:
                    self.feed(event, answer_ms)
            else:
                now_ms, self.next_tick_ms = self.next_tick_ms, None
                self.next_tick_ms = now_ms + self.header.tick_ms
                self.feed(Tick(), now_ms)

    def feed_trace_event(self, event, now_ms):
        """Feeds an event of the trace to the platform and the planner."""
        if isinstance(event, FleetLoaded):
            # The planner modifies its fleet; a copy keeps the trace
            # unchanged for another replay.
            event = FleetLoaded(copy_fleet(event.fleet), event.grants)
        if self.platform is not None:
            self.platform.observe(event, now_ms)
        if not isinstance(event, SIMULATOR_ONLY_EVENTS):
            self.feed(event, now_ms)

    def feed(self, event, now_ms):
        """Feeds one event to the planner and checks its commands."""
        if self.recorder is not None:
            self.recorder.record(event, now_ms)
        view = self.planner.view
        measures = self.record.measures
        measures.add_elapsed_time(view, now_ms)
        measures.record_event(event, now_ms)
        self.checker.observe(event, now_ms)
        self.check_answered_command(event)
        commands = self.planner.step(event, now_ms, self.random)
        for text in self.checker.check(view, commands, now_ms):
            self.record.violations.append(Difference(self.line, text))
        for command in commands:
            self.issued_ids.add(command.command_id)
            self.record.outcomes.append(Outcome(self.line, now_ms, command))
            if self.platform is not None and command.target != "operators":
                self.platform.send(command, now_ms)
        measures.record_commands(view, commands, now_ms)

    def check_answered_command(self, event):
        """Records a violation if the answered command was not issued.

        The planner then decided differently than in the recorded run.
        """
        if not isinstance(event, CommandConfirmed | CommandRefused):
            return
        if event.command_id not in self.issued_ids:
            text = f"command {event.command_id} is answered but not issued"
            self.record.violations.append(Difference(self.line, text))


def override_settings(settings, overrides) -> Result:
    """Returns settings with the overrides applied, or Findings."""
    values = {name: getattr(settings, name) for name in DEFAULTS}
    return read_plan_settings({**values, **overrides}, "settings")


def replay_trace(trace, overrides=None) -> Result:
    """Replays a trace; returns a ReplayRecord or Findings.

    Args:
        trace: The Trace.
        overrides: Maps setting to the value that replaces that of the
            trace, to compare policies.
    """
    settings_result = override_settings(trace.header.settings, overrides or {})
    if settings_result.is_error():
        return settings_result
    planner_result = build_planner(settings_result.ok, "settings")
    if planner_result.is_error():
        return planner_result
    return Ok(Replay(trace.header, planner_result.ok).run(trace.events))

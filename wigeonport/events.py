"""Event log of a process, in JSON Lines, with Lamport numbers."""

import json
import pathlib
from collections import deque

import trio

from wigeonport.channels import REFUSE, Mailbox
from wigeonport.logs import PartLogger
from wigeonport.records import Record

logger = PartLogger("events")

GAP = "gap"
START = "start"
WRITER_BOUND = 4_096
MAX_FILE_BYTES = 32 * 1024 * 1024


class Event(Record):
    """One event of one process.

    Attributes:
        node: Node id of the process.
        run: Wall time in ms at which the process started; identifies one run
            of the process.
        sequence: Number of the event in its run, from 1 without gaps.
        lamport: Lamport number; an effect has a higher one than its cause.
        wall_ms: Wall time in ms on the clock of that VM.
        kind: Name of the kind of event.
        fields: Details as plain data, by name.
    """

    __slots__ = (
        "node",
        "run",
        "sequence",
        "lamport",
        "wall_ms",
        "kind",
        "fields",
    )

    def __init__(self, node, run, sequence, lamport, wall_ms, kind, fields):
        self.node = node
        self.run = run
        self.sequence = sequence
        self.lamport = lamport
        self.wall_ms = wall_ms
        self.kind = kind
        self.fields = fields

    def line(self):
        """Returns the event as one line of JSON."""
        return json.dumps(self.to_document(), default=str)


class EventLog:
    """Numbers events and keeps the latest ones in a ring buffer.

    With a file, every line also goes to the task that owns the file. Events
    that the ring or the mailbox of that task has no room for are counted, and
    a gap event takes their place.

    Attributes:
        node: Node id of the process.
        run: Wall time in ms at which the log was created.
        clock: Clock of the VM.
        lamport: LamportCounter of the process. It starts at the wall time,
            so that the events of a restarted process get higher numbers than
            those of its earlier runs.
        sequence: Sequence number of the last event.
        ring: The latest events, oldest first.
        writer: Mailbox of the task that owns the file, or None.
        lost: Number of events that the writer refused since its last line.
    """

    __slots__ = (
        "node",
        "run",
        "clock",
        "lamport",
        "sequence",
        "ring",
        "writer",
        "lost",
    )

    def __init__(self, node, clock, lamport, ring_bound, has_file=False):
        self.node = node
        self.run = clock.wall()
        self.clock = clock
        self.lamport = lamport
        self.lamport.observe(self.run)
        self.sequence = 0
        self.ring = deque(maxlen=ring_bound)
        self.writer = None
        if has_file:
            self.writer = Mailbox("event writer", WRITER_BOUND, REFUSE)
        self.lost = 0
        self.record(START)

    def record(self, kind, **fields):
        """Records an event and returns it."""
        self.sequence += 1
        event = Event(
            self.node,
            self.run,
            self.sequence,
            self.lamport.tick(),
            self.clock.wall(),
            kind,
            fields,
        )
        self.ring.append(event)
        if self.writer is not None:
            self._send_to_writer(event)
        return event

    def _send_to_writer(self, event):
        line = event.line()
        if self.lost:
            line = make_gap_event(event, self.lost).line() + "\n" + line
        if self.writer.put_nowait(line):
            self.lost = 0
        else:
            self.lost += 1

    def lines(self):
        """Returns the lines of the ring, after a gap for those it dropped."""
        events = list(self.ring)
        dropped = self.sequence - len(events)
        if dropped and events:
            events.insert(0, make_gap_event(events[0], dropped))
        return [event.line() for event in events]


def make_gap_event(event, lost):
    """Returns a gap event that stands for ``lost`` events before an event."""
    return Event(
        event.node,
        event.run,
        event.sequence - 1,
        event.lamport,
        event.wall_ms,
        GAP,
        {"lost": lost},
    )


async def write_events(log, path, metrics, max_file_bytes=MAX_FILE_BYTES):
    """Owns the event file: appends lines until the writer is closed.

    Before the file exceeds ``max_file_bytes`` it is renamed to ``PATH.1`` and
    a new one starts. If a write fails, its events are lost: the error is
    logged and counted, and a reader sees a gap in the sequence numbers.

    Args:
        log: EventLog with a writer.
        path: Path of the file.
        metrics: Metrics of the process.
        max_file_bytes: Maximum size of the file.
    """
    path = pathlib.Path(path)
    async for line in log.writer:
        lines = [line]
        while log.writer.depth():
            lines.append(await log.writer.get())
        data = "".join(text + "\n" for text in lines).encode()
        try:
            await trio.to_thread.run_sync(append, path, data, max_file_bytes)
        except OSError as error:
            metrics.count("events_lost", len(lines))
            logger.error("Events were not written.", reason=error.strerror)


def append(path, data, max_file_bytes):
    """Appends lines to a file; starts a new one if it would be too large.

    Raises:
        OSError: If the file cannot be written.
    """
    path.parent.mkdir(parents=True, exist_ok=True)
    with path.open("a+b") as target:
        size = target.seek(0, 2)
        if size and size + len(data) > max_file_bytes:
            path.replace(path.with_name(path.name + ".1"))
        elif size:
            target.seek(size - 1)
            # After a crash the last line may be incomplete.
            ends_with_newline = target.read(1) == b"\n"
            target.write(data if ends_with_newline else b"\n" + data)
            return
    with path.open("ab") as target:
        target.write(data)

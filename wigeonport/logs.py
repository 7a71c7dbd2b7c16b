"""Structured logs: one JSON object a line on standard output.

A record has a time, a level, the part that wrote it, a short sentence and
fields. Writing never waits: what the reader of the output does not take in
time is dropped and counted.
"""

import collections
import json
import os
import sys

import logbook

STDOUT = 1
# Lines kept while the reader of the output is slow.
MAX_PENDING_LINES = 2_000
# Lines a second; far above the decisions of a busy leader, about 600.
MAX_LINES_PER_SECOND = 3_000


class PartLogger:
    """Writes short sentences with the name of a part and fields.

    Attributes:
        logger: The logbook logger that carries the name.
    """

    __slots__ = ("logger",)

    def __init__(self, part):
        self.logger = logbook.Logger(part)

    def debug(self, sentence, **fields):
        """Logs at level DEBUG."""
        self.logger.debug(sentence, extra=fields)

    def info(self, sentence, **fields):
        """Logs at level INFO."""
        self.logger.info(sentence, extra=fields)

    def warning(self, sentence, **fields):
        """Logs at level WARNING."""
        self.logger.warning(sentence, extra=fields)

    def error(self, sentence, **fields):
        """Logs at level ERROR."""
        self.logger.error(sentence, extra=fields)


def format_record(record):
    """Returns a record as one line of JSON."""
    document = {
        "time": record.time.isoformat(timespec="milliseconds"),
        "level": record.level_name.lower(),
        "part": record.channel,
        "message": record.message,
    }
    for name, value in record.extra.items():
        plain = isinstance(value, str | int | float | bool | None)
        document[name] = value if plain else str(value)
    return json.dumps(document, separators=(",", ":"))


class LineWriter:
    """Writes lines to a descriptor without ever waiting.

    Attributes:
        descriptor: File descriptor in non-blocking mode.
        pending: Bytes that the descriptor has not taken yet.
        dropped: Lines dropped since the last one that was written.
        dropped_total: Lines dropped since the start.
        second: Second of the newest line.
        lines_in_second: Lines in that second.
    """

    __slots__ = (
        "descriptor",
        "pending",
        "dropped",
        "dropped_total",
        "second",
        "lines_in_second",
    )

    def __init__(self, descriptor):
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.pending = collections.deque()
        self.dropped = 0
        self.dropped_total = 0
        self.second = 0
        self.lines_in_second = 0

    def write(self, line, second):
        """Writes a line, or drops it if the output is stuck or too fast."""
        if second != self.second:
            self.second, self.lines_in_second = second, 0
        self.lines_in_second += 1
        if (
            self.lines_in_second > MAX_LINES_PER_SECOND
            or len(self.pending) >= MAX_PENDING_LINES
        ):
            self.dropped += 1
            self.dropped_total += 1
        else:
            self.pending.append(line.encode("utf-8", "replace") + b"\n")
        self.flush()

    def flush(self):
        """Hands on what the descriptor takes now."""
        while self.pending:
            data = self.pending[0]
            try:
                written = os.write(self.descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone; there is nowhere to report it.
                self.dropped_total += len(self.pending)
                self.pending.clear()
                return
            if written < len(data):
                self.pending[0] = data[written:]
                return
            self.pending.popleft()
        if self.dropped:
            notice = {
                "level": "warning",
                "part": "logs",
                "dropped": self.dropped,
            }
            notice["message"] = "Log lines were dropped."
            self.dropped = 0
            self.pending.append(json.dumps(notice).encode() + b"\n")


class LineHandler(logbook.Handler):
    """Passes records to a LineWriter.

    Attributes:
        writer: LineWriter.
    """

    __slots__ = ("writer",)

    def __init__(self, writer, level):
        super().__init__(level)
        self.writer = writer

    def emit(self, record):
        """Writes one record."""
        line = format_record(record)
        self.writer.write(line, int(record.time.timestamp()))


def configure_logging(level):
    """Sends records of ``level`` and above to standard output."""
    sys.stdout.flush()
    writer = LineWriter(STDOUT)
    handler = LineHandler(writer, level.upper())
    handler.push_application()
    return writer

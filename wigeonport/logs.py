"""Structured logs: one JSON object per line on standard output.

A record has a time, a level, the part that wrote it, a short sentence and
fields. Writing never waits: if the reader of the output is too slow, lines
are dropped and counted.
"""

import collections
import json
import os
import sys

import logbook

STDOUT = 1
# Lines that are buffered while the reader of the output is slow.
MAX_PENDING_LINES = 2_000
# Far above the rate of a busy leader, about 600 lines per second.
MAX_LINES_PER_SECOND = 3_000
# Types of values that JSON represents. Built once: the expression for a union
# and a new encoder for each line took half of the time of a line.
PLAIN_TYPES = (str, int, float, bool, type(None))
encoder = json.JSONEncoder(separators=(",", ":"))


class PartLogger:
    """Logs sentences with fields under the name of a part.

    Attributes:
        logger: logbook.Logger with the name of the part.
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
        plain = isinstance(value, PLAIN_TYPES)
        document[name] = value if plain else str(value)
    return encoder.encode(document)


class LineWriter:
    """Writes lines to a file descriptor without waiting.

    Attributes:
        descriptor: File descriptor in non-blocking mode.
        pending: Lines that are not written yet, as bytes; the first may be
            the rest of a line.
        dropped: Lines dropped since the last notice about dropped lines.
        dropped_total: Lines dropped since the start.
        second: Unix time in s of the newest line.
        lines_in_second: Number of lines in that second, dropped ones
            included.
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
        """Writes a line; drops it above the rate limit or if too many wait.

        Args:
            line: Text without a line end.
            second: Unix time of the line in whole s.
        """
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
        """Writes as many pending bytes as the descriptor accepts now."""
        while self.pending:
            data = self.pending[0]
            try:
                written = os.write(self.descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The output is closed, so the error cannot be logged.
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
    """A logbook handler that passes records to a LineWriter.

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
    """Sends records of ``level`` and above to standard output.

    Returns:
        The LineWriter.
    """
    sys.stdout.flush()
    writer = LineWriter(STDOUT)
    handler = LineHandler(writer, level.upper())
    handler.push_application()
    return writer

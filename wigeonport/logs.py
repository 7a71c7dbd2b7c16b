"""Log set-up: one line a record, a prefix for each part, fields last."""

import sys

import logbook

FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name:<7} "
    "[{record.channel}] {record.message}"
)


class PartLogger:
    """Writes short sentences with a fixed prefix and key=value fields.

    Attributes:
        logger: The logbook logger that carries the prefix.
    """

    __slots__ = ("logger",)

    def __init__(self, part):
        self.logger = logbook.Logger(part)

    def debug(self, sentence, **fields):
        """Logs at level DEBUG."""
        self.logger.debug(_line(sentence, fields))

    def info(self, sentence, **fields):
        """Logs at level INFO."""
        self.logger.info(_line(sentence, fields))

    def warning(self, sentence, **fields):
        """Logs at level WARNING."""
        self.logger.warning(_line(sentence, fields))

    def error(self, sentence, **fields):
        """Logs at level ERROR."""
        self.logger.error(_line(sentence, fields))


def _line(sentence, fields):
    if not fields:
        return sentence
    pairs = (f"{key}={_quoted(value)}" for key, value in fields.items())
    return f"{sentence} {' '.join(pairs)}"


def _quoted(value):
    text = str(value)
    if text and not any(mark in text for mark in ' "=\n'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n") + '"'


def set_up(level):
    """Sends records of ``level`` and above to standard error."""
    handler = logbook.StreamHandler(sys.stderr, level=level.upper())
    handler.format_string = FORMAT
    handler.push_application()

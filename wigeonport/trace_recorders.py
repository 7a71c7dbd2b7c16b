"""Records what reaches a planner as a trace that can be replayed."""

from wigeonport.logs import PartLogger
from wigeonport.plan_events import Tick
from wigeonport.plan_settings import DEFAULTS
from wigeonport.traces import TraceWriter

logger = PartLogger("trace")


class BoundedFile:
    """Counts the bytes written to a text file.

    Attributes:
        file: The text file.
        size_bytes: Bytes written so far.
    """

    __slots__ = ("file", "size_bytes")

    def __init__(self, file):
        self.file = file
        self.size_bytes = 0

    def write(self, text):
        """Writes a text of ASCII characters."""
        self.size_bytes += len(text)
        self.file.write(text)


class TraceRecorder:
    """Writes each event of a planner with the time of its arrival.

    The trace holds the answers of the log and the platform as they came, so
    its header has no ``answers`` and no added ticks.

    Attributes:
        output: BoundedFile.
        writer: TraceWriter.
        max_bytes: Size after which nothing more is recorded.
        full: Whether that size was reached.
    """

    __slots__ = ("output", "writer", "max_bytes", "full")

    def __init__(self, file, max_bytes, settings, seed, deployment=""):
        self.output = BoundedFile(file)
        self.writer = TraceWriter(self.output)
        self.max_bytes = max_bytes
        self.full = False
        self.writer.write_header(
            {
                "deployment": deployment,
                "seed": seed,
                "tick_ms": 0,
                "settings": {
                    name: getattr(settings, name) for name in DEFAULTS
                },
            }
        )

    def record(self, event, now_ms):
        """Writes an event; a trace that is full ends with a log line."""
        if self.full:
            return
        self.writer.write(now_ms, event)
        if isinstance(event, Tick):
            self.output.file.flush()
        if self.output.size_bytes >= self.max_bytes:
            self.full = True
            self.output.file.flush()
            logger.warning("Trace is full.", bytes=self.output.size_bytes)


def open_recorder(path, max_bytes, plan_settings, seed):
    """Returns the TraceRecorder of a new file, None without a path.

    Raises:
        OSError: If the file cannot be written.
    """
    if path is None:
        return None
    # The file stays open as long as the program runs.
    file = open(path, "w", encoding="utf-8")  # noqa: SIM115
    return TraceRecorder(file, max_bytes, plan_settings, seed)

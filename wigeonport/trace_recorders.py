"""Records the events that a planner receives as a trace for replay."""

from wigeonport.logs import PartLogger
from wigeonport.plan_events import Tick
from wigeonport.plan_settings import DEFAULTS
from wigeonport.traces import TraceWriter

logger = PartLogger("trace")


class CountingFile:
    """Text file that counts the bytes written to it.

    Attributes:
        file: The text file.
        size_bytes: Bytes written so far.
    """

    __slots__ = ("file", "size_bytes")

    def __init__(self, file):
        self.file = file
        self.size_bytes = 0

    def write(self, text):
        """Writes ASCII text, whose length equals its size in bytes."""
        self.size_bytes += len(text)
        self.file.write(text)


class TraceRecorder:
    """Writes each event that a planner receives with its arrival time.

    The trace contains the answers of the replicated log and the platform as
    they arrived and the planner's own ticks, so its header has no
    ``answers`` and the replay adds no ticks.

    Attributes:
        output: CountingFile.
        writer: TraceWriter.
        max_bytes: Size in bytes at which the recording ends.
        full: Whether ``max_bytes`` has been reached.
    """

    __slots__ = ("output", "writer", "max_bytes", "full")

    def __init__(self, file, max_bytes, settings, seed, deployment=""):
        self.output = CountingFile(file)
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
        """Writes an event unless the trace has reached ``max_bytes``.

        The event that reaches the limit is still written, followed by a
        warning in the log.
        """
        if self.full:
            return
        self.writer.write(now_ms, event)
        if isinstance(event, Tick):
            self.output.file.flush()
        if self.output.size_bytes >= self.max_bytes:
            self.full = True
            self.output.file.flush()
            logger.warning(
                "Trace recording stopped at the maximum size.",
                bytes=self.output.size_bytes,
            )


def open_recorder(path, max_bytes, plan_settings, seed):
    """Returns the TraceRecorder of a new file, or None if ``path`` is None.

    Raises:
        OSError: If the file cannot be opened for writing.
    """
    if path is None:
        return None
    # The recorder writes to the file until the process exits.
    file = open(path, "w", encoding="utf-8")  # noqa: SIM115
    return TraceRecorder(file, max_bytes, plan_settings, seed)

"""Bytes of log entries and snapshots of the replicated state."""

import json
import zlib

from expression import Error, Ok, Result

from wigeonport.codecs import codecs, message_kinds
from wigeonport.findings import Findings
from wigeonport.records import Record
from wigeonport.state_answers import CommandRefused
from wigeonport.states import Entry, state_from_document

# A snapshot that expands beyond this is damaged: the state itself is bounded.
LARGEST_STATE_BYTES = 256 * 1024 * 1024
COMPRESSION_LEVEL = 1


@message_kinds.register("TimedCommand")
class TimedCommand(Record):
    """Payload of a log entry.

    Attributes:
        time_ms: Wall time at which the leader proposed the entry.
        command: The encoded command.
    """

    __slots__ = ("time_ms", "command")

    def __init__(self, time_ms, command):
        self.time_ms = time_ms
        self.command = command


class StateCodec:
    """Encodes and decodes what the log carries for the state machine.

    Attributes:
        codec: Codec of the messages.
    """

    __slots__ = ("codec",)

    def __init__(self):
        self.codec = codecs.get("thrift").ok()

    def encode_command(self, command, time_ms):
        """Returns the payload of a log entry."""
        data = self.codec.encode(command)
        return self.codec.encode(TimedCommand(time_ms, data))

    def apply_payload(self, state, index, payload):
        """Applies the payload of an entry to a state.

        Args:
            state: The ReplicatedState.
            index: Index of the entry.
            payload: Bytes made by ``encode_command``, or empty for an entry
                without effect.

        Returns:
            The answer; CommandRefused if the bytes are malformed, so that
            all replicas agree on it.
        """
        if not payload:
            return state.apply(Entry(index, state.now_ms, None))
        timed = self.codec.decode(payload)
        if timed.is_error() or not isinstance(timed.ok, TimedCommand):
            return self._refuse(state, index, "the payload is malformed")
        command = self.codec.decode(timed.ok.command)
        if command.is_error():
            return self._refuse(state, index, str(command.error))
        return state.apply(Entry(index, timed.ok.time_ms, command.ok))

    def _refuse(self, state, index, text):
        state.apply(Entry(index, state.now_ms, None))
        return CommandRefused(text)


def encode_state(state):
    """Returns the bytes of a snapshot."""
    text = json.dumps(state.to_document(), separators=(",", ":"))
    return zlib.compress(text.encode(), COMPRESSION_LEVEL)


def decode_state(data) -> Result:
    """Returns the ReplicatedState of a snapshot, or Findings."""
    text = _decompress(data)
    if text.is_ok():
        return state_from_document(text.ok)
    findings = Findings()
    findings.add("snapshot", text.error)
    return Error(findings)


def _decompress(data):
    try:
        reader = zlib.decompressobj()
        text = reader.decompress(data, LARGEST_STATE_BYTES)
        if not reader.eof:
            return Error("the data is cut short or too large")
        return Ok(json.loads(text))
    except (zlib.error, ValueError, RecursionError) as fault:
        return Error(f"{type(fault).__name__}: {fault}")

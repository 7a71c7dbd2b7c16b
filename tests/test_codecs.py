"""Tests of the codecs and frames."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonport.codecs import codecs
from wigeonport.frames import (
    ACCEPTOR,
    DIALER,
    LENGTH_FORMAT,
    MAX_FRAME_BYTES,
    FrameBuffer,
    FrameSealer,
)
from wigeonport.messages import ONEWAY, Envelope, Hello
from wigeonport.struct_layouts import (
    LAYOUT_FILE,
    load_layouts,
    make_document,
    parse_layouts,
    read_definitions,
)


@pytest.fixture(scope="module")
def codec():
    """The thrift codec."""
    return codecs.get("thrift").ok()


HELLO = Hello("entry-1", "ikeja", "lagos", "k1", b"\x00\xff")


def test_message_survives_a_round_trip(codec):
    """Encoding and decoding must not lose or change a field."""
    decoded = codec.decode(codec.encode(HELLO)).ok
    for name in Hello.__slots__:
        assert getattr(decoded, name) == getattr(HELLO, name)


def test_stored_layouts_are_those_of_the_definitions():
    """Stored layouts must not differ from what the parser reads.

    Fails after a change of a ``.thrift`` file until
    ``tools/write_struct_layouts.py`` has run.
    """
    assert LAYOUT_FILE.read_text("utf-8") == make_document()
    assert load_layouts() == parse_layouts(read_definitions())


def test_outdated_layouts_are_not_used(monkeypatch, tmp_path):
    """A changed definition must not be decoded by the layouts of the old."""
    outdated = tmp_path / "layouts.json"
    outdated.write_text('{"digest": "0", "structs": {}}')
    monkeypatch.setattr("wigeonport.struct_layouts.LAYOUT_FILE", outdated)
    assert load_layouts.__wrapped__() == load_layouts()


def test_every_truncation_is_refused(codec):
    """A message cut off at any byte, or with a byte added, must be refused.

    Reading past the end of the buffer of thriftpy2 gives uninitialized
    memory as the missing fields.
    """
    data = codec.encode(HELLO)
    for length in range(len(data)):
        assert codec.decode(data[:length]).is_error()
    assert codec.decode(data + b"x").is_error()


def test_invalid_utf8_is_refused(codec):
    """A text field with bytes that are not UTF-8 must not be decoded."""
    data = codec.encode(HELLO).replace(b"ikeja", b"\xff\xff\xff\xff\xff")
    assert codec.decode(data).is_error()


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.binary(max_size=200), st.integers(0, 60))
def test_arbitrary_bytes_never_raise(data, position):
    """Malformed bytes must give an error: an exception ends the session."""
    codec = codecs.get("thrift").ok()
    codec.decode(data)
    encoded = codec.encode(HELLO)
    codec.decode(encoded[:position] + data + encoded[position:])


def test_frames_are_split_and_checked():
    """Joined frames must be split; replayed and reordered ones are refused.

    A frame that a side sent itself must be refused too.
    """
    dialer, acceptor = FrameSealer(b"k", DIALER), FrameSealer(b"k", ACCEPTOR)
    first, second = dialer.seal(b"one"), dialer.seal(b"two")
    frames = FrameBuffer().feed(first + second).ok
    assert acceptor.open(frames[1]).is_error()
    assert acceptor.open(frames[0]).ok == b"one"
    assert acceptor.open(frames[0]).is_error()
    assert acceptor.open(frames[1]).ok == b"two"
    assert dialer.open(frames[0]).is_error()


@pytest.mark.parametrize("length", [0, 31, MAX_FRAME_BYTES + 1, 2**32 - 1])
def test_invalid_length_is_refused(length):
    """An invalid length must be refused at once.

    Otherwise the reader waits for bytes that never come, or buffers up to
    4 GiB.
    """
    assert FrameBuffer().feed(LENGTH_FORMAT.pack(length)).is_error()


def test_envelope_keeps_binary_payload(codec):
    """The payload of an envelope must come back as bytes, not as text."""
    envelope = Envelope(ONEWAY, 0, 7, b"text")
    assert codec.decode(codec.encode(envelope)).ok.payload == b"text"

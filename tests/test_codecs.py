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


@pytest.fixture(scope="module")
def codec():
    """The thrift codec."""
    return codecs.get("thrift").ok()


HELLO = Hello("entry-1", "ikeja", "lagos", "k1", b"\x00\xff")


def test_message_survives_a_round_trip(codec):
    """Guards against fields lost or changed by the codec."""
    decoded = codec.decode(codec.encode(HELLO)).ok
    for name in Hello.__slots__:
        assert getattr(decoded, name) == getattr(HELLO, name)


def test_every_truncation_is_refused(codec):
    """Guards against a partial message taken for a whole one."""
    data = codec.encode(HELLO)
    for length in range(len(data)):
        assert codec.decode(data[:length]).is_error()
    assert codec.decode(data + b"x").is_error()


def test_invalid_utf8_is_refused(codec):
    """Guards against bytes passed on where text is expected."""
    data = codec.encode(HELLO).replace(b"ikeja", b"\xff\xff\xff\xff\xff")
    assert codec.decode(data).is_error()


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.binary(max_size=200), st.integers(0, 60))
def test_arbitrary_bytes_never_raise(data, position):
    """Guards against an exception that ends the receiving task."""
    codec = codecs.get("thrift").ok()
    codec.decode(data)
    whole = codec.encode(HELLO)
    codec.decode(whole[:position] + data + whole[position:])


def test_frames_are_split_and_checked():
    """Guards against frames merged, replayed or taken from another side."""
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
    """Guards against a wrong length that makes the reader wait or grow."""
    assert FrameBuffer().feed(LENGTH_FORMAT.pack(length)).is_error()


def test_envelope_keeps_binary_payload(codec):
    """Guards against payload bytes decoded as text."""
    envelope = Envelope(ONEWAY, 0, 7, b"text")
    assert codec.decode(codec.encode(envelope)).ok.payload == b"text"

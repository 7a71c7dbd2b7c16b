"""Frames of a link: length, message authentication code, payload.

A frame is a 4-byte big-endian length, a 32-byte HMAC-SHA256 and the payload.
The code covers the direction and the number of the frame, so that a frame
that was replayed, dropped or reordered is refused.
"""

import hashlib
import hmac
import struct

from expression import Error, Ok, Result

MAX_FRAME_BYTES = 1 << 20
LENGTH_FORMAT = struct.Struct(">I")
MAC_PREFIX_FORMAT = struct.Struct(">BQ")
MAC_BYTES = 32
DIALER = 0
ACCEPTOR = 1


class FrameError:
    """Why a frame was refused."""

    __slots__ = ("text",)

    def __init__(self, text):
        self.text = text

    def __str__(self):
        return self.text


class FrameBuffer:
    """Splits received bytes into frames.

    Attributes:
        data: Bytes that do not make a whole frame yet.
    """

    __slots__ = ("data",)

    def __init__(self):
        self.data = bytearray()

    def feed(self, received) -> Result:
        """Returns the list of whole frames, or a FrameError."""
        self.data += received
        frames = []
        while len(self.data) >= LENGTH_FORMAT.size:
            (length,) = LENGTH_FORMAT.unpack_from(self.data)
            if not MAC_BYTES <= length <= MAX_FRAME_BYTES:
                return Error(FrameError(f"frame length {length} is invalid"))
            if len(self.data) < LENGTH_FORMAT.size + length:
                break
            frames.append(
                bytes(
                    self.data[LENGTH_FORMAT.size : LENGTH_FORMAT.size + length]
                )
            )
            del self.data[: LENGTH_FORMAT.size + length]
        return Ok(frames)


class FrameSealer:
    """Signs the frames of one direction and checks those of the other.

    Attributes:
        key: Session key.
        side: DIALER or ACCEPTOR.
        sent: Number of frames sent.
        received: Number of frames received.
    """

    __slots__ = ("key", "side", "sent", "received")

    def __init__(self, key, side):
        self.key = key
        self.side = side
        self.sent = 0
        self.received = 0

    def seal(self, payload):
        """Returns the frame of a payload."""
        mac = self.compute_mac(self.side, self.sent, payload)
        self.sent += 1
        return LENGTH_FORMAT.pack(MAC_BYTES + len(payload)) + mac + payload

    def open(self, frame) -> Result:
        """Returns the payload of a frame, or a FrameError."""
        mac, payload = frame[:MAC_BYTES], frame[MAC_BYTES:]
        expected = self.compute_mac(1 - self.side, self.received, payload)
        if not hmac.compare_digest(mac, expected):
            return Error(FrameError("frame authentication failed"))
        self.received += 1
        return Ok(payload)

    def compute_mac(self, side, number, payload):
        """Returns the HMAC of a payload at its place in the stream."""
        counter = MAC_PREFIX_FORMAT.pack(side, number)
        return hmac.digest(self.key, counter + payload, hashlib.sha256)


def derive_session_key(key, cluster_id, acceptor_nonce, dialer_nonce):
    """Returns the key of one connection from the shared key."""
    material = cluster_id.encode() + acceptor_nonce + dialer_nonce
    return hmac.digest(key, material, hashlib.sha256)

"""Frames of a link: length, message authentication code (MAC), payload.

A frame is a 4-byte big-endian length, a 32-byte HMAC-SHA256 and the payload.
The length counts the MAC and the payload. The MAC covers the direction and
the number of the frame, so a replayed, missing or reordered frame is
detected and refused.
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
    """Why a frame was refused.

    Attributes:
        text: The reason, as a short text.
    """

    __slots__ = ("text",)

    def __init__(self, text):
        self.text = text

    def __str__(self):
        return self.text


class FrameBuffer:
    """Splits received bytes into frames.

    Attributes:
        data: Received bytes of a frame that is not complete yet.
        max_frame_bytes: Largest length of a frame.
    """

    __slots__ = ("data", "max_frame_bytes")

    def __init__(self, max_frame_bytes=MAX_FRAME_BYTES):
        self.data = bytearray()
        self.max_frame_bytes = max_frame_bytes

    def feed(self, received) -> Result:
        """Returns the frames completed by these bytes, or a FrameError.

        Args:
            received: Bytes in the order of arrival.
        """
        self.data += received
        frames = []
        while len(self.data) >= LENGTH_FORMAT.size:
            (length,) = LENGTH_FORMAT.unpack_from(self.data)
            if not MAC_BYTES <= length <= self.max_frame_bytes:
                return Error(
                    FrameError(
                        f"frame length {length} is not in the range "
                        f"{MAC_BYTES} to {self.max_frame_bytes}"
                    )
                )
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
        side: DIALER or ACCEPTOR, the side of this process.
        sent_frames: Number of frames sent.
        received_frames: Number of frames received.
    """

    __slots__ = ("key", "side", "sent_frames", "received_frames")

    def __init__(self, key, side):
        self.key = key
        self.side = side
        self.sent_frames = 0
        self.received_frames = 0

    def seal(self, payload):
        """Returns the frame of a payload."""
        mac = self.compute_mac(self.side, self.sent_frames, payload)
        self.sent_frames += 1
        return LENGTH_FORMAT.pack(MAC_BYTES + len(payload)) + mac + payload

    def open(self, frame) -> Result:
        """Returns the payload of a frame, or a FrameError."""
        mac, payload = frame[:MAC_BYTES], frame[MAC_BYTES:]
        expected = self.compute_mac(
            1 - self.side, self.received_frames, payload
        )
        if not hmac.compare_digest(mac, expected):
            return Error(
                FrameError("message authentication code of a frame is wrong")
            )
        self.received_frames += 1
        return Ok(payload)

    def compute_mac(self, side, number, payload):
        """Returns the HMAC of a payload.

        Args:
            side: DIALER or ACCEPTOR, the side that sends the frame.
            number: Number of the frame in this direction, from 0.
            payload: Bytes of the payload.
        """
        counter = MAC_PREFIX_FORMAT.pack(side, number)
        return hmac.digest(self.key, counter + payload, hashlib.sha256)


def derive_session_key(key, cluster_id, acceptor_nonce, dialer_nonce):
    """Derives the key of one connection from the shared key."""
    material = cluster_id.encode() + acceptor_nonce + dialer_nonce
    return hmac.digest(key, material, hashlib.sha256)

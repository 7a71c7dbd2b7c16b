"""Handshakes: each side proves that it knows a shared key.

The acceptor sends a Challenge. The dialer sends its Hello twice: first to
name its key and nonce, then signed with the session key. The acceptor
answers with its own Hello, signed too. The session key depends on both
nonces, so frames of one connection are refused on another.
"""

import hmac
import secrets

import trio
from expression import Error, Ok, Result

from wigeonport.frames import (
    ACCEPTOR,
    DIALER,
    MAX_FRAME_BYTES,
    FrameBuffer,
    FrameSealer,
    derive_session_key,
)
from wigeonport.links import LinkError
from wigeonport.messages import FORMAT, Challenge, Hello
from wigeonport.sessions import READ_BYTES, Session

NONCE_BYTES = 16
HANDSHAKE_TIMEOUT_MS = 2_000
# A Hello has a few hundred bytes. Whoever has not shown yet that it knows the
# key must not make this process hold a frame of full size.
MAX_HELLO_BYTES = 4_096
# Not a secret: signs the frames that come before the session key exists.
INITIAL_KEY = b"challenge"


class HandshakeError(Exception):
    """The other side was refused, or it closed the connection."""


class Handshake:
    """Runs one handshake over a stream.

    Attributes:
        stream: The TCP stream.
        context: LinkContext of the process.
        buffer: Splits received bytes.
        frames: Complete frames that were not handled yet.
    """

    __slots__ = ("stream", "context", "buffer", "frames")

    def __init__(self, stream, context):
        self.stream = stream
        self.context = context
        self.buffer = FrameBuffer()
        self.frames = []

    async def dial(self):
        """Returns the Session of a connection that this process opened.

        Raises:
            HandshakeError: If the other side is refused.
        """
        initial_sealer = FrameSealer(INITIAL_KEY, DIALER)
        challenge = await self.receive(initial_sealer, Challenge)
        if challenge.format != FORMAT:
            raise HandshakeError(
                f"link format is {challenge.format}, not {FORMAT}"
            )
        nonce = secrets.token_bytes(NONCE_BYTES)
        identity = self.context.identity
        key_id, key = next(iter(identity.keys.items()))
        hello = self.make_hello(key_id, nonce)
        await self.send(initial_sealer, hello)
        sealer = self.make_sealer(key, challenge.nonce, nonce, DIALER)
        await self.send(sealer, hello)
        peer = await self.receive(sealer, Hello)
        return self.make_session(peer, sealer)

    async def accept(self):
        """Returns the Session of a connection that this process accepted.

        Raises:
            HandshakeError: If the other side is refused.
        """
        self.buffer.max_frame_bytes = MAX_HELLO_BYTES
        nonce = secrets.token_bytes(NONCE_BYTES)
        initial_sealer = FrameSealer(INITIAL_KEY, ACCEPTOR)
        await self.send(initial_sealer, Challenge(nonce))
        unverified_hello = await self.receive(initial_sealer, Hello)
        key = self.context.identity.keys.get(unverified_hello.key_id)
        if key is None:
            raise HandshakeError(
                f"key id {unverified_hello.key_id!r} is not in the key files"
            )
        if unverified_hello.cluster_id != self.context.identity.cluster_id:
            raise HandshakeError(
                f"cluster id {unverified_hello.cluster_id!r} is not that of "
                "this process"
            )
        sealer = self.make_sealer(key, nonce, unverified_hello.nonce, ACCEPTOR)
        peer = await self.receive(sealer, Hello)
        if not hmac.compare_digest(peer.nonce, unverified_hello.nonce):
            raise HandshakeError(
                "the two Hello messages of the dialer have different nonces"
            )
        await self.send(
            sealer, self.make_hello(unverified_hello.key_id, nonce)
        )
        return self.make_session(peer, sealer)

    def make_hello(self, key_id, nonce):
        """Returns the Hello that names this process."""
        identity = self.context.identity
        return Hello(
            identity.node_id,
            identity.availability_zone,
            identity.cluster_id,
            key_id,
            nonce,
        )

    def make_sealer(self, key, acceptor_nonce, dialer_nonce, side):
        """Returns the FrameSealer with the session key."""
        cluster_id = self.context.identity.cluster_id
        session_key = derive_session_key(
            key, cluster_id, acceptor_nonce, dialer_nonce
        )
        return FrameSealer(session_key, side)

    def make_session(self, peer, sealer):
        """Returns the session.

        Frames that arrived during the handshake but were not handled are put
        back into its buffer.
        """
        for frame in reversed(self.frames):
            length = len(frame).to_bytes(4, "big")
            self.buffer.data[:0] = length + frame
        self.buffer.max_frame_bytes = MAX_FRAME_BYTES
        return Session(self.stream, peer, sealer, self.buffer, self.context)

    async def send(self, sealer, message):
        """Sends one message as a frame."""
        payload = self.context.codec.encode(message)
        await self.stream.send_all(sealer.seal(payload))

    async def receive(self, sealer, message_class):
        """Returns the next message.

        Raises:
            HandshakeError: If the connection ends, the frame is malformed
                or the message is not of the given class.
        """
        while not self.frames:
            data = await self.stream.receive_some(READ_BYTES)
            if not data:
                raise HandshakeError("closed by the other side")
            self.frames = unwrap_or_raise(self.buffer.feed(data))
        payload = unwrap_or_raise(sealer.open(self.frames.pop(0)))
        message = unwrap_or_raise(self.context.codec.decode(payload))
        if not isinstance(message, message_class):
            raise HandshakeError(
                f"expected {message_class.__name__}, "
                f"got {type(message).__name__}"
            )
        return message


def unwrap_or_raise(result):
    """Returns the value of a result.

    Raises:
        HandshakeError: If the result is an error.
    """
    if result.is_error():
        raise HandshakeError(str(result.error))
    return result.ok


async def run_handshake(handshake) -> Result:
    """Runs a handshake under HANDSHAKE_TIMEOUT_MS.

    Args:
        handshake: ``dial`` or ``accept`` of a Handshake.

    Returns:
        The Session, or a LinkError.
    """
    try:
        with trio.fail_after(HANDSHAKE_TIMEOUT_MS / 1000):
            return Ok(await handshake())
    except HandshakeError as error:
        return Error(LinkError(str(error), sent=False))
    except trio.TooSlowError:
        return Error(LinkError("handshake timed out", sent=False))
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return Error(
            LinkError("connection reset during the handshake", sent=False)
        )

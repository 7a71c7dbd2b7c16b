"""Handshakes: each side proves that it knows a shared key.

The acceptor sends a Challenge, the dialer a Hello, and the acceptor a Hello
of its own. The session key depends on both nonces, so frames of one
connection are refused on another.
"""

import hmac
import secrets

import trio
from expression import Error, Ok, Result

from wigeonport.frames import (
    ACCEPTOR,
    DIALER,
    FrameBuffer,
    FrameSealer,
    derive_session_key,
)
from wigeonport.links import LinkError
from wigeonport.messages import FORMAT, Challenge, Hello
from wigeonport.sessions import READ_BYTES, Session

NONCE_BYTES = 16
HANDSHAKE_TIMEOUT_MS = 2_000
CHALLENGE_KEY = b"challenge"


class HandshakeError(Exception):
    """The other side did not authenticate itself."""


class Handshake:
    """Runs one handshake over a stream.

    Attributes:
        stream: The TCP stream.
        context: LinkContext of the process.
        buffer: Splits received bytes.
        frames: Whole frames not handled yet.
    """

    __slots__ = ("stream", "context", "buffer", "frames")

    def __init__(self, stream, context):
        self.stream = stream
        self.context = context
        self.buffer = FrameBuffer()
        self.frames = []

    async def dial(self):
        """Returns a Session as the side that connected.

        Raises:
            HandshakeError: If the other side is refused.
        """
        unkeyed = FrameSealer(CHALLENGE_KEY, DIALER)
        challenge = await self.receive(unkeyed, Challenge)
        if challenge.format != FORMAT:
            raise HandshakeError(f"format {challenge.format} is not known")
        nonce = secrets.token_bytes(NONCE_BYTES)
        identity = self.context.identity
        key_id, key = next(iter(identity.keys.items()))
        hello = self.hello(key_id, nonce)
        await self.send(unkeyed, hello)
        sealer = self.sealer(key, challenge.nonce, nonce, DIALER)
        await self.send(sealer, hello)
        peer = await self.receive(sealer, Hello)
        return self.session(peer, sealer)

    async def accept(self):
        """Returns a Session as the side that was connected to.

        Raises:
            HandshakeError: If the other side is refused.
        """
        nonce = secrets.token_bytes(NONCE_BYTES)
        unkeyed = FrameSealer(CHALLENGE_KEY, ACCEPTOR)
        await self.send(unkeyed, Challenge(nonce))
        claimed = await self.receive(unkeyed, Hello)
        key = self.context.identity.keys.get(claimed.key_id)
        if key is None:
            raise HandshakeError(f"key {claimed.key_id!r} is not known")
        if claimed.cluster_id != self.context.identity.cluster_id:
            raise HandshakeError(f"cluster {claimed.cluster_id!r} is another")
        sealer = self.sealer(key, nonce, claimed.nonce, ACCEPTOR)
        peer = await self.receive(sealer, Hello)
        if not hmac.compare_digest(peer.nonce, claimed.nonce):
            raise HandshakeError("nonces differ")
        await self.send(sealer, self.hello(claimed.key_id, nonce))
        return self.session(peer, sealer)

    def hello(self, key_id, nonce):
        """Returns the Hello of this process."""
        identity = self.context.identity
        return Hello(
            identity.node_id,
            identity.availability_zone,
            identity.cluster_id,
            key_id,
            nonce,
        )

    def sealer(self, key, acceptor_nonce, dialer_nonce, side):
        """Returns the sealer of the new session."""
        cluster_id = self.context.identity.cluster_id
        session_key = derive_session_key(
            key, cluster_id, acceptor_nonce, dialer_nonce
        )
        return FrameSealer(session_key, side)

    def session(self, peer, sealer):
        """Returns the session; frames that came early stay in its buffer."""
        for frame in reversed(self.frames):
            length = len(frame).to_bytes(4, "big")
            self.buffer.data[:0] = length + frame
        return Session(self.stream, peer, sealer, self.buffer, self.context)

    async def send(self, sealer, message):
        """Sends one message."""
        payload = self.context.codec.encode(message)
        await self.stream.send_all(sealer.seal(payload))

    async def receive(self, sealer, message_class):
        """Returns the next message, which must be of the given class."""
        while not self.frames:
            data = await self.stream.receive_some(READ_BYTES)
            if not data:
                raise HandshakeError("closed by the other side")
            self.frames = unwrap(self.buffer.feed(data))
        payload = unwrap(sealer.open(self.frames.pop(0)))
        message = unwrap(self.context.codec.decode(payload))
        if not isinstance(message, message_class):
            raise HandshakeError(f"unexpected {type(message).__name__}")
        return message


def unwrap(result):
    """Returns the value of a result or raises its error."""
    if result.is_error():
        raise HandshakeError(str(result.error))
    return result.ok


async def run_handshake(handshake) -> Result:
    """Runs a handshake within its deadline.

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
        return Error(LinkError("connection reset", sent=False))

"""Dialers and listeners: the two ends at which links are opened."""

import random

import trio
from expression import Error, Result

from wigeonport.channels import Reply
from wigeonport.handshakes import Handshake, run_handshake
from wigeonport.links import LinkClosed, LinkError, Outgoing
from wigeonport.logs import PartLogger
from wigeonport.messages import CALL, ONEWAY

logger = PartLogger("links")

CONNECT_TIMEOUT_MS = 2_000
FIRST_BACKOFF_MS = 50
LAST_BACKOFF_MS = 1_000
MAX_ACCEPTED_LINKS = 256


class Dialer:
    """Keeps one link to another process open.

    A dialer with several addresses tries the next one after a failure, and
    starts with the first again when a link has ended.

    Attributes:
        context: LinkContext of the process.
        addresses: Pairs of IP address and TCP port, the preferred one first.
        position: Index of the address in use.
        session: The open session, or None.
        opened: Called with the dialer after each connect, or None.
    """

    __slots__ = ("context", "addresses", "position", "session", "opened")

    def __init__(self, context, host, port, opened=None, fallbacks=()):
        self.context = context
        self.addresses = [(host, port), *fallbacks]
        self.position = 0
        self.session = None
        self.opened = opened

    @property
    def address(self):
        """The address in use."""
        return self.addresses[self.position]

    @property
    def connected(self):
        """Whether the link is open."""
        return self.session is not None

    def post(self, message):
        """Sends a message that has no answer; False if not connected."""
        if self.session is None:
            return False
        return self.session.submit(Outgoing(message, ONEWAY))

    async def ask(self, message, timeout_ms) -> Result:
        """Returns the answer to a call, or a LinkError."""
        if self.session is None:
            return Error(LinkError("not connected", sent=False))
        reply = Reply()
        if not self.session.submit(Outgoing(message, CALL, reply=reply)):
            return Error(LinkError("send queue is full", sent=False))
        answer = await reply.wait(timeout_ms)
        if answer.is_error():
            return Error(LinkError(answer.error, sent=True))
        return answer.ok

    async def run(self):
        """Connects again whenever the link ends."""
        backoff_ms = FIRST_BACKOFF_MS
        while True:
            stream = await self.connect()
            if stream is not None and await self.serve(stream):
                backoff_ms = FIRST_BACKOFF_MS
                self.position = 0
            else:
                self.position = (self.position + 1) % len(self.addresses)
            jitter = random.uniform(0.5, 1.0)
            await self.context.clock.sleep(backoff_ms * jitter)
            backoff_ms = min(backoff_ms * 2, LAST_BACKOFF_MS)

    async def connect(self):
        """Returns a TCP stream, or None."""
        with trio.move_on_after(CONNECT_TIMEOUT_MS / 1000):
            try:
                return await trio.open_tcp_stream(*self.address)
            except OSError:
                return None
        return None

    async def serve(self, stream):
        """Runs a session; returns whether one was established."""
        session = await run_handshake(Handshake(stream, self.context).dial)
        if session.is_error():
            await trio.aclose_forcefully(stream)
            logger.warning(
                "Link refused.",
                peer="{}:{}".format(*self.address),
                reason=session.error,
            )
            return False
        self.session = session.ok
        if self.opened is not None:
            self.opened(self)
        try:
            await session.ok.run()
        finally:
            self.session = None
        await report_end(session.ok)
        return True


async def report_end(session):
    """Logs the end of a session and tells the inbound mailbox."""
    logger.info(
        "Link ended.",
        peer=session.peer.node_id,
        reason=session.close_reason,
    )
    await session.inbound.put(LinkClosed(session.peer, session))


async def listen(context, host, port, task_status=trio.TASK_STATUS_IGNORED):
    """Accepts links until cancelled."""
    limiter = trio.CapacityLimiter(MAX_ACCEPTED_LINKS)

    async def handle(stream):
        try:
            limiter.acquire_nowait()
        except trio.WouldBlock:
            context.metrics.count("links_refused_connections")
            return
        try:
            await accept(context, stream)
        finally:
            limiter.release()

    await trio.serve_tcp(handle, port, host=host, task_status=task_status)


async def accept(context, stream):
    """Runs the session of an accepted connection."""
    session = await run_handshake(Handshake(stream, context).accept)
    if session.is_error():
        context.metrics.count("links_refused_handshakes")
        logger.warning("Link refused.", reason=session.error)
        return
    await session.ok.run()
    await report_end(session.ok)

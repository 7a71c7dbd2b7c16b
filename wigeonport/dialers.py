"""Dialers open links to other processes; listeners accept them."""

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
INITIAL_BACKOFF_MS = 50
MAX_BACKOFF_MS = 1_000
MAX_ACCEPTED_LINKS = 256
# A handshake takes a few round trips, and all entries may connect at once
# after a restart. Beyond this number the oldest one is given up, so that
# connections without a handshake keep no process out.
MAX_PENDING_HANDSHAKES = MAX_ACCEPTED_LINKS
REFUSAL_LOG_INTERVAL_MS = 1_000


class Dialer:
    """Keeps one link to another process open.

    A dialer with several addresses tries the next one after each failure to
    connect. When an established link has ended, it starts with the first
    address again.

    Attributes:
        context: LinkContext of the process.
        addresses: Pairs of IP address and TCP port, the preferred pair first.
        address_index: Index of the address in use.
        session: The open session, or None.
        on_connect: Function that is called with the dialer after each
            handshake, or None.
    """

    __slots__ = (
        "context",
        "addresses",
        "address_index",
        "session",
        "on_connect",
    )

    def __init__(self, context, host, port, on_connect=None, fallbacks=()):
        self.context = context
        self.addresses = [(host, port), *fallbacks]
        self.address_index = 0
        self.session = None
        self.on_connect = on_connect

    @property
    def address(self):
        """The address in use."""
        return self.addresses[self.address_index]

    @property
    def connected(self):
        """Whether the link is open."""
        return self.session is not None

    def post(self, message):
        """Sends a message that has no answer.

        Returns:
            False if there is no link or it cannot send.
        """
        if self.session is None:
            return False
        return self.session.submit(Outgoing(message, ONEWAY))

    async def ask(self, message, timeout_ms) -> Result:
        """Sends a call; returns the answer to it, or a LinkError."""
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
        """Connects, runs the session and connects again when it ends."""
        backoff_ms = INITIAL_BACKOFF_MS
        while True:
            stream = await self.connect()
            if stream is not None and await self.run_session(stream):
                backoff_ms = INITIAL_BACKOFF_MS
                self.address_index = 0
            else:
                self.address_index = (self.address_index + 1) % len(
                    self.addresses
                )
            jitter = random.uniform(0.5, 1.0)
            await self.context.clock.sleep(backoff_ms * jitter)
            backoff_ms = min(backoff_ms * 2, MAX_BACKOFF_MS)

    async def connect(self):
        """Returns a TCP stream to the address in use, or None on failure."""
        with trio.move_on_after(CONNECT_TIMEOUT_MS / 1000):
            try:
                return await trio.open_tcp_stream(*self.address)
            except OSError:
                return None
        return None

    async def run_session(self, stream):
        """Runs a session until it ends.

        Returns:
            Whether the handshake succeeded.
        """
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
        if self.on_connect is not None:
            self.on_connect(self)
        try:
            await session.ok.run()
        finally:
            self.session = None
        await report_closed(session.ok)
        return True


async def report_closed(session):
    """Logs the end of a session and sends a LinkClosed to the mailbox."""
    logger.info(
        "Link ended.",
        peer=session.peer.node_id,
        reason=session.close_reason,
    )
    await session.inbound.put(LinkClosed(session.peer, session))


class LinkListener:
    """Accepts links; only handshakes that succeed count as links.

    Attributes:
        context: LinkContext of the process.
        handshakes: The trio.CancelScope of each pending handshake, as keys,
            oldest first.
        links: Number of established links.
        logged_ms: Time of the last log line about a refused handshake.
    """

    __slots__ = ("context", "handshakes", "links", "logged_ms")

    def __init__(self, context):
        self.context = context
        self.handshakes = {}
        self.links = 0
        self.logged_ms = 0

    async def serve(self, stream):
        """Runs the handshake and the session of an accepted connection."""
        session = await self.accept(stream)
        if session is None:
            return
        if self.links >= MAX_ACCEPTED_LINKS:
            self.context.metrics.count("links_refused_connections")
            return
        self.links += 1
        try:
            await session.run()
        finally:
            self.links -= 1
        await report_closed(session)

    async def accept(self, stream):
        """Returns the Session after the handshake, or None."""
        if len(self.handshakes) >= MAX_PENDING_HANDSHAKES:
            self.context.metrics.count("links_dropped_handshakes")
            oldest = next(iter(self.handshakes))
            del self.handshakes[oldest]
            oldest.cancel()
        with trio.CancelScope() as scope:
            self.handshakes[scope] = scope
            try:
                session = await run_handshake(
                    Handshake(stream, self.context).accept
                )
            finally:
                self.handshakes.pop(scope, None)
            if session.is_ok():
                return session.ok
            self.report_refusal(session.error)
        return None

    def report_refusal(self, reason):
        """Counts a refused handshake; logs at most one a second."""
        self.context.metrics.count("links_refused_handshakes")
        now_ms = self.context.clock.now()
        if now_ms - self.logged_ms >= REFUSAL_LOG_INTERVAL_MS:
            self.logged_ms = now_ms
            logger.warning("Link refused.", reason=reason)


async def listen(context, host, port, task_status=trio.TASK_STATUS_IGNORED):
    """Accepts links until cancelled."""
    await trio.serve_tcp(
        LinkListener(context).serve, port, host=host, task_status=task_status
    )

"""Sessions: established, authenticated connections.

A session is a chain of three tasks: the reader decodes frames, the owner
holds the open calls and the liveness state, and the writer encodes and sends.
The owner receives everything through one mailbox.
"""

import trio
from expression import Error, Ok, Result

from wigeonport.channels import REFUSE, Mailbox
from wigeonport.links import Delivery, LinkError
from wigeonport.messages import CALL, ONEWAY, REPLY, Envelope, Ping

READ_BYTES = 65_536
PING_INTERVAL_MS = 500
SILENCE_LIMIT_MS = 2_000
SEND_TIMEOUT_MS = 2_000
OUTBOX_BOUND = 1_024
MAX_OPEN_CALLS = 4_096


class Received:
    """An envelope and its decoded message, from the reader to the owner."""

    __slots__ = ("envelope", "message")

    def __init__(self, envelope, message):
        self.envelope = envelope
        self.message = message


class Session:
    """One established connection.

    Attributes:
        identity: Identity of this process.
        peer: Hello of the other side.
        stream: The TCP stream.
        sealer: Signs and checks frames.
        buffer: Splits received bytes.
        inbound: Mailbox for the messages of the other side.
        clock: Time source.
        metrics: Metrics of the process.
        lamport: LamportCounter of the process.
        codec: Codec of the payloads.
        events: Mailbox of the owner task.
        outbox: Mailbox of the writer task.
        calls: Reply channels of the open calls by sequence.
        next_sequence: Number of the next call.
        heard_ms: When the last frame arrived.
        sent_ms: When the last frame was queued.
        close_reason: Why the session ended, or None.
    """

    __slots__ = (
        "identity",
        "peer",
        "stream",
        "sealer",
        "buffer",
        "inbound",
        "clock",
        "metrics",
        "lamport",
        "codec",
        "events",
        "outbox",
        "calls",
        "next_sequence",
        "heard_ms",
        "sent_ms",
        "close_reason",
    )

    def __init__(self, stream, peer, sealer, buffer, context):
        self.identity = context.identity
        self.peer = peer
        self.stream = stream
        self.sealer = sealer
        self.buffer = buffer
        self.inbound = context.inbound
        self.clock = context.clock
        self.metrics = context.metrics
        self.lamport = context.lamport
        self.codec = context.codec
        self.events = Mailbox("link owner", OUTBOX_BOUND, REFUSE)
        self.outbox = Mailbox("link writer", OUTBOX_BOUND, REFUSE)
        self.calls = {}
        self.next_sequence = 1
        self.heard_ms = self.clock.now()
        self.sent_ms = self.heard_ms
        self.close_reason = None

    def submit(self, outgoing):
        """Hands a message to the owner task; returns False if refused."""
        if self.close_reason is not None:
            return False
        return self.events.put_nowait(outgoing)

    async def run(self):
        """Runs the three tasks until the connection ends."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.read, nursery.cancel_scope)
                nursery.start_soon(self.write, nursery.cancel_scope)
                await self.own()
                nursery.cancel_scope.cancel()
        finally:
            self.close_reason = self.close_reason or "cancelled"
            await trio.aclose_forcefully(self.stream)
            self.fail_calls()

    def end(self, scope, reason):
        """Ends the session with a reason for the log."""
        self.close_reason = self.close_reason or reason
        scope.cancel()

    async def read(self, scope):
        """Receives, checks and decodes frames."""
        try:
            while True:
                data = await self.stream.receive_some(READ_BYTES)
                if not data:
                    return self.end(scope, "closed by the other side")
                fault = await self.take(data)
                if fault:
                    self.metrics.count("links_bad_frames")
                    return self.end(scope, fault)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return self.end(scope, "connection reset")

    async def take(self, data):
        """Passes whole frames on; returns the fault of a bad one."""
        frames = self.buffer.feed(data)
        if frames.is_error():
            return str(frames.error)
        for frame in frames.ok:
            received = open_frame(self.sealer, self.codec, frame)
            if received.is_error():
                return str(received.error)
            if not self.events.put_nowait(received.ok):
                return "receive queue is full"
        return None

    async def own(self):
        """Handles outgoing messages, arrivals and liveness."""
        while self.close_reason is None:
            event = await self.events.get_within(PING_INTERVAL_MS)
            if isinstance(event, Received):
                await self.handle_received(event)
            elif event is not None:
                self.handle_outgoing(event)
            self.check_liveness()

    def check_liveness(self):
        """Pings if nothing was sent; closes after the silence limit.

        Each side shows by itself that it lives, so a Ping has no answer. A
        check is at most one interval late, so that a Ping follows the last
        frame after less than two intervals, half of the silence limit.
        """
        now_ms = self.clock.now()
        if now_ms - self.heard_ms > SILENCE_LIMIT_MS:
            self.close_reason = "no frame within the silence limit"
        elif now_ms - self.sent_ms >= PING_INTERVAL_MS:
            self.write_later(Ping(now_ms), ONEWAY, 0)

    def handle_outgoing(self, outgoing):
        """Numbers a call and hands the message to the writer."""
        sequence = outgoing.sequence
        if outgoing.exchange == CALL:
            sequence = self.next_sequence
            self.next_sequence += 1
            self.calls[sequence] = outgoing.reply
            if len(self.calls) > MAX_OPEN_CALLS:
                del self.calls[next(iter(self.calls))]
        self.write_later(outgoing.message, outgoing.exchange, sequence)

    def write_later(self, message, exchange, sequence):
        """Queues an envelope; a peer that cannot keep up is cut off."""
        self.sent_ms = self.clock.now()
        payload = self.codec.encode(message)
        lamport = self.lamport.tick()
        envelope = Envelope(exchange, sequence, lamport, payload)
        if not self.outbox.put_nowait(envelope):
            self.close_reason = "send queue is full"

    async def handle_received(self, event):
        """Resolves calls and passes on what is no Ping."""
        self.heard_ms = self.clock.now()
        envelope, message = event.envelope, event.message
        self.lamport.observe(envelope.lamport)
        if isinstance(message, Ping):
            pass
        elif envelope.exchange == REPLY:
            reply = self.calls.pop(envelope.sequence, None)
            if reply is not None:
                reply.send(Ok(message))
        else:
            delivery = Delivery(message, self.peer, self, envelope.sequence)
            if not await self.inbound.put(delivery):
                self.metrics.count("links_refused_messages")

    async def write(self, scope):
        """Encodes, seals and sends envelopes."""
        async for envelope in self.outbox:
            frame = self.sealer.seal(self.codec.encode(envelope))
            self.metrics.count("links_sent_frames")
            self.metrics.count("links_sent_bytes", len(frame))
            try:
                with trio.fail_after(SEND_TIMEOUT_MS / 1000):
                    await self.stream.send_all(frame)
            except trio.TooSlowError:
                return self.end(scope, "send timed out")
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return self.end(scope, "connection reset")
        return None

    def fail_calls(self):
        """Answers the open calls with an error."""
        for reply in self.calls.values():
            reply.send(Error(LinkError("connection lost", sent=True)))
        self.calls.clear()


def open_frame(sealer, codec, frame) -> Result:
    """Returns the Received of a frame, or the error of its first fault."""
    payload = sealer.open(frame)
    if payload.is_error():
        return payload
    envelope = codec.decode(payload.ok)
    if envelope.is_error():
        return envelope
    if not isinstance(envelope.ok, Envelope):
        return Error(LinkError("frame carries no envelope", sent=False))
    message = codec.decode(envelope.ok.payload)
    if message.is_error():
        return message
    return Ok(Received(envelope.ok, message.ok))

"""Sessions: established, authenticated connections.

A session is a chain of three tasks: the reader decodes frames, the owner
holds the pending calls and the liveness state, and the writer encodes and
sends. The owner receives everything through one mailbox.
"""

import trio
from expression import Error, Ok, Result

from wigeonport.channels import REFUSE, Mailbox
from wigeonport.links import Delivery, LinkError
from wigeonport.logs import PartLogger
from wigeonport.messages import CALL, ONEWAY, REPLY, Envelope, Ping

logger = PartLogger("links")

READ_BYTES = 65_536
PING_INTERVAL_MS = 500
SILENCE_LIMIT_MS = 2_000
SEND_TIMEOUT_MS = 2_000
OUTBOX_BOUND = 1_024
MAX_PENDING_CALLS = 4_096
# Maximum length of an error in the log; it quotes the value.
MAX_FAULT_LENGTH = 300


class Received:
    """An envelope and its decoded message, sent from reader to owner."""

    __slots__ = ("envelope", "message")

    def __init__(self, envelope, message):
        self.envelope = envelope
        self.message = message


class Session:
    """One established, authenticated connection.

    Attributes:
        identity: Identity of this process.
        peer: Hello of the other side.
        stream: The TCP stream.
        sealer: Signs and checks frames.
        buffer: Splits received bytes.
        inbound: Mailbox that gets the messages of the other side.
        clock: Time source.
        metrics: Metrics of the process.
        lamport: LamportCounter of the process.
        codec: Codec of the payloads.
        inbox: Mailbox of the owner task.
        outbox: Mailbox of the writer task.
        pending_calls: Maps the sequence of each unanswered call to its Reply.
        next_sequence: Number of the next call.
        last_received_ms: Time at which the last frame arrived.
        last_sent_ms: Time at which the last frame was queued.
        close_reason: Why the session ended, or None while it is open.
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
        "inbox",
        "outbox",
        "pending_calls",
        "next_sequence",
        "last_received_ms",
        "last_sent_ms",
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
        self.inbox = Mailbox("link owner", OUTBOX_BOUND, REFUSE)
        self.outbox = Mailbox("link writer", OUTBOX_BOUND, REFUSE)
        self.pending_calls = {}
        self.next_sequence = 1
        self.last_received_ms = self.clock.now()
        self.last_sent_ms = self.last_received_ms
        self.close_reason = None

    def submit(self, outgoing):
        """Hands a message to the owner task.

        Returns:
            False if the session has ended or its queue is full.
        """
        if self.close_reason is not None:
            return False
        return self.inbox.put_nowait(outgoing)

    async def run(self):
        """Runs the three tasks until the connection ends."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.run_reader, nursery.cancel_scope)
                nursery.start_soon(self.run_writer, nursery.cancel_scope)
                await self.run_owner()
                nursery.cancel_scope.cancel()
        finally:
            self.close_reason = self.close_reason or "cancelled"
            await trio.aclose_forcefully(self.stream)
            self.fail_pending_calls()

    def close(self, scope, reason):
        """Ends the session; the first reason given is the one logged."""
        self.close_reason = self.close_reason or reason
        scope.cancel()

    async def run_reader(self, scope):
        """Receives, checks and decodes frames."""
        try:
            while True:
                data = await self.stream.receive_some(READ_BYTES)
                if not data:
                    return self.close(scope, "closed by the other side")
                fault = await self.decode_frames(data)
                if fault:
                    self.metrics.count("links_bad_frames")
                    return self.close(scope, fault)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return self.close(scope, "connection reset")

    async def decode_frames(self, data):
        """Decodes complete frames and passes them to the owner.

        Returns:
            Why the session must end, or None.
        """
        frames = self.buffer.feed(data)
        if frames.is_error():
            return str(frames.error)
        for frame in frames.ok:
            received = decode_frame(self.sealer, self.codec, frame)
            if received.is_error():
                return str(received.error)
            if not self.inbox.put_nowait(received.ok):
                return "receive queue is full"
        return None

    async def run_owner(self):
        """Handles outgoing and received messages and checks liveness."""
        while self.close_reason is None:
            event = await self.inbox.get_within(PING_INTERVAL_MS)
            if isinstance(event, Received):
                await self.handle_received(event)
            elif event is not None:
                self.handle_outgoing(event)
            self.check_liveness()

    def check_liveness(self):
        """Sends a Ping if idle; closes the session after the silence limit.

        Both sides send their own Pings, so a Ping has no answer. A check is
        at most one interval late, so a Ping follows the last frame after
        less than two intervals, which is half of the silence limit.
        """
        now_ms = self.clock.now()
        if now_ms - self.last_received_ms > SILENCE_LIMIT_MS:
            self.close_reason = "no frame within the silence limit"
        elif now_ms - self.last_sent_ms >= PING_INTERVAL_MS:
            ping = self.codec.encode(Ping(now_ms))
            self.queue_envelope(ping, ONEWAY, 0)

    def handle_outgoing(self, outgoing):
        """Numbers a call and queues the message for the writer.

        Beyond MAX_PENDING_CALLS the oldest call is dropped; its Reply gets
        no answer.
        """
        try:
            payload = self.codec.encode(outgoing.message)
        except Exception as error:  # thriftpy2 raises many types
            self.drop_message(outgoing, error)
            return
        sequence = outgoing.sequence
        if outgoing.exchange == CALL:
            sequence = self.next_sequence
            self.next_sequence += 1
            self.pending_calls[sequence] = outgoing.reply
            if len(self.pending_calls) > MAX_PENDING_CALLS:
                del self.pending_calls[next(iter(self.pending_calls))]
        self.queue_envelope(payload, outgoing.exchange, sequence)

    def drop_message(self, outgoing, error):
        """Logs and counts a message that cannot be encoded.

        An exception would end the process, and the others that get the same
        value.
        """
        kind = type(outgoing.message).__name__
        self.metrics.count("links_unencodable_messages")
        logger.error(
            "Message not sent.",
            peer=self.peer.node_id,
            kind=kind,
            fault=repr(error)[:MAX_FAULT_LENGTH],
        )
        if outgoing.reply is not None:
            text = f"the {kind} cannot be encoded"
            outgoing.reply.send(Error(LinkError(text, sent=False)))

    def queue_envelope(self, payload, exchange, sequence):
        """Queues the envelope of an encoded message for the writer.

        A full queue means that the peer cannot keep up; it ends the session.
        """
        self.last_sent_ms = self.clock.now()
        lamport = self.lamport.tick()
        envelope = Envelope(exchange, sequence, lamport, payload)
        if not self.outbox.put_nowait(envelope):
            self.close_reason = "send queue is full"

    async def handle_received(self, event):
        """Completes the call that a REPLY answers; delivers other messages.

        A Ping is not delivered.
        """
        self.last_received_ms = self.clock.now()
        envelope, message = event.envelope, event.message
        self.lamport.observe(envelope.lamport)
        if isinstance(message, Ping):
            pass
        elif envelope.exchange == REPLY:
            reply = self.pending_calls.pop(envelope.sequence, None)
            if reply is not None:
                reply.send(Ok(message))
        else:
            delivery = Delivery(message, self.peer, self, envelope.sequence)
            if not await self.inbound.put(delivery):
                self.metrics.count("links_refused_messages")

    async def run_writer(self, scope):
        """Encodes, seals and sends envelopes."""
        async for envelope in self.outbox:
            frame = self.sealer.seal(self.codec.encode(envelope))
            self.metrics.count("links_sent_frames")
            self.metrics.count("links_sent_bytes", len(frame))
            try:
                with trio.fail_after(SEND_TIMEOUT_MS / 1000):
                    await self.stream.send_all(frame)
            except trio.TooSlowError:
                return self.close(scope, "send timed out")
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return self.close(scope, "connection reset")
        return None

    def fail_pending_calls(self):
        """Answers the pending calls with an error."""
        for reply in self.pending_calls.values():
            reply.send(Error(LinkError("connection lost", sent=True)))
        self.pending_calls.clear()


def decode_frame(sealer, codec, frame) -> Result:
    """Returns the Received of a frame, or the first error found in it."""
    payload = sealer.open(frame)
    if payload.is_error():
        return payload
    envelope = codec.decode(payload.ok)
    if envelope.is_error():
        return envelope
    if not isinstance(envelope.ok, Envelope):
        return Error(
            LinkError("payload of the frame is not an Envelope", sent=False)
        )
    message = codec.decode(envelope.ok.payload)
    if message.is_error():
        return message
    return Ok(Received(envelope.ok, message.ok))

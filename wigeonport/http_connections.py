"""One accepted HTTP/1.1 connection, whose task owns the socket.

hypercorn parses requests and runs the application. The connection here adds
what hypercorn lacks: it counts what it holds with the ClientBudget, it can be
ended by it at any time, it speaks neither HTTP/2 nor WebSocket, and a fault of
one connection ends only this one.
"""

import contextlib
import os
import socket

import h11
import trio
from hypercorn.events import Closed, RawData, Updated
from hypercorn.protocol.events import EndBody, Request, Response
from hypercorn.protocol.h11 import STREAM_ID, H11Protocol
from hypercorn.protocol.http_stream import HTTPStream
from hypercorn.trio.task_group import TaskGroup
from hypercorn.utils import parse_socket_addr

from wigeonport.client_budgets import ANSWERING, DECIDING, Holding

# What all connections read in one turn is held beyond the budget until the
# connections that were ended for it are closed in the next turn.
READ_BYTES = 16_384
# Larger answers are sent in pieces, so that their progress is seen.
PIECE_BYTES = 65_536
# A longer number exceeds every limit, and int() refuses very long ones.
MAX_LENGTH_DIGITS = 18
FIRST_STATUS_OF_ANSWERS = 200
REFUSAL = (
    b"HTTP/1.1 503 \r\nretry-after: 1\r\ncontent-length: 0\r\n"
    b"connection: close\r\n\r\n"
)


class RequestRefusedError(Exception):
    """A request is answered before the application sees it.

    Attributes:
        status: HTTP status of the answer.
    """

    __slots__ = ("status",)

    def __init__(self, status):
        super().__init__(status)
        self.status = status


class BoundedStream(HTTPStream):
    """A request of hypercorn that tells its connection when it is complete."""

    __slots__ = ()

    async def handle(self, event):
        """Handles an event of the parser."""
        if isinstance(event, EndBody):
            self.scope["state"]["connection"].enter_decision()
        await super().handle(event)


class BoundedProtocol(H11Protocol):
    """The HTTP/1.1 protocol of hypercorn without upgrades.

    Attributes:
        owner: HttpConnection.
    """

    __slots__ = ("owner",)

    def __init__(self, owner, task_group, client, server):
        listener = owner.listener
        super().__init__(
            listener.app,
            listener.config,
            listener.context,
            task_group,
            {"connection": owner},
            False,
            client,
            server,
            owner.protocol_send,
        )
        self.owner = owner

    async def _check_protocol(self, event):
        if event.http_version not in (b"1.0", b"1.1"):
            raise RequestRefusedError(505)

    async def _create_stream(self, request):
        self.owner.admit(request)
        self.stream = BoundedStream(
            self.app,
            self.config,
            self.context,
            self.task_group,
            self.ssl,
            self.client,
            self.server,
            self.stream_send,
            STREAM_ID,
        )
        await self.stream.handle(
            Request(
                stream_id=STREAM_ID,
                headers=list(request.headers),
                http_version=request.http_version.decode(),
                method=request.method.decode("ascii").upper(),
                raw_path=request.target,
                state=self.connection_state,
            )
        )
        self.keep_alive_requests += 1

    async def stream_send(self, event):
        """Handles an event of the application."""
        if (
            isinstance(event, Response)
            and event.status_code >= FIRST_STATUS_OF_ANSWERS
        ):
            self.owner.enter(ANSWERING)
        await super().stream_send(event)

    async def _maybe_recycle(self):
        # Nobody reads the rest of a request that was answered before its end,
        # and its parts would wait for the application without an end.
        if self.connection.their_state is h11.SEND_BODY:
            self.owner.close()
            self.owner.scope.cancel()
            return
        await super()._maybe_recycle()


class HttpConnection:
    """Serves the requests of one connection.

    Attributes:
        listener: HttpListener that accepted it.
        stream: The TCP stream.
        holding: What the process holds for it.
        protocol: BoundedProtocol, or None before ``run``.
        send_lock: trio.Lock of the sends, which both the parser and the
            application make.
        scope: trio.CancelScope that ends the connection.
        arrived_ms: Earliest monotonic time at which the current request may
            have arrived.
    """

    __slots__ = (
        "listener",
        "stream",
        "holding",
        "protocol",
        "send_lock",
        "scope",
        "arrived_ms",
    )

    def __init__(self, listener, stream):
        self.listener = listener
        self.stream = stream
        self.scope = trio.CancelScope()
        self.holding = Holding(
            listener.limits.share, self.scope.cancel, listener.clock.now()
        )
        self.protocol = None
        self.send_lock = trio.Lock()
        self.arrived_ms = 0

    async def run(self):
        """Serves requests until the connection ends."""
        try:
            with self.scope:
                await self.serve()
        except* OSError:
            pass
        except* Exception as group:
            self.listener.report_fault(group)
        finally:
            if self.holding.reason is not None and self.holding.not_run:
                self.refuse()
            self.close()
            # The protocol refers back to this object. Without this, what it
            # has read stays in memory until the next garbage collection.
            self.protocol = None

    async def serve(self):
        """Reads and handles what the client sends."""
        peer = self.stream.socket
        client = parse_socket_addr(peer.family, peer.getpeername())
        server = parse_socket_addr(peer.family, peer.getsockname())
        async with TaskGroup() as task_group:
            self.protocol = BoundedProtocol(self, task_group, client, server)
            try:
                await self.read()
            except RequestRefusedError as refusal:
                self.listener.metrics.count(
                    f"clients_refused_{refusal.status}"
                )
                await self.protocol._send_error_response(refusal.status)
                self.close()
            await self.protocol.handle(Closed())

    async def read(self):
        """Passes bytes to the protocol until the client sends no more."""
        budget, clock = self.listener.limits.budget, self.listener.clock
        while True:
            try:
                data = await self.stream.receive_some(READ_BYTES)
            except (trio.ClosedResourceError, trio.BrokenResourceError):
                return
            budget.receive(self.holding, len(data), clock.now())
            if self.holding.reason is not None:
                return
            await self.protocol.handle(RawData(data))
            if not data:
                return
            if self.listener.limits.streams:
                budget.release_received(self.holding, clock.now())

    def admit(self, request):
        """Counts the request that begins.

        Raises:
            RequestRefusedError: If its body is too large.
        """
        self.arrived_ms = self.listener.pauses.earliest_arrival()
        limits, length = self.listener.limits, 0
        for name, value in request.headers:
            if name == b"content-length":
                if len(value) > MAX_LENGTH_DIGITS:
                    raise RequestRefusedError(413)
                length = int(value)
        if length > limits.max_body_bytes:
            raise RequestRefusedError(413)
        share = limits.find_share(request.method, request.target)
        limits.budget.begin(
            self.holding, share, length, self.listener.clock.now()
        )

    def enter(self, phase):
        """Changes the phase of the request, unless it was ended.

        The phase then stays, because it tells whether the request has run.
        """
        if self.holding.reason is None:
            self.holding.enter(phase, self.listener.clock.now())

    def enter_decision(self):
        """Notes that the whole request was read.

        A connection that was ended before is cancelled at the next
        checkpoint, which comes before the application gets the rest.
        """
        if self.holding.phase != ANSWERING:
            self.enter(DECIDING)

    async def protocol_send(self, event):
        """Handles an event of the protocol."""
        if isinstance(event, RawData):
            if event.data:
                await self.send(event.data)
        elif isinstance(event, Closed):
            self.close()
            await self.protocol.handle(Closed())
        elif isinstance(event, Updated) and event.idle:
            ahead_bytes = len(self.protocol.connection.trailing_data[0])
            self.listener.limits.budget.finish(
                self.holding, ahead_bytes, self.listener.clock.now()
            )

    async def send(self, data):
        """Sends bytes; large ones in pieces that count as progress."""
        try:
            async with self.send_lock:
                if len(data) <= PIECE_BYTES:
                    await self.stream.send_all(data)
                else:
                    await self.send_pieces(memoryview(data))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            await self.protocol.handle(Closed())

    async def send_pieces(self, data):
        """Sends a large answer and counts what is left of it."""
        budget, clock = self.listener.limits.budget, self.listener.clock
        left_bytes = len(data)
        budget.hold_answer(self.holding, left_bytes, clock.now())
        try:
            for start in range(0, len(data), PIECE_BYTES):
                piece = data[start : start + PIECE_BYTES]
                await self.stream.send_all(piece)
                left_bytes -= len(piece)
                budget.release_answer(self.holding, len(piece), clock.now())
        finally:
            budget.release_answer(self.holding, left_bytes, clock.now())

    def refuse(self):
        """Tells the client, if it takes it at once, to try again later."""
        self.listener.metrics.count("clients_refused_503")
        with contextlib.suppress(OSError):
            os.write(self.stream.socket.fileno(), REFUSAL)

    def close(self):
        """Closes the socket; a task that waits for it is told."""
        if self.stream.socket.fileno() >= 0:
            with contextlib.suppress(OSError):
                self.stream.socket.shutdown(socket.SHUT_WR)
            self.stream.socket.close()

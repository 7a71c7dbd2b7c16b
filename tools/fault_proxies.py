"""TCP proxies between processes that delay, hold, stop or reset traffic.

A proxy relays the connections that one process, the caller, opens to
another one, the target, over loopback addresses.
"""

import socket
import struct

import trio

READ_BYTES = 65_536
# Value of SO_LINGER that makes close() send a reset instead of a FIN.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Direction:
    """One direction of the traffic of a proxy.

    Attributes:
        delay_s: Delay of each chunk of bytes, in s.
        flowing: trio.Event that is set while bytes are forwarded. While it
            is not set, bytes that arrive are held; they are forwarded
            later, as TCP does after a network partition.
    """

    __slots__ = ("delay_s", "flowing")

    def __init__(self):
        self.delay_s = 0.0
        self.flowing = trio.Event()
        self.flowing.set()

    def hold(self):
        """Holds the bytes that arrive from now on until ``heal``."""
        self.flowing = trio.Event()


class FaultProxy:
    """Relays connections from one process to another.

    Attributes:
        listen: Host and port on which it accepts.
        target: Host and port to which it connects.
        outbound: Direction of what the caller sends.
        inbound: Direction of what the caller receives.
        scopes: Maps the event that silences an open connection to the
            CancelScope that ends it.
    """

    __slots__ = ("listen", "target", "outbound", "inbound", "scopes")

    def __init__(self, listen, target):
        self.listen = listen
        self.target = target
        self.outbound = Direction()
        self.inbound = Direction()
        self.scopes = {}

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Accepts connections until cancelled."""
        host, port = self.listen
        await trio.serve_tcp(
            self.relay_connection, port, host=host, task_status=task_status
        )

    async def relay_connection(self, stream):
        """Relays one connection until one side closes it."""
        try:
            target = await trio.open_tcp_stream(*self.target)
        except OSError:
            reset(stream)
            return
        silent = trio.Event()
        async with trio.open_nursery() as nursery:
            self.scopes[silent] = nursery.cancel_scope
            for source, sink, direction_name in (
                (stream, target, "outbound"),
                (target, stream, "inbound"),
            ):
                nursery.start_soon(
                    self.copy, source, sink, direction_name, silent, nursery
                )
        del self.scopes[silent]
        reset(stream)
        reset(target)

    async def copy(self, source, sink, direction_name, silent, nursery):
        """Forwards bytes in one direction until one side closes.

        Args:
            source: Stream that is read.
            sink: Stream that is written.
            direction_name: Attribute that holds the Direction.
            silent: trio.Event after which nothing is forwarded.
            nursery: Nursery of the connection, cancelled at the end.
        """
        try:
            while data := await source.receive_some(READ_BYTES):
                direction = getattr(self, direction_name)
                if direction.delay_s:
                    await trio.sleep(direction.delay_s)
                await direction.flowing.wait()
                if silent.is_set():
                    await trio.sleep_forever()
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        nursery.cancel_scope.cancel()

    def silence(self):
        """Stops forwarding on the open connections without closing them.

        They never forward again; new connections do.
        """
        for silent in self.scopes:
            silent.set()

    def reset_connections(self):
        """Resets the open connections."""
        for scope in self.scopes.values():
            scope.cancel()

    def heal(self):
        """Ends delays and holds in both directions."""
        for direction in (self.outbound, self.inbound):
            direction.delay_s = 0.0
            direction.flowing.set()


def reset(stream):
    """Closes a stream with a reset."""
    try:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        stream.socket.close()
    except OSError:
        # The stream is closed already.
        pass

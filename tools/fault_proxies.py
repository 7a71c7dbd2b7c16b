"""Loopback proxies between processes that delay, hold, silence or reset.

A proxy stands for one direction of calls, from the process that opens the
connections to the one that accepts them.
"""

import socket
import struct

import trio

READ_BYTES = 65_536
# Closes with a reset instead of an orderly end.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Direction:
    """One direction of the traffic of a proxy.

    Attributes:
        delay_s: Time that each piece is late.
        flowing: trio.Event that is set while bytes pass; what arrives
            meanwhile is held and passes later, as behind a cut.
    """

    __slots__ = ("delay_s", "flowing")

    def __init__(self):
        self.delay_s = 0.0
        self.flowing = trio.Event()
        self.flowing.set()

    def hold(self):
        """Holds what arrives from now on."""
        self.flowing = trio.Event()


class FaultProxy:
    """Relays connections from one process to another.

    Attributes:
        listen: Host and port on which it accepts.
        target: Host and port to which it connects.
        outbound: Way of what the caller sends.
        inbound: Way of what the caller receives.
        scopes: CancelScope by silence event, for each open connection.
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
        """Relays one connection until one side ends."""
        try:
            target = await trio.open_tcp_stream(*self.target)
        except OSError:
            reset(stream)
            return
        silent = trio.Event()
        async with trio.open_nursery() as nursery:
            self.scopes[silent] = nursery.cancel_scope
            for source, sink, name in (
                (stream, target, "there"),
                (target, stream, "back"),
            ):
                nursery.start_soon(
                    self.copy, source, sink, name, silent, nursery
                )
        del self.scopes[silent]
        reset(stream)
        reset(target)

    async def copy(self, source, sink, name, silent, nursery):
        """Carries bytes in one direction."""
        try:
            while data := await source.receive_some(READ_BYTES):
                direction = getattr(self, name)
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
        """Stops the open connections for good; new ones work."""
        for silent in self.scopes:
            silent.set()

    def reset_connections(self):
        """Resets the open connections."""
        for scope in self.scopes.values():
            scope.cancel()

    def heal(self):
        """Lets everything pass again."""
        for direction in (self.outbound, self.inbound):
            direction.delay_s = 0.0
            direction.flowing.set()


def reset(stream):
    """Makes the close of a stream a reset."""
    try:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        stream.socket.close()
    except OSError:
        # The other side has closed it already.
        pass

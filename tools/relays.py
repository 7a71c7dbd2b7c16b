"""TCP relays between zones that can cut or stop the traffic.

Each argument describes one relay:
``port:target_port:source_zone:target_zone``. Commands are read from standard
input, one per line:

- ``cut ZONE``: closes all connections from and to the zone; refuses new ones.
- ``hold ZONE``: keeps the zone's connections, open and new ones, without
  forwarding anything.
- ``silence ZONE``: stops forwarding on the open connections without closing
  them; new ones work.
- ``heal ZONE``: lets new connections work again. Connections that were held
  or silenced never forward again.
"""

import sys

import trio

from wigeonport.registries import Registry

commands = Registry("relay command")

HOST = "127.0.0.1"
READ_BYTES = 65_536


class Connection:
    """One relayed connection.

    Attributes:
        zones: Set of the zones of its two ends.
        scope: CancelScope that ends the connection.
        silent: trio.Event; once it is set, nothing is forwarded any more.
    """

    __slots__ = ("zones", "scope", "silent")

    def __init__(self, zones, scope):
        self.zones = zones
        self.scope = scope
        self.silent = trio.Event()


class Relays:
    """State of all relays.

    Attributes:
        connections: Set of the open Connections.
        refused_zones: Zones whose new connections are refused.
        held_zones: Zones whose new connections forward nothing.
    """

    __slots__ = ("connections", "refused_zones", "held_zones")

    def __init__(self):
        self.connections = set()
        self.refused_zones = set()
        self.held_zones = set()

    def connections_of(self, zone):
        """Returns the open connections from and to a zone."""
        return [c for c in self.connections if zone in c.zones]


@commands.register("cut")
def cut(relays, zone):
    """Closes the zone's connections and refuses new ones."""
    relays.refused_zones.add(zone)
    for connection in relays.connections_of(zone):
        connection.scope.cancel()


@commands.register("hold")
def hold(relays, zone):
    """Stops the traffic of the zone's connections, open and new ones."""
    relays.held_zones.add(zone)
    silence(relays, zone)


@commands.register("silence")
def silence(relays, zone):
    """Stops the traffic of the zone's open connections."""
    for connection in relays.connections_of(zone):
        connection.silent.set()


@commands.register("heal")
def heal(relays, zone):
    """Lets new connections of the zone work again."""
    relays.refused_zones.discard(zone)
    relays.held_zones.discard(zone)


async def copy(source, target, connection):
    """Forwards bytes in one direction until one side closes."""
    try:
        while True:
            data = await source.receive_some(READ_BYTES)
            if connection.silent.is_set():
                await trio.sleep_forever()
            if not data:
                break
            await target.send_all(data)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        pass
    connection.scope.cancel()


async def relay_connection(relays, zones, target_port, stream):
    """Relays one accepted connection."""
    if relays.refused_zones & zones:
        return
    try:
        target = await trio.open_tcp_stream(HOST, target_port)
    except OSError:
        return
    async with target, trio.open_nursery() as nursery:
        connection = Connection(zones, nursery.cancel_scope)
        if relays.held_zones & zones:
            connection.silent.set()
        relays.connections.add(connection)
        nursery.start_soon(copy, stream, target, connection)
        nursery.start_soon(copy, target, stream, connection)
    relays.connections.discard(connection)


async def serve_relay(relays, argument):
    """Listens on the port of one relay."""
    port, target_port, *zones = argument.split(":")

    async def handle(stream):
        await relay_connection(relays, set(zones), int(target_port), stream)

    await trio.serve_tcp(handle, int(port), host=HOST)


async def read_commands(relays, scope):
    """Executes commands from standard input; ends the process at EOF."""
    incomplete = b""
    stream = trio.lowlevel.FdStream(sys.stdin.fileno())
    while data := await stream.receive_some(READ_BYTES):
        *lines, incomplete = (incomplete + data).split(b"\n")
        for line in lines:
            name, zone = line.decode().split()
            commands.get(name).ok(relays, zone)
    scope.cancel()


async def main_task(arguments):
    """Runs all relays."""
    relays = Relays()
    async with trio.open_nursery() as nursery:
        for argument in arguments:
            nursery.start_soon(serve_relay, relays, argument)
        nursery.start_soon(read_commands, relays, nursery.cancel_scope)


if __name__ == "__main__":
    trio.run(main_task, sys.argv[1:])

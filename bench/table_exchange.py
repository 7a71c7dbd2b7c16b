"""Measures the traffic of the endpoint tables between entries.

Runs the endpoint tables and share managers of 7 entries in one process,
connected by real links on 127.0.0.1. 30 endpoints announce themselves to two
entries each second.

Each row of the output gives the frames and bytes a second that one entry
sends, as the mean over all entries:

- no endpoints: only the traffic of idle links and empty tables;
- heartbeats only: announcements that change nothing;
- two changes a second: each second one endpoint changes its number of slots
  and another one returns to its usual number;
- shares of all endpoints: no changes, but every entry requests shares of the
  slots of all endpoints.
"""

import argparse

import trio

from wigeonport.channels import DROP_OLDEST, Mailbox
from wigeonport.clocks import Clock, LamportCounter
from wigeonport.dialers import Dialer, listen
from wigeonport.endpoints import READY, Announced, EndpointRecord
from wigeonport.exchanges import TableExchange, run_table_exchange
from wigeonport.links import Identity, LinkContext
from wigeonport.metrics import Metrics
from wigeonport.shares import ShareDemand, ShareManager, run_share_manager
from wigeonport.subscriptions import route_deliveries

HOST = "127.0.0.1"
TICK_MS = 100


class EntryNode:
    """The endpoint table, share manager and links of one entry."""

    def __init__(self, number, digest_ms):
        self.name = f"entry/n{number}"
        self.inbound = Mailbox("peers", 256)
        self.shares = Mailbox("shares", 256)
        self.tables = Mailbox("tables", 256)
        self.routing = Mailbox("routing", 256, DROP_OLDEST)
        self.metrics = Metrics()
        identity = Identity(self.name, "ikeja", "bench", {"k": b"k" * 16})
        self.context = LinkContext(
            identity, self.inbound, Clock(), self.metrics, LamportCounter()
        )
        self.share_manager = ShareManager(self.name, 2_000, 1_200)
        self.exchange = TableExchange(self.name, 1, 2_500, digest_ms)
        self.dialers = {}
        self.port = 0

    async def listen(self, nursery):
        """Listens on a free port, which is then in ``port``."""
        listeners = await nursery.start(listen, self.context, HOST, 0)
        self.port = listeners[0].socket.getsockname()[1]

    def start(self, nursery, nodes):
        """Connects to all other entries and runs the table and shares."""
        for node in nodes:
            if node is not self:
                dialer = Dialer(self.context, HOST, node.port)
                self.dialers[node.name] = dialer
                nursery.start_soon(dialer.run)
        nursery.start_soon(
            route_deliveries,
            self.inbound,
            self.tables,
            self.tables,
            self.shares,
        )
        nursery.start_soon(
            run_table_exchange,
            self.tables,
            [self.shares],
            self.exchange,
            self.dialers,
            Clock(),
            TICK_MS,
        )
        nursery.start_soon(
            run_share_manager,
            self.shares,
            self.routing,
            self.share_manager,
            self.dialers,
            Clock(),
            20,
        )


async def announce(nodes, endpoints, changing):
    """Lets each endpoint announce itself to two entries each second.

    Args:
        nodes: The entries.
        endpoints: Number of endpoints.
        changing: List of one bool: whether one endpoint a second, in turn,
            announces another number of slots.
    """
    sequence = 0
    while True:
        sequence += 1
        for number in range(endpoints):
            slots = 8
            if changing[0] and number == sequence % endpoints:
                slots = 9 + sequence
            record = EndpointRecord(
                f"endpoint-{number}",
                "roster",
                "ikeja",
                "10.0.0.1",
                9_000,
                slots,
                64,
                READY,
                1,
                sequence,
            )
            for offset in (0, 1):
                node = nodes[(number + offset) % len(nodes)]
                await node.tables.put(Announced(record))
        await trio.sleep(1)


async def request_shares(nodes, endpoints):
    """Lets each entry request shares of all endpoints, without demand."""
    share_items = [(f"endpoint-{number}", 0, 0) for number in range(endpoints)]
    while True:
        for node in nodes:
            node.shares.put_nowait(ShareDemand(share_items, False))
        await trio.sleep(0.5)


async def measure(nodes, seconds, label):
    """Prints the frames and bytes that an entry sends a second (mean)."""
    names = ("links_sent_frames", "links_sent_bytes")
    before = {
        name: sum(n.metrics.counters.get(name, 0) for n in nodes)
        for name in names
    }
    await trio.sleep(seconds)
    rates = [
        (sum(n.metrics.counters.get(name, 0) for n in nodes) - before[name])
        / seconds
        / len(nodes)
        for name in names
    ]
    print(
        f"{label}: {rates[0]:.1f} frames/s, {rates[1]:.0f} bytes/s "
        f"sent by each of {len(nodes)} entries (mean)"
    )


async def main_task(options):
    """Starts the entries and takes the measurements one after another."""
    nodes = [EntryNode(n, options.digest_ms) for n in range(options.entries)]
    changing = [False]
    async with trio.open_nursery() as nursery:
        for node in nodes:
            await node.listen(nursery)
        for node in nodes:
            node.start(nursery, nodes)
        await trio.sleep(2)
        await measure(nodes, options.seconds, "no endpoints")
        nursery.start_soon(announce, nodes, options.endpoints, changing)
        await trio.sleep(2)
        await measure(nodes, options.seconds, "heartbeats only")
        changing[0] = True
        await measure(nodes, options.seconds, "two changes a second")
        changing[0] = False
        nursery.start_soon(request_shares, nodes, options.endpoints)
        await trio.sleep(3)
        await measure(nodes, options.seconds, "shares of all endpoints")
        nursery.cancel_scope.cancel()


def main():
    """Runs the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, default=7)
    parser.add_argument("--endpoints", type=int, default=30)
    parser.add_argument("--seconds", type=int, default=8)
    parser.add_argument("--digest-ms", type=int, default=1_000)
    trio.run(main_task, parser.parse_args())


if __name__ == "__main__":
    main()

"""Exchange of endpoint tables between entries.

Changes are sent as they happen. A digest each second, and soon after each
change, detects lost updates; the whole table is sent only on a mismatch.
Heartbeats of endpoints are never passed on.
"""

from wigeonport.endpoint_tables import LocalTable, MergedView, PeerTable
from wigeonport.exchange_messages import TablePiece, TableRequest
from wigeonport.links import Delivery
from wigeonport.registries import Registry

handlers = Registry("exchange message")

PIECE_ENTRIES = 500
ASK_INTERVAL_MS = 300
DIGEST_AFTER_CHANGE_MS = 200


class Broadcast:
    """Command: send a message to all other entries."""

    __slots__ = ("message",)

    def __init__(self, message):
        self.message = message


class SendTo:
    """Command: send a message to one other entry."""

    __slots__ = ("node_id", "message")

    def __init__(self, node_id, message):
        self.node_id = node_id
        self.message = message


class TableExchange:
    """Decides what is sent and shown; no sockets.

    Attributes:
        own: OwnTable of this entry.
        peers: PeerTable by node id.
        view: MergedView.
        digest_ms: Time between two digests.
        next_digest_ms: When the next digest is due.
    """

    __slots__ = ("own", "peers", "view", "digest_ms", "next_digest_ms")

    def __init__(self, node_id, epoch, expiry_ms, digest_ms):
        self.own = LocalTable(node_id, epoch, expiry_ms)
        self.peers = {}
        self.view = MergedView()
        self.digest_ms = digest_ms
        self.next_digest_ms = 0

    def step(self, message, now_ms):
        """Handles a message; returns commands and changes."""
        handler = handlers.get(type(message).__name__)
        if handler.is_error():
            return []
        return handler.ok(self, message, now_ms)

    def tick(self, now_ms):
        """Expires silent endpoints and entries; sends a due digest."""
        touched, commands = set(), []
        for update in self.own.expire(now_ms):
            touched.add(update.entry.record.endpoint_id)
            commands += self.publish(update, now_ms)
        for node_id, peer in list(self.peers.items()):
            if now_ms - peer.heard_ms > self.own.expiry_ms:
                touched.update(peer.entries)
                del self.peers[node_id]
                alive_ms = peer.heard_ms + self.digest_ms
                self.view.gone_ms[node_id] = alive_ms
        if now_ms >= self.next_digest_ms:
            self.next_digest_ms = now_ms + self.digest_ms
            commands.append(Broadcast(self.own.digest()))
        return commands + self.refresh(touched, now_ms)

    def publish(self, update, now_ms):
        """Broadcasts an update and brings the next digest forward."""
        soon_ms = now_ms + DIGEST_AFTER_CHANGE_MS
        self.next_digest_ms = min(self.next_digest_ms, soon_ms)
        return [Broadcast(update)]

    def refresh(self, endpoint_ids, now_ms):
        """Returns the changes of the merged view."""
        if not endpoint_ids:
            return []
        tables = {node_id: p.entries for node_id, p in self.peers.items()}
        tables[self.own.origin] = self.own.entries
        return self.view.refresh(tables, endpoint_ids, now_ms)

    def hear(self, node_id, now_ms):
        """Returns the PeerTable of an entry that sent something."""
        peer = self.peers.setdefault(node_id, PeerTable(now_ms))
        peer.heard_ms = now_ms
        self.view.gone_ms.pop(node_id, None)
        return peer

    def ask(self, node_id, peer, now_ms):
        """Returns the command that asks for a table, unless just asked."""
        asked_ms = peer.asked_ms
        if asked_ms is not None and now_ms - asked_ms < ASK_INTERVAL_MS:
            return []
        peer.asked_ms = now_ms
        return [SendTo(node_id, TableRequest(self.own.origin))]


@handlers.register("Announced")
def take_announcement(exchange, message, now_ms):
    """An endpoint announced itself to this entry."""
    commands = []
    for update in exchange.own.announce(message.record, now_ms):
        commands += exchange.publish(update, now_ms)
    return commands + exchange.refresh([message.record.endpoint_id], now_ms)


@handlers.register("EndpointUpdate")
def take_update(exchange, update, now_ms):
    """Another entry reports a change."""
    peer = exchange.hear(update.origin, now_ms)
    if not peer.take_update(update):
        return exchange.ask(update.origin, peer, now_ms)
    return exchange.refresh([update.entry.record.endpoint_id], now_ms)


@handlers.register("TableDigest")
def take_digest(exchange, digest, now_ms):
    """Another entry reports the state of its table."""
    peer = exchange.hear(digest.origin, now_ms)
    if peer.matches(digest):
        return []
    return exchange.ask(digest.origin, peer, now_ms)


@handlers.register("TableRequest")
def send_table(exchange, request, now_ms):
    """Another entry asks for the table of this one."""
    own = exchange.own
    entries = list(own.entries.values())
    parts = max(1, -(-len(entries) // PIECE_ENTRIES))
    return [
        SendTo(
            request.origin,
            TablePiece(
                own.origin,
                own.epoch,
                own.number,
                part,
                parts,
                entries[part * PIECE_ENTRIES : (part + 1) * PIECE_ENTRIES],
            ),
        )
        for part in range(parts)
    ]


@handlers.register("TablePiece")
def take_piece(exchange, piece, now_ms):
    """A part of another entry's table arrived."""
    peer = exchange.hear(piece.origin, now_ms)
    touched = set(peer.entries)
    peer.take_piece(piece)
    return exchange.refresh(touched | set(peer.entries), now_ms)


async def run_table_exchange(
    inbound, outbounds, exchange, dialers, clock, tick_ms
):
    """Owns the endpoint table.

    Args:
        inbound: Mailbox of Announced and of the other entries' deliveries.
        outbounds: Mailboxes that receive each change of an endpoint.
        exchange: The TableExchange.
        dialers: Dialers to the other entries by node id.
        clock: Time source.
        tick_ms: Longest time between two checks for silence.
    """
    ticked_ms = clock.now()
    while True:
        message = await inbound.get_within(tick_ms)
        now_ms = clock.now()
        commands = exchange.step(unwrap(message), now_ms)
        if message is None or now_ms - ticked_ms >= tick_ms:
            ticked_ms = now_ms
            commands += exchange.tick(now_ms)
        for command in commands:
            if not post(command, dialers):
                for outbound in outbounds:
                    await outbound.put(command)


def post(command, dialers):
    """Sends a message to other entries; returns False for a change."""
    if isinstance(command, Broadcast):
        for dialer in dialers.values():
            dialer.post(command.message)
    elif isinstance(command, SendTo):
        if command.node_id in dialers:
            dialers[command.node_id].post(command.message)
    else:
        return False
    return True


def unwrap(message):
    """Returns what the exchange is to handle, or None."""
    if isinstance(message, Delivery):
        return message.message if speaks_for(message) else None
    return message


def speaks_for(delivery):
    """Returns whether a message comes from the entry that it names."""
    origin = getattr(delivery.message, "origin", None)
    return delivery.peer.node_id == origin

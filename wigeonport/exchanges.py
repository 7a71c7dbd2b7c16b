"""Exchange of endpoint tables between entries.

Each change of an entry's own table is broadcast at once. A digest each
second, and soon after each change, detects lost updates; the whole table is
sent only if a digest does not match. Heartbeats of endpoints are not
forwarded to other entries.
"""

from wigeonport.endpoint_tables import LocalTable, MergedView, PeerTable
from wigeonport.exchange_messages import TablePiece, TableRequest
from wigeonport.links import Delivery
from wigeonport.registries import Registry

handlers = Registry("exchange message")

ENTRIES_PER_PIECE = 500
MIN_REQUEST_INTERVAL_MS = 300
DIGEST_DELAY_AFTER_CHANGE_MS = 200


class Broadcast:
    """Command to send a message to all other entries."""

    __slots__ = ("message",)

    def __init__(self, message):
        self.message = message


class SendTo:
    """Command to send a message to one other entry."""

    __slots__ = ("node_id", "message")

    def __init__(self, node_id, message):
        self.node_id = node_id
        self.message = message


class TableExchange:
    """Decides which messages are sent and which changes are published.

    It has no sockets: its methods return the commands and changes.

    Attributes:
        local: LocalTable of this entry.
        peers: Maps the node id of each live entry to its PeerTable.
        view: MergedView of all tables.
        digest_interval_ms: Time between two digests.
        next_digest_ms: Time at which the next digest is due.
    """

    __slots__ = (
        "local",
        "peers",
        "view",
        "digest_interval_ms",
        "next_digest_ms",
    )

    def __init__(self, node_id, epoch, expiry_ms, digest_interval_ms):
        self.local = LocalTable(node_id, epoch, expiry_ms)
        self.peers = {}
        self.view = MergedView()
        self.digest_interval_ms = digest_interval_ms
        self.next_digest_ms = 0

    def step(self, message, now_ms):
        """Handles a message; returns commands and endpoint changes."""
        handler = handlers.get(type(message).__name__)
        if handler.is_error():
            return []
        return handler.ok(self, message, now_ms)

    def tick(self, now_ms):
        """Expires silent endpoints and entries, and sends a digest if due.

        Returns:
            Commands and endpoint changes.
        """
        changed_ids, commands = set(), []
        for update in self.local.expire(now_ms):
            changed_ids.add(update.entry.record.endpoint_id)
            commands += self.publish(update, now_ms)
        for node_id, peer in list(self.peers.items()):
            if now_ms - peer.last_message_ms > self.local.expiry_ms:
                changed_ids.update(peer.entries)
                del self.peers[node_id]
                alive_until_ms = peer.last_message_ms + self.digest_interval_ms
                self.view.alive_until_ms[node_id] = alive_until_ms
        if now_ms >= self.next_digest_ms:
            self.next_digest_ms = now_ms + self.digest_interval_ms
            commands.append(Broadcast(self.local.digest()))
        return commands + self.refresh(changed_ids, now_ms)

    def publish(self, update, now_ms):
        """Returns the broadcast of an update; schedules an early digest."""
        due_ms = now_ms + DIGEST_DELAY_AFTER_CHANGE_MS
        self.next_digest_ms = min(self.next_digest_ms, due_ms)
        return [Broadcast(update)]

    def refresh(self, endpoint_ids, now_ms):
        """Merges the tables for some endpoints; returns what changed."""
        if not endpoint_ids:
            return []
        tables = {
            node_id: peer.entries for node_id, peer in self.peers.items()
        }
        tables[self.local.origin] = self.local.entries
        return self.view.refresh(tables, endpoint_ids, now_ms)

    def mark_alive(self, node_id, now_ms):
        """Records that an entry sent a message; returns its PeerTable."""
        peer = self.peers.setdefault(node_id, PeerTable(now_ms))
        peer.last_message_ms = now_ms
        self.view.alive_until_ms.pop(node_id, None)
        return peer

    def request_table(self, node_id, peer, now_ms):
        """Returns the command that requests a table.

        Returns no command if the last request was less than
        MIN_REQUEST_INTERVAL_MS ago.
        """
        last_request_ms = peer.last_request_ms
        if (
            last_request_ms is not None
            and now_ms - last_request_ms < MIN_REQUEST_INTERVAL_MS
        ):
            return []
        peer.last_request_ms = now_ms
        return [SendTo(node_id, TableRequest(self.local.origin))]


@handlers.register("Announced")
def handle_announcement(exchange, message, now_ms):
    """Records an announcement that an endpoint sent to this entry."""
    commands = []
    for update in exchange.local.announce(message.record, now_ms):
        commands += exchange.publish(update, now_ms)
    return commands + exchange.refresh([message.record.endpoint_id], now_ms)


@handlers.register("EndpointUpdate")
def handle_update(exchange, update, now_ms):
    """Applies an update of another entry, or requests its whole table.

    The table is requested if an earlier update is missing.
    """
    peer = exchange.mark_alive(update.origin, now_ms)
    if not peer.apply_update(update):
        return exchange.request_table(update.origin, peer, now_ms)
    return exchange.refresh([update.entry.record.endpoint_id], now_ms)


@handlers.register("TableDigest")
def handle_digest(exchange, digest, now_ms):
    """Requests the table of another entry if its digest does not match."""
    peer = exchange.mark_alive(digest.origin, now_ms)
    if peer.matches(digest):
        return []
    return exchange.request_table(digest.origin, peer, now_ms)


@handlers.register("TableRequest")
def handle_table_request(exchange, request, now_ms):
    """Sends the table of this entry, in pieces, to the entry that asked."""
    local = exchange.local
    entries = list(local.entries.values())
    parts = max(1, -(-len(entries) // ENTRIES_PER_PIECE))
    return [
        SendTo(
            request.origin,
            TablePiece(
                local.origin,
                local.epoch,
                local.number,
                part,
                parts,
                entries[
                    part * ENTRIES_PER_PIECE : (part + 1) * ENTRIES_PER_PIECE
                ],
            ),
        )
        for part in range(parts)
    ]


@handlers.register("TablePiece")
def handle_table_piece(exchange, piece, now_ms):
    """Adds a part of another entry's table."""
    peer = exchange.mark_alive(piece.origin, now_ms)
    changed_ids = set(peer.entries)
    peer.add_part(piece)
    return exchange.refresh(changed_ids | set(peer.entries), now_ms)


async def run_table_exchange(
    inbound, outbounds, exchange, dialers, clock, tick_ms
):
    """Runs the task that owns the endpoint table.

    Args:
        inbound: Mailbox of Announced and of the Deliveries of other entries.
        outbounds: Mailboxes that receive each change of an endpoint.
        exchange: The TableExchange.
        dialers: Maps node id to the Dialer to that entry.
        clock: Time source.
        tick_ms: Maximum time between two ticks, which check for silent
            endpoints and entries and for a due digest.
    """
    last_tick_ms = clock.now()
    while True:
        message = await inbound.get_within(tick_ms)
        now_ms = clock.now()
        commands = exchange.step(extract_message(message), now_ms)
        if message is None or now_ms - last_tick_ms >= tick_ms:
            last_tick_ms = now_ms
            commands += exchange.tick(now_ms)
        for command in commands:
            if not send_command(command, dialers):
                for outbound in outbounds:
                    await outbound.put(command)


def send_command(command, dialers):
    """Sends the message of a Broadcast or SendTo command.

    Returns:
        False if the object is an endpoint change and no such command.
    """
    if isinstance(command, Broadcast):
        for dialer in dialers.values():
            dialer.post(command.message)
    elif isinstance(command, SendTo):
        if command.node_id in dialers:
            dialers[command.node_id].post(command.message)
    else:
        return False
    return True


def extract_message(message):
    """Returns the message that the exchange must handle, or None.

    A delivery whose message names another origin than its sender is dropped.
    """
    if isinstance(message, Delivery):
        return message.message if is_from_origin(message) else None
    return message


def is_from_origin(delivery):
    """Returns whether the sender of a message is the origin it names."""
    origin = getattr(delivery.message, "origin", None)
    return delivery.peer.node_id == origin

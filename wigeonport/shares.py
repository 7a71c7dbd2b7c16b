"""Shares: leases of endpoint slots, granted and held by this entry.

The owner of an endpoint is the entry that has received its announcements for
the longest time without a gap. The owner leases the slots of the endpoint;
each entry, including the owner, sends requests to the endpoint only within the
lease that it holds.
"""

from wigeonport.endpoints import LEAVING
from wigeonport.links import Delivery
from wigeonport.registries import Registry
from wigeonport.share_ledgers import SlotLedger, share_policies
from wigeonport.share_messages import (
    GrantedShare,
    ShareGrant,
    ShareRequest,
    ShareWant,
)

handlers = Registry("share message")

RENEWALS_PER_LEASE = 4
# No request starts in the last 1/GUARD_DIVISOR of a lease, so that requests of
# up to this duration have ended before another entry gets the slots. Longer
# ones may overlap; the endpoint then refuses what exceeds its slots.
GUARD_DIVISOR = 4
# Minimum time between two requests to the same owner.
MIN_REQUEST_INTERVAL_MS = 20
MAX_PENDING_REQUESTS = 64


class ShareDemand:
    """The slots that the router could use now.

    Attributes:
        items: Tuples of endpoint id, slots wanted and slots in use, one for
            each endpoint to which the router may send requests.
        urgent: Whether requests wait for a slot.
    """

    __slots__ = ("items", "urgent")

    def __init__(self, items, urgent):
        self.items = items
        self.urgent = urgent


class ShareChanged:
    """Tells the router how many slots of an endpoint it may use.

    Attributes:
        endpoint_id: Id of the endpoint.
        service: Id of its service.
        slots: Number of slots that the router may use.
        until_ms: Time until which it may start requests on them.
    """

    __slots__ = ("endpoint_id", "service", "slots", "until_ms")

    def __init__(self, endpoint_id, service, slots, until_ms):
        self.endpoint_id = endpoint_id
        self.service = service
        self.slots = slots
        self.until_ms = until_ms


class SendShare:
    """Command to send a message to another entry."""

    __slots__ = ("node_id", "message")

    def __init__(self, node_id, message):
        self.node_id = node_id
        self.message = message


class HeldShare:
    """The lease on one endpoint's slots that this entry holds.

    Attributes:
        record: EndpointRecord of the endpoint.
        owner: Node id of the entry that grants the slots.
        routable: Whether the router may send requests to the endpoint.
        wanted: Number of slots that the router could use.
        in_use: Number of slots that it uses.
        number: Number of the latest grant, 0 for none.
        slots: Number of slots of that grant.
    """

    __slots__ = (
        "record",
        "owner",
        "routable",
        "wanted",
        "in_use",
        "number",
        "slots",
    )

    def __init__(self, record, owner):
        self.record = record
        self.owner = owner
        self.routable = False
        self.wanted = 0
        self.in_use = 0
        self.number = 0
        self.slots = 0


class ShareManager:
    """Requests leases on all endpoints and grants those on owned ones.

    It has no sockets: its methods return the commands and changes.

    Attributes:
        node_id: Node id of this entry.
        lease_ms: Duration of a lease.
        first_grant_delay_ms: Time from the appearance of an endpoint to its
            first grant, in which all entries learn who its owner is.
        policy: Share policy, see share_ledgers.
        ledgers: Maps endpoint id to SlotLedger, for endpoints that this
            entry owns.
        held: Maps endpoint id to HeldShare.
        pending: Maps the number of each unanswered request to the time at
            which it was sent and the owner.
        last_request_ms: Maps the node id of an owner to the time of the last
            request to it.
        next_number: Number of the next request or grant.
        urgent: Whether requests wait for a slot.
    """

    __slots__ = (
        "node_id",
        "lease_ms",
        "first_grant_delay_ms",
        "policy",
        "ledgers",
        "held",
        "pending",
        "last_request_ms",
        "next_number",
        "urgent",
    )

    def __init__(
        self, node_id, lease_ms, first_grant_delay_ms, policy="demand"
    ):
        self.node_id = node_id
        self.lease_ms = lease_ms
        self.first_grant_delay_ms = first_grant_delay_ms
        self.policy = share_policies.get(policy).ok
        self.ledgers = {}
        self.held = {}
        self.pending = {}
        self.last_request_ms = {}
        self.next_number = 1
        self.urgent = False

    def step(self, message, now_ms):
        """Handles a message; returns SendShare commands and ShareChanged."""
        handler = handlers.get(type(message).__name__)
        if handler.is_error():
            return []
        return handler.ok(self, message, now_ms)

    def tick(self, now_ms):
        """Sends the requests that are due; returns commands and changes."""
        interval_ms = MIN_REQUEST_INTERVAL_MS
        if not self.urgent:
            interval_ms = self.lease_ms // RENEWALS_PER_LEASE
        due = {}
        for held in self.held.values():
            last_request_ms = self.last_request_ms.get(held.owner)
            is_due = (
                last_request_ms is None
                or now_ms - last_request_ms >= interval_ms
            )
            if is_due and (held.routable or held.in_use):
                due.setdefault(held.owner, []).append(held)
        commands = []
        for owner, held_shares in due.items():
            commands += self.request_shares(owner, held_shares, now_ms)
        return commands

    def request_shares(self, owner, held_shares, now_ms):
        """Requests shares from one owner.

        If this entry is the owner, the request is answered at once without
        a message.
        """
        self.last_request_ms[owner] = now_ms
        number = self.allocate_number()
        self.pending[number] = (now_ms, owner)
        while len(self.pending) > MAX_PENDING_REQUESTS:
            del self.pending[next(iter(self.pending))]
        wants = [
            ShareWant(
                held.record.endpoint_id,
                held.record.incarnation,
                held.wanted,
                held.in_use,
                held.number,
            )
            for held in held_shares
        ]
        request = ShareRequest(self.node_id, number, wants)
        if owner != self.node_id:
            return [SendShare(owner, request)]
        return self.accept_grant(self.make_grant(request, now_ms), now_ms)

    def allocate_number(self):
        """Returns the next number for a request or a grant."""
        self.next_number += 1
        return self.next_number - 1

    def make_grant(self, request, now_ms):
        """Returns the ShareGrant that answers a request.

        Endpoints that this entry does not own, other incarnations and
        leaving endpoints are left out.
        """
        shares = []
        for want in request.wants:
            ledger = self.ledgers.get(want.endpoint_id)
            if (
                ledger is None
                or ledger.record.incarnation != want.incarnation
                or ledger.record.state == LEAVING
            ):
                continue
            number = self.allocate_number()
            slots = ledger.grant(request.origin, want, number, now_ms)
            shares.append(
                GrantedShare(want.endpoint_id, want.incarnation, slots, number)
            )
        return ShareGrant(self.node_id, request.number, self.lease_ms, shares)

    def accept_grant(self, grant, now_ms):
        """Applies a grant; returns the changes for the router.

        A grant without a pending request to its sender is ignored, and so is
        a share that is not newer than the one held.
        """
        sent_ms, owner = self.pending.pop(grant.number, (None, None))
        if sent_ms is None or owner != grant.origin:
            return []
        until_ms = sent_ms + grant.lease_ms - grant.lease_ms // GUARD_DIVISOR
        changes = []
        for share in grant.shares:
            held = self.held.get(share.endpoint_id)
            if (
                held is None
                or held.owner != grant.origin
                or held.record.incarnation != share.incarnation
                or share.number <= held.number
            ):
                continue
            if share.slots < held.slots:
                # Makes the next request due at once: it confirms the smaller
                # share, so that the owner can grant the difference to others.
                self.last_request_ms.pop(owner, None)
            held.number, held.slots = share.number, share.slots
            changes.append(
                ShareChanged(
                    share.endpoint_id,
                    held.record.service_id,
                    share.slots,
                    until_ms,
                )
            )
        return changes


@handlers.register("EndpointChanged")
def handle_endpoint_changed(manager, change, now_ms):
    """Updates the held share and the ledger of a changed endpoint.

    A new owner grants nothing before the leases of the previous owner have
    expired.
    """
    record, endpoint_id = change.record, change.record.endpoint_id
    held = manager.held.get(endpoint_id)
    same_owner = held is not None and held.owner == change.owner
    if same_owner and held.record.incarnation == record.incarnation:
        held.record = record
    else:
        manager.held[endpoint_id] = HeldShare(record, change.owner)
    ledger = manager.ledgers.get(endpoint_id)
    if change.owner != manager.node_id:
        manager.ledgers.pop(endpoint_id, None)
    elif ledger and ledger.record.incarnation == record.incarnation:
        ledger.record = record
    else:
        wait_ms = manager.first_grant_delay_ms
        if change.replaced_ms is not None:
            wait_ms = change.replaced_ms + manager.lease_ms - now_ms
        manager.ledgers[endpoint_id] = SlotLedger(
            record, manager.lease_ms, now_ms + wait_ms, manager.policy
        )
    return []


@handlers.register("EndpointLost")
def handle_endpoint_lost(manager, change, now_ms):
    """Drops the ledger and the held share of a lost endpoint."""
    manager.ledgers.pop(change.endpoint_id, None)
    manager.held.pop(change.endpoint_id, None)
    return []


@handlers.register("ShareDemand")
def handle_demand(manager, demand, now_ms):
    """Records the demand of the router; requests shares if it is urgent."""
    manager.urgent = demand.urgent
    for held in manager.held.values():
        held.routable, held.wanted, held.in_use = False, 0, 0
    for endpoint_id, wanted, in_use in demand.items:
        held = manager.held.get(endpoint_id)
        if held is not None:
            held.routable = True
            held.wanted, held.in_use = wanted, in_use
    return manager.tick(now_ms) if demand.urgent else []


@handlers.register("ShareRequest")
def handle_request(manager, request, now_ms):
    """Answers the request of another entry."""
    return [SendShare(request.origin, manager.make_grant(request, now_ms))]


@handlers.register("ShareGrant")
def handle_grant(manager, grant, now_ms):
    """Applies the grant of an owner."""
    return manager.accept_grant(grant, now_ms)


async def run_share_manager(
    inbound, outbound, manager, dialers, clock, tick_ms
):
    """Runs the task that owns the leases of this entry.

    Args:
        inbound: Mailbox of endpoint changes, ShareDemand and Deliveries.
        outbound: Mailbox of the router.
        manager: The ShareManager.
        dialers: Maps node id to the Dialer to that entry.
        clock: Time source.
        tick_ms: Maximum time between two checks for due requests while
            requests wait for a slot; five times as long otherwise.
    """
    last_tick_ms = clock.now()
    while True:
        wait_ms = tick_ms if manager.urgent else 5 * tick_ms
        message = await inbound.get_within(wait_ms)
        now_ms = clock.now()
        commands = []
        if isinstance(message, Delivery):
            if message.peer.node_id == message.message.origin:
                commands += manager.step(message.message, now_ms)
        elif message is not None:
            commands += manager.step(message, now_ms)
        if message is None or now_ms - last_tick_ms >= tick_ms:
            last_tick_ms = now_ms
            commands += manager.tick(now_ms)
        for command in commands:
            if isinstance(command, ShareChanged):
                await outbound.put(command)
            elif command.node_id in dialers:
                dialers[command.node_id].post(command.message)

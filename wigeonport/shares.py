"""Shares: leases of the slots of all endpoints, both sides of an entry.

The owner of an endpoint is the entry that has heard it from its earliest
announcement on. It grants leases; every entry, also the owner itself, sends
work only within the lease it holds.
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

RENEWALS_A_LEASE = 4
# No work starts in the last part of a lease, so that requests of up to this
# length have ended before another entry gets the slots. For longer ones the
# endpoint's own refusal is the fallback.
GUARD_PART = 4
# Shortest time between two requests to the same owner.
ASK_INTERVAL_MS = 20
MAX_OPEN_REQUESTS = 64


class ShareDemand:
    """What the router could use now.

    Attributes:
        items: Tuples of endpoint id, slots wanted and slots in use, for
            all endpoints to which the router may send work.
        urgent: Whether requests wait for a slot.
    """

    __slots__ = ("items", "urgent")

    def __init__(self, items, urgent):
        self.items = items
        self.urgent = urgent


class ShareChanged:
    """Tells the router which slots it may use until when."""

    __slots__ = ("endpoint_id", "service", "slots", "until_ms")

    def __init__(self, endpoint_id, service, slots, until_ms):
        self.endpoint_id = endpoint_id
        self.service = service
        self.slots = slots
        self.until_ms = until_ms


class SendShare:
    """Command: send a message to another entry."""

    __slots__ = ("node_id", "message")

    def __init__(self, node_id, message):
        self.node_id = node_id
        self.message = message


class HeldShare:
    """The lease on one endpoint's slots that this entry holds.

    Attributes:
        record: EndpointRecord of the endpoint.
        owner: Node id of the entry that grants.
        interested: Whether the router may send work to it.
        wanted: Slots that the router could use.
        in_use: Slots that it uses.
        number: Number of the latest grant, 0 for none.
        slots: Slots of that grant.
    """

    __slots__ = (
        "record",
        "owner",
        "interested",
        "wanted",
        "in_use",
        "number",
        "slots",
    )

    def __init__(self, record, owner):
        self.record = record
        self.owner = owner
        self.interested = False
        self.wanted = 0
        self.in_use = 0
        self.number = 0
        self.slots = 0


class ShareManager:
    """Both sides of the leases of one entry; no sockets.

    Attributes:
        node_id: This entry.
        lease_ms: Length of a lease.
        first_grant_delay_ms: Time until an endpoint's first grant, in which all
            entries learn who its owner is.
        policy: Share policy.
        ledgers: SlotLedger by endpoint id, of owned endpoints.
        held: HeldShare by endpoint id.
        sent: Time and owner of the open requests by number.
        asked_ms: Time of the last request by owner.
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
        "sent",
        "asked_ms",
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
        self.sent = {}
        self.asked_ms = {}
        self.next_number = 1
        self.urgent = False

    def step(self, message, now_ms):
        """Handles a message; returns commands and changes."""
        handler = handlers.get(type(message).__name__)
        if handler.is_error():
            return []
        return handler.ok(self, message, now_ms)

    def tick(self, now_ms):
        """Returns the requests that are due."""
        interval_ms = ASK_INTERVAL_MS
        if not self.urgent:
            interval_ms = self.lease_ms // RENEWALS_A_LEASE
        due = {}
        for held in self.held.values():
            asked_ms = self.asked_ms.get(held.owner)
            waits = asked_ms is None or now_ms - asked_ms >= interval_ms
            if waits and (held.interested or held.in_use):
                due.setdefault(held.owner, []).append(held)
        commands = []
        for owner, helds in due.items():
            commands += self.ask(owner, helds, now_ms)
        return commands

    def ask(self, owner, helds, now_ms):
        """Asks one owner; answers itself if this entry is the owner."""
        self.asked_ms[owner] = now_ms
        number = self.take_number()
        self.sent[number] = (now_ms, owner)
        while len(self.sent) > MAX_OPEN_REQUESTS:
            del self.sent[next(iter(self.sent))]
        wants = [
            ShareWant(
                held.record.endpoint_id,
                held.record.incarnation,
                held.wanted,
                held.in_use,
                held.number,
            )
            for held in helds
        ]
        request = ShareRequest(self.node_id, number, wants)
        if owner != self.node_id:
            return [SendShare(owner, request)]
        return self.take_grant(self.make_grant(request, now_ms), now_ms)

    def take_number(self):
        """Returns the next number."""
        self.next_number += 1
        return self.next_number - 1

    def make_grant(self, request, now_ms):
        """Answers a request from the ledgers of owned endpoints."""
        shares = []
        for want in request.wants:
            ledger = self.ledgers.get(want.endpoint_id)
            if (
                ledger is None
                or ledger.record.incarnation != want.incarnation
                or ledger.record.state == LEAVING
            ):
                continue
            number = self.take_number()
            slots = ledger.grant(request.origin, want, number, now_ms)
            shares.append(
                GrantedShare(want.endpoint_id, want.incarnation, slots, number)
            )
        return ShareGrant(self.node_id, request.number, self.lease_ms, shares)

    def take_grant(self, grant, now_ms):
        """Applies a grant; returns the changes for the router."""
        sent_ms, owner = self.sent.pop(grant.number, (None, None))
        if sent_ms is None or owner != grant.origin:
            return []
        until_ms = sent_ms + grant.lease_ms - grant.lease_ms // GUARD_PART
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
                # Confirms at once, so that others can have the difference.
                self.asked_ms.pop(owner, None)
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
def follow_endpoint(manager, change, now_ms):
    """An endpoint appeared, changed, or has another owner."""
    record, endpoint_id = change.record, change.record.endpoint_id
    held = manager.held.get(endpoint_id)
    known = held is not None and held.owner == change.owner
    if known and held.record.incarnation == record.incarnation:
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
def drop_endpoint(manager, change, now_ms):
    """An endpoint is gone."""
    manager.ledgers.pop(change.endpoint_id, None)
    manager.held.pop(change.endpoint_id, None)
    return []


@handlers.register("ShareDemand")
def follow_demand(manager, demand, now_ms):
    """The router reports what it could use."""
    manager.urgent = demand.urgent
    for held in manager.held.values():
        held.interested, held.wanted, held.in_use = False, 0, 0
    for endpoint_id, wanted, in_use in demand.items:
        held = manager.held.get(endpoint_id)
        if held is not None:
            held.interested = True
            held.wanted, held.in_use = wanted, in_use
    return manager.tick(now_ms) if demand.urgent else []


@handlers.register("ShareRequest")
def answer_request(manager, request, now_ms):
    """Another entry asks for shares."""
    return [SendShare(request.origin, manager.make_grant(request, now_ms))]


@handlers.register("ShareGrant")
def apply_grant(manager, grant, now_ms):
    """An owner answered."""
    return manager.take_grant(grant, now_ms)


async def run_share_manager(
    inbound, outbound, manager, dialers, clock, tick_ms
):
    """Owns the leases of this entry.

    Args:
        inbound: Mailbox of endpoint changes, demand and deliveries.
        outbound: Mailbox of the router.
        manager: The ShareBook.
        dialers: Dialers to the other entries by node id.
        clock: Time source.
        tick_ms: Longest time between two checks for due requests while
            requests wait for a slot; five times as long otherwise.
    """
    ticked_ms = clock.now()
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
        if message is None or now_ms - ticked_ms >= tick_ms:
            ticked_ms = now_ms
            commands += manager.tick(now_ms)
        for command in commands:
            if isinstance(command, ShareChanged):
                await outbound.put(command)
            elif command.node_id in dialers:
                dialers[command.node_id].post(command.message)

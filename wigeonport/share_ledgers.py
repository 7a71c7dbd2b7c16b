"""Share ledgers: the grants that the owner of an endpoint has made.

The unexpired grants together never exceed the slots of the endpoint. A grant
smaller than the one before frees the difference only when its holder confirms
it or the larger grant expires, because the message with the smaller grant may
be lost.
"""

from wigeonport.registries import Registry

share_policies = Registry("share policy")


class Holder:
    """An entry that leases slots.

    Attributes:
        wanted: Number of slots wanted in its last request.
        in_use: Number of slots in use at its last request.
        last_request_ms: Time of its last request.
        grants: Maps the number of a grant to its slots and the end of its
            lease.
    """

    __slots__ = ("wanted", "in_use", "last_request_ms", "grants")

    def __init__(self):
        self.wanted = 0
        self.in_use = 0
        self.last_request_ms = 0
        self.grants = {}

    def drop_superseded_grants(self, applied, now_ms):
        """Removes grants that have expired or that a later one replaced.

        Args:
            applied: Number of the latest grant that the holder has applied.
            now_ms: Monotonic time.
        """
        self.grants = {
            number: (slots, until_ms)
            for number, (slots, until_ms) in self.grants.items()
            if number >= applied and until_ms > now_ms
        }

    def outstanding(self, now_ms):
        """Returns the maximum number of slots that the holder may be using.

        Requests that run when a grant is reduced continue, so the slots that
        were in use count until the holder reports fewer.
        """
        slots = [
            slots
            for slots, until_ms in self.grants.values()
            if until_ms > now_ms
        ]
        return max([*slots, self.in_use])


class SlotLedger:
    """Grants of one endpoint's slots.

    Attributes:
        record: EndpointRecord of the endpoint.
        lease_ms: Duration of a lease.
        not_before_ms: Earliest time of a grant; a lease from a previous
            owner may last until then.
        policy: Share policy: a function that takes a dict of node id to
            wanted slots and the number of slots, and returns a dict of node
            id to share.
        holders: Maps node id to Holder.
    """

    __slots__ = ("record", "lease_ms", "not_before_ms", "policy", "holders")

    def __init__(self, record, lease_ms, not_before_ms, policy):
        self.record = record
        self.lease_ms = lease_ms
        self.not_before_ms = not_before_ms
        self.policy = policy
        self.holders = {}

    def grant(self, node_id, want, number, now_ms):
        """Grants slots to an entry for the duration of a lease.

        Args:
            node_id: Node id of the entry.
            want: ShareWant of the entry for this endpoint.
            number: Number of the grant.
            now_ms: Monotonic time.

        Returns:
            The number of slots granted; 0 before not_before_ms.
        """
        holder = self.holders.setdefault(node_id, Holder())
        holder.wanted, holder.in_use = want.wanted, want.in_use
        holder.last_request_ms = now_ms
        holder.drop_superseded_grants(want.applied, now_ms)
        if now_ms < self.not_before_ms:
            return 0
        self.remove_silent_holders(now_ms)
        others = sum(
            other.outstanding(now_ms)
            for other_id, other in self.holders.items()
            if other_id != node_id
        )
        wants = {
            other_id: other.wanted for other_id, other in self.holders.items()
        }
        target = self.policy(wants, self.record.slots)[node_id]
        slots = min(target, max(self.record.slots - others, 0))
        holder.grants[number] = (slots, now_ms + self.lease_ms)
        return slots

    def remove_silent_holders(self, now_ms):
        """Removes entries without a request for the duration of a lease."""
        for node_id, holder in list(self.holders.items()):
            if now_ms - holder.last_request_ms > self.lease_ms:
                del self.holders[node_id]


@share_policies.register("demand")
def share_by_demand(wants, slots):
    """Divides slots by max-min fairness.

    Slots that an entry does not want go to the other entries in equal parts.
    Slots that no entry wants are granted in equal parts as well, so that the
    next request of a caller does not wait for a grant.
    """
    shares, remaining = {}, slots
    ranked = sorted(wants, key=lambda node_id: (wants[node_id], node_id))
    for position, node_id in enumerate(ranked):
        shares[node_id] = min(
            wants[node_id], remaining // (len(ranked) - position)
        )
        remaining -= shares[node_id]
    equal_part, remainder = divmod(remaining, len(ranked))
    for position, node_id in enumerate(ranked):
        shares[node_id] += equal_part + (position < remainder)
    return shares


@share_policies.register("even")
def share_evenly(wants, slots):
    """Divides slots into equal parts, regardless of the wanted slots.

    Each share is at least 1.
    """
    return dict.fromkeys(wants, max(1, slots // len(wants)))

"""Share ledgers: the owner's side of the slots of one endpoint.

The slots of all unexpired grants together never exceed the slots of the
endpoint. A smaller grant frees the difference only when its holder confirms
it or the larger one expires, because the message may be lost.
"""

from wigeonport.registries import Registry

share_policies = Registry("share policy")


class Holder:
    """An entry that leases slots.

    Attributes:
        wanted: Slots that it wanted last.
        in_use: Slots that it used then.
        heard_ms: When it asked last.
        grants: Slots and end of the lease by number of the grant.
    """

    __slots__ = ("wanted", "in_use", "heard_ms", "grants")

    def __init__(self):
        self.wanted = 0
        self.in_use = 0
        self.heard_ms = 0
        self.grants = {}

    def confirm(self, applied, now_ms):
        """Forgets grants that were replaced or have expired."""
        self.grants = {
            number: (slots, until_ms)
            for number, (slots, until_ms) in self.grants.items()
            if number >= applied and until_ms > now_ms
        }

    def outstanding(self, now_ms):
        """Returns the slots that the holder may use at most.

        Work that runs when a grant is made smaller goes on, so the slots
        that were in use count until the holder reports fewer.
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
        lease_ms: Length of a lease.
        not_before_ms: Time of the first grant; a lease of an earlier owner
            may last until then.
        policy: Function of wants by node id and slots; returns the shares.
        holders: Holder by node id.
    """

    __slots__ = ("record", "lease_ms", "not_before_ms", "policy", "holders")

    def __init__(self, record, lease_ms, not_before_ms, policy):
        self.record = record
        self.lease_ms = lease_ms
        self.not_before_ms = not_before_ms
        self.policy = policy
        self.holders = {}

    def grant(self, node_id, want, number, now_ms):
        """Returns the slots granted to an entry until the lease ends."""
        holder = self.holders.setdefault(node_id, Holder())
        holder.wanted, holder.in_use = want.wanted, want.in_use
        holder.heard_ms = now_ms
        holder.confirm(want.applied, now_ms)
        if now_ms < self.not_before_ms:
            return 0
        self.forget_silent(now_ms)
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

    def forget_silent(self, now_ms):
        """Takes back the share of entries that stopped asking."""
        for node_id, holder in list(self.holders.items()):
            if now_ms - holder.heard_ms > self.lease_ms:
                del self.holders[node_id]


@share_policies.register("demand")
def share_by_demand(wants, slots):
    """Divides slots by max-min fairness.

    What an entry does not want goes to the others in equal parts. What
    nobody wants is held ready in equal parts, so that the next request
    need not wait for a grant.
    """
    shares, left = {}, slots
    ranked = sorted(wants, key=lambda node_id: (wants[node_id], node_id))
    for position, node_id in enumerate(ranked):
        shares[node_id] = min(wants[node_id], left // (len(ranked) - position))
        left -= shares[node_id]
    spare, rest = divmod(left, len(ranked))
    for position, node_id in enumerate(ranked):
        shares[node_id] += spare + (position < rest)
    return shares


@share_policies.register("even")
def share_evenly(wants, slots):
    """Divides slots into equal parts whatever is wanted."""
    return dict.fromkeys(wants, max(1, slots // len(wants)))

"""Messages by which entries lease an endpoint's slots from its owner."""

from wigeonport.codecs import message_kinds


@message_kinds.register("ShareWant")
class ShareWant:
    """What one entry wants of one endpoint.

    Attributes:
        endpoint_id: The endpoint.
        incarnation: Its incarnation.
        wanted: Slots that the entry could use now.
        in_use: Slots that it uses now.
        applied: Number of the latest grant that it applies, 0 for none.
    """

    __slots__ = ("endpoint_id", "incarnation", "wanted", "in_use", "applied")

    def __init__(self, endpoint_id, incarnation, wanted, in_use, applied):
        self.endpoint_id = endpoint_id
        self.incarnation = incarnation
        self.wanted = wanted
        self.in_use = in_use
        self.applied = applied


@message_kinds.register("ShareRequest")
class ShareRequest:
    """Asks an owner for shares of some of its endpoints.

    Attributes:
        origin: Node id of the sender.
        number: Number of the request.
        wants: ShareWant objects.
    """

    __slots__ = ("origin", "number", "wants")

    def __init__(self, origin, number, wants):
        self.origin = origin
        self.number = number
        self.wants = wants


@message_kinds.register("GrantedShare")
class GrantedShare:
    """Slots of one endpoint; the number orders the grants to one entry."""

    __slots__ = ("endpoint_id", "incarnation", "slots", "number")

    def __init__(self, endpoint_id, incarnation, slots, number):
        self.endpoint_id = endpoint_id
        self.incarnation = incarnation
        self.slots = slots
        self.number = number


@message_kinds.register("ShareGrant")
class ShareGrant:
    """Answers a ShareRequest.

    Attributes:
        origin: Node id of the owner.
        number: Number of the request.
        lease_ms: Length of the lease; it counts from the moment at which
            the request was sent, so that it ends at the holder first.
        shares: GrantedShare objects.
    """

    __slots__ = ("origin", "number", "lease_ms", "shares")

    def __init__(self, origin, number, lease_ms, shares):
        self.origin = origin
        self.number = number
        self.lease_ms = lease_ms
        self.shares = shares

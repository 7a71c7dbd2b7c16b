"""Messages by which entries lease an endpoint's slots from its owner."""

from wigeonport.codecs import message_kinds


@message_kinds.register("ShareWant")
class ShareWant:
    """The slots of one endpoint that an entry wants.

    Attributes:
        endpoint_id: Id of the endpoint.
        incarnation: Incarnation of the endpoint.
        wanted: Number of slots that the entry could use now.
        in_use: Number of slots that it uses now.
        applied: Number of the latest grant that it has applied, 0 for none.
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
    """Requests shares of some endpoints from their owner.

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
    """Slots granted to one entry at one endpoint.

    Attributes:
        endpoint_id: Id of the endpoint.
        incarnation: Incarnation of the endpoint.
        slots: Number of slots granted.
        number: Number of the grant; orders the grants to one entry.
    """

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
        lease_ms: Duration of the lease. The holder counts it from the moment
            at which it sent the request, so that the lease ends at the
            holder before it ends at the owner.
        shares: GrantedShare objects.
    """

    __slots__ = ("origin", "number", "lease_ms", "shares")

    def __init__(self, origin, number, lease_ms, shares):
        self.origin = origin
        self.number = number
        self.lease_ms = lease_ms
        self.shares = shares

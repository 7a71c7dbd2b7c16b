"""Endpoints: what they announce, and which of them announce to this entry."""

from wigeonport.codecs import message_kinds

READY = "ready"
LEAVING = "leaving"
STATES = (READY, LEAVING)


@message_kinds.register("EndpointRecord")
class EndpointRecord:
    """One announcement of an endpoint.

    Attributes:
        endpoint_id: Unique name of the endpoint's process.
        service_id: Service that it runs.
        availability_zone: Its zone.
        host: IP address.
        port: TCP port.
        slots: Requests that it runs at the same time.
        connections: Connections that it accepts.
        state: READY or LEAVING.
        incarnation: Larger after each restart.
        sequence: Larger with each announcement of an incarnation.
    """

    __slots__ = (
        "endpoint_id",
        "service_id",
        "availability_zone",
        "host",
        "port",
        "slots",
        "connections",
        "state",
        "incarnation",
        "sequence",
    )

    def __init__(
        self,
        endpoint_id,
        service_id,
        availability_zone,
        host,
        port,
        slots,
        connections,
        state,
        incarnation,
        sequence,
    ):
        self.endpoint_id = endpoint_id
        self.service_id = service_id
        self.availability_zone = availability_zone
        self.host = host
        self.port = port
        self.slots = slots
        self.connections = connections
        self.state = state
        self.incarnation = incarnation
        self.sequence = sequence

    @property
    def age(self):
        """Orders the announcements of one endpoint."""
        return (self.incarnation, self.sequence)


class Announced:
    """A valid announcement arrived at this entry."""

    __slots__ = ("record",)

    def __init__(self, record):
        self.record = record


class EndpointChanged:
    """An endpoint became usable or changed.

    Attributes:
        record: Its latest record.
        owner: Node id of the entry that grants its slots.
        replaced_ms: Until when an earlier owner may have granted slots, or
            None if there was none.
    """

    __slots__ = ("record", "owner", "replaced_ms")

    def __init__(self, record, owner="", replaced_ms=None):
        self.record = record
        self.owner = owner
        self.replaced_ms = replaced_ms


class EndpointLost:
    """An endpoint must get no new work.

    Attributes:
        endpoint_id: The endpoint.
        service: Its service.
    """

    __slots__ = ("endpoint_id", "service")

    def __init__(self, endpoint_id, service):
        self.endpoint_id = endpoint_id
        self.service = service


def is_same(old, new):
    """Returns whether a newer record changes nothing but its sequence."""
    return all(
        getattr(old, name) == getattr(new, name)
        for name in EndpointRecord.__slots__
        if name != "sequence"
    )

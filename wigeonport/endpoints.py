"""Announcements of endpoints and the changes that the filters receive."""

from wigeonport.codecs import message_kinds

READY = "ready"
LEAVING = "leaving"
STATES = (READY, LEAVING)


@message_kinds.register("EndpointRecord")
class EndpointRecord:
    """One announcement of an endpoint.

    Attributes:
        endpoint_id: Unique id of the endpoint's process.
        service_id: Id of the service that it runs.
        availability_zone: Zone in which it runs.
        host: IP address.
        port: TCP port.
        slots: Number of requests that it handles concurrently.
        connections: Number of connections that it accepts.
        state: READY or LEAVING.
        incarnation: Number that increases with each restart of the endpoint.
        sequence: Number that increases with each announcement of one
            incarnation.
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
    def revision(self):
        """Orders the announcements of one endpoint; larger is newer."""
        return (self.incarnation, self.sequence)


class Announced:
    """An endpoint sent a valid announcement to this entry.

    Attributes:
        record: The EndpointRecord.
    """

    __slots__ = ("record",)

    def __init__(self, record):
        self.record = record


class EndpointChanged:
    """An endpoint appeared, changed its record or got another owner.

    Attributes:
        record: Its latest EndpointRecord.
        owner: Node id of the entry that grants its slots.
        replaced_ms: Time until which a previous owner may have granted
            slots, or None if there was no previous owner.
    """

    __slots__ = ("record", "owner", "replaced_ms")

    def __init__(self, record, owner="", replaced_ms=None):
        self.record = record
        self.owner = owner
        self.replaced_ms = replaced_ms


class EndpointLost:
    """An endpoint is gone and must get no new requests.

    Attributes:
        endpoint_id: Id of the endpoint.
        service: Id of its service.
    """

    __slots__ = ("endpoint_id", "service")

    def __init__(self, endpoint_id, service):
        self.endpoint_id = endpoint_id
        self.service = service


def equal_except_sequence(previous, current):
    """Returns whether two records differ in nothing but the sequence."""
    return all(
        getattr(previous, name) == getattr(current, name)
        for name in EndpointRecord.__slots__
        if name != "sequence"
    )

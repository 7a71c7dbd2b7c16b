"""Endpoints: what they announce and which of them are usable."""

READY = "ready"
LEAVING = "leaving"
STATES = (READY, LEAVING)


class EndpointRecord:
    """One announcement of an endpoint.

    Attributes:
        endpoint_id: Unique name of the endpoint's process.
        service: Service that it runs.
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
        "service",
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
        service,
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
        self.service = service
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
    """

    __slots__ = ("record",)

    def __init__(self, record):
        self.record = record


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


class EndpointTable:
    """Records by endpoint, with the time when each was last heard.

    Attributes:
        expiry_ms: Time without an announcement after which one is lost.
        records: EndpointRecord by endpoint id.
        heard_ms: Monotonic time of the last announcement by endpoint id.
    """

    __slots__ = ("expiry_ms", "records", "heard_ms")

    def __init__(self, expiry_ms):
        self.expiry_ms = expiry_ms
        self.records = {}
        self.heard_ms = {}

    def announce(self, record, now_ms):
        """Takes an announcement; returns the changes for the router."""
        known = self.records.get(record.endpoint_id)
        if known is not None and record.age <= known.age:
            return []
        self.records[record.endpoint_id] = record
        self.heard_ms[record.endpoint_id] = now_ms
        if known is not None and is_same(known, record):
            return []
        return [EndpointChanged(record)]

    def expire(self, now_ms):
        """Removes silent endpoints; returns the changes for the router."""
        silent = [
            endpoint_id
            for endpoint_id, heard_ms in self.heard_ms.items()
            if now_ms - heard_ms > self.expiry_ms
        ]
        changes = []
        for endpoint_id in silent:
            record = self.records.pop(endpoint_id)
            del self.heard_ms[endpoint_id]
            changes.append(EndpointLost(endpoint_id, record.service))
        return changes


def is_same(old, new):
    """Returns whether a newer record changes nothing but its sequence."""
    return all(
        getattr(old, name) == getattr(new, name)
        for name in EndpointRecord.__slots__
        if name != "sequence"
    )


async def keep_table(inbound, outbound, table, clock, tick_ms):
    """Owns the endpoint table and sends its changes to the router."""
    while True:
        message = await inbound.get_within(tick_ms)
        now_ms = clock.now()
        changes = []
        if isinstance(message, Announced):
            changes += table.announce(message.record, now_ms)
        changes += table.expire(now_ms)
        for change in changes:
            await outbound.put(change)

"""Targets: the endpoints as seen by the router of one entry."""

from wigeonport.endpoints import READY
from wigeonport.quarantines import Health

# Weight of the newest service time in the exponential moving average.
MEAN_WEIGHT = 0.1
# An endpoint that refused a request gets no requests for this long.
REFUSAL_PAUSE_MS = 50


class Target:
    """An endpoint with the slots and connections this entry may use.

    Attributes:
        record: Its latest EndpointRecord.
        in_flight: Number of requests of this entry that run on it.
        lost: Whether it was lost and must get no new requests.
        leased_slots: Slots that this entry holds by lease, or None if
            leases are not used.
        lease_end_ms: Monotonic time when the lease ends.
        max_connections: Largest number of connections from this entry.
        paused_until_ms: Monotonic time until which it gets no requests,
            because it refused one.
        health: Health; failures and quarantine.
    """

    __slots__ = (
        "record",
        "in_flight",
        "lost",
        "leased_slots",
        "lease_end_ms",
        "max_connections",
        "paused_until_ms",
        "health",
    )

    def __init__(self, record, leased, entries):
        self.in_flight = 0
        self.lost = False
        self.leased_slots = 0 if leased else None
        self.lease_end_ms = 0
        self.paused_until_ms = 0
        self.health = Health()
        self.update_record(record, entries)

    def update_record(self, record, entries):
        """Replaces the record by a newer one and divides its connections."""
        self.record = record
        self.lost = False
        self.max_connections = max(1, record.connections // entries)

    def slots(self, now_ms):
        """Returns the number of slots that this entry may use now."""
        if self.lost or self.record.state != READY:
            return 0
        slots = self.record.slots
        if self.leased_slots is not None:
            slots = self.leased_slots if now_ms < self.lease_end_ms else 0
        return min(slots, self.max_connections)

    def free_slots(self, now_ms):
        """Returns the number of slots that are free for new requests."""
        if now_ms < self.paused_until_ms:
            return 0
        return max(self.slots(now_ms) - self.in_flight, 0)


def choose_target(targets, request, zone, now_ms, random):
    """Returns the target for a request, or None if no slot is free.

    A quarantined endpoint that is due for a probe is chosen first. Otherwise
    the candidates are the free endpoints of the entry's zone or, if there are
    none, those of other zones. Two candidates are sampled at random and the
    one with more free slots is chosen.
    Source: M. Mitzenmacher, "The Power of Two Choices in Randomized Load
    Balancing", 2001.
    """
    usable = [
        target
        for target in targets
        if target.free_slots(now_ms) > 0
        and target.health.accepts(request, now_ms)
    ]
    probes = [target for target in usable if target.health.quarantined]
    if probes:
        return probes[0]
    same_zone = [t for t in usable if t.record.availability_zone == zone]
    candidates = same_zone or usable
    if not candidates:
        return None
    sampled = random.sample(candidates, min(2, len(candidates)))
    return max(sampled, key=lambda target: target.free_slots(now_ms))


class ServiceTimes:
    """Mean duration of the successful attempts of one service.

    Attributes:
        mean_ms: Exponential moving average, or None before the first
            attempt.
    """

    __slots__ = ("mean_ms",)

    def __init__(self):
        self.mean_ms = None

    def add_sample(self, duration_ms):
        """Adds the duration of one attempt to the mean."""
        if self.mean_ms is None:
            self.mean_ms = float(duration_ms)
        self.mean_ms += MEAN_WEIGHT * (duration_ms - self.mean_ms)

    def estimate_service_ms(self, request):
        """Returns the expected time in ms from getting a slot to the answer.

        It is at most half of the time that the caller allows: requests of
        one service differ in length, and a long mean must not cause all
        short requests to be refused.
        """
        allowed_ms = request.deadline_ms - request.received_ms
        return min(self.mean_ms or 0, allowed_ms / 2)

    def estimate_wait_ms(self, requests_ahead, slots):
        """Returns the expected wait for a slot in ms, or None if unknown.

        Args:
            requests_ahead: Number of waiting requests that go first.
            slots: Number of slots that this entry may use.
        """
        if self.mean_ms is None or not slots:
            return None
        return self.mean_ms * requests_ahead / slots


def list_demand(targets, waiting, zone, now_ms):
    """Returns the slots that a service could use now.

    Endpoints of other zones are included while they run requests of this
    entry, while requests wait and the entry's zone has no free slot, and if
    the entry's zone has no ready endpoint.

    Returns:
        Tuples of endpoint id, slots wanted and slots in use.
    """
    ready = [t for t in targets if not t.lost and t.record.state == READY]
    same_zone = [t for t in ready if t.record.availability_zone == zone]
    zone_is_full = not any(t.free_slots(now_ms) for t in same_zone)
    requested = (
        ready if waiting and zone_is_full or not same_zone else same_zone
    )
    requested = requested + [
        t for t in ready if t.in_flight and t not in requested
    ]
    if not requested:
        return []
    extra_slots = -(-waiting // len(requested))
    return [
        (
            target.record.endpoint_id,
            min(target.in_flight + extra_slots, target.record.slots),
            target.in_flight,
        )
        for target in requested
    ]

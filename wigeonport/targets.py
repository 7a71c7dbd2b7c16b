"""Targets: endpoints as the router of one entry sees them."""

from wigeonport.endpoints import READY
from wigeonport.quarantines import Health

# Weight of the newest service time in the mean.
MEAN_WEIGHT = 0.1
FULL_PAUSE_MS = 50


class Target:
    """An endpoint and what this entry may send to it.

    Attributes:
        record: Its latest record.
        in_flight: Requests of this entry that run on it.
        lost: Whether it must get no new work.
        share: Leased slots, or None if leases are not used.
        share_until_ms: When the lease ends.
        max_connections: Connections of this entry to it.
        paused_until_ms: Until when it is taken for full.
        health: Its failures.
    """

    __slots__ = (
        "record",
        "in_flight",
        "lost",
        "share",
        "share_until_ms",
        "max_connections",
        "paused_until_ms",
        "health",
    )

    def __init__(self, record, leased, entries):
        self.in_flight = 0
        self.lost = False
        self.share = 0 if leased else None
        self.share_until_ms = 0
        self.paused_until_ms = 0
        self.health = Health()
        self.follow(record, entries)

    def follow(self, record, entries):
        """Takes over a newer record."""
        self.record = record
        self.lost = False
        self.max_connections = max(1, record.connections // entries)

    def slots(self, now_ms):
        """Returns the slots that this entry may use now."""
        if self.lost or self.record.state != READY:
            return 0
        slots = self.record.slots
        if self.share is not None:
            slots = self.share if now_ms < self.share_until_ms else 0
        return min(slots, self.max_connections)

    def free_slots(self, now_ms):
        """Returns the slots that are free for a new request."""
        if now_ms < self.paused_until_ms:
            return 0
        return max(self.slots(now_ms) - self.in_flight, 0)


def choose_target(targets, request, zone, now_ms, random):
    """Returns the target for a request, or None.

    Endpoints of the own zone go first; the others are used when none of
    those is free. Among the candidates two are drawn at random and the one
    with more free slots wins; an endpoint whose probe is due goes first.
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
    near = [t for t in usable if t.record.availability_zone == zone]
    candidates = near or usable
    if not candidates:
        return None
    drawn = random.sample(candidates, min(2, len(candidates)))
    return max(drawn, key=lambda target: target.free_slots(now_ms))


class ServiceTimes:
    """Mean time of the attempts of one service.

    Attributes:
        mean_ms: Moving average, or None before the first attempt.
    """

    __slots__ = ("mean_ms",)

    def __init__(self):
        self.mean_ms = None

    def note(self, duration_ms):
        """Adds the time of one attempt."""
        if self.mean_ms is None:
            self.mean_ms = float(duration_ms)
        self.mean_ms += MEAN_WEIGHT * (duration_ms - self.mean_ms)

    def margin(self, request):
        """Returns the time in ms that a request needs after its wait.

        At most half of the time that its caller allows: requests of one
        service differ, and a long mean must not refuse all short ones.
        """
        allowed_ms = request.deadline_ms - request.received_ms
        return min(self.mean_ms or 0, allowed_ms / 2)

    def estimate_wait(self, ahead, slots):
        """Returns the wait in ms behind others, or None if not known."""
        if self.mean_ms is None or not slots:
            return None
        return self.mean_ms * ahead / slots


def list_demand(targets, waiting, zone, now_ms):
    """Returns what a service could use: (endpoint id, wanted, in use).

    Endpoints of other zones are asked for only while requests wait and the
    own zone has no free slot.
    """
    live = [t for t in targets if not t.lost and t.record.state == READY]
    near = [t for t in live if t.record.availability_zone == zone]
    full = not any(t.free_slots(now_ms) for t in near)
    chosen = live if waiting and full or not near else near
    chosen = chosen + [t for t in live if t.in_flight and t not in chosen]
    if not chosen:
        return []
    each = -(-waiting // len(chosen))
    return [
        (
            target.record.endpoint_id,
            min(target.in_flight + each, target.record.slots),
            target.in_flight,
        )
        for target in chosen
    ]

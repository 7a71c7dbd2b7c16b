"""Records of a fleet version, each with a table of its fields."""

from wigeonport.documents import Field
from wigeonport.registries import Registry

SECTIONS = Registry("fleet section")
MS_PER_DAY = 86_400_000
MINUTES_PER_DAY = 1_440
DAYS = ("mon", "tue", "wed", "thu", "fri", "sat", "sun", "daily")
MS_PER_MINUTE = 60_000
# Index in DAYS of 1970-01-01, which was a Thursday.
EPOCH_WEEKDAY = 3


@SECTIONS.register("regions")
class Region:
    """A region, which holds availability zones."""

    __slots__ = ("id",)
    FIELDS = (Field("id", "name"),)

    def __init__(self, id):
        self.id = id


@SECTIONS.register("zones")
class AvailabilityZone:
    """An availability zone, which holds racks."""

    __slots__ = ("id", "region")
    FIELDS = (Field("id", "name"), Field("region", "name"))

    def __init__(self, id, region):
        self.id = id
        self.region = region


@SECTIONS.register("racks")
class Rack:
    """A rack, which holds workers that fail or reboot together."""

    __slots__ = ("id", "zone")
    FIELDS = (Field("id", "name"), Field("zone", "name"))

    def __init__(self, id, zone):
        self.id = id
        self.zone = zone


@SECTIONS.register("workers")
class Worker:
    """A VM that runs the tasks of a pool.

    Attributes:
        id: VM id.
        zone: Availability zone.
        rack: Rack in that zone.
        processors: Number of cores.
        memory_mb: Memory in MB.
        accelerators: Number of accelerators.
        pool: The one pool to which this version assigns the VM.
    """

    __slots__ = (
        "id",
        "zone",
        "rack",
        "processors",
        "memory_mb",
        "accelerators",
        "pool",
    )
    FIELDS = (
        Field("id", "name"),
        Field("zone", "name"),
        Field("rack", "name"),
        Field("processors", "whole", least=1, most=4_096),
        Field("memory_mb", "whole", least=1),
        Field("accelerators", "whole", 0, least=0, most=1_024),
        Field("pool", "name"),
    )

    def __init__(
        self, id, zone, rack, processors, memory_mb, accelerators, pool
    ):
        self.id = id
        self.zone = zone
        self.rack = rack
        self.processors = processors
        self.memory_mb = memory_mb
        self.accelerators = accelerators
        self.pool = pool


@SECTIONS.register("pools")
class Pool:
    """A group of workers that drains and reboots together."""

    __slots__ = ("id", "team")
    FIELDS = (Field("id", "name"), Field("team", "name", None))

    def __init__(self, id, team=None):
        self.id = id
        self.team = team


@SECTIONS.register("services")
class Service:
    """A service that callers use.

    Attributes:
        id: Name, which is the first segment of the callers' paths.
        pool: Pool whose workers run the service.
        capacity_workers: Number of workers promised to the service.
        max_unavailable: Budget as a number of workers, or None.
        max_unavailable_share: Budget as a share of the pool, or None.
        slots_per_endpoint: Requests that an endpoint runs at a time.
        connections_per_endpoint: Connections that an endpoint accepts.
        default_deadline_ms: Deadline of requests that name none.
    """

    __slots__ = (
        "id",
        "pool",
        "capacity_workers",
        "max_unavailable",
        "max_unavailable_share",
        "slots_per_endpoint",
        "connections_per_endpoint",
        "default_deadline_ms",
    )
    FIELDS = (
        Field("id", "name"),
        Field("pool", "name"),
        Field("capacity_workers", "whole", least=0),
        Field("max_unavailable", "whole", None, least=0),
        Field("max_unavailable_share", "number", None, least=0, most=1),
        Field("slots_per_endpoint", "whole", 8, least=1, most=65_536),
        Field("connections_per_endpoint", "whole", 64, least=1, most=65_536),
        Field("default_deadline_ms", "whole", 5_000, least=1, most=3_600_000),
    )

    def __init__(
        self,
        id,
        pool,
        capacity_workers,
        max_unavailable,
        max_unavailable_share,
        slots_per_endpoint,
        connections_per_endpoint,
        default_deadline_ms,
    ):
        self.id = id
        self.pool = pool
        self.capacity_workers = capacity_workers
        self.max_unavailable = max_unavailable
        self.max_unavailable_share = max_unavailable_share
        self.slots_per_endpoint = slots_per_endpoint
        self.connections_per_endpoint = connections_per_endpoint
        self.default_deadline_ms = default_deadline_ms

    def budget(self, worker_count):
        """Returns the budget as a number of workers of the pool."""
        if self.max_unavailable is not None:
            return min(self.max_unavailable, worker_count)
        # As a float, 0.29 * 100 is just below 29; int would return 28.
        return int((self.max_unavailable_share or 0) * worker_count + 1e-9)

    def allowed_unavailable(self, worker_count):
        """Returns how many of the pool's workers may be unavailable.

        This is the budget, but never more than the number of workers
        beyond the promised capacity.
        """
        spare = worker_count - self.capacity_workers
        return max(0, min(self.budget(worker_count), spare))


@SECTIONS.register("teams")
class Team:
    """A team and the resources that its jobs may use."""

    __slots__ = ("id", "processors", "memory_mb", "accelerators")
    FIELDS = (
        Field("id", "name"),
        Field("processors", "whole", least=0),
        Field("memory_mb", "whole", least=0),
        Field("accelerators", "whole", 0, least=0),
    )

    def __init__(self, id, processors, memory_mb, accelerators):
        self.id = id
        self.processors = processors
        self.memory_mb = memory_mb
        self.accelerators = accelerators


@SECTIONS.register("windows")
class MaintenanceWindow:
    """A span of the week, in UTC, in which maintenance may run in a zone.

    Attributes:
        id: Name of the window.
        zone: Availability zone.
        day: ``mon`` to ``sun``, or ``daily``.
        start_minute: Minute of the day at which the window opens.
        duration_minutes: Length; a window may run past midnight.
    """

    __slots__ = ("id", "zone", "day", "start_minute", "duration_minutes")
    FIELDS = (
        Field("id", "name"),
        Field("zone", "name"),
        Field("day", "name", "daily"),
        Field("start_minute", "whole", least=0, most=MINUTES_PER_DAY - 1),
        Field("duration_minutes", "whole", least=1, most=MINUTES_PER_DAY),
    )

    def __init__(self, id, zone, day, start_minute, duration_minutes):
        self.id = id
        self.zone = zone
        self.day = day
        self.start_minute = start_minute
        self.duration_minutes = duration_minutes

    def contains(self, wall_ms):
        """Returns whether the window is open.

        Args:
            wall_ms: Time since the epoch in ms.
        """
        day, minute = divmod(wall_ms // MS_PER_MINUTE, MINUTES_PER_DAY)
        weekday = (day + EPOCH_WEEKDAY) % 7
        elapsed_minutes = minute - self.start_minute
        if 0 <= elapsed_minutes < self.duration_minutes:
            return self._opens_on(weekday)
        elapsed_minutes += MINUTES_PER_DAY
        if elapsed_minutes < self.duration_minutes:
            return self._opens_on((weekday - 1) % 7)
        return False

    def next_opening(self, wall_ms):
        """Returns the time of the next opening, in ms since the epoch.

        Args:
            wall_ms: Time in ms after which the window must open.

        Raises:
            ValueError: If the window opens on no day of the week.
        """
        day = wall_ms // MS_PER_DAY
        for days_ahead in range(8):
            opening = (day + days_ahead) * MS_PER_DAY
            opening += self.start_minute * MS_PER_MINUTE
            weekday = (day + days_ahead + EPOCH_WEEKDAY) % 7
            if opening > wall_ms and self._opens_on(weekday):
                return opening
        raise ValueError(f"window {self.id!r} never opens")

    def _opens_on(self, weekday):
        return self.day == "daily" or self.day == DAYS[weekday]


class Weights:
    """Weights of the three measures that the policies minimize.

    Attributes:
        buffer_cost: Weight of the VMs that stand idle.
        roll_out_time: Weight of the time in which VMs are missing.
        moves: Weight of moves of VMs between pools.
    """

    __slots__ = ("buffer_cost", "roll_out_time", "moves")
    FIELDS = (
        Field("buffer_cost", "number", 1.0, least=0, most=1_000),
        Field("roll_out_time", "number", 1.0, least=0, most=1_000),
        Field("moves", "number", 1.0, least=0, most=1_000),
    )

    def __init__(self, buffer_cost=1.0, roll_out_time=1.0, moves=1.0):
        self.buffer_cost = buffer_cost
        self.roll_out_time = roll_out_time
        self.moves = moves

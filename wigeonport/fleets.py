"""One numbered version of the fleet, its JSON form and its checks."""

from expression import Result

from wigeonport.documents import (
    Field,
    Reporter,
    read_fields,
    write_fields,
)
from wigeonport.fleet_records import (
    DAYS,
    SECTIONS,
    AvailabilityZone,
    MaintenanceWindow,
    Pool,
    Rack,
    Region,
    Service,
    Team,
    Weights,
    Worker,
)
from wigeonport.registries import Registry

FLEET_CHECKS = Registry("fleet check")
DEFAULT_MAINTENANCE_PERIOD_HOURS = 336
SECTION_NAMES = tuple(SECTIONS.entries)
SCALAR_FIELDS = (
    Field("spare_pool", "name", None),
    Field(
        "maintenance_period_hours",
        "whole",
        DEFAULT_MAINTENANCE_PERIOD_HOURS,
        least=1,
        most=24 * 366,
    ),
)
TOP_FIELDS = (
    Field("version", "whole", 0, least=0),
    *SCALAR_FIELDS,
    Field("weights", "mapping", None),
    *(Field(name, "mappings", ()) for name in SECTION_NAMES),
)


class Fleet:
    """One version of the fleet; its records are replaced, never changed.

    Attributes:
        version: Number of this version; 0 is the empty fleet.
        spare_pool: Pool that lends workers, or None.
        maintenance_period_hours: Period in which every VM is maintained
            once.
        weights: Weights of the measures that the policies minimize.
        regions: Maps id to Region.
        zones: Maps id to AvailabilityZone.
        racks: Maps id to Rack.
        workers: Maps VM id to Worker.
        pools: Maps id to Pool.
        services: Maps id to Service.
        teams: Maps id to Team.
        windows: Maps id to MaintenanceWindow.
    """

    __slots__ = (
        "version",
        "spare_pool",
        "maintenance_period_hours",
        "weights",
        *SECTION_NAMES,
    )

    def __init__(self, version=0):
        self.version = version
        self.spare_pool = None
        self.maintenance_period_hours = DEFAULT_MAINTENANCE_PERIOD_HOURS
        self.weights = Weights()
        for name in SECTION_NAMES:
            setattr(self, name, {})

    def copy(self, version=None):
        """Returns a copy with its own sections; the records are shared.

        Args:
            version: Number of the copy, or None to keep this one.
        """
        result = Fleet(self.version if version is None else version)
        result.spare_pool = self.spare_pool
        result.maintenance_period_hours = self.maintenance_period_hours
        result.weights = self.weights
        for name in SECTION_NAMES:
            setattr(result, name, dict(getattr(self, name)))
        return result

    def workers_of(self, pool):
        """Returns the workers of a pool, ordered by id."""
        workers = [w for w in self.workers.values() if w.pool == pool]
        return sorted(workers, key=lambda worker: worker.id)

    def services_of(self, pool):
        """Returns the services that run on a pool, ordered by id."""
        services = [s for s in self.services.values() if s.pool == pool]
        return sorted(services, key=lambda service: service.id)

    def windows_of(self, zone):
        """Returns the maintenance windows of an availability zone."""
        return [w for w in self.windows.values() if w.zone == zone]

    def to_document(self):
        """Returns the fleet as JSON data; equal fleets give equal data."""
        document = {
            "version": self.version,
            "spare_pool": self.spare_pool,
            "maintenance_period_hours": self.maintenance_period_hours,
            "weights": write_fields(Weights.FIELDS, self.weights),
        }
        for name in SECTION_NAMES:
            records = sorted(getattr(self, name).values(), key=lambda r: r.id)
            document[name] = [
                write_fields(record.FIELDS, record) for record in records
            ]
        return document


def copy_with(record, **changes):
    """Returns a copy of a record with some attributes changed."""
    values = write_fields(record.FIELDS, record)
    return type(record)(**(values | changes))


def read_record(record_class, document, path, reporter):
    """Reads a record from its document.

    Returns:
        The record, or None if the reporter received findings.
    """
    values = read_fields(record_class.FIELDS, document, path, reporter)
    return None if values is None else record_class(**values)


def fleet_from_document(document, source_map=None) -> Result:
    """Reads and checks a fleet version.

    Args:
        document: JSON data of the fleet.
        source_map: Maps key paths to locations in the source, or None.

    Returns:
        The Fleet, or all Findings with their key paths.
    """
    reporter = Reporter(source_map)
    values = read_fields(TOP_FIELDS, document, (), reporter)
    if values is None:
        return reporter.findings.result(None)
    fleet = Fleet(values["version"])
    for field in SCALAR_FIELDS:
        setattr(fleet, field.name, values[field.name])
    if values["weights"] is not None:
        weights = read_record(
            Weights, values["weights"], ("weights",), reporter
        )
        fleet.weights = weights or fleet.weights
    for name in SECTION_NAMES:
        _read_section(fleet, name, values[name], reporter)
    check_fleet(fleet, reporter)
    return reporter.findings.result(fleet)


def _read_section(fleet, name, documents, reporter):
    section = getattr(fleet, name)
    for index, document in enumerate(documents):
        path = (name, index)
        record = read_record(SECTIONS.entries[name], document, path, reporter)
        if record is None:
            continue
        if record.id in section:
            reporter.add((*path, "id"), f"{record.id!r} is defined twice")
        section.setdefault(record.id, record)


def check_fleet(fleet, reporter):
    """Runs every registered check; the reporter collects the findings."""
    for name in FLEET_CHECKS.names():
        FLEET_CHECKS.entries[name](fleet, reporter)


def _check_reference(reporter, path, section, name, records):
    """Reports a reference to a record that does not exist."""
    if name is not None and name not in records:
        kind = section[:-1]
        reporter.add(path, f"{kind} {name!r} does not exist", (section, name))


@FLEET_CHECKS.register("topology")
def check_topology(fleet, reporter):
    """Checks that zones name existing regions, and racks existing zones."""
    for zone in fleet.zones.values():
        path = ("zones", zone.id, "region")
        _check_reference(reporter, path, "regions", zone.region, fleet.regions)
    for rack in fleet.racks.values():
        path = ("racks", rack.id, "zone")
        _check_reference(reporter, path, "zones", rack.zone, fleet.zones)


@FLEET_CHECKS.register("workers")
def check_workers(fleet, reporter):
    """Checks that each worker's pool, zone and rack in the zone exist."""
    for worker in fleet.workers.values():
        path = ("workers", worker.id)
        _check_reference(
            reporter, (*path, "pool"), "pools", worker.pool, fleet.pools
        )
        _check_reference(
            reporter, (*path, "zone"), "zones", worker.zone, fleet.zones
        )
        _check_reference(
            reporter, (*path, "rack"), "racks", worker.rack, fleet.racks
        )
        rack = fleet.racks.get(worker.rack)
        if rack is not None and rack.zone != worker.zone:
            reporter.add(
                (*path, "rack"),
                f"rack {rack.id!r} is in zone {rack.zone!r}, "
                f"not in {worker.zone!r}",
                ("racks", rack.id),
            )


@FLEET_CHECKS.register("services")
def check_services(fleet, reporter):
    """Checks that services name existing pools and one form of budget."""
    for service in fleet.services.values():
        path = ("services", service.id)
        _check_reference(
            reporter, (*path, "pool"), "pools", service.pool, fleet.pools
        )
        forms = (service.max_unavailable, service.max_unavailable_share)
        if sum(form is not None for form in forms) != 1:
            reporter.add(
                path,
                "give either max_unavailable or max_unavailable_share",
            )


@FLEET_CHECKS.register("capacity")
def check_capacity(fleet, reporter):
    """Checks that each pool has the workers promised to its services."""
    counts = {}
    for worker in fleet.workers.values():
        counts[worker.pool] = counts.get(worker.pool, 0) + 1
    promised = {}
    for service in fleet.services.values():
        total = promised.get(service.pool, 0) + service.capacity_workers
        promised[service.pool] = total
        if total > counts.get(service.pool, 0) and service.capacity_workers:
            reporter.add(
                ("services", service.id, "capacity_workers"),
                f"pool {service.pool!r} has "
                f"{counts.get(service.pool, 0)} workers, its services are "
                f"promised {total}",
                ("pools", service.pool),
            )


@FLEET_CHECKS.register("teams")
def check_teams(fleet, reporter):
    """Checks that the teams of pools, and the spare pool, exist."""
    for pool in fleet.pools.values():
        path = ("pools", pool.id, "team")
        _check_reference(reporter, path, "teams", pool.team, fleet.teams)
    path = ("spare_pool",)
    _check_reference(reporter, path, "pools", fleet.spare_pool, fleet.pools)


@FLEET_CHECKS.register("windows")
def check_windows(fleet, reporter):
    """Checks that windows name existing zones and known days."""
    for window in fleet.windows.values():
        path = ("windows", window.id)
        _check_reference(
            reporter, (*path, "zone"), "zones", window.zone, fleet.zones
        )
        if window.day not in DAYS:
            reporter.add((*path, "day"), f"use one of {', '.join(DAYS)}")


__all__ = [
    "AvailabilityZone",
    "Fleet",
    "MaintenanceWindow",
    "Pool",
    "Rack",
    "Region",
    "Service",
    "Team",
    "Weights",
    "Worker",
    "check_fleet",
    "fleet_from_document",
    "read_record",
    "copy_with",
]

"""Operations of patches.

An operation is a class with a table of fields and a method ``apply`` that
changes a draft of the next fleet version. The decorator registers it under
the name that patch documents use.
"""

from wigeonport.documents import Field, write_fields
from wigeonport.fleet_changes import diff
from wigeonport.fleet_records import SECTIONS, Weights
from wigeonport.fleets import copy_with
from wigeonport.registries import Registry

OPERATIONS = Registry("patch operation")
RECORD_KINDS = {name: name[:-1] for name in SECTIONS.entries}


class Draft:
    """The next fleet version while the operations are applied.

    Attributes:
        fleet: Copy that the operations change.
        find_version: Function from a version number to its Fleet, or None.
        reporter: Collects findings.
        path: Key path of the operation that is being applied.
        operation_paths: Maps section and id of a record to the key path of
            the last operation that changed it.
    """

    __slots__ = (
        "fleet",
        "find_version",
        "reporter",
        "path",
        "operation_paths",
    )

    def __init__(self, fleet, find_version, reporter):
        self.fleet = fleet
        self.find_version = find_version
        self.reporter = reporter
        self.path = ()
        self.operation_paths = {}

    def add_finding(self, key, text):
        """Adds a finding at a key of the current operation."""
        self.reporter.add((*self.path, key), text)

    def record_change(self, section, id):
        """Records that the current operation changed a record."""
        self.operation_paths[(section, id)] = self.path

    def find(self, section, id, key):
        """Returns a record of the draft.

        Args:
            section: Fleet section.
            id: Id of the record.
            key: Key of the operation that names the record.

        Returns:
            The record, or None after a finding if it does not exist.
        """
        record = getattr(self.fleet, section).get(id)
        if record is None:
            kind = RECORD_KINDS[section]
            self.add_finding(key, f"{kind} {id!r} does not exist")
        return record

    def put(self, section, record):
        """Adds or replaces a record."""
        getattr(self.fleet, section)[record.id] = record
        self.record_change(section, record.id)

    def set(self, name, value):
        """Sets a fleet-wide value."""
        setattr(self.fleet, name, value)
        self.record_change("fleet", name)


class AddRecord:
    """Adds a record; its id must not exist yet."""

    __slots__ = ("record",)
    SECTION = ""
    FIELDS = ()

    def __init__(self, **values):
        self.record = SECTIONS.entries[self.SECTION](**values)

    def to_document(self):
        """Returns the fields of the operation."""
        return write_fields(self.FIELDS, self.record)

    def apply(self, draft):
        """Adds the record to the draft."""
        section = getattr(draft.fleet, self.SECTION)
        if self.record.id in section:
            kind = RECORD_KINDS[self.SECTION]
            draft.add_finding(
                "id", f"{kind} {self.record.id!r} exists already"
            )
            return
        draft.put(self.SECTION, self.record)


class ReplaceRecord(AddRecord):
    """Replaces an existing record."""

    __slots__ = ()

    def apply(self, draft):
        """Replaces the record in the draft."""
        if draft.find(self.SECTION, self.record.id, "id") is not None:
            draft.put(self.SECTION, self.record)


class Operation:
    """Base class of operations whose attributes are their fields."""

    __slots__ = ()
    FIELDS = ()

    def to_document(self):
        """Returns the fields of the operation."""
        return write_fields(self.FIELDS, self)


class RemoveRecord(Operation):
    """Removes a record."""

    __slots__ = ("id",)
    SECTION = ""
    FIELDS = (Field("id", "name"),)

    def __init__(self, id):
        self.id = id

    def apply(self, draft):
        """Removes the record from the draft."""
        if draft.find(self.SECTION, self.id, "id") is not None:
            del getattr(draft.fleet, self.SECTION)[self.id]
            draft.record_change(self.SECTION, self.id)


def _register_record_operations():
    """Registers add, replace and remove for every fleet section."""
    bases = {"add": AddRecord, "replace": ReplaceRecord}
    for section, record_class in SECTIONS.entries.items():
        for verb, base in (*bases.items(), ("remove", RemoveRecord)):
            members = {"__slots__": (), "SECTION": section}
            if base is not RemoveRecord:
                members["FIELDS"] = record_class.FIELDS
            name = f"{verb}_{RECORD_KINDS[section]}"
            OPERATIONS.register(name)(type(name, (base,), members))


_register_record_operations()


@OPERATIONS.register("move_worker")
class MoveWorker(Operation):
    """Assigns a VM to another pool."""

    __slots__ = ("worker", "pool")
    FIELDS = (Field("worker", "name"), Field("pool", "name"))

    def __init__(self, worker, pool):
        self.worker = worker
        self.pool = pool

    def apply(self, draft):
        """Changes the worker's pool in the draft."""
        worker = draft.find("workers", self.worker, "worker")
        pool = draft.find("pools", self.pool, "pool")
        if worker is None or pool is None:
            return
        if worker.pool == self.pool:
            draft.add_finding(
                "pool", f"{self.worker!r} is in this pool already"
            )
            return
        draft.put("workers", copy_with(worker, pool=self.pool))


@OPERATIONS.register("set_service_capacity")
class SetServiceCapacity(Operation):
    """Sets the number of workers promised to a service."""

    __slots__ = ("service", "capacity_workers")
    FIELDS = (
        Field("service", "name"),
        Field("capacity_workers", "whole", least=0),
    )

    def __init__(self, service, capacity_workers):
        self.service = service
        self.capacity_workers = capacity_workers

    def apply(self, draft):
        """Changes the service in the draft."""
        service = draft.find("services", self.service, "service")
        if service is not None:
            capacity = self.capacity_workers
            draft.put(
                "services", copy_with(service, capacity_workers=capacity)
            )


@OPERATIONS.register("set_service_budget")
class SetServiceBudget(Operation):
    """Sets the number or the share of workers that may be unavailable."""

    __slots__ = ("service", "max_unavailable", "max_unavailable_share")
    FIELDS = (
        Field("service", "name"),
        Field("max_unavailable", "whole", None, least=0),
        Field("max_unavailable_share", "number", None, least=0, most=1),
    )

    def __init__(self, service, max_unavailable, max_unavailable_share):
        self.service = service
        self.max_unavailable = max_unavailable
        self.max_unavailable_share = max_unavailable_share

    def apply(self, draft):
        """Changes the service in the draft."""
        service = draft.find("services", self.service, "service")
        if service is not None:
            changed = copy_with(
                service,
                max_unavailable=self.max_unavailable,
                max_unavailable_share=self.max_unavailable_share,
            )
            draft.put("services", changed)


@OPERATIONS.register("set_maintenance_period")
class SetMaintenancePeriod(Operation):
    """Sets the period in which every VM is maintained once."""

    __slots__ = ("hours",)
    FIELDS = (Field("hours", "whole", least=1, most=24 * 366),)

    def __init__(self, hours):
        self.hours = hours

    def apply(self, draft):
        """Changes the period in the draft."""
        draft.set("maintenance_period_hours", self.hours)


@OPERATIONS.register("set_spare_pool")
class SetSparePool(Operation):
    """Names the pool that lends workers."""

    __slots__ = ("pool",)
    FIELDS = (Field("pool", "name", None),)

    def __init__(self, pool):
        self.pool = pool

    def apply(self, draft):
        """Changes the spare pool in the draft."""
        draft.set("spare_pool", self.pool)


@OPERATIONS.register("set_weights")
class SetWeights(Operation):
    """Sets the weights of the measures; those not given become 1."""

    __slots__ = Weights.__slots__
    FIELDS = Weights.FIELDS

    def __init__(self, buffer_cost, roll_out_time, moves):
        self.buffer_cost = buffer_cost
        self.roll_out_time = roll_out_time
        self.moves = moves

    def apply(self, draft):
        """Changes the weights in the draft."""
        draft.set(
            "weights",
            Weights(self.buffer_cost, self.roll_out_time, self.moves),
        )


@OPERATIONS.register("restore")
class Restore(Operation):
    """Makes the next version a copy of an older one."""

    __slots__ = ("version",)
    FIELDS = (Field("version", "whole", least=0),)

    def __init__(self, version):
        self.version = version

    def apply(self, draft):
        """Replaces the content of the draft."""
        restored = (
            draft.find_version(self.version) if draft.find_version else None
        )
        if restored is None:
            draft.add_finding(
                "version", f"version {self.version} is not in the history"
            )
            return
        for change in diff(draft.fleet, restored):
            draft.record_change(change.section, change.id)
        draft.fleet = restored.copy(draft.fleet.version)

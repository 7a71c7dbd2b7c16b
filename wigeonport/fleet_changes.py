"""Differences between two fleet versions, which can be reversed."""

from wigeonport.documents import Field, write_fields
from wigeonport.fleet_records import SECTIONS, Weights
from wigeonport.fleets import SCALAR_FIELDS, SECTION_NAMES

WEIGHTS = "weights"
FLEET_SECTION = "fleet"


class Change:
    """A difference in one record or fleet-wide value.

    Attributes:
        section: Fleet section, or ``fleet`` for fleet-wide values.
        id: Record id, or the name of the fleet-wide value.
        before: Document before the change; None if there was no record.
        after: Document after the change; None if the record was removed.
    """

    __slots__ = ("section", "id", "before", "after")
    FIELDS = (
        Field("section", "name"),
        Field("id", "name"),
        Field("before", "any", None),
        Field("after", "any", None),
    )

    def __init__(self, section, id, before, after):
        self.section = section
        self.id = id
        self.before = before
        self.after = after

    def to_document(self):
        """Returns the change as JSON data."""
        return write_fields(self.FIELDS, self)

    def reversed(self):
        """Returns the change that undoes this one."""
        return Change(self.section, self.id, self.after, self.before)

    def __str__(self):
        name = f"{self.section}.{self.id}"
        if self.section == FLEET_SECTION:
            return f"{name}: {self.before} -> {self.after}"
        if self.before is None:
            return f"{name}: added {_format_fields(self.after)}".rstrip()
        if self.after is None:
            return f"{name}: removed"
        fields = [
            f"{key} {self.before.get(key)} -> {value}"
            for key, value in self.after.items()
            if self.before.get(key) != value
        ]
        return f"{name}: {', '.join(fields)}"


def _format_fields(document):
    return " ".join(f"{k}={v}" for k, v in document.items() if k != "id")


def diff(old, new):
    """Returns the changes from one fleet to another, in a fixed order."""
    changes = []
    for name in (*(field.name for field in SCALAR_FIELDS), WEIGHTS):
        before, after = _fleet_value(old, name), _fleet_value(new, name)
        if before != after:
            changes.append(Change(FLEET_SECTION, name, before, after))
    for name in SECTION_NAMES:
        changes.extend(_section_changes(name, old, new))
    return changes


def _section_changes(name, old, new):
    before, after = getattr(old, name), getattr(new, name)
    changes = []
    for id in sorted(before.keys() | after.keys()):
        # Versions share unchanged records, so most need no comparison.
        if before.get(id) is after.get(id):
            continue
        pair = (_document(before.get(id)), _document(after.get(id)))
        if pair[0] != pair[1]:
            changes.append(Change(name, id, *pair))
    return changes


def _document(record):
    return record and write_fields(record.FIELDS, record)


def _fleet_value(fleet, name):
    value = getattr(fleet, name)
    return _document(value) if name == WEIGHTS else value


def apply_changes(fleet, changes, version):
    """Returns a fleet with the changes applied, without checks."""
    result = fleet.copy(version)
    for change in changes:
        if change.section == FLEET_SECTION:
            value = change.after
            if change.id == WEIGHTS:
                value = Weights(**value)
            setattr(result, change.id, value)
            continue
        section = getattr(result, change.section)
        if change.after is None:
            section.pop(change.id, None)
        else:
            record_class = SECTIONS.entries[change.section]
            section[change.id] = record_class(**change.after)
    return result


def merge_changes(changes):
    """Merges successive changes of each record; drops those without effect."""
    merged = {}
    for change in changes:
        key = (change.section, change.id)
        first = merged.get(key)
        before = change.before if first is None else first.before
        merged[key] = Change(*key, before, change.after)
    return [c for c in merged.values() if c.before != c.after]

"""Patches: changes of the fleet against a stated version."""

import hashlib
import json

from expression import Result

from wigeonport.documents import (
    Field,
    Reporter,
    SourceMap,
    describe_unknown_key,
    format_path,
    read_fields,
    write_fields,
)
from wigeonport.fleet_changes import diff
from wigeonport.fleets import check_fleet
from wigeonport.patch_operations import OPERATIONS, Draft

MAX_OPERATIONS = 20_000
FIELDS = (
    Field("id", "name"),
    Field("against_version", "whole", least=0),
    Field("author", "text"),
    Field("reason", "text"),
    Field("operations", "mappings"),
)


class Patch:
    """A change of the fleet that an operator or a policy submits.

    Attributes:
        id: Chosen by the author; a resend carries the same id.
        against_version: Version that the author has seen.
        author: Name of the operator or policy.
        reason: Reason for the change.
        operations: Operations in order.
        source_map: Maps key paths to locations in the source, for
            findings.
    """

    __slots__ = (
        "id",
        "against_version",
        "author",
        "reason",
        "operations",
        "source_map",
    )

    def __init__(
        self, id, against_version, author, reason, operations, source_map=None
    ):
        self.id = id
        self.against_version = against_version
        self.author = author
        self.reason = reason
        self.operations = operations
        self.source_map = source_map or SourceMap()

    def apply(self, fleet, find_version=None) -> Result:
        """Returns the next Fleet version, or all Findings.

        Args:
            fleet: The current version; it is not changed.
            find_version: Function from a version number to its Fleet, or
                None; the operation ``restore`` needs it.
        """
        reporter = Reporter(self.source_map)
        draft = Draft(fleet.copy(fleet.version + 1), find_version, reporter)
        for index, operation in enumerate(self.operations):
            draft.path = ("operations", index)
            operation.apply(draft)
        check_fleet(draft.fleet, _ResultReporter(draft))
        if not reporter.findings and not diff(fleet, draft.fleet):
            reporter.add(("operations",), "the patch changes nothing")
        return reporter.findings.result(draft.fleet)

    def to_document(self):
        """Returns the patch as JSON data."""
        document = write_fields(FIELDS, self)
        document["operations"] = [
            {"operation": operation_name(item), **item.to_document()}
            for item in self.operations
        ]
        return document

    def digest(self):
        """Returns the SHA-256 of the content; equal patches have the same."""
        text = json.dumps(self.to_document(), sort_keys=True)
        return hashlib.sha256(text.encode()).hexdigest()


class _ResultReporter:
    """Reports faults of the resulting fleet at the operations that cause them.

    Attributes:
        draft: The draft after all operations.
    """

    __slots__ = ("draft",)

    def __init__(self, draft):
        self.draft = draft

    def add(self, path, text, related_record=None):
        """Adds a finding at the last operation that changed the record.

        If no operation changed the record, the finding is at the last one
        that changed the record it refers to, else at the whole list.

        Args:
            path: Key path in the fleet.
            text: What is wrong.
            related_record: Section and id of the record referred to, or None.
        """
        record_key = path[:2] if len(path) > 1 else ("fleet", path[0])
        paths = self.draft.operation_paths
        operation_path = paths.get(tuple(record_key)) or paths.get(
            related_record
        )
        if operation_path is None:
            operation_path = ("operations",)
        location = self.draft.reporter.source_map.at(operation_path)
        findings = self.draft.reporter.findings
        findings.add(f"{location}: {format_path(path)}", text)


def operation_name(operation):
    """Returns the name under which the operation's class is registered."""
    for name, registered in OPERATIONS.entries.items():
        if registered is type(operation):
            return name
    raise KeyError(type(operation).__name__)


def patch_from_document(document, source_map=None) -> Result:
    """Returns the Patch, or all Findings with their locations."""
    reporter = Reporter(source_map)
    values = read_fields(FIELDS, document, (), reporter)
    # Operations are read even if another field is wrong, so that all faults
    # are reported at once.
    operations = _read_operations(document, reporter)
    if values is None or reporter.findings:
        return reporter.findings.result(None)
    values["operations"] = operations
    return reporter.findings.result(Patch(**values, source_map=source_map))


def _read_operations(document, reporter):
    value = isinstance(document, dict) and document.get("operations")
    documents = value if isinstance(value, list) else None
    if documents is None:
        return []
    if not documents:
        reporter.add(("operations",), "the patch has no operations")
    if len(documents) > MAX_OPERATIONS:
        text = f"more than {MAX_OPERATIONS} operations"
        reporter.add(("operations",), text)
        return []
    operations = []
    for index, document in enumerate(documents):
        path = ("operations", index)
        operations.append(_read_operation(document, path, reporter))
    return operations


def _read_operation(document, path, reporter):
    if not isinstance(document, dict):
        reporter.add(path, "expected a mapping with the key 'operation'")
        return None
    name = document.get("operation")
    if name is None:
        reporter.add(path, "the key 'operation' is missing")
        return None
    if not isinstance(name, str) or name not in OPERATIONS.entries:
        text = describe_unknown_key(name, OPERATIONS.entries)
        text = text.replace("unknown key", "unknown operation")
        reporter.add((*path, "operation"), text)
        return None
    operation_class = OPERATIONS.entries[name]
    fields = {k: v for k, v in document.items() if k != "operation"}
    values = read_fields(operation_class.FIELDS, fields, path, reporter)
    return None if values is None else operation_class(**values)

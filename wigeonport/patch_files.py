"""Patch files that operators keep in version control."""

from expression import Error, Result

from wigeonport.documents import Field, Reporter, read_fields
from wigeonport.patches import patch_from_document
from wigeonport.yaml_documents import load_file

FIELDS = (
    Field("author", "text", None),
    Field("reason", "text"),
    Field("operations", "mappings"),
)


def load_patch_file(path, id, against_version, author) -> Result:
    """Reads a patch file; returns a Patch or all Findings.

    A file holds a reason, operations and optionally an author. It has no
    patch id and no version, because these belong to one submission.

    Args:
        path: Name of the YAML file.
        id: Patch id.
        against_version: Version that the operator has seen.
        author: Author if the file names none.
    """
    loaded = load_file(path)
    if loaded.is_error():
        return loaded
    document, source_map = loaded.ok.value, loaded.ok.source_map
    reporter = Reporter(source_map)
    values = read_fields(FIELDS, document, (), reporter)
    if values is None:
        document = document if isinstance(document, dict) else {}
        values = {
            field.name: document[field.name]
            for field in FIELDS
            if field.name in document
        }
    submission = {"id": id, "against_version": against_version}
    submission |= values
    submission["author"] = values.get("author") or author
    patch = patch_from_document(submission, source_map)
    if not reporter.findings:
        return patch
    if patch.is_error():
        reported_lines = set(reporter.findings.lines())
        for item in patch.error.items:
            if str(item) not in reported_lines:
                reporter.findings.items.append(item)
    return Error(reporter.findings)

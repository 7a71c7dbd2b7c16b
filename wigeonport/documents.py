"""Readers that check plain documents against tables of fields."""

import difflib
import math
import re

from expression import Error, Ok, Result

from wigeonport.findings import Findings
from wigeonport.registries import Registry

# Functions ``(value, field)`` that return a Result of the checked value.
VALUE_READERS = Registry("kind of value")
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
# A float holds every integer up to this size exactly.
MAX_INTEGER = 2**53
MAX_TEXT_BYTES = 4_096


class Required:
    """Type of ``REQUIRED``, which marks a field without a default."""

    __slots__ = ()

    def __repr__(self):
        return "REQUIRED"


REQUIRED = Required()


class Field:
    """One key of a document.

    Attributes:
        name: The key.
        kind: Kind of the value, a name in ``VALUE_READERS``.
        default: Value when the key is absent; ``REQUIRED`` if there is none.
        least: Minimum of a number, or None.
        most: Maximum of a number, or None.
        text: Description for the reference pages.
    """

    __slots__ = ("name", "kind", "default", "least", "most", "text")

    def __init__(
        self, name, kind, default=REQUIRED, least=None, most=None, text=""
    ):
        self.name = name
        self.kind = kind
        self.default = default
        self.least = least
        self.most = most
        self.text = text


class SourceMap:
    """Maps key paths of a document to locations in its source file.

    Attributes:
        file: Name of the source file, or an empty text.
        lines: Maps key path to line number; empty if the document was not
            read from a file.
    """

    __slots__ = ("file", "lines")

    def __init__(self, file="", lines=None):
        self.file = file
        self.lines = lines or {}

    def at(self, path):
        """Returns file, line and key path as one text, where they exist."""
        name = format_path(path)
        line = self.line(path)
        if line is not None:
            return f"{self.file}:{line}: {name}"
        return f"{self.file}: {name}" if self.file else name

    def line(self, path):
        """Returns the line of the path or of its nearest known ancestor."""
        path = tuple(path)
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path)


class Reporter:
    """Collects findings at key paths.

    Attributes:
        findings: The Findings reported so far.
        source_map: SourceMap of the document.
    """

    __slots__ = ("findings", "source_map")

    def __init__(self, source_map=None):
        self.findings = Findings()
        self.source_map = source_map or SourceMap()

    def add(self, path, text, related_record=None):
        """Adds a finding.

        Args:
            path: Key path as a tuple.
            text: Description of the fault.
            related_record: Section and id of another record that is involved
                in the fault, or None. Only reporters of patches use it, to
                locate the finding.
        """
        del related_record
        self.findings.add(self.source_map.at(path), text)


def format_path(path):
    """Renders a key path: names joined by dots, indices in brackets."""
    text = ""
    for segment in path:
        if isinstance(segment, int):
            text += f"[{segment}]"
        else:
            text += f".{segment}" if text else str(segment)
    return text or "document"


def read_fields(fields, document, path, reporter):
    """Reads the fields of a mapping and reports every fault.

    Args:
        fields: Fields that the mapping may have.
        document: The mapping; any other value is a fault.
        path: Key path of the mapping, as a tuple.
        reporter: Gets the findings.

    Returns:
        A dict of field name to value, or None if there was any fault.
    """
    if not isinstance(document, dict):
        reporter.add(path, f"expected a mapping, found {type_name(document)}")
        return None
    fields_by_name = {field.name: field for field in fields}
    is_valid = True
    for key in document:
        if key not in fields_by_name:
            reporter.add(
                (*path, str(key)), describe_unknown_key(key, fields_by_name)
            )
            is_valid = False
    values = {}
    for field in fields:
        value = _read_field(field, document, path, reporter)
        is_valid = is_valid and value.is_ok()
        values[field.name] = value.default_value(None)
    return values if is_valid else None


def _read_field(field, document, path, reporter):
    if field.name not in document:
        if field.default is not REQUIRED:
            return Ok(field.default)
        reporter.add(path, f"the key {field.name!r} is missing")
        return Error("missing")
    value = document[field.name]
    if value is None and field.default is None:
        return Ok(None)
    result = VALUE_READERS.entries[field.kind](value, field)
    if result.is_error():
        reporter.add((*path, field.name), result.error)
    return result


def describe_unknown_key(key, fields_by_name):
    """Returns the text of a finding that suggests the closest valid key."""
    close_matches = difflib.get_close_matches(
        str(key), [str(k) for k in fields_by_name], 1, 0.5
    )
    hint = f"; did you mean {close_matches[0]!r}?" if close_matches else ""
    return f"unknown key {str(key)[:80]!r}{hint}"


def write_fields(fields, record):
    """Returns a dict of field name to the record's attribute."""
    return {field.name: getattr(record, field.name) for field in fields}


def type_name(value):
    """Returns the type of a value in words, such as ``a mapping``."""
    names_by_type = {
        dict: "a mapping",
        list: "a list",
        str: "a text",
        bool: "true or false",
        int: "a whole number",
        float: "a number",
        type(None): "nothing",
    }
    return names_by_type.get(type(value), f"a {type(value).__name__}")


def _expected(what, value):
    value_text = repr(value)
    value_text = (
        value_text if len(value_text) <= 60 else value_text[:57] + "..."
    )
    return Error(f"expected {what}, found {type_name(value)} {value_text}")


def _in_range(value, field):
    if field.least is not None and value < field.least:
        return Error(f"{value} is below the smallest value {field.least}")
    if field.most is not None and value > field.most:
        return Error(f"{value} is above the largest value {field.most}")
    return Ok(value)


@VALUE_READERS.register("name")
def read_name(value, field) -> Result:
    """Accepts an identifier that matches ``NAME_PATTERN``."""
    if isinstance(value, str) and NAME_PATTERN.fullmatch(value):
        return Ok(value)
    return _expected("a name of letters, digits and . _ : -", value)


@VALUE_READERS.register("text")
def read_text(value, field) -> Result:
    """Accepts a text of at most ``MAX_TEXT_BYTES`` bytes in UTF-8."""
    if not isinstance(value, str):
        return _expected("a text", value)
    try:
        size_bytes = len(value.encode())
    except UnicodeEncodeError:
        return Error("the text cannot be encoded in UTF-8")
    if size_bytes > MAX_TEXT_BYTES:
        return Error(f"the text is longer than {MAX_TEXT_BYTES} bytes")
    return Ok(value)


@VALUE_READERS.register("whole")
def read_whole(value, field) -> Result:
    """Accepts an integer within the field's range; booleans are refused."""
    if not isinstance(value, int) or isinstance(value, bool):
        return _expected("a whole number", value)
    if abs(value) > MAX_INTEGER:
        return Error(f"the number is beyond {MAX_INTEGER}")
    return _in_range(value, field)


@VALUE_READERS.register("number")
def read_number(value, field) -> Result:
    """Accepts a finite number within the field's range."""
    if not isinstance(value, int | float) or isinstance(value, bool):
        return _expected("a number", value)
    if isinstance(value, int) and abs(value) > MAX_INTEGER:
        return Error(f"the number is beyond {MAX_INTEGER}")
    if not math.isfinite(value):
        return _expected("a finite number", value)
    return _in_range(float(value), field)


@VALUE_READERS.register("flag")
def read_flag(value, field) -> Result:
    """Accepts true or false."""
    if isinstance(value, bool):
        return Ok(value)
    return _expected("true or false", value)


@VALUE_READERS.register("names")
def read_names(value, field) -> Result:
    """Accepts a list of names without duplicates."""
    if not isinstance(value, list):
        return _expected("a list of names", value)
    for item in value:
        result = read_name(item, field)
        if result.is_error():
            return result
    if len(set(value)) < len(value):
        return Error("the list contains a name twice")
    return Ok(list(value))


@VALUE_READERS.register("texts")
def read_texts(value, field) -> Result:
    """Accepts a list of texts."""
    if not isinstance(value, list):
        return _expected("a list of texts", value)
    for item in value:
        result = read_text(item, field)
        if result.is_error():
            return result
    return Ok(list(value))


@VALUE_READERS.register("mappings")
def read_mappings(value, field) -> Result:
    """Accepts a list; the caller reads its items."""
    if not isinstance(value, list):
        return _expected("a list", value)
    return Ok(value)


@VALUE_READERS.register("mapping")
def read_mapping(value, field) -> Result:
    """Accepts a mapping; the caller reads its fields."""
    if not isinstance(value, dict):
        return _expected("a mapping", value)
    return Ok(value)


@VALUE_READERS.register("any")
def read_any(value, field) -> Result:
    """Accepts any value; the caller reads it."""
    return Ok(value)

"""Reads YAML files as plain data, with the line of every key."""

import io
import pathlib

from expression import Error, Result
from ruamel.yaml import YAML
from ruamel.yaml.error import MarkedYAMLError, YAMLError
from ruamel.yaml.events import CollectionEndEvent, CollectionStartEvent
from ruamel.yaml.nodes import MappingNode, ScalarNode

from wigeonport.documents import SourceMap
from wigeonport.findings import Findings
from wigeonport.registries import Registry

# Functions from the text of a scalar to its value, by YAML tag.
SCALAR_READERS = Registry("YAML scalar")
TAG = "tag:yaml.org,2002:"
MAX_FILE_BYTES = 4 * 1024 * 1024
# Nodes after the expansion of aliases, which can turn a small file into
# gigabytes.
MAX_NODES = 200_000
MAX_DEPTH = 32


class YamlDocument:
    """A plain document and the locations of its keys.

    Attributes:
        value: Plain dict, list or scalar.
        source_map: SourceMap of the file.
    """

    __slots__ = ("value", "source_map")

    def __init__(self, value, source_map):
        self.value = value
        self.source_map = source_map


def load_file(path) -> Result:
    """Reads a YAML file; returns a YamlDocument or Findings."""
    try:
        with pathlib.Path(path).open("rb") as source:
            data = source.read(MAX_FILE_BYTES + 1)
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        return _finding_error(str(path), f"cannot be read: {reason}")
    return load_bytes(data, str(path))


def load_bytes(data, name) -> Result:
    """Parses YAML; returns a YamlDocument or Findings."""
    if len(data) > MAX_FILE_BYTES:
        return _finding_error(name, f"is larger than {MAX_FILE_BYTES} bytes")
    try:
        text = data.decode()
    except UnicodeDecodeError as error:
        return _finding_error(name, f"is not UTF-8 at byte {error.start}")
    try:
        if _is_too_deep(text):
            return _finding_error(
                name, f"is nested deeper than {MAX_DEPTH} levels"
            )
        tree = YAML(typ="rt").compose(io.StringIO(text))
    except MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        line = mark.line + 1 if mark else 1
        return _finding_error(
            f"{name}:{line}", f"is not valid YAML: {error.problem}"
        )
    except YAMLError as error:
        first_line = (str(error).splitlines() or ["unknown fault"])[0]
        return _finding_error(name, f"is not valid YAML: {first_line}")
    except Exception as error:
        # On malformed input the parser also raises built-in errors, such as
        # ValueError.
        return _finding_error(
            name, f"is not valid YAML: {type(error).__name__}"
        )
    return _Converter(name).convert(tree)


def _finding_error(location, text):
    findings = Findings()
    findings.add(location, text)
    return Error(findings)


def _is_too_deep(text):
    """Returns whether the nesting exceeds ``MAX_DEPTH``.

    The parser's events are read without recursion; composing the document
    recurses once for each level.
    """
    depth = 0
    for event in YAML(typ="rt").parse(io.StringIO(text)):
        if isinstance(event, CollectionStartEvent):
            depth += 1
        elif isinstance(event, CollectionEndEvent):
            depth -= 1
        if depth > MAX_DEPTH:
            return True
    return False


class _Converter:
    """Converts the parser's nodes into plain data and records their lines.

    Attributes:
        source_map: SourceMap of the file; the lines are added to it.
        findings: Faults found so far.
        visited_nodes: Number of nodes visited, aliases included.
        ancestor_ids: Ids of the nodes that contain the current one.
    """

    __slots__ = ("source_map", "findings", "visited_nodes", "ancestor_ids")

    def __init__(self, name):
        self.source_map = SourceMap(name, {(): 1})
        self.findings = Findings()
        self.visited_nodes = 0
        self.ancestor_ids = set()

    def convert(self, tree):
        """Returns the YamlDocument of a node tree, or Findings."""
        value = None if tree is None else self.to_plain(tree, ())
        return self.findings.result(YamlDocument(value, self.source_map))

    def to_plain(self, node, path):
        """Returns a node as plain data; None if it is refused."""
        self.visited_nodes += 1
        if self.visited_nodes > MAX_NODES:
            if self.visited_nodes == MAX_NODES + 1:
                self.report(path, "the document is too large")
            return None
        if isinstance(node, ScalarNode):
            return self.scalar(node, path)
        if id(node) in self.ancestor_ids:
            self.report(path, "the alias refers to a node that contains it")
            return None
        self.ancestor_ids.add(id(node))
        convert_collection = (
            self.mapping if isinstance(node, MappingNode) else self.sequence
        )
        value = convert_collection(node, path)
        self.ancestor_ids.discard(id(node))
        return value

    def mapping(self, node, path):
        """Returns a mapping as a dict; reports repeated and non-text keys."""
        result = {}
        if not self.has_tag(node, path, "map"):
            return result
        for key, value in node.value:
            name = str(key.value) if isinstance(key, ScalarNode) else "?"
            child_path = (*path, name)
            self.source_map.lines.setdefault(
                child_path, key.start_mark.line + 1
            )
            if key.tag != f"{TAG}str":
                self.report(
                    child_path, "the key is not a text; put it in quotes"
                )
            elif name in result:
                line = key.start_mark.line + 1
                self.report(child_path, f"the key is repeated at line {line}")
            else:
                result[name] = self.to_plain(value, child_path)
        return result

    def sequence(self, node, path):
        """Returns a sequence as a list."""
        result = []
        if not self.has_tag(node, path, "seq"):
            return result
        for index, value in enumerate(node.value):
            child_path = (*path, index)
            self.source_map.lines.setdefault(
                child_path, value.start_mark.line + 1
            )
            result.append(self.to_plain(value, child_path))
        return result

    def scalar(self, node, path):
        """Returns a scalar as a text, number, boolean or None."""
        reader = SCALAR_READERS.entries.get(str(node.tag).removeprefix(TAG))
        if reader is None:
            self.report(
                path, f"has the unsupported type {node.tag}; put it in quotes"
            )
            return None
        try:
            return reader(node.value)
        except ValueError:
            self.report(path, f"{node.value[:60]!r} does not fit its type")
            return None

    def has_tag(self, node, path, name):
        """Returns whether a node has the standard tag; reports other tags."""
        if node.tag == f"{TAG}{name}":
            return True
        self.report(path, f"has the unsupported type {node.tag}")
        return False

    def report(self, path, text):
        """Adds a finding at a key path."""
        self.findings.add(self.source_map.at(path), text)


@SCALAR_READERS.register("null")
def read_null(text):
    """Returns None for a null value."""


@SCALAR_READERS.register("str")
def read_str(text):
    """Returns the text unchanged."""
    return str(text)


@SCALAR_READERS.register("bool")
def read_bool(text):
    """Returns a boolean.

    Raises:
        ValueError: If the text is neither true nor false.
    """
    if text.lower() not in ("true", "false"):
        raise ValueError(text)
    return text.lower() == "true"


@SCALAR_READERS.register("int")
def read_int(text):
    """Returns an integer, also with the prefixes 0o and 0x.

    Raises:
        ValueError: If the text is not an integer.
    """
    digits = text.replace("_", "")
    if "0o" in digits or "0x" in digits:
        return int(digits, 0)
    return int(digits)


@SCALAR_READERS.register("float")
def read_float(text):
    """Returns a float, also for ``.inf`` and ``.nan``.

    Raises:
        ValueError: If the text is not a number.
    """
    return float(
        text.replace("_", "")
        .lower()
        .replace(".inf", "inf")
        .replace(".nan", "nan")
    )


def dump(value) -> str:
    """Returns plain data as YAML text."""
    target = io.StringIO()
    writer = YAML()
    writer.default_flow_style = False
    writer.dump(value, target)
    return target.getvalue()

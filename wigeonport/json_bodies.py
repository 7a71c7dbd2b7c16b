"""Decoding of JSON bodies that other programs wrote.

A value that cannot be represented costs only itself: it is decoded as
``UNREADABLE``, which has none of the types of JSON, so that the check of its
field's type refuses it. The other values of the body are decoded as usual. If
an object names a field twice, the last value counts.

A body of a client is checked for its number of values before it is decoded.
"""

import json
import re

from expression import Error, Ok, Result

# Levels of nesting that are decoded in a body with an unreadable value; the
# platform's bodies have up to five.
MAX_DEPTH = 32
# Larger bodies with an unreadable value are refused: the search takes up to
# 0.6 s for a MiB of brackets, during which the process does nothing else.
MAX_SEARCHED_BYTES = 1024 * 1024
# Digits of a whole number, in a body with an unreadable value; 64 bits need
# at most 20. The interpreter refuses to convert over 4,300.
MAX_DIGITS = 20
MAX_COUNT = 2**53 - 1
# Values of a client's body. An object takes about 240 bytes once it is decoded
# and a body as few as seven, so that 8 MiB of them would take 290 MB. A
# configuration of 20,000 queues stays below this.
MAX_VALUES = 262_144
# Each element of a list and each member of an object follows one of these.
SEPARATORS = ",[{"
# Separators, and strings, whose separators do not count.
PARTS = re.compile(r'"[^"\\]*+(?:\\.?[^"\\]*+)*+"?|[,\[{]', re.DOTALL)
# Parts that are searched; a body with fewer values has at most two strings for
# each of them.
MAX_PARTS = 3 * MAX_VALUES
# Runs of brackets, and strings, whose brackets do not count. A string without
# an end extends to the end of the text, so that the search stays linear.
TOKENS = re.compile(
    r'"[^"\\]*+(?:\\.?[^"\\]*+)*+"?|[\[{]++|[\]}]++', re.DOTALL
)


class Unreadable:
    """Stands for a value that cannot be represented."""

    __slots__ = ()

    def __repr__(self):
        return "UNREADABLE"


UNREADABLE = Unreadable()


def has_too_many_values(body):
    """Returns whether a body has over ``MAX_VALUES`` JSON values.

    Args:
        body: The body as bytes.
    """
    if len(body) <= MAX_VALUES:
        return False
    marks = sum(body.count(mark.encode()) for mark in SEPARATORS)
    if marks <= MAX_VALUES:
        return False
    text = body.decode(json.detect_encoding(body), "replace")
    values = 0
    for number, match in enumerate(PARTS.finditer(text)):
        values += text[match.start()] != '"'
        if values > MAX_VALUES or number > MAX_PARTS:
            return True
    return False


def decode_json(body) -> Result:
    """Decodes a JSON body.

    Args:
        body: The body as bytes.

    Returns:
        A Result of the document, or of an error text if the body as a whole
        is not JSON.
    """
    try:
        return Ok(json.loads(body, parse_constant=read_constant))
    except (ValueError, RecursionError, MemoryError):
        return decode_readable_values(body)


def decode_readable_values(body) -> Result:
    """Decodes a body of which the interpreter cannot represent every value.

    Returns:
        See ``decode_json``.
    """
    if len(body) > MAX_SEARCHED_BYTES:
        return Error(
            f"a value is unreadable, and the body is over "
            f"{MAX_SEARCHED_BYTES} bytes long"
        )
    text = prune_deep_values(body.decode("utf-8", "surrogateescape"))
    try:
        return Ok(
            json.loads(
                text, parse_constant=read_constant, parse_int=read_integer
            )
        )
    except (ValueError, RecursionError, MemoryError) as error:
        return Error(f"{type(error).__name__}: {error}")


def read_constant(name):
    """Returns UNREADABLE for ``NaN``, ``Infinity`` and ``-Infinity``."""
    return UNREADABLE


def read_integer(text):
    """Returns the value of a whole number, or UNREADABLE if it is too long."""
    return int(text) if len(text) <= MAX_DIGITS else UNREADABLE


def prune_deep_values(text):
    """Returns JSON text with ``NaN`` for each value that is nested too deeply.

    Text with a deep value that has no end is returned as it is.
    """
    parts, kept_from, depth = [], 0, 0
    for match in TOKENS.finditer(text):
        first, size = text[match.start()], match.end() - match.start()
        if first == '"':
            continue
        if first in "[{":
            if depth <= MAX_DEPTH < depth + size:
                cut = match.start() + MAX_DEPTH - depth
                parts += [text[kept_from:cut], "NaN"]
            depth += size
            continue
        if depth - size <= MAX_DEPTH < depth:
            kept_from = match.start() + depth - MAX_DEPTH
        depth -= size
    if depth > MAX_DEPTH:
        return text
    return "".join([*parts, text[kept_from:]])


def is_text(value, max_bytes):
    """Returns whether a value is text of at most ``max_bytes`` in UTF-8.

    JSON may contain half of a surrogate pair, which has no encoding: neither
    the log nor a link could carry the text.
    """
    if not isinstance(value, str) or len(value) > max_bytes:
        return False
    if value.isascii():
        return True
    try:
        return len(value.encode()) <= max_bytes
    except UnicodeEncodeError:
        return False


def is_count(value):
    """Returns whether a value is a whole number from 0 to 2**53 - 1."""
    return type(value) is int and 0 <= value <= MAX_COUNT

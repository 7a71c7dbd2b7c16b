"""Layouts of the thrift structs that the package's ``.thrift`` files define.

The parser of thriftpy2 takes about 100 ms for these files, because it builds
its tables anew in each process. ``struct_layouts.json`` holds its result. The
file names the digest of the text that it was made from, and the layouts are
parsed again if the text has changed since. ``tools/write_struct_layouts.py``
writes it.

A layout maps the number of each field to a tuple of its type, its name, what
it nests (only for structs, lists and sets) and whether it is required, as in
the ``thrift_spec`` of thriftpy2, but with the name of a nested struct in the
place of its class.
"""

import functools
import hashlib
import io
import json
import pathlib

PACKAGE_DIR = pathlib.Path(__file__).parent
LAYOUT_FILE = PACKAGE_DIR / "struct_layouts.json"


@functools.cache
def load_layouts():
    """Returns a dict from struct name to layout, for all ``.thrift`` files.

    Raises:
        TypeError: If two structs have the same name.
    """
    text = read_definitions()
    document = read_layout_file()
    if document.get("digest") != digest_of(text):
        return parse_layouts(text)
    return {
        name: {field[0]: freeze(field[1:]) for field in fields}
        for name, fields in document["structs"].items()
    }


def read_definitions():
    """Returns the text of all ``.thrift`` files.

    They are parsed as one text, because each call of the parser builds its
    tables again.
    """
    paths = sorted(PACKAGE_DIR.glob("*.thrift"))
    return "\n".join(path.read_text("utf-8") for path in paths)


def read_layout_file():
    """Returns the document with the layouts, or {} if it is unusable."""
    try:
        return json.loads(LAYOUT_FILE.read_bytes())
    except (OSError, ValueError):
        return {}


def digest_of(text):
    """Returns the digest that the document names for a text."""
    return hashlib.sha256(text.encode()).hexdigest()


def freeze(value):
    """Returns lists within a value as tuples."""
    if isinstance(value, list):
        return tuple(freeze(item) for item in value)
    return value


def parse_layouts(text):
    """Returns the layouts of the structs that a text defines.

    Raises:
        TypeError: If two structs have the same name.
    """
    import thriftpy2  # Only needed if the layouts have to be parsed.

    module = thriftpy2.load_fp(io.StringIO(text), "wigeonport_thrift")
    layouts = {}
    for struct in module.__thrift_meta__["structs"]:
        if struct.__name__ in layouts:
            raise TypeError(f"struct {struct.__name__} is defined twice")
        layouts[struct.__name__] = {
            number: name_structs(field)
            for number, field in struct.thrift_spec.items()
        }
    return layouts


def name_structs(value):
    """Returns a part of a layout with names for the classes of structs."""
    if isinstance(value, tuple):
        return tuple(name_structs(item) for item in value)
    return value.__name__ if isinstance(value, type) else value


def make_document():
    """Returns the text of the file with the layouts, one struct a line."""
    text = read_definitions()
    structs = [
        json.dumps(name)
        + ": "
        + json.dumps([[number, *field] for number, field in layout.items()])
        for name, layout in parse_layouts(text).items()
    ]
    head = json.dumps(digest_of(text))
    body = ",\n".join(structs)
    return f'{{"digest": {head}, "structs": {{\n{body}\n}}}}\n'

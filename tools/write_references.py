"""Writes docs/settings.md from the tables of settings.

Usage: write_references.py

A test compares the committed page with the output of this script.
"""

import pathlib

from wigeonport.documents import REQUIRED
from wigeonport.setting_tables import PEER_FIELDS, SETTING_GROUPS

PAGE = pathlib.Path(__file__).resolve().parent.parent / "docs/settings.md"
INTRODUCTION = """\
# Settings

The programs `wigeonport-entry` and `wigeonport-control` of a VM read the
same YAML file. Every key is at the top level. An unknown key, a value of
the wrong kind and settings that cannot work together are findings with file,
line and key path; all of them are reported at once, and a program with
findings does not start. `wigeonport settings check FILE...` checks files
before they are rolled out, and checks the files of one cluster against each
other: voters, node ids and the addresses of peers.

Names of keys end in their unit: `_ms` is milliseconds, `_bytes` is bytes.
Paths are relative to the working directory of the program. Examples of both
users are in `examples/`; `tools/write_examples.py` writes them.

This page is written by `tools/write_references.py` from the table in
`wigeonport/setting_tables.py`.
"""
CHECKS = """\
## Checks

- The ports of a VM differ, and no address occurs twice among the peers.
- The file names 1, 3 or 5 voters, each this VM or a peer; a voter has a
  `data_dir`.
- There is at least one key file, and the key ids differ.
- `queue_discipline` and `share_policy` name registered policies.
- `election_timeout_ms` is at least twice `replication_heartbeat_ms`.

## Keys of the links

A key file holds one secret of at least 16 bytes. The first file of
`key_files` signs, all are accepted. To rotate: add the new file as the last
one on every VM, then move it to the front on every VM, then remove the old
one. Each step restarts the programs one after another.

## Tokens of operators

Each line of `operator_token_file` is the name of an operator and a token of
at least 16 bytes, separated by a space; lines that start with `#` are
ignored. The name is the author in the history.
"""


def render_value(field):
    """Returns the default of a setting as Markdown."""
    if field.default is REQUIRED:
        return "required"
    if field.default is None:
        return "none"
    if field.default == ():
        return "empty"
    return f"`{field.default}`"


def render_kind(field):
    """Returns the kind of a setting and, if limited, its range."""
    kind = field.kind
    if field.least is not None or field.most is not None:
        kind += f", {field.least} to {field.most}"
    return kind


def render_table(fields):
    """Returns a Markdown table of settings."""
    lines = ["| key | kind | default | meaning |", "| --- | --- | --- | --- |"]
    lines += [
        f"| `{field.name}` | {render_kind(field)} | {render_value(field)} "
        f"| {field.text} |"
        for field in fields
    ]
    return "\n".join(lines) + "\n"


def make_page():
    """Returns the text of docs/settings.md."""
    parts = [INTRODUCTION]
    for title, fields in SETTING_GROUPS:
        parts.append(f"## {title}\n\n{render_table(fields)}")
    parts.append(f"## Keys of a peer\n\n{render_table(PEER_FIELDS)}")
    parts.append(CHECKS)
    return "\n".join(parts)


if __name__ == "__main__":
    PAGE.write_text(make_page())

"""Tests that compare the reference pages with the code."""

import importlib.util
import pathlib
import re

import pytest

from wigeonport.cli_main import load_commands
from wigeonport.commands import commands
from wigeonport.commands.options import SERVER_OPTIONS
from wigeonport.documents import REQUIRED
from wigeonport.patch_operations import OPERATIONS
from wigeonport.patches import patch_from_document
from wigeonport.setting_tables import SETTING_FIELDS
from wigeonport.yaml_documents import load_bytes

ROOT = pathlib.Path(__file__).resolve().parent.parent


@pytest.fixture(scope="module")
def command_page():
    """Text of the page that describes the command line."""
    return (ROOT / "docs" / "command_line.md").read_text()


def test_settings_page_equals_its_table():
    """The page must list every setting as the code defines it."""
    path = ROOT / "tools" / "write_references.py"
    spec = importlib.util.spec_from_file_location("write_references", path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    page = (ROOT / "docs" / "settings.md").read_text()
    assert page == module.make_page()


def test_every_setting_is_used():
    """A setting that no module reads would have no effect."""
    sources = "".join(
        path.read_text()
        for path in (ROOT / "wigeonport").glob("*.py")
        if path.name not in ("settings.py", "setting_tables.py")
    )
    for field in SETTING_FIELDS:
        assert re.search(rf"settings(\.ok)?\.{field.name}\b", sources), (
            field.name
        )


def test_every_command_and_option_is_described(command_page):
    """The page must describe every command and each of its options."""
    load_commands()
    titles = set(re.findall(r"^## `wigeonport ([a-z ]+)", command_page, re.M))
    described = {title.strip() for title in titles}
    own = set(commands.entries)
    assert own == described
    shared = {option.name for option in SERVER_OPTIONS}
    for name in own:
        section = command_page.split(f"## `wigeonport {name}")[1]
        section = section.split("\n## ")[0]
        for option in commands.entries[name].options:
            if option.name not in shared:
                assert f"`--{option.name}" in section, (name, option.name)
    for name in shared:
        assert f"`--{name}" in command_page


def test_every_operation_and_key_is_described(command_page):
    """The page must list every patch operation with keys and defaults."""
    rows = {}
    for line in command_page.splitlines():
        cells = line.split("|")
        if len(cells) == 4:
            for name in re.findall(r"`(\w+)`", cells[1]):
                rows[name] = cells[2]
    for name, operation in OPERATIONS.entries.items():
        for field in operation.FIELDS:
            assert f"`{field.name}`" in rows[name], (name, field.name)
            if field.default in (REQUIRED, None):
                continue
            default = (
                f"{field.default:g}"
                if field.kind == "number"
                else (str(field.default).lower())
            )
            assert f"`{field.name}` ({default})" in rows[name]


def test_example_patch_of_the_page_is_valid(command_page):
    """The example patch on the page must be accepted."""
    text = command_page.split("```yaml\n")[1].split("```")[0]
    document = load_bytes(text.encode(), "page").ok.value
    document |= {"id": "p-1", "against_version": 1, "author": "ada"}
    assert patch_from_document(document).is_ok()

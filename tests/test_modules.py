"""Tests that compare the map of the modules with the package."""

import pathlib
import re

ROOT = pathlib.Path(__file__).resolve().parent.parent


def test_every_module_is_on_the_map():
    """Guards against modules that a newcomer cannot place."""
    page = (ROOT / "docs" / "modules.md").read_text()
    table = page.split("## Where to look")[0].split("| --- | --- |")[1]
    named = re.findall(r"`([a-z_]+)`", table)
    package = {path.stem for path in (ROOT / "wigeonport").glob("*.py")}
    assert sorted(named) == sorted(package - {"__init__"})


def test_symptoms_name_modules_that_exist():
    """Guards against a symptom that points to a module that has gone."""
    page = (ROOT / "docs" / "modules.md").read_text()
    rows = re.findall(
        r"\| ([^|]+) \|$", page.split("## Where to look")[1], re.M
    )
    for row in rows:
        for name in re.findall(r"`([a-z_]+)`", row):
            assert (ROOT / "wigeonport" / f"{name}.py").exists(), name

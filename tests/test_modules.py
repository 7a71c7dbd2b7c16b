"""Tests of the map of the modules and of what a program imports."""

import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent


def test_every_module_is_on_the_map():
    """The page must list every module, and no module that is gone."""
    page = (ROOT / "docs" / "modules.md").read_text()
    table = page.split("## Where to look")[0].split("| --- | --- |")[1]
    named = re.findall(r"`([a-z_]+)`", table)
    package = {path.stem for path in (ROOT / "wigeonport").glob("*.py")}
    assert sorted(named) == sorted(package - {"__init__"})


def test_symptoms_name_modules_that_exist():
    """The table of symptoms must only refer to modules that exist."""
    page = (ROOT / "docs" / "modules.md").read_text()
    rows = re.findall(
        r"\| ([^|]+) \|$", page.split("## Where to look")[1], re.M
    )
    for row in rows:
        for name in re.findall(r"`([a-z_]+)`", row):
            assert (ROOT / "wigeonport" / f"{name}.py").exists(), name


def test_front_imports_no_decisions():
    """A front must not import what it never uses, which delays its start.

    The consensus, the dispatcher and the YAML library took a fifth of the
    processor time of a start.
    """
    unused = ("wigeonport.consensus", "wigeonport.batch_dispatchers", "ruamel")
    script = (
        "import sys; sys.path[:0] = ['platform', '.']; import front; "
        f"print([name for name in {unused} if name in sys.modules])"
    )
    listed = subprocess.run(
        [sys.executable, "-c", script],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    assert listed.stdout.strip() == "[]"

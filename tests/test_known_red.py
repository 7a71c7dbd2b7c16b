"""Tests of the script that accepts exactly the listed failures."""

import importlib.util
import pathlib
import sys

import pytest

TOOL = pathlib.Path(__file__).resolve().parent.parent / "tools/known_red.py"
PASSING = "def test_one():\n    assert True\n"
FAILING = "def test_one():\n    assert False\n"


@pytest.fixture
def run(tmp_path, monkeypatch):
    """Returns a function that runs the script on a test and a list."""
    spec = importlib.util.spec_from_file_location("known_red", TOOL)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)

    def check(source, listed):
        (tmp_path / "test_sample.py").write_text(source)
        known = tmp_path / "KNOWN-RED.txt"
        known.write_text("# list\n" + listed)
        monkeypatch.setattr(module, "LIST", known)
        monkeypatch.chdir(tmp_path)
        command = [sys.executable, "-m", "pytest", "-q", "test_sample.py"]
        return module.main(["--", *command])

    return check


ENTRY = "test_sample.py::test_one | pytest, no seed | always fails | 1\n"


def test_listed_failure_is_accepted_and_printed(run, capfd):
    """Guards against a known fault that blocks every landing."""
    assert run(FAILING, ENTRY) == 0
    assert "known failure: test_sample.py::test_one" in capfd.readouterr().out


def test_unlisted_failure_is_not_accepted(run):
    """Guards against a list that hides other faults."""
    assert run(FAILING, "") != 0
    other = "test_sample.py::test_two | pytest | fails | 1\n"
    assert run(FAILING, other) != 0


def test_listed_test_that_passes_is_reported(run):
    """Guards against a list that is never cleaned up."""
    assert run(PASSING, ENTRY) == 1
    assert run(PASSING, "") == 0


def test_collection_error_is_not_accepted(run):
    """Guards against a broken test module that counts as known."""
    assert run("import missing_module\n", ENTRY) != 0

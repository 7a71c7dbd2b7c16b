"""Tests of known_red.py, which accepts exactly the listed failures."""

import importlib.util
import pathlib
import sys

import pytest

TOOL = pathlib.Path(__file__).resolve().parent.parent / "tools/known_red.py"
PASSING = "def test_one():\n    assert True\n"
FAILING = "def test_one():\n    assert False\n"


@pytest.fixture
def run(tmp_path, monkeypatch):
    """Returns a function that runs the script and returns its exit status.

    The function takes the source of a test module and the entries of the list.
    """
    spec = importlib.util.spec_from_file_location("known_red", TOOL)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)

    def run_script(source, entries):
        (tmp_path / "test_sample.py").write_text(source)
        list_path = tmp_path / "KNOWN-RED.txt"
        list_path.write_text("# list\n" + entries)
        monkeypatch.setattr(module, "LIST_PATH", list_path)
        monkeypatch.chdir(tmp_path)
        command = [sys.executable, "-m", "pytest", "-q", "test_sample.py"]
        return module.main(["--", *command])

    return run_script


ENTRY = "test_sample.py::test_one | pytest, no seed | always fails | 1\n"


def test_listed_failure_is_accepted_and_printed(run, capfd):
    """A listed failure must not fail the run, but must stay visible.

    Otherwise one known fault would keep every change from passing CI.
    """
    assert run(FAILING, ENTRY) == 0
    assert "known failure: test_sample.py::test_one" in capfd.readouterr().out


def test_unlisted_failure_is_not_accepted(run):
    """A failure that is not listed must fail the run.

    The list must not hide a new failure, neither when it is empty nor when it
    names another test.
    """
    assert run(FAILING, "") != 0
    other = "test_sample.py::test_two | pytest | fails | 1\n"
    assert run(FAILING, other) != 0


def test_listed_test_that_passes_is_reported(run):
    """A listed test that passes must fail the run.

    Otherwise an entry would stay after its fault is mended and would accept
    the next failure of that test.
    """
    assert run(PASSING, ENTRY) == 1
    assert run(PASSING, "") == 0


def test_collection_error_is_not_accepted(run):
    """A test module that cannot be imported must fail the run.

    Its tests do not run, so a listed failure in it is not confirmed.
    """
    assert run("import missing_module\n", ENTRY) != 0

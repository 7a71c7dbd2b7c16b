"""Tests of the committed examples."""

import importlib.util
import pathlib

import pytest

from wigeonport.fleets import Fleet
from wigeonport.patch_files import load_patch_file
from wigeonport.settings import check_files

ROOT = pathlib.Path(__file__).resolve().parent.parent
EXAMPLES = ROOT / "examples"
USERS = ("kroumirie", "lagos")


def settings_files(user):
    """Returns the paths of a user's settings files."""
    files = sorted((EXAMPLES / user).glob("*.yaml"))
    return [path for path in files if path.name != "fleet.yaml"]


@pytest.fixture(params=USERS)
def user(request):
    """Name of each user with examples, in turn."""
    return request.param


@pytest.fixture
def example_fleet(user):
    """The fleet that the first patch of a user creates."""
    path = EXAMPLES / user / "fleet.yaml"
    patch = load_patch_file(path, "first", 0, "ada").ok
    return patch.apply(Fleet()).ok


def test_settings_pass_alone_and_together(user):
    """Fails if the programs would not start with the example settings.

    That happens with too few voters, a voter without a data directory or a
    port that is used twice.
    """
    settings_by_name = check_files(settings_files(user)).ok
    zones, voters, ports = {}, {}, []
    for settings in settings_by_name.values():
        zone = settings.availability_zone
        zones[zone] = zones.get(zone, 0) + 1
        voters[zone] = voters.get(zone, 0) + settings.is_voter()
        assert (settings.data_dir is not None) == settings.is_voter()
        ports += [
            getattr(settings, name)
            for name in settings.__slots__
            if name.endswith("_port")
        ]
    assert sorted(zones.values()) == [2, 2, 3]
    assert sorted(voters.values()) == [1, 2, 2]
    assert len(set(ports)) == len(ports)


def test_first_patch_has_the_current_scale(example_fleet):
    """Fails if an example fleet differs in size from the design page."""
    assert example_fleet.version == 1
    assert len(example_fleet.zones) == 3
    assert len(example_fleet.services) == 5
    for pool in example_fleet.pools:
        assert len(example_fleet.workers_of(pool)) == 6
    racks = {}
    for worker in example_fleet.workers.values():
        racks[worker.rack] = racks.get(worker.rack, 0) + 1
    assert max(racks.values()) == 4
    for service in example_fleet.services.values():
        assert service.slots_per_endpoint == 8
        assert service.connections_per_endpoint == 64


def test_no_rack_takes_more_of_a_pool_than_its_budget(example_fleet):
    """Fails if the loss of one rack exceeds a service's budget (R1)."""
    for service in example_fleet.services.values():
        racks = {}
        for worker in example_fleet.workers_of(service.pool):
            racks[worker.rack] = racks.get(worker.rack, 0) + 1
        assert max(racks.values()) <= service.allowed_unavailable(6)


def test_committed_files_equal_the_script():
    """Fails if an example was edited by hand and not in the script.

    The ports in the files of one deployment would no longer agree.
    """
    path = ROOT / "tools" / "write_examples.py"
    spec = importlib.util.spec_from_file_location("write_examples", path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    committed = {
        str(path.relative_to(EXAMPLES)): path.read_text()
        for user in USERS
        for path in (EXAMPLES / user).glob("*.yaml")
    }
    assert module.list_files() == committed


def test_patch_file_reports_all_findings_with_lines(tmp_path):
    """Fails if the faults of a patch file are reported one at a time."""
    path = tmp_path / "p.yaml"
    path.write_text(
        "id: p-1\noperations:\n- operation: move_worker\n  worker: 3\n"
    )
    lines = load_patch_file(path, "p-1", 0, "ada").error.lines()
    assert any(line.startswith(f"{path}:1: id: unknown") for line in lines)
    assert any("the key 'reason' is missing" in line for line in lines)
    assert any(
        line.startswith(f"{path}:4: operations[0].worker: expected")
        for line in lines
    )
    assert len(lines) == len(set(lines)) == 4


def test_malformed_patch_file_is_refused(tmp_path):
    """Fails if a file that is no patch raises an exception."""
    for text in ("", "- 1\n", "x\n", "operations: 3\nreason: []\n"):
        path = tmp_path / "p.yaml"
        path.write_text(text)
        assert load_patch_file(path, "p-1", 0, "ada").error.lines()

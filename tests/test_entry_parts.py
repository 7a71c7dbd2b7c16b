"""Tests of the parts of the entry program."""

import pathlib

import pytest

from wigeonport.entry_parts import choose_controls
from wigeonport.settings import load_settings

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples"
SETTINGS_FILES = sorted(EXAMPLES.glob("*/*-[0-9].yaml"))


@pytest.mark.parametrize("path", SETTINGS_FILES, ids=lambda path: path.stem)
def test_controls_of_two_zones_are_used(path):
    """An entry must have links to controls in two zones.

    With links to its zone only, it loses all of them when the zone fails.
    """
    settings = load_settings(path).ok
    vms_by_link = choose_controls(settings)
    first_choices = [vms[0] for vms in vms_by_link]
    assert first_choices[0].node_id == settings.node_id
    zones = [vm.availability_zone for vm in first_choices]
    assert zones[:2] == [settings.availability_zone] * 2
    assert zones[2] != settings.availability_zone
    assert len({vm.node_id for vm in first_choices}) == 3
    for vms in vms_by_link[1:]:
        assert len({vm.node_id for vm in vms}) == 6


def test_no_control_serves_all_entries():
    """The links must spread over the controls.

    If all entries chose the same control, it would carry all their traffic.
    """
    entries_by_control = {}
    for path in EXAMPLES.glob("lagos/*-[0-9].yaml"):
        for vm, *_ in choose_controls(load_settings(path).ok):
            entries_by_control[vm.node_id] = (
                entries_by_control.get(vm.node_id, 0) + 1
            )
    assert max(entries_by_control.values()) <= 4

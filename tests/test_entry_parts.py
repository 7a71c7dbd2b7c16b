"""Tests of the parts of the entry program."""

import pathlib

import pytest

from wigeonport.entry_parts import choose_controls
from wigeonport.settings import load_settings

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples"
FILES = sorted(EXAMPLES.glob("*/*-[0-9].yaml"))


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_controls_of_two_zones_are_used(path):
    """Guards against an entry cut off by the loss of its zone's controls."""
    settings = load_settings(path).ok
    chosen = choose_controls(settings)
    firsts = [vms[0] for vms in chosen]
    assert firsts[0].node_id == settings.node_id
    zones = [vm.availability_zone for vm in firsts]
    assert zones[:2] == [settings.availability_zone] * 2
    assert zones[2] != settings.availability_zone
    assert len({vm.node_id for vm in firsts}) == 3
    for vms in chosen[1:]:
        assert len({vm.node_id for vm in vms}) == 6


def test_no_control_serves_all_entries():
    """Guards against one control that carries every entry's traffic."""
    users = {}
    for path in EXAMPLES.glob("lagos/*-[0-9].yaml"):
        for vm, *_ in choose_controls(load_settings(path).ok):
            users[vm.node_id] = users.get(vm.node_id, 0) + 1
    assert max(users.values()) <= 4

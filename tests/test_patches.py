"""Tests of patches, differences and previews."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonport.fleet_changes import apply_changes, diff, merge_changes
from wigeonport.patch_operations import OPERATIONS
from wigeonport.patches import patch_from_document
from wigeonport.previews import preview
from wigeonport.yaml_documents import load_bytes

PATCH_YAML = b"""\
id: p-1
against_version: 1
author: ada
reason: the roster pool needs a worker
operations:
  - operation: move_worker
    worker: vm-5
    pool: roster
  - operation: remove_pool
    id: roster
  - {operation: move_worker, worker: vm-99, pool: roster}
"""


@pytest.fixture
def make_patch():
    """Returns a function that builds a patch from operation documents."""

    def make(*operations, **fields):
        document = {
            "id": "p-1",
            "against_version": 1,
            "author": "ada",
            "reason": "test",
            "operations": list(operations),
        }
        return patch_from_document(document | fields).ok

    return make


def move(worker, pool):
    """Returns the document of an operation ``move_worker``."""
    return {"operation": "move_worker", "worker": worker, "pool": pool}


def test_patch_gives_the_next_version(fleet, make_patch):
    """Fails if a patch changes the version to which it is applied."""
    before = fleet.to_document()
    new = make_patch(move("vm-5", "roster")).apply(fleet).ok
    assert (new.version, new.workers["vm-5"].pool) == (2, "roster")
    assert fleet.to_document() == before


def test_all_findings_of_a_patch_have_places_in_its_file(fleet):
    """Fails if a finding does not name the line of the faulty operation.

    A fault of the resulting fleet counts for the operation that caused it.
    """
    loaded = load_bytes(PATCH_YAML, "p.yaml").ok
    patch = patch_from_document(loaded.value, loaded.source_map).ok
    lines = patch.apply(fleet).error.lines()
    assert any(
        line.startswith("p.yaml:11: operations[2].worker: worker 'vm-99'")
        for line in lines
    )
    # Line 9 removes the pool of vm-1, which leaves the worker without one.
    assert any(
        line.startswith("p.yaml:9: operations[1]: workers.vm-1.pool: ")
        for line in lines
    )


def test_findings_without_a_file_name_the_operation(fleet, make_patch):
    """Fails if the findings of a patch sent by HTTP name no operation."""
    lines = make_patch(move("vm-99", "x")).apply(fleet).error.lines()
    assert lines == [
        "operations[0].worker: worker 'vm-99' does not exist",
        "operations[0].pool: pool 'x' does not exist",
    ]


def test_unknown_operation_names_the_nearest():
    """Fails if a misspelt operation is silently ignored."""
    document = {"operations": [{"operation": "move_wroker"}]}
    text = str(patch_from_document(document).error)
    assert "did you mean 'move_worker'" in text
    assert "'against_version' is missing" in text


def test_patch_round_trip_keeps_its_content(make_patch):
    """Fails if a patch changes when it is written and read again.

    The log carries patches in this form; a resend must have the same digest.
    """
    patch = make_patch(
        move("vm-5", "roster"),
        {"operation": "set_weights", "buffer_cost": 4},
        {"operation": "remove_worker", "id": "vm-7"},
        {"operation": "add_zone", "id": "yaba", "region": "lagos"},
        {"operation": "set_spare_pool", "pool": None},
        {"operation": "restore", "version": 3},
    )
    document = json.loads(json.dumps(patch.to_document()))
    read_back = patch_from_document(document).ok
    assert read_back.to_document() == document
    assert read_back.digest() == patch.digest()


def test_patch_without_effect_is_refused(fleet, make_patch):
    """Fails if a patch that changes nothing makes a new version."""
    period = {"operation": "set_maintenance_period", "hours": 336}
    assert "changes nothing" in str(make_patch(period).apply(fleet).error)


def test_removing_too_many_workers_is_refused(fleet, make_patch):
    """Fails if a patch may leave a pool fewer workers than promised (R1)."""
    removals = [
        {"operation": "remove_worker", "id": f"vm-{n}"} for n in (1, 2)
    ]
    text = str(make_patch(*removals).apply(fleet).error)
    assert "pool 'roster' has 2 workers" in text


def test_changes_can_be_applied_and_reversed(fleet, make_patch):
    """Fails if the changes between two versions cannot be reversed."""
    patch = make_patch(
        move("vm-5", "roster"),
        {"operation": "set_weights", "moves": 2},
        {"operation": "remove_worker", "id": "vm-8"},
        {"operation": "add_team", "id": "t", "processors": 1, "memory_mb": 1},
    )
    new = patch.apply(fleet).ok
    changes = diff(fleet, new)
    assert [f"{c.section}.{c.id}" for c in changes] == [
        "fleet.weights",
        "workers.vm-5",
        "workers.vm-8",
        "teams.t",
    ]
    applied = apply_changes(fleet, changes, 2)
    assert applied.to_document() == new.to_document()
    back = [change.reversed() for change in changes]
    assert apply_changes(new, back, 1).to_document() == fleet.to_document()


def test_changes_that_cancel_out_are_dropped(fleet, make_patch):
    """Fails if merged changes list a record that is as it was before.

    The answer to a stale patch lists the merged changes since its version.
    """
    moved = make_patch(move("vm-5", "roster")).apply(fleet).ok
    back = make_patch(move("vm-5", "notices")).apply(moved).ok
    assert merge_changes(diff(fleet, moved) + diff(moved, back)) == []


def test_restore_is_a_new_version(fleet, make_patch):
    """Fails if restoring an old version lowers the version number (R8)."""
    second = make_patch(move("vm-5", "roster")).apply(fleet).ok
    patch = make_patch({"operation": "restore", "version": 1})
    third = patch.apply(second, {1: fleet}.get).ok
    assert third.version == 3
    assert third.workers["vm-5"].pool == "notices"
    assert "not in the history" in str(patch.apply(second).error)


def test_preview_lists_moves_drains_and_budgets(fleet, make_patch):
    """Fails if a preview omits moves, drains or effects on budgets."""
    patch = make_patch(
        move("vm-5", "roster"),
        move("vm-6", "roster"),
        {"operation": "remove_worker", "id": "vm-7"},
        {
            "operation": "set_service_budget",
            "service": "roster",
            "max_unavailable": 2,
        },
    )
    result = preview(fleet, patch).ok
    assert [str(item) for item in result.moves] == [
        "vm-5: notices -> roster",
        "vm-6: notices -> roster",
        "vm-7: notices -> removed",
    ]
    assert result.drains == ["vm-5", "vm-6", "vm-7"]
    notices, roster = result.budgets
    assert (notices.workers_after, notices.rounds) == (1, 2)
    assert (roster.allowed_before, roster.allowed_after) == (1, 2)
    assert json.dumps(result.to_document())
    assert any("3 drains in 2 rounds" in line for line in result.lines())


@given(data=st.data())
@settings(max_examples=200, derandomize=True, deadline=None)
def test_any_operation_gives_a_patch_or_findings(data):
    """Fails if a malformed operation raises an exception."""
    name = data.draw(st.sampled_from(OPERATIONS.names()))
    keys = [field.name for field in OPERATIONS.entries[name].FIELDS]
    value = st.none() | st.integers() | st.text() | st.floats() | st.just([])
    fields = data.draw(
        st.dictionaries(st.sampled_from([*keys, "other"]), value)
    )
    document = {
        "id": "p-1",
        "against_version": 0,
        "author": "ada",
        "reason": "",
        "operations": [{**fields, "operation": name}],
    }
    result = patch_from_document(document)
    assert result.is_ok() or result.error.lines()

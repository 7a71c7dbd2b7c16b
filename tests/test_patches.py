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
    """Returns a function that reads a patch from its operations."""

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
    """Returns the document of a move."""
    return {"operation": "move_worker", "worker": worker, "pool": pool}


def test_patch_gives_the_next_version(fleet, make_patch):
    """Guards against a patch that changes the version it applies to."""
    before = fleet.to_document()
    new = make_patch(move("vm-5", "roster")).apply(fleet).ok
    assert (new.version, new.workers["vm-5"].pool) == (2, "roster")
    assert fleet.to_document() == before


def test_all_findings_of_a_patch_have_places_in_its_file(fleet):
    """Guards against a refusal that does not say which line is wrong."""
    loaded = load_bytes(PATCH_YAML, "p.yaml").ok
    patch = patch_from_document(loaded.value, loaded.places).ok
    lines = patch.apply(fleet).error.lines()
    assert any(
        line.startswith("p.yaml:11: operations[2].worker: worker 'vm-99'")
        for line in lines
    )
    # The worker that the removed pool leaves behind is the fault of line 9.
    assert any(
        line.startswith("p.yaml:9: operations[1]: workers.vm-1.pool: ")
        for line in lines
    )


def test_findings_without_a_file_name_the_operation(fleet, make_patch):
    """Guards against findings without a place over HTTP."""
    lines = make_patch(move("vm-99", "x")).apply(fleet).error.lines()
    assert lines == [
        "operations[0].worker: worker 'vm-99' does not exist",
        "operations[0].pool: pool 'x' does not exist",
    ]


def test_unknown_operation_names_the_nearest():
    """Guards against an operation that is silently ignored."""
    document = {"operations": [{"operation": "move_wroker"}]}
    text = str(patch_from_document(document).error)
    assert "did you mean 'move_worker'" in text
    assert "'against_version' is missing" in text


def test_patch_document_loses_nothing(make_patch):
    """Guards against a patch that changes on its way through the log."""
    patch = make_patch(
        move("vm-5", "roster"),
        {"operation": "set_weights", "buffer_cost": 4},
        {"operation": "remove_worker", "id": "vm-7"},
        {"operation": "add_zone", "id": "yaba", "region": "lagos"},
        {"operation": "set_spare_pool", "pool": None},
        {"operation": "restore", "version": 3},
    )
    document = json.loads(json.dumps(patch.to_document()))
    again = patch_from_document(document).ok
    assert again.to_document() == document
    assert again.digest() == patch.digest()


def test_patch_without_effect_is_refused(fleet, make_patch):
    """Guards against version numbers without a change."""
    period = {"operation": "set_maintenance_period", "hours": 336}
    assert "changes nothing" in str(make_patch(period).apply(fleet).error)


def test_removing_too_many_workers_is_refused(fleet, make_patch):
    """Guards against a patch that breaks a promise (R1)."""
    removals = [
        {"operation": "remove_worker", "id": f"vm-{n}"} for n in (1, 2)
    ]
    text = str(make_patch(*removals).apply(fleet).error)
    assert "pool 'roster' has 2 workers" in text


def test_changes_lead_forth_and_back(fleet, make_patch):
    """Guards against a history that cannot be reversed."""
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
    forth = apply_changes(fleet, changes, 2)
    assert forth.to_document() == new.to_document()
    back = [change.reversed() for change in changes]
    assert apply_changes(new, back, 1).to_document() == fleet.to_document()


def test_changes_that_cancel_out_are_dropped(fleet, make_patch):
    """Guards against a stale answer that lists what did not change."""
    there = make_patch(move("vm-5", "roster")).apply(fleet).ok
    back = make_patch(move("vm-5", "notices")).apply(there).ok
    assert merge_changes(diff(fleet, there) + diff(there, back)) == []


def test_restore_is_a_new_version(fleet, make_patch):
    """Guards against a version number that goes back (R8)."""
    second = make_patch(move("vm-5", "roster")).apply(fleet).ok
    patch = make_patch({"operation": "restore", "version": 1})
    third = patch.apply(second, {1: fleet}.get).ok
    assert third.version == 3
    assert third.workers["vm-5"].pool == "notices"
    assert "not in the history" in str(patch.apply(second).error)


def test_preview_lists_moves_drains_and_budgets(fleet, make_patch):
    """Guards against an automatic change that cannot be reviewed."""
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
    """Guards against a traceback on a malformed operation."""
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
    read = patch_from_document(document)
    assert read.is_ok() or read.error.lines()

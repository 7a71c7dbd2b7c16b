"""Tests of patches in the replicated state."""

import json

from wigeonport import fleet_states
from wigeonport.state_answers import PatchAccepted, PatchRefused
from wigeonport.state_commands import SubmitPatch
from wigeonport.states import state_from_document

WEEK_MS = 7 * 24 * 3_600_000


def move(worker, pool):
    """Returns the document of an operation that moves a VM."""
    return {"operation": "move_worker", "worker": worker, "pool": pool}


def reload_from_snapshot(apply):
    """Replaces the state by the one that is read from its snapshot."""
    document = json.loads(json.dumps(apply.state.to_document()))
    apply.state = state_from_document(document).ok


def test_first_patch_builds_the_fleet(apply_to_fleet, fleet):
    """The tests' first patch must build exactly the example fleet."""
    assert (
        apply_to_fleet.state.fleet.fleet.to_document() == fleet.to_document()
    )
    assert apply_to_fleet.state.pools.members("roster") == [
        "vm-1",
        "vm-2",
        "vm-3",
        "vm-4",
    ]


def test_stale_patch_is_refused_with_the_changes(apply_to_fleet, submit):
    """A patch against an old version must not overwrite newer changes.

    The refusal lists them, so that the operator can rewrite the patch.
    """
    submit("p-2", 1, move("vm-5", "roster"), author="bayo")
    before = apply_to_fleet.state.fleet.fleet
    answer = submit("p-3", 1, move("vm-5", "notices"))
    assert apply_to_fleet.state.fleet.fleet is before
    assert (answer.why, answer.version, answer.complete) == ("stale", 2, True)
    (change,) = json.loads(answer.changes_json)
    assert (change["id"], change["after"]["pool"]) == ("vm-5", "roster")
    (version,) = json.loads(answer.versions_json)
    assert (version["author"], version["reason"]) == ("bayo", "reason of p-2")


def test_only_one_of_two_concurrent_patches_is_accepted(
    apply_to_fleet, submit
):
    """Two patches against the same version must not both be accepted."""
    answers = [submit(f"p-{n}", 1, move(f"vm-{n}", "roster")) for n in (5, 6)]
    assert [type(a) for a in answers] == [PatchAccepted, PatchRefused]


def test_patch_against_a_later_version_is_refused(apply_to_fleet, submit):
    """A patch against a version that does not exist must be refused."""
    answer = submit("p-2", 7, move("vm-5", "roster"))
    assert answer.why == "stale"
    assert "version 7 does not exist" in answer.findings[0]


def test_resent_patch_gets_its_first_answer(apply_to_fleet, submit):
    """A resent patch must not be applied twice or refused as stale."""
    first = submit("p-2", 1, move("vm-5", "roster"))
    submit("p-3", 2, move("vm-6", "roster"))
    reload_from_snapshot(apply_to_fleet)
    assert submit("p-2", 1, move("vm-5", "roster")) == first
    assert first == PatchAccepted("p-2", 2)
    assert apply_to_fleet.state.fleet.fleet.version == 3


def test_resent_refusal_is_unchanged(apply_to_fleet, submit):
    """A refused patch must stay refused when it is sent again.

    The version that it was written against may exist by then.
    """
    first = submit("p-2", 2, move("vm-5", "roster"))
    submit("p-3", 1, move("vm-6", "roster"))
    reload_from_snapshot(apply_to_fleet)
    assert submit("p-2", 2, move("vm-5", "roster")) == first
    assert first.why == "stale"


def test_patch_id_with_other_content_is_a_conflict(apply_to_fleet, submit):
    """A reused patch id must not return the answer to another patch."""
    submit("p-2", 1, move("vm-5", "roster"))
    answer = submit("p-2", 1, move("vm-6", "roster"))
    assert answer.why == "conflict"
    assert apply_to_fleet.state.fleet.fleet.version == 2


def test_patch_with_expired_answer_is_not_applied_twice(
    apply_to_fleet, submit
):
    """A resend after its stored answer expired must not be applied again."""
    submit("p-2", 1, move("vm-5", "roster"))
    apply_to_fleet.now_ms += WEEK_MS + 1
    answer = submit("p-2", 1, move("vm-5", "roster"))
    assert (answer.why, apply_to_fleet.state.fleet.fleet.version) == (
        "stale",
        2,
    )


def test_number_of_answers_is_bounded(apply_to_fleet, submit, monkeypatch):
    """Stored answers must not grow without bound."""
    monkeypatch.setattr(fleet_states, "MAX_RETAINED_ANSWERS", 3)
    for n in range(5):
        submit(f"q-{n}", 9, move("vm-5", "roster"))
    assert list(apply_to_fleet.state.fleet.answers) == ["q-2", "q-3", "q-4"]


def test_restore_goes_back_as_a_new_version(apply_to_fleet, submit, fleet):
    """A restore must not lose records or reuse a version number."""
    submit("p-2", 1, move("vm-5", "roster"))
    submit("p-3", 2, {"operation": "remove_worker", "id": "vm-8"})
    reload_from_snapshot(apply_to_fleet)
    answer = submit("p-4", 3, {"operation": "restore", "version": 1})
    assert answer == PatchAccepted("p-4", 4)
    expected = fleet.to_document() | {"version": 4}
    assert apply_to_fleet.state.fleet.fleet.to_document() == expected


def test_history_is_bounded_and_marks_missing_versions(
    apply_to_fleet, submit, monkeypatch
):
    """Changes since a dropped version must not be reported as complete.

    The history must not grow without bound, so old versions are dropped.
    """
    monkeypatch.setattr(fleet_states, "MAX_RETAINED_VERSIONS", 2)
    for n in range(1, 4):
        hours = {"operation": "set_maintenance_period", "hours": n}
        submit(f"q-{n}", n, hours)
    assert [r.version for r in apply_to_fleet.state.fleet.history] == [3, 4]
    answer = submit("p-9", 1, move("vm-5", "roster"))
    assert (answer.complete, answer.changes_json) == (False, "[]")
    restored = submit("p-10", 4, {"operation": "restore", "version": 1})
    assert "not in the history" in restored.findings[0]


def test_long_difference_is_cut_and_marked(
    apply_to_fleet, submit, monkeypatch
):
    """A long list of changes must be cut, and marked as incomplete.

    Uncut, the answer could exceed the maximum size of a frame.
    """
    monkeypatch.setattr(fleet_states, "MAX_LISTED_CHANGES", 1)
    submit("p-2", 1, move("vm-5", "roster"), move("vm-6", "roster"))
    answer = submit("p-3", 1, move("vm-7", "roster"))
    assert len(json.loads(answer.changes_json)) == 1
    assert answer.complete is False


def test_malformed_patch_in_the_log_is_refused(apply_to_fleet):
    """A malformed patch in the log must not stop the replicas.

    Every replica would fail at the same entry.
    """
    for text in ("", "[", "[]", "{}", '{"id": 3}', "[" * 100_000, "NaN"):
        answer = apply_to_fleet(SubmitPatch(text))
        assert answer.why == "invalid"
        assert answer.findings

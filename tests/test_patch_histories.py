"""Tests that the checker of patch histories finds each violation."""

import patch_histories
import pytest
from patch_records import (
    ACCEPTED,
    CUT,
    DOWN,
    NOT_RUN,
    STALE,
    AppliedVersion,
    Fault,
    PatchHistory,
    PolledVersion,
    SubmitAttempt,
)


def make_attempt(patch, base_version, outcome, version=0, **fields):
    """Returns a SubmitAttempt with an answer."""
    attempt = SubmitAttempt(patch, base_version, int(patch[1:]), 0)
    attempt.outcome, attempt.version = outcome, version
    attempt.body = f"{outcome} {patch} {version}"
    for name, value in fields.items():
        setattr(attempt, name, value)
    return attempt


@pytest.fixture
def history():
    """Three accepted patches, each sent twice, a stale one and one not run."""
    recorded = PatchHistory(["entry/a-1", "entry/a-2"], 12_000)
    recorded.final = [(1, "p10"), (2, "p11"), (3, "p12")]
    for version, patch in recorded.final:
        attempt = make_attempt(patch, version - 1, ACCEPTED, version)
        recorded.attempts += [attempt, attempt]
    since = {"since": recorded.final[1:], "before": 10, "after": 12}
    recorded.attempts += [
        make_attempt("p13", 1, STALE, 3, complete=True, **since),
        make_attempt("p14", 3, NOT_RUN),
    ]
    for process in recorded.processes:
        for number in (1, 2, 3):
            recorded.applied.append(
                AppliedVersion(
                    process, "a", 1, number, number, False, number * 1_000
                )
            )
            poll = PolledVersion(process, "metrics 1", number, number * 1_000)
            recorded.polled.append(poll)
    recorded.failures_ended_ms = 4_000
    return recorded


def broken_properties(history):
    """Returns the names of the properties that the history violates."""
    verdict = patch_histories.find_violations(history)
    return [name for name, texts in verdict.items() if texts]


def add_restart(history, version, stale=True):
    """Adds a restart of the first entry, 10 s into the run.

    The entry starts with the given version.
    """
    history.applied.append(
        AppliedVersion("entry/a-1", "a", 9_000, 1, version, stale, 10_000)
    )


def test_correct_history_holds(history):
    """Fails if the checker reports violations in a correct history."""
    assert broken_properties(history) == []


def test_lost_acknowledged_patch_is_found(history):
    """Fails if the loss of an acknowledged patch goes unnoticed.

    The final history has another patch in place of one that was accepted.
    """
    history.final[2] = (3, "p99")
    history.attempts = history.attempts[:6]
    assert broken_properties(history) == ["acknowledged patches are kept"]


def test_two_patches_against_a_version_are_found(history):
    """Fails if two patches accepted against one version go unnoticed."""
    history.final.append((4, "p15"))
    history.attempts.append(make_attempt("p15", 2, ACCEPTED, 4))
    assert "one patch for each version" in broken_properties(history)


@pytest.mark.parametrize("final", [(5, "p15"), (4, "p12")])
def test_hole_or_repeated_patch_is_found(history, final):
    """Fails if a skipped version or a patch applied twice goes unnoticed."""
    history.final.append(final)
    assert "versions are dense" in broken_properties(history)


def test_different_answer_to_a_resend_is_found(history):
    """Fails if a resend that got another answer goes unnoticed.

    The state must return the stored answer, not decide on the patch again.
    """
    history.attempts[1] = make_attempt("p10", 0, ACCEPTED, 1, body="other")
    assert broken_properties(history) == ["resends get the same answer"]


@pytest.mark.parametrize(
    "fields",
    [
        {"since": [(3, "p12")]},
        {"since": []},
        {"complete": False},
        {"before": 11},
        {"after": 11},
    ],
)
def test_wrong_changes_since_are_found(history, fields):
    """Fails if a stale answer with wrong or missing changes goes unnoticed."""
    stale = next(s for s in history.attempts if s.outcome == STALE)
    for name, value in fields.items():
        setattr(stale, name, value)
    names = broken_properties(history)
    assert names == ["stale patches get the changes since"]


@pytest.mark.parametrize("patch", ["p13", "p14"])
def test_refused_patch_that_appears_is_found(history, patch):
    """Fails if a refused patch in the history goes unnoticed.

    Its author was told that the patch is stale or was not run.
    """
    history.final.append((4, patch))
    assert "refused patches never appear" in broken_properties(history)


def test_not_run_after_an_unknown_answer_may_appear(history):
    """Fails if one answer "not run" is taken to hold for all attempts.

    Another attempt had an unknown outcome, so the patch may have been applied.
    """
    history.final.append((4, "p14"))
    history.attempts.append(make_attempt("p14", 3, "unknown"))
    assert "refused patches never appear" not in broken_properties(history)


def test_applied_version_that_goes_back_is_found(history):
    """Fails if an entry that applies an older version goes unnoticed."""
    history.applied.append(
        AppliedVersion("entry/a-1", "a", 1, 4, 2, False, 4_000)
    )
    assert broken_properties(history) == ["versions never go back in a run"]


def test_polled_version_that_goes_back_is_found(history):
    """Fails if a poll that shows an older version goes unnoticed."""
    history.polled.append(PolledVersion("entry/a-1", "metrics 1", 2, 4_000))
    assert broken_properties(history) == ["versions never go back in a run"]


@pytest.mark.parametrize("stale", [True, False])
def test_restart_below_the_past_is_found(history, stale):
    """Fails if a restart at an older version goes unnoticed.

    The entry could reach a quorum, which knows the newer version.
    """
    add_restart(history, 2, stale)
    names = broken_properties(history)
    assert names == ["versions never go back over a restart"]


def test_restart_in_a_cut_zone_below_a_neighbour_is_found(history):
    """Fails if the version of a running entry in the same zone is ignored.

    The zone is cut off, but that entry could tell the newer version.
    """
    history.faults.append(Fault(CUT, "a", 8_000, 11_000))
    add_restart(history, 2)
    names = broken_properties(history)
    assert names == ["versions never go back over a restart"]


def test_restart_in_a_cut_zone_without_a_neighbour_is_excused(history):
    """Fails if a restart is blamed for a version that it could not learn.

    The zone is cut off and its other entry is down.
    """
    history.faults.append(Fault(CUT, "a", 8_000, 11_000))
    history.faults.append(Fault(DOWN, "entry/a-2", 8_000, 11_000))
    add_restart(history, 2)
    assert broken_properties(history) == []


def test_late_process_is_found(history):
    """Fails if a process without the last version goes unnoticed.

    It reports that version only after the time limit.
    """
    late = "entry/a-2"
    history.applied = [a for a in history.applied if a.process != late]
    for poll in history.polled:
        if poll.process == late and poll.version == 3:
            poll.wall_ms = history.failures_ended_ms + history.limit_ms + 1
    names = broken_properties(history)
    assert names == ["every process has the last version in time"]

"""The checker of patch histories finds each kind of violation."""

import patch_histories
import pytest
from patch_records import (
    ACCEPTED,
    CUT,
    DOWN,
    NOT_RUN,
    STALE,
    Applied,
    Fault,
    PatchHistory,
    Polled,
    Sending,
)


def make_sending(patch, against, outcome, version=0, **fields):
    """Returns a Sending with an answer."""
    sending = Sending(patch, against, int(patch[1:]), 0)
    sending.outcome, sending.version = outcome, version
    sending.body = f"{outcome} {patch} {version}"
    for name, value in fields.items():
        setattr(sending, name, value)
    return sending


@pytest.fixture
def history():
    """Three accepted patches, a stale one and one that was not run."""
    made = PatchHistory(["entry/a-1", "entry/a-2"], 12_000)
    made.final = [(1, "p10"), (2, "p11"), (3, "p12")]
    for version, patch in made.final:
        sending = make_sending(patch, version - 1, ACCEPTED, version)
        made.sendings += [sending, sending]
    since = {"since": made.final[1:], "before": 10, "after": 12}
    made.sendings += [
        make_sending("p13", 1, STALE, 3, complete=True, **since),
        make_sending("p14", 3, NOT_RUN),
    ]
    for process in made.processes:
        for number in (1, 2, 3):
            made.applied.append(
                Applied(process, "a", 1, number, number, False, number * 1_000)
            )
            poll = Polled(process, "metrics 1", number, number * 1_000)
            made.polled.append(poll)
    made.ended_ms = 4_000
    return made


def broken_properties(history):
    """Returns the names of the properties that do not hold."""
    verdict = patch_histories.judge(history)
    return [name for name, texts in verdict.items() if texts]


def add_restart(history, version, stale=True):
    """Restarts the first entry at a version at 10 s."""
    history.applied.append(
        Applied("entry/a-1", "a", 9_000, 1, version, stale, 10_000)
    )


def test_correct_history_holds(history):
    """Guards against a checker that reports a correct run."""
    assert broken_properties(history) == []


def test_lost_acknowledged_patch_is_found(history):
    """Guards against an acknowledged patch missing in the history."""
    history.final[2] = (3, "p99")
    history.sendings = history.sendings[:6]
    assert broken_properties(history) == ["acknowledged patches are kept"]


def test_two_patches_against_a_version_are_found(history):
    """Guards against two patches accepted against the same version."""
    history.final.append((4, "p15"))
    history.sendings.append(make_sending("p15", 2, ACCEPTED, 4))
    assert "one patch for each version" in broken_properties(history)


@pytest.mark.parametrize("final", [(5, "p15"), (4, "p12")])
def test_hole_or_repeated_patch_is_found(history, final):
    """Guards against a skipped version and a patch applied twice."""
    history.final.append(final)
    assert "versions are dense" in broken_properties(history)


def test_different_answer_to_a_resend_is_found(history):
    """Guards against a resend that is decided anew."""
    history.sendings[1] = make_sending("p10", 0, ACCEPTED, 1, body="other")
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
    """Guards against a stale answer without all changes since."""
    stale = next(s for s in history.sendings if s.outcome == STALE)
    for name, value in fields.items():
        setattr(stale, name, value)
    names = broken_properties(history)
    assert names == ["stale patches get the changes since"]


@pytest.mark.parametrize("patch", ["p13", "p14"])
def test_refused_patch_that_appears_is_found(history, patch):
    """Guards against a patch in the history that was told not run."""
    history.final.append((4, patch))
    assert "refused patches never appear" in broken_properties(history)


def test_not_run_after_an_unknown_answer_may_appear(history):
    """Guards against taking one attempt's not-run for all attempts."""
    history.final.append((4, "p14"))
    history.sendings.append(make_sending("p14", 3, "unknown"))
    assert "refused patches never appear" not in broken_properties(history)


def test_applied_version_that_goes_back_is_found(history):
    """Guards against an entry that applies an older version."""
    history.applied.append(Applied("entry/a-1", "a", 1, 4, 2, False, 4_000))
    assert broken_properties(history) == ["versions never go back in a run"]


def test_polled_version_that_goes_back_is_found(history):
    """Guards against a metric or a status that shows an older version."""
    history.polled.append(Polled("entry/a-1", "metrics 1", 2, 4_000))
    assert broken_properties(history) == ["versions never go back in a run"]


@pytest.mark.parametrize("stale", [True, False])
def test_restart_below_the_past_is_found(history, stale):
    """Guards against a restart with an older version beside a quorum."""
    add_restart(history, 2, stale)
    names = broken_properties(history)
    assert names == ["versions never go back over a restart"]


def test_restart_in_a_cut_zone_below_a_neighbour_is_found(history):
    """Guards against ignoring the version of a running neighbour."""
    history.faults.append(Fault(CUT, "a", 8_000, 11_000))
    add_restart(history, 2)
    names = broken_properties(history)
    assert names == ["versions never go back over a restart"]


def test_restart_in_a_cut_zone_without_a_neighbour_is_excused(history):
    """Guards against asking for a version that nobody there knows."""
    history.faults.append(Fault(CUT, "a", 8_000, 11_000))
    history.faults.append(Fault(DOWN, "entry/a-2", 8_000, 11_000))
    add_restart(history, 2)
    assert broken_properties(history) == []


def test_late_process_is_found(history):
    """Guards against a process that never gets the last version."""
    late = "entry/a-2"
    history.applied = [a for a in history.applied if a.process != late]
    for poll in history.polled:
        if poll.process == late and poll.version == 3:
            poll.wall_ms = history.ended_ms + history.limit_ms + 1
    names = broken_properties(history)
    assert names == ["every process has the last version in time"]

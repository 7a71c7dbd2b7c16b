"""Tests of the claims of idempotency keys in the replicated state."""

import json

import pytest

from wigeonport import claim_states
from wigeonport.state_answers import (
    ClaimCompleted,
    ClaimConflict,
    ClaimGranted,
    ClaimInProgress,
    ClaimRefused,
    ClaimReleased,
    ClaimRepeat,
    ClaimUnknown,
)
from wigeonport.state_commands import ClaimKey, CompleteClaim, ReleaseClaim
from wigeonport.states import state_from_document

DAY_MS = 24 * 3_600_000


def reload_from_snapshot(apply):
    """Replaces the state by the one that is read from its snapshot."""
    document = json.loads(json.dumps(apply.state.to_document()))
    apply.state = state_from_document(document).ok


def test_repeat_of_a_completed_key_returns_the_response(apply):
    """A repeat of a completed request must not run it again (R5)."""
    assert apply(ClaimKey("k", "d", "a1")) == ClaimGranted("k", "a1")
    stored = apply(CompleteClaim("k", "a1", b"\x00sent"))
    assert stored == ClaimCompleted("k", True)
    reload_from_snapshot(apply)
    repeat = apply(ClaimKey("k", "d", "a2"))
    assert repeat == ClaimRepeat("k", b"\x00sent")


def test_key_in_progress_is_not_granted_again(apply):
    """Two attempts of a request must not run at the same time (R5)."""
    apply(ClaimKey("k", "d", "a1"))
    assert apply(ClaimKey("k", "d", "a2")) == ClaimInProgress("k", 1)
    assert apply(ClaimKey("k", "d", "a1")) == ClaimGranted("k", "a1")


def test_other_digest_is_a_conflict(apply):
    """A reused key must not return the response of another request (R3)."""
    apply(ClaimKey("k", "d", "a1"))
    assert apply(ClaimKey("k", "other", "a1")) == ClaimConflict("k")
    apply(CompleteClaim("k", "a1", b"x"))
    assert apply(ClaimKey("k", "other", "a2")) == ClaimConflict("k")


def test_release_lets_a_later_attempt_run(apply):
    """A key must not stay blocked after an attempt that was not dispatched."""
    apply(ClaimKey("k", "d", "a1"))
    assert apply(ReleaseClaim("k", "a1")) == ClaimReleased("k", "a1")
    assert apply(ClaimKey("k", "d", "a2")) == ClaimGranted("k", "a2")


def test_release_before_its_claim_prevents_it(apply):
    """A claim that arrives after its release must be refused (R4).

    The caller has already been told that the request did not run.
    """
    apply(ReleaseClaim("k", "a1"))
    reload_from_snapshot(apply)
    assert apply(ClaimKey("k", "d", "a1")) == ClaimRefused("k", "released")
    assert apply(ClaimKey("k", "d", "a2")) == ClaimGranted("k", "a2")
    # A duplicate of a claim that was granted before must be refused too.
    apply(ReleaseClaim("k", "a2"))
    assert apply(ClaimKey("k", "d", "a2")) == ClaimRefused("k", "released")


def test_release_of_another_attempt_keeps_the_claim(apply):
    """A release must not free a key that another attempt holds (R5)."""
    apply(ClaimKey("k", "d", "a1"))
    apply(ReleaseClaim("k", "a2"))
    assert apply(ClaimKey("k", "d", "a3")) == ClaimInProgress("k", 1)


def test_completed_claim_cannot_be_released(apply):
    """A late release must not let a completed request run again (R5)."""
    apply(ClaimKey("k", "d", "a1"))
    apply(CompleteClaim("k", "a1", b"x"))
    assert apply(ReleaseClaim("k", "a1")) == ClaimRefused("k", "completed")
    assert apply(ClaimKey("k", "d", "a2")) == ClaimRepeat("k", b"x")


def test_only_the_holder_completes(apply):
    """A released attempt must not store its response for the next one."""
    assert apply(CompleteClaim("k", "a1", b"")).why == "not held"
    apply(ClaimKey("k", "d", "a1"))
    apply(ReleaseClaim("k", "a1"))
    apply(ClaimKey("k", "d", "a2"))
    assert apply(CompleteClaim("k", "a1", b"x")).why == "not held"


def test_second_completion_does_not_replace_the_response(apply):
    """Two repeats of a request must not get different responses."""
    apply(ClaimKey("k", "d", "a1"))
    apply(CompleteClaim("k", "a1", b"first"))
    apply(CompleteClaim("k", "a1", b"second"))
    assert apply(ClaimKey("k", "d", "a2")) == ClaimRepeat("k", b"first")


@pytest.mark.parametrize(
    ("size", "answer"),
    [
        (8_192, ClaimRepeat("k", b"x" * 8_192)),
        (8_193, ClaimUnknown("k")),
    ],
)
def test_large_response_is_not_stored(apply, size, answer):
    """A response over the limit must be dropped whole, not cut.

    Stored without a limit, responses would make the log grow without bound.
    """
    apply(ClaimKey("k", "d", "a1"))
    apply(CompleteClaim("k", "a1", b"x" * size))
    reload_from_snapshot(apply)
    assert apply(ClaimKey("k", "d", "a2")) == answer


def test_claims_are_kept_for_a_day(apply):
    """Claims and releases must be kept for 24 h and no longer."""
    apply(ClaimKey("k", "d", "a1"))
    apply(ReleaseClaim("other", "b1"))
    answer = apply(ClaimKey("k", "d", "a2"), after_ms=DAY_MS - 2)
    assert answer == ClaimInProgress("k", 1)
    answer = apply(ClaimKey("k", "d", "a3"), after_ms=2)
    assert answer == ClaimGranted("k", "a3")
    assert apply.state.claims.released == {}


def test_oldest_completed_claims_are_reduced(apply, monkeypatch):
    """Old claims must be reduced to bound memory, not forgotten (R5)."""
    monkeypatch.setattr(claim_states, "MAX_TOTAL_BYTES", 3_000)
    for n in range(20):
        granted = apply(ClaimKey(f"k{n}", "d", "a"))
        assert granted == ClaimGranted(f"k{n}", "a")
        apply(CompleteClaim(f"k{n}", "a", b"x" * 600))
        assert apply.state.claims.total_bytes() <= 3_000
    reload_from_snapshot(apply)
    assert apply(ClaimKey("k0", "d", "b")) == ClaimUnknown("k0")
    assert apply(ClaimKey("k19", "d", "b")) == ClaimRepeat("k19", b"x" * 600)
    assert apply(CompleteClaim("k0", "a", b"x")).why == "not held"


def test_reduced_release_still_prevents_its_claim(apply, monkeypatch):
    """A claim after a release that was reduced must still be refused (R4)."""
    monkeypatch.setattr(claim_states, "MAX_TOTAL_BYTES", 1_000)
    for n in range(20):
        apply(ReleaseClaim(f"k{n}", "a"))
    assert len(apply.state.claims.released) < 20
    reload_from_snapshot(apply)
    for n in range(20):
        answer = apply(ClaimKey(f"k{n}", "d", "a"))
        assert answer == ClaimRefused(f"k{n}", "released")
    assert apply(ClaimKey("k0", "d", "b")) == ClaimGranted("k0", "b")


def test_full_state_refuses_new_claims_until_old_ones_are_abandoned(
    apply, monkeypatch
):
    """A claim in progress must not be dropped to store a new one (R5)."""
    monkeypatch.setattr(claim_states, "MAX_TOTAL_BYTES", 700)
    answers = [apply(ClaimKey(f"k{n}", "d", "a")) for n in range(3)]
    assert answers[2] == ClaimRefused("k2", "full")
    assert apply(ClaimKey("k0", "d", "b")) == ClaimInProgress("k0", 1)
    assert apply(ReleaseClaim("k9", "a")) == ClaimReleased("k9", "a")
    abandoned_ms = claim_states.ABANDONED_AFTER_MS
    answer = apply(ClaimKey("k3", "d", "a"), after_ms=abandoned_ms)
    assert answer == ClaimGranted("k3", "a")
    assert apply(ClaimKey("k0", "d", "b")) == ClaimUnknown("k0")


def test_reduced_keys_are_kept_for_a_day(apply, monkeypatch):
    """Reduced keys must expire too, within an hour after their 24 h."""
    monkeypatch.setattr(claim_states, "MAX_TOTAL_BYTES", 700)
    for n in range(3):
        apply(ClaimKey(f"k{n}", "d", "a"))
        apply(CompleteClaim(f"k{n}", "a", b""))
    answer = apply(ClaimKey("k0", "d", "b"), after_ms=DAY_MS - 100)
    assert answer == ClaimUnknown("k0")
    # Reduced keys are dropped by the hour.
    answer = apply(ClaimKey("k0", "d", "b"), after_ms=3_600_000 + 200)
    assert answer == ClaimGranted("k0", "b")
    assert apply.state.claims.reduced_keys.count == 0


@pytest.mark.parametrize("key", ["", "x" * 513, "\ud800"])
def test_malformed_key_is_refused(apply, key):
    """A key that cannot be stored must be refused.

    It is empty, longer than 512 bytes or not encodable as UTF-8.
    """
    assert apply(ClaimKey(key, "d", "a")).why == "malformed"
    assert apply(ReleaseClaim(key, "a")).why == "malformed"


def test_counted_size_follows_every_change(apply):
    """The counted size must not drift from the content.

    The limit on memory would then be enforced too early or too late.
    """
    apply(ClaimKey("k", "d", "a1"))
    apply(CompleteClaim("k", "a1", b"x" * 100))
    apply(ReleaseClaim("r", "a"))
    before = apply.state.claims.total_bytes()
    reload_from_snapshot(apply)
    assert apply.state.claims.total_bytes() == before
    apply(ClaimKey("new", "d", "a"), after_ms=2 * DAY_MS)
    expected_bytes = claim_states.RECORD_OVERHEAD_BYTES + len(
        "new" + "d" + "a"
    )
    assert apply.state.claims.total_bytes() == expected_bytes

"""Tests of idempotency claims in the replicated state."""

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


def restart(apply):
    """Replaces the state by its own snapshot."""
    document = json.loads(json.dumps(apply.state.to_document()))
    apply.state = state_from_document(document).ok


def test_repeat_of_a_completed_key_returns_the_response(apply):
    """Guards against a second run of a completed request (R5)."""
    assert apply(ClaimKey("k", "d", "a1")) == ClaimGranted("k", "a1")
    stored = apply(CompleteClaim("k", "a1", b"\x00sent"))
    assert stored == ClaimCompleted("k", True)
    restart(apply)
    repeat = apply(ClaimKey("k", "d", "a2"))
    assert repeat == ClaimRepeat("k", b"\x00sent")


def test_key_in_progress_is_not_granted_again(apply):
    """Guards against two attempts that run at the same time (R5)."""
    apply(ClaimKey("k", "d", "a1"))
    assert apply(ClaimKey("k", "d", "a2")) == ClaimInProgress("k", 1)
    assert apply(ClaimKey("k", "d", "a1")) == ClaimGranted("k", "a1")


def test_other_digest_is_a_conflict(apply):
    """Guards against the response of another request (R3)."""
    apply(ClaimKey("k", "d", "a1"))
    assert apply(ClaimKey("k", "other", "a1")) == ClaimConflict("k")
    apply(CompleteClaim("k", "a1", b"x"))
    assert apply(ClaimKey("k", "other", "a2")) == ClaimConflict("k")


def test_release_lets_a_later_attempt_run(apply):
    """Guards against a key that stays blocked although nothing ran."""
    apply(ClaimKey("k", "d", "a1"))
    assert apply(ReleaseClaim("k", "a1")) == ClaimReleased("k", "a1")
    assert apply(ClaimKey("k", "d", "a2")) == ClaimGranted("k", "a2")


def test_release_before_its_claim_prevents_it(apply):
    """Guards against a late claim that is granted after not-run (R4)."""
    apply(ReleaseClaim("k", "a1"))
    restart(apply)
    assert apply(ClaimKey("k", "d", "a1")) == ClaimRefused("k", "released")
    assert apply(ClaimKey("k", "d", "a2")) == ClaimGranted("k", "a2")
    # The claim that was duplicated on its way must not come back either.
    apply(ReleaseClaim("k", "a2"))
    assert apply(ClaimKey("k", "d", "a2")) == ClaimRefused("k", "released")


def test_release_of_another_attempt_keeps_the_claim(apply):
    """Guards against a release that frees a key that others hold (R5)."""
    apply(ClaimKey("k", "d", "a1"))
    apply(ReleaseClaim("k", "a2"))
    assert apply(ClaimKey("k", "d", "a3")) == ClaimInProgress("k", 1)


def test_completed_claim_cannot_be_released(apply):
    """Guards against a second run after a late release (R5)."""
    apply(ClaimKey("k", "d", "a1"))
    apply(CompleteClaim("k", "a1", b"x"))
    assert apply(ReleaseClaim("k", "a1")) == ClaimRefused("k", "completed")
    assert apply(ClaimKey("k", "d", "a2")) == ClaimRepeat("k", b"x")


def test_only_the_holder_completes(apply):
    """Guards against a response that belongs to a released attempt."""
    assert apply(CompleteClaim("k", "a1", b"")).why == "not held"
    apply(ClaimKey("k", "d", "a1"))
    apply(ReleaseClaim("k", "a1"))
    apply(ClaimKey("k", "d", "a2"))
    assert apply(CompleteClaim("k", "a1", b"x")).why == "not held"


def test_second_completion_does_not_replace_the_response(apply):
    """Guards against two repeats with different responses."""
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
    """Guards against an unbounded log, and against a partial response."""
    apply(ClaimKey("k", "d", "a1"))
    apply(CompleteClaim("k", "a1", b"x" * size))
    restart(apply)
    assert apply(ClaimKey("k", "d", "a2")) == answer


def test_claims_are_kept_for_a_day(apply):
    """Guards against keys that are kept for good or forgotten early."""
    apply(ClaimKey("k", "d", "a1"))
    apply(ReleaseClaim("other", "b1"))
    answer = apply(ClaimKey("k", "d", "a2"), after_ms=DAY_MS - 2)
    assert answer == ClaimInProgress("k", 1)
    answer = apply(ClaimKey("k", "d", "a3"), after_ms=2)
    assert answer == ClaimGranted("k", "a3")
    assert apply.state.claims.released == {}


def test_oldest_completed_claims_are_reduced(apply, monkeypatch):
    """Guards against unbounded memory and against a second run (R5)."""
    monkeypatch.setattr(claim_states, "MAX_TOTAL_BYTES", 3_000)
    for n in range(20):
        granted = apply(ClaimKey(f"k{n}", "d", "a"))
        assert granted == ClaimGranted(f"k{n}", "a")
        apply(CompleteClaim(f"k{n}", "a", b"x" * 600))
        assert apply.state.claims.total_bytes() <= 3_000
    restart(apply)
    assert apply(ClaimKey("k0", "d", "b")) == ClaimUnknown("k0")
    assert apply(ClaimKey("k19", "d", "b")) == ClaimRepeat("k19", b"x" * 600)
    assert apply(CompleteClaim("k0", "a", b"x")).why == "not held"


def test_reduced_release_still_prevents_its_claim(apply, monkeypatch):
    """Guards against a late claim after not-run, under load (R4)."""
    monkeypatch.setattr(claim_states, "MAX_TOTAL_BYTES", 1_000)
    for n in range(20):
        apply(ReleaseClaim(f"k{n}", "a"))
    assert len(apply.state.claims.released) < 20
    restart(apply)
    for n in range(20):
        answer = apply(ClaimKey(f"k{n}", "d", "a"))
        assert answer == ClaimRefused(f"k{n}", "released")
    assert apply(ClaimKey("k0", "d", "b")) == ClaimGranted("k0", "b")


def test_full_state_refuses_new_claims_until_old_ones_are_abandoned(
    apply, monkeypatch
):
    """Guards against running claims that are dropped for new ones (R5)."""
    monkeypatch.setattr(claim_states, "MAX_TOTAL_BYTES", 700)
    answers = [apply(ClaimKey(f"k{n}", "d", "a")) for n in range(3)]
    assert answers[2] == ClaimRefused("k2", "full")
    assert apply(ClaimKey("k0", "d", "b")) == ClaimInProgress("k0", 1)
    assert apply(ReleaseClaim("k9", "a")) == ClaimReleased("k9", "a")
    hour_ms = claim_states.ABANDONED_AFTER_MS
    answer = apply(ClaimKey("k3", "d", "a"), after_ms=hour_ms)
    assert answer == ClaimGranted("k3", "a")
    assert apply(ClaimKey("k0", "d", "b")) == ClaimUnknown("k0")


def test_reduced_keys_are_kept_for_a_day(apply, monkeypatch):
    """Guards against reduced keys that are kept for good."""
    monkeypatch.setattr(claim_states, "MAX_TOTAL_BYTES", 700)
    for n in range(3):
        apply(ClaimKey(f"k{n}", "d", "a"))
        apply(CompleteClaim(f"k{n}", "a", b""))
    answer = apply(ClaimKey("k0", "d", "b"), after_ms=DAY_MS - 100)
    assert answer == ClaimUnknown("k0")
    # Keys are dropped by the hour.
    answer = apply(ClaimKey("k0", "d", "b"), after_ms=3_600_000 + 200)
    assert answer == ClaimGranted("k0", "b")
    assert apply.state.claims.reduced_keys.count == 0


@pytest.mark.parametrize("key", ["", "x" * 513, "\ud800"])
def test_malformed_key_is_refused(apply, key):
    """Guards against keys that cannot be stored."""
    assert apply(ClaimKey(key, "d", "a")).why == "malformed"
    assert apply(ReleaseClaim(key, "a")).why == "malformed"


def test_counted_size_follows_every_change(apply):
    """Guards against a count that drifts from the content."""
    apply(ClaimKey("k", "d", "a1"))
    apply(CompleteClaim("k", "a1", b"x" * 100))
    apply(ReleaseClaim("r", "a"))
    before = apply.state.claims.total_bytes()
    restart(apply)
    assert apply.state.claims.total_bytes() == before
    apply(ClaimKey("new", "d", "a"), after_ms=2 * DAY_MS)
    only = claim_states.RECORD_OVERHEAD_BYTES + len("new" + "d" + "a")
    assert apply.state.claims.total_bytes() == only

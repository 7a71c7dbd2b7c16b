"""Replicated part: claims of idempotency keys."""

import base64

from wigeonport.records import Record
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
from wigeonport.state_commands import (
    HANDLERS,
    ClaimKey,
    CompleteClaim,
    ReleaseClaim,
)

RETENTION_MS = 24 * 3_600_000
LARGEST_RESPONSE_BYTES = 8 * 1024
LARGEST_TOTAL_BYTES = 64 * 1024 * 1024
LARGEST_TEXT_BYTES = 512
# Counted for each record besides its texts and its response.
RECORD_BYTES = 512


class Claim(Record):
    """A claimed or completed key.

    Attributes:
        digest: Digest of the request.
        attempt: Attempt that holds the key.
        claimed_ms: Wall time of the claim.
        completed: Whether the request was completed.
        response: Stored response as bytes, or None.
    """

    __slots__ = ("digest", "attempt", "claimed_ms", "completed", "response")

    def __init__(self, digest, attempt, claimed_ms, completed, response):
        self.digest = digest
        self.attempt = attempt
        self.claimed_ms = claimed_ms
        self.completed = completed
        self.response = response


class ClaimState:
    """Claims by key, and released attempts.

    Records are kept for 24 h after the claim. When everything together
    reaches 64 MB, the oldest responses are dropped, and repeats of their
    keys are answered with ``ClaimUnknown``; when the records alone reach it,
    new claims are refused. A release is always recorded.

    Attributes:
        claims: Claim by key, in the order of the claims.
        released: Wall time of the release by key and attempt, in order. A
            claim that arrives after its release is refused.
        stored: Keys with a stored response, in the order of completion.
        total_bytes: Counted size of everything.
    """

    __slots__ = ("claims", "released", "stored", "total_bytes")

    def __init__(self):
        self.claims = {}
        self.released = {}
        self.stored = {}
        self.total_bytes = 0

    def claim(self, key, digest, attempt, now_ms):
        """Claims a key for an attempt; returns the answer."""
        self._expire(now_ms)
        if not all(map(_is_usable, (key, digest, attempt))):
            return ClaimRefused(key, "malformed")
        if (key, attempt) in self.released:
            return ClaimRefused(key, "released")
        claim = self.claims.get(key)
        if claim is not None:
            return _answer_to_held(key, digest, attempt, claim)
        size = _size(key, digest, attempt)
        if not self._make_room(size):
            return ClaimRefused(key, "full")
        self.claims[key] = Claim(digest, attempt, now_ms, False, None)
        self.total_bytes += size
        return ClaimGranted(key, attempt)

    def complete(self, key, attempt, response, now_ms):
        """Marks a claim as completed and stores its response if it fits."""
        self._expire(now_ms)
        claim = self.claims.get(key)
        if claim is None or claim.attempt != attempt:
            return ClaimRefused(key, "not held")
        if not claim.completed:
            claim.completed = True
            fits = len(response) <= LARGEST_RESPONSE_BYTES
            if fits and self._make_room(len(response)):
                claim.response = bytes(response)
                self.stored[key] = None
                self.total_bytes += len(response)
        return ClaimCompleted(key, claim.response is not None)

    def release(self, key, attempt, now_ms):
        """Releases an attempt, also one whose claim has not arrived yet."""
        self._expire(now_ms)
        if not all(map(_is_usable, (key, attempt))):
            return ClaimRefused(key, "malformed")
        claim = self.claims.get(key)
        if claim is not None and claim.attempt == attempt:
            if claim.completed:
                return ClaimRefused(key, "completed")
            self._forget(key)
        if (key, attempt) not in self.released:
            self.released[key, attempt] = now_ms
            self.total_bytes += _size(key, attempt)
        return ClaimReleased(key, attempt)

    def _make_room(self, size):
        """Drops the oldest responses; their keys stay claimed."""
        while self.total_bytes + size > LARGEST_TOTAL_BYTES and self.stored:
            key = next(iter(self.stored))
            del self.stored[key]
            claim = self.claims[key]
            self.total_bytes -= len(claim.response)
            claim.response = None
        return self.total_bytes + size <= LARGEST_TOTAL_BYTES

    def _forget(self, key):
        claim = self.claims.pop(key)
        self.stored.pop(key, None)
        self.total_bytes -= _size(key, claim.digest, claim.attempt)
        self.total_bytes -= len(claim.response or b"")

    def _expire(self, now_ms):
        oldest_ms = now_ms - RETENTION_MS
        while self.claims:
            key, claim = next(iter(self.claims.items()))
            if claim.claimed_ms > oldest_ms:
                break
            self._forget(key)
        while self.released:
            pair, time_ms = next(iter(self.released.items()))
            if time_ms > oldest_ms:
                break
            del self.released[pair]
            self.total_bytes -= _size(*pair)

    def to_document(self):
        """Returns plain data; responses are in base64."""
        claims = []
        for key, claim in self.claims.items():
            item = claim.to_document() | {"key": key}
            if claim.response is not None:
                item["response"] = base64.b64encode(claim.response).decode()
            claims.append(item)
        return {
            "claims": claims,
            "released": [[*p, ms] for p, ms in self.released.items()],
            "stored": list(self.stored),
        }


def claim_state_from_document(document):
    """Returns the ClaimState of a snapshot."""
    state = ClaimState()
    for item in document["claims"]:
        values = dict(item)
        key = values.pop("key")
        if values["response"] is not None:
            values["response"] = base64.b64decode(values["response"])
        claim = Claim(**values)
        state.claims[key] = claim
        state.total_bytes += _size(key, claim.digest, claim.attempt)
        state.total_bytes += len(claim.response or b"")
    for key, attempt, time_ms in document["released"]:
        state.released[key, attempt] = time_ms
        state.total_bytes += _size(key, attempt)
    state.stored = dict.fromkeys(document["stored"])
    return state


def _answer_to_held(key, digest, attempt, claim):
    if claim.digest != digest:
        return ClaimConflict(key)
    if claim.response is not None:
        return ClaimRepeat(key, claim.response)
    if claim.completed:
        return ClaimUnknown(key)
    if claim.attempt == attempt:
        return ClaimGranted(key, attempt)
    return ClaimInProgress(key, claim.claimed_ms)


def _is_usable(text):
    if not isinstance(text, str) or text == "":
        return False
    try:
        return len(text.encode()) <= LARGEST_TEXT_BYTES
    except UnicodeEncodeError:
        return False


def _size(*texts):
    return RECORD_BYTES + sum(len(text.encode()) for text in texts)


@HANDLERS.register(ClaimKey)
def handle_claim_key(state, command, now_ms):
    """Claims a key."""
    return state.claims.claim(
        command.key, command.digest, command.attempt, now_ms
    )


@HANDLERS.register(CompleteClaim)
def handle_complete_claim(state, command, now_ms):
    """Completes a claim."""
    return state.claims.complete(
        command.key, command.attempt, command.response, now_ms
    )


@HANDLERS.register(ReleaseClaim)
def handle_release_claim(state, command, now_ms):
    """Releases a claim."""
    return state.claims.release(command.key, command.attempt, now_ms)

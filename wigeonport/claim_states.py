"""Replicated part: claims of idempotency keys."""

import base64

from wigeonport.key_sets import KeySet, hash_key, key_set_from_document
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
MAX_STORED_RESPONSE_BYTES = 8 * 1024
# Writing or installing a snapshot takes about four times this in memory; a
# control node has 256 MB.
MAX_TOTAL_BYTES = 32 * 1024 * 1024
MAX_TEXT_BYTES = 512
# Memory that a record takes besides its texts and its response.
RECORD_OVERHEAD_BYTES = 320
# A claim that is not completed within this time counts as abandoned: its
# outcome stays unknown, and only its key has to be kept.
ABANDONED_AFTER_MS = 3_600_000


class Claim(Record):
    """Claim of an idempotency key.

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
    """Claims and released attempts of the last 24 h.

    When the total size would exceed 32 MiB, records are reduced to a hash of 8
    bytes each, oldest first: completed claims, then releases, then abandoned
    claims. A repeat of a reduced key is answered with ``ClaimUnknown``, and
    a claim of a reduced released attempt is still refused. A new claim is
    refused only if reducing does not free enough space. A release is always
    recorded.

    Attributes:
        claims: Maps key to Claim, in the order of the claims.
        completed: Keys of completed claims, in the order of completion.
        released: Maps (key, attempt) to the wall time of the release, in
            order. A claim that arrives after its release is refused.
        reduced_keys: KeySet of the keys of reduced claims.
        reduced_attempts: KeySet of the (key, attempt) pairs of reduced
            releases.
        unreduced_bytes: Estimated size of all records that are not reduced.
    """

    __slots__ = (
        "claims",
        "completed",
        "released",
        "reduced_keys",
        "reduced_attempts",
        "unreduced_bytes",
    )

    def __init__(self):
        self.claims = {}
        self.completed = {}
        self.released = {}
        self.reduced_keys = KeySet(RETENTION_MS)
        self.reduced_attempts = KeySet(RETENTION_MS)
        self.unreduced_bytes = 0

    def total_bytes(self):
        """Returns the estimated size of all records and hashes."""
        reduced = (self.reduced_keys, self.reduced_attempts)
        return self.unreduced_bytes + sum(
            keys.size_bytes() for keys in reduced
        )

    def claim(self, key, digest, attempt, now_ms):
        """Claims a key for an attempt and returns the answer."""
        self._expire(now_ms)
        if not all(map(_is_valid_text, (key, digest, attempt))):
            return ClaimRefused(key, "malformed")
        if self._is_released(key, attempt):
            return ClaimRefused(key, "released")
        claim = self.claims.get(key)
        if claim is not None:
            return _answer_existing_claim(key, digest, attempt, claim)
        if hash_key(key) in self.reduced_keys:
            return ClaimUnknown(key)
        size_bytes = _record_bytes(key, digest, attempt)
        if not self._make_room(size_bytes, now_ms):
            return ClaimRefused(key, "full")
        self.claims[key] = Claim(digest, attempt, now_ms, False, None)
        self.unreduced_bytes += size_bytes
        return ClaimGranted(key, attempt)

    def complete(self, key, attempt, response, now_ms):
        """Marks a claim as completed and stores its response if it fits."""
        self._expire(now_ms)
        claim = self.claims.get(key)
        if claim is None or claim.attempt != attempt:
            return ClaimRefused(key, "not held")
        if not claim.completed:
            fits = len(response) <= MAX_STORED_RESPONSE_BYTES
            if fits and self._make_room(len(response), now_ms):
                claim.response = bytes(response)
                self.unreduced_bytes += len(response)
            claim.completed = True
            self.completed[key] = None
        return ClaimCompleted(key, claim.response is not None)

    def release(self, key, attempt, now_ms):
        """Releases an attempt, even if its claim has not arrived yet."""
        self._expire(now_ms)
        if not all(map(_is_valid_text, (key, attempt))):
            return ClaimRefused(key, "malformed")
        claim = self.claims.get(key)
        if claim is not None and claim.attempt == attempt:
            if claim.completed:
                return ClaimRefused(key, "completed")
            self._remove_claim(key)
        if not self._is_released(key, attempt):
            self.released[key, attempt] = now_ms
            self.unreduced_bytes += _record_bytes(key, attempt)
            self._make_room(0, now_ms)
        return ClaimReleased(key, attempt)

    def _is_released(self, key, attempt):
        if (key, attempt) in self.released:
            return True
        return hash_key(key, attempt) in self.reduced_attempts

    def _make_room(self, size_bytes, now_ms):
        """Reduces the oldest records until ``size_bytes`` more fit.

        Returns False if they do not fit and no record may be reduced.
        """
        while self.total_bytes() + size_bytes > MAX_TOTAL_BYTES:
            if not self._reduce_one(now_ms):
                return False
        return True

    def _reduce_one(self, now_ms):
        """Reduces one record; returns False if no record may be reduced."""
        if self.completed:
            self._reduce_claim(next(iter(self.completed)))
            return True
        if self.released:
            pair, time_ms = next(iter(self.released.items()))
            self.reduced_attempts.add(hash_key(*pair), time_ms)
            self._remove_release(pair)
            return True
        key, claim = next(iter(self.claims.items()), (None, None))
        if claim is None or claim.claimed_ms > now_ms - ABANDONED_AFTER_MS:
            return False
        self._reduce_claim(key)
        return True

    def _reduce_claim(self, key):
        self.reduced_keys.add(hash_key(key), self.claims[key].claimed_ms)
        self._remove_claim(key)

    def _remove_claim(self, key):
        claim = self.claims.pop(key)
        self.completed.pop(key, None)
        self.unreduced_bytes -= _record_bytes(key, claim.digest, claim.attempt)
        self.unreduced_bytes -= len(claim.response or b"")

    def _remove_release(self, pair):
        del self.released[pair]
        self.unreduced_bytes -= _record_bytes(*pair)

    def _expire(self, now_ms):
        oldest_ms = now_ms - RETENTION_MS
        while self.claims:
            key, claim = next(iter(self.claims.items()))
            if claim.claimed_ms > oldest_ms:
                break
            self._remove_claim(key)
        while self.released:
            pair, time_ms = next(iter(self.released.items()))
            if time_ms > oldest_ms:
                break
            self._remove_release(pair)
        self.reduced_keys.expire(now_ms)
        self.reduced_attempts.expire(now_ms)

    def to_document(self):
        """Returns plain data; lists instead of mappings keep it small."""
        claims = []
        for key, claim in self.claims.items():
            response = claim.response
            if response is not None:
                response = base64.b64encode(response).decode()
            claims.append(
                [
                    key,
                    claim.digest,
                    claim.attempt,
                    claim.claimed_ms,
                    claim.completed,
                    response,
                ]
            )
        return {
            "claims": claims,
            "completed": list(self.completed),
            "released": [[*p, ms] for p, ms in self.released.items()],
            "reduced_keys": self.reduced_keys.to_document(),
            "reduced_attempts": self.reduced_attempts.to_document(),
        }


def claim_state_from_document(document):
    """Returns the ClaimState of a snapshot."""
    state = ClaimState()
    for key, digest, attempt, claimed_ms, completed, encoded in document[
        "claims"
    ]:
        response = None if encoded is None else base64.b64decode(encoded)
        state.claims[key] = Claim(
            digest, attempt, claimed_ms, completed, response
        )
        state.unreduced_bytes += _record_bytes(key, digest, attempt)
        state.unreduced_bytes += len(response or b"")
    for key, attempt, time_ms in document["released"]:
        state.released[key, attempt] = time_ms
        state.unreduced_bytes += _record_bytes(key, attempt)
    state.completed = dict.fromkeys(document["completed"])
    for name in ("reduced_keys", "reduced_attempts"):
        keys = key_set_from_document(document[name], RETENTION_MS)
        setattr(state, name, keys)
    return state


def _answer_existing_claim(key, digest, attempt, claim):
    if claim.digest != digest:
        return ClaimConflict(key)
    if claim.response is not None:
        return ClaimRepeat(key, claim.response)
    if claim.completed:
        return ClaimUnknown(key)
    if claim.attempt == attempt:
        return ClaimGranted(key, attempt)
    return ClaimInProgress(key, claim.claimed_ms)


def _is_valid_text(text):
    if not isinstance(text, str) or text == "":
        return False
    try:
        return len(text.encode()) <= MAX_TEXT_BYTES
    except UnicodeEncodeError:
        return False


def _record_bytes(*texts):
    return RECORD_OVERHEAD_BYTES + sum(len(text.encode()) for text in texts)


@HANDLERS.register(ClaimKey)
def handle_claim_key(state, command, now_ms):
    """Claims a key for an attempt of a request."""
    return state.claims.claim(
        command.key, command.digest, command.attempt, now_ms
    )


@HANDLERS.register(CompleteClaim)
def handle_complete_claim(state, command, now_ms):
    """Completes a claim and stores the response if it fits."""
    return state.claims.complete(
        command.key, command.attempt, command.response, now_ms
    )


@HANDLERS.register(ReleaseClaim)
def handle_release_claim(state, command, now_ms):
    """Releases an attempt of a request."""
    return state.claims.release(command.key, command.attempt, now_ms)

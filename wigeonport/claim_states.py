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
# A snapshot needs about four times this in memory while it is written or
# installed; a control node has 256 MB.
MAX_TOTAL_BYTES = 32 * 1024 * 1024
MAX_TEXT_BYTES = 512
# Memory of a record besides its texts and its response.
RECORD_OVERHEAD_BYTES = 320
# A claim that was not completed by then is taken for abandoned: its outcome
# is unknown for good, and only its key has to be remembered.
ABANDONED_AFTER_MS = 3_600_000


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
    """Claims by key, and released attempts, for 24 h.

    When everything together reaches 32 MiB, the oldest releases, completed
    claims and abandoned claims are reduced to 8 bytes each: a repeat of such
    a key is answered with ``ClaimUnknown``, and a claim of such an attempt
    is still refused. New claims are refused only when this does not make
    room. A release is always recorded.

    Attributes:
        claims: Claim by key, in the order of the claims.
        completed: Keys of completed claims, in the order of completion.
        released: Wall time of the release by key and attempt, in order. A
            claim that arrives after its release is refused.
        reduced_keys: Keys of reduced claims.
        reduced_attempts: Keys with attempts of reduced releases.
        unreduced_bytes: Counted size of everything that is not reduced.
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
        """Returns the counted size of everything."""
        reduced = (self.reduced_keys, self.reduced_attempts)
        return self.unreduced_bytes + sum(
            keys.size_bytes() for keys in reduced
        )

    def claim(self, key, digest, attempt, now_ms):
        """Claims a key for an attempt; returns the answer."""
        self._expire(now_ms)
        if not all(map(_is_usable, (key, digest, attempt))):
            return ClaimRefused(key, "malformed")
        if self._is_released(key, attempt):
            return ClaimRefused(key, "released")
        claim = self.claims.get(key)
        if claim is not None:
            return _answer_to_held(key, digest, attempt, claim)
        if hash_key(key) in self.reduced_keys:
            return ClaimUnknown(key)
        size = _size(key, digest, attempt)
        if not self._make_room(size, now_ms):
            return ClaimRefused(key, "full")
        self.claims[key] = Claim(digest, attempt, now_ms, False, None)
        self.unreduced_bytes += size
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
        """Releases an attempt, also one whose claim has not arrived yet."""
        self._expire(now_ms)
        if not all(map(_is_usable, (key, attempt))):
            return ClaimRefused(key, "malformed")
        claim = self.claims.get(key)
        if claim is not None and claim.attempt == attempt:
            if claim.completed:
                return ClaimRefused(key, "completed")
            self._forget(key)
        if not self._is_released(key, attempt):
            self.released[key, attempt] = now_ms
            self.unreduced_bytes += _size(key, attempt)
            self._make_room(0, now_ms)
        return ClaimReleased(key, attempt)

    def _is_released(self, key, attempt):
        if (key, attempt) in self.released:
            return True
        return hash_key(key, attempt) in self.reduced_attempts

    def _make_room(self, size, now_ms):
        """Reduces the oldest records until ``size`` more bytes fit."""
        while self.total_bytes() + size > MAX_TOTAL_BYTES:
            if not self._reduce_one(now_ms):
                return False
        return True

    def _reduce_one(self, now_ms):
        """Reduces one record; returns False if none may be reduced."""
        if self.completed:
            self._reduce_claim(next(iter(self.completed)))
            return True
        if self.released:
            pair, time_ms = next(iter(self.released.items()))
            self.reduced_attempts.add(hash_key(*pair), time_ms)
            self._forget_release(pair)
            return True
        key, claim = next(iter(self.claims.items()), (None, None))
        if claim is None or claim.claimed_ms > now_ms - ABANDONED_AFTER_MS:
            return False
        self._reduce_claim(key)
        return True

    def _reduce_claim(self, key):
        self.reduced_keys.add(hash_key(key), self.claims[key].claimed_ms)
        self._forget(key)

    def _forget(self, key):
        claim = self.claims.pop(key)
        self.completed.pop(key, None)
        self.unreduced_bytes -= _size(key, claim.digest, claim.attempt)
        self.unreduced_bytes -= len(claim.response or b"")

    def _forget_release(self, pair):
        del self.released[pair]
        self.unreduced_bytes -= _size(*pair)

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
            self._forget_release(pair)
        self.reduced_keys.expire(now_ms)
        self.reduced_attempts.expire(now_ms)

    def to_document(self):
        """Returns plain data; rows instead of mappings keep it small."""
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
    for key, digest, attempt, claimed_ms, completed, text in document[
        "claims"
    ]:
        response = None if text is None else base64.b64decode(text)
        state.claims[key] = Claim(
            digest, attempt, claimed_ms, completed, response
        )
        state.unreduced_bytes += _size(key, digest, attempt)
        state.unreduced_bytes += len(response or b"")
    for key, attempt, time_ms in document["released"]:
        state.released[key, attempt] = time_ms
        state.unreduced_bytes += _size(key, attempt)
    state.completed = dict.fromkeys(document["completed"])
    for name in ("reduced_keys", "reduced_attempts"):
        keys = key_set_from_document(document[name], RETENTION_MS)
        setattr(state, name, keys)
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
        return len(text.encode()) <= MAX_TEXT_BYTES
    except UnicodeEncodeError:
        return False


def _size(*texts):
    return RECORD_OVERHEAD_BYTES + sum(len(text.encode()) for text in texts)


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

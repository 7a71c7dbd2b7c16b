"""Encoding of the stored answers of keyed requests, and of claimed keys.

The claims themselves are sent as the state commands ``ClaimKey``,
``CompleteClaim`` and ``ReleaseClaim`` and answered with the state answers,
because separate messages would only copy their fields.
"""

import hashlib

from wigeonport.codecs import message_kinds
from wigeonport.requests import COMPLETED, CallerAnswer


@message_kinds.register("HeaderPair")
class HeaderPair:
    """One header of a stored answer."""

    __slots__ = ("name", "value")

    def __init__(self, name, value):
        self.name = name
        self.value = value


@message_kinds.register("StoredAnswer")
class StoredAnswer:
    """A completed answer as it is stored in the replicated state."""

    __slots__ = ("status", "headers", "body")

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


def store_answer(codec, answer):
    """Returns a completed answer encoded as a StoredAnswer."""
    pairs = [HeaderPair(name, value) for name, value in answer.headers]
    return codec.encode(StoredAnswer(answer.status, pairs, answer.body))


def restore_answer(codec, data):
    """Returns the CallerAnswer in stored bytes, or None if malformed."""
    decoded = codec.decode(data)
    if decoded.is_error() or not isinstance(decoded.ok, StoredAnswer):
        return None
    stored = decoded.ok
    headers = [(pair.name, pair.value) for pair in stored.headers]
    return CallerAnswer(stored.status, headers, stored.body, COMPLETED)


def digest_request(request):
    """Returns the digest of method, path and body.

    Each part is preceded by its length, so that two requests whose parts
    differ but concatenate to the same bytes get different digests.
    """
    digest = hashlib.sha256()
    for part in (request.method.encode(), request.path, request.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def scope_key(request):
    """Returns the key to claim, prefixed with the service.

    The prefix keeps equal idempotency keys of two services apart.
    """
    return f"{request.service}/{request.key}"

"""Tests of the compact sets of key hashes."""

import json

from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonport import key_sets
from wigeonport.key_sets import KeySet, hash_key, key_set_from_document

DAY_MS = 24 * 3_600_000
HOUR_MS = 3_600_000


@given(
    items=st.lists(
        st.tuples(st.integers(0, 300), st.integers(0, 30)), max_size=80
    ),
    expiry_hour=st.integers(0, 60),
)
@settings(max_examples=100, derandomize=True, deadline=None)
def test_set_agrees_with_a_model(items, expiry_hour):
    """Merges, expiry and snapshots must not lose keys or keep old ones.

    A dict serves as the model.
    """
    keys, model = KeySet(DAY_MS), {}
    for number, hour in items:
        keys.add(hash_key(str(number)), hour * HOUR_MS)
        model.setdefault(number, hour)
    keys.expire(expiry_hour * HOUR_MS)
    kept = {n for n, hour in model.items() if hour >= expiry_hour - 24}
    document = json.loads(json.dumps(keys.to_document()))
    reloaded = key_set_from_document(document, DAY_MS)
    for key_set in (keys, reloaded):
        assert key_set.count == len(kept)
        assert {n for n in range(301) if hash_key(str(n)) in key_set} == kept
    assert reloaded.to_document() == document


def test_many_keys_are_merged(monkeypatch):
    """Merging a bucket must not lose keys or count a key twice."""
    monkeypatch.setattr(key_sets, "MIN_MERGE_HASHES", 16)
    keys = KeySet(DAY_MS)
    for number in range(1_000):
        keys.add(hash_key(str(number)), 0)
        keys.add(hash_key(str(number)), HOUR_MS)
    assert keys.count == 1_000
    assert all(hash_key(str(n)) in keys for n in range(1_000))
    assert hash_key("absent") not in keys
    assert keys.size_bytes() == 8_000


def test_hash_separates_its_texts():
    """Two pairs whose joined texts are equal must have different hashes."""
    assert hash_key("ab", "c") != hash_key("a", "bc")
    assert hash_key("ab") != hash_key("ab", "")

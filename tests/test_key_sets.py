"""Tests of the compact sets of keys."""

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
    later=st.integers(0, 60),
)
@settings(max_examples=100, derandomize=True, deadline=None)
def test_set_agrees_with_a_plain_one(items, later):
    """Guards against keys that are lost by merging or by a snapshot."""
    keys, model = KeySet(DAY_MS), {}
    for number, hour in items:
        keys.add(hash_key(str(number)), hour * HOUR_MS)
        model.setdefault(number, hour)
    keys.expire(later * HOUR_MS)
    kept = {n for n, hour in model.items() if hour >= later - 24}
    document = json.loads(json.dumps(keys.to_document()))
    again = key_set_from_document(document, DAY_MS)
    for found in (keys, again):
        assert found.count == len(kept)
        assert {n for n in range(301) if hash_key(str(n)) in found} == kept
    assert again.to_document() == document


def test_many_keys_are_merged(monkeypatch):
    """Guards against keys that get lost when a bucket is merged."""
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
    """Guards against two pairs that look the same when joined."""
    assert hash_key("ab", "c") != hash_key("a", "bc")
    assert hash_key("ab") != hash_key("ab", "")

"""Tests of the encoding of a state's document in a snapshot."""

import json

from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonport.snapshots import (
    MAX_SLICE_ITEMS,
    MAX_SLICED_DEPTH,
    decode_state,
    encode_slices,
    encode_state,
)

DOCUMENTS = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=4), inner, max_size=4)
    ),
    max_leaves=12,
)


@given(document=DOCUMENTS, repeats=st.sampled_from([1, 127, 128, 129, 400]))
@settings(max_examples=100, derandomize=True, deadline=None)
def test_pieces_form_the_same_document(document, repeats):
    """Fails if the encoding in pieces loses or changes part of the state."""
    whole = {"list": [document] * repeats, "one": document}
    assert decode_state(encode_state(whole)) == whole
    text = "".join(encode_slices(whole, MAX_SLICED_DEPTH))
    assert text == json.dumps(whole, separators=(",", ":"))


def test_long_lists_are_encoded_in_short_pieces():
    """Fails if one call of the JSON encoder gets a long list as a whole.

    Such a call holds the interpreter lock and delays the heartbeats.
    """
    document = {"claims": {"rows": [["x" * 100]] * 10_000}}
    longest = max(
        len(piece) for piece in encode_slices(document, MAX_SLICED_DEPTH)
    )
    assert longest < 2 * MAX_SLICE_ITEMS * 105

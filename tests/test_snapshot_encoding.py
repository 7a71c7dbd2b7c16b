"""Tests of the bytes of a snapshot's document."""

import json

from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonport.snapshots import (
    GROUP_ITEMS,
    decode_state,
    encode_state,
    json_pieces,
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
    """Guards against a snapshot that loses or changes state."""
    whole = {"list": [document] * repeats, "one": document}
    assert decode_state(encode_state(whole)) == whole
    text = "".join(json_pieces(whole))
    assert text == json.dumps(whole, separators=(",", ":"))


def test_long_lists_are_encoded_in_short_pieces():
    """Guards against one call that holds up the event loop."""
    document = {"claims": {"rows": [["x" * 100]] * 10_000}}
    longest = max(len(piece) for piece in json_pieces(document))
    assert longest < 2 * GROUP_ITEMS * 105

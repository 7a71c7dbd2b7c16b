"""Tests of the YAML reader and its line numbers."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonport.yaml_documents import dump, load_bytes, load_file


def test_lines_are_kept():
    """Findings must point at the line of their key.

    A key that is missing points at the line of its parent.
    """
    loaded = load_bytes(b"# note\na:\n  - b: 1\n  - {c: 2}\n", "x").ok
    assert loaded.value == {"a": [{"b": 1}, {"c": 2}]}
    assert loaded.source_map.at(("a", 1, "c")) == "x:4: a[1].c"
    assert loaded.source_map.at(("a", 0, "absent")) == "x:3: a[0].absent"


@pytest.mark.parametrize(
    ("data", "text"),
    [
        (b"a: 1\na: 2\n", "x:1: a: the key is repeated at line 2"),
        (b"a: [1\n", "is not valid YAML"),
        (b"\xff\xfe\xfa", "is not UTF-8"),
        (b"a: \x00", "is not valid YAML"),
        (b"a: 2001-12-14\n", "x:1: a: has the unsupported type"),
        (b"a: 2001-99-99\n", "has the unsupported type"),
        (b"1: a\n", "the key is not a text"),
        (b"a: &b [*b]\n", "x:1: a[0]: the alias refers to"),
        (b"a: !!int x\n", "'x' does not fit its type"),
        (b"a: !!python/object:os.system {}\n", "unsupported type"),
        (b"[" * 2_000, "is nested deeper"),
        (b"--- 1\n--- 2\n", "is not valid YAML"),
    ],
)
def test_malformed_yaml_is_a_finding(data, text):
    """Malformed YAML must be a finding, not a traceback or endless work."""
    loaded = load_bytes(data, "x")
    assert text in str(loaded.error)


def test_expanding_aliases_are_refused():
    """Nested aliases could expand a small file to gigabytes."""
    lines = ["a0: &a0 [1, 1, 1, 1, 1, 1, 1, 1, 1]"]
    for n in range(1, 9):
        aliases = ", ".join([f"*a{n - 1}"] * 9)
        lines.append(f"a{n}: &a{n} [{aliases}]")
    loaded = load_bytes("\n".join(lines).encode(), "x")
    assert "too large" in str(loaded.error)


def test_missing_file_is_a_finding(tmp_path):
    """A wrong file name must be a finding, not a traceback."""
    name = str(tmp_path / "absent.yaml")
    assert "No such file" in str(load_file(name).error)


@given(data=st.binary(max_size=60))
@settings(max_examples=150, derandomize=True, deadline=None)
def test_any_bytes_give_a_document_or_findings(data):
    """Arbitrary bytes must give findings at worst, not a traceback."""
    loaded = load_bytes(data, "x")
    assert loaded.is_ok() or loaded.error.lines()


@given(text=st.text(alphabet="ab:-[]{}&*!|>'\"#%@? \n01~", max_size=40))
@settings(max_examples=200, derandomize=True, deadline=None)
def test_any_text_gives_a_document_or_findings(text):
    """Text that is almost YAML must give findings, not a traceback."""
    loaded = load_bytes(text.encode(), "x")
    assert loaded.is_ok() or loaded.error.lines()


@given(
    value=st.recursive(
        st.none()
        | st.booleans()
        | st.integers()
        | st.floats(allow_nan=False)
        | st.text(),
        lambda inner: st.lists(inner, max_size=3),
        max_leaves=6,
    )
)
@settings(max_examples=60, derandomize=True, deadline=None)
def test_dumped_yaml_reads_the_same(value):
    """A value that is written as YAML must read back unchanged."""
    assert load_bytes(dump({"a": value}).encode(), "x").ok.value == {
        "a": value
    }

"""Tests of the settings, their checks and the credentials."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonport.control_main import make_replica_settings
from wigeonport.credentials import load_keys, load_tokens
from wigeonport.setting_tables import SETTING_FIELDS
from wigeonport.settings import (
    check_files,
    key_id,
    load_settings,
    settings_from_document,
)
from wigeonport.yaml_documents import dump

SECRET = "0123456789abcdef"


@pytest.fixture
def document():
    """The smallest valid settings document."""
    return {
        "node_id": "ikeja-1",
        "cluster_id": "lagos",
        "availability_zone": "ikeja",
        "voters": ["ikeja-1"],
        "data_dir": "data",
        "key_files": ["links-1.key"],
        "peers": [
            {
                "node_id": "lekki-1",
                "availability_zone": "lekki",
                "host": "10.0.0.2",
            }
        ],
    }


def write(folder, name, document):
    """Writes a settings file and returns its path."""
    path = folder / name
    path.write_text(dump(document))
    return path


def test_defaults_fill_what_is_absent(document):
    """A field without a usable default would be missing at run time.

    The settings are also written out and read again without a change.
    """
    loaded = settings_from_document(document).ok
    assert loaded.callers_port == 8_080
    assert loaded.peers[0].control_links_port == 8_084
    assert loaded.is_voter()
    reloaded = settings_from_document(loaded.to_document()).ok
    assert reloaded == loaded


def test_defaults_of_the_table_pass_their_own_kinds(document):
    """A default that its own field refuses would break written settings."""
    defaults = {
        field.name: field.default
        for field in SETTING_FIELDS
        if field.name not in document
    }
    defaults["peers"] = []
    assert settings_from_document(defaults | document).is_ok()


def test_all_findings_carry_file_line_and_key_path(tmp_path, document):
    """All faults of a file must be reported at once, each with its line.

    Otherwise an operator needs one run per fault, and has to search for it.
    """
    document["callers_prot"] = 1
    document["queue_bound"] = "many"
    document["peers"][0]["port"] = 3
    path = write(tmp_path, "a.yaml", document)
    lines = load_settings(path).error.lines()
    assert len(lines) == 3
    assert f"{path}:14: callers_prot: unknown key" in lines[0]
    assert "did you mean 'callers_port'" in lines[0]
    assert f"{path}:15: queue_bound: expected a whole number" in lines[1]
    assert f"{path}:13: peers[0].port: unknown key" in lines[2]


@pytest.mark.parametrize(
    ("change", "text"),
    [
        ({"callers_port": 8_085}, "port 8085 is used by 'callers_port' too"),
        ({"voters": ["ikeja-1", "x"]}, "'x' is neither this VM nor a peer"),
        ({"voters": ["ikeja-1", "lekki-1"]}, "name 1, 3 or 5 voters, not 2"),
        ({"data_dir": None}, "a voter needs a data_dir"),
        ({"key_files": []}, "name at least one key file"),
        ({"key_files": ["a/k.key", "b/k.key"]}, "'k' is used twice"),
        ({"election_timeout_ms": 399}, "twice replication_heartbeat_ms"),
        ({"log_level": "loud"}, "use one of debug, info"),
        ({"node_id": "lekki-1"}, "'lekki-1' is also the node id of this VM"),
        ({"retry_budget_share": 2}, "above the largest value 1"),
        ({"host": None}, "host: expected a text, found nothing"),
    ],
)
def test_checks_refuse_conflicting_settings(document, change, text):
    """Settings that contradict each other must be refused at the start.

    Otherwise they fail only when the program uses them.
    """
    assert text in str(settings_from_document(document | change).error)


def test_files_of_one_cluster_are_compared(tmp_path, document):
    """Files of one cluster must agree on voters, node ids and addresses.

    Otherwise VMs form different clusters or cannot reach each other.
    """
    other = document | {
        "node_id": "lekki-1",
        "availability_zone": "lekki",
        "host": "10.0.0.2",
        "control_links_port": 9_000,
        "voters": ["lekki-1"],
        "peers": [],
    }
    paths = [
        write(tmp_path, "a.yaml", document),
        write(tmp_path, "b.yaml", other),
        write(tmp_path, "c.yaml", other),
    ]
    text = str(check_files(paths).error)
    assert f"{paths[1]}: voters: differ from those in {paths[0]}" in text
    assert "peers[0].control_links_port: is 8084, but 'lekki-1' has" in text
    assert f"'lekki-1' is also the node id in {paths[1]}" in text


def test_missing_file_is_one_finding(tmp_path):
    """A wrong file name must be a finding, not a traceback."""
    text = str(check_files([tmp_path / "absent.yaml"]).error)
    assert "No such file" in text


@given(
    changes=st.dictionaries(
        st.sampled_from([field.name for field in SETTING_FIELDS]),
        st.none()
        | st.booleans()
        | st.integers()
        | st.floats()
        | st.text(max_size=9)
        | st.lists(st.text(max_size=3), max_size=2)
        | st.lists(st.dictionaries(st.text(max_size=2), st.none())),
        max_size=3,
    )
)
@settings(max_examples=300, derandomize=True, deadline=None)
def test_any_value_gives_settings_or_findings(changes):
    """A malformed value must be a finding, not a traceback."""
    base = {"node_id": "a", "cluster_id": "c", "availability_zone": "z"}
    loaded = settings_from_document(base | changes)
    assert loaded.is_ok() or loaded.error.lines()


@given(value=st.none() | st.text() | st.lists(st.none()) | st.integers())
@settings(max_examples=30, derandomize=True, deadline=None)
def test_any_top_level_value_gives_findings(value):
    """A file that holds no mapping must be a finding, not a traceback."""
    assert settings_from_document(value).error.lines()


def test_keys_keep_the_order_of_rotation(tmp_path):
    """The keys must keep the order of their files.

    The first one signs. In another order a rotation would sign with a key
    that other VMs may not have yet.
    """
    for name in ("links-2.key", "links-1.key"):
        (tmp_path / name).write_text(f"{SECRET}-{name}\n")
    paths = [str(tmp_path / n) for n in ("links-2.key", "links-1.key")]
    keys = load_keys(paths).ok
    assert list(keys) == ["links-2", "links-1"]
    assert keys["links-1"] == f"{SECRET}-links-1.key".encode()


def test_short_or_missing_keys_are_findings(tmp_path):
    """A short or missing key must be a finding.

    Otherwise anybody could join a link, without a key or by guessing it.
    """
    (tmp_path / "short.key").write_text("short")
    paths = [str(tmp_path / n) for n in ("short.key", "absent.key")]
    assert len(load_keys(paths).error.items) == 2


@pytest.mark.parametrize(
    ("path", "expected"),
    [("run/a.key", "a"), ("a", "a"), (".key", ".key"), ("x/a.b.c", "a.b")],
)
def test_key_id_is_the_file_name(path, expected):
    """The key id must depend on the file name only.

    VMs keep the same key in different folders; with different key ids they
    would refuse each other.
    """
    assert key_id(path) == expected


def test_tokens_name_their_operator(tmp_path):
    """Only a whole known token may be accepted, for its own operator."""
    path = tmp_path / "tokens"
    path.write_text(f"# operators\nada {SECRET}\n\nbayo {SECRET}2\n")
    tokens = load_tokens(str(path)).ok
    assert tokens.find(f"{SECRET}2") == "bayo"
    assert tokens.find(SECRET + " ") is None
    assert tokens.find("") is None
    assert tokens.find("\ud800") is None


@pytest.mark.parametrize("text", ["", "ada\n", "ada short\n", "a b c\n"])
def test_malformed_token_file_is_refused(tmp_path, text):
    """A token file that is empty or malformed must be refused.

    Otherwise an empty or short token would be accepted.
    """
    path = tmp_path / "tokens"
    path.write_text(text)
    assert load_tokens(str(path)).is_error()


def test_voters_of_the_log_follow_the_settings(document):
    """The replica must use ``voter_count`` and ``replace_voter_ms``.

    With three voters, of which a failed one was not replaced, accepted jobs
    were lost.
    """
    small = make_replica_settings(settings_from_document(document).ok)
    assert small.target_voters == len(document["voters"])
    assert small.replace_voter_ms == 60_000
    document |= {"voter_count": 5, "replace_voter_ms": 2_000}
    large = make_replica_settings(settings_from_document(document).ok)
    assert (large.target_voters, large.replace_voter_ms) == (5, 2_000)

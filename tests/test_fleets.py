"""Tests of fleet versions, their document form and their checks."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonport.fleets import fleet_from_document

MS_PER_HOUR = 3_600_000
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)


def test_document_round_trip_keeps_every_field(fleet):
    """Fails if a field is lost when a fleet is written and read again.

    Snapshots store the fleet in this form.
    """
    document = json.loads(json.dumps(fleet.to_document()))
    read_back = fleet_from_document(document).ok
    assert read_back.to_document() == document
    assert read_back.services["notices"].max_unavailable_share == 0.5
    assert read_back.workers["vm-3"].pool == "roster"


def test_all_faults_are_reported_with_their_key_paths(fleet_document):
    """Fails if the checks stop at the first fault of a document."""
    fleet_document["workers"][0]["pool"] = "absent"
    fleet_document["workers"][1]["rack"] = "ikeja-r1"
    fleet_document["services"][0]["max_unavailable"] = None
    fleet_document["spare_pool"] = "absent"
    fleet_document["windows"][0]["day"] = "sunday"
    lines = fleet_from_document(fleet_document).error.lines()
    for start in (
        "workers.vm-1.pool: ",
        "workers.vm-2.rack: ",
        "services.roster: ",
        "spare_pool: ",
        "windows.ikeja-night.day: ",
    ):
        assert any(line.startswith(start) for line in lines), start


def test_unknown_key_names_the_nearest(fleet_document):
    """Fails if a misspelt key is silently ignored."""
    fleet_document["services"][0]["max_unavailabel"] = 1
    lines = fleet_from_document(fleet_document).error.lines()
    assert lines[0].startswith("services[0].max_unavailabel: unknown key")
    assert "did you mean 'max_unavailable'" in lines[0]


def test_vm_listed_twice_is_refused(fleet_document):
    """Fails if a fleet with the same VM in two pools is accepted (R2)."""
    twice = dict(fleet_document["workers"][0], pool="notices")
    fleet_document["workers"].append(twice)
    text = str(fleet_from_document(fleet_document).error)
    assert "workers[8].id: 'vm-1' is defined twice" in text


def test_capacity_above_the_pool_size_is_refused(fleet_document):
    """Fails if more workers may be promised than the pool has (R1)."""
    fleet_document["services"][0]["capacity_workers"] = 5
    text = str(fleet_from_document(fleet_document).error)
    assert "has 4 workers, its services are promised 5" in text


@pytest.mark.parametrize(
    ("workers", "allowed"), [(4, 1), (3, 0), (2, 0), (40, 1)]
)
def test_budget_never_cuts_into_the_promised_capacity(fleet, workers, allowed):
    """Fails if the budget leaves less than the promised capacity (R1).

    With fewer workers than promised plus budget, fewer may be unavailable.
    """
    assert fleet.services["roster"].allowed_unavailable(workers) == allowed


def test_share_budget_rounds_down(fleet):
    """Fails if a share is rounded up to a larger budget than set (R1)."""
    service = fleet.services["notices"]
    assert [service.allowed_unavailable(n) for n in (0, 1, 3, 7)] == [
        0,
        0,
        1,
        3,
    ]


def test_window_runs_past_midnight(fleet):
    """Fails if a window closes at the end of the day on which it opens."""
    window = fleet.windows["ikeja-night"]
    open_hours = [h for h in range(48) if window.contains(h * MS_PER_HOUR)]
    assert open_hours == [0, 23, 24, 47]


def test_window_of_one_day_belongs_to_the_day_it_opens(fleet):
    """Fails if a window that runs past midnight opens on the wrong day."""
    window = fleet.windows["ikeja-night"]
    window.day = "thu"  # 1970-01-01 was a Thursday.
    open_hours = [h for h in range(7 * 24) if window.contains(h * MS_PER_HOUR)]
    assert open_hours == [23, 24]


@given(document=JSON)
@settings(max_examples=100, derandomize=True, deadline=None)
def test_any_document_gives_a_fleet_or_findings(document):
    """Fails if a malformed document raises an exception."""
    result = fleet_from_document(document)
    assert result.is_ok() or result.error.lines()


@given(
    section=st.sampled_from(["workers", "services", "windows", "pools"]),
    value=JSON,
    data=st.data(),
)
@settings(max_examples=150, derandomize=True, deadline=None)
def test_any_field_value_gives_a_fleet_or_findings(section, value, data):
    """Fails if one malformed value in a record raises an exception."""
    document = SAMPLE_RECORDS[section]
    key = data.draw(st.sampled_from(sorted(document)))
    result = fleet_from_document({section: [dict(document, **{key: value})]})
    assert result.is_ok() or result.error.lines()


SAMPLE_RECORDS = {
    "workers": {
        "id": "vm-1",
        "zone": "ikeja",
        "rack": "r1",
        "processors": 16,
        "memory_mb": 1_024,
        "accelerators": 0,
        "pool": "roster",
    },
    "services": {
        "id": "roster",
        "pool": "roster",
        "capacity_workers": 3,
        "max_unavailable": 1,
        "max_unavailable_share": 0.5,
    },
    "windows": {
        "id": "night",
        "zone": "ikeja",
        "day": "mon",
        "start_minute": 3,
        "duration_minutes": 120,
    },
    "pools": {"id": "roster", "team": "plans"},
}

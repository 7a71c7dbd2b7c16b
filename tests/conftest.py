"""Fixtures shared by the tests."""

import pytest

from wigeonport.clocks import ManualClock
from wigeonport.fleets import fleet_from_document


@pytest.fixture
def clock():
    """A manual clock that starts at 1 s, so that 0 is in the past."""
    return ManualClock(now_ms=1_000)


@pytest.fixture
def fleet_document():
    """A small fleet: two zones, two pools of four workers, two services."""
    workers = [
        {
            "id": f"vm-{number}",
            "zone": "ikeja" if number % 2 else "lekki",
            "rack": "ikeja-r1" if number % 2 else "lekki-r1",
            "processors": 16,
            "memory_mb": 32_768,
            "pool": "roster" if number <= 4 else "notices",
        }
        for number in range(1, 9)
    ]
    service = {"capacity_workers": 3, "max_unavailable": 1}
    return {
        "version": 1,
        "spare_pool": "notices",
        "regions": [{"id": "lagos"}],
        "zones": [
            {"id": "ikeja", "region": "lagos"},
            {"id": "lekki", "region": "lagos"},
        ],
        "racks": [
            {"id": "ikeja-r1", "zone": "ikeja"},
            {"id": "lekki-r1", "zone": "lekki"},
        ],
        "pools": [{"id": "roster", "team": "plans"}, {"id": "notices"}],
        "workers": workers,
        "services": [
            {"id": "roster", "pool": "roster", **service},
            {
                "id": "notices",
                "pool": "notices",
                "capacity_workers": 1,
                "max_unavailable_share": 0.5,
                "repeatable": True,
            },
        ],
        "teams": [{"id": "plans", "processors": 64, "memory_mb": 131_072}],
        "windows": [
            {
                "id": "ikeja-night",
                "zone": "ikeja",
                "start_minute": 1_380,
                "duration_minutes": 120,
            }
        ],
    }


@pytest.fixture
def fleet(fleet_document):
    """The fleet of ``fleet_document``."""
    return fleet_from_document(fleet_document).ok

"""Fixtures shared by the tests."""

import pytest

from wigeonport.clocks import ManualClock

pytest_plugins = ["planning_fixtures"]


@pytest.fixture
def clock():
    """A manual clock that starts at 1 s, so that 0 is in the past."""
    return ManualClock(now_ms=1_000)

"""Tests of the limits of a process whose machine is not stated."""

import math

import pytest

from wigeonport.client_limits import (
    MIN_JOB_BYTES,
    derive_job_bytes,
    derive_limits,
    derive_log_bytes,
)
from wigeonport.machine_limits import find_machine_limits


class StatedLimits:
    """The settings from which limits follow, with their defaults."""

    __slots__ = (
        "memory_mb",
        "max_descriptors",
        "max_client_bytes",
        "max_client_connections",
        "max_job_bytes",
        "body_stall_ms",
        "answer_stall_ms",
    )

    def __init__(self, **values):
        for name in self.__slots__:
            setattr(self, name, values.get(name, 0))


@pytest.fixture
def unstated():
    """Settings that state neither memory nor descriptors."""
    return StatedLimits()


def test_machine_that_is_not_stated_has_limits(unstated):
    """Guards against a process without a bound.

    It took 459 MB beside a crowd that a stated machine of 200 MB bears.
    """
    machine = find_machine_limits(unstated)
    assert machine.memory_mb > 0
    assert machine.max_descriptors > 0
    limits = derive_limits(unstated, machine)
    assert limits.held_bytes < machine.memory_mb * 1024 * 1024 / 2
    assert limits.connections < math.inf
    assert derive_job_bytes(unstated, machine) < math.inf


def test_stated_machine_counts():
    """Guards against limits of a machine that the process does not run on."""
    stated = StatedLimits(memory_mb=296, max_descriptors=4_096)
    machine = find_machine_limits(stated)
    assert (machine.memory_mb, machine.max_descriptors) == (296, 4_096)
    assert derive_job_bytes(stated, machine) == 29 * 1024 * 1024
    assert derive_log_bytes(machine) > 19 * 1024 * 1024


def test_small_machine_still_holds_the_largest_job(unstated):
    """Guards against a legal job that a small control never accepts."""
    stated = StatedLimits(memory_mb=64, max_descriptors=100)
    machine = find_machine_limits(stated)
    assert derive_job_bytes(stated, machine) == MIN_JOB_BYTES

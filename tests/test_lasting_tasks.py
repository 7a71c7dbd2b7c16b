"""Lasting tasks run whenever there is room, on simulated days."""

import pytest
from lasting_simulations import AFTER_MS, LastingSimulation


@pytest.mark.parametrize("seed", [152, 168, 253, 307])
def test_lasting_task_does_not_wait_beside_a_reserved_worker(seed):
    """Guards against a task that is to last and does not run.

    The only worker of its pool is reserved for a wave, and the pool has to
    grow.
    """
    simulation = LastingSimulation(seed)
    simulation.run(AFTER_MS)
    assert simulation.violations == []


def test_lasting_task_keeps_its_place_while_machines_are_short():
    """Guards against a task that an evacuation stops without another place.

    Both workers of its pool are reserved for waves, and no machine is on
    standby.
    """
    simulation = LastingSimulation(2039, standby=0, load=1.3)
    simulation.run(AFTER_MS)
    assert simulation.violations == []

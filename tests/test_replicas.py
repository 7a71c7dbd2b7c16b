"""Random schedules of requests and failures against the consensus core.

A longer run, of 20,000 schedules from seed 1,000 on:

    WIGEONPORT_FIRST_SEED=1000 WIGEONPORT_SCHEDULES=20000 \
        python -m pytest tests/test_replicas.py -s
"""

import os

from failure_schedules import PowerLossSchedule, Schedule
from network_simulations import Network

# A schedule takes about 0.1 s, and CI runs all tests on every change.
CI_SCHEDULES = 60


def test_schedules_keep_every_acknowledged_proposal(capsys):
    """Guards against two leaders in a term, diverging logs and lost proposals.

    They come about when crashes, lost disks, partitions, pauses and message
    loss meet elections, snapshots and changes of members.
    """
    first_seed = int(os.environ.get("WIGEONPORT_FIRST_SEED", 0))
    count = int(os.environ.get("WIGEONPORT_SCHEDULES", CI_SCHEDULES))
    acknowledged = installs = losses = terms = 0
    for seed in range(first_seed, first_seed + count):
        try:
            network = Schedule(seed).run()
        except Exception as error:
            raise AssertionError(f"schedule with seed {seed}") from error
        acknowledged += len(network.acknowledged)
        installs += network.installs
        losses += len(network.lost_replica_ids)
        terms += len(network.leaders)
    with capsys.disabled():
        print(
            f"\n{count} schedules: {acknowledged} acknowledged proposals, "
            f"{terms} terms, {installs} snapshots installed, "
            f"{losses} logs lost"
        )
    assert min(acknowledged, installs, losses, terms) >= count // 2


def test_power_losses_keep_every_acknowledged_proposal(capsys):
    """Guards against records that are lost after a restart has read them.

    A process that is killed leaves unsynced writes, its restart reads them,
    and a loss of power follows in which another voter loses its disk.
    """
    first_seed = int(os.environ.get("WIGEONPORT_FIRST_SEED", 0))
    count = int(os.environ.get("WIGEONPORT_SCHEDULES", CI_SCHEDULES))
    acknowledged = unsynced_restarts = losses = 0
    for seed in range(first_seed, first_seed + count):
        try:
            network = PowerLossSchedule(seed).run()
        except Exception as error:
            raise AssertionError(f"schedule with seed {seed}") from error
        acknowledged += len(network.acknowledged)
        unsynced_restarts += network.unsynced_restarts
        losses += len(network.lost_replica_ids)
    with capsys.disabled():
        print(
            f"\n{count} schedules with power losses: {acknowledged} "
            f"acknowledged proposals, {unsynced_restarts} restarts that read "
            f"unsynced records, {losses} logs lost"
        )
    assert min(acknowledged, unsynced_restarts, losses) >= count // 2


def test_schedules_find_a_recovery_that_syncs_nothing():
    """Fails if the schedules no longer cause the failure they guard against.

    Without the sync of what a restart reads, the loss of power must break a
    rule in one of the schedules that CI runs.
    """
    violations = []
    for seed in range(CI_SCHEDULES):
        network = Network(seed, recovery_syncs=False)
        try:
            PowerLossSchedule(seed, network).run()
        except AssertionError as error:
            violations.append(f"seed {seed}: {error}")
            break
    assert violations

"""Random schedules of requests and failures against the consensus core.

A longer run, of 20,000 schedules from seed 1,000 on:

    WIGEONPORT_FIRST_SEED=1000 WIGEONPORT_SCHEDULES=20000 \
        python -m pytest tests/test_replicas.py -s
"""

import os

from failure_schedules import Schedule

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

"""Tests of the reports of a replica that knows no leader."""

import random
import shutil

import logbook
import pytest
import trio
from consensus_groups import SEEDS

from wigeonport.leader_absences import (
    REPORT_INTERVAL_MS,
    LeaderAbsence,
    has_leader,
)
from wigeonport.memberships import Member, Members
from wigeonport.replica_events import (
    HardState,
    RecoveredState,
    Snapshot,
    Tick,
)
from wigeonport.replicas import Replica
from wigeonport.replication_messages import Append


@pytest.fixture
def log_records():
    """The log records that are written during a test."""
    handler = logbook.TestHandler()
    with handler.applicationbound():
        yield handler.records


def fields_of(records, message):
    """Returns the fields of the records with a message."""
    return [each.extra for each in records if each.message == message]


def test_absence_is_reported_at_intervals_until_a_leader_is_known():
    """Fails if a lasting absence is silent, or reported at each round."""
    absence = LeaderAbsence(1_000)
    reports = [
        (now_ms, absence.update(False, now_ms))
        for now_ms in range(1_000, 1_000 + 3 * REPORT_INTERVAL_MS, 100)
    ]
    due = [(now_ms, length) for now_ms, length in reports if length]
    assert due == [
        (1_000 + REPORT_INTERVAL_MS, REPORT_INTERVAL_MS),
        (1_000 + 2 * REPORT_INTERVAL_MS, 2 * REPORT_INTERVAL_MS),
    ]
    assert absence.update(True, 20_000) is None
    assert absence.update(False, 20_100) is None
    assert absence.update(False, 20_100 + REPORT_INTERVAL_MS - 1) is None
    last_ms = 20_100 + REPORT_INTERVAL_MS
    assert absence.update(False, last_ms) == REPORT_INTERVAL_MS


@pytest.mark.parametrize("durable", [True, False])
def test_learner_without_contact_has_no_leader(durable):
    """Fails if a learner that is cut off counts as one with a leader."""
    learner = Member("d/1", False, durable)
    voters = [Member(f"{node}/1", True, True) for node in SEEDS]
    snapshot = Snapshot(9, 1, Members([*voters, learner]), b"")
    replica = Replica(
        "d/1",
        SEEDS,
        durable,
        RecoveredState(HardState(1, ""), snapshot, []),
        0,
        random.Random(1),
        None,
    )
    replica.step(Append(1, "a/1", "d/1", 9, 1, [], 9, 1, 0), 0)
    assert has_leader(replica)
    for now_ms in range(0, 5_000, 50):
        replica.step(Tick(), now_ms)
    assert not has_leader(replica)


def test_lost_quorum_names_the_voters_and_what_they_start_from(
    run_group, log_records
):
    """Fails if the logs of a lost quorum do not show which data is missing.

    Two of three directories are emptied. The third replica must name the
    voters that it needs, and the starts of all three must show their ids.
    """

    async def scenario(group):
        for node in SEEDS:
            await group.start(node)
        leader = await group.leader()
        await group.claim(leader, "k")
        before = {node: group.tasks[node].replica.replica_id for node in SEEDS}
        assert group.tasks[leader].metrics.gauges["consensus_has_leader"] == 1
        for node in SEEDS:
            await group.stop(node)
        for node in SEEDS[1:]:
            shutil.rmtree(group.directory / node)
        log_records.clear()
        for node in SEEDS:
            await group.start(node)
        with trio.fail_after(4 * REPORT_INTERVAL_MS / 1_000):
            while len(fields_of(log_records, "No leader known.")) < len(SEEDS):
                await trio.sleep(0.05)
        survivor = group.tasks["a"]
        assert survivor.metrics.gauges["consensus_has_leader"] == 0
        reports = {
            fields["replica"]: fields
            for fields in fields_of(log_records, "No leader known.")
        }
        report = reports[before["a"]]
        assert report["voters"] == ",".join(sorted(before.values()))
        assert report["votes"] == before["a"]
        recovered = fields_of(log_records, "Data directory recovered.")
        assert [each["replica"] for each in recovered] == [before["a"]]
        assert recovered[0]["last"] == report["last"] > 0
        created = fields_of(log_records, "Data directory created.")
        created_ids = {each["replica"] for each in created}
        assert len(created_ids) == 2
        assert created_ids.isdisjoint(before.values())

    run_group(scenario)

"""Tests of the events that a process records from notices."""

import pytest
import trio

from wigeonport.channels import Mailbox
from wigeonport.clocks import LamportCounter
from wigeonport.consensus_requests import EntryApplied, LeadershipNotice
from wigeonport.endpoints import EndpointChanged, EndpointLost, EndpointRecord
from wigeonport.events import EventLog
from wigeonport.histories import record_history
from wigeonport.state_answers import PatchAccepted
from wigeonport.state_commands import SubmitPatch


@pytest.fixture
def record(clock):
    """Returns a function that records notices and returns their events."""

    def run(*notices):
        events = EventLog("entry/a", clock, LamportCounter(), 100)

        async def scenario():
            inbound = Mailbox("history", 10)
            for notice in notices:
                await inbound.put(notice)
            inbound.close()
            await record_history(inbound, events)

        trio.run(scenario)
        return [(event.kind, event.fields) for event in events.ring][1:]

    return run


def test_changes_of_endpoints_are_recorded(record):
    """An endpoint that leaves or is lost must appear in the time line.

    Otherwise an operator can't see why its work stopped.
    """
    leaving = EndpointRecord(
        "e1", "roster", "ikeja", "127.0.0.1", 1, 8, 64, "leaving", 1, 2
    )
    assert record(EndpointChanged(leaving, "entry/b")) == [
        (
            "endpoint.leaving",
            {
                "endpoint": "e1",
                "service": "roster",
                "zone": "ikeja",
                "owner": "entry/b",
            },
        )
    ]
    lost = record(EndpointLost("e1", "roster"))
    assert lost == [("endpoint.lost", {"endpoint": "e1"})]


def test_committed_patches_and_leaders_are_recorded(record):
    """The patch that made a version must appear in the time line.

    So must the election of a leader.
    """
    applied = EntryApplied(7, 2, SubmitPatch("{}"), PatchAccepted("p1", 3))
    (kind, fields), (change, leader) = record(
        applied, LeadershipNotice(2, "a/1")
    )
    assert (kind, fields["patch"], fields["version"]) == (
        "log.SubmitPatch",
        "p1",
        3,
    )
    assert (change, leader["term"]) == ("leader.changed", 2)


def test_notices_without_a_recorder_are_ignored(record):
    """A notice without a recorder must not end the task."""
    assert record(object()) == []

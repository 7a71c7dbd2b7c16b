"""Tests of the publisher and of how versions are applied."""

import pytest

from wigeonport.configurations import (
    STALE_WAIT_MS,
    ConfigRequest,
    ConfigUpdate,
    Configuration,
    Subscribe,
    VersionReport,
)
from wigeonport.links import Delivery, LinkClosed
from wigeonport.publishers import Publisher, VersionAccepted, handle


class RecordingSession:
    """Keeps the messages that were pushed over a link."""

    def __init__(self):
        self.pushed = []

    def submit(self, outgoing):
        """Takes a message."""
        self.pushed.append(outgoing.message)
        return True


@pytest.fixture
def publisher():
    """The publisher of a control that knows version 5."""
    publisher = Publisher(VersionReport("control/a", "ikeja", 1, 0))
    publisher.accept(VersionAccepted(5, b"{}"))
    return publisher


@pytest.fixture
def session():
    """A link to an entry."""
    return RecordingSession()


def deliver(publisher, session, message, now_ms=1):
    """Hands a message of the link to the publisher."""
    return handle(publisher, Delivery(message, None, session, 0), now_ms)


def test_restarted_process_is_not_shown_with_its_old_version(
    publisher, session
):
    """Guards against a status that hides that a process lags (R8)."""
    deliver(publisher, session, VersionReport("entry/b", "ikeja", 10, 5))
    deliver(publisher, session, Subscribe("entry/b", "ikeja", 20, 0))
    assert publisher.statuses["entry/b"].version == 0
    deliver(publisher, session, VersionReport("entry/b", "ikeja", 10, 5))
    assert publisher.statuses["entry/b"].version == 0


def test_reports_that_overtake_each_other_do_not_go_back(publisher, session):
    """Guards against a status that flaps between two controls' reports."""
    deliver(publisher, session, VersionReport("entry/b", "ikeja", 10, 5))
    deliver(publisher, session, VersionReport("entry/b", "ikeja", 10, 4))
    assert publisher.statuses["entry/b"].version == 5


def test_control_without_memory_learns_from_an_entry(session):
    """Guards against a cut-off zone that forgets the version in force."""
    publisher = Publisher(VersionReport("control/a", "ikeja", 1, 0))
    deliver(publisher, session, Subscribe("entry/b", "ikeja", 20, 7))
    assert isinstance(session.pushed[0], ConfigRequest)
    deliver(publisher, session, ConfigUpdate(7, b"{}", False))
    assert publisher.newest.version == 7
    assert publisher.newest.stale


def test_publisher_never_goes_back(publisher, session):
    """Guards against a lower version that reaches a subscriber."""
    deliver(publisher, session, Subscribe("entry/b", "ikeja", 20, 0))
    handle(publisher, VersionAccepted(4, b"{}"), 2)
    assert [update.version for update in session.pushed] == [5]


def test_version_in_force_never_goes_back():
    """Guards against a revert by a control that is behind (R8)."""
    configuration = Configuration()
    assert configuration.offer(ConfigUpdate(5, b"{}", False), 0).version == 5
    assert configuration.offer(ConfigUpdate(4, b"{}", False), 0) is None
    assert configuration.version == 5


def test_stale_version_waits_for_a_higher_one():
    """Guards against a start with a version below one that is at hand."""
    configuration = Configuration()
    assert configuration.offer(ConfigUpdate(4, b"{}", True), 0) is None
    assert configuration.offer(ConfigUpdate(6, b"{}", True), 10) is None
    assert configuration.settle(STALE_WAIT_MS - 1) is None
    assert configuration.settle(STALE_WAIT_MS).version == 6
    assert configuration.stale


def test_dead_process_is_not_reported_by_the_controls(publisher, session):
    """Guards against a dead entry that never shows as silent (R8).

    Two controls that reported it to each other kept its status fresh.
    """
    deliver(publisher, session, Subscribe("entry/b", "ikeja", 1, 5), 1)
    names = [r.node_id for r in publisher.own_reports(6_000)]
    assert names == ["control/a", "entry/b"]
    assert publisher.statuses["entry/b"].last_seen_ms == 6_000
    handle(publisher, LinkClosed("entry/b", session), 7_000)
    names = [r.node_id for r in publisher.own_reports(11_000)]
    assert names == ["control/a"]
    assert publisher.statuses["entry/b"].last_seen_ms == 6_000

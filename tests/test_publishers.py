"""Tests of the publisher and of the Configuration that applies versions."""

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
    """Session that records the messages pushed over a link."""

    def __init__(self):
        self.pushed = []

    def submit(self, outgoing):
        """Records a message."""
        self.pushed.append(outgoing.message)
        return True


@pytest.fixture
def publisher():
    """Publisher of a control that knows version 5."""
    publisher = Publisher(VersionReport("control/a", "ikeja", 1, 0))
    publisher.accept(VersionAccepted(5, b"{}"))
    return publisher


@pytest.fixture
def session():
    """Session of the link to an entry."""
    return RecordingSession()


def deliver(publisher, session, message, now_ms=1):
    """Passes a message of the link to the publisher."""
    return handle(publisher, Delivery(message, None, session, 0), now_ms)


def test_restarted_process_is_not_shown_with_its_old_version(
    publisher, session
):
    """The status shows that a restarted process lags (R8).

    A report of its previous run, received before or after the restart, must
    not hide that the new run applies no version yet.
    """
    deliver(publisher, session, VersionReport("entry/b", "ikeja", 10, 5))
    deliver(publisher, session, Subscribe("entry/b", "ikeja", 20, 0))
    assert publisher.statuses["entry/b"].version == 0
    deliver(publisher, session, VersionReport("entry/b", "ikeja", 10, 5))
    assert publisher.statuses["entry/b"].version == 0


def test_late_report_does_not_lower_the_version_of_a_process(
    publisher, session
):
    """A lower version in a late report of the same run is ignored.

    Reports arrive through several controls, so the status would otherwise
    alternate between their versions.
    """
    deliver(publisher, session, VersionReport("entry/b", "ikeja", 10, 5))
    deliver(publisher, session, VersionReport("entry/b", "ikeja", 10, 4))
    assert publisher.statuses["entry/b"].version == 5


def test_control_without_state_requests_the_version_of_an_entry(session):
    """A control without state obtains the version in force from an entry.

    Otherwise a zone without connection to the others would lose that version
    when its control restarts.
    """
    publisher = Publisher(VersionReport("control/a", "ikeja", 1, 0))
    deliver(publisher, session, Subscribe("entry/b", "ikeja", 20, 7))
    assert isinstance(session.pushed[0], ConfigRequest)
    deliver(publisher, session, ConfigUpdate(7, b"{}", False))
    assert publisher.newest.version == 7
    assert publisher.newest.stale


def test_publisher_ignores_a_lower_version(publisher, session):
    """A version lower than the newest is not pushed to subscribers.

    It fails if a control that is behind overwrites the newest version.
    """
    deliver(publisher, session, Subscribe("entry/b", "ikeja", 20, 0))
    handle(publisher, VersionAccepted(4, b"{}"), 2)
    assert [update.version for update in session.pushed] == [5]


def test_version_in_force_never_decreases():
    """A lagging control cannot revert the version in force (R8)."""
    configuration = Configuration()
    assert configuration.offer(ConfigUpdate(5, b"{}", False), 0).version == 5
    assert configuration.offer(ConfigUpdate(4, b"{}", False), 0) is None
    assert configuration.version == 5


def test_stale_version_waits_for_a_higher_one():
    """A process without a version applies the highest stale one offered.

    Applying the first offer at once would start the process with a lower
    version than a reachable control knows.
    """
    configuration = Configuration()
    assert configuration.offer(ConfigUpdate(4, b"{}", True), 0) is None
    assert configuration.offer(ConfigUpdate(6, b"{}", True), 10) is None
    assert configuration.apply_candidate(STALE_WAIT_MS - 1) is None
    assert configuration.apply_candidate(STALE_WAIT_MS).version == 6
    assert configuration.stale


def test_dead_process_is_not_reported_by_the_controls(publisher, session):
    """A dead entry is not reported as alive (R8).

    Two controls that reported it to each other kept updating its
    last_seen_ms, so that it never appeared as silent.
    """
    deliver(publisher, session, Subscribe("entry/b", "ikeja", 1, 5), 1)
    names = [r.node_id for r in publisher.local_reports(6_000)]
    assert names == ["control/a", "entry/b"]
    assert publisher.statuses["entry/b"].last_seen_ms == 6_000
    handle(publisher, LinkClosed("entry/b", session), 7_000)
    names = [r.node_id for r in publisher.local_reports(11_000)]
    assert names == ["control/a"]
    assert publisher.statuses["entry/b"].last_seen_ms == 6_000

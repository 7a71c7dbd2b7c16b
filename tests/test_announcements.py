"""Tests of the HTTP server for announcements."""

import json

import pytest
import trio

from wigeonport.announcements import AnnouncementApp
from wigeonport.channels import Mailbox
from wigeonport.metrics import Metrics

SCOPE = {"type": "http", "method": "POST", "path": "/v1/announcements"}
ANNOUNCEMENT = {
    "endpoint_id": "roster-1",
    "service": "roster",
    "availability_zone": "ikeja",
    "host": "127.0.0.1",
    "port": 9_000,
    "slots": 8,
    "connections": 64,
    "state": "ready",
    "incarnation": 1,
    "sequence": 1,
}


@pytest.fixture
def mailbox():
    """Mailbox of the endpoint table."""
    return Mailbox("announcements", 8)


def test_long_lived_request_ends_with_503_when_the_entry_stops(mailbox):
    """The stop of an entry must not wait for a long-lived request.

    An endpoint never ends that request, so waiting for it would use up the
    whole grace period.
    """
    sent, stopping = [], trio.Event()
    line = json.dumps(ANNOUNCEMENT).encode() + b"\n"
    events = [{"type": "http.request", "body": line, "more_body": True}]

    async def receive():
        if events:
            return events.pop()
        stopping.set()
        return await trio.sleep_forever()

    async def send(event):
        sent.append(event)

    app = AnnouncementApp(mailbox, Metrics(), stopping)
    trio.run(app, SCOPE, receive, send)
    assert sent[0]["status"] == 503
    assert mailbox.depth() == 1

"""Tests of the HTTP server for announcements."""

import json

import pytest
import trio

from wigeonport.announcements import AnnouncementApp, parse_announcement
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


@pytest.mark.parametrize(
    "change",
    [
        {"endpoint_id": "\ud800"},
        {"service": "\ud800"},
        {"service": []},
        {"availability_zone": "\udfff"},
        {"port": 70_000},
        {"port": 0},
        {"port": 2**70},
        {"port": "9000"},
        {"slots": True},
        {"slots": 1e999},
        {"connections": float("nan")},
        {"incarnation": 2**63},
        {"sequence": -1},
        {"state": ["ready"]},
        {"state": "asleep"},
        {"host": 2_130_706_433},
        {"host": ["127.0.0.1"]},
        {"host": "127.0.0.1:80"},
    ],
)
def test_malformed_announcement_is_refused(change):
    """Guards against an endpoint that other processes cannot be told of.

    What is accepted is passed on over the links and has to encode there.
    """
    text = json.dumps(ANNOUNCEMENT | change)
    assert parse_announcement(text).is_error()


@pytest.mark.parametrize("value", ["[" * 2_000 + "]" * 2_000, "9" * 4_000])
def test_malformed_announcement_ends_only_its_own_request(mailbox, value):
    """Guards against an entry that ends by one line of an endpoint."""
    sent, app = [], AnnouncementApp(mailbox, Metrics(), trio.Event())
    malformed = json.dumps(ANNOUNCEMENT | {"slots": 0}).replace(
        ": 0", f": {value}"
    )
    for text in (malformed, json.dumps(ANNOUNCEMENT)):
        events = [{"type": "http.request", "body": text.encode()}]

        async def receive(events=events):
            return events.pop()

        async def send(event):
            sent.append(event)

        trio.run(app, SCOPE, receive, send)
    statuses = [event["status"] for event in sent if "status" in event]
    assert statuses == [400, 200]
    assert mailbox.depth() == 1

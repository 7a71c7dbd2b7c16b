"""HTTP server for the announcements of endpoints.

An endpoint sends one JSON object per line, either in one long-lived request
or in a short request for each announcement.
"""

import ipaddress
import json

import trio
from expression import Result

from wigeonport.endpoints import STATES, Announced, EndpointRecord
from wigeonport.findings import Findings
from wigeonport.json_bodies import is_text
from wigeonport.logs import PartLogger
from wigeonport.servers import answer_lifespan, respond_json, send_response

logger = PartLogger("announcements")

ANNOUNCEMENTS_PATH = "/v1/announcements"
MAX_LINE_BYTES = 4_096
MAX_SLOTS = 10_000
MAX_CONNECTIONS = 100_000
MAX_PORT = 65_535
MAX_COUNTER = 2**53
MAX_TEXT_BYTES = 255
TEXT_FIELDS = ("endpoint_id", "service", "availability_zone", "host")
# Fields of an announcement in the order of EndpointRecord's parameters.
FIELDS = (
    "endpoint_id",
    "service",
    "availability_zone",
    "host",
    "port",
    "slots",
    "connections",
    "state",
    "incarnation",
    "sequence",
)
NUMBER_FIELDS = {
    "port": (1, MAX_PORT),
    "slots": (1, MAX_SLOTS),
    "connections": (1, MAX_CONNECTIONS),
    "incarnation": (0, MAX_COUNTER),
    "sequence": (0, MAX_COUNTER),
}


def parse_announcement(text) -> Result:
    """Parses and validates one announcement.

    Returns:
        A Result with the EndpointRecord of the JSON text, or with Findings
        that name each invalid field.
    """
    findings = Findings()
    try:
        document = json.loads(text)
    except (ValueError, RecursionError):
        findings.add("announcement", "is not JSON")
        return findings.result(None)
    if not isinstance(document, dict):
        findings.add("announcement", "is not an object")
        return findings.result(None)
    check_fields(document, findings)
    if findings:
        return findings.result(None)
    return findings.result(EndpointRecord(*(document[n] for n in FIELDS)))


def check_fields(document, findings):
    """Adds a finding for each missing, invalid or unknown field."""
    for name in TEXT_FIELDS:
        value = document.get(name)
        if not value or not is_text(value, MAX_TEXT_BYTES):
            findings.add(name, "must be a text of 1 to 255 bytes")
    for name, (minimum, maximum) in NUMBER_FIELDS.items():
        value = document.get(name)
        if type(value) is not int or not minimum <= value <= maximum:
            findings.add(name, f"must be a number, {minimum} to {maximum}")
    if document.get("state") not in STATES:
        findings.add("state", f"must be one of {', '.join(STATES)}")
    for name in sorted(document.keys() - set(FIELDS)):
        findings.add(name, "is not a known field")
    check_host(document.get("host"), findings)


def check_host(host, findings):
    """Adds a finding if the host is not an IP address."""
    try:
        ipaddress.ip_address(host)
    except ValueError:
        findings.add("host", "must be an IP address")


async def cancel_when_set(event, scope):
    """Cancels a scope as soon as an event is set."""
    await event.wait()
    scope.cancel()


class AnnouncementApp:
    """ASGI app that receives the announcements of endpoints.

    Attributes:
        outbound: Mailbox of the endpoint table, which receives Announced.
        metrics: Metrics of the process.
        stopping: trio.Event, set when the entry stops; it ends the
            long-lived requests.
    """

    __slots__ = ("outbound", "metrics", "stopping")

    def __init__(self, outbound, metrics, stopping):
        self.outbound = outbound
        self.metrics = metrics
        self.stopping = stopping

    async def __call__(self, scope, receive, send):
        """Handles one ASGI connection scope."""
        if scope["type"] == "lifespan":
            return await answer_lifespan(receive, send)
        if scope["type"] != "http":
            return None
        if scope["path"] != ANNOUNCEMENTS_PATH:
            response = respond_json(404, {"error": "no such path"})
            return await send_response(send, response)
        if scope["method"] != "POST":
            response = respond_json(405, {"error": "use POST"})
            return await send_response(send, response)
        return await self.read_until_stop(receive, send)

    async def read_until_stop(self, receive, send):
        """Reads one request until it ends or the entry stops.

        An endpoint never ends its long-lived request, so an entry that
        waited for it on shutdown would always use up the whole grace period.
        A request that the stop interrupts is answered with 503.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                cancel_when_set, self.stopping, nursery.cancel_scope
            )
            await self.read_lines(receive, send)
            nursery.cancel_scope.cancel()
            return
        response = respond_json(503, {"error": "this entry is stopping"})
        await send_response(send, response)

    async def read_lines(self, receive, send):
        """Handles each line of one request as soon as it is complete.

        The first invalid line ends the request with 400. Otherwise the
        answer is the number of accepted announcements.
        """
        partial_line, more, accepted = b"", True, 0
        while more:
            event = await receive()
            if event["type"] != "http.request":
                return None
            more = event.get("more_body", False)
            *lines, partial_line = (
                partial_line + event.get("body", b"")
            ).split(b"\n")
            if not more and partial_line:
                lines.append(partial_line)
            for line in lines:
                findings = await self.accept_announcement(line)
                if findings:
                    return await self.refuse(send, findings)
                accepted += 1
            if len(partial_line) > MAX_LINE_BYTES:
                return await self.refuse(send, ["announcement: is too long"])
        response = respond_json(200, {"accepted": accepted})
        return await send_response(send, response)

    async def accept_announcement(self, line):
        """Forwards a valid announcement to the endpoint table.

        Returns:
            The findings of an invalid announcement as texts, or an empty
            list.
        """
        parsed = parse_announcement(line)
        if parsed.is_error():
            return parsed.error.lines()
        self.metrics.count("announcements_accepted")
        await self.outbound.put(Announced(parsed.ok))
        return []

    async def refuse(self, send, findings):
        """Answers with 400 and all findings."""
        self.metrics.count("announcements_refused")
        logger.warning("Announcement refused.", reason="; ".join(findings))
        await send_response(send, respond_json(400, {"findings": findings}))

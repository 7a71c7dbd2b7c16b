"""The entry program: builds the chain from callers to endpoints."""

import random
import sys

import trio

from wigeonport.admissions import admit
from wigeonport.announcements import AnnouncementApp
from wigeonport.channels import REFUSE, Mailbox
from wigeonport.claims import (
    Claimer,
    ClaimLimits,
    ControlCaller,
    claim_keys,
)
from wigeonport.codecs import codecs
from wigeonport.configurations import Configuration, apply_updates
from wigeonport.connections import IdleConnections
from wigeonport.dialers import Dialer, listen
from wigeonport.dispatchers import Dispatcher, DispatchLimits, dispatch
from wigeonport.endpoints import EndpointTable, keep_table
from wigeonport.programs import start
from wigeonport.receivers import CallerApp, CallerLimits
from wigeonport.routers import Router, route
from wigeonport.servers import ProcessInfo, StatusApp, serve_http
from wigeonport.subscriptions import ControlLinks, sort_deliveries

CONTROL_LINKS = 3
ENDPOINT_CONNECTIONS = 64
MAX_ATTEMPTS = 3
TICK_MS = 100


class EntryMailboxes:
    """The channels of the entry, each with its bound.

    Attributes:
        deliveries: From the links to the sorter.
        configurations: From the sorter to the configuration filter.
        peers: From the sorter to the endpoint table.
        admissions: From the receivers to the admission filter; full means
            that callers are refused.
        claims: From the admission filter to the claims filter.
        routing: From all filters to the router.
        dispatches: From the router to the dispatcher.
        announcements: From the announcement edge to the endpoint table.
    """

    __slots__ = (
        "deliveries",
        "configurations",
        "peers",
        "admissions",
        "claims",
        "routing",
        "dispatches",
        "announcements",
    )

    def __init__(self, settings):
        bound = settings.mailbox_bound
        in_flight = settings.max_requests_in_flight
        self.deliveries = Mailbox("deliveries", bound)
        self.configurations = Mailbox("configurations", bound)
        self.peers = Mailbox("peers", bound)
        self.admissions = Mailbox("admissions", in_flight, REFUSE)
        self.claims = Mailbox("claims", bound)
        self.routing = Mailbox("routing", in_flight + bound)
        self.dispatches = Mailbox("dispatches", in_flight)
        self.announcements = Mailbox("announcements", bound)


def make_control_links(program, context, configuration):
    """Returns links to some controls, those nearest first."""
    settings = program.settings
    links = ControlLinks(context.identity, configuration)
    addresses = [(settings.host, settings.control_links_port)]
    own_zone = settings.availability_zone
    ranked = sorted(
        settings.peers, key=lambda peer: peer.availability_zone != own_zone
    )
    addresses += [(peer.host, peer.control_links_port) for peer in ranked]
    for host, port in addresses[:CONTROL_LINKS]:
        links.dialers.append(Dialer(context, host, port, links.subscribe))
    return links


def make_claimer(program, boxes, links):
    """Returns the claimer of keyed requests."""
    settings = program.settings
    limits = ClaimLimits(
        claim_timeout_ms=settings.claim_timeout_ms,
        try_timeout_ms=max(1, settings.claim_timeout_ms // 2),
        max_open=settings.max_requests_in_flight,
    )
    return Claimer(
        ControlCaller(links, program.clock),
        boxes.routing,
        codecs.get("thrift").ok(),
        limits,
        program.clock,
        program.metrics,
    )


def make_dispatcher(program, boxes):
    """Returns the dispatcher; the entries divide the connections evenly."""
    settings = program.settings
    entries = len(settings.peers) + 1
    limits = DispatchLimits(
        settings.connect_timeout_ms,
        settings.attempt_timeout_ms,
        settings.max_response_bytes,
    )
    return Dispatcher(
        IdleConnections(max(1, ENDPOINT_CONNECTIONS // entries)),
        boxes.routing,
        program.clock,
        program.metrics,
        limits,
    )


def start_filters(nursery, program, boxes, configuration, links):
    """Starts the filters of the chain."""
    settings, clock = program.settings, program.clock
    router = Router(
        settings.availability_zone, settings.queue_bound, MAX_ATTEMPTS
    )
    table = EndpointTable(settings.endpoint_expiry_ms)
    nursery.start_soon(
        sort_deliveries, boxes.deliveries, boxes.configurations, boxes.peers
    )
    nursery.start_soon(
        apply_updates,
        boxes.configurations,
        [boxes.admissions],
        configuration,
        links.report,
        clock,
        program.metrics,
        program.events,
    )
    nursery.start_soon(admit, boxes.admissions, boxes.claims, clock)
    claimer = make_claimer(program, boxes, links)
    nursery.start_soon(claim_keys, boxes.claims, claimer)
    nursery.start_soon(
        route,
        boxes.routing,
        boxes.dispatches,
        router,
        clock,
        random.Random(),
        TICK_MS,
    )
    nursery.start_soon(
        dispatch, boxes.dispatches, make_dispatcher(program, boxes)
    )
    nursery.start_soon(
        keep_table, boxes.announcements, boxes.routing, table, clock, TICK_MS
    )


async def serve_edges(program, boxes):
    """Serves the HTTP edges until the program stops."""
    settings = program.settings
    info = ProcessInfo(program.metrics, program.events, program.stopping)
    limits = CallerLimits(settings.max_body_bytes, settings.max_deadline_ms)
    callers = CallerApp(boxes.admissions, info, limits, program.clock)
    drained = trio.Event()
    announcements = AnnouncementApp(
        boxes.announcements, program.metrics, drained
    )
    others = (
        (announcements, settings.announcements_port),
        (StatusApp(info), settings.entry_status_port),
    )
    grace_ms = settings.shutdown_grace_ms
    async with trio.open_nursery() as nursery:
        for app, port in others:
            nursery.start_soon(
                serve_http, app, settings.host, port, drained, grace_ms
            )
        # Waiting requests need the endpoints' announcements until the end.
        await serve_http(
            callers,
            settings.host,
            settings.callers_port,
            program.stopping,
            grace_ms,
        )
        drained.set()


async def run_entry(program):
    """Runs the entry until it has stopped."""
    settings = program.settings
    boxes = EntryMailboxes(settings)
    context = program.link_context(boxes.deliveries)
    configuration = Configuration()
    links = make_control_links(program, context, configuration)
    async with trio.open_nursery() as nursery:
        await nursery.start(
            listen, context, settings.host, settings.entry_links_port
        )
        for dialer in links.dialers:
            nursery.start_soon(dialer.run)
        start_filters(nursery, program, boxes, configuration, links)
        await serve_edges(program, boxes)
        nursery.cancel_scope.cancel()


def main():
    """Entry point of ``wigeonport-entry``."""
    sys.exit(start("entry", run_entry, sys.argv[1:]))


if __name__ == "__main__":
    main()

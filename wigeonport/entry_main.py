"""The entry program: builds the chain from callers to endpoints."""

import random
import sys

import trio

from wigeonport.admissions import Admission, ShutdownDeadline, admit
from wigeonport.announcements import AnnouncementApp
from wigeonport.channels import DROP_OLDEST, Mailbox
from wigeonport.claims import claim_keys
from wigeonport.configurations import Configuration, apply_updates
from wigeonport.demand_reporters import report_demands
from wigeonport.dialers import listen
from wigeonport.dispatchers import dispatch
from wigeonport.entry_parts import (
    make_caller_limits,
    make_claimer,
    make_control_links,
    make_dispatcher,
    make_exchange,
    make_peer_links,
    make_router,
    make_share_book,
)
from wigeonport.exchanges import keep_table
from wigeonport.histories import record_history
from wigeonport.programs import start
from wigeonport.receivers import CallerApp
from wigeonport.routers import route
from wigeonport.servers import ProcessInfo, StatusApp, serve_http
from wigeonport.shares import keep_shares
from wigeonport.subscriptions import sort_deliveries

TICK_MS = 100
SHARE_TICK_MS = 20
# Time for the last answers before the bound on the shutdown.
LAST_ANSWERS_MS = 500


class EntryMailboxes:
    """The channels of the entry, each with its bound.

    Attributes:
        deliveries: From the links to the sorter.
        configurations: From the sorter to the configuration filter.
        peers: From the sorter and the announcement edge to the endpoint
            table.
        admissions: From the receivers to the admission filter. Callers are
            refused when it is full; the ends of requests wait.
        claims: From the admission filter to the claims filter.
        routing: From all filters to the router.
        shares: From the router, the endpoint table and the sorter to the
            shares. The router does not wait: its demand is dropped when
            the mailbox is full, and reported again soon after.
        dispatches: From the router to the dispatcher.
        history: From the endpoint table to the event recorder.
    """

    __slots__ = (
        "deliveries",
        "configurations",
        "peers",
        "admissions",
        "claims",
        "routing",
        "shares",
        "dispatches",
        "history",
    )

    def __init__(self, settings):
        bound = settings.mailbox_bound
        in_flight = settings.max_requests_in_flight
        self.deliveries = Mailbox("deliveries", bound)
        self.configurations = Mailbox("configurations", bound)
        self.peers = Mailbox("peers", bound)
        self.admissions = Mailbox("admissions", in_flight)
        self.claims = Mailbox("claims", bound)
        self.routing = Mailbox("routing", in_flight + bound)
        self.shares = Mailbox("shares", bound)
        self.dispatches = Mailbox("dispatches", in_flight)
        self.history = Mailbox("history", bound, DROP_OLDEST)


def start_table(nursery, program, boxes, context):
    """Starts the endpoint table and the links to the other entries."""
    nursery.start_soon(record_history, boxes.history, program.events)
    peers = make_peer_links(program, context)
    for dialer in peers.values():
        nursery.start_soon(dialer.run)
    nursery.start_soon(
        keep_table,
        boxes.peers,
        [boxes.shares, boxes.routing, boxes.history],
        make_exchange(program, context),
        peers,
        program.clock,
        TICK_MS,
    )
    nursery.start_soon(
        keep_shares,
        boxes.shares,
        boxes.routing,
        make_share_book(program, context),
        peers,
        program.clock,
        SHARE_TICK_MS,
    )


def start_filters(nursery, program, boxes, configuration, links):
    """Starts the filters of the chain."""
    settings, clock = program.settings, program.clock
    router = make_router(settings)
    nursery.start_soon(
        sort_deliveries,
        boxes.deliveries,
        boxes.configurations,
        boxes.peers,
        boxes.shares,
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
    nursery.start_soon(
        admit,
        boxes.admissions,
        boxes.claims,
        Admission(settings.max_requests_in_flight, settings.max_held_bytes),
        clock,
        program.metrics,
    )
    claimer = make_claimer(program, boxes, links)
    nursery.start_soon(claim_keys, boxes.claims, claimer)
    nursery.start_soon(
        route,
        boxes.routing,
        boxes.dispatches,
        boxes.shares,
        router,
        clock,
        random.Random(),
        program.metrics,
    )
    nursery.start_soon(report_demands, boxes.routing, links, clock)
    nursery.start_soon(
        dispatch, boxes.dispatches, make_dispatcher(program, boxes)
    )


async def serve_edges(program, boxes):
    """Serves the HTTP edges until the program stops."""
    settings = program.settings
    info = ProcessInfo(program.metrics, program.events, program.stopping)
    limits = make_caller_limits(settings)
    callers = CallerApp(boxes.admissions, info, limits, program.clock)
    closing, drained = trio.Event(), trio.Event()
    announcements = AnnouncementApp(boxes.peers, program.metrics, drained)
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
        async with trio.open_nursery() as ending:
            ending.start_soon(end_in_steps, program, boxes, closing)
            await serve_http(
                callers,
                settings.host,
                settings.callers_port,
                closing,
                grace_ms,
            )
            ending.cancel_scope.cancel()
        drained.set()


async def end_in_steps(program, boxes, closing):
    """Closes the callers' port, and answers all before the time is up.

    For a moment after the stop the port stays open, so that callers whose
    connection is on its way are told that nothing was run.
    """
    settings = program.settings
    await program.stopping.wait()
    stopped_ms = program.clock.now()
    grace_ms = settings.shutdown_grace_ms
    await program.clock.sleep(min(settings.stop_refuse_ms, grace_ms // 2))
    closing.set()
    spent_ms = program.clock.now() - stopped_ms
    margin_ms = min(LAST_ANSWERS_MS, grace_ms // 4)
    await program.clock.sleep(max(grace_ms - margin_ms - spent_ms, 0))
    await boxes.admissions.put(ShutdownDeadline())


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
        start_table(nursery, program, boxes, context)
        start_filters(nursery, program, boxes, configuration, links)
        await serve_edges(program, boxes)
        nursery.cancel_scope.cancel()


def main():
    """Entry point of ``wigeonport-entry``."""
    sys.exit(start("entry", run_entry, sys.argv[1:]))


if __name__ == "__main__":
    main()

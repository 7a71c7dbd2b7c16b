"""The entry program: builds the chain from callers to endpoints."""

import random
import sys

import trio

from wigeonport.admissions import Admission, CutOff, admit
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

TABLE_TICK_MS = 100
SHARE_TICK_MS = 20
# Time for the last answers before the bound on the shutdown.
FINAL_ANSWERS_MS = 500


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
        mailbox_bound = settings.mailbox_bound
        in_flight = settings.max_requests_in_flight
        self.deliveries = Mailbox("deliveries", mailbox_bound)
        self.configurations = Mailbox("configurations", mailbox_bound)
        self.peers = Mailbox("peers", mailbox_bound)
        self.admissions = Mailbox("admissions", in_flight)
        self.claims = Mailbox("claims", mailbox_bound)
        self.routing = Mailbox("routing", in_flight + mailbox_bound)
        self.shares = Mailbox("shares", mailbox_bound)
        self.dispatches = Mailbox("dispatches", in_flight)
        self.history = Mailbox("history", mailbox_bound, DROP_OLDEST)


def start_endpoint_table(nursery, program, mailboxes, context):
    """Starts the endpoint table and the links to the other entries."""
    nursery.start_soon(record_history, mailboxes.history, program.events)
    peers = make_peer_links(program, context)
    for dialer in peers.values():
        nursery.start_soon(dialer.run)
    nursery.start_soon(
        keep_table,
        mailboxes.peers,
        [mailboxes.shares, mailboxes.routing, mailboxes.history],
        make_exchange(program, context),
        peers,
        program.clock,
        TABLE_TICK_MS,
    )
    nursery.start_soon(
        keep_shares,
        mailboxes.shares,
        mailboxes.routing,
        make_share_book(program, context),
        peers,
        program.clock,
        SHARE_TICK_MS,
    )


def start_filters(nursery, program, mailboxes, configuration, links):
    """Starts the filters of the chain."""
    settings, clock = program.settings, program.clock
    router = make_router(settings)
    nursery.start_soon(
        sort_deliveries,
        mailboxes.deliveries,
        mailboxes.configurations,
        mailboxes.peers,
        mailboxes.shares,
    )
    nursery.start_soon(
        apply_updates,
        mailboxes.configurations,
        [mailboxes.admissions],
        configuration,
        links.report,
        clock,
        program.metrics,
        program.events,
    )
    nursery.start_soon(
        admit,
        mailboxes.admissions,
        mailboxes.claims,
        Admission(settings.max_requests_in_flight, settings.max_held_bytes),
        clock,
        program.metrics,
    )
    claimer = make_claimer(program, mailboxes, links)
    nursery.start_soon(claim_keys, mailboxes.claims, claimer)
    nursery.start_soon(
        route,
        mailboxes.routing,
        mailboxes.dispatches,
        mailboxes.shares,
        router,
        clock,
        random.Random(),
        program.metrics,
    )
    nursery.start_soon(report_demands, mailboxes.routing, links, clock)
    nursery.start_soon(
        dispatch, mailboxes.dispatches, make_dispatcher(program, mailboxes)
    )


async def serve_http_ports(program, mailboxes):
    """Serves the HTTP edges until the program stops."""
    settings = program.settings
    process_info = ProcessInfo(
        program.metrics, program.events, program.stopping
    )
    limits = make_caller_limits(settings)
    callers = CallerApp(
        mailboxes.admissions, process_info, limits, program.clock
    )
    closing, drained = trio.Event(), trio.Event()
    announcements = AnnouncementApp(mailboxes.peers, program.metrics, drained)
    other_servers = (
        (announcements, settings.announcements_port),
        (StatusApp(process_info), settings.entry_status_port),
    )
    grace_ms = settings.shutdown_grace_ms
    async with trio.open_nursery() as nursery:
        for app, port in other_servers:
            nursery.start_soon(
                serve_http, app, settings.host, port, drained, grace_ms
            )
        # Waiting requests need the endpoints' announcements until the end.
        async with trio.open_nursery() as shutdown_nursery:
            shutdown_nursery.start_soon(
                shut_down_in_steps, program, mailboxes, closing
            )
            await serve_http(
                callers,
                settings.host,
                settings.callers_port,
                closing,
                grace_ms,
            )
            shutdown_nursery.cancel_scope.cancel()
        drained.set()


async def shut_down_in_steps(program, mailboxes, closing):
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
    margin_ms = min(FINAL_ANSWERS_MS, grace_ms // 4)
    await program.clock.sleep(max(grace_ms - margin_ms - spent_ms, 0))
    await mailboxes.admissions.put(CutOff())


async def run_entry(program):
    """Runs the entry until it has stopped."""
    settings = program.settings
    mailboxes = EntryMailboxes(settings)
    context = program.link_context(mailboxes.deliveries)
    configuration = Configuration()
    links = make_control_links(program, context, configuration)
    async with trio.open_nursery() as nursery:
        await nursery.start(
            listen, context, settings.host, settings.entry_links_port
        )
        for dialer in links.dialers:
            nursery.start_soon(dialer.run)
        start_endpoint_table(nursery, program, mailboxes, context)
        start_filters(nursery, program, mailboxes, configuration, links)
        await serve_http_ports(program, mailboxes)
        nursery.cancel_scope.cancel()


def main():
    """Entry point of ``wigeonport-entry``."""
    sys.exit(start("entry", run_entry, sys.argv[1:]))


if __name__ == "__main__":
    main()

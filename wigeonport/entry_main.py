"""The entry program: starts the tasks between callers and endpoints."""

import functools
import random
import sys

import trio

from wigeonport.admissions import Admission, ShutdownDeadline, admit
from wigeonport.announcements import AnnouncementApp
from wigeonport.channels import DROP_OLDEST, Mailbox
from wigeonport.claims import claim_keys
from wigeonport.client_budgets import CALLERS, WORKERS
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
    make_share_manager,
)
from wigeonport.exchanges import run_table_exchange
from wigeonport.histories import record_history
from wigeonport.http_listeners import ListenerLimits
from wigeonport.programs import start
from wigeonport.receivers import CallerApp
from wigeonport.routers import route
from wigeonport.servers import ProcessInfo, StatusApp, serve_http
from wigeonport.shares import run_share_manager
from wigeonport.subscriptions import route_deliveries

TABLE_TICK_MS = 100
SHARE_TICK_MS = 20
# Time before the end of the shutdown's grace period at which requests that
# still wait are answered.
FINAL_ANSWERS_MS = 500


class EntryMailboxes:
    """The bounded mailboxes between the tasks of the entry.

    Attributes:
        deliveries: From the links to ``route_deliveries``.
        configurations: From ``route_deliveries`` to the task that applies
            fleet versions.
        peers: From ``route_deliveries`` and the announcements port to the
            endpoint table.
        admissions: From the receivers to the admission task. A new request
            is refused when it is full; a report that a request has ended
            waits until there is room.
        claims: From the admission task to the claims task.
        routing: From the tasks for claims, dispatch, the endpoint table,
            slot leases and demand reports to the router.
        shares: From the router, the endpoint table and ``route_deliveries``
            to the task that leases slots. The router does not wait: its
            demand is dropped when the mailbox is full, and reported again
            soon after.
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
    """Starts the endpoint table, the slot leases and the links to entries."""
    nursery.start_soon(record_history, mailboxes.history, program.events)
    peers = make_peer_links(program, context)
    for dialer in peers.values():
        nursery.start_soon(dialer.run)
    nursery.start_soon(
        run_table_exchange,
        mailboxes.peers,
        [mailboxes.shares, mailboxes.routing, mailboxes.history],
        make_exchange(program, context),
        peers,
        program.clock,
        TABLE_TICK_MS,
    )
    nursery.start_soon(
        run_share_manager,
        mailboxes.shares,
        mailboxes.routing,
        make_share_manager(program, context),
        peers,
        program.clock,
        SHARE_TICK_MS,
    )


def start_filters(nursery, program, mailboxes, configuration, links):
    """Starts the tasks that handle requests, from admission to dispatch."""
    settings, clock = program.settings, program.clock
    router = make_router(settings)
    nursery.start_soon(
        route_deliveries,
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
    """Serves the HTTP ports until the program has stopped."""
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
    budget = program.client_budget
    other_servers = (
        (
            announcements,
            settings.announcements_port,
            ListenerLimits(budget, WORKERS, streams=True),
        ),
        (
            StatusApp(process_info),
            settings.entry_status_port,
            ListenerLimits(budget),
        ),
    )
    grace_ms = settings.shutdown_grace_ms
    async with trio.open_nursery() as nursery:
        for app, port, listener_limits in other_servers:
            serve_other = functools.partial(
                serve_http, limits=listener_limits, metrics=program.metrics
            )
            nursery.start_soon(
                serve_other, app, settings.host, port, drained, grace_ms
            )
        # The other ports close after the callers' port, because requests that
        # still wait for a slot need the endpoints' announcements.
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
                limits=ListenerLimits(
                    budget, CALLERS, settings.max_body_bytes
                ),
                metrics=program.metrics,
            )
            shutdown_nursery.cancel_scope.cancel()
        drained.set()


async def shut_down_in_steps(program, mailboxes, closing):
    """Closes the callers' port and answers the remaining requests in time.

    The port stays open for ``stop_refuse_ms`` after the stop, so that callers
    that are just connecting are told that their request was not run. Shortly
    before ``shutdown_grace_ms`` ends, all waiting requests are answered.
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
    await mailboxes.admissions.put(ShutdownDeadline())


async def run_entry(program):
    """Runs the tasks of the entry until the program has stopped."""
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

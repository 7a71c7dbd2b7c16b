"""Parts of the entry program, made from its settings."""

from wigeonport.claims import Claimer, ClaimLimits, ControlClient
from wigeonport.codecs import codecs
from wigeonport.connections import IdleConnections
from wigeonport.dialers import Dialer
from wigeonport.dispatchers import Dispatcher, DispatchLimits
from wigeonport.exchanges import TableExchange
from wigeonport.receivers import CallerLimits
from wigeonport.router_messages import RouterLimits
from wigeonport.routers import Router
from wigeonport.shares import ShareBook
from wigeonport.subscriptions import ControlLinks

ENDPOINT_CONNECTIONS = 64
SETTLE_MARGIN_MS = 200


def make_control_links(program, context, configuration):
    """Returns links to some controls, those nearest first."""
    links = ControlLinks(context.identity, configuration, program.events.run)
    for first, *others in choose_controls(program.settings):
        dialer = Dialer(
            context,
            first.host,
            first.control_links_port,
            links.subscribe,
            [(vm.host, vm.control_links_port) for vm in others],
        )
        links.dialers.append(dialer)
    return links


def choose_controls(settings):
    """Returns for each link the VMs whose controls it tries, in order.

    The first link is to the own VM. The second prefers the own zone and the
    third another zone, so that one is left when the own control or the
    whole zone has none. The order differs between the entries, so that no
    control serves all of them.
    """
    vms = sorted([settings, *settings.peers], key=lambda vm: vm.node_id)
    position = vms.index(settings)
    others = vms[position + 1 :] + vms[:position]
    own_zone = settings.availability_zone
    near = [vm for vm in others if vm.availability_zone == own_zone]
    far = [vm for vm in others if vm.availability_zone != own_zone]
    turn = position % len(far) if far else 0
    far = far[turn:] + far[:turn]
    chosen = [[settings]]
    if others:
        chosen += [near + far, far + near]
    return chosen


def make_claimer(program, boxes, links):
    """Returns the claimer of keyed requests."""
    settings = program.settings
    limits = ClaimLimits(
        claim_timeout_ms=settings.claim_timeout_ms,
        control_timeout_ms=max(1, settings.claim_timeout_ms // 2),
        max_open_claims=settings.max_requests_in_flight,
    )
    return Claimer(
        ControlClient(links, program.clock),
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


def make_peer_links(program, context):
    """Returns dialers to the other entries by node id."""
    return {
        f"entry/{peer.node_id}": Dialer(
            context, peer.host, peer.entry_links_port
        )
        for peer in program.settings.peers
    }


def make_exchange(program, context):
    """Returns the exchange of endpoint tables."""
    settings = program.settings
    return TableExchange(
        context.identity.node_id,
        program.clock.wall(),
        settings.endpoint_expiry_ms,
        settings.table_digest_ms,
    )


def make_router(settings):
    """Returns the router."""
    limits = RouterLimits(
        queue_bound=settings.queue_bound,
        queue_wait_ms=settings.queue_wait_ms,
        retry_share=settings.retry_budget_share,
        retry_floor=settings.retry_budget_floor,
        discipline=settings.queue_discipline,
        entries=len(settings.peers) + 1,
    )
    return Router(settings.availability_zone, limits)


def make_share_book(program, context):
    """Returns both sides of the leases of slots.

    An entry without peers is the only owner there can be, so it need not
    wait until others are heard.
    """
    settings = program.settings
    settle_ms = settings.table_digest_ms + SETTLE_MARGIN_MS
    return ShareBook(
        context.identity.node_id,
        settings.share_lease_ms,
        settle_ms if settings.peers else 0,
        settings.share_policy,
    )


def make_caller_limits(settings):
    """Returns the limits at the callers' edge."""
    return CallerLimits(
        settings.max_body_bytes,
        settings.max_deadline_ms,
        settings.receive_timeout_ms,
        max(1, settings.max_held_bytes // settings.max_body_bytes),
    )

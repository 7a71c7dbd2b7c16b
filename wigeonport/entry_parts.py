"""Builds the parts of the entry program from its settings."""

from wigeonport.claims import Claimer, ClaimLimits, ControlClient
from wigeonport.codecs import codecs
from wigeonport.connections import IdleConnections
from wigeonport.dialers import Dialer
from wigeonport.dispatchers import Dispatcher, DispatchLimits
from wigeonport.exchanges import TableExchange
from wigeonport.receivers import CallerLimits
from wigeonport.router_messages import RouterLimits
from wigeonport.routers import Router
from wigeonport.shares import ShareManager
from wigeonport.subscriptions import ControlLinks

# Connections to one endpoint, idle or in use, by all entries together.
MAX_CONNECTIONS_PER_ENDPOINT = 64
FIRST_GRANT_MARGIN_MS = 200


def make_control_links(program, context, configuration):
    """Returns the links to controls; the first is to this VM's."""
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
    """Returns, for each link, the VMs whose controls it tries, in order.

    The first link is to the control on the same VM. The second prefers a
    control in the same zone and the third one in another zone, so that the
    entry still has a link when the control of its VM or all controls of its
    zone fail. The order differs between the entries, so that no control
    serves all of them.
    """
    vms = sorted([settings, *settings.peers], key=lambda vm: vm.node_id)
    position = vms.index(settings)
    others = vms[position + 1 :] + vms[:position]
    own_zone = settings.availability_zone
    same_zone = [vm for vm in others if vm.availability_zone == own_zone]
    other_zones = [vm for vm in others if vm.availability_zone != own_zone]
    rotation = position % len(other_zones) if other_zones else 0
    other_zones = other_zones[rotation:] + other_zones[:rotation]
    candidates_by_link = [[settings]]
    if others:
        candidates_by_link += [
            same_zone + other_zones,
            other_zones + same_zone,
        ]
    return candidates_by_link


def make_claimer(program, mailboxes, links):
    """Returns the Claimer, which claims the idempotency keys of requests."""
    settings = program.settings
    limits = ClaimLimits(
        claim_timeout_ms=settings.claim_timeout_ms,
        control_timeout_ms=max(1, settings.claim_timeout_ms // 2),
        max_open_claims=settings.max_requests_in_flight,
    )
    return Claimer(
        ControlClient(links, program.clock),
        mailboxes.routing,
        codecs.get("thrift").ok(),
        limits,
        program.clock,
        program.metrics,
    )


def make_dispatcher(program, mailboxes):
    """Returns the Dispatcher, with an even share of the connections."""
    settings = program.settings
    entries = len(settings.peers) + 1
    limits = DispatchLimits(
        settings.connect_timeout_ms,
        settings.attempt_timeout_ms,
        settings.max_response_bytes,
    )
    return Dispatcher(
        IdleConnections(max(1, MAX_CONNECTIONS_PER_ENDPOINT // entries)),
        mailboxes.routing,
        program.clock,
        program.metrics,
        limits,
    )


def make_peer_links(program, context):
    """Returns a dict of node id to the Dialer of another entry."""
    return {
        f"entry/{peer.node_id}": Dialer(
            context, peer.host, peer.entry_links_port
        )
        for peer in program.settings.peers
    }


def make_exchange(program, context):
    """Returns the TableExchange, which replicates the endpoint table."""
    settings = program.settings
    return TableExchange(
        context.identity.node_id,
        program.clock.wall(),
        settings.endpoint_expiry_ms,
        settings.table_digest_ms,
    )


def make_router(settings):
    """Returns the Router with the limits of the settings."""
    limits = RouterLimits(
        queue_bound=settings.queue_bound,
        queue_wait_ms=settings.queue_wait_ms,
        retry_share=settings.retry_budget_share,
        retry_floor=settings.retry_budget_floor,
        discipline=settings.queue_discipline,
        entries=len(settings.peers) + 1,
    )
    return Router(settings.availability_zone, limits)


def make_share_manager(program, context):
    """Returns the ShareManager, which grants and holds leases on slots.

    An entry without peers owns all endpoints, so it grants at once. Others
    wait until all entries have had time to learn who owns an endpoint: one
    interval of the table digests and a margin.
    """
    settings = program.settings
    first_grant_delay_ms = settings.table_digest_ms + FIRST_GRANT_MARGIN_MS
    return ShareManager(
        context.identity.node_id,
        settings.share_lease_ms,
        first_grant_delay_ms if settings.peers else 0,
        settings.share_policy,
    )


def make_caller_limits(settings):
    """Returns the limits on the requests of callers."""
    return CallerLimits(
        settings.max_body_bytes,
        settings.max_deadline_ms,
        settings.receive_timeout_ms,
        max(1, settings.max_held_bytes // settings.max_body_bytes),
    )

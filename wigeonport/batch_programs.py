"""Chains of the programs that serve batch jobs.

The edges, which speak a wire format, are passed in; so another front end
can use the same chains.
"""

import pathlib
import random

import trio

from wigeonport.batch_calls import PROBE, BatchCall
from wigeonport.batch_controllers import BatchController, forward_leadership
from wigeonport.batch_messages import CallReceived, StopAsked
from wigeonport.batch_settings import BatchSettings
from wigeonport.channels import DROP_OLDEST, Mailbox, Reply
from wigeonport.consensus import Consensus
from wigeonport.control_main import make_replica_settings, open_replica
from wigeonport.dialers import listen
from wigeonport.gateways import Gateway, GatewayCall
from wigeonport.links import LinkClosed
from wigeonport.logs import PartLogger
from wigeonport.peer_links import PeerLinks
from wigeonport.servers import ProcessInfo, StatusApp, serve_http
from wigeonport.state_commands import RecordBatch
from wigeonport.states import ReplicatedState, state_from_document

logger = PartLogger("batch")

NOTICES_BOUND = 1_024
# The balancer asks for readiness each second; three probes fit into the time
# for which an answer counts.
PROBE_INTERVAL_MS = 800
PROBE_TIMEOUT_MS = 1_000
# The settings file may change without a signal.
RELOAD_INTERVAL_MS = 2_000
METRICS_GRACE_MS = 500


class LinkReply:
    """Reply channel that answers a call over its link.

    Attributes:
        delivery: Delivery of the call.
    """

    __slots__ = ("delivery",)

    def __init__(self, delivery):
        self.delivery = delivery

    def send(self, message):
        """Answers the call; returns False if the link is gone."""
        return self.delivery.respond(message)


async def sort_batch_deliveries(inbound, consensus, controller):
    """Passes arrivals to the filter that handles them."""
    async for delivery in inbound:
        if isinstance(delivery, LinkClosed):
            continue
        message = delivery.message
        if isinstance(message, BatchCall):
            await controller.put(CallReceived(message, LinkReply(delivery)))
        else:
            await consensus.put(message)


def make_batch_consensus(program, links):
    """Returns the consensus task of a control for batch jobs."""
    settings = program.settings
    replica = make_replica_settings(settings)
    replica.may_form_cluster = settings.forms_cluster
    directory = settings.data_dir
    return Consensus(
        open_replica(settings),
        None if directory is None else pathlib.Path(directory),
        settings.voters,
        ReplicatedState(),
        state_from_document,
        links.post,
        program.clock,
        program.metrics,
        replica,
        random_source=random.Random(),
        snapshot_entries=settings.snapshot_entries,
        # Batches come at the rate of the tasks and no observer needs them.
        quiet=(RecordBatch,),
    )


def make_links(settings, context):
    """Returns the links to the controls that the settings name."""
    hosts = [peer.host for peer in settings.peers]
    port = settings.control_links_port
    return PeerLinks(context, settings.host, port, hosts)


def batch_settings_of(settings):
    """Returns the BatchSettings of a program."""
    return BatchSettings(settings.max_hold_ms, settings.machine_lease_ms)


async def forward_stop(stopping, controller):
    """Tells the controller once that the process stops."""
    await stopping.wait()
    await controller.put(StopAsked())


async def reload_settings(program, links, load):
    """Reads the settings again when asked to, or when they have changed.

    New addresses of controls get links; what else has changed holds from
    the next start.

    Args:
        program: Program.
        links: PeerLinks.
        load: Function that returns a Result of Settings.
    """
    known = program.settings
    while True:
        asked = await program.reloads.get_within(RELOAD_INTERVAL_MS)
        loaded = load()
        if loaded.is_error():
            logger.error("Settings are unreadable.", reason=loaded.error)
            continue
        if asked is None and loaded.ok == known:
            continue
        known = loaded.ok
        hosts = [peer.host for peer in known.peers]
        for host in hosts:
            links.add(host)
        logger.info("Settings reloaded.", controls=",".join(hosts))


async def serve_metrics(program):
    """Serves ``/metrics`` until the program has stopped."""
    settings = program.settings
    if settings.metrics_listen is None:
        return
    info = ProcessInfo(program.metrics, program.events, program.stopping)
    await serve_http(
        StatusApp(info),
        *split_address(settings.metrics_listen),
        program.stopping,
        METRICS_GRACE_MS,
    )


async def run_batch_control(
    program, serve_edge, load, make_machines=None, make_advisor=None
):
    """Runs a control for batch jobs until it has stopped.

    Args:
        program: Program.
        serve_edge: Async function ``(program, controller, address)`` that
            serves workers and operators until the program stops.
        load: Function that returns a Result of the present Settings.
        make_machines: Function ``(program, url)`` that returns the
            MachineManager.
        make_advisor: Function ``(program, url)`` that returns the Advisor.
    """
    settings = program.settings
    inbound = Mailbox("deliveries", settings.mailbox_bound)
    context = program.link_context(inbound)
    links = make_links(settings, context)
    consensus = make_batch_consensus(program, links)
    notices = Mailbox("notices", NOTICES_BOUND, DROP_OLDEST)
    consensus.observers.append(notices)
    machines = advisor = None
    if make_machines is not None and settings.machines_url is not None:
        machines = make_machines(program, settings.machines_url)
    if make_advisor is not None and settings.advice_url is not None:
        advisor = make_advisor(program, settings.advice_url)
    controller = BatchController(
        consensus.inbox,
        settings.node_id,
        batch_settings_of(settings),
        program.clock,
        program.metrics,
        machines,
        advisor,
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(links.run, nursery)
        nursery.start_soon(reload_settings, program, links, load)
        nursery.start_soon(serve_metrics, program)
        await nursery.start(controller.run)
        nursery.start_soon(forward_leadership, notices, controller.inbox)
        nursery.start_soon(forward_stop, program.stopping, controller.inbox)
        await nursery.start(consensus.run)
        await nursery.start(
            listen, context, settings.host, settings.control_links_port
        )
        nursery.start_soon(
            sort_batch_deliveries, inbound, consensus.inbox, controller.inbox
        )
        if machines is not None:
            nursery.start_soon(machines.run, controller.inbox)
        if advisor is not None:
            nursery.start_soon(advisor.run, controller.inbox)
        await serve_edge(
            program, controller, split_address(settings.workers_listen)
        )
        nursery.cancel_scope.cancel()


async def run_batch_entry(program, serve_edge, load):
    """Runs an entry for batch jobs until it has stopped.

    Args:
        program: Program.
        serve_edge: Async function ``(program, gateway, edge)`` that serves
            callers until ``edge.closing`` is set.
        load: Function that returns a Result of the present Settings.
    """
    settings = program.settings
    inbound = Mailbox("deliveries", settings.mailbox_bound, DROP_OLDEST)
    context = program.link_context(inbound)
    links = make_links(settings, context)
    gateway = Gateway(links, program.clock, program.metrics)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(links.run, nursery)
        nursery.start_soon(reload_settings, program, links, load)
        nursery.start_soon(serve_metrics, program)
        nursery.start_soon(gateway.run)
        nursery.start_soon(probe_leader, gateway, program.clock)
        edge = EntryEdge(settings)
        nursery.start_soon(close_after_notice, program, edge.closing)
        await serve_edge(program, gateway, edge)
        nursery.cancel_scope.cancel()


class EntryEdge:
    """Where an entry serves, and until when.

    Attributes:
        callers: Host and port for callers.
        readiness: Host and port for the balancer's checks.
        closing: trio.Event that is set when the listeners close.
    """

    __slots__ = ("callers", "readiness", "closing")

    def __init__(self, settings):
        self.callers = split_address(settings.jobs_listen)
        self.readiness = split_address(settings.readiness_listen)
        self.closing = trio.Event()


async def close_after_notice(program, closing):
    """Closes the listeners once the balancer knows of the stop."""
    await program.stopping.wait()
    await program.clock.sleep(program.settings.drain_wait_ms)
    closing.set()


def split_address(text):
    """Returns host and port of an address."""
    host, _, port = text.rpartition(":")
    return host, int(port)


async def probe_leader(gateway, clock):
    """Asks the leader regularly, so that readiness is known."""
    while True:
        reply = Reply()
        call = BatchCall(PROBE, "", "/", request_id="probe")
        deadline_ms = clock.now() + PROBE_TIMEOUT_MS
        gateway.inbox.put_nowait(GatewayCall(call, deadline_ms, reply))
        await reply.wait(PROBE_TIMEOUT_MS)
        await clock.sleep(PROBE_INTERVAL_MS)

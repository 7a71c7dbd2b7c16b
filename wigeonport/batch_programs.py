"""The tasks of the programs that serve batch jobs, and their connections.

The functions that speak a wire format are passed in as ``serve_edge``, so
that another front end can use the same programs.
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
from wigeonport.control_main import (
    make_replica_settings,
    open_replica_when_space,
)
from wigeonport.dialers import listen
from wigeonport.gateways import Gateway, GatewayCall
from wigeonport.http_listeners import ListenerLimits
from wigeonport.links import LinkClosed
from wigeonport.logs import PartLogger
from wigeonport.peer_links import PeerLinks
from wigeonport.servers import ProcessInfo, StatusApp, serve_http
from wigeonport.state_commands import RecordBatch
from wigeonport.states import ReplicatedState, state_from_document

logger = PartLogger("batch")

NOTICES_BOUND = 1_024
# The load balancer checks readiness every second. Three probes fit into the
# time for which an answer of the leader counts.
PROBE_INTERVAL_MS = 800
PROBE_TIMEOUT_MS = 1_000
# The settings file may change without a SIGHUP, so it is also polled.
RELOAD_INTERVAL_MS = 2_000
METRICS_GRACE_MS = 500


class LinkReply:
    """Reply channel that sends the answer over the link of the call.

    Attributes:
        delivery: Delivery of the call.
    """

    __slots__ = ("delivery",)

    def __init__(self, delivery):
        self.delivery = delivery

    def send(self, message):
        """Sends the answer; returns False if the link is closed."""
        return self.delivery.respond(message)

    def is_abandoned(self):
        """Returns False, because the other end does not say so."""
        return False


async def route_batch_deliveries(inbound, consensus, controller):
    """Passes each message to the controller or to the consensus task."""
    async for delivery in inbound:
        if isinstance(delivery, LinkClosed):
            continue
        message = delivery.message
        if isinstance(message, BatchCall):
            await controller.put(CallReceived(message, LinkReply(delivery)))
        else:
            await consensus.put(message)


def make_batch_consensus(program, links, storage):
    """Returns the consensus task of a control for batch jobs.

    Args:
        program: Program.
        links: PeerLinks.
        storage: OpenedStorage of the replica.
    """
    settings = program.settings
    replica = make_replica_settings(settings)
    replica.may_form_cluster = settings.forms_cluster
    directory = settings.data_dir
    return Consensus(
        storage,
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
        # Batches are as frequent as task starts, and no observer needs them.
        unobserved_commands=(RecordBatch,),
    )


def make_links(settings, context):
    """Returns the links to the controls that the settings name."""
    hosts = [peer.host for peer in settings.peers]
    port = settings.control_links_port
    return PeerLinks(context, settings.host, port, hosts)


def make_batch_settings(settings):
    """Returns the BatchSettings for the Settings of a program."""
    return BatchSettings(settings.max_hold_ms, settings.machine_lease_ms)


async def forward_stop(stopping, controller):
    """Sends StopAsked to the controller when the process stops."""
    await stopping.wait()
    await controller.put(StopAsked())


async def reload_settings(program, links, load):
    """Reads the settings again on request and at regular intervals.

    New addresses of controls get links; all other changes take effect at
    the next start of the process.

    Args:
        program: Program.
        links: PeerLinks.
        load: Function that reads the settings and returns a Result of
            Settings.
    """
    current = program.settings
    while True:
        reload_request = await program.reloads.get_within(RELOAD_INTERVAL_MS)
        loaded = load()
        if loaded.is_error():
            program.metrics.count("settings_refused")
            logger.error("Settings could not be read.", reason=loaded.error)
            continue
        if reload_request is None and loaded.ok == current:
            continue
        current = loaded.ok
        hosts = [peer.host for peer in current.peers]
        for host in hosts:
            links.add(host)
        logger.info("Settings reloaded.", controls=",".join(hosts))


async def serve_metrics(program):
    """Serves ``/metrics`` until the program stops, if configured."""
    settings = program.settings
    if settings.metrics_listen is None:
        return
    info = ProcessInfo(program.metrics, program.events, program.stopping)
    await serve_http(
        StatusApp(info),
        *split_address(settings.metrics_listen),
        program.stopping,
        METRICS_GRACE_MS,
        limits=ListenerLimits(program.client_budget),
        metrics=program.metrics,
    )


async def run_batch_control(
    program, serve_edge, load, make_machines=None, make_advisor=None
):
    """Runs a control for batch jobs until it has stopped.

    Args:
        program: Program.
        serve_edge: Async function ``(program, controller, address)`` that
            serves workers and operators until the program has stopped.
        load: Function that reads the settings again and returns a Result of
            Settings.
        make_machines: Function ``(program, url)`` that returns the
            MachineManager; called only if ``machines_url`` is set.
        make_advisor: Function ``(program, url)`` that returns the Advisor;
            called only if ``advice_url`` is set.
    """
    settings = program.settings
    inbound = Mailbox("deliveries", settings.mailbox_bound)
    context = program.link_context(inbound)
    links = make_links(settings, context)
    storage = await open_replica_when_space(program)
    consensus = make_batch_consensus(program, links, storage)
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
        make_batch_settings(settings),
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
            route_batch_deliveries, inbound, consensus.inbox, controller.inbox
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
        serve_edge: Async function ``(program, gateway, listeners)`` that
            serves callers until ``listeners.closing`` is set.
        load: Function that reads the settings again and returns a Result of
            Settings.
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
        listeners = EntryListeners(settings)
        nursery.start_soon(close_after_drain_wait, program, listeners.closing)
        await serve_edge(program, gateway, listeners)
        nursery.cancel_scope.cancel()


class EntryListeners:
    """The addresses on which an entry listens, and when it closes them.

    Attributes:
        callers: Host and port for callers.
        readiness: Host and port for the readiness checks of the load
            balancer.
        closing: trio.Event that is set when the listeners must close.
    """

    __slots__ = ("callers", "readiness", "closing")

    def __init__(self, settings):
        self.callers = split_address(settings.jobs_listen)
        self.readiness = split_address(settings.readiness_listen)
        self.closing = trio.Event()


async def close_after_drain_wait(program, closing):
    """Closes the listeners after the stop is visible to the balancer.

    Until then the load balancer still sends new requests here.
    """
    await program.stopping.wait()
    await program.clock.sleep(program.settings.drain_wait_ms)
    closing.set()


def split_address(text):
    """Returns the host and port of a ``host:port`` address."""
    host, _, port = text.rpartition(":")
    return host, int(port)


async def probe_leader(gateway, clock):
    """Probes the leader regularly, so that readiness is up to date."""
    while True:
        reply = Reply()
        call = BatchCall(PROBE, "", "/", request_id="probe")
        deadline_ms = clock.now() + PROBE_TIMEOUT_MS
        gateway.inbox.put_nowait(GatewayCall(call, deadline_ms, reply))
        await reply.wait(PROBE_TIMEOUT_MS)
        await clock.sleep(PROBE_INTERVAL_MS)

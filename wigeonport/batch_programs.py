"""The program that forwards batch jobs, and what both programs share.

The functions that speak a wire format are passed in as ``serve_edge``, so
that another front end can use the same programs.
"""

import trio

from wigeonport.batch_calls import PROBE, BatchCall
from wigeonport.batch_settings import BatchSettings
from wigeonport.channels import DROP_OLDEST, Mailbox, Reply
from wigeonport.client_limits import derive_job_bytes
from wigeonport.gateways import Gateway, GatewayCall
from wigeonport.http_listeners import ListenerLimits
from wigeonport.logs import PartLogger
from wigeonport.peer_links import PeerLinks
from wigeonport.servers import ProcessInfo, StatusApp, serve_http

logger = PartLogger("batch")

# The load balancer checks readiness every second. Three probes fit into the
# time for which an answer of the leader counts.
PROBE_INTERVAL_MS = 800
PROBE_TIMEOUT_MS = 1_000
# The settings file may change without a SIGHUP, so it is also polled.
RELOAD_INTERVAL_MS = 2_000
METRICS_GRACE_MS = 500


def make_links(settings, context):
    """Returns the links to the controls that the settings name."""
    hosts = [peer.host for peer in settings.peers]
    port = settings.control_links_port
    return PeerLinks(context, settings.host, port, hosts)


def make_batch_settings(program):
    """Returns the BatchSettings of a program."""
    settings = program.settings
    batch = BatchSettings(settings.max_hold_ms, settings.machine_lease_ms)
    batch.max_job_bytes = derive_job_bytes(settings, program.machine)
    batch.separate_interfering_tasks = settings.separate_interfering_tasks
    batch.separated_pairs = settings.separated_pairs
    batch.unseparated_pairs = settings.unseparated_pairs
    return batch


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

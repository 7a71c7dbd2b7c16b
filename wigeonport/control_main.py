"""The control program: starts the tasks around the replicated state."""

import pathlib
import random
import sys

import trio

from wigeonport.channels import DROP_OLDEST, REFUSE, Mailbox
from wigeonport.claim_brokers import (
    CLAIM_COMMANDS,
    ClaimBroker,
    broker_claims,
)
from wigeonport.client_budgets import OPERATORS
from wigeonport.configurations import ConfigUpdate, Subscribe, VersionReport
from wigeonport.consensus import Consensus
from wigeonport.consensus_writers import DISK_FULL_RETRY_MS
from wigeonport.credentials import load_tokens
from wigeonport.demands import DemandReport
from wigeonport.dialers import Dialer, listen
from wigeonport.durable_files import DiskFullError
from wigeonport.health_brokers import (
    HealthBroker,
    HealthRequest,
    broker_health,
)
from wigeonport.histories import record_history
from wigeonport.http_listeners import ListenerLimits
from wigeonport.links import LinkClosed
from wigeonport.logs import PartLogger
from wigeonport.operators import OperatorApp, OperatorControl
from wigeonport.plan_actors import PlanActor, execute_commands
from wigeonport.plan_drivers import (
    PlanDriver,
    answer_without_platform,
    drive_plans,
)
from wigeonport.plan_settings import PlanSettings
from wigeonport.planners import build_planner
from wigeonport.platform_clients import PlatformClient, poll_reports
from wigeonport.probes import ReplicaProbe, answer_probes
from wigeonport.programs import start
from wigeonport.publishers import Publisher, publish
from wigeonport.recoveries import open_directory, open_memory
from wigeonport.replica_events import ReplicaSettings
from wigeonport.servers import ProcessInfo, serve_http
from wigeonport.state_adapters import StateAdapter, adapt_requests
from wigeonport.state_requests import StateClient
from wigeonport.states import ReplicatedState, state_from_document
from wigeonport.trace_recorders import open_recorder
from wigeonport.version_watchers import watch_versions

logger = PartLogger("control")

HISTORY_MAILBOX_BOUND = 4_096
PLANNER_MAILBOX_BOUND = 4_096
PUBLISHER_MESSAGES = (Subscribe, VersionReport, ConfigUpdate)


class ControlMailboxes:
    """The bounded mailboxes between the tasks of the control.

    Attributes:
        deliveries: From the links to ``route_deliveries``.
        publisher: Subscriptions, version reports, fleet versions and closed
            links, for the publisher.
        claims: From ``route_deliveries`` to the claim broker.
        requests: From the operators' port to the state adapter.
        notices: From the consensus task to the version watcher.
        history: From the consensus task to the event recorder.
        health: Queries for the unavailable VMs.
        probes: Queries for the leader, term and log position of the replica.
        planner: Notices, reports, results and queries for the planner.
        plans: Commands from the planner to the task that executes them.
    """

    __slots__ = (
        "deliveries",
        "publisher",
        "claims",
        "requests",
        "notices",
        "history",
        "health",
        "probes",
        "planner",
        "plans",
    )

    def __init__(self, settings):
        bound = settings.mailbox_bound
        self.deliveries = Mailbox("deliveries", bound)
        self.publisher = Mailbox("publisher", bound)
        self.claims = Mailbox("claims", settings.max_requests_in_flight)
        self.requests = Mailbox("state requests", bound, REFUSE)
        # A notice may be dropped, because at the next one the watcher reads
        # the newest version from the state.
        self.notices = Mailbox("notices", bound, DROP_OLDEST)
        self.history = Mailbox("history", HISTORY_MAILBOX_BOUND, DROP_OLDEST)
        self.health = Mailbox("health", bound, REFUSE)
        self.probes = Mailbox("probes", bound, REFUSE)
        # A message may be dropped: the platform resends its reports, and the
        # planner reads the state again at the next tick.
        self.planner = Mailbox("planner", PLANNER_MAILBOX_BOUND, DROP_OLDEST)
        self.plans = Mailbox("plans", PLANNER_MAILBOX_BOUND, DROP_OLDEST)


async def route_deliveries(inbound, mailboxes, consensus):
    """Passes each message of the links to the task that handles it."""
    async for delivery in inbound:
        if isinstance(delivery, LinkClosed):
            await mailboxes.publisher.put(delivery)
            continue
        message = delivery.message
        if isinstance(message, PUBLISHER_MESSAGES):
            await mailboxes.publisher.put(delivery)
        elif isinstance(message, DemandReport):
            await mailboxes.planner.put(delivery)
        elif isinstance(message, HealthRequest):
            await mailboxes.health.put(delivery)
        elif isinstance(message, ReplicaProbe):
            await mailboxes.probes.put(delivery)
        elif isinstance(message, CLAIM_COMMANDS):
            await mailboxes.claims.put(delivery)
        else:
            await consensus.put(message)


def make_initial_version_report(program):
    """Returns the report of this control before it has any fleet version."""
    zone = program.settings.availability_zone
    return VersionReport(program.node_id, zone, program.events.run, 0)


def make_dialers(settings, context):
    """Returns a dict of node id to the Dialer of another control."""
    return {
        peer.node_id: Dialer(context, peer.host, peer.control_links_port)
        for peer in settings.peers
    }


def open_replica(settings):
    """Opens the data directory, or an empty in-memory log without one."""
    if settings.data_dir is None:
        return open_memory(settings.cluster_id, settings.node_id)
    directory = pathlib.Path(settings.data_dir)
    return open_directory(directory, settings.cluster_id, settings.node_id)


async def open_replica_when_space(program):
    """Opens the data directory as soon as there is space on its disk.

    Raises:
        DiskFullError: If the program stops before there is space.
        OSError: If the disk fails or another process uses the directory.
    """
    waiting = False
    while True:
        try:
            return open_replica(program.settings)
        except DiskFullError as error:
            if program.stopping.is_set():
                raise
            if not waiting:
                logger.error("Disk full; the start waits.", reason=error)
            waiting = True
            await program.clock.sleep(DISK_FULL_RETRY_MS)


def make_replica_settings(settings):
    """Returns the number of voters and the timers of the replica.

    The leader lease is 80 % of the election timeout, so that it ends before
    another replica may start an election; the difference covers the drift of
    the clocks.
    """
    target_voters = max(settings.voter_count, len(settings.voters))
    replica_settings = ReplicaSettings(target_voters=target_voters)
    replica_settings.replace_voter_ms = settings.replace_voter_ms
    replica_settings.heartbeat_ms = settings.replication_heartbeat_ms
    replica_settings.min_election_timeout_ms = settings.election_timeout_ms
    replica_settings.election_jitter_ms = (
        settings.election_timeout_ms * 6 // 10
    )
    replica_settings.lease_ms = settings.election_timeout_ms * 8 // 10
    return replica_settings


def make_consensus(program, dialers, storage):
    """Returns the Consensus, which replicates the state over the links.

    Args:
        program: Program.
        dialers: Maps node to Dialer.
        storage: OpenedStorage of the replica.
    """
    settings = program.settings

    def send(node, message):
        dialer = dialers.get(node)
        return dialer is not None and dialer.post(message)

    directory = settings.data_dir
    return Consensus(
        storage,
        None if directory is None else pathlib.Path(directory),
        settings.voters,
        ReplicatedState(),
        state_from_document,
        send,
        program.clock,
        program.metrics,
        make_replica_settings(settings),
        random_source=random.Random(),
        snapshot_entries=settings.snapshot_entries,
        # Claims arrive at the rate of the requests, and no observer uses them.
        unobserved_commands=CLAIM_COMMANDS,
    )


def start_filters(nursery, program, mailboxes, consensus, dialers):
    """Starts the tasks that read the mailboxes."""
    settings = program.settings
    adapter = StateAdapter(consensus.inbox, settings.propose_timeout_ms)
    broker = ClaimBroker(
        adapter.propose, settings.claim_timeout_ms, program.metrics
    )
    nursery.start_soon(
        route_deliveries, mailboxes.deliveries, mailboxes, consensus.inbox
    )
    nursery.start_soon(
        publish,
        mailboxes.publisher,
        Publisher(make_initial_version_report(program)),
        program.clock,
        list(dialers.values()),
    )
    nursery.start_soon(
        watch_versions, mailboxes.notices, consensus.inbox, mailboxes.publisher
    )
    nursery.start_soon(record_history, mailboxes.history, program.events)
    nursery.start_soon(broker_claims, mailboxes.claims, broker)
    nursery.start_soon(adapt_requests, mailboxes.requests, adapter)
    nursery.start_soon(answer_probes, mailboxes.probes, consensus.inbox)
    health = HealthBroker(consensus.inbox, mailboxes.planner, dialers)
    nursery.start_soon(broker_health, mailboxes.health, health)
    start_planner(nursery, program, mailboxes, consensus, dialers, adapter)


def start_planner(nursery, program, mailboxes, consensus, dialers, adapter):
    """Starts the planner, the executor of its commands and the polling.

    Without ``platform_url`` there is no planner, and queries for unavailable
    VMs are answered as unknown.

    Raises:
        ValueError: If the plan settings name an unknown policy.
    """
    settings, clock = program.settings, program.clock
    if settings.platform_url is None:
        nursery.start_soon(answer_without_platform, mailboxes.planner)
        return
    client = PlatformClient(settings.platform_url, clock, program.metrics)
    plan_settings = PlanSettings()
    planner = build_planner(plan_settings)
    if planner.is_error():
        raise ValueError(str(planner.error))
    # The seed is recorded, so that a replay breaks ties in the same way.
    seed = random.randrange(2**32)
    recorder = open_recorder(
        settings.trace_file, settings.trace_max_bytes, plan_settings, seed
    )
    driver = PlanDriver(
        planner.ok,
        consensus.inbox,
        mailboxes.plans,
        dialers,
        clock,
        random.Random(seed),
        recorder,
    )
    actor = PlanActor(consensus.inbox, adapter, client, program.events, clock)
    nursery.start_soon(
        drive_plans, mailboxes.planner, driver, settings.plan_interval_ms
    )
    nursery.start_soon(
        execute_commands, mailboxes.plans, mailboxes.planner, actor
    )
    nursery.start_soon(poll_reports, client, mailboxes.planner, logger)


async def serve_operators(program, mailboxes):
    """Serves the operators' HTTP port until the program has stopped."""
    settings = program.settings
    tokens = None
    if settings.operator_token_file is not None:
        loaded_tokens = load_tokens(settings.operator_token_file)
        if loaded_tokens.is_error():
            logger.error(
                "Operator tokens could not be read.",
                reason=loaded_tokens.error,
            )
        tokens = loaded_tokens.default_value(None)
    control = OperatorControl(
        settings,
        program.clock,
        StateClient(mailboxes.requests, settings.propose_timeout_ms),
        mailboxes.publisher,
        mailboxes.health,
    )
    process_info = ProcessInfo(
        program.metrics, program.events, program.stopping
    )
    await serve_http(
        OperatorApp(control, tokens, process_info),
        settings.host,
        settings.operators_port,
        program.stopping,
        settings.shutdown_grace_ms,
        limits=ListenerLimits(
            program.client_budget, OPERATORS, settings.max_patch_bytes
        ),
        metrics=program.metrics,
    )


async def run_control(program):
    """Runs the tasks of the control until the program has stopped."""
    settings = program.settings
    mailboxes = ControlMailboxes(settings)
    context = program.link_context(mailboxes.deliveries)
    dialers = make_dialers(settings, context)
    storage = await open_replica_when_space(program)
    consensus = make_consensus(program, dialers, storage)
    consensus.observers += [
        mailboxes.notices,
        mailboxes.history,
        mailboxes.planner,
    ]
    async with trio.open_nursery() as nursery:
        await nursery.start(consensus.run)
        await nursery.start(
            listen, context, settings.host, settings.control_links_port
        )
        for dialer in dialers.values():
            nursery.start_soon(dialer.run)
        start_filters(nursery, program, mailboxes, consensus, dialers)
        await serve_operators(program, mailboxes)
        nursery.cancel_scope.cancel()


def main():
    """Entry point of ``wigeonport-control``."""
    sys.exit(start("control", run_control, sys.argv[1:]))


if __name__ == "__main__":
    main()

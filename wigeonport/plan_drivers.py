"""The task that owns the planner of a control process."""

from wigeonport.availabilities import is_available, is_reported_alive
from wigeonport.channels import Reply, ask
from wigeonport.consensus_requests import (
    EntryApplied,
    LeadershipNotice,
    Proposal,
    Read,
    SnapshotInstalled,
)
from wigeonport.consensus_requests import StatusRequest as ReplicaStatusRequest
from wigeonport.demands import DemandReport, DemandTable
from wigeonport.links import Delivery
from wigeonport.logs import PartLogger
from wigeonport.plan_actors import PlannedCommand
from wigeonport.plan_events import (
    DemandReported,
    LeadershipChanged,
    MaintenanceControlled,
    Tick,
)
from wigeonport.plan_proposals import (
    PLANNER_GRANT_PREFIX,
    make_return_proposals,
)
from wigeonport.state_answers import PatchAccepted
from wigeonport.state_commands import (
    EndGrant,
    PauseMaintenance,
    RenewGrant,
    RequestGrant,
    ResumeMaintenance,
    ReturnWorker,
)
from wigeonport.state_requests import VmHealth, VmHealthQuery
from wigeonport.view_builders import PLANNER_AUTHOR, build_fleet_loaded

logger = PartLogger("planner")

READ_TIMEOUT_MS = 2_000
# The planner's view holds the next opening of each maintenance window as of
# the last load, so the fleet is also reloaded when no version has changed.
RELOAD_INTERVAL_MS = 60_000
ACTION_BY_COMMAND = {PauseMaintenance: "pause", ResumeMaintenance: "resume"}


class PlanDriver:
    """Feeds events to the planner and passes its commands to the plan actor.

    Only the leader plans. Every control applies the platform's reports, so
    that a new leader knows the state of the VMs at once.

    Attributes:
        planner: Planner that this task owns.
        consensus: Mailbox of the consensus task.
        actor: Mailbox of the plan actor.
        dialers: Maps the node id of each other control to its Dialer.
        clock: Time source.
        random: Random source.
        recorder: TraceRecorder, or None if nothing is recorded.
        demands: DemandTable of the reports of all entries.
        leader: Node id of the leader, or "" if it is unknown.
        leading: Whether this control leads and its state is complete.
        fleet_outdated: Whether the fleet has to be read again.
        loaded_ms: Time of the last read of the fleet.
    """

    __slots__ = (
        "planner",
        "consensus",
        "actor",
        "dialers",
        "clock",
        "random",
        "recorder",
        "demands",
        "leader",
        "leading",
        "fleet_outdated",
        "loaded_ms",
    )

    def __init__(
        self,
        planner,
        consensus,
        actor,
        dialers,
        clock,
        random,
        recorder=None,
    ):
        self.planner = planner
        self.consensus = consensus
        self.actor = actor
        self.dialers = dialers
        self.clock = clock
        self.random = random
        self.recorder = recorder
        self.demands = DemandTable()
        self.leader = ""
        self.leading = False
        self.fleet_outdated = True
        self.loaded_ms = clock.now()

    async def step(self, event):
        """Feeds one event to the planner and passes its commands on."""
        now_ms = self.clock.now()
        if self.recorder is not None:
            self.recorder.record(event, now_ms)
        commands = self.planner.step(event, now_ms, self.random)
        for command in commands:
            await self.actor.put(PlannedCommand(command, self.planner.view))

    async def handle(self, message):
        """Handles one message."""
        if isinstance(message, VmHealthQuery):
            message.reply.send(self.find_vm_health())
        elif isinstance(message, Delivery):
            self.add_demand_report(message.message)
        elif isinstance(message, SnapshotInstalled):
            self.fleet_outdated = True
        elif isinstance(message, LeadershipNotice):
            await self.tick()
        elif isinstance(message, EntryApplied):
            await self.handle_applied(message)
        else:
            await self.step(message)

    def find_vm_health(self):
        """Returns the VmHealth, or None if this control does not lead."""
        if not self.leading:
            return None
        view, now_ms = self.planner.view, self.clock.now()
        unavailable = [
            vm
            for vm in view.fleet.vms.values()
            if not is_available(view, vm, now_ms)
        ]
        not_reporting = [
            vm.name
            for vm in unavailable
            if not vm.missing and not is_reported_alive(view, vm, now_ms)
        ]
        return VmHealth([vm.name for vm in unavailable], not_reporting)

    def add_demand_report(self, report):
        """Adds an entry's report and forwards it to the leader."""
        if not isinstance(report, DemandReport):
            return
        self.demands.add(report, self.clock.now())
        dialer = self.dialers.get(self.leader)
        if dialer is not None:
            dialer.post(report)

    async def handle_applied(self, notice):
        """Reacts to a command that was applied to the replicated state.

        A pause or resume of all maintenance becomes an event. The fleet is
        read again after a new version, the return of a worker, or a change
        of a grant that is not the planner's.
        """
        command, answer = notice.command, notice.answer
        if type(command) in ACTION_BY_COMMAND and command.scope == "all":
            await self.step(
                MaintenanceControlled(ACTION_BY_COMMAND[type(command)])
            )
        elif isinstance(answer, PatchAccepted):
            self.fleet_outdated = True
        elif isinstance(command, RequestGrant):
            self.fleet_outdated |= command.author != PLANNER_AUTHOR
        elif isinstance(command, EndGrant | RenewGrant):
            self.fleet_outdated |= not command.grant.startswith(
                PLANNER_GRANT_PREFIX
            )
        elif isinstance(command, ReturnWorker):
            self.fleet_outdated = True

    async def tick(self):
        """Renews the planner's leader lease, then plans every pool."""
        answer = await ask(
            self.consensus, ReplicaStatusRequest, READ_TIMEOUT_MS
        )
        if answer.is_error():
            return
        status = answer.ok
        self.leader = status.leader_id.partition("/")[0]
        was_leading, self.leading = self.leading, status.ready
        if not self.leading:
            if was_leading:
                await self.step(LeadershipChanged(status.term, 0))
            return
        if not was_leading:
            logger.info("Planning started.", term=status.term)
            self.fleet_outdated = True
        event = LeadershipChanged(status.term, status.lease_until_ms)
        await self.step(event)
        age_ms = self.clock.now() - self.loaded_ms
        if self.fleet_outdated or age_ms >= RELOAD_INTERVAL_MS:
            await self.load_fleet()
        await self.report_demand()
        await self.step(Tick())
        await self.propose_returns()

    async def propose_returns(self):
        """Proposes the return of missing VMs that are available again."""
        view, now_ms = self.planner.view, self.clock.now()
        answer = await ask(
            self.consensus,
            lambda reply: Read(
                lambda state: make_return_proposals(view, state, now_ms),
                reply,
                consistent=False,
            ),
            READ_TIMEOUT_MS,
        )
        if answer.is_error() or answer.ok.is_error():
            return
        for command in answer.ok.ok:
            # A proposal that is lost is repeated at the next tick.
            await self.consensus.put(Proposal(command, Reply()))

    async def load_fleet(self):
        """Reads the version in force and the grants from the local replica."""
        offset_ms = self.clock.now() - self.clock.wall()
        answer = await ask(
            self.consensus,
            lambda reply: Read(
                lambda state: build_fleet_loaded(state, offset_ms),
                reply,
                consistent=False,
            ),
            READ_TIMEOUT_MS,
        )
        if answer.is_error() or answer.ok.is_error():
            return
        self.fleet_outdated = False
        self.loaded_ms = self.clock.now()
        await self.step(answer.ok.ok)

    async def report_demand(self):
        """Feeds the demand of each service, summed over the entries."""
        now_ms = self.clock.now()
        for service, slots in self.demands.totals(now_ms).items():
            await self.step(DemandReported(service, slots, now_ms))


async def drive_plans(inbound, driver, interval_ms):
    """Handles each message and ticks at a fixed interval.

    Args:
        inbound: Mailbox of events, reports and notices.
        driver: PlanDriver.
        interval_ms: Time from one tick to the next.
    """
    due_ms = driver.clock.now()
    dropped = 0
    while True:
        message = await inbound.get_within(due_ms - driver.clock.now())
        if message is not None:
            await driver.handle(message)
        if inbound.dropped != dropped:
            # One of the dropped messages may have announced a fleet change.
            dropped = inbound.dropped
            driver.fleet_outdated = True
        if driver.clock.now() >= due_ms:
            due_ms = driver.clock.now() + interval_ms
            await driver.tick()


async def answer_without_platform(inbound):
    """Answers every query that the health of the VMs is unknown."""
    async for message in inbound:
        if isinstance(message, VmHealthQuery):
            message.reply.send(None)

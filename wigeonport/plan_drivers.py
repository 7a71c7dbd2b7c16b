"""Plan drivers: the task that owns the planner of a control."""

from wigeonport.availabilities import is_available, is_heard
from wigeonport.channels import Reply, ask
from wigeonport.consensus_requests import (
    Applied,
    Installed,
    LeadershipNotice,
    Proposal,
    Read,
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
from wigeonport.plan_proposals import PLANNER_GRANTS, find_returns
from wigeonport.state_answers import PatchAccepted
from wigeonport.state_commands import (
    EndGrant,
    PauseMaintenance,
    RenewGrant,
    RequestGrant,
    ResumeMaintenance,
    ReturnWorker,
)
from wigeonport.state_requests import UnavailableQuery, VmHealth
from wigeonport.view_builders import PLANNER_AUTHOR, build_fleet_loaded

logger = PartLogger("planner")

READ_TIMEOUT_MS = 2_000
# The view knows the windows as they were when the fleet was read.
RELOAD_INTERVAL_MS = 60_000
STEERING = {PauseMaintenance: "pause", ResumeMaintenance: "resume"}


class PlanDriver:
    """Feeds the planner and hands its commands to the actor.

    Only the leader plans; every control keeps the platform's reports, so
    that a new leader knows the state of the VMs at once.

    Attributes:
        planner: Planner.
        consensus: Mailbox of the consensus task.
        actor: Mailbox of the plan actor.
        dialers: Dialers to the other controls by node id.
        clock: Time source.
        random: Random source.
        recorder: TraceRecorder, or None if nothing is recorded.
        demands: DemandTable of all entries.
        leader: Node id of the leader, or "".
        leading: Whether this control leads and its state is complete.
        outdated: Whether the fleet has to be read again.
        loaded_ms: When the fleet was read last.
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
        "outdated",
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
        self.outdated = True
        self.loaded_ms = clock.now()

    async def step(self, event):
        """Feeds one event and passes the commands on."""
        now_ms = self.clock.now()
        if self.recorder is not None:
            self.recorder.record(event, now_ms)
        commands = self.planner.step(event, now_ms, self.random)
        for command in commands:
            await self.actor.put(PlannedCommand(command, self.planner.view))

    async def handle(self, message):
        """Handles one message."""
        if isinstance(message, UnavailableQuery):
            message.reply.send(self.find_unavailable())
        elif isinstance(message, Delivery):
            self.take_demand(message.message)
        elif isinstance(message, Installed):
            self.outdated = True
        elif isinstance(message, LeadershipNotice):
            await self.tick()
        elif isinstance(message, Applied):
            await self.take_applied(message)
        else:
            await self.step(message)

    def find_unavailable(self):
        """Returns the VmHealth, or None if this control does not lead."""
        if not self.leading:
            return None
        view, now_ms = self.planner.view, self.clock.now()
        unavailable = [
            vm
            for vm in view.fleet.vms.values()
            if not is_available(view, vm, now_ms)
        ]
        unheard = [
            vm.name
            for vm in unavailable
            if not vm.missing and not is_heard(view, vm, now_ms)
        ]
        return VmHealth([vm.name for vm in unavailable], unheard)

    def take_demand(self, report):
        """Keeps a report of an entry and passes it on to the leader."""
        if not isinstance(report, DemandReport):
            return
        self.demands.add(report, self.clock.now())
        dialer = self.dialers.get(self.leader)
        if dialer is not None:
            dialer.post(report)

    async def take_applied(self, notice):
        """Follows what others than the planner changed in the state."""
        command, answer = notice.command, notice.answer
        if type(command) in STEERING and command.scope == "all":
            await self.step(MaintenanceControlled(STEERING[type(command)]))
        elif isinstance(answer, PatchAccepted):
            self.outdated = True
        elif isinstance(command, RequestGrant):
            self.outdated |= command.author != PLANNER_AUTHOR
        elif isinstance(command, EndGrant | RenewGrant):
            self.outdated |= not command.grant.startswith(PLANNER_GRANTS)
        elif isinstance(command, ReturnWorker):
            self.outdated = True

    async def tick(self):
        """Renews the lease of the planner, then plans every pool."""
        status = await ask(
            self.consensus, ReplicaStatusRequest, READ_TIMEOUT_MS
        )
        if status.is_error():
            return
        found = status.ok
        self.leader = found.leader_id.partition("/")[0]
        was_leading, self.leading = self.leading, found.ready
        if not self.leading:
            if was_leading:
                await self.step(LeadershipChanged(found.term, 0))
            return
        if not was_leading:
            logger.info("Planning as the leader.", term=found.term)
            self.outdated = True
        event = LeadershipChanged(found.term, found.lease_until_ms)
        await self.step(event)
        age_ms = self.clock.now() - self.loaded_ms
        if self.outdated or age_ms >= RELOAD_INTERVAL_MS:
            await self.load_fleet()
        await self.report_demand()
        await self.step(Tick())
        await self.return_workers()

    async def return_workers(self):
        """Tells the log of VMs that it misses and that are back."""
        view, now_ms = self.planner.view, self.clock.now()
        found = await ask(
            self.consensus,
            lambda reply: Read(
                lambda state: find_returns(view, state, now_ms),
                reply,
                consistent=False,
            ),
            READ_TIMEOUT_MS,
        )
        if found.is_error() or found.ok.is_error():
            return
        for command in found.ok.ok:
            # A return that is lost is proposed again at the next tick.
            await self.consensus.put(Proposal(command, Reply()))

    async def load_fleet(self):
        """Reads the version in force and the grants."""
        offset_ms = self.clock.now() - self.clock.wall()
        found = await ask(
            self.consensus,
            lambda reply: Read(
                lambda state: build_fleet_loaded(state, offset_ms),
                reply,
                consistent=False,
            ),
            READ_TIMEOUT_MS,
        )
        if found.is_error() or found.ok.is_error():
            return
        self.outdated = False
        self.loaded_ms = self.clock.now()
        await self.step(found.ok.ok)

    async def report_demand(self):
        """Feeds the demand of all entries."""
        now_ms = self.clock.now()
        for service, slots in self.demands.totals(now_ms).items():
            await self.step(DemandReported(service, slots, now_ms))


async def drive_plans(inbound, driver, interval_ms):
    """Owns the planner; plans on each event and at a fixed interval."""
    due_ms = driver.clock.now()
    dropped = 0
    while True:
        message = await inbound.get_within(due_ms - driver.clock.now())
        if message is not None:
            await driver.handle(message)
        if inbound.dropped != dropped:
            # A notice of a change may be among what was dropped.
            dropped = inbound.dropped
            driver.outdated = True
        if driver.clock.now() >= due_ms:
            due_ms = driver.clock.now() + interval_ms
            await driver.tick()


async def answer_without_platform(inbound):
    """Answers that the health of the VMs is not known."""
    async for message in inbound:
        if isinstance(message, UnavailableQuery):
            message.reply.send(None)

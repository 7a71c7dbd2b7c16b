"""The task that runs the dispatcher while its replica leads.

It owns the dispatcher. Everything reaches it as a message with a reply
channel; an answer leaves when the operations that it depends on are
committed and while the lease of the leader lasts.
"""

import collections
import json

import trio

from wigeonport.advisors import AdviceAnswered
from wigeonport.batch_calls import NOT_LEADING, UNKNOWN, BatchReply
from wigeonport.batch_commands import AdoptRoutes, OpenWave
from wigeonport.batch_dispatchers import BatchDispatcher
from wigeonport.batch_states import encode_operations
from wigeonport.channels import WAIT, Mailbox, Reply, ask
from wigeonport.consensus_requests import (
    LeadershipNotice,
    Proposal,
    Read,
    StatusRequest,
)
from wigeonport.logs import PartLogger
from wigeonport.machine_orders import MachineAnswered, MachineListed
from wigeonport.registries import Registry
from wigeonport.replica_events import COMMITTED, LEADER
from wigeonport.replication_messages import node_of
from wigeonport.state_commands import RecordBatch
from wigeonport.states import PARTS, ReplicatedState

logger = PartLogger("batch")

controller_inputs = Registry("batch controller input")

INBOX_BOUND = 4_096
BATCH_LIMIT = 256
TICK_MS = 100
# Far below the largest payload of an entry, 512 KiB.
BATCH_BYTES = 192 * 1024
STATUS_TIMEOUT_MS = 500
READ_TIMEOUT_MS = 5_000
RETRY_ACTIVATION_MS = 100
# Longer than an election; a call that is older has no reader any more.
PROPOSAL_TIMEOUT_MS = 8_000
COPIED_PARTS = ("batch", "routes", "upkeep")


class ReportReceived:
    """A heartbeat; answered by WorkerOrders or a Redirect."""

    __slots__ = ("report", "reply")

    def __init__(self, report, reply):
        self.report = report
        self.reply = reply


class CallReceived:
    """A BatchCall; answered by a BatchReply."""

    __slots__ = ("call", "reply")

    def __init__(self, call, reply):
        self.call = call
        self.reply = reply


class RoutesStated:
    """A RouteTable of the operator; answered by True or a Redirect."""

    __slots__ = ("table", "reply")

    def __init__(self, table, reply):
        self.table = table
        self.reply = reply


class RoutesAsked:
    """Asks for the RouteTable in force; answered by it or a Redirect."""

    __slots__ = ("reply",)

    def __init__(self, reply):
        self.reply = reply


class WaveStated:
    """An upkeep wave of the operator; answered by True or a Redirect."""

    __slots__ = ("number", "machines", "duration_ms", "max_count", "reply")

    def __init__(self, number, machines, duration_ms, max_count, reply):
        self.number = number
        self.machines = machines
        self.duration_ms = duration_ms
        self.max_count = max_count
        self.reply = reply


class WaveAsked:
    """Asks for a Wave; answered by it, None or a Redirect."""

    __slots__ = ("number", "reply")

    def __init__(self, number, reply):
        self.number = number
        self.reply = reply


class Redirect:
    """Tells the caller that this replica does not lead.

    Attributes:
        host: Address of the leader, or "".
    """

    __slots__ = ("host",)

    def __init__(self, host):
        self.host = host


class Loaded:
    """A copy of the state as of the start of a term."""

    __slots__ = ("term", "state")

    def __init__(self, term, state):
        self.term = term
        self.state = state


class ProposalEnded:
    """A batch was committed, or its outcome is not known."""

    __slots__ = ("term", "sequence", "outcome", "reason")

    def __init__(self, term, sequence, outcome, reason):
        self.term = term
        self.sequence = sequence
        self.outcome = outcome
        self.reason = reason


class BatchController:
    """State of the controlling task.

    Attributes:
        consensus: Mailbox of the consensus task.
        node: Node of this replica.
        settings: BatchSettings.
        clock: Clock.
        metrics: Metrics.
        machines: MachineManager, or None without a cloud.
        advisor: Advisor, or None without a service for advice.
        inbox: Mailbox of this task.
        dispatcher: BatchDispatcher while this replica leads, else None.
        term: Newest known term.
        leader_node: Node of the leader, or "".
        sequence: Number of the newest proposed batch.
        committed: Number of the newest committed batch.
        waiting: Triples of batch number, reply and answer, oldest first.
        round: Pairs of reply and answer of the current round.
        lease_until_ms: Until when this replica surely leads.
        nursery: Runs the waits for proposals.
        tick_due_ms: When timers are looked at again.
    """

    __slots__ = (
        "consensus",
        "node",
        "settings",
        "clock",
        "metrics",
        "machines",
        "advisor",
        "inbox",
        "dispatcher",
        "term",
        "leader_node",
        "sequence",
        "committed",
        "waiting",
        "round",
        "lease_until_ms",
        "nursery",
        "tick_due_ms",
    )

    def __init__(
        self,
        consensus,
        node,
        settings,
        clock,
        metrics,
        machines=None,
        advisor=None,
    ):
        self.consensus = consensus
        self.node = node
        self.settings = settings
        self.clock = clock
        self.metrics = metrics
        self.machines = machines
        self.advisor = advisor
        self.inbox = Mailbox("batch controller", INBOX_BOUND, WAIT)
        self.dispatcher = None
        self.term = 0
        self.leader_node = ""
        self.sequence = 0
        self.committed = 0
        self.waiting = collections.deque()
        self.round = []
        self.lease_until_ms = 0
        self.nursery = None
        self.tick_due_ms = 0

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Handles messages in rounds; one round forms one batch."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            task_status.started()
            while True:
                first = await self.inbox.get_within(
                    self.tick_due_ms - self.clock.now()
                )
                events = [] if first is None else [first]
                events += self.inbox.drain(BATCH_LIMIT)
                self.handle(events)
                self.propose()
                await self.release()

    def handle(self, events):
        """Handles events and collects their answers in ``round``."""
        for event in events:
            handler = controller_inputs.entries[type(event)]
            answer = handler(self, event)
            reply = getattr(event, "reply", None)
            if reply is not None:
                self.round.append((reply, answer))
        now_ms = self.clock.now()
        if now_ms >= self.tick_due_ms:
            self.tick_due_ms = now_ms + TICK_MS
            if self.dispatcher is not None:
                self.tick(now_ms)

    def tick(self, now_ms):
        """Fires the timers of the dispatcher and of what serves it."""
        self.dispatcher.on_tick(now_ms, self.clock.wall())
        if self.machines is not None:
            self.round += self.machines.on_tick(self.dispatcher, now_ms)
        if self.advisor is not None:
            self.advisor.on_tick(self.dispatcher, now_ms)

    def propose(self):
        """Proposes the operations of this round."""
        if self.dispatcher is None:
            return
        operations = self.dispatcher.take_operations()
        if not operations:
            return
        chunk, size = [], 0
        for data in encode_operations(operations):
            if chunk and size + len(data) > BATCH_BYTES:
                self.propose_chunk(chunk)
                chunk, size = [], 0
            chunk.append(data)
            size += len(data)
        self.propose_chunk(chunk)

    def propose_chunk(self, chunk):
        """Proposes one batch and starts the wait for its outcome."""
        self.sequence += 1
        command = RecordBatch(self.dispatcher.wall_ms, chunk)
        reply = Reply()
        if not self.consensus.put_nowait(Proposal(command, reply)):
            self.stand_down("the consensus task is busy")
            return
        self.nursery.start_soon(
            self.await_outcome, self.term, self.sequence, reply
        )

    async def await_outcome(self, term, sequence, reply):
        """Passes the outcome of a proposal to the inbox."""
        start_ms = self.clock.now()
        answer = await reply.wait(PROPOSAL_TIMEOUT_MS)
        if answer.is_error():
            ended = ProposalEnded(term, sequence, "unknown", answer.error)
        else:
            found = answer.ok
            ended = ProposalEnded(term, sequence, found.outcome, found.reason)
        self.metrics.record("batch_commit_ms", self.clock.now() - start_ms)
        await self.inbox.put(ended)

    async def release(self):
        """Sends the answers that nothing holds back."""
        if self.dispatcher is None:
            # Only answers that name another replica are left.
            for reply, answer in self.round:
                reply.send(answer)
            self.round.clear()
            return
        for reply, answer in self.round:
            self.waiting.append((self.sequence, reply, answer))
        self.round.clear()
        if not self.waiting or self.waiting[0][0] > self.committed:
            return
        if not await self.confirm_lease():
            self.stand_down("the lease has ended")
            return
        while self.waiting and self.waiting[0][0] <= self.committed:
            _, reply, answer = self.waiting.popleft()
            reply.send(answer)

    async def confirm_lease(self):
        """Returns whether this replica surely leads at this moment."""
        if self.clock.now() < self.lease_until_ms:
            return True
        status = await ask(self.consensus, StatusRequest, STATUS_TIMEOUT_MS)
        if status.is_error():
            return False
        found = status.ok
        if found.role == LEADER and found.term == self.term:
            self.lease_until_ms = found.lease_until_ms
        return self.clock.now() < self.lease_until_ms

    def stand_down(self, reason):
        """Drops the working copy; what waits has an unknown outcome."""
        if self.dispatcher is None:
            return
        logger.warning("Dispatching ends.", term=self.term, reason=reason)
        self.dispatcher = None
        self.lease_until_ms = 0
        if self.machines is not None:
            self.machines.stop()
        pending = [(reply, answer) for _, reply, answer in self.waiting]
        for reply, answer in pending + self.round:
            if isinstance(answer, BatchReply):
                reply.send(BatchReply(UNKNOWN, reason))
            else:
                reply.send(Redirect(""))
        self.waiting.clear()
        self.round.clear()
        if self.leader_node == self.node:
            self.nursery.start_soon(self.load, self.term)

    async def load(self, term):
        """Reads a copy of the state once this term has been confirmed."""
        while self.term == term and self.leader_node == self.node:
            found = await ask(
                self.consensus,
                lambda reply: Read(copy_parts, reply, True),
                READ_TIMEOUT_MS,
            )
            loaded = found.bind(lambda answer: answer)
            if loaded.is_ok():
                await self.inbox.put(Loaded(term, loaded.ok))
                return
            logger.warning("State is not ready.", reason=loaded.error)
            await self.clock.sleep(RETRY_ACTIVATION_MS)

    def redirect(self):
        """Returns where to turn to."""
        leads_elsewhere = self.leader_node != self.node
        return Redirect(self.leader_node if leads_elsewhere else "")


def copy_parts(state):
    """Returns a ReplicatedState with copies of the batch parts."""
    copy = ReplicatedState()
    for name in COPIED_PARTS:
        _, read = PARTS.entries[name]
        document = json.dumps(getattr(state, name).to_document())
        setattr(copy, name, read(json.loads(document)))
    return copy


@controller_inputs.register(MachineListed)
def on_machines_listed(controller, event):
    """Takes in the platform's list of machines."""
    if controller.machines is not None:
        controller.machines.note_list(event)


@controller_inputs.register(MachineAnswered)
def on_machine_answered(controller, event):
    """Takes in the platform's answer to an order."""
    dispatcher = controller.dispatcher
    if dispatcher is not None and event.term == controller.term:
        dispatcher.wall_ms = controller.clock.wall()
        controller.machines.note_answer(
            dispatcher, event, controller.clock.now()
        )


@controller_inputs.register(AdviceAnswered)
def on_advice(controller, event):
    """Takes in the tickets of an answer."""
    controller.advisor.note_answer(
        controller.dispatcher, event, controller.clock.now()
    )


@controller_inputs.register(LeadershipNotice)
def on_leadership(controller, notice):
    """Learns who leads."""
    controller.leader_node = (
        node_of(notice.leader_id) if notice.leader_id else ""
    )
    if controller.dispatcher is not None and (
        notice.term != controller.term
        or controller.leader_node != controller.node
    ):
        controller.stand_down("another replica leads")
    controller.term = notice.term
    if controller.leader_node == controller.node:
        controller.nursery.start_soon(controller.load, notice.term)


@controller_inputs.register(Loaded)
def on_loaded(controller, loaded):
    """Starts to dispatch."""
    if loaded.term != controller.term or controller.dispatcher is not None:
        return
    if controller.leader_node != controller.node:
        return
    now_ms = controller.clock.now()
    controller.dispatcher = BatchDispatcher(
        loaded.state, controller.settings, loaded.term, now_ms
    )
    controller.committed = controller.sequence
    if controller.machines is not None:
        controller.machines.restart(now_ms)
    logger.info(
        "Dispatching begins.",
        term=loaded.term,
        jobs=len(controller.dispatcher.active),
        version=loaded.state.routes.table.version,
    )


@controller_inputs.register(ProposalEnded)
def on_proposal_ended(controller, ended):
    """Learns that a batch is durable."""
    if ended.term != controller.term or controller.dispatcher is None:
        return
    if ended.outcome == COMMITTED:
        controller.committed = max(controller.committed, ended.sequence)
    elif ended.sequence > controller.committed:
        controller.stand_down(f"{ended.outcome}: {ended.reason}")


@controller_inputs.register(ReportReceived)
def on_report(controller, event):
    """Answers a heartbeat."""
    if controller.dispatcher is None:
        return controller.redirect()
    controller.metrics.count("batch_heartbeats")
    return controller.dispatcher.on_report(
        event.report, controller.clock.now(), controller.clock.wall()
    )


@controller_inputs.register(CallReceived)
def on_call(controller, event):
    """Answers a caller's request."""
    if controller.dispatcher is None:
        return BatchReply(NOT_LEADING, leader=controller.redirect().host)
    controller.metrics.count("batch_calls")
    reply = controller.dispatcher.on_call(event.call, controller.clock.wall())
    logger.info(
        "Call decided.",
        request=event.call.request_id,
        verb=event.call.verb,
        path=event.call.path,
        outcome=reply.outcome,
        detail=reply.detail,
        version=controller.dispatcher.state.routes.table.version,
        term=controller.term,
    )
    return reply


@controller_inputs.register(RoutesStated)
def on_routes_stated(controller, event):
    """Adopts a routing table if its version is higher."""
    dispatcher = controller.dispatcher
    if dispatcher is None:
        return controller.redirect()
    table = event.table
    current = dispatcher.state.routes.table.version
    logger.info("Routes stated.", version=table.version, current=current)
    if table.version > current:
        dispatcher.wall_ms = controller.clock.wall()
        dispatcher.record(AdoptRoutes(table.version, table.to_bytes()))
    return True


@controller_inputs.register(RoutesAsked)
def on_routes_asked(controller, event):
    """Returns the routing table in force."""
    if controller.dispatcher is None:
        return controller.redirect()
    return controller.dispatcher.state.routes.table


@controller_inputs.register(WaveStated)
def on_wave_stated(controller, event):
    """Accepts an upkeep wave."""
    dispatcher = controller.dispatcher
    if dispatcher is None:
        return controller.redirect()
    dispatcher.wall_ms = controller.clock.wall()
    logger.info(
        "Wave stated.", wave=event.number, machines=len(event.machines)
    )
    dispatcher.record(
        OpenWave(
            event.number,
            event.machines,
            dispatcher.wall_ms + event.duration_ms,
            event.max_count,
        )
    )
    return True


@controller_inputs.register(WaveAsked)
def on_wave_asked(controller, event):
    """Returns a wave, or None."""
    if controller.dispatcher is None:
        return controller.redirect()
    return controller.dispatcher.state.upkeep.waves.get(event.number)


async def forward_leadership(notices, inbox):
    """Passes the notices of the consensus task on to the controller."""
    async for notice in notices:
        if isinstance(notice, LeadershipNotice):
            await inbox.put(notice)

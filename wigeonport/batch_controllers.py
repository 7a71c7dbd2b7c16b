"""The task that runs the dispatcher while its replica leads.

It owns the dispatcher. Everything reaches it as a message with a reply
channel; an answer leaves when the operations that it depends on are
committed and while the lease of the leader lasts.
"""

import collections
import json

import trio

from wigeonport import batch_inputs
from wigeonport.batch_calls import UNKNOWN, BatchReply
from wigeonport.batch_messages import (
    CallReceived,
    Loaded,
    ProposalEnded,
    Redirect,
)
from wigeonport.batch_states import encode_operations
from wigeonport.channels import WAIT, Mailbox, Reply, ask
from wigeonport.consensus_requests import (
    LeadershipNotice,
    Proposal,
    Read,
    ResignRequest,
    StatusRequest,
)
from wigeonport.logs import PartLogger
from wigeonport.replica_events import COMMITTED, LEADER
from wigeonport.state_commands import RecordBatch
from wigeonport.states import PARTS, ReplicatedState

logger = PartLogger("batch")

INBOX_BOUND = 4_096
MAX_EVENTS_PER_ROUND = 256
TICK_MS = 100
# Far below the largest payload of an entry, 512 KiB.
MAX_BATCH_BYTES = 192 * 1024
STATUS_TIMEOUT_MS = 500
READ_TIMEOUT_MS = 5_000
LOAD_RETRY_MS = 100
# Longer than an election; a call that is older has no reader any more.
PROPOSAL_TIMEOUT_MS = 8_000
COPIED_PARTS = ("batch", "routes", "upkeep")


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
        pending_answers: Triples of batch number, reply and answer, oldest first.
        round_answers: Pairs of reply and answer of the current round.
        lease_until_ms: Until when this replica surely leads.
        stopping: Whether the process stops and must not lead any more.
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
        "pending_answers",
        "round_answers",
        "lease_until_ms",
        "stopping",
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
        self.pending_answers = collections.deque()
        self.round_answers = []
        self.lease_until_ms = 0
        self.stopping = False
        self.nursery = None
        self.tick_due_ms = 0

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Handles messages in rounds; a batch has those of one or more."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            task_status.started()
            while True:
                first = await self.inbox.get_within(
                    self.tick_due_ms - self.clock.now()
                )
                events = [] if first is None else [first]
                events += self.inbox.drain(MAX_EVENTS_PER_ROUND)
                self.handle(events)
                self.propose()
                await self.send_durable_answers()

    def handle(self, events):
        """Handles events and collects their answers in ``round_answers``."""
        for event in events:
            answer = self.dispatch(event)
            reply = getattr(event, "reply", None)
            if reply is not None:
                self.round_answers.append((reply, answer))
        now_ms = self.clock.now()
        if now_ms >= self.tick_due_ms:
            self.tick_due_ms = now_ms + TICK_MS
            if self.dispatcher is not None:
                self.tick(now_ms)

    def dispatch(self, event):
        """Handles one event; a fault costs the working copy, not more."""
        try:
            return batch_inputs.dispatch(self, event)
        except Exception as fault:
            logger.error(
                "An event cannot be handled.",
                event=type(event).__name__,
                fault=repr(fault),
            )
            self.metrics.count("batch_faults")
            self.stop_dispatching("an event cannot be handled")
            if isinstance(event, CallReceived):
                return BatchReply(UNKNOWN, "the control failed")
            return Redirect("")

    def tick(self, now_ms):
        """Fires the timers of the dispatcher and of what serves it."""
        self.dispatcher.on_tick(now_ms, self.clock.wall())
        if self.machines is not None:
            self.round_answers += self.machines.on_tick(
                self.dispatcher, now_ms
            )
        if self.advisor is not None:
            self.advisor.on_tick(self.dispatcher, now_ms)

    def propose(self):
        """Proposes what has gathered while the last batch was committed.

        One batch at a time: under load its cost is shared by all that
        arrives meanwhile.
        """
        if self.dispatcher is None or self.sequence > self.committed:
            return
        operations = self.dispatcher.take_operations()
        if not operations:
            return
        chunk, size = [], 0
        for data in encode_operations(operations):
            if chunk and size + len(data) > MAX_BATCH_BYTES:
                self.propose_chunk(chunk)
                chunk, size = [], 0
            chunk.append(data)
            size += len(data)
        self.propose_chunk(chunk)

    def propose_chunk(self, chunk):
        """Proposes one batch and starts the wait for its outcome."""
        if self.dispatcher is None:
            return
        self.sequence += 1
        command = RecordBatch(self.dispatcher.wall_ms, chunk)
        reply = Reply()
        if not self.consensus.put_nowait(Proposal(command, reply)):
            self.stop_dispatching("the consensus task is busy")
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

    async def send_durable_answers(self):
        """Sends the answers that nothing holds back."""
        if self.dispatcher is None:
            # Only answers that name another replica are left.
            for reply, answer in self.round_answers:
                reply.send(answer)
            self.round_answers.clear()
            return
        # What has not been proposed yet will be part of the next batch.
        needed = self.sequence + bool(self.dispatcher.operations)
        for reply, answer in self.round_answers:
            self.pending_answers.append((needed, reply, answer))
        self.round_answers.clear()
        if (
            not self.pending_answers
            or self.pending_answers[0][0] > self.committed
        ):
            return
        if not await self.confirm_lease():
            self.stop_dispatching("the lease has ended")
            return
        while (
            self.pending_answers
            and self.pending_answers[0][0] <= self.committed
        ):
            _, reply, answer = self.pending_answers.popleft()
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

    def stop_dispatching(self, reason):
        """Drops the working copy; what waits has an unknown outcome."""
        if self.dispatcher is None:
            return
        logger.warning("Dispatching ends.", term=self.term, reason=reason)
        self.dispatcher = None
        self.lease_until_ms = 0
        if self.machines is not None:
            self.machines.stop()
        pending = [
            (reply, answer) for _, reply, answer in self.pending_answers
        ]
        for reply, answer in pending + self.round_answers:
            if isinstance(answer, BatchReply):
                reply.send(BatchReply(UNKNOWN, reason))
            else:
                reply.send(Redirect(""))
        self.pending_answers.clear()
        self.round_answers.clear()
        if self.leader_node == self.node and not self.stopping:
            self.nursery.start_soon(self.load, self.term)

    async def resign(self):
        """Asks the consensus task to hand the lead over."""
        answer = await ask(self.consensus, ResignRequest, STATUS_TIMEOUT_MS)
        logger.info("Lead handed over.", term=self.term, done=answer.is_ok())

    async def load(self, term):
        """Reads a copy of the state once this term has been confirmed."""
        while self.term == term and self.leader_node == self.node:
            # An earlier batch of this term may still be on its way to a
            # quorum; the copy has to contain it.
            if not await self.commit_barrier():
                await self.clock.sleep(LOAD_RETRY_MS)
                continue
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
            await self.clock.sleep(LOAD_RETRY_MS)

    async def commit_barrier(self):
        """Returns whether all earlier batches have been decided."""
        command = RecordBatch(self.clock.wall(), [])
        answer = await ask(
            self.consensus,
            lambda reply: Proposal(command, reply),
            READ_TIMEOUT_MS,
        )
        return answer.is_ok() and answer.ok.outcome == COMMITTED

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


async def forward_leadership(notices, inbox):
    """Passes the notices of the consensus task on to the controller."""
    async for notice in notices:
        if isinstance(notice, LeadershipNotice):
            await inbox.put(notice)

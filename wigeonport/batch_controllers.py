"""The task that runs the dispatcher while its replica is the leader.

The task owns the dispatcher; requests reach it as messages with a reply
channel. An answer is sent only after the operations that it depends on are
committed, and only while the lease of the leader lasts.
"""

import collections

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
from wigeonport.interference_tables import INTERFERENCE_TABLE
from wigeonport.key_refusals import KeyRefusals
from wigeonport.logs import PartLogger
from wigeonport.machine_orders import PlannedOrder
from wigeonport.memory_admissions import publish_memory
from wigeonport.replica_events import COMMITTED, LEADER
from wigeonport.state_commands import RecordBatch
from wigeonport.state_copies import copy_parts
from wigeonport.tenant_metrics import clear_tenants, publish_tenants

logger = PartLogger("batch")

INBOX_BOUND = 4_096
MAX_EVENTS_PER_ROUND = 256
TICK_MS = 100
# Well below the maximum payload of a log entry, 512 KiB.
MAX_BATCH_BYTES = 192 * 1024
STATUS_TIMEOUT_MS = 500
READ_TIMEOUT_MS = 5_000
LOAD_RETRY_MS = 100
# Time for which answers wait for a lease that has run out while no other
# leader is known. Loading the state again costs more than a short gap, and
# entries repeat a call after 900 ms.
LEASE_WAIT_MS = 600
# Longer than an election; after this time no caller waits for the answer.
PROPOSAL_TIMEOUT_MS = 8_000


class BatchController:
    """Runs the dispatcher and commits its operations.

    Attributes:
        consensus: Mailbox of the consensus task.
        node: Node of this replica.
        settings: BatchSettings.
        clock: Clock.
        metrics: Metrics.
        machines: MachineManager, or None if the platform manages none.
        advisor: Advisor, or None without an advice service.
        inbox: Mailbox of this task.
        dispatcher: BatchDispatcher while this replica is the leader,
            otherwise None.
        term: Newest known term.
        leader_node: Node of the leader, or "".
        sequence: Number of the newest proposed batch.
        committed: Number of the newest committed batch.
        pending_answers: Triples (batch number, reply, answer) of the answers
            that wait for a commit, oldest first.
        round_answers: Pairs (reply, answer) of the current round.
        unproposed_answers: Pairs (reply, answer) of the answers that depend
            on operations which are not proposed yet.
        lease_until_ms: Monotonic time until which the lease of this leader
            is confirmed.
        lease_missed_ms: Monotonic time since which the lease could not be
            confirmed, or None.
        stopping: Whether the process stops and must not become the leader.
        nursery: Runs the tasks that wait for the outcomes of proposals.
        tick_due_ms: Monotonic time of the next tick.
        key_refusals: KeyRefusals.
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
        "unproposed_answers",
        "lease_until_ms",
        "lease_missed_ms",
        "stopping",
        "nursery",
        "tick_due_ms",
        "key_refusals",
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
        self.unproposed_answers = []
        self.lease_until_ms = 0
        self.lease_missed_ms = None
        self.stopping = False
        self.nursery = None
        self.tick_due_ms = 0
        self.key_refusals = KeyRefusals()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Handles messages in rounds; a batch covers one or more rounds."""
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
        """Handles events and collects their answers in ``round_answers``.

        An event whose answer has been given up is skipped. Its sender repeats
        it, and a control that falls behind would handle nothing else.
        """
        for event in events:
            reply = getattr(event, "reply", None)
            if reply is not None and reply.is_abandoned():
                self.metrics.count("batch_abandoned_events")
                continue
            answer = self.dispatch(event)
            if reply is not None:
                self.round_answers.append((reply, answer))
        now_ms = self.clock.now()
        if now_ms >= self.tick_due_ms:
            self.tick_due_ms = now_ms + TICK_MS
            if self.dispatcher is not None:
                self.tick(now_ms)

    def dispatch(self, event):
        """Handles one event; an exception reloads the state."""
        try:
            return batch_inputs.dispatch(self, event)
        except Exception as error:
            self.reload_after(error, type(event).__name__)
            if isinstance(event, CallReceived):
                return BatchReply(
                    UNKNOWN, "the control failed to handle the request"
                )
            return Redirect("")

    def reload_after(self, error, activity):
        """Drops the dispatcher and its copy of the state after an exception.

        The state is loaded again, and the process keeps running.

        Args:
            error: The exception.
            activity: What failed, for the log.
        """
        logger.error(
            "Event handling failed.", event=activity, fault=repr(error)
        )
        self.metrics.count("batch_faults")
        self.stop_dispatching("handling an event failed")

    def tick(self, now_ms):
        """Runs the timers; an exception reloads the state."""
        try:
            self.dispatcher.on_tick(now_ms, self.clock.wall())
            publish_tenants(self.dispatcher, self.metrics, now_ms)
            publish_memory(self.dispatcher, self.metrics)
            if self.dispatcher.interference is not None:
                self.dispatcher.interference.publish(self.metrics, now_ms)
            if self.machines is not None:
                self.round_answers += self.machines.on_tick(
                    self.dispatcher, now_ms
                )
            if self.advisor is not None:
                self.advisor.on_tick(self.dispatcher, now_ms)
        except Exception as error:
            self.reload_after(error, "tick")

    def propose(self):
        """Proposes the operations collected since the last proposal.

        Only one set of operations is in flight at a time: under load the
        cost of a commit is shared by all operations that arrive during it.
        Answers that depend on them wait for the last of their batches.
        """
        if self.dispatcher is None or self.sequence > self.committed:
            return
        operations = self.dispatcher.take_operations()
        if not operations:
            return
        try:
            encoded = encode_operations(operations)
        except Exception as error:
            self.reload_after(error, "encoding")
            return
        chunk, size = [], 0
        for data in encoded:
            if chunk and size + len(data) > MAX_BATCH_BYTES:
                self.propose_chunk(chunk)
                chunk, size = [], 0
            chunk.append(data)
            size += len(data)
        self.propose_chunk(chunk)
        for reply, answer in self.unproposed_answers:
            self.pending_answers.append((self.sequence, reply, answer))
        self.unproposed_answers.clear()

    def propose_chunk(self, chunk):
        """Proposes one batch and starts a task that awaits its outcome."""
        if self.dispatcher is None:
            return
        self.sequence += 1
        command = RecordBatch(self.dispatcher.wall_ms, chunk)
        reply = Reply()
        if not self.consensus.put_nowait(Proposal(command, reply)):
            self.stop_dispatching("the inbox of the consensus task is full")
            return
        self.nursery.start_soon(
            self.await_outcome, self.term, self.sequence, reply
        )

    async def await_outcome(self, term, sequence, reply):
        """Sends the outcome of a proposal to the inbox of the controller."""
        start_ms = self.clock.now()
        answer = await reply.wait(PROPOSAL_TIMEOUT_MS)
        if answer.is_error():
            notice = ProposalEnded(term, sequence, "unknown", answer.error)
        else:
            result = answer.ok
            notice = ProposalEnded(
                term, sequence, result.outcome, result.reason
            )
        self.metrics.record("batch_commit_ms", self.clock.now() - start_ms)
        await self.inbox.put(notice)

    async def send_durable_answers(self):
        """Sends the answers whose operations are committed."""
        if self.dispatcher is None:
            # Without a dispatcher, every answer is a redirect or an error.
            for reply, answer in self.round_answers:
                reply.send(answer)
            self.round_answers.clear()
            return
        if self.dispatcher.operations:
            # Into how many batches they will go is not known yet.
            self.unproposed_answers += self.round_answers
        else:
            for reply, answer in self.round_answers:
                self.pending_answers.append((self.sequence, reply, answer))
        self.round_answers.clear()
        if (
            not self.pending_answers
            or self.pending_answers[0][0] > self.committed
        ):
            return
        if not await self.confirm_lease():
            self.wait_for_lease()
            return
        self.lease_missed_ms = None
        while (
            self.pending_answers
            and self.pending_answers[0][0] <= self.committed
        ):
            _, reply, answer = self.pending_answers.popleft()
            if isinstance(answer, PlannedOrder):
                answer.valid_until_ms = self.lease_until_ms
            reply.send(answer)

    def wait_for_lease(self):
        """Keeps the answers for a while until the lease is confirmed again.

        A lease that is confirmed in the same term says that no other leader
        was elected meanwhile, so that the working copy is still valid.
        """
        now_ms = self.clock.now()
        if self.lease_missed_ms is None:
            self.lease_missed_ms = now_ms
            self.metrics.count("batch_missed_leases")
        elif now_ms - self.lease_missed_ms > LEASE_WAIT_MS:
            self.stop_dispatching("the lease of the leader has expired")

    async def confirm_lease(self):
        """Returns whether this replica holds the lease of the leader now."""
        if self.clock.now() < self.lease_until_ms:
            return True
        status = await ask(self.consensus, StatusRequest, STATUS_TIMEOUT_MS)
        if status.is_error():
            return False
        replica = status.ok
        if replica.role == LEADER and replica.term == self.term:
            self.lease_until_ms = replica.lease_until_ms
        return self.clock.now() < self.lease_until_ms

    def stop_dispatching(self, reason):
        """Drops the dispatcher; calls that wait get an unknown outcome."""
        if self.dispatcher is None:
            return
        logger.warning("Dispatching stopped.", term=self.term, reason=reason)
        self.dispatcher = None
        self.lease_missed_ms = None
        self.metrics.tables.pop(INTERFERENCE_TABLE, None)
        self.lease_until_ms = 0
        clear_tenants(self.metrics)
        if self.machines is not None:
            self.machines.stop()
        waiting = [
            (reply, answer) for _, reply, answer in self.pending_answers
        ]
        waiting += self.unproposed_answers + self.round_answers
        for reply, answer in waiting:
            if isinstance(answer, BatchReply):
                reply.send(BatchReply(UNKNOWN, reason))
            else:
                reply.send(Redirect(""))
        self.pending_answers.clear()
        self.unproposed_answers.clear()
        self.round_answers.clear()
        if self.leader_node == self.node and not self.stopping:
            self.nursery.start_soon(self.load, self.term)

    async def resign(self):
        """Asks the consensus task to transfer leadership."""
        answer = await ask(self.consensus, ResignRequest, STATUS_TIMEOUT_MS)
        logger.info(
            "Leadership handed over.", term=self.term, done=answer.is_ok()
        )

    async def load(self, term):
        """Loads a copy of the state once this term has committed an entry."""
        while self.term == term and self.leader_node == self.node:
            # An earlier batch of this term may not have reached a quorum
            # yet; the copy must contain it.
            if not await self.commit_barrier():
                await self.clock.sleep(LOAD_RETRY_MS)
                continue
            answer = await ask(
                self.consensus,
                lambda reply: Read(copy_parts, reply, True),
                READ_TIMEOUT_MS,
            )
            loaded = answer.bind(lambda result: result)
            if loaded.is_ok():
                await self.inbox.put(Loaded(term, loaded.ok))
                return
            logger.warning("State could not be read.", reason=loaded.error)
            await self.clock.sleep(LOAD_RETRY_MS)

    async def commit_barrier(self):
        """Commits an empty batch; returns whether that succeeded.

        All earlier batches then have an outcome.
        """
        command = RecordBatch(self.clock.wall(), [])
        answer = await ask(
            self.consensus,
            lambda reply: Proposal(command, reply),
            READ_TIMEOUT_MS,
        )
        return answer.is_ok() and answer.ok.outcome == COMMITTED

    def redirect(self):
        """Returns a Redirect to the leader, if it is another node."""
        leads_elsewhere = self.leader_node != self.node
        return Redirect(self.leader_node if leads_elsewhere else "")


async def forward_leadership(notices, inbox):
    """Forwards changes of leadership from the consensus task."""
    async for notice in notices:
        if isinstance(notice, LeadershipNotice):
            await inbox.put(notice)

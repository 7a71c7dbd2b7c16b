"""The task that owns a replica, its journal and the replicated state.

The filters around it put their results into its ``inbox``: the links deliver
the messages of peers, the journal writer makes Persists durable in a worker
thread, and the snapshot writer encodes and writes snapshots in another.
"""

import collections
import functools
import random

import trio

from wigeonport import consensus_inputs
from wigeonport.channels import WAIT, Mailbox
from wigeonport.codecs import codecs
from wigeonport.consensus_calls import OpenCalls
from wigeonport.consensus_requests import (
    EntryApplied,
    LeadershipNotice,
    LoggedCommand,
    ProposalAnswer,
    SnapshotInstalled,
)
from wigeonport.consensus_writers import write_journal, write_snapshots
from wigeonport.leader_absences import (
    LeaderAbsence,
    describe_absence,
    has_leader,
)
from wigeonport.logs import PartLogger
from wigeonport.replica_events import (
    COMMITTED,
    UNKNOWN,
    ConsistencyError,
    Outcome,
    Propose,
    Snapshot,
    SnapshotTaken,
    Tick,
)
from wigeonport.replicas import Replica
from wigeonport.replication_messages import DATA, node_of
from wigeonport.snapshots import decode_state
from wigeonport.states import Entry as StateEntry

logger = PartLogger("consensus")

codec = codecs.get("thrift").ok()
INBOX_BOUND = 4_096
# Maximum number of messages handled in a round; the journal writer gets its
# batch at the end of the round.
MAX_BATCH_MESSAGES = 512
SNAPSHOT_ENTRIES = 5_000
SNAPSHOT_BYTES = 16 * 1024 * 1024
# Far below the heartbeat interval, so that applying entries delays no
# heartbeat.
MAX_APPLY_MS = 20


class Consensus:
    """The task of one replica.

    Attributes:
        replica: Consensus core of the replica.
        journal: Journal or NullJournal.
        directory: Data directory, or None without a disk.
        state: Replicated state after the last applied entry.
        state_from_document: Function that returns a Result of a state from
            the document of a snapshot.
        send: Function ``(node, message)`` that does not wait; it returns
            False only if the message was certainly not sent.
        clock: Clock.
        metrics: Metrics.
        inbox: Mailbox of messages from peers and of requests.
        calls: Open proposals and reads.
        observers: Mailboxes that get each EntryApplied, SnapshotInstalled
            and LeadershipNotice; each must refuse or drop when full.
        batch: ProposalItems to append in the current round.
        pending_persists: Persists to hand to the journal writer next.
        write_in_progress: Whether the journal writer is busy.
        write_requests: Mailbox of the journal writer.
        snapshot_requests: Mailbox of the snapshot writer.
        snapshot_index: Index of the newest snapshot, or of the one that
            is being written.
        snapshot_in_progress: Whether the snapshot writer is busy.
        snapshot_entries: Number of entries to apply between two snapshots.
        snapshot_bytes: Size of the applied entries at which a snapshot is
            due earlier; they stay in memory until then.
        unobserved_commands: Classes of the commands for which observers
            get no EntryApplied.
        leadership: Pair of term and leader id after the last round.
        leader_absence: LeaderAbsence.
        applied_index: Index of the last entry applied to the state.
        unapplied_entries: Committed entries to apply next.
        committed_outcomes: Maps the index of an unapplied entry to the
            Outcome of its proposal, if this replica proposed it.
        tick_postponed: Whether the timers are due and have been put off
            until the next round has handled the inbox.
    """

    __slots__ = (
        "replica",
        "journal",
        "directory",
        "state",
        "state_from_document",
        "send",
        "clock",
        "metrics",
        "inbox",
        "calls",
        "observers",
        "batch",
        "pending_persists",
        "write_in_progress",
        "write_requests",
        "snapshot_requests",
        "snapshot_index",
        "snapshot_in_progress",
        "snapshot_entries",
        "snapshot_bytes",
        "unobserved_commands",
        "leadership",
        "leader_absence",
        "applied_index",
        "unapplied_entries",
        "committed_outcomes",
        "tick_postponed",
    )

    def __init__(
        self,
        storage,
        directory,
        seeds,
        state,
        state_from_document,
        send,
        clock,
        metrics,
        settings=None,
        random_source=None,
        snapshot_entries=SNAPSHOT_ENTRIES,
        unobserved_commands=(),
        snapshot_bytes=SNAPSHOT_BYTES,
    ):
        self.replica = Replica(
            storage.replica_id,
            seeds,
            storage.durable,
            storage.recovered,
            clock.now(),
            random_source or random.Random(),
            settings,
        )
        self.journal = storage.journal
        self.directory = directory if storage.durable else None
        self.state = state
        self.state_from_document = state_from_document
        self.send = send
        self.clock = clock
        self.metrics = metrics
        self.inbox = Mailbox("consensus", INBOX_BOUND, WAIT)
        self.calls = OpenCalls()
        self.observers = []
        self.batch = []
        self.pending_persists = []
        self.write_in_progress = False
        self.write_requests = Mailbox("journal writer", 1, WAIT)
        self.snapshot_requests = Mailbox("snapshot writer", 1, WAIT)
        self.snapshot_index = 0
        self.snapshot_in_progress = False
        self.snapshot_entries = snapshot_entries
        self.snapshot_bytes = snapshot_bytes
        self.unobserved_commands = unobserved_commands
        self.leadership = (0, "")
        self.leader_absence = LeaderAbsence(clock.now())
        self.applied_index = 0
        self.unapplied_entries = collections.deque()
        self.committed_outcomes = {}
        self.tick_postponed = False
        if storage.recovered.snapshot:
            self.install(storage.recovered.snapshot)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Runs until it is cancelled or the disk fails.

        Raises:
            JournalError: If the disk failed; the process must then end.
            ConsistencyError: If an invariant of the log is violated.
        """
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    write_journal,
                    self.journal,
                    self.write_requests,
                    self.inbox,
                    self.clock,
                    self.metrics,
                )
                nursery.start_soon(
                    write_snapshots,
                    self.directory,
                    self.snapshot_requests,
                    self.inbox,
                    self.metrics,
                )
                task_status.started()
                await self.serve()
        finally:
            self.calls.abandon_all("the process is stopping")
            self.journal.close()

    async def serve(self):
        """Handles the inbox in rounds.

        The proposals of a round are appended together.
        """
        while True:
            wait_ms = self.replica.next_deadline_ms() - self.clock.now()
            if self.unapplied_entries:
                wait_ms = 0
            first_event = await self.inbox.get_within(wait_ms)
            events = [] if first_event is None else [first_event]
            events += self.inbox.drain(MAX_BATCH_MESSAGES - len(events))
            for event in events:
                consensus_inputs.dispatch(self, event)
            self.append_batch()
            self.apply_committed()
            self.tick_if_due()
            self.end_round(self.clock.now())

    def tick_if_due(self):
        """Fires the timers that are due.

        After a busy time a heartbeat that resets the election timer may
        still be in the inbox. Due timers therefore wait once until a round
        has handled the inbox.
        """
        if self.clock.now() < self.replica.next_deadline_ms():
            self.tick_postponed = False
        elif self.inbox.depth() and not self.tick_postponed:
            self.tick_postponed = True
        else:
            self.tick_postponed = False
            self.step(Tick())

    def append_batch(self):
        """Appends the collected proposals in one step of the core."""
        if self.batch:
            items, self.batch = self.batch, []
            self.step(Propose(items))

    def end_round(self, now_ms):
        """Starts writes and ends calls that get no answer any more.

        Those are the calls forwarded to a former leader and the calls whose
        deadline has passed.
        """
        self.start_snapshot_if_due()
        if self.pending_persists and not self.write_in_progress:
            self.write_in_progress = True
            persists, self.pending_persists = self.pending_persists, []
            self.write_requests.put_nowait(persists)
        leadership = (self.replica.term, self.replica.leader_id)
        if leadership != self.leadership:
            self.leadership = leadership
            self.notify(LeadershipNotice(*leadership))
            self.calls.abandon_stale_forwards(self.replica.leader_id)
            logger.info(
                "Leadership changed.",
                term=leadership[0],
                leader=leadership[1] or "none",
            )
        self.report_leader_absence(now_ms)
        self.calls.expire(now_ms)

    def report_leader_absence(self, now_ms):
        """Logs at intervals that the replica knows no leader, and why."""
        has_leader_now = has_leader(self.replica)
        self.metrics.set("consensus_has_leader", int(has_leader_now))
        absent_ms = self.leader_absence.update(has_leader_now, now_ms)
        if absent_ms is not None:
            logger.warning(
                "No leader known.",
                absent_ms=absent_ms,
                **describe_absence(self.replica),
            )

    def step(self, event):
        """Passes an event to the core and handles its Output."""
        output = self.replica.step(event, self.clock.now())
        if output.persist:
            self.pending_persists.append(output.persist)
        for message in output.messages:
            self.send(node_of(message.recipient), message)
        if output.install:
            self.install(output.install)
        self.unapplied_entries.extend(output.committed)
        for reply in output.replies:
            if isinstance(reply, Outcome) and reply.outcome == COMMITTED:
                self.committed_outcomes[reply.index] = reply
            else:
                self.finish_call(reply)

    def apply_committed(self):
        """Applies committed entries for about ``MAX_APPLY_MS``.

        After a restart thousands of entries are committed at once, and
        applying all of them in one round would delay the heartbeats.
        """
        if not self.unapplied_entries:
            return
        deadline_ms = self.clock.now() + MAX_APPLY_MS
        while self.unapplied_entries and self.clock.now() <= deadline_ms:
            entry = self.unapplied_entries.popleft()
            answer = self.apply(entry)
            self.applied_index = entry.index
            reply = self.committed_outcomes.pop(entry.index, None)
            if reply is not None:
                self.finish_call(reply, answer)
        self.metrics.set("consensus_applied_index", self.applied_index)
        voters = len(self.replica.members().voters)
        self.metrics.set("consensus_voters", voters)
        self.calls.answer_applied_reads(self.applied_index, self.state)

    def install(self, snapshot):
        """Replaces the state by that of a snapshot.

        Raises:
            ConsistencyError: If this version cannot read the snapshot.
        """
        result = self.state_from_document(decode_state(snapshot.data))
        if result.is_error():
            raise ConsistencyError(f"cannot read the snapshot: {result.error}")
        self.state = result.ok
        self.snapshot_index = snapshot.index
        self.applied_index = snapshot.index
        self.unapplied_entries.clear()
        for reply in self.committed_outcomes.values():
            # The snapshot contains the effect of the command, but not the
            # answer of the state.
            reply.outcome = UNKNOWN
            self.finish_call(reply)
        self.committed_outcomes.clear()
        self.notify(SnapshotInstalled(snapshot.index))
        self.calls.answer_applied_reads(snapshot.index, self.state)

    def apply(self, entry):
        """Applies a committed entry and returns the state's answer.

        Raises:
            ConsistencyError: If this version cannot read the entry.
        """
        if entry.kind != DATA:
            self.state.apply(StateEntry(entry.index, 0, None))
            return None
        logged_command = decode_log_message(entry.payload)
        command = decode_log_message(logged_command.command)
        answer = self.state.apply(
            StateEntry(entry.index, logged_command.time_ms, command)
        )
        if not isinstance(command, self.unobserved_commands):
            self.notify(EntryApplied(entry.index, entry.term, command, answer))
        return answer

    def notify(self, notice):
        """Passes a notice to all observers."""
        for observer in self.observers:
            observer.put_nowait(notice)

    def finish_call(self, reply, answer=None):
        """Answers the call of an Outcome or a ReadReady.

        Args:
            reply: The Outcome or ReadReady.
            answer: Answer of the state to a committed command, else None.
        """
        call = self.calls.pop(reply.number)
        if call is None:
            return
        if not isinstance(reply, Outcome):
            consensus_inputs.finish_read(self, call, reply.index)
            return
        call.finish(
            ProposalAnswer(reply.outcome, reply.reason, reply.index, answer)
        )

    def encode_command(self, command):
        """Returns the entry payload for an encoded command."""
        return codec.encode(LoggedCommand(self.clock.wall(), command))

    def start_snapshot_if_due(self):
        """Requests a snapshot of the state if one is due."""
        index, log = self.applied_index, self.replica.log
        term = log.term_at(index)
        due = index - self.snapshot_index >= self.snapshot_entries or (
            term is not None
            and log.size_between(self.snapshot_index, index)
            >= self.snapshot_bytes
        )
        if self.snapshot_in_progress or not due or term is None:
            return
        members = self.replica.log.members_at(index)
        self.snapshot_index = index
        make_snapshot = functools.partial(Snapshot, index, term, members)
        if self.directory is None:
            # A replica without a disk is a learner and never leads, so that
            # no replica needs its snapshot. The empty one compacts its log.
            self.step(SnapshotTaken(make_snapshot(b"")))
            return
        self.snapshot_in_progress = True
        self.snapshot_requests.put_nowait(
            (make_snapshot, self.state.to_document())
        )


def decode_log_message(data):
    """Decodes a message from the log.

    Raises:
        ConsistencyError: If this version cannot decode it. Skipping it
            would make the states of the replicas differ.
    """
    decoded = codec.decode(data)
    if decoded.is_error():
        raise ConsistencyError(f"cannot decode a log entry: {decoded.error}")
    return decoded.ok

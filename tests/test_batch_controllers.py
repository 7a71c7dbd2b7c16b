"""Tests of the task that runs the dispatcher."""

import json

import pytest
import trio
from batch_fixtures import JOB, make_queue, make_table
from expression import Ok

from wigeonport.batch_calls import (
    NOT_LEADING,
    OK,
    STATE,
    SUBMIT,
    UNKNOWN,
    BatchCall,
)
from wigeonport.batch_controllers import BatchController
from wigeonport.batch_messages import (
    CallReceived,
    Redirect,
    ReportReceived,
    RoutesAsked,
    RoutesStated,
    StopAsked,
)
from wigeonport.batch_settings import BatchSettings
from wigeonport.batch_specs import JobSpec, Step
from wigeonport.channels import Mailbox, Reply, ask
from wigeonport.clocks import Clock
from wigeonport.codecs import codecs
from wigeonport.consensus_requests import (
    LeadershipNotice,
    Proposal,
    ProposalAnswer,
    Read,
    ResignRequest,
    StatusRequest,
)
from wigeonport.metrics import Metrics
from wigeonport.replica_events import COMMITTED, REFUSED, ReplicaSettings
from wigeonport.states import Entry, ReplicatedState

SPEC = JobSpec("text", [Step({"cpu_milli": 100})]).to_json()
WAIT_MS = 1_000
SHORT_MS = 100


class LeaseStatus:
    """Answer to a StatusRequest."""

    __slots__ = ("role", "term", "lease_until_ms")

    def __init__(self, term, lease_until_ms):
        self.role = "leader"
        self.term = term
        self.lease_until_ms = lease_until_ms


class FakeConsensus:
    """Stands in for the consensus task.

    Attributes:
        inbox: Mailbox of requests.
        state: ReplicatedState to which commits are applied.
        clock: Clock.
        outcome: Outcome of proposals, or None to keep them waiting.
        lease_ms: Length of the lease that it reports.
        held: Proposals that wait.
        index: Index of the newest entry.
        largest_payload: Size of the largest command, in bytes.
        resigned: Number of requests to hand the lead over.
    """

    __slots__ = (
        "inbox",
        "state",
        "clock",
        "outcome",
        "lease_ms",
        "held",
        "index",
        "largest_payload",
        "resigned",
    )

    def __init__(self):
        self.inbox = Mailbox("consensus", 100)
        self.state = ReplicatedState()
        self.clock = Clock()
        self.outcome = COMMITTED
        self.lease_ms = 800
        self.held = []
        self.index = 0
        self.largest_payload = 0
        self.resigned = 0

    async def run(self):
        """Answers requests."""
        async for request in self.inbox:
            if isinstance(request, Read):
                request.reply.send(ask_view(request, self.state))
            elif isinstance(request, StatusRequest):
                until_ms = self.clock.now() + self.lease_ms
                request.reply.send(LeaseStatus(5, until_ms))
            elif isinstance(request, ResignRequest):
                self.resigned += 1
                request.reply.send(True)
            elif isinstance(request, Proposal):
                self.held.append(request)
                self.settle()

    def settle(self):
        """Decides the proposals that wait."""
        while self.held and self.outcome is not None:
            request = self.held.pop(0)
            if self.outcome == COMMITTED:
                self.index += 1
                codec = codecs.get("thrift").ok()
                payload = codec.encode(request.command)
                self.largest_payload = max(self.largest_payload, len(payload))
                command = codec.decode(payload).ok
                self.state.apply(Entry(self.index, 0, command))
            request.reply.send(ProposalAnswer(self.outcome, "by the test"))


def ask_view(request, state):
    """Returns the Ok of a view."""
    return Ok(request.view(state))


class Desk:
    """A controller over a fake consensus task."""

    __slots__ = ("consensus", "controller")

    def __init__(self):
        self.consensus = FakeConsensus()
        self.controller = BatchController(
            self.consensus.inbox,
            "10.0.0.1",
            BatchSettings(),
            Clock(),
            Metrics(),
            None,
        )

    async def ask(self, make, timeout_ms=WAIT_MS):
        """Returns the Result of a question to the controller."""
        return await ask(self.controller.inbox, make, timeout_ms)

    async def call(self, verb, timeout_ms=WAIT_MS):
        """Returns the Result of a caller's request about the job."""
        call = BatchCall(verb, "jobs.example", f"/plans/{JOB}", SPEC)
        return await self.ask(
            lambda reply: CallReceived(call, reply), timeout_ms
        )

    async def lead(self, term=5, leader="10.0.0.1/aa"):
        """Tells who leads."""
        await self.controller.inbox.put(LeadershipNotice(term, leader))

    async def adopt(self, version):
        """States a routing table."""
        table = make_table(version)
        table.source = f"version {version}"
        return await self.ask(lambda reply: RoutesStated(table, reply))


@pytest.fixture
def run_desk():
    """Runs an async function with a Desk that leads."""

    def run(check, lead=True):
        async def main():
            desk = Desk()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(desk.consensus.run)
                await nursery.start(desk.controller.run)
                if lead:
                    await desk.lead()
                    await trio.sleep(0.05)
                    await desk.adopt(1)
                await check(desk)
                nursery.cancel_scope.cancel()

        trio.run(main)

    return run


def test_submission_is_answered_after_its_commit(run_desk):
    """An accepted job must be durable before the caller learns of it."""

    async def check(desk):
        desk.consensus.outcome = None
        answer = await desk.call(SUBMIT, SHORT_MS)
        assert answer.is_error()
        assert not desk.consensus.state.batch.jobs
        desk.consensus.outcome = COMMITTED
        desk.consensus.settle()
        assert (await desk.call(SUBMIT)).ok.outcome == OK
        assert JOB in desk.consensus.state.batch.jobs

    run_desk(check)


def test_operations_gather_while_a_batch_is_committed(run_desk):
    """A commit for each heartbeat exhausts the leader of many workers."""

    async def check(desk):
        desk.consensus.outcome = None
        answers = []

        async def submit(job_id):
            call = BatchCall(SUBMIT, "jobs.example", f"/plans/{job_id}", SPEC)
            answers.append(
                await desk.ask(lambda reply: CallReceived(call, reply))
            )

        async with trio.open_nursery() as nursery:
            for number in range(4):
                nursery.start_soon(submit, f"{number:016x}")
                await trio.sleep(0.01)
            before = desk.consensus.index
            assert len(desk.consensus.held) == 1
            desk.consensus.outcome = COMMITTED
            desk.consensus.settle()
        assert [answer.ok.outcome for answer in answers] == [OK] * 4
        assert desk.consensus.index - before == 2

    run_desk(check)


def test_state_is_shown_after_what_it_depends_on_is_durable(run_desk):
    """A state that could still be lost must not be shown."""

    async def check(desk):
        desk.consensus.outcome = None
        await desk.call(SUBMIT, SHORT_MS)
        assert (await desk.call(STATE, SHORT_MS)).is_error()

    run_desk(check)


def test_failed_commit_leaves_the_outcome_unknown(run_desk):
    """A submission that may have been stored must not be denied."""

    async def check(desk):
        desk.consensus.outcome = "unknown"
        assert (await desk.call(SUBMIT)).ok.outcome == UNKNOWN

    run_desk(check)


def test_controller_leads_again_after_a_refused_batch(run_desk):
    """One refused batch must not end the service of a leader."""

    async def check(desk):
        desk.consensus.outcome = REFUSED
        assert (await desk.call(SUBMIT)).ok.outcome == UNKNOWN
        desk.consensus.outcome = COMMITTED
        await trio.sleep(0.3)
        assert (await desk.call(SUBMIT)).ok.outcome == OK

    run_desk(check)


def test_copy_contains_batches_that_were_on_their_way(run_desk):
    """A copy without them would order runs that are recorded already."""

    async def check(desk):
        desk.consensus.outcome = None
        await desk.call(SUBMIT, SHORT_MS)
        desk.controller.stand_down("by the test")
        await trio.sleep(0.05)
        assert desk.controller.dispatcher is None
        desk.consensus.outcome = COMMITTED
        desk.consensus.settle()
        await trio.sleep(0.2)
        assert JOB in desk.controller.dispatcher.state.batch.jobs

    run_desk(check)


def test_nothing_is_answered_after_the_lease(run_desk):
    """A leader that was suspended must not answer for a former term."""

    async def check(desk):
        desk.consensus.lease_ms = -1
        desk.controller.lease_until_ms = 0
        assert (await desk.call(STATE)).ok.outcome == UNKNOWN

    run_desk(check)


def test_follower_names_the_leader(run_desk):
    """Callers of a follower must learn where to turn to."""

    async def check(desk):
        await desk.lead(6, "10.0.0.2/bb")
        answer = (await desk.call(SUBMIT)).ok
        assert (answer.outcome, answer.leader) == (NOT_LEADING, "10.0.0.2")
        answer = await desk.ask(lambda reply: ReportReceived(None, reply))
        assert isinstance(answer.ok, Redirect)
        assert answer.ok.host == "10.0.0.2"

    run_desk(check)


def test_lost_lead_fails_what_waits(run_desk):
    """What waits for a commit gets an answer when the lead is lost."""

    async def check(desk):
        desk.consensus.outcome = None
        reply = Reply()
        call = BatchCall(SUBMIT, "jobs.example", f"/plans/{JOB}", SPEC)
        await desk.controller.inbox.put(CallReceived(call, reply))
        await trio.sleep(0.05)
        await desk.lead(6, "10.0.0.2/bb")
        assert (await reply.wait(WAIT_MS)).ok.outcome == UNKNOWN

    run_desk(check)


def test_controller_that_stops_hands_the_lead_over(run_desk):
    """A planned stop of the leader must not look like a lost one."""

    async def check(desk):
        await desk.controller.inbox.put(StopAsked())
        await trio.sleep(0.05)
        assert desk.consensus.resigned == 1
        assert desk.controller.dispatcher is None
        assert (await desk.call(SUBMIT)).ok.outcome == NOT_LEADING
        await desk.lead(7)
        await trio.sleep(0.05)
        assert desk.consensus.resigned == 2
        assert desk.controller.dispatcher is None

    run_desk(check)


def test_lower_version_changes_nothing(run_desk):
    """An older configuration that arrives late is acknowledged only."""

    async def check(desk):
        assert (await desk.adopt(7)).ok is True
        assert (await desk.adopt(3)).ok is True
        table = (await desk.ask(RoutesAsked)).ok
        assert (table.version, table.source) == (7, "version 7")

    run_desk(check)


def test_other_content_under_the_same_version_changes_nothing(run_desk):
    """The first content under a number stays in force."""

    async def check(desk):
        await desk.adopt(7)
        table = make_table(7)
        table.source = "other"
        await desk.ask(lambda reply: RoutesStated(table, reply))
        assert (await desk.ask(RoutesAsked)).ok.source == "version 7"

    run_desk(check)


def test_table_of_many_queues_is_adopted(run_desk):
    """A large configuration must fit into one entry of the log."""

    async def check(desk):
        queues = [make_queue(f"queue-{n}") for n in range(5_000)]
        table = make_table(9, queues)
        table.source = json.dumps(table.to_document())
        answer = await desk.ask(lambda reply: RoutesStated(table, reply))
        assert answer.ok is True
        assert (
            desk.consensus.largest_payload
            < ReplicaSettings().max_payload_bytes
        )

    run_desk(check)


def test_event_that_cannot_be_handled_ends_nothing(run_desk):
    """A fault in a decision must not end the process of the leader."""

    async def check(desk):
        answer = await desk.ask(lambda reply: ReportReceived(None, reply))
        assert isinstance(answer.ok, Redirect)
        await trio.sleep(0.1)
        assert (await desk.call(SUBMIT)).ok.outcome == OK

    run_desk(check)

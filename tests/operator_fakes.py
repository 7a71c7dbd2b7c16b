"""A control program with one local state instead of a replicated log."""

import json

import trio

from wigeonport.channels import Mailbox
from wigeonport.clocks import ManualClock
from wigeonport.credentials import OperatorTokens, load_tokens
from wigeonport.metrics import Metrics
from wigeonport.operators import OperatorApp, OperatorControl
from wigeonport.publishers import ProcessStatus
from wigeonport.servers import ProcessInfo
from wigeonport.settings import Settings
from wigeonport.state_requests import (
    COMMITTED,
    NOT_RUN,
    Decision,
    ReadState,
    StateClient,
    StateRead,
    VmHealth,
)
from wigeonport.states import Entry, ReplicatedState

TOKEN = "0123456789abcdef"
OTHER_TOKEN = "fedcba9876543210"


class FakeControl:
    """Owns a ReplicatedState and answers like the consensus task.

    Attributes:
        state: The state.
        mode: ``commit`` (commits and answers), ``lose`` (commits without an
            answer), ``ignore`` (does neither) or ``refuse`` (answers that
            there is no quorum).
        refusals: Number of proposals that ``refuse`` refuses before it
            commits; negative for all.
        unavailable: Ids of the VMs that the planner reports as unavailable,
            or None if it does not know their health.
        not_reporting: Ids of the VMs without a recent report.
        statuses: ProcessStatus list of the publisher.
        app: The OperatorApp under test.
    """

    def __init__(self, tokens_path, timeout_ms=200):
        """Writes the token file and builds the app."""
        tokens_path.write_text(f"ada {TOKEN}\nbayo {OTHER_TOKEN}\n")
        self.state = ReplicatedState()
        self.mode = "commit"
        self.refusals = -1
        self.unavailable = []
        self.not_reporting = []
        self.statuses = []
        self.index = 0
        self.consensus = Mailbox("consensus", 8)
        self.publisher = Mailbox("publisher", 8)
        self.health = Mailbox("health", 8)
        settings = Settings({"node_id": "ikeja-1", "cluster_id": "lagos"})
        settings.availability_zone = "ikeja"
        clock = ManualClock(1_000_000, 1_700_000_000_000)
        state_client = StateClient(self.consensus, timeout_ms)
        control = OperatorControl(
            settings, clock, state_client, self.publisher, self.health
        )
        info = ProcessInfo(Metrics(), None, trio.Event())
        tokens = load_tokens(str(tokens_path)).ok
        assert isinstance(tokens, OperatorTokens)
        self.app = OperatorApp(control, tokens, info)

    async def run(self):
        """Answers messages until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.run_state)
            nursery.start_soon(self.publish)
            nursery.start_soon(self.report_health)

    async def run_state(self):
        """Answers reads and proposals in place of the consensus task."""
        async for message in self.consensus:
            if isinstance(message, ReadState):
                document = None
                if self.mode != "ignore":
                    document = message.query.read(self.state)
                read = StateRead(document, "leader", "ikeja-1", 3)
                message.reply.send(read)
                continue
            self.decide(message)

    def decide(self, message):
        """Answers a proposal according to the mode."""
        if self.mode == "refuse" and self.refusals != 0:
            self.refusals -= 1
            message.reply.send(Decision(NOT_RUN, reason="no quorum"))
            return
        if self.mode == "ignore":
            return
        self.index += 1
        time_ms = self.app.control.clock.wall()
        entry = Entry(self.index, time_ms, message.command)
        answer = self.state.apply(entry)
        if self.mode != "lose":
            message.reply.send(Decision(COMMITTED, answer))

    async def publish(self):
        """Answers in place of the publisher."""
        async for message in self.publisher:
            message.reply.send(self.statuses)

    async def report_health(self):
        """Answers health queries in place of the planner."""
        async for message in self.health:
            health = None
            if self.unavailable is not None:
                health = VmHealth(self.unavailable, self.not_reporting)
            message.reply.send(health)

    def report(self, process, version, silent_ms=0):
        """Adds the report of a process, received ``silent_ms`` ago."""
        last_seen_ms = self.app.control.clock.now() - silent_ms
        status = ProcessStatus(process, "ikeja", 1, version, last_seen_ms)
        self.statuses.append(status)

    async def call(self, method, target, body=None, token=TOKEN, headers=()):
        """Sends one ASGI request; returns status and document."""
        path, _, query = target.partition("?")
        token_header = [(b"authorization", f"Bearer {token}".encode())]
        scope = {
            "type": "http",
            "method": method,
            "path": path,
            "query_string": query.encode(),
            "headers": [*(token_header if token else []), *headers],
            "client": ("127.0.0.1", 1),
        }
        content = (
            body if isinstance(body, bytes) else json.dumps(body).encode()
        )
        events = []

        async def receive():
            return {"type": "http.request", "body": content}

        async def send(event):
            events.append(event)

        await self.app(scope, receive, send)
        return events[0]["status"], json.loads(events[1]["body"])


def run_with(control, scenario):
    """Runs an async function while the fake control answers."""

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(control.run)
            await scenario()
            nursery.cancel_scope.cancel()

    trio.run(main)

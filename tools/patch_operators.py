"""Operators that race each other, and observers of the versions."""

import json
import time

import trio
from operators_client import OperatorsClient, load_fleet_patch
from patch_records import (
    ACCEPTED,
    DECIDED,
    INVALID,
    NOT_RUN,
    STALE,
    UNKNOWN,
    AppliedVersion,
    PolledVersion,
    SubmitAttempt,
)

from wigeonport.findings import Findings
from wigeonport.timelines import read_lines

FIRST_PATCH, FIRST_VALUE = "first", 1_001
FIRST_VERSION_TIMEOUT_S = 40.0
POLL_INTERVAL_S = 0.2
# Processes report their version at least every 5 s.
MIN_RUN_S = 7.0
PAUSE_RANGE_S = (0.05, 0.4)
RACE_PROBABILITY = 0.4
RESEND_PROBABILITY = 0.3
RESEND_TIMEOUT_S = 20.0
# A value is one whole number in two weights of at most this.
VALUE_BASE = 1_000
FIRST_NUMBER = 2_000
HISTORY_PATH = "/v1/history?limit=1000"


def wall_ms():
    """Returns the wall time."""
    return time.time_ns() // 1_000_000


def to_operation(value):
    """Returns the operation that sets a value."""
    moves, buffer_cost = divmod(value, VALUE_BASE)
    return {
        "operation": "set_weights",
        "buffer_cost": buffer_cost,
        "moves": moves,
    }


def to_value(weights):
    """Returns the value in a document of weights."""
    return int(weights["moves"]) * VALUE_BASE + int(weights["buffer_cost"])


def record_answer(attempt, answer):
    """Notes in a Sending what the operator was told."""
    if answer is None:
        return
    document = answer.document
    if answer.status == 503:
        attempt.outcome = NOT_RUN
    if answer.status not in (200, 409, 422):
        return
    attempt.body = json.dumps(document, sort_keys=True)
    attempt.version = document.get("version", 0)
    attempt.outcome = {200: ACCEPTED, 409: STALE}.get(answer.status, INVALID)
    if attempt.outcome != STALE:
        return
    attempt.complete = document["complete"]
    attempt.since = [(v["version"], v["patch"]) for v in document["versions"]]
    for change in document["changes"]:
        if change["id"] == "weights":
            attempt.before = to_value(change["before"])
            attempt.after = to_value(change["after"])


class Operators:
    """Several operators beside each other.

    Attributes:
        runner: FleetRunner.
        client: OperatorsClient.
        history: PatchHistory that the sendings are added to.
        number: Number of the last patch; its value, too.
        stopping: Whether no new patches are wanted.
        nodes: Ids of all controls.
        accepted_version: Highest version of an answer.
    """

    __slots__ = (
        "runner",
        "client",
        "history",
        "number",
        "stopping",
        "nodes",
        "accepted_version",
    )

    def __init__(self, runner, history):
        self.runner = runner
        self.client = OperatorsClient(runner)
        self.history = history
        self.number = FIRST_NUMBER
        self.stopping = False
        self.nodes = list(runner.deployment.nodes)
        self.accepted_version = 0

    async def send(self, node_id, patch, base_version, value, operations):
        """Sends a patch once; returns the recorded Sending."""
        attempt = SubmitAttempt(patch, base_version, value, wall_ms())
        self.history.attempts.append(attempt)
        answer = await self.client.submit(
            node_id, patch, base_version, "soak", operations
        )
        attempt.ended_ms = wall_ms()
        record_answer(attempt, answer)
        if attempt.outcome == ACCEPTED:
            self.accepted_version = max(self.accepted_version, attempt.version)
        return attempt

    async def submit_first(self):
        """Submits the first description of the fleet."""
        operations = load_fleet_patch()["operations"]
        with trio.fail_after(FIRST_VERSION_TIMEOUT_S):
            while True:
                attempt = await self.send(
                    self.nodes[0], FIRST_PATCH, 0, FIRST_VALUE, operations
                )
                if attempt.outcome == ACCEPTED:
                    return
                await trio.sleep(POLL_INTERVAL_S)

    async def submit(self, source, base_version):
        """Submits a new patch and resends it while its answer is lost."""
        self.number += 1
        value, patch = self.number, f"p{self.number}"
        operations = [to_operation(value)]
        unknown = False
        with trio.move_on_after(RESEND_TIMEOUT_S):
            while True:
                node_id = source.choice(self.nodes)
                attempt = await self.send(
                    node_id, patch, base_version, value, operations
                )
                unknown = unknown or attempt.outcome == UNKNOWN
                if attempt.outcome == NOT_RUN and not unknown:
                    return
                if attempt.outcome in DECIDED:
                    break
                await trio.sleep(POLL_INTERVAL_S)
        if source.random() < RESEND_PROBABILITY:
            node_id = source.choice(self.nodes)
            await self.send(node_id, patch, base_version, value, operations)

    async def submit_until_stopped(self, source):
        """Reads a version and submits against it, again and again.

        In a share of the turns two patches race against the version.
        """
        while not self.stopping:
            status = await self.client.status(source.choice(self.nodes))
            if status is not None and status["version"]:
                count = 2 if source.random() < RACE_PROBABILITY else 1
                async with trio.open_nursery() as nursery:
                    for _ in range(count):
                        nursery.start_soon(
                            self.submit, source, status["version"]
                        )
            await trio.sleep(source.uniform(*PAUSE_RANGE_S))

    async def read_final(self):
        """Reads the final history; raises trio.TooSlowError if it fails."""
        with trio.fail_after(FIRST_VERSION_TIMEOUT_S):
            while True:
                for node_id in self.nodes:
                    answer = await self.client.send(
                        node_id, "GET", HISTORY_PATH
                    )
                    if answer is None or answer.status != 200:
                        continue
                    rows = answer.document["versions"]
                    newest = rows[0]["version"] if rows else 0
                    if answer.document["replica"]["role"] == "leader":
                        pairs = [(r["version"], r["patch"]) for r in rows]
                        self.history.final = pairs[::-1]
                        return newest
                await trio.sleep(POLL_INTERVAL_S)


async def poll_entry(operators, node_id):
    """Records the version metric of an entry while it runs."""
    runner, name = operators.runner, f"entry/{node_id}"
    while True:
        pid = runner.processes[name].pid
        metrics = await runner.metrics(name)
        if metrics is not None and runner.processes[name].pid == pid:
            version = metrics["gauges"].get("config_version", 0)
            operators.history.polled.append(
                PolledVersion(name, f"metrics of {pid}", version, wall_ms())
            )
        await trio.sleep(POLL_INTERVAL_S)


async def poll_status(operators, node_id):
    """Records the versions that the status of a control shows.

    Only processes that have run for a while count: until its first report
    arrives, the status shows what the last run of a process reported.
    """
    runner, own = operators.runner, f"control/{node_id}"
    seen_s = {}
    while True:
        pids = {n: p.pid for n, p in runner.processes.items()}
        status = await operators.client.status(node_id)
        settled_s = time.monotonic() - MIN_RUN_S
        for line in (status or {"processes": ()})["processes"]:
            pair = (pids[own], pids[line["process"]])
            first_s = seen_s.setdefault(pair, time.monotonic())
            if first_s <= settled_s and line["version"]:
                operators.history.polled.append(
                    PolledVersion(
                        line["process"],
                        f"status of {pair[0]} on {pair[1]}",
                        line["version"],
                        wall_ms(),
                    )
                )
        await trio.sleep(POLL_INTERVAL_S)


def read_applied(deployment):
    """Returns the Applied of all event files of a deployment.

    Lines that a kill has cut short are passed over.
    """
    found, findings = [], Findings()
    for node in deployment.nodes.values():
        folder = deployment.path(node.node_id, "x").parent
        for path in sorted(folder.glob("ev-entry.jsonl*")):
            lines = path.read_bytes().splitlines()
            for event in read_lines(path.name, lines, findings):
                if event.kind == "config.applied":
                    found.append(to_applied_version(event, node.zone))
    return found


def to_applied_version(event, zone):
    """Returns the Applied of an event."""
    fields = event.fields
    return AppliedVersion(
        event.node,
        zone,
        event.run,
        event.sequence,
        fields["version"],
        fields["stale"],
        event.wall_ms,
    )

"""Operators that submit competing patches, and observers of versions."""

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
# A process reports its version at least every 5 s, so after this time the
# status shows a report of its current run.
MIN_RUN_S = 7.0
PAUSE_RANGE_S = (0.05, 0.4)
RACE_PROBABILITY = 0.4
RESEND_PROBABILITY = 0.3
RESEND_TIMEOUT_S = 20.0
# A value is one integer, moves * VALUE_BASE + buffer_cost, so that each of the
# two weights is at most VALUE_BASE.
VALUE_BASE = 1_000
FIRST_PATCH_NUMBER = 2_000
HISTORY_PATH = "/v1/history?limit=1000"


def wall_ms():
    """Returns the wall time in ms."""
    return time.time_ns() // 1_000_000


def to_operation(value):
    """Returns the set_weights operation that writes a value."""
    moves, buffer_cost = divmod(value, VALUE_BASE)
    return {
        "operation": "set_weights",
        "buffer_cost": buffer_cost,
        "moves": moves,
    }


def to_value(weights):
    """Returns the value that a document of weights holds."""
    return int(weights["moves"]) * VALUE_BASE + int(weights["buffer_cost"])


def record_answer(attempt, answer):
    """Records an answer in its SubmitAttempt.

    Without an answer, or with one that decides nothing, the outcome stays
    unknown.
    """
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
    """Concurrent operators that share one history.

    Attributes:
        runner: FleetRunner.
        client: OperatorsClient.
        history: PatchHistory to which the attempts are added.
        number: Number of the last patch, which is also its value.
        stopping: Whether the operators stop submitting new patches.
        nodes: Node ids of all controls.
        accepted_version: Highest version of an accepting answer.
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
        self.number = FIRST_PATCH_NUMBER
        self.stopping = False
        self.nodes = list(runner.deployment.nodes)
        self.accepted_version = 0

    async def send(self, node_id, patch, base_version, value, operations):
        """Sends a patch once.

        Args:
            node_id: Id of the control.
            patch: Patch id.
            base_version: Version against which the patch is made.
            value: Value that the patch sets.
            operations: Operations of the patch.

        Returns:
            SubmitAttempt, already added to the history.
        """
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
        """Submits the first fleet version until it is accepted.

        Raises:
            trio.TooSlowError: If it was not accepted in time.
        """
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
        """Submits a new patch and resends it until an answer decides on it.

        A not-run answer ends the resends as well, unless an earlier answer
        was lost. With RESEND_PROBABILITY the patch is sent once more, so
        that the checker can compare the answers.
        """
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
        """Repeatedly reads the version and submits patches against it.

        With RACE_PROBABILITY, two patches are submitted concurrently
        against the same version.
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
        """Reads the final history from the leader; returns its last version.

        Raises:
            trio.TooSlowError: If no leader answered in time.
        """
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
    """Polls and records the version metric of an entry until cancelled."""
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
    """Polls and records the versions that the status of a control shows.

    A version is recorded only once the control and the process have both
    run for MIN_RUN_S: until the first report of a run arrives, the status
    shows the version that the previous run of the process reported.
    """
    runner, control_name = operators.runner, f"control/{node_id}"
    first_seen_s = {}
    while True:
        pids = {n: p.pid for n, p in runner.processes.items()}
        status = await operators.client.status(node_id)
        latest_first_s = time.monotonic() - MIN_RUN_S
        for row in (status or {"processes": ()})["processes"]:
            pid_pair = (pids[control_name], pids[row["process"]])
            first_s = first_seen_s.setdefault(pid_pair, time.monotonic())
            if first_s <= latest_first_s and row["version"]:
                operators.history.polled.append(
                    PolledVersion(
                        row["process"],
                        f"status of {pid_pair[0]} on {pid_pair[1]}",
                        row["version"],
                        wall_ms(),
                    )
                )
        await trio.sleep(POLL_INTERVAL_S)


def read_applied(deployment):
    """Returns the AppliedVersions in all event files of a deployment.

    Lines that were truncated by a kill are skipped.
    """
    applied, findings = [], Findings()
    for node in deployment.nodes.values():
        folder = deployment.path(node.node_id, "x").parent
        for path in sorted(folder.glob("ev-entry.jsonl*")):
            lines = path.read_bytes().splitlines()
            for event in read_lines(path.name, lines, findings):
                if event.kind == "config.applied":
                    applied.append(to_applied_version(event, node.zone))
    return applied


def to_applied_version(event, zone):
    """Returns the AppliedVersion of a ``config.applied`` event."""
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

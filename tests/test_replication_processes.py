"""Tests that kill and freeze control processes while patches arrive."""

import pytest
import trio
from deployments import Deployment
from fleet_runner import FleetRunner
from operators_client import OperatorsClient, load_fleet_patch

ATTEMPT_INTERVAL_S = 0.1
PATCHES_PER_STEP = 8


class PatchWriter:
    """Submits patches one after another, each until it is accepted.

    Attributes:
        client: OperatorsClient.
        nodes: Ids of the controls, used in turn.
        accepted: Maps the id of an accepted patch to its fleet version.
        version: Fleet version that the next patch is written against.
        attempts: Number of requests sent.
    """

    def __init__(self, client, nodes):
        self.client = client
        self.nodes = nodes
        self.accepted = {}
        self.version = 0
        self.attempts = 0

    async def submit(self, patch_id, operations):
        """Submits a patch and repeats it until it is accepted.

        A control may answer 503 or 504 or not at all; any other answer
        fails the test.
        """
        while True:
            self.attempts += 1
            node = self.nodes[self.attempts % len(self.nodes)]
            answer = await self.client.submit(
                node, patch_id, self.version, "load", operations
            )
            if answer is not None and answer.status == 200:
                self.version = answer.document["version"]
                self.accepted[patch_id] = self.version
                return
            if answer is not None:
                assert answer.status in (503, 504), answer.body
            await trio.sleep(ATTEMPT_INTERVAL_S)

    async def run(self):
        """Submits the fleet and then patches until it is cancelled."""
        await self.submit("first", load_fleet_patch()["operations"])
        while True:
            number = len(self.accepted)
            weights = {"buffer_cost": number + 1}
            operation = {"operation": "set_weights", **weights}
            await self.submit(f"p-{number}", [operation])

    async def wait_for_patches(self):
        """Waits until ``PATCHES_PER_STEP`` more patches are accepted."""
        wanted = len(self.accepted) + PATCHES_PER_STEP
        while len(self.accepted) < wanted:
            await trio.sleep(0.05)


async def find_leader(client, nodes):
    """Returns the id of the leader as soon as a control names one."""
    while True:
        for node in nodes:
            answer = await client.send(node, "GET", "/v1/history?limit=1")
            if answer is not None and answer.status == 200:
                leader = answer.document["replica"]["leader"]
                if leader:
                    return leader
        await trio.sleep(ATTEMPT_INTERVAL_S)


async def fail_controls(runner, client, writer):
    """Kills one leader, freezes one for 5 s, then kills all controls."""
    controls = runner.processes
    await writer.wait_for_patches()
    leader = await find_leader(client, writer.nodes)
    await controls[f"control/{leader}"].kill()
    await writer.wait_for_patches()
    await controls[f"control/{leader}"].start()
    leader = await find_leader(client, writer.nodes)
    controls[f"control/{leader}"].freeze()
    await trio.sleep(5)
    controls[f"control/{leader}"].thaw()
    await writer.wait_for_patches()
    for process in controls.values():
        await process.kill()
    for process in controls.values():
        await process.start()
    await writer.wait_for_patches()


async def check_history(client, writer):
    """Asserts that each control lists each accepted patch exactly once."""
    for node in writer.nodes:
        path = "/v1/history?limit=1000"
        rows = []
        while len(rows) < len(writer.accepted):
            await trio.sleep(ATTEMPT_INTERVAL_S)
            answer = await client.send(node, "GET", path)
            if answer is not None and answer.status == 200:
                rows = answer.document["versions"]
        versions = {row["patch"]: row["version"] for row in rows}
        assert len(versions) == len(rows)
        assert writer.accepted.items() <= versions.items()


@pytest.fixture
def controls(tmp_path):
    """A deployment of three controls that vote, with no other programs."""
    zones = {"ikeja": 3}
    deployment = Deployment(tmp_path, zones, zones)
    deployment.write()
    return deployment


def test_killed_and_stopped_controls_keep_every_patch(controls):
    """Fails if an accepted patch is lost or listed twice.

    The causes are a leader killed by SIGKILL, a leader frozen by SIGSTOP and
    a restart of all controls.
    """

    async def scenario():
        runner = FleetRunner(controls)
        client = OperatorsClient(runner)
        for node in controls.nodes.values():
            path = controls.settings_path(node)
            arguments = ["-m", "wigeonport.control_main", path]
            runner.add(f"control/{node.node_id}", arguments)
        writer = PatchWriter(client, list(controls.nodes))
        try:
            await runner.start()
            with trio.fail_after(90):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(writer.run)
                    await fail_controls(runner, client, writer)
                    nursery.cancel_scope.cancel()
                await check_history(client, writer)
        finally:
            with trio.CancelScope(shield=True):
                for process in runner.processes.values():
                    await process.kill()

    trio.run(scenario)

"""Real control processes that are killed and stopped under patches."""

import pytest
import trio
from deployments import Deployment
from fleet_runner import FleetRunner
from operators_client import OperatorsClient, load_fleet_patch

ATTEMPT_INTERVAL_S = 0.1
PATCHES_PER_STEP = 8


class PatchWriter:
    """Submits patches one after the other until they are answered.

    Attributes:
        client: OperatorsClient.
        nodes: Ids of the controls, used in turn.
        accepted: Version by id of each accepted patch.
        version: Version that the next patch is written against.
        attempts: Number of requests sent.
    """

    def __init__(self, client, nodes):
        self.client = client
        self.nodes = nodes
        self.accepted = {}
        self.version = 0
        self.attempts = 0

    async def submit(self, patch_id, operations):
        """Submits a patch and repeats it while the outcome is not known."""
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
        """Submits patches until it is cancelled."""
        await self.submit("first", load_fleet_patch()["operations"])
        while True:
            number = len(self.accepted)
            weights = {"buffer_cost": number + 1}
            operation = {"operation": "set_weights", **weights}
            await self.submit(f"p-{number}", [operation])

    async def wait_for_patches(self):
        """Waits until some more patches were accepted."""
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
    """Kills and stops leaders, and then kills all controls at once."""
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
    """Checks that every control shows every accepted patch, once."""
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
    """A deployment of three voting controls, without other programs."""
    zones = {"ikeja": 3}
    deployment = Deployment(tmp_path, zones, zones)
    deployment.write()
    return deployment


def test_killed_and_stopped_controls_keep_every_patch(controls):
    """Guards against a patch lost to kill -9, SIGSTOP or a full restart."""

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

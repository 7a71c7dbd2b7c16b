"""Failures that the soak of patches injects; each is undone at its end.

Each failure is a registered function of the Injector and the time in s for
which it lasts.
"""

import contextlib
import shutil

import trio
from failures import STOP_TIMEOUT_S, ZONES, kill_and_restart
from patch_operators import wall_ms
from patch_records import CUT, DOWN, Fault

from wigeonport.registries import Registry

failures = Registry("patch failure")

VOTER_COUNT = 5
LEADER_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.1
# Longer than the leader lease and the longest election timeout, 1.6 s, so
# that another leader is elected meanwhile.
FREEZE_DURATION_S = 4.0
# A control that lost its disk joins as a learner once its former identity
# has been silent for 2 s.
JOIN_DELAY_S = 4.0
VOTERS_TIMEOUT_S = 60.0


class Injector:
    """Chooses the VMs of failures and records the faults.

    Attributes:
        runner: FleetRunner.
        client: OperatorsClient.
        faults: List of the Faults of the history.
        random: Source of the random choices.
        disk_lock: trio.Lock held during a failure of disks. A second one
            before the first disk is replaced may lose acknowledged patches.
        cut_lock: trio.Lock held while a zone is cut off.
        skipped: Number of failures that found too few free VMs.
    """

    __slots__ = (
        "runner",
        "client",
        "faults",
        "random",
        "disk_lock",
        "cut_lock",
        "skipped",
    )

    def __init__(self, runner, client, faults, random):
        self.runner = runner
        self.client = client
        self.faults = faults
        self.random = random
        self.disk_lock = trio.Lock()
        self.cut_lock = trio.Lock()
        self.skipped = 0

    @contextlib.contextmanager
    def fault(self, kind, name):
        """Records a Fault that lasts as long as the ``with`` block."""
        fault = Fault(kind, name, wall_ms(), 2**53)
        self.faults.append(fault)
        try:
            yield
        finally:
            fault.until_ms = wall_ms()

    def reserve(self, count=1, voters=False, zone=None):
        """Reserves random VMs that no other failure uses.

        Args:
            count: Number of VMs; if fewer are free, these are reserved.
            voters: Whether only VMs with a voter are chosen.
            zone: Zone to choose from, or None for all.

        Returns:
            List of node ids.
        """
        free = [
            node.node_id
            for node in self.runner.deployment.nodes.values()
            if node.node_id not in self.runner.faulted_nodes
            and (node.is_voter or not voters)
            and zone in (None, node.zone)
        ]
        node_ids = self.random.sample(free, min(count, len(free)))
        self.skipped += not node_ids
        self.runner.faulted_nodes.update(node_ids)
        return node_ids

    def release(self, node_ids):
        """Ends the reservation of VMs."""
        self.runner.faulted_nodes.difference_update(node_ids)

    async def reserve_leader(self):
        """Reserves the VM of the leader.

        Returns:
            List of its node id; empty if another failure uses the VM or no
            leader was found.
        """
        leader = await self.find_leader()
        if leader is None or leader in self.runner.faulted_nodes:
            self.skipped += 1
            return []
        self.runner.faulted_nodes.add(leader)
        return [leader]

    async def find_leader(self):
        """Returns the leader's node id, or None after LEADER_TIMEOUT_S."""
        with trio.move_on_after(LEADER_TIMEOUT_S):
            while True:
                for node_id in self.runner.deployment.nodes:
                    status = await self.client.status(node_id)
                    if status is not None and status["role"] == "leader":
                        return node_id
                await trio.sleep(POLL_INTERVAL_S)
        return None

    async def kill(self, name, hold_s):
        """Kills a program, restarts it after a while, records the Fault."""
        with self.fault(DOWN, name):
            await kill_and_restart(self.runner, name, hold_s)

    async def count_voters(self):
        """Returns the number of voters by the leader's metrics, or 0."""
        leader = await self.find_leader()
        if leader is None:
            return 0
        metrics = await self.runner.metrics(f"control/{leader}")
        return (metrics or {"gauges": {}})["gauges"].get("consensus_voters", 0)

    async def wait_for_voters(self):
        """Waits until the cluster has all of its voters again.

        Raises:
            trio.TooSlowError: If no replacement became a voter in time.
        """
        await trio.sleep(JOIN_DELAY_S)
        with trio.fail_after(VOTERS_TIMEOUT_S):
            while await self.count_voters() != VOTER_COUNT:
                await trio.sleep(POLL_INTERVAL_S)


@failures.register("kill leader")
async def kill_leader(injector, hold_s):
    """Kills the leader while patches are in flight and restarts it."""
    for node_id in (node_ids := await injector.reserve_leader()):
        await injector.kill(f"control/{node_id}", hold_s)
    injector.release(node_ids)


@failures.register("kill control")
async def kill_control(injector, hold_s):
    """Kills a control and restarts it."""
    for node_id in (node_ids := injector.reserve()):
        await injector.kill(f"control/{node_id}", hold_s)
    injector.release(node_ids)


@failures.register("kill entry")
async def kill_entry(injector, hold_s):
    """Kills an entry and restarts it."""
    for node_id in (node_ids := injector.reserve()):
        await injector.kill(f"entry/{node_id}", hold_s)
    injector.release(node_ids)


@failures.register("freeze leader")
async def freeze_leader(injector, hold_s):
    """Suspends the leader past the end of its lease and resumes it."""
    for node_id in (node_ids := await injector.reserve_leader()):
        name = f"control/{node_id}"
        with injector.fault(DOWN, name):
            injector.runner.processes[name].freeze()
            await trio.sleep(FREEZE_DURATION_S)
            injector.runner.processes[name].thaw()
    injector.release(node_ids)


@contextlib.asynccontextmanager
async def cut(injector, zone):
    """Cuts a zone off for as long as the ``async with`` block lasts."""
    with injector.fault(CUT, zone):
        await injector.runner.send_relay_command(f"cut {zone}")
        try:
            yield
        finally:
            with trio.CancelScope(shield=True):
                await injector.runner.send_relay_command(f"heal {zone}")


@failures.register("cut zone")
async def cut_zone(injector, hold_s):
    """Closes all links from and to a zone for a while."""
    async with injector.cut_lock, cut(injector, injector.random.choice(ZONES)):
        await trio.sleep(hold_s)


@failures.register("restart entry in a cut zone")
async def restart_in_cut_zone(injector, hold_s):
    """Restarts an entry while its zone is cut off."""
    async with injector.cut_lock:
        zone = injector.random.choice(ZONES)
        node_ids = injector.reserve(zone=zone)
        async with cut(injector, zone):
            await trio.sleep(hold_s)
            for node_id in node_ids:
                await injector.kill(f"entry/{node_id}", POLL_INTERVAL_S)
            # Without a quorum the entry applies a stale version after 1 s.
            await trio.sleep(hold_s)
        injector.release(node_ids)


@failures.register("lose disk")
async def lose_disk(injector, hold_s):
    """Deletes the data of a stopped control and restarts it."""
    async with injector.disk_lock:
        for node_id in (node_ids := injector.reserve(voters=True)):
            process = injector.runner.processes[f"control/{node_id}"]
            with injector.fault(DOWN, process.name):
                await process.stop(STOP_TIMEOUT_S)
                shutil.rmtree(data_path(injector, node_id))
                await trio.sleep(hold_s)
                await process.start()
                await injector.runner.wait_healthy([process.name])
        injector.release(node_ids)
        await injector.wait_for_voters()


@failures.register("swap disks")
async def swap_disks(injector, hold_s):
    """Restarts two controls on each other's data, then swaps it back."""
    async with injector.disk_lock:
        node_ids = injector.reserve(2, voters=True)
        if len(node_ids) == 2:
            await swap(injector, node_ids)
            await trio.sleep(hold_s)
            await swap(injector, node_ids)
        injector.skipped += len(node_ids) == 1
        injector.release(node_ids)
        await injector.wait_for_voters()


async def swap(injector, node_ids):
    """Stops two controls, swaps their data and starts them again."""
    names = [f"control/{node_id}" for node_id in node_ids]
    first, second = [data_path(injector, node_id) for node_id in node_ids]
    with injector.fault(DOWN, names[0]), injector.fault(DOWN, names[1]):
        for name in names:
            await injector.runner.processes[name].stop(STOP_TIMEOUT_S)
        temporary = first.with_name("swapped")
        first.rename(temporary)
        second.rename(first)
        temporary.rename(second)
        for name in names:
            await injector.runner.processes[name].start()
        await injector.runner.wait_healthy(names)


@failures.register("restart all")
async def restart_all(injector, hold_s):
    """Kills all controls and entries at once and restarts them."""
    runner = injector.runner
    # Waits for failures of disks and zones, which restart their processes
    # themselves.
    async with injector.disk_lock, injector.cut_lock:
        node_ids = injector.reserve(len(runner.deployment.nodes))
        names = [
            f"{role}/{node_id}"
            for role in ("control", "entry")
            for node_id in node_ids
        ]
        async with trio.open_nursery() as nursery:
            for name in names:
                nursery.start_soon(injector.kill, name, hold_s)
        injector.release(node_ids)


def data_path(injector, node_id):
    """Returns the data directory of a voter."""
    return injector.runner.deployment.path(node_id, "data")

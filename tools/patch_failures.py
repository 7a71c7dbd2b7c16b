"""Failures that the soak of patches injects; each is undone in the end."""

import contextlib
import shutil

import trio
from failures import STOP_TIMEOUT_S, ZONES, kill_and_restart
from patch_operators import wall_ms
from patch_records import CUT, DOWN, Fault

from wigeonport.registries import Registry

failures = Registry("patch failure")

VOTERS = 5
LEADER_S = 20.0
POLL_S = 0.1
# Longer than the longest election timeout, 1.6 s, and the lease.
FREEZE_S = 4.0
# A learner joins once its former identity was silent for 2 s.
JOIN_S = 4.0
VOTERS_S = 60.0


class Injector:
    """What the failures need.

    Attributes:
        runner: FleetRunner.
        client: OperatorsClient.
        faults: List of Faults of the history.
        random: Source of the choices.
        disks: trio.Lock of the failures of disks: a second one before the
            first disk was replaced may lose what was acknowledged.
        cuts: trio.Lock of the failures of zones.
        skipped: Failures that found no free VM and did nothing.
    """

    __slots__ = (
        "runner",
        "client",
        "faults",
        "random",
        "disks",
        "cuts",
        "skipped",
    )

    def __init__(self, runner, client, faults, random):
        self.runner = runner
        self.client = client
        self.faults = faults
        self.random = random
        self.disks = trio.Lock()
        self.cuts = trio.Lock()
        self.skipped = 0

    @contextlib.contextmanager
    def fault(self, kind, name):
        """Records a fault from here to the end of the block."""
        fault = Fault(kind, name, wall_ms(), 2**53)
        self.faults.append(fault)
        try:
            yield
        finally:
            fault.until_ms = wall_ms()

    def pick(self, count=1, voters=False, zone=None):
        """Reserves nodes that no other failure uses; may be fewer."""
        free = [
            node.node_id
            for node in self.runner.deployment.nodes.values()
            if node.node_id not in self.runner.faulted_nodes
            and (node.is_voter or not voters)
            and zone in (None, node.zone)
        ]
        chosen = self.random.sample(free, min(count, len(free)))
        self.skipped += not chosen
        self.runner.faulted_nodes.update(chosen)
        return chosen

    def release(self, chosen):
        """Ends the reservation of nodes."""
        self.runner.faulted_nodes.difference_update(chosen)

    async def pick_leader(self):
        """Reserves the leader; returns an empty list if it is in use."""
        leader = await self.find_leader()
        if leader is None or leader in self.runner.faulted_nodes:
            self.skipped += 1
            return []
        self.runner.faulted_nodes.add(leader)
        return [leader]

    async def find_leader(self):
        """Returns the id of the leader, or None after a while."""
        with trio.move_on_after(LEADER_S):
            while True:
                for node_id in self.runner.deployment.nodes:
                    status = await self.client.status(node_id)
                    if status is not None and status["role"] == "leader":
                        return node_id
                await trio.sleep(POLL_S)
        return None

    async def kill(self, name, hold_s):
        """Kills a program and starts it again."""
        with self.fault(DOWN, name):
            await kill_and_restart(self.runner, name, hold_s)

    async def count_voters(self):
        """Returns the number of voters that the leader knows, or 0."""
        leader = await self.find_leader()
        if leader is None:
            return 0
        metrics = await self.runner.metrics(f"control/{leader}")
        return (metrics or {"gauges": {}})["gauges"].get("consensus_voters", 0)

    async def wait_for_voters(self):
        """Waits until all voters are members again.

        Raises:
            trio.TooSlowError: If the disk was not replaced in time.
        """
        await trio.sleep(JOIN_S)
        with trio.fail_after(VOTERS_S):
            while await self.count_voters() != VOTERS:
                await trio.sleep(POLL_S)


@failures.register("kill leader")
async def kill_leader(injector, hold_s):
    """Kills the leader while patches are in flight."""
    for node_id in (chosen := await injector.pick_leader()):
        await injector.kill(f"control/{node_id}", hold_s)
    injector.release(chosen)


@failures.register("kill control")
async def kill_control(injector, hold_s):
    """Kills any control."""
    for node_id in (chosen := injector.pick()):
        await injector.kill(f"control/{node_id}", hold_s)
    injector.release(chosen)


@failures.register("kill entry")
async def kill_entry(injector, hold_s):
    """Kills an entry."""
    for node_id in (chosen := injector.pick()):
        await injector.kill(f"entry/{node_id}", hold_s)
    injector.release(chosen)


@failures.register("freeze leader")
async def freeze_leader(injector, hold_s):
    """Stops the leader without its knowledge, then lets it go on."""
    for node_id in (chosen := await injector.pick_leader()):
        name = f"control/{node_id}"
        with injector.fault(DOWN, name):
            injector.runner.processes[name].freeze()
            await trio.sleep(FREEZE_S)
            injector.runner.processes[name].thaw()
    injector.release(chosen)


@contextlib.asynccontextmanager
async def cut(injector, zone):
    """Cuts a zone off within the block."""
    with injector.fault(CUT, zone):
        await injector.runner.send_relay_command(f"cut {zone}")
        try:
            yield
        finally:
            with trio.CancelScope(shield=True):
                await injector.runner.send_relay_command(f"heal {zone}")


@failures.register("cut zone")
async def cut_zone(injector, hold_s):
    """Closes all links from and to a zone, then heals them."""
    async with injector.cuts, cut(injector, injector.random.choice(ZONES)):
        await trio.sleep(hold_s)


@failures.register("restart entry in a cut zone")
async def restart_in_cut_zone(injector, hold_s):
    """Restarts an entry while its zone is cut off."""
    async with injector.cuts:
        zone = injector.random.choice(ZONES)
        chosen = injector.pick(zone=zone)
        async with cut(injector, zone):
            await trio.sleep(hold_s)
            for node_id in chosen:
                await injector.kill(f"entry/{node_id}", POLL_S)
            # The stale version is applied after a second.
            await trio.sleep(hold_s)
        injector.release(chosen)


@failures.register("lose disk")
async def lose_disk(injector, hold_s):
    """Deletes the data of a stopped control and starts it again."""
    async with injector.disks:
        for node_id in (chosen := injector.pick(voters=True)):
            process = injector.runner.processes[f"control/{node_id}"]
            with injector.fault(DOWN, process.name):
                await process.stop(STOP_TIMEOUT_S)
                shutil.rmtree(data_path(injector, node_id))
                await trio.sleep(hold_s)
                await process.start()
                await injector.runner.wait_healthy([process.name])
        injector.release(chosen)
        await injector.wait_for_voters()


@failures.register("swap disks")
async def swap_disks(injector, hold_s):
    """Starts two controls with each other's data, then swaps it back."""
    async with injector.disks:
        chosen = injector.pick(2, voters=True)
        if len(chosen) == 2:
            await swap(injector, chosen)
            await trio.sleep(hold_s)
            await swap(injector, chosen)
        injector.skipped += len(chosen) == 1
        injector.release(chosen)
        await injector.wait_for_voters()


async def swap(injector, chosen):
    """Stops two controls, exchanges their data and starts them."""
    names = [f"control/{node_id}" for node_id in chosen]
    first, second = [data_path(injector, node_id) for node_id in chosen]
    with injector.fault(DOWN, names[0]), injector.fault(DOWN, names[1]):
        for name in names:
            await injector.runner.processes[name].stop(STOP_TIMEOUT_S)
        spare = first.with_name("swapped")
        first.rename(spare)
        second.rename(first)
        spare.rename(second)
        for name in names:
            await injector.runner.processes[name].start()
        await injector.runner.wait_healthy(names)


@failures.register("restart all")
async def restart_all(injector, hold_s):
    """Kills all controls and entries at once and starts them again."""
    runner = injector.runner
    # Failures in progress restart their own processes.
    async with injector.disks, injector.cuts:
        chosen = injector.pick(len(runner.deployment.nodes))
        names = [
            f"{role}/{node_id}"
            for role in ("control", "entry")
            for node_id in chosen
        ]
        async with trio.open_nursery() as nursery:
            for name in names:
                nursery.start_soon(injector.kill, name, hold_s)
        injector.release(chosen)


def data_path(injector, node_id):
    """Returns the data directory of a voter."""
    return injector.runner.deployment.path(node_id, "data")

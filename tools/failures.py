"""Failures that the soak injects into a fleet; each is undone later.

Each failure is a registered function of the FleetRunner, the source of its
random choices, and the time in s for which it lasts.
"""

import contextlib
import signal

import trio

from wigeonport.registries import Registry

failures = Registry("failure")

ZONES = ("ikeja", "lekki", "yaba")
STOP_TIMEOUT_S = 12.0


class BusyError(Exception):
    """Other failures use every VM."""


@contextlib.contextmanager
def reserve_node(runner, random):
    """Reserves a random VM that no other failure uses; yields its id.

    If two failures restarted the same program, two copies of it would run
    and one of them would never be stopped.

    Raises:
        BusyError: If other failures use every VM.
    """
    free = sorted(runner.deployment.nodes.keys() - runner.faulted_nodes)
    if not free:
        raise BusyError("every VM is used by another failure")
    node_id = random.choice(free)
    runner.faulted_nodes.add(node_id)
    try:
        yield node_id
    finally:
        runner.faulted_nodes.discard(node_id)


async def kill_and_restart(runner, name, hold_s):
    """Kills a program, restarts it after a while, waits for its health."""
    process = runner.processes[name]
    await process.kill()
    await trio.sleep(hold_s)
    await process.start()
    await runner.wait_healthy([name])


@failures.register("kill entry")
async def kill_entry(runner, random, hold_s):
    """Kills an entry and restarts it."""
    with reserve_node(runner, random) as node_id:
        fault = runner.begin_fault("kill", [node_id])
        await kill_and_restart(runner, f"entry/{node_id}", hold_s)
        runner.end_fault(fault)


@failures.register("kill control")
async def kill_control(runner, random, hold_s):
    """Kills a control and restarts it."""
    with reserve_node(runner, random) as node_id:
        await kill_and_restart(runner, f"control/{node_id}", hold_s)


@failures.register("freeze entry")
async def freeze_entry(runner, random, hold_s):
    """Suspends an entry and resumes it."""
    with reserve_node(runner, random) as node_id:
        process = runner.processes[f"entry/{node_id}"]
        fault = runner.begin_fault("freeze", [node_id])
        process.freeze()
        await trio.sleep(hold_s)
        process.thaw()
        runner.end_fault(fault)


@failures.register("freeze control")
async def freeze_control(runner, random, hold_s):
    """Suspends a control, which may be the leader, and resumes it."""
    with reserve_node(runner, random) as node_id:
        process = runner.processes[f"control/{node_id}"]
        process.freeze()
        await trio.sleep(hold_s)
        process.thaw()


@failures.register("cut zone")
async def cut_zone(runner, random, hold_s):
    """Closes all links from and to a zone."""
    zone = random.choice(ZONES)
    await runner.send_relay_command(f"cut {zone}")
    await trio.sleep(hold_s)
    await runner.send_relay_command(f"heal {zone}")


@failures.register("hold zone")
async def hold_zone(runner, random, hold_s):
    """Stops the traffic of a zone's links without closing them."""
    zone = random.choice(ZONES)
    await runner.send_relay_command(f"hold {zone}")
    await trio.sleep(hold_s)
    await runner.send_relay_command(f"heal {zone}")


@failures.register("silence connections")
async def silence_connections(runner, random, hold_s):
    """Stops the traffic of a zone's open links; new links work."""
    await runner.send_relay_command(f"silence {random.choice(ZONES)}")
    await trio.sleep(hold_s)


@failures.register("endpoint leaves")
async def leave_endpoint(runner, random, hold_s):
    """Lets an endpoint of a zone leave and return."""
    zone = random.choice(ZONES)
    runner.processes[f"endpoints/{zone}"].send(signal.SIGUSR1)
    await trio.sleep(hold_s)


@failures.register("stop entry")
async def stop_entry(runner, random, hold_s):
    """Stops an entry gracefully and restarts it.

    No fault is recorded, since a planned stop must not lose a request: the
    checker excuses lost requests only while a fault is recorded.
    """
    with reserve_node(runner, random) as node_id:
        process = runner.processes[f"entry/{node_id}"]
        await process.stop(STOP_TIMEOUT_S)
        await trio.sleep(hold_s)
        await process.start()
        await runner.wait_healthy([process.name])


@failures.register("kill all controls")
async def kill_all_controls(runner, random, hold_s):
    """Kills all controls that no other failure uses, and restarts them.

    The replicated log must survive on the disks.
    """
    with contextlib.ExitStack() as stack:
        node_ids = []
        while runner.deployment.nodes.keys() - runner.faulted_nodes:
            reserved = reserve_node(runner, random)
            node_ids.append(stack.enter_context(reserved))
        async with trio.open_nursery() as nursery:
            for node_id in node_ids:
                name = f"control/{node_id}"
                nursery.start_soon(kill_and_restart, runner, name, hold_s)

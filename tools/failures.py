"""Failures that the soak injects; each is undone after a while."""

import contextlib
import signal

import trio

from wigeonport.registries import Registry

failures = Registry("failure")

ZONES = ("ikeja", "lekki", "yaba")
STOP_TIMEOUT_S = 12.0


class BusyError(Exception):
    """No VM is free for a failure."""


@contextlib.contextmanager
def reserve_node(runner, random):
    """Picks a VM that no other failure is using.

    Two failures that both restart a program would leave one copy of it
    without an owner.
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
    """Kills a program and starts it again."""
    process = runner.processes[name]
    await process.kill()
    await trio.sleep(hold_s)
    await process.start()
    await runner.wait_healthy([name])


@failures.register("kill entry")
async def kill_entry(runner, random, hold_s):
    """Kills an entry."""
    with reserve_node(runner, random) as node_id:
        fault = runner.begin_fault("kill", [node_id])
        await kill_and_restart(runner, f"entry/{node_id}", hold_s)
        runner.end_fault(fault)


@failures.register("kill control")
async def kill_control(runner, random, hold_s):
    """Kills a control."""
    with reserve_node(runner, random) as node_id:
        await kill_and_restart(runner, f"control/{node_id}", hold_s)


@failures.register("freeze entry")
async def freeze_entry(runner, random, hold_s):
    """Stops an entry without its knowledge."""
    with reserve_node(runner, random) as node_id:
        process = runner.processes[f"entry/{node_id}"]
        fault = runner.begin_fault("freeze", [node_id])
        process.freeze()
        await trio.sleep(hold_s)
        process.thaw()
        runner.end_fault(fault)


@failures.register("freeze control")
async def freeze_control(runner, random, hold_s):
    """Stops a control without its knowledge, a leader for example."""
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
    """Lets a zone's links stay open without carrying anything."""
    zone = random.choice(ZONES)
    await runner.send_relay_command(f"hold {zone}")
    await trio.sleep(hold_s)
    await runner.send_relay_command(f"heal {zone}")


@failures.register("silence connections")
async def silence_connections(runner, random, hold_s):
    """Silences a zone's open links for good; new ones work."""
    await runner.send_relay_command(f"silence {random.choice(ZONES)}")
    await trio.sleep(hold_s)


@failures.register("endpoint leaves")
async def leave_endpoint(runner, random, hold_s):
    """Lets an endpoint of a zone leave and come back."""
    zone = random.choice(ZONES)
    runner.processes[f"endpoints/{zone}"].send(signal.SIGUSR1)
    await trio.sleep(hold_s)


@failures.register("stop entry")
async def stop_entry(runner, random, hold_s):
    """Stops an entry gracefully and starts it again.

    No fault is recorded: a planned stop must not lose a request.
    """
    with reserve_node(runner, random) as node_id:
        process = runner.processes[f"entry/{node_id}"]
        await process.stop(STOP_TIMEOUT_S)
        await trio.sleep(hold_s)
        await process.start()
        await runner.wait_healthy([process.name])


@failures.register("kill all controls")
async def kill_all_controls(runner, random, hold_s):
    """Kills every control that is not in use at once; the log has to last."""
    with contextlib.ExitStack() as stack:
        node_ids = []
        while runner.deployment.nodes.keys() - runner.faulted_nodes:
            reserved = reserve_node(runner, random)
            node_ids.append(stack.enter_context(reserved))
        async with trio.open_nursery() as nursery:
            for node_id in node_ids:
                name = f"control/{node_id}"
                nursery.start_soon(kill_and_restart, runner, name, hold_s)

"""Faults that the soak injects into the platform's programs from outside.

Each is a function of the Soak that undoes what it has done; several may be
in progress at once.
"""

import contextlib
import resource
import signal

import trio

from wigeonport.registries import Registry

faults = Registry("soak fault")


@faults.register("kill_core")
async def kill_core(soak):
    """Kills a control and starts it again with its disk."""
    core = soak.random.choice(soak.fleet.cores)
    async with core.restart_lock:
        await core.stop()
        await trio.sleep(soak.random.uniform(0.1, 1.5))
        await core.start()


@faults.register("pause_core")
async def pause_core(soak):
    """Pauses a control for longer than its lease."""
    core = soak.random.choice(soak.fleet.cores)
    core.send(signal.SIGSTOP)
    await trio.sleep(soak.random.uniform(0.5, 4.0))
    core.send(signal.SIGCONT)


@faults.register("stop_core")
async def stop_core(soak):
    """Stops a control gracefully and starts it again."""
    core = soak.random.choice(soak.fleet.cores)
    async with core.restart_lock:
        await core.stop(signal.SIGTERM)
        await core.start()


@faults.register("wipe_core")
async def wipe_core(soak):
    """Replaces the disk of a control, one at a time."""
    if soak.faults.count("wipe_core") > 1:
        return
    core = soak.random.choice(soak.fleet.cores)
    async with core.restart_lock:
        await core.stop()
        core.lose_disk()
        await core.start()


@faults.register("kill_all")
async def kill_all(soak):
    """Kills all controls at once."""
    async with contextlib.AsyncExitStack() as stack:
        for core in soak.fleet.cores:
            await stack.enter_async_context(core.restart_lock)
        for core in soak.fleet.cores:
            core.must_run = False
            core.send(signal.SIGKILL)
        for core in soak.fleet.cores:
            await core.stop()
            await core.start()


@faults.register("kill_front")
async def kill_front(soak):
    """Kills a front and starts it again."""
    front = soak.random.choice(soak.fleet.fronts)
    async with front.restart_lock:
        await front.stop()
        await front.start()


@faults.register("reload_all")
async def reload_all(soak):
    """Asks all programs to read their settings again."""
    for process in (*soak.fleet.cores, *soak.fleet.fronts):
        process.send(signal.SIGHUP)


@faults.register("delay_links")
async def delay_links(soak):
    """Delays what a control sends and receives over its links."""
    proxies = soak.fleet.proxies_of(soak.random.choice(soak.fleet.cores).host)
    delay_s = soak.random.uniform(0.02, 0.4)
    for proxy in proxies:
        proxy.outbound.delay_s = proxy.inbound.delay_s = delay_s
    await trio.sleep(soak.random.uniform(1.0, 4.0))
    for proxy in proxies:
        proxy.heal()


@faults.register("cut_one_way")
async def cut_one_way(soak):
    """Holds what a control sends, or what it receives, until it heals."""
    host = soak.random.choice(soak.fleet.cores).host
    sends = soak.random.random() < 0.5
    for (caller, _), proxy in soak.fleet.proxies.items():
        if proxy in soak.fleet.proxies_of(host):
            (
                proxy.outbound if (caller == host) == sends else proxy.inbound
            ).hold()
    await trio.sleep(soak.random.uniform(0.5, 5.0))
    for proxy in soak.fleet.proxies_of(host):
        proxy.heal()


@faults.register("silence_links")
async def silence_links(soak):
    """Silences the open links of a control for good."""
    host = soak.random.choice(soak.fleet.cores).host
    for proxy in soak.fleet.proxies_of(host):
        proxy.silence()


@faults.register("reset_links")
async def reset_links(soak):
    """Resets the open links of a process."""
    process = soak.random.choice((*soak.fleet.cores, *soak.fleet.fronts))
    for proxy in soak.fleet.proxies_of(process.host):
        proxy.reset_connections()


@faults.register("tear_journal")
async def tear_journal(soak):
    """Kills a control and leaves a torn write at the end of its journal."""
    core = soak.random.choice(soak.fleet.cores)
    async with core.restart_lock:
        await core.stop()
        core.append_garbage(soak.random.randbytes(soak.random.randint(1, 90)))
        await core.start()


@faults.register("fill_disk")
async def fill_disk(soak):
    """Lets the files of a control grow no more for a while."""
    core = soak.random.choice(soak.fleet.cores)
    async with core.restart_lock:
        # A control whose disk fails may end; the platform restarts it.
        core.must_run = False
        core.limit_files(0)
        await trio.sleep(soak.random.uniform(0.5, 2.5))
        core.limit_files(resource.RLIM_INFINITY)
        if core.process.poll() is None:
            core.must_run = True
        else:
            await core.start()


@faults.register("deafen_worker")
async def deafen_worker(soak):
    """Lets a worker miss the answers to its heartbeats."""
    worker = soak.random.choice(soak.workers)
    worker.answers_lost = True
    await trio.sleep(soak.random.uniform(0.5, 6.0))
    worker.answers_lost = False


@faults.register("crash_worker")
async def crash_worker(soak):
    """Crashes a worker, which starts again under its id."""
    soak.random.choice(soak.workers).crash()

"""Faults that the soak injects into the platform's programs from outside.

Each is a registered function that takes the Soak, injects the fault and
undoes it. Several faults may be in progress at once.
"""

import contextlib
import resource
import signal

import trio

from wigeonport.registries import Registry

faults = Registry("soak fault")


@faults.register("kill_core")
async def kill_core(soak):
    """Kills a control and restarts it on the same disk."""
    core = soak.random.choice(soak.fleet.cores)
    async with core.restart_lock:
        await core.stop()
        await trio.sleep(soak.random.uniform(0.1, 1.5))
        await core.start()


@faults.register("pause_core")
async def pause_core(soak):
    """Pauses a control, possibly for longer than its leader lease lasts."""
    core = soak.random.choice(soak.fleet.cores)
    core.send(signal.SIGSTOP)
    await trio.sleep(soak.random.uniform(0.5, 4.0))
    core.send(signal.SIGCONT)


@faults.register("stop_core")
async def stop_core(soak):
    """Stops a control gracefully and restarts it."""
    core = soak.random.choice(soak.fleet.cores)
    async with core.restart_lock:
        await core.stop(signal.SIGTERM)
        await core.start()


@faults.register("wipe_core")
async def wipe_core(soak):
    """Restarts a control on an empty disk; at most once in a run."""
    if soak.injected_faults.count("wipe_core") > 1:
        return
    core = soak.random.choice(soak.fleet.cores)
    async with core.restart_lock:
        await core.stop()
        core.lose_disk()
        await core.start()


@faults.register("kill_all")
async def kill_all(soak):
    """Kills all controls at once and restarts them."""
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
    """Kills a front and restarts it."""
    front = soak.random.choice(soak.fleet.fronts)
    async with front.restart_lock:
        await front.stop()
        await front.start()


@faults.register("pause_front")
async def pause_front(soak):
    """Pauses a front, possibly for longer than the clients' deadlines."""
    front = soak.random.choice(soak.fleet.fronts)
    front.send(signal.SIGSTOP)
    await trio.sleep(soak.random.uniform(0.5, 9.0))
    front.send(signal.SIGCONT)


@faults.register("reload_all")
async def reload_all(soak):
    """Lets all programs reload their settings, by SIGHUP."""
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
    """Holds what a control sends, or what it receives, for a while."""
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
    """Stops the traffic of a control's open links without closing them.

    They stay silent; new links work.
    """
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
    """Kills a control and appends a torn write to its journal."""
    core = soak.random.choice(soak.fleet.cores)
    async with core.restart_lock:
        await core.stop()
        core.append_garbage(soak.random.randbytes(soak.random.randint(1, 90)))
        await core.start()


@faults.register("fill_disk")
async def fill_disk(soak):
    """Makes the writes of a control fail for a while, as on a full disk."""
    core = soak.random.choice(soak.fleet.cores)
    async with core.restart_lock:
        core.limit_files(0)
        await trio.sleep(soak.random.uniform(0.5, 2.5))
        core.limit_files(resource.RLIM_INFINITY)


@faults.register("deafen_worker")
async def deafen_worker(soak):
    """Drops the answers to the heartbeats of a worker for a while."""
    worker = soak.random.choice(soak.workers)
    worker.answers_lost = True
    await trio.sleep(soak.random.uniform(0.5, 6.0))
    worker.answers_lost = False


@faults.register("crash_worker")
async def crash_worker(soak):
    """Crashes a worker, which restarts with the same id."""
    soak.random.choice(soak.workers).crash()

"""Tests of processes that clients outside the limits of the pages flood.

Each test starts a control and a front on loopback addresses, on machines with
little memory and few descriptors. A crowd then sends one form of request that
has no end, or reads no answers. The tests check that the process lives, that
its memory and its descriptors stay within those of its machine, and that an
ordinary request is answered while the crowd is still there.
"""

import pytest
import trio
from client_floods import Crowd, forms
from flood_fleets import (
    PORTS,
    FloodFleet,
    call_at_start,
    count_descriptors,
    find_net,
    put_configuration,
    read_memory_mb,
    send_heartbeat,
    submit_job,
)

MAX_FDS = 900
FRONT_MEMORY_MB = 100
CONTROL_MEMORY_MB = 160
# Form, listener and clients. The bytes of each crowd, or its connections,
# exceed what the machine has beside the program itself.
CROWDS = [
    ("short-job", "front", 400),
    ("chunked-job", "front", 400),
    ("read-with-body", "front", 400),
    ("tiny-chunks", "front", 100),
    ("streams", "front", 6),
    ("short-configuration", "control", 100),
    ("short-heartbeat", "control", 100),
    ("configurations-unread", "control", 200),
    ("link-frames", "links", 200),
    ("idle", "front", 1_200),
    ("idle", "control", 1_200),
    ("trailers", "front", 40),
    ("trailers", "control", 40),
    ("trailers-refused", "front", 40),
    ("header-block", "front", 40),
    ("chunk-extension", "front", 40),
    ("requests-ahead", "front", 40),
    ("requests-ahead", "control", 40),
    ("many-values-heartbeat", "control", 4),
    ("many-values-configuration", "control", 4),
    ("many-values-wave", "control", 4),
    ("wide-text-configuration", "control", 4),
]


async def flood(folder, form, listener, clients):
    """Plays a crowd; returns the failed checks as texts."""
    memory_mb = FRONT_MEMORY_MB if listener == "front" else CONTROL_MEMORY_MB
    fleet = FloodFleet(folder, find_net(), memory_mb, MAX_FDS)
    process, address = fleet.target(PORTS[listener])
    crowd = Crowd(forms.get(form).ok, address, clients)
    failures = []

    def check(holds, text):
        if not holds:
            failures.append(text)

    try:
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            configured = await put_configuration(fleet, 1, call_at_start)
            check(configured, "no configuration")
            accepted = await submit_job(fleet, call_at_start)
            check(accepted, "no job accepted before the crowd")
            nursery.start_soon(crowd.run)
            await crowd.gather()
            descriptors = count_descriptors(process)
            check(descriptors <= MAX_FDS, f"{descriptors} descriptors")
            check(await submit_job(fleet), "no job accepted")
            check(await send_heartbeat(fleet), "no heartbeat accepted")
            check(await put_configuration(fleet, 2), "no new configuration")
            lives = process.process.poll() is None
            check(lives, "the process has ended")
            used_mb = read_memory_mb(process, "VmHWM") if lives else 0
            check(used_mb <= memory_mb, f"{used_mb:.0f} MB of {memory_mb}")
            nursery.cancel_scope.cancel()
    finally:
        with trio.CancelScope(shield=True):
            await fleet.stop()
    return failures


@pytest.mark.parametrize(
    ("form", "listener", "clients"),
    CROWDS,
    ids=[f"{form}-{listener}" for form, listener, _ in CROWDS],
)
def test_flood_stays_within_the_machine(form, listener, clients, tmp_path):
    """Guards against a crowd that ends or occupies a process.

    Bodies, answers and connections of clients that do not finish had no
    common bound.
    """
    failures = trio.run(flood, tmp_path, form, listener, clients)
    assert failures == []

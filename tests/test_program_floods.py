"""Tests of the product's own programs under crowds outside the limits.

Each test starts ``wigeonport-entry`` and ``wigeonport-control`` of one VM on
loopback addresses, with little memory and few descriptors, and sends them one
of the forms that ``test_client_floods.py`` sends to the platform's programs.
"""

import httpcore
import pytest
import trio
from client_floods import Crowd, forms
from deployments import HOST, Deployment
from fleet_runner import FleetRunner
from flood_fleets import (
    CALL_TRIES,
    START_TRIES,
    count_descriptors,
    read_memory_mb,
)

MAX_FDS = 900
MEMORY_MB = 100
ANSWER_TIMEOUT_S = 5.0
# Form, port of the VM and clients.
CROWDS = [
    ("short-job", "callers_port", 400),
    ("chunked-job", "callers_port", 400),
    ("idle", "callers_port", 1_200),
    ("trailers", "callers_port", 40),
    ("requests-ahead", "callers_port", 40),
    ("idle", "announcements_port", 1_200),
    ("idle", "entry_status_port", 1_200),
    ("short-configuration", "operators_port", 100),
    ("idle", "operators_port", 1_200),
    ("trailers", "operators_port", 40),
    ("requests-ahead", "operators_port", 40),
]
ROLES = {"operators_port": "control"}


async def is_answered(address, tries):
    """Returns whether a request is answered, with whatever status."""
    for _ in range(tries):
        try:
            async with httpcore.AsyncConnectionPool() as pool:
                with trio.fail_after(ANSWER_TIMEOUT_S):
                    await pool.request("GET", f"http://{address}/healthz")
            return True
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            trio.TooSlowError,
        ):
            await trio.sleep(0.5)
    return False


async def flood_program(folder, form, port, clients):
    """Plays a crowd against a program; returns the failed checks."""
    limits = {"memory_mb": MEMORY_MB, "max_descriptors": MAX_FDS}
    deployment = Deployment(folder, {"ikeja": 1}, {"ikeja": 1}, limits)
    deployment.write()
    (node,) = deployment.nodes.values()
    runner = FleetRunner(deployment)
    runner.add_node_processes(node, None)
    process = runner.processes[f"{ROLES.get(port, 'entry')}/{node.node_id}"]
    crowd = Crowd(forms.get(form).ok, (HOST, node.ports[port]), clients)
    address, failures = node.address(port), []

    def check(holds, text):
        if not holds:
            failures.append(text)

    try:
        async with trio.open_nursery() as nursery:
            for each in runner.processes.values():
                await each.start()
            check(await is_answered(address, START_TRIES), "no answer")
            nursery.start_soon(crowd.run)
            await crowd.gather()
            descriptors = count_descriptors(process)
            check(descriptors <= MAX_FDS, f"{descriptors} descriptors")
            check(
                await is_answered(address, CALL_TRIES),
                "no answer beside the crowd",
            )
            lives = process.running
            check(lives, "the process has ended")
            used_mb = read_memory_mb(process, "VmHWM") if lives else 0
            check(used_mb <= MEMORY_MB, f"{used_mb:.0f} MB of {MEMORY_MB}")
            nursery.cancel_scope.cancel()
    finally:
        with trio.CancelScope(shield=True):
            for each in runner.processes.values():
                await each.kill()
    return failures


@pytest.mark.parametrize(
    ("form", "port", "clients"),
    CROWDS,
    ids=[f"{form}-{port}" for form, port, _ in CROWDS],
)
def test_flood_stays_within_the_vm(form, port, clients, tmp_path):
    """Guards against listeners of the product's programs without a budget.

    Only the listeners of the platform's programs had one.
    """
    failures = trio.run(flood_program, tmp_path, form, port, clients)
    assert failures == []

"""Memory, processor time and bytes of each process, at several sizes.

Each size is a number of endpoints that announce themselves to each entry, or
with ``--vms`` a number of VMs. After it settled, every process is observed
idle, then the entries under a paced load. Run with ``PYTHONPATH=tools:.``.
"""

import argparse
import statistics
import tempfile
import time

import trio
from deployments import SERVICES, VOTERS, ZONES, Deployment
from fleet_runner import STANDINS, FleetRunner
from measures import (
    describe_machine,
    fit_slope,
    load_paced,
    read_cpu_s,
    read_resident_mb,
)
from operators_client import OperatorsClient, load_fleet_patch

SETTLE_S = 6.0
POLL_S = 0.3
START_S = 30.0
LOAD_PER_ENTRY_PER_S = 10
SERVICE = SERVICES[0]
ONE_VOTER_EACH = dict.fromkeys(ZONES, 1)
SMALLEST_WITH_FIVE_VOTERS = 5


class Usage:
    """What one process used during a window.

    Attributes:
        name: Name of the process.
        cpu_percent: Share of one core.
        resident_mb: Resident memory at the end.
        sent_bytes_per_s: Bytes a second that it sent over links.
    """

    __slots__ = ("name", "cpu_percent", "resident_mb", "sent_bytes_per_s")

    def __init__(self, name, cpu_percent, resident_mb, sent_bytes_per_s):
        self.name = name
        self.cpu_percent = cpu_percent
        self.resident_mb = resident_mb
        self.sent_bytes_per_s = sent_bytes_per_s


def add_processes(runner, endpoints):
    """Adds the programs and, for each entry, its endpoints."""
    deployment = runner.deployment
    runner.add_processes(endpoints_per_zone=0)
    for name in [n for n in runner.processes if n.startswith("endpoints/")]:
        del runner.processes[name]
    for node in deployment.nodes.values():
        arguments = [STANDINS / "endpoint_group.py"]
        for number in range(endpoints):
            service = SERVICES[number % len(SERVICES)]
            member = f"{service}-{node.node_id}-{number}"
            port = deployment.ports.allocate()
            arguments += ["--member", f"{member}:{service}:{node.zone}:{port}"]
        arguments += ["--entry", node.address("announcements_port")]
        arguments += ["--log", runner.run_log_path(node.node_id)]
        runner.add(f"endpoints/{node.node_id}", arguments)


async def apply_first_version(runner):
    """Submits the first patch until it is accepted."""
    operators = OperatorsClient(runner)
    patch = load_fleet_patch()
    with trio.fail_after(START_S):
        while True:
            answer = await operators.submit(
                "ikeja-1", "bench", 0, patch["reason"], patch["operations"]
            )
            if answer is not None and answer.status == 200:
                break
            await trio.sleep(POLL_S)
        status = None
        while status is None:
            status = await operators.status("ikeja-1")
    return status["leader"].split("/")[0]


async def read_sent(runner, name):
    """Returns the bytes that a program has sent over links."""
    metrics = await runner.metrics(name)
    return metrics["counters"].get("links_sent_bytes", 0)


async def observe(runner, seconds):
    """Returns the Usage of every program over some seconds."""
    names = [
        name
        for name in runner.processes
        if name.startswith(("entry/", "control/"))
    ]
    sent = {name: await read_sent(runner, name) for name in names}
    pids = {name: runner.processes[name].pid for name in names}
    cpu_s = {name: read_cpu_s(pid) for name, pid in pids.items()}
    started_s = time.monotonic()
    await trio.sleep(seconds)
    spent_s = time.monotonic() - started_s
    usages = []
    for name, pid in pids.items():
        cpu = (read_cpu_s(pid) - cpu_s[name]) / spent_s * 100
        resident_mb = read_resident_mb(pid)
        usages.append(Usage(name, cpu, resident_mb, 0.0))
    for usage in usages:
        total = await read_sent(runner, usage.name) - sent[usage.name]
        usage.sent_bytes_per_s = total / (time.monotonic() - started_s)
    return usages


def role_of(runner, name, leader):
    """Returns ``entry``, ``leader``, ``follower`` or ``learner``."""
    role, node_id = name.split("/")
    if role == "entry":
        return role
    if node_id == leader:
        return "leader"
    is_voter = runner.deployment.nodes[node_id].is_voter
    return "follower" if is_voter else "learner"


def summarize(runner, usages, leader):
    """Returns the median Usage by role."""
    by_role = {}
    for usage in usages:
        role = role_of(runner, usage.name, leader)
        by_role.setdefault(role, []).append(usage)
    return {
        role: Usage(
            role,
            *(
                statistics.median(getattr(usage, field) for usage in listed)
                for field in Usage.__slots__[1:]
            ),
        )
        for role, listed in by_role.items()
    }


def print_usages(size, state, by_role):
    """Prints one line for each role."""
    for role in sorted(by_role):
        usage = by_role[role]
        print(
            f"{size}, {state:<4} {role:<8} "
            f"cpu {usage.cpu_percent:6.2f} % of a core, "
            f"memory {usage.resident_mb:6.1f} MB, "
            f"links {usage.sent_bytes_per_s / 1_000:6.2f} KB/s"
        )


async def load_entries(runner, seconds):
    """Sends a paced load to every entry."""
    async with trio.open_nursery() as nursery:
        for address in runner.deployment.entry_addresses():
            url = f"http://{address}/{SERVICE}/work"
            nursery.start_soon(load_paced, url, LOAD_PER_ENTRY_PER_S, seconds)


def spread(vms, zones):
    """Returns how many of the VMs are in each zone, the first get more."""
    return {
        zone: vms // len(zones) + (index < vms % len(zones))
        for index, zone in enumerate(zones)
    }


async def measure_size(endpoints, vms, seconds, folder):
    """Returns the idle Usage by role at one size."""
    voters = VOTERS if vms >= SMALLEST_WITH_FIVE_VOTERS else ONE_VOTER_EACH
    runner = FleetRunner(Deployment(folder, spread(vms, ZONES), voters))
    add_processes(runner, endpoints)
    size = f"{vms:>3} VMs, {endpoints:>4} endpoints an entry"
    try:
        await runner.start()
        leader = await apply_first_version(runner)
        await trio.sleep(SETTLE_S)
        idle = summarize(runner, await observe(runner, seconds), leader)
        print_usages(size, "idle", idle)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load_entries, runner, seconds)
            loaded = await observe(runner, seconds)
        print_usages(size, "load", summarize(runner, loaded, leader))
    finally:
        runner.kill_all()
    return idle


def print_slopes(sizes, unit):
    """Prints how the figures grow with the size."""
    roles = set.intersection(*(set(by_role) for by_role in sizes.values()))
    for role in sorted(roles):
        for field in Usage.__slots__[1:]:
            points = [
                (size, getattr(by_role[role], field))
                for size, by_role in sizes.items()
            ]
            slope, base = fit_slope(points)
            print(
                f"{role:<8} {field:<17} {base:10.3f} + "
                f"{slope:.5f} for each {unit}"
            )


def main():
    """Measures all sizes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument(
        "--endpoints", type=int, nargs="+", default=[28, 56, 112]
    )
    parser.add_argument("--vms", type=int, nargs="+", default=[7])
    options = parser.parse_args()
    print("before:", describe_machine())
    print(f"load: {LOAD_PER_ENTRY_PER_S} requests/s at each entry")
    by_vms = len(options.vms) > 1
    sizes = {}
    for vms in options.vms:
        for endpoints in options.endpoints:
            with tempfile.TemporaryDirectory(prefix="wigeonport-") as folder:
                idle = trio.run(
                    measure_size, endpoints, vms, options.seconds, folder
                )
            sizes[vms if by_vms else endpoints] = idle
    print_slopes(sizes, "VM" if by_vms else "endpoint of an entry")
    print("after:", describe_machine())


if __name__ == "__main__":
    main()

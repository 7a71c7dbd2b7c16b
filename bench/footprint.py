"""Measures memory, processor time and link traffic at several sizes.

Run with ``PYTHONPATH=tools:.``. The size is the number of endpoints that
announce themselves to each entry, or with several values of ``--vms`` the
number of VMs. At each size, all entries and controls are observed for
``--seconds`` while idle, then again while requests arrive at each entry at a
fixed rate.

Each row of the output gives the medians over the processes of one role:
processor time in percent of one core, resident memory in MB (2**20 bytes) at
the end, and kilobytes (1,000 bytes) a second sent over links. The roles are
entry, and for controls leader, follower (another voter) or learner (no vote).
The last rows give each idle figure as a straight line fitted over the sizes:
value at size 0 + increase per VM or endpoint.
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
    fit_line,
    read_cpu_s,
    read_resident_mb,
    run_fixed_rate,
)
from operators_client import OperatorsClient, load_fleet_patch

# Time from the first version until the processes are observed.
SETTLE_S = 6.0
POLL_INTERVAL_S = 0.3
START_TIMEOUT_S = 30.0
LOAD_PER_ENTRY_PER_S = 10
SERVICE = SERVICES[0]
ONE_VOTER_PER_ZONE = dict.fromkeys(ZONES, 1)
MIN_VMS_FOR_FIVE_VOTERS = 5


class Usage:
    """What one process used during an interval, or a median by role.

    Attributes:
        name: Name of the process or of the role.
        cpu_percent: Processor time, in percent of one core.
        resident_mb: Resident memory at the end, in MB (2**20 bytes).
        sent_bytes_per_s: Bytes a second sent over links.
    """

    __slots__ = ("name", "cpu_percent", "resident_mb", "sent_bytes_per_s")

    def __init__(self, name, cpu_percent, resident_mb, sent_bytes_per_s):
        self.name = name
        self.cpu_percent = cpu_percent
        self.resident_mb = resident_mb
        self.sent_bytes_per_s = sent_bytes_per_s


def add_processes(runner, endpoints):
    """Adds all processes, with one group of endpoints for each entry."""
    deployment = runner.deployment
    runner.add_processes(endpoints_per_zone=0)
    for name in [n for n in runner.processes if n.startswith("endpoints/")]:
        del runner.processes[name]
    for node in deployment.nodes.values():
        arguments = [STANDINS / "endpoint_group.py"]
        for number in range(endpoints):
            service = SERVICES[number % len(SERVICES)]
            endpoint_id = f"{service}-{node.node_id}-{number}"
            port = deployment.ports.allocate()
            arguments += [
                "--member",
                f"{endpoint_id}:{service}:{node.zone}:{port}",
            ]
        arguments += ["--entry", node.address("announcements_port")]
        arguments += ["--log", runner.run_log_path(node.node_id)]
        runner.add(f"endpoints/{node.node_id}", arguments)


async def apply_first_version(runner):
    """Submits the first patch until it is accepted.

    Returns:
        The node id of the leader.

    Raises:
        trio.TooSlowError: If it is not accepted within START_TIMEOUT_S.
    """
    operators = OperatorsClient(runner)
    patch = load_fleet_patch()
    with trio.fail_after(START_TIMEOUT_S):
        while True:
            answer = await operators.submit(
                "ikeja-1", "bench", 0, patch["reason"], patch["operations"]
            )
            if answer is not None and answer.status == 200:
                break
            await trio.sleep(POLL_INTERVAL_S)
        status = None
        while status is None:
            status = await operators.status("ikeja-1")
    return status["leader"].split("/")[0]


async def read_sent_bytes(runner, name):
    """Returns the bytes that a process has sent over links so far."""
    metrics = await runner.metrics(name)
    return metrics["counters"].get("links_sent_bytes", 0)


async def observe(runner, seconds):
    """Returns the Usage of every entry and control over some seconds."""
    names = [
        name
        for name in runner.processes
        if name.startswith(("entry/", "control/"))
    ]
    sent_bytes = {name: await read_sent_bytes(runner, name) for name in names}
    pids = {name: runner.processes[name].pid for name in names}
    cpu_s = {name: read_cpu_s(pid) for name, pid in pids.items()}
    started_s = time.monotonic()
    await trio.sleep(seconds)
    elapsed_s = time.monotonic() - started_s
    usages = []
    for name, pid in pids.items():
        cpu_percent = (read_cpu_s(pid) - cpu_s[name]) / elapsed_s * 100
        resident_mb = read_resident_mb(pid)
        usages.append(Usage(name, cpu_percent, resident_mb, 0.0))
    for usage in usages:
        new_bytes = (
            await read_sent_bytes(runner, usage.name) - sent_bytes[usage.name]
        )
        usage.sent_bytes_per_s = new_bytes / (time.monotonic() - started_s)
    return usages


def get_role(runner, name, leader):
    """Returns ``entry``, ``leader``, ``follower`` or ``learner``."""
    role, node_id = name.split("/")
    if role == "entry":
        return role
    if node_id == leader:
        return "leader"
    is_voter = runner.deployment.nodes[node_id].is_voter
    return "follower" if is_voter else "learner"


def summarize(runner, usages, leader):
    """Returns a mapping of role to a Usage of medians over its processes."""
    usage_by_role = {}
    for usage in usages:
        role = get_role(runner, usage.name, leader)
        usage_by_role.setdefault(role, []).append(usage)
    return {
        role: Usage(
            role,
            *(
                statistics.median(
                    getattr(usage, field) for usage in role_usages
                )
                for field in Usage.__slots__[1:]
            ),
        )
        for role, role_usages in usage_by_role.items()
    }


def print_usages(label, state, usage_by_role):
    """Prints one row for each role."""
    for role in sorted(usage_by_role):
        usage = usage_by_role[role]
        print(
            f"{label}, {state:<4} {role:<8} "
            f"cpu {usage.cpu_percent:6.2f} % of a core, "
            f"memory {usage.resident_mb:6.1f} MB, "
            f"links {usage.sent_bytes_per_s / 1_000:6.2f} KB/s"
        )


async def load_entries(runner, seconds):
    """Sends requests to every entry at a fixed rate."""
    async with trio.open_nursery() as nursery:
        for address in runner.deployment.entry_addresses():
            url = f"http://{address}/{SERVICE}/work"
            nursery.start_soon(
                run_fixed_rate, url, LOAD_PER_ENTRY_PER_S, seconds
            )


def distribute(vms, zones):
    """Returns a mapping of zone to VMs; the first zones may get one more."""
    return {
        zone: vms // len(zones) + (index < vms % len(zones))
        for index, zone in enumerate(zones)
    }


async def measure_size(endpoints, vms, seconds, folder):
    """Prints the rows of one size; returns a mapping of role to idle Usage."""
    voters = VOTERS if vms >= MIN_VMS_FOR_FIVE_VOTERS else ONE_VOTER_PER_ZONE
    runner = FleetRunner(Deployment(folder, distribute(vms, ZONES), voters))
    add_processes(runner, endpoints)
    label = f"{vms:>3} VMs, {endpoints:>4} endpoints per entry"
    try:
        await runner.start()
        leader = await apply_first_version(runner)
        await trio.sleep(SETTLE_S)
        idle = summarize(runner, await observe(runner, seconds), leader)
        print_usages(label, "idle", idle)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load_entries, runner, seconds)
            loaded = await observe(runner, seconds)
        print_usages(label, "load", summarize(runner, loaded, leader))
    finally:
        runner.kill_all()
    return idle


def print_slopes(usage_by_size, unit):
    """Prints a line fitted over the sizes for each role and figure."""
    roles = set.intersection(
        *(set(usage_by_role) for usage_by_role in usage_by_size.values())
    )
    for role in sorted(roles):
        for field in Usage.__slots__[1:]:
            points = [
                (size, getattr(usage_by_role[role], field))
                for size, usage_by_role in usage_by_size.items()
            ]
            slope, intercept = fit_line(points)
            print(
                f"{role:<8} {field:<17} {intercept:10.3f} + "
                f"{slope:.5f} per {unit}"
            )


def main():
    """Measures all sizes and prints the fitted lines."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument(
        "--endpoints", type=int, nargs="+", default=[28, 56, 112]
    )
    parser.add_argument("--vms", type=int, nargs="+", default=[7])
    options = parser.parse_args()
    print("before:", describe_machine())
    print(f"load: {LOAD_PER_ENTRY_PER_S} requests/s to each entry")
    vary_vms = len(options.vms) > 1
    usage_by_size = {}
    for vms in options.vms:
        for endpoints in options.endpoints:
            with tempfile.TemporaryDirectory(prefix="wigeonport-") as folder:
                idle = trio.run(
                    measure_size, endpoints, vms, options.seconds, folder
                )
            usage_by_size[vms if vary_vms else endpoints] = idle
    print_slopes(usage_by_size, "VM" if vary_vms else "endpoint of an entry")
    print("after:", describe_machine())


if __name__ == "__main__":
    main()

"""Measures commit latency, group commit and restart of the replicated log.

    python bench/commit_latency.py --directory DIR --replicas 3 5

For each number of replicas, the output gives the median and p99 latency in us
of a baseline operation and of one commit, the ratio of the two medians, and
for several numbers of concurrent proposers the commits a second and the
commits per sync of the leader's journal.

The baseline operation writes a record as large as that of a commit, syncs
it with fdatasync, and does one round trip to another process over loopback
TCP. It runs on the same disk, just before and just after the commits, so that
the load of the machine affects both alike.

``--restart ENTRIES`` measures how long three replicas take to restart after
that many entries, with and without snapshots.
"""

import argparse
import json
import os
import pathlib
import socket
import statistics
import sys
import tempfile
import time

import trio

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tools")]

from deployments import PortAllocator  # noqa: E402
from piped_processes import PipedProcess  # noqa: E402
from processes import ManagedProcess  # noqa: E402

BENCH = ROOT / "bench"
RECORD = b"r" * 350
# More entries than a run writes, so that no replica takes a snapshot.
NO_SNAPSHOT_ENTRIES = 1_000_000_000


async def measure_baseline(folder, count):
    """Returns the latencies of the baseline operation, in us."""
    port = PortAllocator().allocate()
    echo = ManagedProcess(
        "echo", [str(BENCH / "echo_process.py"), str(port)], folder / "echo"
    )
    await echo.start()
    connection = None
    while connection is None:
        try:
            connection = socket.create_connection(("127.0.0.1", port))
        except ConnectionRefusedError:
            await trio.sleep(0.05)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
    descriptor = os.open(folder / "baseline", flags)
    latencies_us = []
    for _ in range(count):
        started_ns = time.monotonic_ns()
        os.write(descriptor, RECORD)
        os.fdatasync(descriptor)
        connection.sendall(RECORD)
        connection.recv(4_096)
        latencies_us.append((time.monotonic_ns() - started_ns) / 1e3)
    os.close(descriptor)
    connection.close()
    await echo.wait(5)
    return latencies_us


class ReplicaGroup:
    """The replica processes of one measurement.

    Attributes:
        processes: Maps the name of a node to its PipedProcess.
        open_duration_ms: Maps the name of a node to the time that it took to
            open its data directory, in ms.
    """

    __slots__ = ("processes", "open_duration_ms")

    def __init__(self, folder, count, snapshot_entries):
        ports = PortAllocator()
        nodes = {f"n{number}": ports.allocate() for number in range(count)}
        self.open_duration_ms = {}
        self.processes = {}
        for node in nodes:
            setup = {
                "node": node,
                "ports": nodes,
                "directory": str(folder / node),
                "snapshot_entries": snapshot_entries,
            }
            arguments = [str(BENCH / "replica_process.py"), json.dumps(setup)]
            self.processes[node] = PipedProcess(
                node, arguments, folder / f"{node}.log"
            )

    async def start(self):
        """Starts all replicas and returns the process of the ready leader."""
        for process in self.processes.values():
            await process.start()
        for node, process in self.processes.items():
            first_line = await process.read_line()
            self.open_duration_ms[node] = json.loads(first_line)["opened_ms"]
        while True:
            for process in self.processes.values():
                status = await run_command(process, "status")
                if status["ready"]:
                    return process
            await trio.sleep(0.1)

    async def stop(self):
        """Kills all replicas."""
        for process in self.processes.values():
            await process.kill()


async def run_command(process, command):
    """Runs a command in a replica process and returns its JSON answer."""
    return json.loads(await process.call(command))


def print_percentiles(name, latencies_us):
    """Prints the median and p99 of latencies; returns the median in us."""
    ordered = sorted(latencies_us)
    median = statistics.median(ordered)
    p99 = ordered[int(len(ordered) * 0.99)]
    print(f"{name}: median {median:.0f} us, p99 {p99:.0f} us")
    return median


async def measure_replicas(folder, replicas, count):
    """Prints commit latency, its ratio to the baseline, and group commit."""
    folder.mkdir()
    baseline_before = await measure_baseline(folder, count)
    group = ReplicaGroup(folder, replicas, NO_SNAPSHOT_ENTRIES)
    leader = await group.start()
    latencies_us = await run_command(leader, f"latency {count}")
    throughput_results = []
    for tasks in (16, 128, 512):
        throughput_results.append(
            (tasks, await run_command(leader, f"throughput 4096 {tasks}"))
        )
    await group.stop()
    baseline_after = await measure_baseline(folder, count)
    baseline = print_percentiles("baseline", baseline_before + baseline_after)
    median = print_percentiles(f"commit, {replicas} replicas", latencies_us)
    print(f"ratio of the medians, commit to baseline: {median / baseline:.1f}")
    for tasks, result in throughput_results:
        commits_per_s = result["proposals"] / result["seconds"]
        commits_per_sync = result["proposals"] / max(1, result["syncs"])
        print(
            f"{tasks} proposers: {commits_per_s:.0f} commits/s, "
            f"{commits_per_sync:.1f} commits per sync"
        )


async def measure_restart(folder, entries, snapshot_entries):
    """Prints how long a restart of all three replicas takes."""
    folder.mkdir()
    group = ReplicaGroup(folder, 3, snapshot_entries)
    leader = await group.start()
    await run_command(leader, f"throughput {entries} 500")
    await group.stop()
    started = time.monotonic()
    leader = await group.start()
    ready_s = time.monotonic() - started
    status = await run_command(leader, "status")
    assert status["commit_index"] >= entries
    await group.stop()
    open_duration_ms = max(group.open_duration_ms.values())
    print(
        f"restart after {entries} entries, a snapshot every "
        f"{snapshot_entries} entries: slowest data directory opened in "
        f"{open_duration_ms:.0f} ms, leader ready after {ready_s:.1f} s"
    )


async def main():
    """Measures each number of replicas and each number of entries."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--directory", default=None)
    parser.add_argument("--replicas", type=int, nargs="*", default=[3, 5])
    parser.add_argument("--count", type=int, default=1_000)
    parser.add_argument("--restart", type=int, nargs="*", default=[])
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(dir=options.directory) as name:
        folder = pathlib.Path(name)
        for replicas in options.replicas:
            await measure_replicas(
                folder / f"commit{replicas}", replicas, options.count
            )
        for entries in options.restart:
            for snapshot_entries in (5_000, NO_SNAPSHOT_ENTRIES):
                path = folder / f"restart{entries}-{snapshot_entries}"
                await measure_restart(path, entries, snapshot_entries)


if __name__ == "__main__":
    trio.run(main)

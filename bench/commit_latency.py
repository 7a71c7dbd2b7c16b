"""Commit latency, group commit and restart of the replicated log.

    python bench/commit_latency.py --directory DIR --replicas 3 5

The baseline of each run is one write with fdatasync of a record of the
same size, and one round trip to another process over loopback TCP, on the
same disk just before and just after the measurement.
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
NO_SNAPSHOT = 1_000_000_000


async def measure_baseline(folder, count):
    """Returns the latencies of a sync plus a round trip, in us."""
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
    latencies = []
    for _ in range(count):
        started_ns = time.monotonic_ns()
        os.write(descriptor, RECORD)
        os.fdatasync(descriptor)
        connection.sendall(RECORD)
        connection.recv(4_096)
        latencies.append((time.monotonic_ns() - started_ns) / 1e3)
    os.close(descriptor)
    connection.close()
    await echo.wait(5)
    return latencies


class Group:
    """Replica processes of one measurement.

    Attributes:
        processes: ManagedProcess by node.
        opened_ms: Time to open the data directory by node.
    """

    __slots__ = ("processes", "opened_ms")

    def __init__(self, folder, count, snapshot_entries):
        ports = PortAllocator()
        nodes = {f"n{number}": ports.allocate() for number in range(count)}
        self.opened_ms = {}
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
        """Starts all replicas and returns the leader's process."""
        for process in self.processes.values():
            await process.start()
        for node, process in self.processes.items():
            first = await process.read_line()
            self.opened_ms[node] = json.loads(first)["opened_ms"]
        while True:
            for process in self.processes.values():
                status = await call(process, "status")
                if status["ready"]:
                    return process
            await trio.sleep(0.1)

    async def stop(self):
        """Ends all replicas."""
        for process in self.processes.values():
            await process.kill()


async def call(process, line):
    """Runs a command in a replica."""
    return json.loads(await process.call(line))


def report(name, latencies):
    """Prints percentiles and returns the median."""
    ordered = sorted(latencies)
    median = statistics.median(ordered)
    p99 = ordered[int(len(ordered) * 0.99)]
    print(f"{name}: median {median:.0f} us, p99 {p99:.0f} us")
    return median


async def measure_replicas(folder, replicas, count):
    """Measures latency against the baseline, and group commit."""
    folder.mkdir()
    before = await measure_baseline(folder, count)
    group = Group(folder, replicas, NO_SNAPSHOT)
    leader = await group.start()
    latencies = await call(leader, f"latency {count}")
    grouped = []
    for tasks in (16, 128, 512):
        grouped.append((tasks, await call(leader, f"throughput 4096 {tasks}")))
    await group.stop()
    after = await measure_baseline(folder, count)
    baseline = report("baseline", before + after)
    median = report(f"commit, {replicas} replicas", latencies)
    print(f"ratio of the medians: {median / baseline:.1f}")
    for tasks, result in grouped:
        rate = result["proposals"] / result["seconds"]
        batch = result["proposals"] / max(1, result["syncs"])
        print(
            f"{tasks} proposers: {rate:.0f} commits/s, "
            f"{batch:.1f} commits for each sync"
        )


async def measure_restart(folder, entries, snapshot_entries):
    """Measures how long a full restart takes after many entries."""
    folder.mkdir()
    group = Group(folder, 3, snapshot_entries)
    leader = await group.start()
    await call(leader, f"throughput {entries} 500")
    await group.stop()
    started = time.monotonic()
    leader = await group.start()
    ready_s = time.monotonic() - started
    status = await call(leader, "status")
    assert status["commit_index"] >= entries
    await group.stop()
    opened_ms = max(group.opened_ms.values())
    print(
        f"restart after {entries} entries, a snapshot every "
        f"{snapshot_entries}: data read in {opened_ms:.0f} ms, "
        f"leader ready after {ready_s:.1f} s"
    )


async def main():
    """Runs all measurements."""
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
            for every in (5_000, NO_SNAPSHOT):
                path = folder / f"restart{entries}-{every}"
                await measure_restart(path, entries, every)


if __name__ == "__main__":
    trio.run(main)

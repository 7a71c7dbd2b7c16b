"""Measures the load of a leader by the number of workers.

Each round starts three controls and one front, as real processes on loopback
addresses, and emulated workers that keep their connections open and run short
tasks.

Each round prints one row: the processor time of the busiest control (the
leader), of the least busy control and of the front, as a share of one core;
heartbeats and task starts a second; p50 and p99 of the latency of a heartbeat
in ms, failed ones included; how many of the answered submissions were
accepted; and the number of violations of guarantees that were seen.

Usage: PYTHONPATH=tools:. python bench/leader_load.py --workers 30 60 120
"""

import argparse
import random
import tempfile
import time

import httpcore
import trio
from hdrh.histogram import HdrHistogram
from measures import read_cpu_s
from platform_emulator import CALL_ERRORS, Client, EmulatedWorker, RunChecker
from platform_fleet import PlatformFleet
from platform_soak import HOST, PREFIX, Operator

# Second byte of the loopback addresses, 127.240.x.x; the soak uses others.
NETWORK_NUMBER = 240
# Jobs submitted per worker and second; each job has the 12 tasks of STEPS.
JOBS_PER_WORKER_S = 0.28
STEPS = [
    {"count": 8, "cpu": 1_500, "mem-mb": 900, "estimated-ms": 450},
    {"count": 4, "cpu": 1_500, "estimated-ms": 450, "depends-on": [0]},
]
# Interval at which a worker looks for ended runs; it reports them at once in a
# heartbeat. After a failed heartbeat it tries another control this much later.
END_POLL_INTERVAL_S = 0.05
WARM_UP_S = 2.0
MAX_LATENCY_US = 60_000_000


class PromptReportWorker(EmulatedWorker):
    """An emulated worker that reports the end of a run without delay.

    It does not wait for its next regular heartbeat.

    Attributes:
        latency_us: Histogram of the latency of heartbeats, in us, which all
            workers share.
    """

    __slots__ = ("latency_us",)

    async def run(self):
        """Sends heartbeats until cancelled."""
        while True:
            self.end_due_runs()
            started_ns = time.monotonic_ns()
            try:
                await self.send_heartbeat()
            except CALL_ERRORS:
                self.target = self.random.choice(self.controls)
                self.wait_s = END_POLL_INTERVAL_S
            elapsed_us = (time.monotonic_ns() - started_ns) // 1_000
            self.latency_us.record_value(elapsed_us)
            heartbeat_due_s = time.monotonic() + self.wait_s
            while (
                time.monotonic() < heartbeat_due_s
                and not self.unacknowledged_ends
            ):
                await trio.sleep(END_POLL_INTERVAL_S)
                self.end_due_runs()


async def submit(client, answers):
    """Submits one job and appends its id, or None if not accepted."""
    answers.append(await client.submit(STEPS, tries=1))


async def run_round(count, seconds):
    """Runs one round with a number of workers and prints its row."""
    rng = random.Random(count)
    checker = RunChecker()
    fleet = PlatformFleet(
        tempfile.mkdtemp(), NETWORK_NUMBER, cores=3, fronts=1
    )
    latency_us = HdrHistogram(1, MAX_LATENCY_US, 3)
    client = Client(fleet.front_addresses, HOST, PREFIX, rng)
    answers = []
    async with trio.open_nursery() as nursery:
        try:
            await fleet.start(nursery)
            addresses = fleet.control_addresses
            for number in range(count):
                worker = PromptReportWorker(
                    f"w{number}", "desk", addresses, checker, rng
                )
                # A connection pool scans all of its connections on each call,
                # so that each worker has its own.
                worker.pool = httpcore.AsyncConnectionPool()
                worker.latency_us = latency_us
                nursery.start_soon(worker.run)
            await Operator(addresses, rng, checker).put_configuration(1)
            await trio.sleep(WARM_UP_S)
            latency_us.reset()
            processes = [*fleet.cores, *fleet.fronts]
            all_cpu_before_s = [
                read_cpu_s(handle.process.pid) for handle in processes
            ]
            starts_before, started_s = checker.starts, time.monotonic()
            while time.monotonic() - started_s < seconds:
                nursery.start_soon(submit, client, answers)
                await trio.sleep(1 / (JOBS_PER_WORKER_S * count))
            elapsed_s = time.monotonic() - started_s
            core_shares = [
                (read_cpu_s(handle.process.pid) - cpu_before_s) / elapsed_s
                for handle, cpu_before_s in zip(
                    processes, all_cpu_before_s, strict=True
                )
            ]
            accepted = sum(answer is not None for answer in answers)
            print(
                f"{count} workers: busiest control (leader) "
                f"{max(core_shares[:-1]):.2f} of a core, least busy control "
                f"{min(core_shares[:-1]):.2f} of a core, front "
                f"{core_shares[-1]:.2f} of a core; "
                f"{latency_us.get_total_count() / elapsed_s:.0f} heartbeats/s "
                f"and {(checker.starts - starts_before) / elapsed_s:.0f} task "
                f"starts/s; heartbeat p50 "
                f"{get_percentile_ms(latency_us, 50):.0f} ms and p99 "
                f"{get_percentile_ms(latency_us, 99):.0f} ms; {accepted} of "
                f"{len(answers)} answered submissions accepted; "
                f"{len(checker.violations)} violations of guarantees"
            )
            nursery.cancel_scope.cancel()
        finally:
            with trio.CancelScope(shield=True):
                await fleet.stop()


def get_percentile_ms(histogram, percentile):
    """Returns a percentile of a histogram in us, in ms."""
    return histogram.get_value_at_percentile(percentile) / 1_000


def main():
    """Runs one round for each number of workers."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--workers", type=int, nargs="+", default=[30, 60])
    parser.add_argument("--seconds", type=float, default=10.0)
    options = parser.parse_args()
    for count in options.workers:
        trio.run(run_round, count, options.seconds)


if __name__ == "__main__":
    main()

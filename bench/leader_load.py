"""Load of one leader by the number of workers, with the real programs.

Emulated workers with short tasks keep their connections; each round runs
three controls and one front on loopback addresses and prints the processor
time of each, the rates, and the latency of a heartbeat.

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
from platform_emulator import FAULTS, Client, EmulatedWorker, Ledger
from platform_fleet import PlatformFleet
from platform_soak import HOST, PREFIX, Operator

# Address block of the round, apart from those of the soak.
NETWORK_NUMBER = 240
# A job of 12 tasks for each ten workers and second, as in a peak of the
# grown deployments.
JOBS_PER_WORKER_S = 0.28
STEPS = [
    {"count": 8, "cpu": 1_500, "mem-mb": 900, "estimated-ms": 450},
    {"count": 4, "cpu": 1_500, "estimated-ms": 450, "depends-on": [0]},
]
# Workers send a heartbeat this long after an end.
HEARTBEAT_AFTER_END_S = 0.05
WARM_UP_S = 2.0
MAX_LATENCY_US = 60_000_000


class PromptReportWorker(EmulatedWorker):
    """A worker that reports ends at once.

    Attributes:
        latency_us: Histogram that all workers share.
    """

    __slots__ = ("latency_us",)

    async def run(self):
        """Sends heartbeats until cancelled."""
        while True:
            self.end_due()
            started_ns = time.monotonic_ns()
            try:
                await self.beat()
            except FAULTS:
                self.target = self.random.choice(self.controls)
                self.wait_s = HEARTBEAT_AFTER_END_S
            elapsed_us = (time.monotonic_ns() - started_ns) // 1_000
            self.latency_us.record_value(elapsed_us)
            heartbeat_due_s = time.monotonic() + self.wait_s
            while time.monotonic() < heartbeat_due_s and not self.ended:
                await trio.sleep(HEARTBEAT_AFTER_END_S)
                self.end_due()


async def submit(client, answers):
    """Submits one job and notes whether it was accepted."""
    answers.append(await client.submit(STEPS, tries=1))


async def run_round(count, seconds):
    """Prints the figures of one number of workers."""
    rng = random.Random(count)
    ledger = Ledger()
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
                    f"w{number}", "desk", addresses, ledger, rng
                )
                # A pool looks through all of its connections for each call.
                worker.pool = httpcore.AsyncConnectionPool()
                worker.latency_us = latency_us
                nursery.start_soon(worker.run)
            await Operator(addresses, rng, ledger).state(1)
            await trio.sleep(WARM_UP_S)
            latency_us.reset()
            processes = [*fleet.cores, *fleet.fronts]
            all_cpu_before_s = [
                read_cpu_s(handle.process.pid) for handle in processes
            ]
            starts_before, started_s = ledger.starts, time.monotonic()
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
                f"{count} workers: leader {max(core_shares[:-1]):.2f} and followers "
                f"{min(core_shares[:-1]):.2f} of a core, front {core_shares[-1]:.2f}; "
                f"{latency_us.get_total_count() / elapsed_s:.0f} heartbeats and "
                f"{(ledger.starts - starts_before) / elapsed_s:.0f} starts a second; "
                f"heartbeat p50 {get_percentile_ms(latency_us, 50):.0f} and p99 "
                f"{get_percentile_ms(latency_us, 99):.0f} ms; {accepted} of "
                f"{len(answers)} answered jobs accepted; "
                f"{len(ledger.violations)} broken promises"
            )
            nursery.cancel_scope.cancel()
        finally:
            with trio.CancelScope(shield=True):
                await fleet.stop()


def get_percentile_ms(histogram, percentile):
    """Returns a percentile in ms."""
    return histogram.get_value_at_percentile(percentile) / 1_000


def main():
    """Runs the rounds one after the other."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--workers", type=int, nargs="+", default=[30, 60])
    parser.add_argument("--seconds", type=float, default=10.0)
    options = parser.parse_args()
    for count in options.workers:
        trio.run(run_round, count, options.seconds)


if __name__ == "__main__":
    main()

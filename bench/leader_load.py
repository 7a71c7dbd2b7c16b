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
from platform_emulator import CALL_ERRORS, Client, EmulatedWorker, RunChecker
from platform_fleet import PlatformFleet
from platform_soak import HOST, PREFIX, Operator

# Address block of the round, apart from those of the soak.
NET = 240
# A job of 12 tasks for each ten workers and second, as in a peak of the
# grown deployments.
JOBS_PER_WORKER_S = 0.28
STEPS = [
    {"count": 8, "cpu": 1_500, "mem-mb": 900, "estimated-ms": 450},
    {"count": 4, "cpu": 1_500, "estimated-ms": 450, "depends-on": [0]},
]
# Workers send a heartbeat this long after an end.
AFTER_END_S = 0.05
WARM_UP_S = 2.0
LARGEST_LATENCY_US = 60_000_000


class SteadyWorker(EmulatedWorker):
    """A worker that reports ends at once.

    Attributes:
        latency_us: Histogram that all workers share.
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
                self.wait_s = AFTER_END_S
            spent_us = (time.monotonic_ns() - started_ns) // 1_000
            self.latency_us.record_value(spent_us)
            due = time.monotonic() + self.wait_s
            while time.monotonic() < due and not self.unacknowledged_ends:
                await trio.sleep(AFTER_END_S)
                self.end_due_runs()


async def submit(client, answers):
    """Submits one job and notes whether it was accepted."""
    answers.append(await client.submit(STEPS, tries=1))


async def play_round(count, seconds):
    """Prints the figures of one number of workers."""
    source = random.Random(count)
    checker = RunChecker()
    fleet = PlatformFleet(tempfile.mkdtemp(), NET, cores=3, fronts=1)
    latency_us = HdrHistogram(1, LARGEST_LATENCY_US, 3)
    client = Client(fleet.front_addresses, HOST, PREFIX, source)
    answers = []
    async with trio.open_nursery() as nursery:
        try:
            await fleet.start(nursery)
            addresses = fleet.control_addresses
            for number in range(count):
                worker = SteadyWorker(
                    f"w{number}", "desk", addresses, checker, source
                )
                # A pool looks through all of its connections for each call.
                worker.pool = httpcore.AsyncConnectionPool()
                worker.latency_us = latency_us
                nursery.start_soon(worker.run)
            await Operator(addresses, source, checker).put_configuration(1)
            await trio.sleep(WARM_UP_S)
            latency_us.reset()
            processes = [*fleet.cores, *fleet.fronts]
            before = [read_cpu_s(each.process.pid) for each in processes]
            starts, begun = checker.starts, time.monotonic()
            while time.monotonic() - begun < seconds:
                nursery.start_soon(submit, client, answers)
                await trio.sleep(1 / (JOBS_PER_WORKER_S * count))
            spent_s = time.monotonic() - begun
            cores = [
                (read_cpu_s(each.process.pid) - used) / spent_s
                for each, used in zip(processes, before, strict=True)
            ]
            accepted = sum(answer is not None for answer in answers)
            print(
                f"{count} workers: leader {max(cores[:-1]):.2f} and followers "
                f"{min(cores[:-1]):.2f} of a core, front {cores[-1]:.2f}; "
                f"{latency_us.get_total_count() / spent_s:.0f} heartbeats and "
                f"{(checker.starts - starts) / spent_s:.0f} starts a second; "
                f"heartbeat p50 {read_ms(latency_us, 50):.0f} and p99 "
                f"{read_ms(latency_us, 99):.0f} ms; {accepted} of "
                f"{len(answers)} answered jobs accepted; "
                f"{len(checker.violations)} broken promises"
            )
            nursery.cancel_scope.cancel()
        finally:
            with trio.CancelScope(shield=True):
                await fleet.stop()


def read_ms(histogram, percentile):
    """Returns a percentile in ms."""
    return histogram.get_value_at_percentile(percentile) / 1_000


def main():
    """Runs the rounds one after the other."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--workers", type=int, nargs="+", default=[30, 60])
    parser.add_argument("--seconds", type=float, default=10.0)
    options = parser.parse_args()
    for count in options.workers:
        trio.run(play_round, count, options.seconds)


if __name__ == "__main__":
    main()

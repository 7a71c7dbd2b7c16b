"""Compares an entry with an app that answers directly and a bare relay.

Run with ``PYTHONPATH=tools:.``. The three variants are ``direct`` and
``relay`` of plain_apps.py, and an entry. The relay and the entry pass requests
on to the same kind of endpoint stand-in. In each round every variant gets a
closed-loop load by the same number of callers, which gives its throughput,
and then requests at a fixed rate, which gives its latency. The fixed rate is
the same for all variants: half of the relay's throughput in a first load.

Each row of the output gives the median over the rounds, with the minimum and
maximum, of throughput in requests a second and of the p50 and p99 latency in
ms at the fixed rate, and the number of requests without status 200. The last
rows give the ratios of these medians to those of the relay. If a request
fails, the exit status is 1, because the figures are then not comparable.
"""

import argparse
import json
import pathlib
import sys
import tempfile
from collections import Counter

import trio
from deployments import Deployment
from fleet_runner import STANDINS, FleetRunner
from measures import Series, describe_machine, run_closed_loop, run_fixed_rate
from operators_client import load_fleet_patch

from wigeonport.fleets import Fleet
from wigeonport.patches import patch_from_document

BENCH_DIR = pathlib.Path(__file__).resolve().parent
CALLERS = 16
SLOTS = 1_000
WARM_UP_S = 2.0
VARIANTS = ("direct", "relay", "entry")
SERVICE = "routedesk"


def make_fleet_json():
    """Returns the fleet of the Lagos example as JSON text."""
    patch = load_fleet_patch()
    patch |= {"id": "bench", "against_version": 0, "author": "bench"}
    fleet = patch_from_document(patch).ok.apply(Fleet()).ok
    return json.dumps(fleet.to_document())


def add_processes(runner, endpoints):
    """Adds all processes to the runner, without starting them.

    Returns:
        Maps the name of a variant to the port for its callers.
    """
    deployment = runner.deployment
    path = deployment.path("fleet.json")
    path.write_text(make_fleet_json())
    deployment.write()
    node = next(iter(deployment.nodes.values()))
    runner.add_node_processes(node, path)
    ports = {"entry": node.ports["callers_port"]}
    target_port = None
    for number in range(endpoints):
        port = deployment.ports.allocate()
        target_port = target_port or port
        endpoint_id = f"{SERVICE}-{number}"
        runner.add(
            f"endpoints/{number}",
            [
                STANDINS / "endpoint.py",
                *("--id", endpoint_id, "--service", SERVICE),
                *("--zone", node.zone, "--port", port, "--slots", SLOTS),
                *("--entry", node.address("announcements_port")),
            ],
        )
    for name in ("direct", "relay"):
        ports[name] = deployment.ports.allocate()
        arguments = [
            BENCH_DIR / "plain_apps.py",
            name,
            ports[name],
            target_port,
        ]
        runner.add(name, arguments)
    return ports


class VariantResult:
    """Figures of one variant over all rounds.

    Attributes:
        rate_per_s: Series of the closed-loop throughput, in requests a
            second.
        p50_ms: Series of the median latency at the fixed rate.
        p99_ms: Series of the p99 latency at the fixed rate.
        failed: Number of requests with a status other than 200.
        reasons: Counter of the failed requests by status and reason.
    """

    __slots__ = ("rate_per_s", "p50_ms", "p99_ms", "failed", "reasons")

    def __init__(self):
        self.rate_per_s = Series()
        self.p50_ms = Series()
        self.p99_ms = Series()
        self.failed = 0
        self.reasons = Counter()


async def measure(url, result, half_rate_per_s, seconds):
    """Runs one round of a variant: closed-loop load, then a fixed rate."""
    full_load = await run_closed_loop(url, CALLERS, seconds)
    result.rate_per_s.values.append(full_load.rate_per_s)
    rate = half_rate_per_s or full_load.rate_per_s / 2
    half_load = await run_fixed_rate(url, rate, seconds)
    result.p50_ms.values.append(half_load.percentile_ms(50))
    result.p99_ms.values.append(half_load.percentile_ms(99))
    result.failed += full_load.failed + half_load.failed
    result.reasons += full_load.reasons + half_load.reasons
    return rate


async def run_rounds(urls, rounds, seconds):
    """Runs warm-up and rounds.

    Returns:
        Maps the name of a variant to its VariantResult.
    """
    results = {name: VariantResult() for name in VARIANTS}
    for name in VARIANTS:
        await run_closed_loop(urls[name], CALLERS, WARM_UP_S)
    relay_load = await run_closed_loop(urls["relay"], CALLERS, WARM_UP_S)
    half_rate_per_s = relay_load.rate_per_s / 2
    for number in range(rounds):
        # The order rotates, so that no variant always comes first.
        offset = number % len(VARIANTS)
        for name in VARIANTS[offset:] + VARIANTS[:offset]:
            await measure(urls[name], results[name], half_rate_per_s, seconds)
    print(f"half load: {half_rate_per_s:.0f} requests/s to each variant")
    return results


def print_results(results):
    """Prints a row for each variant, and the ratios to the relay."""
    relay = results["relay"]
    for name, result in results.items():
        print(
            f"{name:>6}: {result.rate_per_s} requests/s, at half load p50 "
            f"{result.p50_ms} ms, p99 {result.p99_ms} ms, "
            f"failed {result.failed}"
        )
        for reason, count in result.reasons.most_common():
            print(f"        {count} failed: {reason}")
    for name in ("direct", "entry"):
        result = results[name]
        throughput_ratio = result.rate_per_s.median / relay.rate_per_s.median
        p50_ratio = result.p50_ms.median / relay.p50_ms.median
        p99_ratio = result.p99_ms.median / relay.p99_ms.median
        print(
            f"{name} / relay: throughput {throughput_ratio:.2f}, "
            f"p50 {p50_ratio:.2f}, p99 {p99_ratio:.2f}"
        )


async def main_task(options, folder):
    """Runs the benchmark in a folder; returns whether no request failed."""
    deployment = Deployment(folder, {"ikeja": 1}, {"ikeja": 1})
    runner = FleetRunner(deployment)
    ports = add_processes(runner, options.endpoints)
    print("before:", describe_machine())
    try:
        for process in runner.processes.values():
            await process.start()
        entry = next(n for n in runner.processes if n.startswith("entry/"))
        await runner.wait_healthy([entry])
        await trio.sleep(WARM_UP_S)
        urls = {
            name: f"http://127.0.0.1:{port}/{SERVICE}/work"
            for name, port in ports.items()
        }
        results = await run_rounds(urls, options.rounds, options.seconds)
    finally:
        runner.kill_all()
    print("after:", describe_machine())
    print(
        f"rounds: {options.rounds}, each with {options.seconds} s of full "
        "load and as long of half load for each variant"
    )
    print_results(results)
    return all(result.failed == 0 for result in results.values())


def main():
    """Runs the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=4)
    parser.add_argument("--endpoints", type=int, default=2)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="wigeonport-bench-") as folder:
        all_succeeded = trio.run(main_task, options, folder)
    if not all_succeeded:
        sys.exit("some requests failed, so the figures are not comparable")


if __name__ == "__main__":
    main()

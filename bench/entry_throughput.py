"""Compares an entry with an app that answers directly and a bare relay.

All are loaded by the same generator in alternating rounds of one run. The
relay and the entry pass requests on to the same kind of endpoint stand-in.
Run with ``PYTHONPATH=tools:.``.
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
from measures import Series, describe_machine, load_closed, load_paced
from operators_client import load_fleet_patch

from wigeonport.fleets import Fleet
from wigeonport.patches import patch_from_document

HERE = pathlib.Path(__file__).resolve().parent
CALLERS = 16
SLOTS = 1_000
WARM_UP_S = 2.0
CONTENDERS = ("direct", "relay", "entry")
SERVICE = "routedesk"


def make_document():
    """Returns the fleet of the Lagos example in JSON."""
    patch = load_fleet_patch()
    patch |= {"id": "bench", "against_version": 0, "author": "bench"}
    fleet = patch_from_document(patch).ok.apply(Fleet()).ok
    return json.dumps(fleet.to_document())


def plan(runner, endpoints):
    """Adds the processes; returns the callers' port by contender."""
    deployment = runner.deployment
    path = deployment.path("fleet.json")
    path.write_text(make_document())
    deployment.write()
    node = next(iter(deployment.nodes.values()))
    runner.add_node_processes(node, path)
    ports = {"entry": node.ports["callers_port"]}
    target = None
    for number in range(endpoints):
        port = deployment.ports.allocate()
        target = target or port
        member = f"{SERVICE}-{number}"
        runner.add(
            f"endpoints/{number}",
            [
                STANDINS / "endpoint.py",
                *("--id", member, "--service", SERVICE),
                *("--zone", node.zone, "--port", port, "--slots", SLOTS),
                *("--entry", node.address("announcements_port")),
            ],
        )
    for name in ("direct", "relay"):
        ports[name] = deployment.ports.allocate()
        arguments = [HERE / "plain_apps.py", name, ports[name], target]
        runner.add(name, arguments)
    return ports


class Figures:
    """Series of one contender."""

    __slots__ = ("rate_per_s", "p50_ms", "p99_ms", "failed", "reasons")

    def __init__(self):
        self.rate_per_s = Series()
        self.p50_ms = Series()
        self.p99_ms = Series()
        self.failed = 0
        self.reasons = Counter()


async def measure(url, figures, half_rate, seconds):
    """Runs one round of a contender: full load, then half load."""
    full = await load_closed(url, CALLERS, seconds)
    figures.rate_per_s.values.append(full.rate_per_s)
    rate = half_rate or full.rate_per_s / 2
    half = await load_paced(url, rate, seconds)
    figures.p50_ms.values.append(half.percentile_ms(50))
    figures.p99_ms.values.append(half.percentile_ms(99))
    figures.failed += full.failed + half.failed
    figures.reasons += full.reasons + half.reasons
    return rate


async def run_rounds(urls, rounds, seconds):
    """Returns the Figures by contender; all get the relay's half load."""
    figures = {name: Figures() for name in CONTENDERS}
    for name in CONTENDERS:
        await load_closed(urls[name], CALLERS, WARM_UP_S)
    first = await load_closed(urls["relay"], CALLERS, WARM_UP_S)
    half_rate = first.rate_per_s / 2
    for number in range(rounds):
        # The order turns, so that no contender always comes first.
        turn = number % len(CONTENDERS)
        for name in CONTENDERS[turn:] + CONTENDERS[:turn]:
            await measure(urls[name], figures[name], half_rate, seconds)
    print(f"half load: {half_rate:.0f} requests a second")
    return figures


def print_figures(figures):
    """Prints medians with their spread, and the ratios to the relay."""
    relay = figures["relay"]
    for name, row in figures.items():
        print(
            f"{name:>6}: {row.rate_per_s} requests/s, at half load p50 "
            f"{row.p50_ms} ms, p99 {row.p99_ms} ms, failed {row.failed}"
        )
        for reason, count in row.reasons.most_common():
            print(f"        {count} failed: {reason}")
    for name in ("direct", "entry"):
        row = figures[name]
        rate = row.rate_per_s.median / relay.rate_per_s.median
        p50 = row.p50_ms.median / relay.p50_ms.median
        p99 = row.p99_ms.median / relay.p99_ms.median
        print(
            f"{name} / relay: throughput {rate:.2f}, p50 {p50:.2f}, "
            f"p99 {p99:.2f}"
        )


async def main_task(options, folder):
    """Runs the benchmark in a folder."""
    deployment = Deployment(folder, {"ikeja": 1}, {"ikeja": 1})
    runner = FleetRunner(deployment)
    ports = plan(runner, options.endpoints)
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
        figures = await run_rounds(urls, options.rounds, options.seconds)
    finally:
        runner.kill_all()
    print("after:", describe_machine())
    print(f"rounds: {options.rounds} of {options.seconds} s + half load")
    print_figures(figures)
    return all(row.failed == 0 for row in figures.values())


def main():
    """Parses the options and runs."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=4)
    parser.add_argument("--endpoints", type=int, default=2)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="wigeonport-bench-") as folder:
        valid = trio.run(main_task, options, folder)
    if not valid:
        sys.exit("requests failed; the figures compare nothing")


if __name__ == "__main__":
    main()

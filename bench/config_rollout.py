"""Time from the acceptance of a patch until it is in force on all entries.

Patches go to a random control, one after another. Acceptance is the moment
at which the operator is told; the moment at which an entry applies a version
is the time of its event ``config.applied_by_entry``. All processes share the clock of
one machine. Run with ``PYTHONPATH=tools:.``.
"""

import argparse
import json
import random
import tempfile
import time

import trio
from deployments import Deployment
from fleet_runner import FleetRunner
from footprint import apply_first_version
from hdrh.histogram import HdrHistogram
from measures import describe_machine
from operators_client import OperatorsClient

MAX_DURATION_US = 600_000_000
SIGNIFICANT_FIGURES = 3
PATCH_INTERVAL_S = 0.2
SETTLE_S = 3.0
PERCENTILES = (50, 90, 99, 100)


class Rollout:
    """One accepted patch.

    Attributes:
        version: Its version.
        sent_ms: Wall time at which it was sent.
        accepted_ms: Wall time at which the answer arrived.
    """

    __slots__ = ("version", "sent_ms", "accepted_ms")

    def __init__(self, version, sent_ms, accepted_ms):
        self.version = version
        self.sent_ms = sent_ms
        self.accepted_ms = accepted_ms


def wall_ms():
    """Returns the wall time in ms."""
    return time.time_ns() // 1_000_000


async def submit_all(runner, count, rng):
    """Submits patches; returns their Rollouts."""
    operators = OperatorsClient(runner)
    nodes = sorted(runner.deployment.nodes)
    rollouts, version = [], 1
    for number in range(count):
        operation = {
            "operation": "set_service_capacity",
            "service": "crusade",
            "capacity_workers": 5 - number % 2,
        }
        sent_ms = wall_ms()
        answer = await operators.submit(
            rng.choice(nodes),
            f"rollout-{number}",
            version,
            "benchmark",
            [operation],
        )
        accepted_ms = wall_ms()
        if answer is not None and answer.status == 200:
            version = answer.document["version"]
            rollouts.append(Rollout(version, sent_ms, accepted_ms))
        await trio.sleep(PATCH_INTERVAL_S)
    await trio.sleep(SETTLE_S)
    return rollouts


async def read_applied_versions(runner):
    """Returns by entry the wall time at which it applied each version."""
    applied_by_entry = {}
    for node_id in runner.deployment.nodes:
        answer = await runner.get(f"entry/{node_id}", "/events")
        events = [json.loads(line) for line in answer.body.splitlines()]
        applied_by_entry[node_id] = {
            event["fields"]["version"]: event["wall_ms"]
            for event in events
            if event["kind"] == "config.applied"
        }
    return applied_by_entry


def find_applied_ms(version, applied_ms_by_version):
    """Returns when an entry applied this version or a later one."""
    times_ms = [
        time_ms
        for applied_version, time_ms in applied_ms_by_version.items()
        if applied_version >= version
    ]
    return min(times_ms) if times_ms else None


def print_percentiles(name, durations_ms):
    """Prints the percentiles of some durations."""
    histogram = HdrHistogram(1, MAX_DURATION_US, SIGNIFICANT_FIGURES)
    for duration_ms in durations_ms:
        histogram.record_value(max(1, duration_ms * 1_000))
    figures = ", ".join(
        f"p{percentile} "
        f"{histogram.get_value_at_percentile(percentile) / 1_000:.0f} ms"
        for percentile in PERCENTILES
    )
    print(f"{name}: {len(durations_ms)} patches, {figures}")


def print_report(rollouts, applied_by_entry):
    """Prints the figures; returns the number that never got in force."""
    acceptance_durations_ms, rollout_durations_ms, incomplete_count = [], [], 0
    for rollout in rollouts:
        times_ms = [
            find_applied_ms(rollout.version, applied_ms_by_version)
            for applied_ms_by_version in applied_by_entry.values()
        ]
        acceptance_durations_ms.append(rollout.accepted_ms - rollout.sent_ms)
        if None in times_ms:
            incomplete_count += 1
            continue
        rollout_durations_ms.append(
            max(0, max(times_ms) - rollout.accepted_ms)
        )
    print_percentiles("sent to accepted", acceptance_durations_ms)
    print_percentiles(
        "accepted to in force on all entries", rollout_durations_ms
    )
    print(f"not in force everywhere at the end: {incomplete_count}")
    return incomplete_count


async def main_task(options, folder):
    """Runs the benchmark in a folder."""
    runner = FleetRunner(Deployment(folder))
    runner.plan(endpoints_per_zone=1)
    try:
        await runner.start()
        await apply_first_version(runner)
        rng = random.Random(options.seed)
        rollouts = await submit_all(runner, options.patches, rng)
        return print_report(rollouts, await read_applied_versions(runner))
    finally:
        runner.kill_all()


def main():
    """Parses the options and runs."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--patches", type=int, default=150)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    print("before:", describe_machine())
    with tempfile.TemporaryDirectory(prefix="wigeonport-") as folder:
        trio.run(main_task, options, folder)
    print("after:", describe_machine())


if __name__ == "__main__":
    main()

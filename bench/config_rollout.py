"""Measures how long a patch takes until all entries have applied it.

Run with ``PYTHONPATH=tools:.``. Patches are sent one after another, each to a
control chosen at random. A patch counts as accepted when the answer reaches
the operator, and as applied by an entry at the wall time of the event
``config.applied`` of this version or a later one. All processes run on one
machine, so their wall clocks are the same.

The output gives p50, p90, p99 and p100, in ms, of two durations: from sending
a patch to its acceptance, and from its acceptance until the last entry has
applied it. It ends with the number of accepted patches that some entry had
not applied by then.
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
# Time for the entries to apply the last patch.
SETTLE_S = 3.0
PERCENTILES = (50, 90, 99, 100)


class Rollout:
    """One accepted patch.

    Attributes:
        version: Fleet version that the patch made.
        sent_ms: Wall time at which the patch was sent, in ms.
        accepted_ms: Wall time at which the answer arrived, in ms.
    """

    __slots__ = ("version", "sent_ms", "accepted_ms")

    def __init__(self, version, sent_ms, accepted_ms):
        self.version = version
        self.sent_ms = sent_ms
        self.accepted_ms = accepted_ms


def wall_ms():
    """Returns the wall time in ms since the epoch."""
    return time.time_ns() // 1_000_000


async def submit_all(runner, count, rng):
    """Submits patches; returns a Rollout for each accepted one."""
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
    """Returns when each entry applied each version.

    Returns:
        Maps node id to a mapping of version to wall time in ms.
    """
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
    """Returns the wall time in ms at which an entry had applied a version.

    A later version contains the earlier ones, so it counts too. Returns None
    if the entry applied neither.
    """
    times_ms = [
        time_ms
        for applied_version, time_ms in applied_ms_by_version.items()
        if applied_version >= version
    ]
    return min(times_ms) if times_ms else None


def print_percentiles(name, durations_ms):
    """Prints the percentiles of the durations of patches."""
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
    """Prints both durations; returns the number of incomplete roll-outs."""
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
        "accepted to applied by all entries", rollout_durations_ms
    )
    print(f"patches not applied by all entries: {incomplete_count}")
    return incomplete_count


async def main_task(options, folder):
    """Runs a deployment in a folder and measures roll-outs in it."""
    runner = FleetRunner(Deployment(folder))
    runner.add_processes(endpoints_per_zone=1)
    try:
        await runner.start()
        await apply_first_version(runner)
        rng = random.Random(options.seed)
        rollouts = await submit_all(runner, options.patches, rng)
        return print_report(rollouts, await read_applied_versions(runner))
    finally:
        runner.kill_all()


def main():
    """Runs the benchmark."""
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

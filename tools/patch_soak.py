"""Soak of the fleet versions: racing operators under random failures.

Failures come singly and two together. The seed fixes which failures come in
which order; the exact times depend on the machine. ``--measure`` measures
how long changes and restarts take in place of the soak.
"""

import argparse
import json
import random
import sys
import tempfile
import time
from collections import Counter

import trio
from deployments import Deployment
from fleet_runner import FleetRunner, HealthError
from patch_failures import Injector, failures
from patch_histories import count, judge
from patch_measures import measure
from patch_operators import (
    Operators,
    poll_entry,
    poll_status,
    read_applied,
    wall_ms,
)
from patch_records import PatchHistory

WITHIN_MS = 12_000
OPERATORS = 4
STATUS_POLLERS = ("ikeja-1", "yaba-2")
PAUSE_S = (0.3, 1.5)
HOLD_S = (0.5, 4.0)
SHORT_SECONDS, SHORT_HOLD_S = 7, (0.3, 0.8)
SHORT_FAILURES = ("kill leader", "kill entry", "restart entry in a cut zone")
PAIR_SHARE = 0.4
PRINTED_VIOLATIONS = 5


class PatchDeployment(Deployment):
    """A deployment in which all processes write their events to files."""

    __slots__ = ()

    def make_settings(self, node):
        """Returns the settings document of a VM."""
        document = super().make_settings(node)
        document["event_log"] = str(self.path(node.node_id, "ev.jsonl"))
        return document


class PatchSoak:
    """State of a soak.

    Attributes:
        runner: FleetRunner.
        history: PatchHistory.
        operators: Operators.
        injector: Injector.
        random: Source of the failures.
        names: Failures to choose from.
        hold_range_s: Shortest and longest hold of a failure.
        kinds: Counter of the failures by kind.
        broken: Texts of what did not hold.
        started_s: Monotonic time of the start.
    """

    __slots__ = (
        "runner",
        "history",
        "operators",
        "injector",
        "random",
        "names",
        "hold_range_s",
        "kinds",
        "broken",
        "started_s",
    )

    def __init__(self, runner, seed, within_ms):
        roles = ("entry", "control")
        nodes = runner.deployment.nodes
        processes = [f"{role}/{node}" for role in roles for node in nodes]
        self.runner = runner
        self.history = PatchHistory(processes, within_ms)
        self.operators = Operators(runner, self.history)
        self.random = random.Random(seed)
        self.injector = Injector(
            runner,
            self.operators.client,
            self.history.faults,
            random.Random(self.random.random()),
        )
        self.names = failures.names()
        self.hold_range_s = HOLD_S
        self.kinds = Counter()
        self.broken = []
        self.started_s = time.monotonic()

    def note(self, text):
        """Prints a line with the time since the start."""
        print(f"{time.monotonic() - self.started_s:7.2f} s  {text}")
        sys.stdout.flush()


async def inject(soak, seconds):
    """Injects failures, singly or two together, for some seconds.

    All kinds come once in random order before any comes again.
    """
    source, bag = soak.random, []
    deadline_s = time.monotonic() + seconds
    while time.monotonic() < deadline_s:
        pair = 2 if source.random() < PAIR_SHARE else 1
        async with trio.open_nursery() as nursery:
            for _ in range(pair):
                if not bag:
                    bag = source.sample(soak.names, len(soak.names))
                name = bag.pop()
                hold_s = source.uniform(*soak.hold_range_s)
                soak.note(f"{name} for {hold_s:.1f} s")
                soak.kinds[name] += 1
                failure = failures.get(name).ok
                nursery.start_soon(failure, soak.injector, hold_s)
                await trio.sleep(source.uniform(*PAUSE_S))
        await trio.sleep(source.uniform(*PAUSE_S))


async def run_failures(soak, seconds):
    """Runs operators and failures, then waits for the last version."""
    await inject(soak, seconds)
    soak.history.ended_ms = wall_ms()
    soak.note("no more failures")
    soak.operators.stopping = True


async def wait_in_force(soak, version):
    """Waits until all processes have a version or the time is up."""
    limit_s = soak.history.limit_ms / 1000 + soak.history.ended_ms / 1000
    missing = set(soak.history.processes)
    while missing and time.time() < limit_s:
        polled = soak.history.polled
        missing -= {p.process for p in polled if p.version >= version}
        await trio.sleep(0.1)
    soak.note(f"version {version} is shown by all but {len(missing)}")


async def run_soak(soak, seconds):
    """Runs operators, observers and failures beside each other."""
    soak.note("version 1 is accepted; failures begin")
    async with trio.open_nursery() as observers:
        for node_id in soak.operators.nodes:
            observers.start_soon(poll_entry, soak.operators, node_id)
        for node_id in STATUS_POLLERS:
            observers.start_soon(poll_status, soak.operators, node_id)
        async with trio.open_nursery() as nursery:
            for _ in range(OPERATORS):
                source = random.Random(soak.random.random())
                nursery.start_soon(soak.operators.operate, source)
            nursery.start_soon(run_failures, soak, seconds)
        await wait_in_force(soak, await soak.operators.read_final())
        observers.cancel_scope.cancel()
    await soak.operators.read_final()


def judge_soak(soak):
    """Prints the counts and adds the broken properties."""
    soak.history.applied = read_applied(soak.runner.deployment)
    counts = count(soak.history)
    counts["failures"] = dict(soak.kinds)
    counts["failures_without_a_free_vm"] = soak.injector.skipped
    print(json.dumps(counts, indent=2))
    for name, texts in judge(soak.history).items():
        print(f"{name}: {len(texts)} violations")
        for text in texts[:PRINTED_VIOLATIONS]:
            print(f"  {text}")
        if texts:
            soak.broken.append(f"{name}: {texts[0]}")


async def main_task(folder, seed, run, within_ms):
    """Runs the soak or a measurement in a folder; returns the PatchSoak."""
    runner = FleetRunner(PatchDeployment(folder))
    runner.add_processes(endpoints_per_zone=0)
    for zone in ("ikeja", "lekki", "yaba"):
        del runner.processes[f"endpoints/{zone}"]
    soak = PatchSoak(runner, seed, within_ms)
    try:
        await runner.start()
        await soak.operators.submit_first()
        await run(soak)
        await runner.stop()
    except (HealthError, trio.TooSlowError, BaseExceptionGroup) as fault:
        soak.broken.append(f"run: {fault!r}")
    finally:
        runner.kill_all()
    return soak


def main(arguments=None):
    """Runs the soak or a measurement; returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=int, default=120)
    parser.add_argument("--within-ms", type=int, default=WITHIN_MS)
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--measure", action="store_true")
    parser.add_argument("--keep", help="folder for all files; it is kept")
    options = parser.parse_args(arguments)

    async def run(soak):
        if options.measure:
            await measure(soak)
            return
        seconds = options.seconds
        if options.short:
            seconds = SHORT_SECONDS
            soak.names = SHORT_FAILURES
            soak.hold_range_s = SHORT_HOLD_S
        await run_soak(soak, seconds)

    with tempfile.TemporaryDirectory(prefix="wigeonport-patch-") as folder:
        folder = options.keep or folder
        soak = trio.run(
            main_task, folder, options.seed, run, options.within_ms
        )
        if not options.measure:
            judge_soak(soak)
    print(f"seed {options.seed}: {len(soak.broken)} broken")
    for text in soak.broken:
        print(f"broken: {text}", file=sys.stderr)
    return 1 if soak.broken else 0


if __name__ == "__main__":
    sys.exit(main())

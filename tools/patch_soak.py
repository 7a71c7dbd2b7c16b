"""Soak of the fleet versions: concurrent operators under random failures.

Failures are injected one at a time or in overlapping pairs. The seed fixes
their order; the exact times depend on the machine. With ``--measure``, the
tool measures how long roll-out, fail-over and restart take instead.
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
from patch_histories import count_outcomes, find_violations
from patch_measures import measure
from patch_operators import (
    Operators,
    poll_entry,
    poll_status,
    read_applied,
    wall_ms,
)
from patch_records import PatchHistory

LAST_VERSION_LIMIT_MS = 12_000
OPERATORS = 4
POLLED_CONTROLS = ("ikeja-1", "yaba-2")
PAUSE_RANGE_S = (0.3, 1.5)
HOLD_RANGE_S = (0.5, 4.0)
SHORT_DURATION_S, SHORT_HOLD_RANGE_S = 7, (0.3, 0.8)
SHORT_FAILURES = ("kill leader", "kill entry", "restart entry in a cut zone")
PAIR_PROBABILITY = 0.4
MAX_PRINTED_VIOLATIONS = 5


class PatchDeployment(Deployment):
    """A deployment whose processes write their events to files."""

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
        random: Source of the choices of failures.
        failure_names: Names of the failures to choose from.
        hold_range_s: Minimum and maximum duration of a failure, in s.
        failure_counts: Counter of the injected failures by name.
        violations: Texts of the violated properties and of errors that
            ended the run.
        started_s: Monotonic time of the start, in s.
    """

    __slots__ = (
        "runner",
        "history",
        "operators",
        "injector",
        "random",
        "failure_names",
        "hold_range_s",
        "failure_counts",
        "violations",
        "started_s",
    )

    def __init__(self, runner, seed, limit_ms):
        roles = ("entry", "control")
        nodes = runner.deployment.nodes
        processes = [f"{role}/{node}" for role in roles for node in nodes]
        self.runner = runner
        self.history = PatchHistory(processes, limit_ms)
        self.operators = Operators(runner, self.history)
        self.random = random.Random(seed)
        self.injector = Injector(
            runner,
            self.operators.client,
            self.history.faults,
            random.Random(self.random.random()),
        )
        self.failure_names = failures.names()
        self.hold_range_s = HOLD_RANGE_S
        self.failure_counts = Counter()
        self.violations = []
        self.started_s = time.monotonic()

    def print_progress(self, text):
        """Prints a text after the time since the start, in s."""
        print(f"{time.monotonic() - self.started_s:7.2f} s  {text}")
        sys.stdout.flush()


async def inject(soak, seconds):
    """Injects single failures and pairs of them for some seconds.

    Every failure is injected once, in random order, before any is injected
    again.
    """
    source, remaining = soak.random, []
    deadline_s = time.monotonic() + seconds
    while time.monotonic() < deadline_s:
        count = 2 if source.random() < PAIR_PROBABILITY else 1
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                if not remaining:
                    remaining = source.sample(
                        soak.failure_names, len(soak.failure_names)
                    )
                name = remaining.pop()
                hold_s = source.uniform(*soak.hold_range_s)
                soak.print_progress(f"failure '{name}' for {hold_s:.1f} s")
                soak.failure_counts[name] += 1
                failure = failures.get(name).ok
                nursery.start_soon(failure, soak.injector, hold_s)
                await trio.sleep(source.uniform(*PAUSE_RANGE_S))
        await trio.sleep(source.uniform(*PAUSE_RANGE_S))


async def run_failures(soak, seconds):
    """Injects failures, then stops the operators."""
    await inject(soak, seconds)
    soak.history.failures_ended_ms = wall_ms()
    soak.print_progress("all failures are over")
    soak.operators.stopping = True


async def wait_in_force(soak, version):
    """Waits until all processes have a version or their time limit ends."""
    limit_s = (
        soak.history.limit_ms / 1000 + soak.history.failures_ended_ms / 1000
    )
    missing = set(soak.history.processes)
    while missing and time.time() < limit_s:
        polled = soak.history.polled
        missing -= {p.process for p in polled if p.version >= version}
        await trio.sleep(0.1)
    soak.print_progress(
        f"version {version} is reported by all but {len(missing)} processes"
    )


async def run_soak(soak, seconds):
    """Runs operators, observers and failures concurrently."""
    soak.print_progress("version 1 is accepted; failures begin")
    async with trio.open_nursery() as observers:
        for node_id in soak.operators.nodes:
            observers.start_soon(poll_entry, soak.operators, node_id)
        for node_id in POLLED_CONTROLS:
            observers.start_soon(poll_status, soak.operators, node_id)
        async with trio.open_nursery() as nursery:
            for _ in range(OPERATORS):
                source = random.Random(soak.random.random())
                nursery.start_soon(soak.operators.submit_until_stopped, source)
            nursery.start_soon(run_failures, soak, seconds)
        await wait_in_force(soak, await soak.operators.read_final())
        observers.cancel_scope.cancel()
    await soak.operators.read_final()


def check_properties(soak):
    """Checks the history, prints the results and adds the violations."""
    soak.history.applied = read_applied(soak.runner.deployment)
    counts = count_outcomes(soak.history)
    counts["failures"] = dict(soak.failure_counts)
    counts["failures_without_a_free_vm"] = soak.injector.skipped
    print(json.dumps(counts, indent=2))
    for name, texts in find_violations(soak.history).items():
        print(f"{name}: {len(texts)} violations")
        for text in texts[:MAX_PRINTED_VIOLATIONS]:
            print(f"  {text}")
        if texts:
            soak.violations.append(f"{name}: {texts[0]}")


async def main_task(folder, seed, run, within_ms):
    """Runs the soak or the measurements in a folder.

    Args:
        folder: Folder of the deployment.
        seed: Seed of the failures.
        run: Async function of the PatchSoak that runs on the fleet.
        within_ms: Time limit for the last version, in ms.

    Returns:
        PatchSoak.
    """
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
    except (HealthError, trio.TooSlowError, BaseExceptionGroup) as error:
        soak.violations.append(f"run: {error!r}")
    finally:
        runner.kill_all()
    return soak


def main(arguments=None):
    """Runs the soak or the measurements; returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=int, default=120)
    parser.add_argument("--within-ms", type=int, default=LAST_VERSION_LIMIT_MS)
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--measure", action="store_true")
    parser.add_argument(
        "--keep", help="folder for all files, which is not deleted at the end"
    )
    options = parser.parse_args(arguments)

    async def run(soak):
        if options.measure:
            await measure(soak)
            return
        seconds = options.seconds
        if options.short:
            seconds = SHORT_DURATION_S
            soak.failure_names = SHORT_FAILURES
            soak.hold_range_s = SHORT_HOLD_RANGE_S
        await run_soak(soak, seconds)

    with tempfile.TemporaryDirectory(prefix="wigeonport-patch-") as folder:
        folder = options.keep or folder
        soak = trio.run(
            main_task, folder, options.seed, run, options.within_ms
        )
        if not options.measure:
            check_properties(soak)
    print(f"seed {options.seed}: {len(soak.violations)} checks failed")
    for text in soak.violations:
        print(f"failed check: {text}", file=sys.stderr)
    return 1 if soak.violations else 0


if __name__ == "__main__":
    sys.exit(main())

"""Soak: callers and patches under random failures, then the checker.

Failures are injected one at a time or in overlapping pairs. The seed fixes
their order and what the callers send; the exact times depend on the machine.
"""

import argparse
import json
import random
import sys
import tempfile
import time

import trio
from callers import CallerOptions
from demands import generate_arrivals
from deployments import SERVICES, Deployment
from failures import BusyError, failures
from fleet_runner import FleetRunner, HealthError
from load import run_load
from operators_client import OperatorsClient, load_fleet_patch
from outcomes import RunLogs, check_guarantees, print_results, read_lines

FIRST_VERSION_TIMEOUT_S = 20.0
RECOVERY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.2
PAUSE_RANGE_S = (0.3, 1.5)
HOLD_RANGE_S = (0.5, 5.0)
PATCH_INTERVAL_S = 2.0
SHORT_DURATION_S = 14
PAIR_PROBABILITY = 0.4
RATE_PER_SERVICE = 4
PEAK_MS = 3_000


class Soak:
    """State of a soak.

    Attributes:
        runner: FleetRunner.
        operators: OperatorsClient.
        random: Source of the choices of failures.
        violations: Texts of the violated guarantees and of errors that
            ended the run.
        accepted_version: Highest fleet version of an accepting answer.
        started_s: Monotonic time of the start, in s.
    """

    __slots__ = (
        "runner",
        "operators",
        "random",
        "violations",
        "accepted_version",
        "started_s",
    )

    def __init__(self, runner, seed):
        self.runner = runner
        self.operators = OperatorsClient(runner)
        self.random = random.Random(seed)
        self.violations = []
        self.accepted_version = 0
        self.started_s = time.monotonic()

    def print_progress(self, text):
        """Prints a text after the time since the start, in s."""
        print(f"{time.monotonic() - self.started_s:7.2f} s  {text}")
        sys.stdout.flush()


async def apply_first_version(soak):
    """Submits the first patch and waits until it is in force everywhere."""
    patch = load_fleet_patch()
    with trio.move_on_after(FIRST_VERSION_TIMEOUT_S):
        while True:
            answer = await soak.operators.submit(
                "ikeja-1", "first", 0, patch["reason"], patch["operations"]
            )
            if answer is not None and answer.status == 200:
                soak.accepted_version = answer.document["version"]
                break
            await trio.sleep(POLL_INTERVAL_S)
        while not await is_in_force_everywhere(soak):
            await trio.sleep(POLL_INTERVAL_S)
        return
    soak.violations.append(
        f"start: the first version is not in force on all entries within "
        f"{FIRST_VERSION_TIMEOUT_S} s"
    )


async def is_in_force_everywhere(soak):
    """Returns whether all entries have applied the newest version."""
    for node_id in soak.runner.deployment.nodes:
        metrics = await soak.runner.metrics(f"entry/{node_id}")
        if metrics is None:
            return False
        if metrics["gauges"].get("config_version", 0) < soak.accepted_version:
            return False
    return True


async def submit_patches(soak, source):
    """Submits patches to random controls until cancelled."""
    number = 0
    while True:
        number += 1
        node_id = source.choice(sorted(soak.runner.deployment.nodes))
        status = await soak.operators.status(node_id)
        if status is not None:
            await submit_patch(soak, source, node_id, number, status)
        await trio.sleep(PATCH_INTERVAL_S)


async def submit_patch(soak, source, node_id, number, status):
    """Submits one patch one to three times to random controls.

    All answers that decide on the patch have to be equal.
    """
    operation = {
        "operation": "set_service_capacity",
        "service": "notices",
        "capacity_workers": number % 2 + 1,
    }
    answers = []
    for _ in range(source.randint(1, 3)):
        answer = await soak.operators.submit(
            node_id, f"p{number}", status["version"], "soak", [operation]
        )
        if answer is not None and answer.status in (200, 409, 422):
            answers.append(answer)
        node_id = source.choice(sorted(soak.runner.deployment.nodes))
    if len({answer.body for answer in answers}) > 1:
        soak.violations.append(
            f"R8: patch p{number} got different answers when it was resent"
        )
    if answers and answers[0].status == 200:
        soak.accepted_version = max(
            soak.accepted_version, answers[0].document["version"]
        )


async def watch_versions(soak):
    """Records a violation if the version of a running entry goes back."""
    last_versions = {}
    while True:
        for node_id in soak.runner.deployment.nodes:
            name = f"entry/{node_id}"
            pid = soak.runner.processes[name].pid
            metrics = await soak.runner.metrics(name)
            if metrics is None:
                continue
            version = metrics["gauges"].get("config_version", 0)
            if version < last_versions.get((name, pid), 0):
                soak.violations.append(
                    f"R8: {name} went back to version {version}"
                )
            last_versions[(name, pid)] = version
        await trio.sleep(POLL_INTERVAL_S)


async def inject_failure(soak, name, source, hold_s):
    """Runs one failure; skips it if another failure uses every VM."""
    try:
        await failures.get(name).ok(soak.runner, source, hold_s)
    except BusyError as error:
        soak.print_progress(f"failure '{name}' skipped: {error}")


async def inject(soak, seconds):
    """Injects single failures and pairs of them for some seconds."""
    failure_names = failures.names()
    source = soak.random
    deadline_s = time.monotonic() + seconds
    while time.monotonic() < deadline_s:
        count = 2 if source.random() < PAIR_PROBABILITY else 1
        chosen = source.sample(failure_names, count)
        async with trio.open_nursery() as nursery:
            for name in chosen:
                hold_s = source.uniform(*HOLD_RANGE_S)
                failure_random = random.Random(source.random())
                soak.print_progress(f"failure '{name}' for {hold_s:.1f} s")
                nursery.start_soon(
                    inject_failure, soak, name, failure_random, hold_s
                )
                await trio.sleep(source.uniform(*PAUSE_RANGE_S))
        await trio.sleep(source.uniform(*PAUSE_RANGE_S))


async def run_faults(soak, seconds):
    """Injects failures, then waits until all programs have recovered."""
    await inject(soak, seconds)
    soak.print_progress("all failures are over")
    with trio.move_on_after(RECOVERY_TIMEOUT_S) as waiting:
        await soak.runner.wait_healthy()
        while not await is_in_force_everywhere(soak):
            await trio.sleep(POLL_INTERVAL_S)
    if waiting.cancelled_caught:
        text = (
            f"version {soak.accepted_version} is not in force on all entries"
        )
        soak.violations.append(f"R8: {text}")
    soak.print_progress(
        f"the wait for version {soak.accepted_version} on all entries is over"
    )


async def run_soak(soak, seconds, seed):
    """Runs callers, patches and failures concurrently.

    The callers are not cancelled: a cancelled request leaves no line, and
    its run would look to the checker like one that no request caused.
    """
    deployment = soak.runner.deployment
    options = CallerOptions(deployment.entry_addresses(), fail_share=0.03)
    arrivals = generate_arrivals(
        SERVICES,
        seconds * 1_000,
        RATE_PER_SERVICE,
        PEAK_MS,
        random.Random(seed),
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(submit_patches, soak, random.Random(seed))
        nursery.start_soon(watch_versions, soak)
        async with trio.open_nursery() as work:
            path = deployment.path("callers.jsonl")
            work.start_soon(run_faults, soak, seconds)
            work.start_soon(run_load, arrivals, options, path, seed)
        nursery.cancel_scope.cancel()


def check_soak_guarantees(soak):
    """Checks the logs and adds the guarantees that they violate."""
    deployment = soak.runner.deployment
    runs = sorted(deployment.folder.joinpath("runs").glob("*.jsonl"))
    logs = RunLogs(
        read_lines([deployment.path("callers.jsonl")]),
        read_lines(runs),
        soak.runner.faults,
    )
    verdict = check_guarantees(logs)
    for name in print_results(logs, verdict):
        soak.violations.append(f"{name}: {verdict[name][0]}")


async def main_task(folder, seconds, seed):
    """Runs the soak in a folder; returns the Soak."""
    runner = FleetRunner(Deployment(folder))
    runner.add_processes()
    soak = Soak(runner, seed)
    try:
        await runner.start()
        await apply_first_version(soak)
        soak.print_progress("version 1 is in force; failures begin")
        await run_soak(soak, seconds, seed)
        statuses = await runner.stop()
        nonzero = {name: code for name, code in statuses.items() if code != 0}
        if nonzero:
            soak.violations.append(
                f"R7: exit statuses other than 0: {json.dumps(nonzero)}"
            )
    except HealthError as error:
        soak.violations.append(f"health: {error}")
    finally:
        runner.kill_all()
    check_soak_guarantees(soak)
    return soak


def main(arguments=None):
    """Runs the soak; returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=int, default=180)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--short", action="store_true")
    parser.add_argument(
        "--keep", help="folder for all files, which is not deleted at the end"
    )
    options = parser.parse_args(arguments)
    seconds = SHORT_DURATION_S if options.short else options.seconds
    with tempfile.TemporaryDirectory(prefix="wigeonport-soak-") as folder:
        folder = options.keep or folder
        soak = trio.run(main_task, folder, seconds, options.seed)
    for text in soak.violations:
        print(f"failed check: {text}", file=sys.stderr)
    return 1 if soak.violations else 0


if __name__ == "__main__":
    sys.exit(main())

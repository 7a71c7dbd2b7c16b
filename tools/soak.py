"""Soak: callers and patches under random failures, then the checker.

Failures come singly and two together. The seed fixes which failures come in
which order and what the callers send; the exact times depend on the machine.
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

FIRST_VERSION_S = 20.0
RECOVERY_S = 20.0
POLL_S = 0.2
PAUSE_S = (0.3, 1.5)
HOLD_S = (0.5, 5.0)
PATCH_INTERVAL_S = 2.0
SHORT_SECONDS = 14
PAIR_SHARE = 0.4
RATE_PER_SERVICE = 4
TURN_MS = 3_000


class Soak:
    """State of a soak.

    Attributes:
        runner: FleetRunner.
        operators: OperatorsClient.
        random: Source of the failures.
        broken: Texts of what did not hold.
        accepted: Highest version that an operator was told is accepted.
        started_s: Monotonic time of the start.
    """

    __slots__ = (
        "runner",
        "operators",
        "random",
        "broken",
        "accepted",
        "started_s",
    )

    def __init__(self, runner, seed):
        self.runner = runner
        self.operators = OperatorsClient(runner)
        self.random = random.Random(seed)
        self.broken = []
        self.accepted = 0
        self.started_s = time.monotonic()

    def note(self, text):
        """Prints a line with the time since the start."""
        print(f"{time.monotonic() - self.started_s:7.2f} s  {text}")
        sys.stdout.flush()


async def apply_first_version(soak):
    """Submits the first patch until it is accepted."""
    patch = load_fleet_patch()
    with trio.move_on_after(FIRST_VERSION_S):
        while True:
            answer = await soak.operators.submit(
                "ikeja-1", "first", 0, patch["reason"], patch["operations"]
            )
            if answer is not None and answer.status == 200:
                soak.accepted = answer.document["version"]
                break
            await trio.sleep(POLL_S)
        while not await is_everywhere(soak):
            await trio.sleep(POLL_S)
        return
    soak.broken.append("start: the first version is not in force everywhere")


async def is_everywhere(soak):
    """Returns whether every entry applies the newest accepted version."""
    for node_id in soak.runner.deployment.nodes:
        metrics = await soak.runner.metrics(f"entry/{node_id}")
        if metrics is None:
            return False
        if metrics["gauges"].get("config_version", 0) < soak.accepted:
            return False
    return True


async def submit_patches(soak, source):
    """Submits patches to random controls; some are sent twice."""
    number = 0
    while True:
        number += 1
        node_id = source.choice(sorted(soak.runner.deployment.nodes))
        status = await soak.operators.status(node_id)
        if status is not None:
            await submit_patch(soak, source, node_id, number, status)
        await trio.sleep(PATCH_INTERVAL_S)


async def submit_patch(soak, source, node_id, number, status):
    """Submits one patch and, if its answer is lost, submits it again."""
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
        soak.broken.append(f"R8: patch p{number} got different answers")
    if answers and answers[0].status == 200:
        soak.accepted = max(soak.accepted, answers[0].document["version"])


async def watch_versions(soak):
    """Notes entries whose version goes back while they run."""
    seen = {}
    while True:
        for node_id in soak.runner.deployment.nodes:
            name = f"entry/{node_id}"
            pid = soak.runner.processes[name].pid
            metrics = await soak.runner.metrics(name)
            if metrics is None:
                continue
            version = metrics["gauges"].get("config_version", 0)
            if version < seen.get((name, pid), 0):
                soak.broken.append(f"R8: {name} went back to {version}")
            seen[(name, pid)] = version
        await trio.sleep(POLL_S)


async def fail(soak, name, source, hold_s):
    """Runs one failure; it is left out if every VM is in use."""
    try:
        await failures.get(name).ok(soak.runner, source, hold_s)
    except BusyError as fault:
        soak.note(f"{name} left out: {fault}")


async def inject(soak, seconds):
    """Injects failures, singly or two together, for some seconds."""
    names = failures.names()
    source = soak.random
    deadline_s = time.monotonic() + seconds
    while time.monotonic() < deadline_s:
        count = 2 if source.random() < PAIR_SHARE else 1
        chosen = source.sample(names, count)
        async with trio.open_nursery() as nursery:
            for name in chosen:
                hold_s = source.uniform(*HOLD_S)
                part = random.Random(source.random())
                soak.note(f"{name} for {hold_s:.1f} s")
                nursery.start_soon(fail, soak, name, part, hold_s)
                await trio.sleep(source.uniform(*PAUSE_S))
        await trio.sleep(source.uniform(*PAUSE_S))


async def run_faults(soak, seconds):
    """Runs failures, then waits for the recovery."""
    await inject(soak, seconds)
    soak.note("no more failures")
    with trio.move_on_after(RECOVERY_S) as waiting:
        await soak.runner.wait_healthy()
        while not await is_everywhere(soak):
            await trio.sleep(POLL_S)
    if waiting.cancelled_caught:
        text = f"version {soak.accepted} is not in force on all entries"
        soak.broken.append(f"R8: {text}")
    soak.note(f"version {soak.accepted} is in force on all entries")


async def run_soak(soak, seconds, seed):
    """Runs callers, patches and failures beside each other.

    The callers end by themselves: a sending that is cancelled leaves no
    line, and its run would look like one that no sending caused.
    """
    deployment = soak.runner.deployment
    options = CallerOptions(deployment.entry_addresses(), fail_share=0.03)
    arrivals = generate_arrivals(
        SERVICES,
        seconds * 1_000,
        RATE_PER_SERVICE,
        TURN_MS,
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


def judge_soak(soak):
    """Adds the broken guarantees of the logs."""
    deployment = soak.runner.deployment
    runs = sorted(deployment.folder.joinpath("runs").glob("*.jsonl"))
    logs = RunLogs(
        read_lines([deployment.path("callers.jsonl")]),
        read_lines(runs),
        soak.runner.faults,
    )
    verdict = check_guarantees(logs)
    for name in print_results(logs, verdict):
        soak.broken.append(f"{name}: {verdict[name][0]}")


async def main_task(folder, seconds, seed):
    """Runs the soak in a folder; returns the Soak."""
    runner = FleetRunner(Deployment(folder))
    runner.add_processes()
    soak = Soak(runner, seed)
    try:
        await runner.start()
        await apply_first_version(soak)
        soak.note("version 1 is in force; failures begin")
        await run_soak(soak, seconds, seed)
        statuses = await runner.stop()
        wrong = {name: code for name, code in statuses.items() if code != 0}
        if wrong:
            soak.broken.append(f"R7: exit codes {json.dumps(wrong)}")
    except HealthError as fault:
        soak.broken.append(f"health: {fault}")
    finally:
        runner.kill_all()
    judge_soak(soak)
    return soak


def main(arguments=None):
    """Runs the soak; returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=int, default=180)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--keep", help="folder for all files; it is kept")
    options = parser.parse_args(arguments)
    seconds = SHORT_SECONDS if options.short else options.seconds
    with tempfile.TemporaryDirectory(prefix="wigeonport-soak-") as folder:
        folder = options.keep or folder
        soak = trio.run(main_task, folder, seconds, options.seed)
    for text in soak.broken:
        print(f"broken: {text}", file=sys.stderr)
    return 1 if soak.broken else 0


if __name__ == "__main__":
    sys.exit(main())

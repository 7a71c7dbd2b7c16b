"""Randomized fault soak of the platform's programs.

Usage: platform_soak.py [--seed N] [--seconds S] [--folder DIR]

Real processes on loopback addresses are killed, paused, stopped, reloaded
and lose their disks and connections at random, while emulated workers,
clients and an operator check the guarantees. The exit status is 0 if all
guarantees held, else 1.
"""

import argparse
import pathlib
import random
import secrets
import sys
import tempfile
import time

import trio
from platform_emulator import (
    CALL_ERRORS,
    Client,
    EmulatedWorker,
    RunChecker,
    exchange,
)
from platform_faults import faults
from platform_fleet import PlatformFleet

HOST = "jobs.example"
PREFIX = "/plans/"
WORKERS = 5
# After the last fault, new jobs must be accepted within this time, and then
# all accepted jobs must end within the same time again.
RECOVERY_TIMEOUT_S = 30.0
# Share of the jobs with a second one that is cancelled while its submission
# may still be under way.
EARLY_SHARE = 0.3
CANCEL_TRIES = 20
# Number of jobs that must be accepted after the last fault.
MIN_JOBS = 5


def make_configuration(version):
    """Returns a configuration with one route to one service."""
    route = {
        "name": "r-1",
        "host": HOST,
        "path-prefix": PREFIX,
        "type": "unsafe",
        "timeout-ms": 3_000,
        "target-latency-ms": 3_600,
        "priority": 0,
        "service": "desk",
        "attempts": 5,
        "stretch": 1.6,
    }
    return {
        "version": version,
        "routes": [route],
        "services": [{"name": "desk", "rejects-overload": True}],
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 262_144,
            "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000,
        },
    }


class Operator:
    """Changes the configuration and checks that no change is lost.

    Attributes:
        addresses: Addresses of the controls.
        random: Source of the random choices.
        checker: RunChecker that collects the violations.
        acknowledged: Highest acknowledged version of the configuration.
    """

    __slots__ = ("addresses", "random", "checker", "acknowledged")

    def __init__(self, addresses, source, checker):
        self.addresses = addresses
        self.random = source
        self.checker = checker
        self.acknowledged = 0

    async def call(self, method, document=None):
        """Returns the status and document of an answer, or None."""
        address = self.random.choice(self.addresses)
        url = f"http://{address}/v1/config"
        try:
            return await exchange(method, url, document, timeout_s=3.0)
        except CALL_ERRORS:
            return None

    async def put_configuration(self, version):
        """Sends a configuration until it is acknowledged."""
        while True:
            answer = await self.call("PUT", make_configuration(version))
            if answer is not None and answer[0] == 200:
                self.acknowledged = max(self.acknowledged, version)
                return
            await trio.sleep(0.2)

    async def run(self):
        """Changes and reads the configuration until cancelled."""
        version = self.acknowledged
        while True:
            version += self.random.randint(1, 9)
            await self.put_configuration(version)
            await self.read()
            await trio.sleep(self.random.uniform(0.2, 1.5))

    async def read(self):
        """Checks that a read shows every version acknowledged before it."""
        acknowledged = self.acknowledged
        answer = await self.call("GET")
        if answer is not None and answer[0] == 200:
            version = answer[1]["version"]
            if version < acknowledged:
                text = (
                    f"a read shows configuration version {version} although "
                    f"version {acknowledged} is acknowledged"
                )
                self.checker.violations.append(text)


class Soak:
    """One seeded run.

    Attributes:
        seed: Seed of the random choices.
        seconds: Time during which faults are injected, in s.
        random: Source of the choices of faults, which repeat with the seed.
        traffic: Source of the choices of workers, client and operator.
        fleet: PlatformFleet.
        checker: RunChecker.
        workers: List of EmulatedWorker.
        client: Client.
        operator: Operator.
        injected_faults: Names of the injected faults, in order.
    """

    __slots__ = (
        "seed",
        "seconds",
        "random",
        "traffic",
        "fleet",
        "checker",
        "workers",
        "client",
        "operator",
        "injected_faults",
    )

    def __init__(self, seed, seconds, folder):
        self.seed = seed
        self.seconds = seconds
        self.random = random.Random(seed)
        self.traffic = random.Random(seed + 1)
        self.fleet = PlatformFleet(folder, 16 + seed % 200)
        self.checker = RunChecker()
        controls = self.fleet.control_addresses
        self.workers = [
            EmulatedWorker(
                f"w{n}", "desk", controls, self.checker, self.traffic
            )
            for n in range(WORKERS)
        ]
        self.client = Client(
            self.fleet.front_addresses, HOST, PREFIX, self.traffic
        )
        self.operator = Operator(controls, self.traffic, self.checker)
        self.injected_faults = []

    async def run(self):
        """Runs the soak; returns the texts of the violated guarantees."""
        try:
            async with trio.open_nursery() as nursery:
                await self.fleet.start(nursery)
                for worker in self.workers:
                    nursery.start_soon(worker.run)
                with trio.fail_after(RECOVERY_TIMEOUT_S):
                    await self.operator.put_configuration(1)
                nursery.start_soon(self.restart_ended_processes)
                async with trio.open_nursery() as active:
                    active.start_soon(self.submit_jobs)
                    active.start_soon(self.operator.run)
                    await self.inject()
                    active.cancel_scope.cancel()
                await self.wait_for_recovery()
                nursery.cancel_scope.cancel()
        finally:
            with trio.CancelScope(shield=True):
                await self.fleet.stop()
        return self.checker.violations

    async def restart_ended_processes(self):
        """Records and restarts processes that end without a fault."""
        while True:
            for process in (*self.fleet.cores, *self.fleet.fronts):
                if process.ended_unexpectedly:
                    text = (
                        f"{process.script} on {process.host} ended "
                        "unexpectedly"
                    )
                    self.checker.violations.append(text)
                    await process.start()
            await trio.sleep(0.2)

    async def submit_jobs(self):
        """Submits jobs, and cancels some of them, until the faults end."""
        async with trio.open_nursery() as nursery:
            while True:
                nursery.start_soon(self.submit_job)
                if self.traffic.random() < EARLY_SHARE:
                    nursery.start_soon(self.cancel_early)
                await trio.sleep(self.traffic.uniform(0.1, 0.5))

    async def submit_job(self):
        """Submits one job and cancels it with some probability."""
        first = {"count": self.traffic.randint(1, 4), "cpu": 1_000}
        second = {"count": 2, "cpu": 500, "depends-on": [0]}
        for step in (first, second):
            step |= {"mem-mb": 100, "estimated-ms": 500}
        long_running = self.traffic.random() < 0.1
        if long_running:
            steps = [first | {"long-running": True}]
            job_id = await self.client.submit(steps, "lasting")
        else:
            job_id = await self.client.submit([first, second])
        if job_id and (long_running or self.traffic.random() < 0.1):
            await self.cancel_job(job_id)

    async def cancel_early(self):
        """Cancels a job whose submission may still be under way.

        Both calls are made once or more, and at any front.
        """
        job_id = secrets.token_hex(8)
        step = {"count": 2, "cpu": 500, "mem-mb": 100, "long-running": True}
        document = {"spec": "early", "steps": [step]}
        async with trio.open_nursery() as nursery:
            for _ in range(self.traffic.randint(1, 3)):
                nursery.start_soon(self.client.call, "POST", job_id, document)
            await trio.sleep(self.traffic.choice((0, 0.05, 3.0)))
            for _ in range(CANCEL_TRIES):
                if await self.cancel_job(job_id):
                    break
                await trio.sleep(0.3)

    async def cancel_job(self, job_id):
        """Cancels a job; returns whether that was acknowledged."""
        answer = await self.client.call("DELETE", job_id)
        acknowledged = answer is not None and answer[0] in (200, 410)
        if acknowledged:
            self.checker.cancelled.setdefault(job_id, time.monotonic())
        return acknowledged

    async def inject(self):
        """Injects random faults, which may overlap, then awaits their end."""
        end = time.monotonic() + self.seconds
        async with trio.open_nursery() as nursery:
            while time.monotonic() < end:
                name = self.random.choice(sorted(faults.entries))
                self.injected_faults.append(name)
                nursery.start_soon(faults.entries[name], self)
                await trio.sleep(self.random.uniform(0.5, 3.0))

    async def wait_for_recovery(self):
        """Checks that jobs are accepted again and that all jobs end.

        A long-running job counts as ended once it runs.
        """
        accepted_before = len(self.client.accepted)
        with trio.move_on_after(RECOVERY_TIMEOUT_S):
            while len(self.client.accepted) - accepted_before < MIN_JOBS:
                await self.client.submit([{"count": 1, "cpu": 500}])
        if len(self.client.accepted) - accepted_before < MIN_JOBS:
            text = (
                f"fewer than {MIN_JOBS} jobs were accepted within "
                f"{RECOVERY_TIMEOUT_S} s after the last fault"
            )
            self.checker.violations.append(text)
        open_jobs = set(self.client.accepted)
        with trio.move_on_after(RECOVERY_TIMEOUT_S):
            while open_jobs:
                for job_id in list(open_jobs):
                    state = await self.client.state(job_id)
                    if state == "unknown":
                        text = (
                            f"accepted job {job_id} is unknown to the service"
                        )
                        self.checker.violations.append(text)
                    if (
                        state in ("completed", "cancelled", "unknown")
                        or state == "running"
                        and self.has_long_running_run(job_id)
                    ):
                        open_jobs.discard(job_id)
                await trio.sleep(0.2)
        for job_id in open_jobs:
            self.checker.violations.append(
                f"accepted job {job_id} did not end within "
                f"{RECOVERY_TIMEOUT_S} s"
            )
        await self.operator.read()

    def has_long_running_run(self, job_id):
        """Returns whether a long-running run of the job is live."""
        return any(
            run.duration_s is None
            for worker in self.workers
            for task, run in worker.runs.items()
            if task.startswith(job_id)
        )


def main(arguments):
    """Runs the soak and prints its result; returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=None)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--folder", default=None)
    options = parser.parse_args(arguments)
    seed = options.seed
    if seed is None:
        seed = random.SystemRandom().randrange(1_000_000)
    folder = options.folder or tempfile.mkdtemp(prefix="platform-soak-")
    soak = Soak(seed, options.seconds, pathlib.Path(folder))
    violations = trio.run(soak.run)
    print(
        f"seed {seed}: {len(soak.client.accepted)} jobs accepted, "
        f"{soak.checker.starts} runs started, "
        f"injected faults: {' '.join(soak.injected_faults)}"
    )
    for text in violations:
        print(f"VIOLATION: {text}")
    print(
        "all guarantees held"
        if not violations
        else f"{len(violations)} violations; the logs are in {folder}"
    )
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

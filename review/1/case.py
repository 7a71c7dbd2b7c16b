"""Another writer on the machine of a minion sends a heartbeat."""

import pathlib
import random
import sys
import time

import trio

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402
from platform_emulator import (  # noqa: E402
    Client,
    EmulatedWorker,
    RunChecker,
)
from platform_soak import HOST, PREFIX, make_configuration  # noqa: E402

WORKERS = 4
JOBS = 4
TASKS = 4
WATCH_S = 8.0


class Checker(RunChecker):
    """A RunChecker that also records the starts and ends of runs.

    Attributes:
        record: Record of the case.
    """

    __slots__ = ("record",)

    def record_start(self, task, run, worker):
        """Checks and records the start of a run."""
        self.record(f"{worker} starts run {run} of {task}")
        known = len(self.violations)
        super().record_start(task, run, worker)
        for text in self.violations[known:]:
            self.record(f"RULE TWICE BROKEN, {text}")

    def record_end(self, task, worker, outcome):
        """Checks and records the end of a run."""
        self.record(f"{worker} ends a run of {task}: {outcome}")
        super().record_end(task, worker, outcome)


class Case:
    """One play of the case.

    Attributes:
        record: Record.
        fleet: PlatformFleet.
        checker: Checker.
        workers: List of EmulatedWorker.
        client: Client.
    """

    def __init__(self, record):
        self.record = record
        self.fleet = harness.make_fleet(cores=3, fronts=2)
        self.checker = Checker()
        self.checker.record = record
        self.workers = [
            EmulatedWorker(
                f"w{number}",
                "desk",
                self.fleet.control_addresses,
                self.checker,
                random.Random(number),
            )
            for number in range(WORKERS)
        ]
        self.client = Client(
            self.fleet.front_addresses, HOST, PREFIX, random.Random(1)
        )

    async def send_other_heartbeat(self):
        """Sends the heartbeat of another writer, until it is answered."""
        worker = max(self.workers, key=lambda worker: len(worker.runs))
        document = {
            "service": "agents",
            "address": "127.0.0.1:9",
            "zone": "ikeja",
            "version": "v1",
            "state": "ready",
            "machine": f"m-{worker.worker_id}",
            "born": time.time_ns() // 1_000_000,
            "seq": 1,
        }
        for address in self.fleet.control_addresses:
            url = f"http://{address}/v1/instances/agent-1"
            answer = await harness.call("PUT", url, document)
            self.record(f"PUT {url} {document} -> {answer}")
            if answer is not None:
                return

    async def run(self):
        """Plays the case; returns whether the rule was broken."""
        try:
            async with trio.open_nursery() as nursery:
                await self.fleet.start(nursery)
                for worker in self.workers:
                    nursery.start_soon(worker.run)
                await harness.put_first_configuration(
                    self.fleet, make_configuration(1)
                )
                await trio.sleep(5.0)
                step = {
                    "count": TASKS,
                    "cpu": 1_000,
                    "mem-mb": 256,
                    "long-running": True,
                }
                for _ in range(JOBS):
                    if await self.client.submit([step], "lasting") is None:
                        raise harness.CannotRunError("a job was refused")
                await trio.sleep(3.0)
                runs = sum(len(worker.runs) for worker in self.workers)
                if runs < JOBS * TASKS:
                    raise harness.CannotRunError("not all tasks run")
                if harness.TROUBLE:
                    await self.send_other_heartbeat()
                await trio.sleep(WATCH_S)
                nursery.cancel_scope.cancel()
        finally:
            with trio.CancelScope(shield=True):
                await self.fleet.stop()
        return bool(self.checker.violations)


if __name__ == "__main__":
    harness.play(FOLDER, lambda record: Case(record).run())

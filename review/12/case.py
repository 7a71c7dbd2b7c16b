"""After the loss of one minion no job of a queue with advice starts again."""

import asyncio
import json
import pathlib
import secrets
import sys
import time

sys.path.append(str(pathlib.Path(__file__).resolve().parent.parent))

from stage import (  # noqa: E402
    CLOUD_PORT,
    PREFIX,
    SERVICE,
    ZONES,
    Minion,
    NotReadyError,
    Stage,
    main,
    make_config,
    read_message,
)

MINIONS = 8
LABEL = "b"
LASTING = 36
JOBS = 10
WORK_MS = 500
DECISION_MS = 20
PER_WORKER_MS = 2
VALID_MS = 3_000
# `finish_s` of the settings, and the 3 s of the rule.
FINISH_S = 14
IDLE_S = 3


class AdvisedStage(Stage):
    """A deployment with an advice service."""

    def settings(self, program, bootstrap):
        """Returns the settings file of a program."""
        line = 'orders = "heartbeat"\n'
        text = super().settings(program, bootstrap)
        return text.replace(line, f'{line}advice = "{self.cloud}"\n')


class AdvisedMinion(Minion):
    """A minion that starts what has a valid ticket only."""

    tickets = {}

    def body(self):
        """Returns the next heartbeat; one minion is of another kind."""
        document = super().body()
        if self.number == 0:
            document["labels"] = [LABEL, document["labels"][1]]
        return document

    def obey(self, orders, sent):
        """Rejects the starts without a valid ticket."""
        valid = []
        for row in orders.get("start", ()):
            ticket = row[4] if len(row) > 4 else ""
            step = row[0].rpartition(".")[0]
            until = self.tickets.get((ticket, step, self.name), 0)
            if time.monotonic() < until:
                valid.append(row)
            else:
                self.stage.write(f"{self.name} rejects {row[0]}: {ticket!r}")
                self.end_number += 1
                self.ends.append(
                    [self.end_number, row[0], row[1], "refused", ""]
                )
        super().obey({**orders, "start": valid}, sent)


class Platform:
    """The platform: lists the machines, and advises on steps in turn.

    Attributes:
        stage: Stage.
        minions: The minions.
        turn: Held by the call for advice that is handled.
        calls: Number of calls for advice.
    """

    def __init__(self, stage, minions):
        self.stage = stage
        self.minions = minions
        self.turn = asyncio.Lock()
        self.calls = 0

    async def serve(self, reader, writer):
        """Answers the requests on a connection."""
        try:
            while (message := await read_message(reader)) is not None:
                line, _, body = message
                path = line.split()[1]
                if path == "/v1/advise":
                    status, document = 200, await self.advise(body)
                elif path.startswith("/v1/machines"):
                    status, document = 200, self.list()
                else:
                    # The spare pool is one of other machines.
                    status, document = 400, {}
                data = json.dumps(document).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json"
                    f"\r\nContent-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def advise(self, body):
        """Returns a ticket for each worker that a call names."""
        document = json.loads(body)
        names = document["workers"]
        async with self.turn:
            self.calls += 1
            wait_ms = DECISION_MS + PER_WORKER_MS * len(names)
            await asyncio.sleep(wait_ms / 1000)
            until = time.monotonic() + VALID_MS / 1000
            rows = [[name, secrets.token_hex(6)] for name in names]
            for name, ticket in rows:
                key = (ticket, document["step"], name)
                AdvisedMinion.tickets[key] = until
        self.stage.write(f"advice on {document['step']}: {len(rows)} tickets")
        return {"allowed": rows, "valid-ms": VALID_MS}

    def list(self):
        """Returns the list of the machines."""
        rows = [
            {
                "machine": minion.machine,
                "pool": SERVICE,
                "state": "up" if minion.alive else "down",
                "zone": ZONES[minion.number % 3],
                "labels": [
                    LABEL if minion.number == 0 else "a",
                    f"r{minion.number % 3}-1",
                ],
                "capacity": {"cpu": 16000, "mem-mb": 32768, "gpu": 0},
                "id": minion.name,
            }
            for minion in self.minions
        ]
        return {"machines": rows, "next-token": None}


async def find_idle(stage, jobs, started):
    """Returns texts on the jobs of which nothing runs for 3 s."""
    await asyncio.sleep(FINISH_S)
    before = dict(started)
    await asyncio.sleep(IDLE_S)
    broken = []
    for job in jobs:
        answer = await stage.ask("GET", PREFIX + job, front=1)
        if before.get(job) is None and started.get(job) is None:
            broken.append(
                f"LOST: accepted job {job} is answered {answer}, and nothing "
                f"of it has run {FINISH_S + IDLE_S} s after the traffic"
            )
            stage.write(broken[-1])
    return broken


async def play(folder, trouble):
    """Plays the case; returns what broke the rule."""
    stage = AdvisedStage(folder)
    started = {}

    def watch(event, minion, task, run):
        if event == "start":
            started[task.partition(".")[0]] = minion.name

    minions = [
        AdvisedMinion(stage, f"i-{number:08x}", number, watch)
        for number in range(MINIONS)
    ]
    platform = Platform(stage, minions)
    server = await asyncio.start_server(
        platform.serve, stage.cloud.partition(":")[0], CLOUD_PORT
    )
    advice = {
        "decision-ms": DECISION_MS,
        "per-worker-ms": PER_WORKER_MS,
        "valid-ms": VALID_MS,
    }
    try:
        await stage.start()
        await stage.configure(make_config(7, extra={"advice": advice}))
        for minion in minions:
            stage.spawn(minion.live())
        await asyncio.sleep(4)
        step = {"count": 1, "cpu": 250, "mem-mb": 256}
        lasting = step | {"long-running": True, "required-label": LABEL}
        document = {"spec": json.dumps({"ms": None}), "steps": [lasting]}
        watchers = [secrets.token_hex(8) for _ in range(LASTING)]
        for job in watchers:
            await stage.submit(job, document)
        until = time.monotonic() + 25
        while len(started) < LASTING and time.monotonic() < until:
            await asyncio.sleep(0.1)
        if len(started) < LASTING:
            raise NotReadyError("the lasting jobs didn't all start")
        if trouble:
            stage.write(f"{minions[0].name} crashes for good")
            minions[0].leave()
        await asyncio.sleep(7)
        plain = step | {"estimated-ms": WORK_MS}
        document = {"spec": json.dumps({"ms": WORK_MS}), "steps": [plain]}
        jobs = [secrets.token_hex(8) for _ in range(JOBS)]
        for job in jobs:
            await stage.submit(job, document)
            await asyncio.sleep(0.3)
        stage.write(f"calls for advice so far: {platform.calls}")
        broken = await find_idle(stage, jobs, started)
        stage.write(f"calls for advice in all: {platform.calls}")
        return broken
    finally:
        server.close()
        await stage.stop()


if __name__ == "__main__":
    folder = pathlib.Path(__file__).resolve().parent
    sys.exit(main(play, folder))

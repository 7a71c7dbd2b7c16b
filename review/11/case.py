"""Another writer's heartbeat, with fields missing, swallows accepted jobs."""

import asyncio
import json
import pathlib
import random
import secrets
import sys
import time

sys.path.append(str(pathlib.Path(__file__).resolve().parent.parent))

from stage import (  # noqa: E402
    PREFIX,
    SERVICE,
    ZONES,
    Minion,
    Stage,
    call,
    main,
    make_config,
)

ROUNDS = 8
JOBS = 4
TASKS = 6
WORK_MS = 400
# `finish_s` of the settings, and the 3 s of the rule.
FINISH_S = 14
IDLE_S = 3
BEAT_S = 0.4


async def write_foreign(stage, name):
    """Sends heartbeats of a writer that is no minion and obeys nothing.

    Its fields `version`, `cold-remaining-ms`, `labels`, `machine` and
    `clock-ms`, which every minion's heartbeat has, are missing.
    """
    born, sequence, told = time.time_ns() // 1_000_000, 0, set()
    while True:
        sequence += 1
        body = {
            "service": SERVICE,
            "address": f"127.{stage.net}.7.1:8080",
            "zone": ZONES[0],
            "slots": 8,
            "state": "ready",
            "capacity": {"cpu": 16000, "mem-mb": 32768, "gpu": 0},
            "born": born,
            "seq": sequence,
        }
        address = random.choice(stage.controls)
        answer = await call(address, "PUT", f"/v1/instances/{name}", body)
        rows = answer[1].get("start", ()) if answer else ()
        for task, run, *_ in rows:
            if (task, run) not in told:
                told.add((task, run))
                stage.write(f"the other writer is told to start {task} {run}")
        await asyncio.sleep(BEAT_S)


async def play(folder, trouble):
    """Plays the case; returns what broke the rule."""
    stage = Stage(folder)
    running = {}

    def watch(event, minion, task, run):
        job = task.partition(".")[0]
        running[job] = running.get(job, 0) + (1 if event == "start" else -1)

    try:
        await stage.start()
        await stage.configure(make_config(7))
        for number in range(3):
            minion = Minion(stage, f"i-{number:08x}", number, watch)
            stage.spawn(minion.live())
        if trouble:
            stage.spawn(write_foreign(stage, "x-7f3a91c2"))
        await asyncio.sleep(3)
        step = {"count": TASKS, "cpu": 2000, "mem-mb": 256}
        step["estimated-ms"] = WORK_MS
        document = {"spec": json.dumps({"ms": WORK_MS}), "steps": [step]}
        jobs = [secrets.token_hex(8) for _ in range(ROUNDS * JOBS)]
        for first in range(0, len(jobs), JOBS):
            group = jobs[first : first + JOBS]
            await asyncio.gather(
                *(stage.submit(job, document) for job in group)
            )
            await asyncio.sleep(1)
        await asyncio.sleep(FINISH_S)
        idle = dict.fromkeys(jobs, True)
        until = time.monotonic() + IDLE_S
        while time.monotonic() < until:
            for job in jobs:
                idle[job] = idle[job] and not running.get(job, 0)
            await asyncio.sleep(0.05)
        broken = []
        for job in jobs:
            answer = await stage.ask("GET", PREFIX + job, front=1)
            state = answer and answer[1].get("state")
            if state != "completed" and idle[job]:
                broken.append(
                    f"LOST: accepted job {job} is {state}, and nothing of "
                    f"it ran for {IDLE_S} s, {FINISH_S} s after the traffic"
                )
        for text in broken:
            stage.write(text)
        return broken
    finally:
        await stage.stop()


if __name__ == "__main__":
    folder = pathlib.Path(__file__).resolve().parent
    sys.exit(main(play, folder))

"""Lasting tasks that fill never run again after the loss of their minion."""

import asyncio
import json
import pathlib
import secrets
import sys
import time

sys.path.append(str(pathlib.Path(__file__).resolve().parent.parent))

from stage import (  # noqa: E402
    PREFIX,
    Minion,
    NotReadyError,
    Stage,
    main,
    make_config,
)

MINIONS = 8
TASKS = 16
# The rule's times: from 6 s after the last run on, for 3 s, with 4 s of calm
# before them.
AWAY_S = 6
IDLE_S = 3
WATCH_S = 30


async def find_idle(job, live, ended):
    """Returns texts on the tasks that don't run for the time of the rule.

    Args:
        job: Id of the job.
        live: Maps the tasks that run to their minions.
        ended: Maps the tasks whose last run has ended to the time of it.
    """
    idle = {f"{job}.0.0.{index}" for index in range(TASKS)} - live.keys()
    until = time.monotonic() + IDLE_S
    while time.monotonic() < until:
        idle -= live.keys()
        await asyncio.sleep(0.05)
    broken = []
    for task in sorted(idle):
        away_s = time.monotonic() - ended[task]
        if away_s >= AWAY_S + IDLE_S:
            broken.append(
                f"LOST: {task} is to last and has not run for {away_s:.0f} s, "
                f"with {MINIONS - 1} minions up of which each has room for it"
            )
    return broken


async def play(folder, trouble):
    """Plays the case; returns what broke the rule."""
    stage = Stage(folder)
    live, ended = {}, {}

    def watch(event, minion, task, run):
        if event == "start":
            live[task] = minion.name
        else:
            live.pop(task, None)
            ended[task] = time.monotonic()

    try:
        minions = [
            Minion(stage, f"i-{number:08x}", number, watch)
            for number in range(MINIONS)
        ]
        await stage.serve_machines(minions)
        await stage.start()
        await stage.configure(make_config(7))
        for minion in minions:
            stage.spawn(minion.live())
        await asyncio.sleep(4)
        step = {"count": TASKS, "cpu": 1000, "mem-mb": 512}
        step |= {"long-running": True, "fills": True}
        job = secrets.token_hex(8)
        document = {"spec": json.dumps({"ms": None}), "steps": [step]}
        await stage.submit(job, document)
        until = time.monotonic() + 15
        while len(live) < TASKS and time.monotonic() < until:
            await asyncio.sleep(0.1)
        if len(live) < TASKS:
            raise NotReadyError("the tasks didn't all start")
        stage.write(f"all {TASKS} tasks run")
        await asyncio.sleep(3)
        if trouble:
            stage.write(f"{minions[0].name} crashes for good")
            minions[0].leave()
        await asyncio.sleep(WATCH_S - IDLE_S)
        broken = await find_idle(job, live, ended)
        for minion in minions:
            stage.write(f"{minion.name} runs {len(minion.runs)} tasks")
        answer = await stage.ask("GET", PREFIX + job, front=1)
        stage.write(f"{job}: {answer}")
        for text in broken:
            stage.write(text)
        return broken
    finally:
        await stage.stop()


if __name__ == "__main__":
    folder = pathlib.Path(__file__).resolve().parent
    sys.exit(main(play, folder))

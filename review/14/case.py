"""A long task is stopped every two seconds, and its job never ends."""

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
    Stage,
    main,
    make_config,
)

MINIONS = 6
# The second rack of the service, of which two of six minions are.
LABEL = "r1-1"
SHORT_MS = 2_000
LONG_MS = 300_000
# `finish_s` of the settings, and the 3 s of the rule.
FINISH_S = 14
IDLE_S = 3
WATCH_S = 30


async def play(folder, trouble):
    """Plays the case; returns what broke the rule."""
    stage = Stage(folder)
    runs = {"live": 0, "since": 0.0, "starts": 0, "done": False}
    broken = []

    def watch(event, minion, task, run):
        runs["live"] += 1 if event == "start" else -1
        runs["starts"] += event == "start"
        runs["done"] = runs["done"] or event == "done"
        runs["since"] = time.monotonic()

    work_ms = LONG_MS if trouble else SHORT_MS
    try:
        await stage.start()
        await stage.configure(make_config(7))
        for number in range(MINIONS):
            minion = Minion(stage, f"i-{number:08x}", number, watch)
            stage.spawn(minion.live())
        await asyncio.sleep(4)
        step = {"count": 1, "cpu": 1000, "mem-mb": 256}
        step |= {"estimated-ms": work_ms, "required-label": LABEL}
        document = {"spec": json.dumps({"ms": work_ms}), "steps": [step]}
        job = secrets.token_hex(8)
        await stage.submit(job, document)
        await asyncio.sleep(FINISH_S)
        begin = time.monotonic()
        while time.monotonic() < begin + WATCH_S:
            await asyncio.sleep(0.05)
            idle_s = time.monotonic() - max(runs["since"], begin)
            waits = not runs["live"] and not runs["done"]
            if waits and idle_s >= IDLE_S:
                runs["since"] = time.monotonic()
                broken.append(
                    f"LOST: nothing of {job} has run for {IDLE_S} s, after "
                    f"{runs['starts']} runs, while its minions are idle"
                )
                stage.write(broken[-1])
        answer = await stage.ask("GET", PREFIX + job, front=1)
        stage.write(f"{job}: {answer}, started {runs['starts']} times")
        return broken
    finally:
        await stage.stop()


if __name__ == "__main__":
    folder = pathlib.Path(__file__).resolve().parent
    sys.exit(main(play, folder))

"""A task runs twice, as its cut-off minion takes `stop-ms` to end it."""

import asyncio
import json
import pathlib
import secrets
import sys

sys.path.append(str(pathlib.Path(__file__).resolve().parent.parent))

from stage import (  # noqa: E402
    Minion,
    Stage,
    main,
    make_config,
)

MINIONS = 12
CUT = 2
CUT_S = 5.5
STOP_MS = 400
# The slowest steady clock that the pages allow.
RATE = 0.98
ROUNDS = 6
TASKS = 48


async def play(folder, trouble):
    """Plays the case; returns what broke the rule."""
    stage = Stage(folder, stop_ms=STOP_MS)
    live, broken = {}, []

    def watch(event, minion, task, run):
        runs = live.setdefault(task, {})
        if event != "start":
            runs.pop(run, None)
            return
        if runs:
            text = (
                f"TWICE: {task} run {run} starts on {minion.name} while "
                f"{runs} runs, on a minion that is up"
            )
            broken.append(text)
            stage.write(text)
        runs[run] = minion.name

    minions = [
        Minion(stage, f"i-{number:08x}", number, watch)
        for number in range(MINIONS)
    ]
    try:
        await stage.start()
        await stage.configure(make_config(7))
        for minion in minions:
            minion.rate = RATE
            minion.kill_s = STOP_MS / 1000
            stage.spawn(minion.live())
        await asyncio.sleep(4)
        step = {"count": TASKS, "cpu": 2000, "mem-mb": 256}
        step |= {"long-running": True, "max-per-server": 6}
        document = {"spec": json.dumps({"ms": None}), "steps": [step]}
        await stage.submit(secrets.token_hex(8), document)
        await asyncio.sleep(4)
        for first in range(ROUNDS):
            chosen = minions[first * CUT : (first + 1) * CUT]
            for minion in chosen:
                minion.cut = trouble
                stage.write(f"{minion.name} is cut off: {trouble}")
            await asyncio.sleep(CUT_S)
            for minion in chosen:
                minion.cut = False
                stage.write(f"{minion.name} is reached again")
            await asyncio.sleep(4)
        return broken
    finally:
        await stage.stop()


if __name__ == "__main__":
    folder = pathlib.Path(__file__).resolve().parent
    sys.exit(main(play, folder))

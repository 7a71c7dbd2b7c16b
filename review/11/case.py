"""A heartbeat of another writer, with fields missing: tasks run twice."""

import asyncio
import json
import pathlib
import secrets
import sys
import time

sys.path.append(str(pathlib.Path(__file__).resolve().parent.parent))

from stage import (  # noqa: E402
    SERVICE,
    ZONES,
    Minion,
    Stage,
    call,
    main,
    make_config,
)

MINIONS = 4
TASKS = 16
WATCH_S = 8


async def write_foreign(stage, machine):
    """Sends one heartbeat of a program that runs beside a minion.

    The fields `version`, `cold-remaining-ms`, `labels` and `clock-ms`, which
    every minion's heartbeat has, are missing.
    """
    body = {
        "service": SERVICE,
        "address": f"127.{stage.net}.7.1:8080",
        "zone": ZONES[0],
        "slots": 8,
        "state": "ready",
        "capacity": {"cpu": 500, "mem-mb": 512, "gpu": 0},
        "machine": machine,
        "born": time.time_ns() // 1_000_000,
        "seq": 1,
    }
    for address in stage.controls:
        answer = await call(address, "PUT", "/v1/instances/agent-1", body)
        stage.write(f"another writer: {json.dumps(body)} answered {answer}")
        if answer is not None and answer[0] < 500:
            return


async def play(folder, trouble):
    """Plays the case; returns what broke the rule."""
    stage = Stage(folder)
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
        step = {"count": TASKS, "cpu": 1000, "mem-mb": 256}
        step |= {"long-running": True, "max-per-server": 8}
        document = {"spec": json.dumps({"ms": None}), "steps": [step]}
        await stage.submit(secrets.token_hex(8), document)
        await asyncio.sleep(4)
        busiest = max(minions, key=lambda minion: len(minion.runs))
        stage.write(f"{busiest.name} runs {sorted(busiest.runs)}")
        if trouble:
            await write_foreign(stage, busiest.machine)
        await asyncio.sleep(WATCH_S)
        return broken
    finally:
        await stage.stop()


if __name__ == "__main__":
    folder = pathlib.Path(__file__).resolve().parent
    sys.exit(main(play, folder))

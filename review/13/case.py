"""A cancelled job runs seconds after its cancelling was answered."""

import asyncio
import json
import pathlib
import secrets
import signal
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

# `cancel_ms` and `stop-ms` of the settings.
CANCEL_S = 3.0
STOP_S = 0.2
# Time for which the front stands still.
FREEZE_S = 8.0
# The client's deadline.
DEADLINE_S = 3.0
JOBS = 4


async def give_up(stage, job, document, cancelled):
    """Hands a job in at front 0 and cancels it at front 1.

    Args:
        stage: Stage.
        job: Id of the job.
        document: Its body.
        cancelled: Gets the time at which the cancelling was answered.
    """
    answer = await stage.ask("POST", PREFIX + job, document, limit=DEADLINE_S)
    stage.write(f"{job} is answered with {answer}, and cancelled")
    for _ in range(10):
        answer = await stage.ask("DELETE", PREFIX + job, front=1)
        if answer is not None and answer[0] in (200, 410):
            cancelled[job] = time.monotonic()
            return
        await asyncio.sleep(0.3)
    raise NotReadyError("a cancelling was not answered")


async def play(folder, trouble):
    """Plays the case; returns what broke the rule."""
    stage = Stage(folder)
    starts, cancelled, broken = {}, {}, []

    def watch(event, minion, task, run):
        job = task.partition(".")[0]
        if event != "start":
            return
        starts.setdefault(job, []).append(task)
        age = time.monotonic() - cancelled.get(job, time.monotonic())
        if age > CANCEL_S:
            text = (
                f"UNASKED: {task} run {run} starts on {minion.name} "
                f"{age:.1f} s after the cancelling of its job was answered"
            )
            broken.append(text)
            stage.write(text)

    try:
        minions = [
            Minion(stage, f"i-{number:08x}", number, watch)
            for number in range(3)
        ]
        await stage.serve_machines(minions)
        await stage.start()
        await stage.configure(make_config(7))
        for minion in minions:
            stage.spawn(minion.live())
        await asyncio.sleep(6)
        step = {"count": 2, "cpu": 500, "mem-mb": 256, "long-running": True}
        document = {"spec": json.dumps({"ms": None}), "steps": [step]}
        if trouble:
            stage.write("front 0 stands still")
            stage.fronts[0].send(signal.SIGSTOP)
        thaw = time.monotonic() + FREEZE_S

        jobs = [secrets.token_hex(8) for _ in range(JOBS)]
        await asyncio.gather(
            *(give_up(stage, job, document, cancelled) for job in jobs)
        )
        await asyncio.sleep(max(0, thaw - time.monotonic()))
        if trouble:
            stage.fronts[0].send(signal.SIGCONT)
            stage.write("front 0 goes on")
        await asyncio.sleep(CANCEL_S + STOP_S + 3)
        for job in jobs:
            answer = await stage.ask("GET", PREFIX + job, front=1)
            stage.write(f"{job}: {answer}, started: {starts.get(job, [])}")
        return broken
    finally:
        await stage.stop()


if __name__ == "__main__":
    folder = pathlib.Path(__file__).resolve().parent
    sys.exit(main(play, folder))

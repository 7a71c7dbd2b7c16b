"""A burst of jobs comes to a queue whose steps need advice."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import rehearsal  # noqa: E402

HOST, PREFIX = "pule25.example", "/tije37/"
SERVICE = "desk"
MINIONS = 9
# A call on all nine minions takes 200 + 9 x 50 = 650 ms.
TERMS = {"decision-ms": 200, "per-worker-ms": 50, "valid-ms": 3000}
STEP = {"count": 2, "cpu": 500, "mem-mb": 200, "estimated-ms": 400}
JOBS_PER_S = 1.0
TRAFFIC_S = 24.0
BURST_AT_S = 6.0
BURST_S = 4.0
BURST_FACTOR = 2.6
FINISH_S = 14.0
QUIET_S = 3.0


async def submit_jobs(stage, caller):
    """Submits jobs at a steady rate, and faster during the burst."""
    async with asyncio.TaskGroup() as group:
        begin = stage.record.now()
        while (passed := stage.record.now() - begin) < TRAFFIC_S:
            group.create_task(caller.submit(PREFIX, [STEP]))
            in_burst = BURST_AT_S <= passed < BURST_AT_S + BURST_S
            factor = BURST_FACTOR if in_burst and rehearsal.trouble() else 1
            await asyncio.sleep(1 / (JOBS_PER_S * factor))


async def case(stage):
    """Plays the case and returns the broken rules."""
    caller = rehearsal.Caller(stage, HOST)
    world = rehearsal.AdvisedWorld(stage, caller)
    advice = rehearsal.Advice(world, TERMS)
    await rehearsal.Service(stage.advice, advice.handle).start()
    await rehearsal.Service(stage.cloud, rehearsal.Cloud(world).handle).start()
    world.minions = [
        rehearsal.Minion(world, f"i-{n}", SERVICE, n) for n in range(MINIONS)
    ]
    await stage.start()
    operator = rehearsal.Operator(stage)
    route = rehearsal.make_route(1, HOST, PREFIX, SERVICE, advice=TERMS)
    await operator.configure(7, [route], [SERVICE])
    tasks = [asyncio.create_task(each.run()) for each in world.minions]
    await asyncio.sleep(4)
    await submit_jobs(stage, caller)
    await asyncio.sleep(FINISH_S)
    broken = await world.find_idle_jobs(PREFIX, SERVICE, QUIET_S)
    stage.record.write(
        "verdict",
        f"{len(caller.accepted)} jobs accepted, {len(broken)} with nothing"
        f" running {FINISH_S} s after the end of the traffic",
    )
    for task in tasks:
        task.cancel()
    return broken


if __name__ == "__main__":
    rehearsal.play(pathlib.Path(__file__).parent, case)

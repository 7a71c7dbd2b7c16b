"""A route is removed whose prefix begins with that of another route."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import rehearsal  # noqa: E402

HOST = "jepu9.example"
OUTER, INNER = "/bobo563/", "/bobo563/lo7/"
OUTER_SERVICE, INNER_SERVICE = "roster", "crusade"
MINIONS = 6
STEP = {"count": 2, "cpu": 1000, "mem-mb": 200, "estimated-ms": 400}
LASTING = {
    "count": 2,
    "cpu": 1000,
    "mem-mb": 200,
    "estimated-ms": 500,
    "long-running": True,
}
# `config-apply-ms`, `visible_ms`, and `cancel_ms` with `stop-ms`, in s.
APPLY_S, VISIBLE_S, CANCEL_S = 2.0, 3.0, 3.2


async def case(stage):
    """Plays the case and returns the broken rules."""
    caller = rehearsal.Caller(stage, HOST)
    world = rehearsal.World(stage, caller)
    await rehearsal.Service(stage.cloud, rehearsal.Cloud(world).handle).start()
    services = [OUTER_SERVICE, INNER_SERVICE]
    world.minions = [
        rehearsal.Minion(world, f"i-{n}", services[n % 2], n)
        for n in range(MINIONS)
    ]
    await stage.start()
    operator = rehearsal.Operator(stage)
    routes = [
        rehearsal.make_route(1, HOST, OUTER, OUTER_SERVICE),
        rehearsal.make_route(2, HOST, INNER, INNER_SERVICE),
    ]
    await operator.configure(7, routes, services)
    tasks = [asyncio.create_task(each.run()) for each in world.minions]
    await asyncio.sleep(4)
    done = [await caller.submit(INNER, [STEP]) for _ in range(3)]
    lasting = [await caller.submit(INNER, [LASTING]) for _ in range(2)]
    if None in done + lasting:
        raise rehearsal.CannotRunError("a job isn't accepted")
    await asyncio.sleep(VISIBLE_S + 1)
    broken = await find_lost(caller, done + lasting)
    if broken:
        raise rehearsal.CannotRunError("lost before the disruption")
    if rehearsal.trouble():
        await operator.configure(9, routes[:1], services)
    await asyncio.sleep(APPLY_S + 1)
    broken = await find_lost(caller, done + lasting)
    broken += await find_uncancelled(caller, world, lasting)
    for task in tasks:
        task.cancel()
    return broken


async def find_lost(caller, job_ids):
    """Returns the accepted jobs that a GET answers with 410."""
    broken = []
    for job_id in job_ids:
        said = await caller.state(INNER, job_id)
        if said == "410":
            broken.append(
                f"LOST: GET {INNER}{job_id} is answered 410; the job was"
                f" accepted at {caller.accepted[job_id]:.3f} s, and nobody"
                " has cancelled it"
            )
    return broken


async def find_uncancelled(caller, world, job_ids):
    """Cancels lasting jobs; returns those whose tasks run on after that.

    Only a 2xx or a 410 acknowledges a cancellation.
    """
    acknowledged = {}
    for job_id in job_ids:
        answer = await caller.request("DELETE", INNER + job_id)
        if answer is not None and answer.status in (200, 410):
            acknowledged[job_id] = answer.status
    await asyncio.sleep(CANCEL_S + 1)
    return [
        f"UNASKED: {task} runs on over {CANCEL_S} s after the DELETE of its"
        f" job was answered {acknowledged[task.partition('.')[0]]}"
        for task, runs in world.live.items()
        if runs and task.partition(".")[0] in acknowledged
    ]


if __name__ == "__main__":
    rehearsal.play(pathlib.Path(__file__).parent, case)

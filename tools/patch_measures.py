"""Measurements of the fleet versions: roll-out, fail-over and restart."""

import json
import time

import trio
from patch_operators import (
    POLL_INTERVAL_S,
    read_applied,
    to_operation,
    wall_ms,
)
from patch_records import ACCEPTED

PATCH_COUNT = 200
PATCH_INTERVAL_S = 0.1
LEADER_KILLS = 8
RESTART_VERSIONS = 500
RESTARTS = 5
RETRY_INTERVAL_S = 0.02
SETTLE_DELAY_S = 3.0
TIMEOUT_S = 60.0


def quantile(values, share):
    """Returns the smallest value that a share of the values do not exceed."""
    ordered = sorted(values)
    index = max(0, -(-len(ordered) * share // 100) - 1)
    return ordered[int(index)]


def summarize(values):
    """Returns count, median, 99th percentile and largest value."""
    return {
        "count": len(values),
        "p50": quantile(values, 50),
        "p99": quantile(values, 99),
        "most": max(values),
    }


async def submit_next(operators, node_id):
    """Submits one patch against the newest version; returns the Sending."""
    operators.number += 1
    value = operators.number
    return await operators.send(
        node_id,
        f"p{value}",
        operators.accepted_version,
        value,
        [to_operation(value)],
    )


async def measure_rollout(soak):
    """Returns ms from accept to in force on all entries, by version.

    Accepted is the time at which the operator has the answer; an entry may
    apply a version before that, which counts as 0 ms.
    """
    operators, accepted_ms = soak.operators, {}
    while len(accepted_ms) < PATCH_COUNT:
        node_id = operators.nodes[len(accepted_ms) % len(operators.nodes)]
        attempt = await submit_next(operators, node_id)
        if attempt.outcome == ACCEPTED:
            accepted_ms[attempt.version] = attempt
        await trio.sleep(PATCH_INTERVAL_S)
    await trio.sleep(SETTLE_DELAY_S)
    applied = read_applied(soak.runner.deployment)
    from_sent, from_answer, missing = [], [], 0
    for version, attempt in accepted_ms.items():
        times = {}
        for item in applied:
            if item.version >= version:
                known = times.get(item.process, item.wall_ms)
                times[item.process] = min(known, item.wall_ms)
        if len(times) < len(operators.nodes):
            missing += 1
            continue
        last_ms = max(times.values())
        from_sent.append(last_ms - attempt.sent_ms)
        from_answer.append(max(0, last_ms - attempt.ended_ms))
    return {
        "from_sent_ms": summarize(from_sent),
        "from_answer_ms": summarize(from_answer),
        "not_in_force": missing,
    }


async def measure_failover(soak):
    """Returns ms from a kill of the leader to the next accepted patch.

    All other controls are asked at once, so that a request that waits for
    the lost leader does not delay the others.
    """
    durations = []
    for _ in range(LEADER_KILLS):
        leader = await soak.injector.find_leader()
        process = soak.runner.processes[f"control/{leader}"]
        others = [n for n in soak.operators.nodes if n != leader]
        from_ms = wall_ms()
        await process.kill()
        done = []
        with trio.fail_after(TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                for node_id in others:
                    nursery.start_soon(
                        retry, soak.operators, node_id, nursery, done
                    )
        durations.append(done[0] - from_ms)
        await process.start()
        await soak.runner.wait_healthy([process.name])
        await trio.sleep(SETTLE_DELAY_S)
    return {"durations_ms": durations, **summarize(durations)}


async def retry(operators, node_id, nursery, done):
    """Submits patches to one control until one of any is accepted."""
    while not done:
        attempt = await submit_next(operators, node_id)
        if attempt.outcome == ACCEPTED and not done:
            done.append(attempt.ended_ms)
            nursery.cancel_scope.cancel()
        operators.accepted_version = max(
            operators.accepted_version, attempt.version
        )
        await trio.sleep(RETRY_INTERVAL_S)


async def measure_restart(soak):
    """Returns ms until a restarted control shows the newest version.

    Before that many changes are accepted; a control with a disk and one
    without are killed in turn.
    """
    operators = soak.operators
    while operators.accepted_version < RESTART_VERSIONS:
        attempt = await submit_next(operators, operators.nodes[0])
        operators.accepted_version = max(
            operators.accepted_version, attempt.version
        )
    result = {"versions": operators.accepted_version}
    for node_id in ("lekki-1", "ikeja-3"):
        durations = []
        for _ in range(RESTARTS):
            process = soak.runner.processes[f"control/{node_id}"]
            await process.kill()
            from_s = time.monotonic()
            await process.start()
            with trio.fail_after(TIMEOUT_S):
                await wait_applied(soak, node_id)
            durations.append(round((time.monotonic() - from_s) * 1000))
        result[node_id] = {"durations_ms": durations, **summarize(durations)}
    return result


async def wait_applied(soak, node_id):
    """Waits until a control itself has applied all that was accepted."""
    leader = await soak.injector.find_leader()
    name = f"control/{leader}"
    wanted = (await soak.runner.metrics(name))["gauges"]
    index = wanted["consensus_applied_index"]
    while True:
        metrics = await soak.runner.metrics(f"control/{node_id}")
        if metrics is not None:
            gauges = metrics["gauges"]
            if gauges.get("consensus_applied_index", 0) >= index:
                return
        await trio.sleep(POLL_INTERVAL_S / 10)


async def measure(soak):
    """Prints all measurements."""
    for name, part in (
        ("rollout", measure_rollout),
        ("failover", measure_failover),
        ("restart", measure_restart),
    ):
        print(name, json.dumps(await part(soak), indent=2))

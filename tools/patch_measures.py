"""Measurements of fleet versions: roll-out, fail-over and restart."""

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


def percentile(values, percent):
    """Returns a percentile by the nearest-rank method.

    Args:
        values: Non-empty sequence of numbers.
        percent: Percentile, from 0 to 100.
    """
    ordered = sorted(values)
    index = max(0, -(-len(ordered) * percent // 100) - 1)
    return ordered[int(index)]


def summarize(values):
    """Returns count, median, 99th percentile and maximum of values."""
    return {
        "count": len(values),
        "p50": percentile(values, 50),
        "p99": percentile(values, 99),
        "most": max(values),
    }


async def submit_next(operators, node_id):
    """Submits one patch against the newest version once.

    Returns:
        SubmitAttempt.
    """
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
    """Returns how long versions take to be in force on all entries, in ms.

    The time is measured once from the request and once from the answer that
    accepts the patch. An entry may apply a version before the operator has
    the answer, which counts as 0 ms.
    """
    operators, attempts_by_version = soak.operators, {}
    while len(attempts_by_version) < PATCH_COUNT:
        node_id = operators.nodes[
            len(attempts_by_version) % len(operators.nodes)
        ]
        attempt = await submit_next(operators, node_id)
        if attempt.outcome == ACCEPTED:
            attempts_by_version[attempt.version] = attempt
        await trio.sleep(PATCH_INTERVAL_S)
    await trio.sleep(SETTLE_DELAY_S)
    applied = read_applied(soak.runner.deployment)
    from_sent_ms, from_answer_ms, missing = [], [], 0
    for version, attempt in attempts_by_version.items():
        applied_ms = {}
        for item in applied:
            if item.version >= version:
                earliest_ms = applied_ms.get(item.process, item.wall_ms)
                applied_ms[item.process] = min(earliest_ms, item.wall_ms)
        if len(applied_ms) < len(operators.nodes):
            missing += 1
            continue
        last_ms = max(applied_ms.values())
        from_sent_ms.append(last_ms - attempt.sent_ms)
        from_answer_ms.append(max(0, last_ms - attempt.ended_ms))
    return {
        "from_sent_ms": summarize(from_sent_ms),
        "from_answer_ms": summarize(from_answer_ms),
        "not_in_force": missing,
    }


async def measure_failover(soak):
    """Returns the ms from a kill of the leader to the next accepted patch.

    Patches are submitted to all other controls at once, so that a request
    that waits for the lost leader does not delay the others.
    """
    durations_ms = []
    for _ in range(LEADER_KILLS):
        leader = await soak.injector.find_leader()
        process = soak.runner.processes[f"control/{leader}"]
        others = [n for n in soak.operators.nodes if n != leader]
        from_ms = wall_ms()
        await process.kill()
        accepted_at_ms = []
        with trio.fail_after(TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                for node_id in others:
                    nursery.start_soon(
                        retry, soak.operators, node_id, nursery, accepted_at_ms
                    )
        durations_ms.append(accepted_at_ms[0] - from_ms)
        await process.start()
        await soak.runner.wait_healthy([process.name])
        await trio.sleep(SETTLE_DELAY_S)
    return {"durations_ms": durations_ms, **summarize(durations_ms)}


async def retry(operators, node_id, nursery, accepted_at_ms):
    """Submits patches to one control until any control accepts one.

    Args:
        operators: Operators.
        node_id: Id of the control.
        nursery: Nursery of the retries to all controls; it is cancelled.
        accepted_at_ms: List to which the time of the acceptance is added.
    """
    while not accepted_at_ms:
        attempt = await submit_next(operators, node_id)
        if attempt.outcome == ACCEPTED and not accepted_at_ms:
            accepted_at_ms.append(attempt.ended_ms)
            nursery.cancel_scope.cancel()
        operators.accepted_version = max(
            operators.accepted_version, attempt.version
        )
        await trio.sleep(RETRY_INTERVAL_S)


async def measure_restart(soak):
    """Returns the ms until a restarted control has the newest version.

    First, patches are submitted up to version RESTART_VERSIONS. Then a
    control with a disk and one without are each killed several times.
    """
    operators = soak.operators
    while operators.accepted_version < RESTART_VERSIONS:
        attempt = await submit_next(operators, operators.nodes[0])
        operators.accepted_version = max(
            operators.accepted_version, attempt.version
        )
    result = {"versions": operators.accepted_version}
    for node_id in ("lekki-1", "ikeja-3"):
        durations_ms = []
        for _ in range(RESTARTS):
            process = soak.runner.processes[f"control/{node_id}"]
            await process.kill()
            from_s = time.monotonic()
            await process.start()
            with trio.fail_after(TIMEOUT_S):
                await wait_applied(soak, node_id)
            durations_ms.append(round((time.monotonic() - from_s) * 1000))
        result[node_id] = {
            "durations_ms": durations_ms,
            **summarize(durations_ms),
        }
    return result


async def wait_applied(soak, node_id):
    """Waits until a control has applied what the leader has applied."""
    leader = await soak.injector.find_leader()
    name = f"control/{leader}"
    leader_gauges = (await soak.runner.metrics(name))["gauges"]
    index = leader_gauges["consensus_applied_index"]
    while True:
        metrics = await soak.runner.metrics(f"control/{node_id}")
        if metrics is not None:
            gauges = metrics["gauges"]
            if gauges.get("consensus_applied_index", 0) >= index:
                return
        await trio.sleep(POLL_INTERVAL_S / 10)


async def measure(soak):
    """Runs and prints all measurements."""
    for title, measurement in (
        ("roll-out, durations in ms:", measure_rollout),
        ("fail-over, durations in ms:", measure_failover),
        ("restart, durations in ms:", measure_restart),
    ):
        print(title, json.dumps(await measurement(soak), indent=2))

"""Pace of the tasks that fill, so that serving tasks keep their target.

The reading of a serving task is a rough tail over the last half second,
and a new rate takes effect about 100 ms after the answer.
"""

# Share of the target above which filling tasks are slowed down.
SLOW_DOWN_SHARE = 0.85
# Share of the target below which they are sped up again.
SPEED_UP_SHARE = 0.6
# Factor of the slow-down; three readings in a row nearly stop them.
SLOW_DOWN_FACTOR = 0.5
# Percent added by a reading that leaves room.
SPEED_UP_STEP = 10
FULL = 100
# Below this the tasks that fill are stopped instead of slowed.
LEAST = 8


def pace_fills(worker, orders):
    """Sets the rate of the tasks that fill from the newest reading."""
    worst = 0.0
    fills = []
    for row in worker.report.running:
        step = worker.runs.get((row.task, row.run))
        if step is None:
            continue
        if step.fills:
            fills.append(row)
        elif step.target_ms:
            worst = max(worst, row.measurement / step.target_ms)
    if not fills:
        worker.fill_percent = FULL
        return
    percent = worker.fill_percent
    if worst > SLOW_DOWN_SHARE:
        percent = int(percent * SLOW_DOWN_FACTOR)
        percent = percent if percent >= LEAST else 0
    elif worst < SPEED_UP_SHARE:
        percent = min(FULL, percent + SPEED_UP_STEP)
    if percent != worker.fill_percent or percent != FULL:
        orders.rates += [(row.task, row.run, percent) for row in fills]
    worker.fill_percent = percent

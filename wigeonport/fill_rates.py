"""Rates of filler tasks, so that serving tasks meet their latency target.

Filler tasks use the capacity that serving tasks leave idle. A serving task
reports an approximate tail latency over the last half second, and a new rate
takes effect about 100 ms after the answer.
"""

# Share of the latency target above which filler tasks are slowed down.
SLOW_DOWN_SHARE = 0.85
# Share of the latency target below which they are sped up again.
SPEED_UP_SHARE = 0.6
# Factor on the rate at each slow-down; three in a row nearly stop them.
SLOW_DOWN_FACTOR = 0.5
# Percentage points added to the rate at each speed-up.
SPEED_UP_PERCENT = 10
FULL_RATE_PERCENT = 100
# Filler tasks are stopped instead of slowed down below this rate.
MIN_RATE_PERCENT = 8


def update_fill_rates(worker, orders):
    """Sets the rate of a worker's filler tasks from its newest report."""
    highest_share = 0.0
    fills = []
    for row in worker.report.running:
        step = worker.runs.get((row.task, row.run))
        if step is None:
            continue
        if step.fills:
            fills.append(row)
        elif step.target_ms:
            highest_share = max(
                highest_share, row.measurement / step.target_ms
            )
    if not fills:
        worker.fill_percent = FULL_RATE_PERCENT
        return
    percent = worker.fill_percent
    if highest_share > SLOW_DOWN_SHARE:
        percent = int(percent * SLOW_DOWN_FACTOR)
        percent = percent if percent >= MIN_RATE_PERCENT else 0
    elif highest_share < SPEED_UP_SHARE:
        percent = min(FULL_RATE_PERCENT, percent + SPEED_UP_PERCENT)
    if percent != worker.fill_percent or percent != FULL_RATE_PERCENT:
        orders.rates += [(row.task, row.run, percent) for row in fills]
    worker.fill_percent = percent

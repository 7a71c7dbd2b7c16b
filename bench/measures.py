"""Load generators, series and process figures for the benchmarks."""

import os
import pathlib
import statistics
import time
from collections import Counter

import httpcore
import trio
from hdrh.histogram import HdrHistogram

MAX_LATENCY_US = 60_000_000
SIGNIFICANT_FIGURES = 3
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class LoadResult:
    """Result of one run of a load generator.

    Attributes:
        rate_per_s: Requests a second: completed ones of a closed loop,
            scheduled ones at a fixed rate.
        latency_us: Histogram of the latency of all requests, in us.
        failed: Number of requests with a status other than 200.
        reasons: Counter of the failed requests by status and reason.
    """

    __slots__ = ("rate_per_s", "latency_us", "failed", "reasons")

    def __init__(self):
        self.rate_per_s = 0.0
        self.latency_us = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_FIGURES)
        self.failed = 0
        self.reasons = Counter()

    def percentile_ms(self, percentile):
        """Returns a percentile of the latency in ms."""
        value_us = self.latency_us.get_value_at_percentile(percentile)
        return value_us / 1_000


async def call_once(pool, url, result, due_ns=None):
    """Sends one request and records its latency.

    The latency is counted from ``due_ns`` if given, so that it includes the
    delay of a request that starts late.
    """
    started_ns = time.monotonic_ns() if due_ns is None else due_ns
    response = await pool.request("GET", url)
    if response.status != 200:
        result.failed += 1
        reason = dict(response.headers).get(b"wigeonport-reason", b"")
        result.reasons[f"{response.status} {reason.decode('latin-1')}"] += 1
    elapsed_us = (time.monotonic_ns() - started_ns) // 1_000
    result.latency_us.record_value(max(1, elapsed_us))


async def run_closed_loop(url, callers, seconds):
    """Runs callers that each send a request once the last is answered."""
    result = LoadResult()
    started_s = time.monotonic()

    async def call(pool):
        while time.monotonic() - started_s < seconds:
            await call_once(pool, url, result)

    pool = httpcore.AsyncConnectionPool(max_connections=callers)
    async with pool, trio.open_nursery() as nursery:
        for _ in range(callers):
            nursery.start_soon(call, pool)
    elapsed_s = time.monotonic() - started_s
    result.rate_per_s = result.latency_us.get_total_count() / elapsed_s
    return result


async def run_fixed_rate(url, rate_per_s, seconds, max_connections=64):
    """Sends requests at a fixed rate, without waiting for answers."""
    result = LoadResult()
    count = int(rate_per_s * seconds)
    async with httpcore.AsyncConnectionPool(
        max_connections=max_connections
    ) as pool:
        started_ns = time.monotonic_ns()
        async with trio.open_nursery() as nursery:
            for number in range(count):
                due_ns = started_ns + int(number / rate_per_s * 1e9)
                wait_s = (due_ns - time.monotonic_ns()) / 1e9
                await trio.sleep(max(0, wait_s))
                nursery.start_soon(call_once, pool, url, result, due_ns)
    result.rate_per_s = rate_per_s
    return result


class Series:
    """Values of one figure over several rounds.

    Its text is the median with the minimum and maximum.

    Attributes:
        values: One value for each round.
    """

    __slots__ = ("values",)

    def __init__(self):
        self.values = []

    @property
    def median(self):
        """The median of the values."""
        return statistics.median(self.values)

    def __str__(self):
        low, high = min(self.values), max(self.values)
        return f"{self.median:.2f} ({low:.2f} to {high:.2f})"


def read_cpu_s(pid):
    """Returns the processor time that a process has used, in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rsplit(")", 1)[1].split()
    # User and system time are fields 14 and 15 of the file; field 3 is the
    # first one after the process name in parentheses.
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def read_resident_mb(pid):
    """Returns the resident memory of a process in MB (2**20 bytes)."""
    text = pathlib.Path(f"/proc/{pid}/statm").read_text()
    return int(text.split()[1]) * PAGE_BYTES / 2**20


def describe_machine():
    """Returns the number of cores and the load averages as text."""
    loads = ", ".join(f"{value:.1f}" for value in os.getloadavg())
    return f"{os.cpu_count()} cores, load averages {loads}"


def fit_line(points):
    """Fits a line to (x, y) pairs by least squares.

    Returns:
        Slope and intercept.
    """
    regression = statistics.linear_regression(
        [x for x, _ in points], [y for _, y in points]
    )
    return regression.slope, regression.intercept

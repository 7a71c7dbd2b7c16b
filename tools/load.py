"""Load generator: HTTP callers with rotating demand.

Writes one JSON line for each sending of a request, with the outcome that the
caller received. ``outcomes.py`` compares these lines with the run logs of
the endpoints.
"""

import argparse
import json
import pathlib
import random
import sys
import time
from collections import Counter

import httpcore
import trio
from callers import CallerOptions, make_call, perform_call
from demands import generate_arrivals
from hdrh.histogram import HdrHistogram

from wigeonport.channels import Mailbox

SERVICES = ("routedesk", "roster", "cortege", "crusade", "notices")
MAX_QUEUED_RESULTS = 1_024
MAX_OPEN_CALLS = 1_000
MAX_LATENCY_US = 600_000_000
SIGNIFICANT_FIGURES = 3
PERCENTILES = (50, 90, 99, 99.9)


class Summary:
    """Counts and latencies of a run.

    Attributes:
        outcomes: Maps an outcome to its number of sendings.
        reasons: Maps ``OUTCOME: REASON`` to its number of sendings, without
            the completed ones.
        latency_us: Histogram of the latency of completed sendings.
        unsent: Arrivals that were dropped because MAX_OPEN_CALLS were open.
    """

    __slots__ = ("outcomes", "reasons", "latency_us", "unsent")

    def __init__(self):
        self.outcomes = Counter()
        self.reasons = Counter()
        self.latency_us = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_FIGURES)
        self.unsent = 0

    def add(self, sending):
        """Adds the result of one sending."""
        self.outcomes[sending.outcome] += 1
        if sending.outcome == "completed":
            elapsed_us = (sending.ended_ms - sending.sent_ms) * 1_000
            self.latency_us.record_value(max(1, elapsed_us))
        else:
            self.reasons[f"{sending.outcome}: {sending.reason}"] += 1

    def to_document(self):
        """Returns the summary as JSON-compatible data."""
        latency_ms = {
            f"p{percentile:g}": self.latency_us.get_value_at_percentile(
                percentile
            )
            / 1_000
            for percentile in PERCENTILES
        }
        return {
            "outcomes": dict(self.outcomes),
            "reasons": dict(self.reasons.most_common(10)),
            "latency_ms": latency_ms,
            "unsent": self.unsent,
        }


async def record_results(inbound, path, summary):
    """Writes each sending to the callers' log, and adds it to the summary.

    This task is the only one that owns the file.
    """
    with open(path, "a", encoding="utf-8", buffering=1) as stream:
        async for sending in inbound:
            summary.add(sending)
            stream.write(sending.to_line())


async def run_load(arrivals, options, path, seed):
    """Sends a request at each arrival; returns the Summary.

    Args:
        arrivals: Arrivals in order of time.
        options: CallerOptions.
        path: Path of the callers' log.
        seed: Seed of the random properties of the requests.
    """
    results = Mailbox("results", MAX_QUEUED_RESULTS)
    summary = Summary()
    pool = httpcore.AsyncConnectionPool(
        max_connections=MAX_OPEN_CALLS, keepalive_expiry=5.0
    )
    start_ms = time.monotonic() * 1_000
    # Keeps the tags unique if several runs write to the same logs.
    run_id = f"{time.time_ns() // 1_000_000:x}-{seed}"
    async with trio.open_nursery() as nursery:
        nursery.start_soon(record_results, results, path, summary)
        async with pool, trio.open_nursery() as call_nursery:
            for number, arrival in enumerate(arrivals):
                wait_ms = start_ms + arrival.at_ms - time.monotonic() * 1_000
                await trio.sleep(max(wait_ms, 0) / 1_000)
                if len(call_nursery.child_tasks) >= MAX_OPEN_CALLS:
                    summary.unsent += 1
                    continue
                request_random = random.Random(f"{seed}-{number}")
                call = make_call(
                    f"{run_id}-{number}",
                    arrival.service,
                    request_random,
                    options,
                )
                call_nursery.start_soon(
                    perform_call,
                    pool,
                    call,
                    request_random,
                    options,
                    results.put,
                )
        results.close()
    return summary


def parse_options(arguments):
    """Returns the parsed command line options."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entry", action="append", required=True)
    parser.add_argument("--service", action="append")
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--rate", type=float, default=10)
    parser.add_argument("--turn-ms", type=int, default=4_000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--keyed-share", type=float, default=0.2)
    parser.add_argument("--post-share", type=float, default=0.2)
    parser.add_argument("--resend-share", type=float, default=0.1)
    parser.add_argument("--fail-share", type=float, default=0.0)
    parser.add_argument("--delay-ms", type=int, default=40)
    parser.add_argument("--log", type=pathlib.Path, default="callers.jsonl")
    return parser.parse_args(arguments)


def main(arguments=None):
    """Runs the load and prints its summary as JSON."""
    options = parse_options(arguments)
    caller_options = CallerOptions(
        options.entry,
        options.keyed_share,
        options.post_share,
        options.resend_share,
        options.fail_share,
        options.delay_ms,
    )
    arrivals = generate_arrivals(
        options.service or list(SERVICES),
        options.seconds * 1_000,
        options.rate,
        options.turn_ms,
        random.Random(options.seed),
    )
    summary = trio.run(
        run_load, arrivals, caller_options, options.log, options.seed
    )
    json.dump(summary.to_document(), sys.stdout, indent=2)
    print()


if __name__ == "__main__":
    main()

"""Load tool: HTTP callers with rotating demand.

Every sending of a request becomes one JSON line with what the caller was
told. ``outcomes.py`` compares these lines with the endpoints' run logs.
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
from callers import CallerOptions, make_call, perform
from demands import generate_arrivals
from hdrh.histogram import HdrHistogram

from wigeonport.channels import Mailbox

SERVICES = ("routedesk", "roster", "cortege", "crusade", "notices")
RESULTS_BOUND = 1_024
MAX_OPEN_CALLS = 1_000
LARGEST_LATENCY_US = 600_000_000
SIGNIFICANT_FIGURES = 3
PERCENTILES = (50, 90, 99, 99.9)


class Summary:
    """Counts and latency of a run.

    Attributes:
        outcomes: Sendings by outcome.
        reasons: Sendings by outcome and reason, if not completed.
        latency_us: Histogram of the latency of completed requests.
        unsent: Arrivals dropped because too many calls were open.
    """

    __slots__ = ("outcomes", "reasons", "latency_us", "unsent")

    def __init__(self):
        self.outcomes = Counter()
        self.reasons = Counter()
        self.latency_us = HdrHistogram(
            1, LARGEST_LATENCY_US, SIGNIFICANT_FIGURES
        )
        self.unsent = 0

    def add(self, sent):
        """Adds one sending."""
        self.outcomes[sent.outcome] += 1
        if sent.outcome == "completed":
            spent_us = (sent.ended_ms - sent.sent_ms) * 1_000
            self.latency_us.record_value(max(1, spent_us))
        else:
            self.reasons[f"{sent.outcome}: {sent.reason}"] += 1

    def to_document(self):
        """Returns plain data."""
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
    """Owns the callers' log; writes one line for each sending."""
    with open(path, "a", encoding="utf-8", buffering=1) as stream:
        async for sent in inbound:
            summary.add(sent)
            stream.write(sent.to_line())


async def run_load(arrivals, options, path, seed):
    """Sends the arrivals; returns the Summary.

    Args:
        arrivals: Arrivals in order.
        options: CallerOptions.
        path: File of the callers' log.
        seed: Seed of everything random about the requests.
    """
    results = Mailbox("results", RESULTS_BOUND)
    summary = Summary()
    pool = httpcore.AsyncConnectionPool(
        max_connections=MAX_OPEN_CALLS, keepalive_expiry=5.0
    )
    start_ms = time.monotonic() * 1_000
    # Tags stay unique over several runs into the same logs.
    run_id = f"{time.time_ns() // 1_000_000:x}-{seed}"
    async with trio.open_nursery() as nursery:
        nursery.start_soon(record_results, results, path, summary)
        async with pool, trio.open_nursery() as calls:
            for number, arrival in enumerate(arrivals):
                wait_ms = start_ms + arrival.at_ms - time.monotonic() * 1_000
                await trio.sleep(max(wait_ms, 0) / 1_000)
                if len(calls.child_tasks) >= MAX_OPEN_CALLS:
                    summary.unsent += 1
                    continue
                source = random.Random(f"{seed}-{number}")
                call = make_call(
                    f"{run_id}-{number}", arrival.service, source, options
                )
                calls.start_soon(
                    perform, pool, call, source, options, results.put
                )
        results.close()
    return summary


def parse_options(arguments):
    """Returns the options of the command line."""
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

"""Compares queue disciplines under five-fold demand, in virtual time.

The router's own decision code runs without sockets against one service of 6
endpoints with 8 slots each. ``plain`` is a first-in-first-out entry without
limits: it queues everything and serves it in order, however late. Goodput
counts the answers that arrive within the deadlines of their callers.
"""

import argparse
import heapq
import itertools
import random
from collections import deque

from wigeonport.channels import Reply
from wigeonport.endpoints import READY, EndpointChanged, EndpointRecord
from wigeonport.requests import COMPLETED, CallerAnswer, CallerRequest
from wigeonport.router_messages import (
    AttemptEnded,
    Dispatch,
    RouterLimits,
)
from wigeonport.routers import Router

ENDPOINTS = 6
SLOTS = 8
PEAK_MS = (10_000, 20_000)
END_MS = 30_000


class UnboundedFifoEntry:
    """First in, first out, without limits."""

    def __init__(self):
        self.queue = deque()
        self.free_slots = ENDPOINTS * SLOTS

    def step(self, message, now_ms, rng):
        """Queues a request or frees a slot."""
        if isinstance(message, AttemptEnded):
            self.free_slots += 1
        else:
            self.queue.append(message)
        commands = []
        while self.queue and self.free_slots:
            self.free_slots -= 1
            commands.append(
                Dispatch(self.queue.popleft(), ENDPOINT_RECORDS[0])
            )
        return commands

    def tick(self, now_ms, rng):
        """Never gives up."""
        return []


ENDPOINT_RECORDS = [
    EndpointRecord(
        f"e{n}", "roster", "ikeja", "10.0.0.1", 9_000, SLOTS, 64, READY, 1, 1
    )
    for n in range(ENDPOINTS)
]


def make_entry(name):
    """Returns an entry with a discipline, or the plain one."""
    if name == "plain":
        return UnboundedFifoEntry()
    limits = RouterLimits(leased=False, discipline=name)
    router = Router("ikeja", limits)
    for record in ENDPOINT_RECORDS:
        router.step(EndpointChanged(record), 0, random.Random(1))
    return router


def make_request(number, now_ms, deadline_ms):
    """Returns a repeatable request."""
    return CallerRequest(
        str(number),
        "roster",
        "GET",
        b"/",
        [],
        b"",
        None,
        now_ms + deadline_ms,
        now_ms,
        0,
        Reply(),
    )


class Simulation:
    """One run of an entry under the same demand."""

    def __init__(self, name, options):
        self.rng = random.Random(options.seed)
        self.entry = make_entry(name)
        self.options = options
        self.events = []
        self.sequence_numbers = itertools.count()
        self.in_time = []
        self.late_count = 0
        self.refusal_waits_ms = []

    def push(self, time_ms, message):
        """Schedules an event."""
        heapq.heappush(
            self.events, (time_ms, next(self.sequence_numbers), message)
        )

    def schedule_arrivals(self):
        """Schedules all arrivals."""
        mean_rate_per_s = self.options.mean
        now_ms = 0.0
        while now_ms < END_MS:
            in_peak = PEAK_MS[0] <= now_ms < PEAK_MS[1]
            rate_per_s = mean_rate_per_s * (5 if in_peak else 1)
            now_ms += self.rng.expovariate(rate_per_s / 1000)
            deadline_ms = self.rng.choice(self.options.deadlines)
            request = make_request(
                next(self.sequence_numbers), int(now_ms), deadline_ms
            )
            self.push(int(now_ms), request)

    def run(self):
        """Runs until nothing is left to do."""
        self.schedule_arrivals()
        now_ms = 0
        while self.events:
            now_ms, _, message = heapq.heappop(self.events)
            for command in self.entry.tick(now_ms, self.rng):
                self.execute(command, now_ms)
            for command in self.entry.step(message, now_ms, self.rng):
                self.execute(command, now_ms)

    def execute(self, command, now_ms):
        """Starts an attempt or notes an answer."""
        request = command.request
        if isinstance(command, Dispatch):
            answer = CallerAnswer(200, [], b"", COMPLETED)
            attempt_ended = AttemptEnded(
                request, command.record.endpoint_id, answer, True, ""
            )
            spent_ms = self.rng.expovariate(1 / self.options.service_ms)
            attempt_ended.spent_ms = max(1, int(spent_ms))
            end_ms = now_ms + attempt_ended.spent_ms
            self.push(end_ms, attempt_ended)
            if end_ms <= request.deadline_ms:
                self.in_time.append((end_ms, end_ms - request.received_ms))
            else:
                self.late_count += 1
        elif command.answer.outcome != COMPLETED:
            self.refusal_waits_ms.append(now_ms - request.received_ms)


def percentile(values, share):
    """Returns a percentile of a list, or 0 for an empty one."""
    ordered = sorted(values)
    return ordered[int(share * (len(ordered) - 1))] if ordered else 0


def main():
    """Runs all disciplines and prints one line each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--mean", type=float, default=160.0)
    parser.add_argument("--service-ms", type=float, default=100.0)
    parser.add_argument("--seed", type=int, default=7)
    parser.add_argument(
        "--deadlines", type=int, nargs="+", default=[500, 1_000, 2_000]
    )
    options = parser.parse_args()
    capacity_per_s = ENDPOINTS * SLOTS / options.service_ms * 1000
    print(
        f"mean {options.mean:.0f}/s, peak {5 * options.mean:.0f}/s for 10 s, "
        f"capacity {capacity_per_s:.0f}/s, deadlines {options.deadlines} ms"
    )
    print("name      goodput/s  after/s  late  refused  p50  p99  refuse p99")
    for name in ("plain", "fifo", "lifo", "deadline", "adaptive"):
        run = Simulation(name, options)
        run.run()
        peak_latencies_ms = [
            latency_ms
            for end_ms, latency_ms in run.in_time
            if PEAK_MS[0] <= end_ms - latency_ms < PEAK_MS[1]
        ]
        after_peak_latencies_ms = [
            latency_ms
            for end_ms, latency_ms in run.in_time
            if end_ms - latency_ms >= PEAK_MS[1]
        ]
        print(
            f"{name:9} {len(peak_latencies_ms) / 10:9.1f} {len(after_peak_latencies_ms) / 10:8.1f} "
            f"{run.late_count:5} {len(run.refusal_waits_ms):8} "
            f"{percentile(peak_latencies_ms, 0.5):4} {percentile(peak_latencies_ms, 0.99):4} "
            f"{percentile(run.refusal_waits_ms, 0.99):6}"
        )


if __name__ == "__main__":
    main()

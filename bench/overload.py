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
PEAK = (10_000, 20_000)
END_MS = 30_000


class PlainEntry:
    """First in, first out, without limits."""

    def __init__(self):
        self.queue = deque()
        self.free = ENDPOINTS * SLOTS

    def step(self, message, now_ms, chance):
        """Queues a request or frees a slot."""
        if isinstance(message, AttemptEnded):
            self.free += 1
        else:
            self.queue.append(message)
        commands = []
        while self.queue and self.free:
            self.free -= 1
            commands.append(Dispatch(self.queue.popleft(), RECORDS[0]))
        return commands

    def tick(self, now_ms, chance):
        """Never gives up."""
        return []


RECORDS = [
    EndpointRecord(
        f"e{n}", "roster", "ikeja", "10.0.0.1", 9_000, SLOTS, 64, READY, 1, 1
    )
    for n in range(ENDPOINTS)
]


def make_entry(name):
    """Returns an entry with a discipline, or the plain one."""
    if name == "plain":
        return PlainEntry()
    limits = RouterLimits(leased=False, discipline=name)
    router = Router("ikeja", limits)
    for record in RECORDS:
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


class Run:
    """One run of an entry under the same demand."""

    def __init__(self, name, options):
        self.chance = random.Random(options.seed)
        self.entry = make_entry(name)
        self.options = options
        self.events = []
        self.numbers = itertools.count()
        self.good = []
        self.late = 0
        self.refused = []

    def push(self, time_ms, message):
        """Schedules an event."""
        heapq.heappush(self.events, (time_ms, next(self.numbers), message))

    def arrive(self):
        """Schedules all arrivals."""
        mean = self.options.mean
        now_ms = 0.0
        while now_ms < END_MS:
            peak = PEAK[0] <= now_ms < PEAK[1]
            rate = mean * (5 if peak else 1)
            now_ms += self.chance.expovariate(rate / 1000)
            deadline_ms = self.chance.choice(self.options.deadlines)
            request = make_request(
                next(self.numbers), int(now_ms), deadline_ms
            )
            self.push(int(now_ms), request)

    def run(self):
        """Runs until nothing is left to do."""
        self.arrive()
        now_ms = 0
        while self.events:
            now_ms, _, message = heapq.heappop(self.events)
            for command in self.entry.tick(now_ms, self.chance):
                self.perform(command, now_ms)
            for command in self.entry.step(message, now_ms, self.chance):
                self.perform(command, now_ms)

    def perform(self, command, now_ms):
        """Starts an attempt or notes an answer."""
        request = command.request
        if isinstance(command, Dispatch):
            answer = CallerAnswer(200, [], b"", COMPLETED)
            ended = AttemptEnded(
                request, command.record.endpoint_id, answer, True, ""
            )
            duration_ms = self.chance.expovariate(1 / self.options.service_ms)
            ended.duration_ms = max(1, int(duration_ms))
            end_ms = now_ms + ended.duration_ms
            self.push(end_ms, ended)
            if end_ms <= request.deadline_ms:
                self.good.append((end_ms, end_ms - request.received_ms))
            else:
                self.late += 1
        elif command.answer.outcome != COMPLETED:
            self.refused.append(now_ms - request.received_ms)


def percentile(values, share):
    """Returns a percentile of a list, or 0 for an empty one."""
    ranked = sorted(values)
    return ranked[int(share * (len(ranked) - 1))] if ranked else 0


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
    capacity = ENDPOINTS * SLOTS / options.service_ms * 1000
    print(
        f"mean {options.mean:.0f}/s, peak {5 * options.mean:.0f}/s for 10 s, "
        f"capacity {capacity:.0f}/s, deadlines {options.deadlines} ms"
    )
    print("name      goodput/s  after/s  late  refused  p50  p99  refuse p99")
    for name in ("plain", "fifo", "lifo", "deadline", "adaptive"):
        run = Run(name, options)
        run.run()
        peak = [
            spent
            for end_ms, spent in run.good
            if PEAK[0] <= end_ms - spent < PEAK[1]
        ]
        after = [
            spent for end_ms, spent in run.good if end_ms - spent >= PEAK[1]
        ]
        print(
            f"{name:9} {len(peak) / 10:9.1f} {len(after) / 10:8.1f} "
            f"{run.late:5} {len(run.refused):8} "
            f"{percentile(peak, 0.5):4} {percentile(peak, 0.99):4} "
            f"{percentile(run.refused, 0.99):6}"
        )


if __name__ == "__main__":
    main()

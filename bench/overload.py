"""Compares queue disciplines under a peak of demand, in virtual time.

The router's own decision code runs without sockets against one service of 6
endpoints with 8 slots each. ``plain`` is an entry with an unbounded
first-in-first-out queue: it serves every request in order, however late.
Requests arrive for 30 s at the mean rate ``--mean``, but from second 10 to 20
at five times that rate.

Each row of the output gives, for one discipline:

    goodput/s   requests a second that arrive in the peak and are answered
                within the deadline of the caller
    after/s     the same for requests that arrive in the 10 s after the peak
    late        number of answers after the deadline, in the whole run
    refused     number of refused requests, in the whole run
    p50, p99    latency in ms of the requests counted as goodput
    refusal p99 time in ms from arrival to refusal
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
# Start and end of the peak.
PEAK_MS = (10_000, 20_000)
END_MS = 30_000


class UnboundedFifoEntry:
    """A baseline entry: an unbounded first-in-first-out queue.

    Attributes:
        queue: Requests that wait for a slot.
        free_slots: Number of slots without a request.
    """

    def __init__(self):
        self.queue = deque()
        self.free_slots = ENDPOINTS * SLOTS

    def step(self, message, now_ms, rng):
        """Queues a request or frees a slot; returns the dispatches."""
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
        """Returns no commands: a request is never refused."""
        return []


ENDPOINT_RECORDS = [
    EndpointRecord(
        f"e{n}", "roster", "ikeja", "10.0.0.1", 9_000, SLOTS, 64, READY, 1, 1
    )
    for n in range(ENDPOINTS)
]


def make_entry(name):
    """Returns a Router with a queue discipline, or the plain baseline."""
    if name == "plain":
        return UnboundedFifoEntry()
    limits = RouterLimits(leased=False, discipline=name)
    router = Router("ikeja", limits)
    for record in ENDPOINT_RECORDS:
        router.step(EndpointChanged(record), 0, random.Random(1))
    return router


def make_request(number, now_ms, deadline_ms):
    """Returns a request that arrives now, with a relative deadline."""
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
    """One run of an entry under demand that depends only on the options.

    Attributes:
        rng: Seeded random source.
        entry: Router or UnboundedFifoEntry.
        options: Options of the command line.
        events: Heap of (time in ms, sequence number, message).
        sequence_numbers: Numbers that order events of the same time.
        in_time: Pairs (end, latency) in ms, of answers within the deadline.
        late_count: Number of answers after the deadline.
        refusal_waits_ms: Time from arrival to refusal of each refused
            request.
    """

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
        """Schedules a message for the entry."""
        heapq.heappush(
            self.events, (time_ms, next(self.sequence_numbers), message)
        )

    def schedule_arrivals(self):
        """Schedules the arrivals of all requests."""
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
        """Runs until no event is pending."""
        self.schedule_arrivals()
        now_ms = 0
        while self.events:
            now_ms, _, message = heapq.heappop(self.events)
            for command in self.entry.tick(now_ms, self.rng):
                self.execute(command, now_ms)
            for command in self.entry.step(message, now_ms, self.rng):
                self.execute(command, now_ms)

    def execute(self, command, now_ms):
        """Schedules the end of a dispatched attempt, or records a refusal."""
        request = command.request
        if isinstance(command, Dispatch):
            answer = CallerAnswer(200, [], b"", COMPLETED)
            attempt_ended = AttemptEnded(
                request, command.record.endpoint_id, answer, True, ""
            )
            duration_ms = self.rng.expovariate(1 / self.options.service_ms)
            attempt_ended.duration_ms = max(1, int(duration_ms))
            end_ms = now_ms + attempt_ended.duration_ms
            self.push(end_ms, attempt_ended)
            if end_ms <= request.deadline_ms:
                self.in_time.append((end_ms, end_ms - request.received_ms))
            else:
                self.late_count += 1
        elif command.answer.outcome != COMPLETED:
            self.refusal_waits_ms.append(now_ms - request.received_ms)


def percentile(values, share):
    """Returns the value at a share (0 to 1) of a list; 0 if it is empty."""
    ordered = sorted(values)
    return ordered[int(share * (len(ordered) - 1))] if ordered else 0


def main():
    """Runs all disciplines and prints one row each."""
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
    print(
        "p50, p99 and refusal p99 in ms\n"
        "name      goodput/s  after/s  late  refused  p50  p99  refusal p99"
    )
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
            f"{name:9} {len(peak_latencies_ms) / 10:9.1f} "
            f"{len(after_peak_latencies_ms) / 10:8.1f} "
            f"{run.late_count:5} {len(run.refusal_waits_ms):8} "
            f"{percentile(peak_latencies_ms, 0.5):4} "
            f"{percentile(peak_latencies_ms, 0.99):4} "
            f"{percentile(run.refusal_waits_ms, 0.99):6}"
        )


if __name__ == "__main__":
    main()

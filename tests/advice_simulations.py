"""Simulation of queues whose steps need advice, on a manual clock.

The advice service takes the calls in turn, each for the time that the terms
of the queue state, and goes on with a call whose caller has given it up.
"""

import heapq
import itertools
import random

from batch_fixtures import DispatcherHarness, make_queue, make_table

from wigeonport.advisors import Advice, AdviceAnswered, Advisor
from wigeonport.clocks import ManualClock
from wigeonport.metrics import Metrics
from wigeonport.worker_reports import Resources

TICK_MS = 100
HEARTBEAT_MS = 400
# Time from the end of a run to the next heartbeat.
AFTER_END_MS = 50
# Time of a message from one process to another.
LINK_MS = 1
MAX_WAITING = 32


class AdviceService:
    """The advice service.

    Attributes:
        simulation: AdviceSimulation.
        terms: AdviceTerms that hold for its calls.
        skips_left: Whether a call whose caller has left is skipped, unless
            it is being handled.
        lifetime_ms: Actual validity of a ticket, or None if as stated.
        valid_from_begin: Whether a ticket is valid from the moment when the
            call is taken, rather than from the answer.
        refuses: Function of worker id that says whether it is refused.
        outage: Pair of times between which no call is answered.
        slowness: Factor on the stated time of a call.
        waiting: Calls that wait for their turn.
        current: Call that is being handled, or None.
        left: Calls whose caller has given them up.
        answered: Number of calls answered to a caller.
        abandoned: Number of calls that have been given up.
        tickets: Maps ticket to step, worker id and expiry time.
        used: Tickets that a start has carried.
    """

    __slots__ = (
        "simulation",
        "terms",
        "skips_left",
        "lifetime_ms",
        "valid_from_begin",
        "refuses",
        "outage",
        "slowness",
        "waiting",
        "current",
        "left",
        "answered",
        "abandoned",
        "tickets",
        "used",
    )

    def __init__(self, simulation, terms):
        self.simulation = simulation
        self.terms = terms
        self.skips_left = False
        self.lifetime_ms = None
        self.valid_from_begin = False
        self.refuses = lambda worker_id: False
        self.outage = (0, 0)
        self.slowness = 1
        self.waiting = []
        self.current = None
        self.left = set()
        self.answered = 0
        self.abandoned = 0
        self.tickets = {}
        self.used = set()

    def receive(self, call, asked_ms):
        """Receives a call."""
        if len(self.waiting) >= MAX_WAITING:
            self.simulation.after(
                LINK_MS, self.simulation.finish_call, call, None, asked_ms
            )
            return
        self.waiting.append((call, asked_ms))
        self.begin()

    def begin(self):
        """Begins with the next call, if none is being handled."""
        if self.skips_left:
            self.waiting = [
                row for row in self.waiting if row[0] not in self.left
            ]
        if self.current is not None or not self.waiting:
            return
        call, asked_ms = self.current = self.waiting.pop(0)
        took_ms = self.slowness * self.terms.duration_ms(len(call.workers))
        self.simulation.after(
            took_ms, self.answer, call, asked_ms, self.simulation.now_ms
        )

    def answer(self, call, asked_ms, begin_ms):
        """Answers the call that is being handled."""
        self.current = None
        now_ms = self.simulation.now_ms
        silent = self.outage[0] <= now_ms < self.outage[1]
        if call not in self.left and not silent:
            self.answered += 1
            since_ms = begin_ms if self.valid_from_begin else now_ms
            until_ms = since_ms + (self.lifetime_ms or self.terms.valid_ms)
            tickets = {}
            for worker_id in call.workers:
                if not self.refuses(worker_id):
                    ticket = tickets[worker_id] = f"t{len(self.tickets)}"
                    row = (call.step, worker_id, until_ms)
                    self.tickets[ticket] = row
            self.simulation.after(
                LINK_MS,
                self.simulation.finish_call,
                call,
                Advice(tickets, self.terms.valid_ms),
                asked_ms,
            )
        self.begin()

    def accepts(self, ticket, task, worker_id):
        """Returns whether a start may use a ticket, and records its use."""
        step = task.rpartition(".")[0]
        row = self.tickets.get(ticket)
        valid = (
            row is not None
            and row[:2] == (step, worker_id)
            and self.simulation.now_ms < row[2]
        )
        if valid:
            self.used.add(ticket)
        return valid


class AdvisedWorker:
    """A worker that rejects starts without a valid ticket.

    Attributes:
        worker_id: Its id.
        service: Its service.
        runs: Maps pairs of task id and run number to nothing.
        ended: Rows of the ends that have not been reported.
        ends: Number of the last end.
    """

    __slots__ = ("worker_id", "service", "runs", "ended", "ends")

    def __init__(self, worker_id, service):
        self.worker_id = worker_id
        self.service = service
        self.runs = {}
        self.ended = []
        self.ends = 0

    def end(self, key, outcome):
        """Ends a run; returns whether it is the first end to report."""
        self.runs.pop(key, None)
        self.ends += 1
        self.ended.append((self.ends, *key, outcome))
        return len(self.ended) == 1


class AdviceSimulation:
    """Jobs of advised queues, their workers and the advice service.

    Attributes:
        harness: DispatcherHarness.
        advisor: Advisor.
        service: AdviceService.
        workers: AdvisedWorkers.
        capacity: Resources of a worker.
        random: Random source of the heartbeat times.
        events: Heap of time, number, function and arguments.
        numbers: Numbers of the events.
        open_calls: Calls without an answer.
        most_open: Highest number of them at the same time.
        submitted_ms: Maps job id to the time of its submission.
        started_ms: Maps job id to the time of the start of its first task.
        refused_starts: Number of starts that a worker rejected.
    """

    __slots__ = (
        "harness",
        "advisor",
        "service",
        "workers",
        "capacity",
        "random",
        "events",
        "numbers",
        "open_calls",
        "most_open",
        "submitted_ms",
        "started_ms",
        "refused_starts",
    )

    def __init__(self, terms, workers=9, queues=None, seed=1):
        queues = queues or [make_queue(advice=terms)]
        self.harness = DispatcherHarness(make_table(queues=queues))
        self.advisor = Advisor(None, ManualClock(), Metrics())
        self.service = AdviceService(self, terms)
        services = sorted({queue.service for queue in queues})
        self.workers = [
            AdvisedWorker(f"{service}-{number:03}", service)
            for service in services
            for number in range(workers)
        ]
        self.capacity = Resources(16_000, 32_768, 0)
        self.random = random.Random(seed)
        self.events = []
        self.numbers = itertools.count()
        self.open_calls = set()
        self.most_open = 0
        self.submitted_ms = {}
        self.started_ms = {}
        self.refused_starts = 0
        self.after(0, self.tick)
        for worker in self.workers:
            delay_ms = self.random.randrange(HEARTBEAT_MS)
            self.after(delay_ms, self.heartbeat, worker, True)

    @property
    def now_ms(self):
        """Monotonic time."""
        return self.harness.now_ms

    def after(self, delay_ms, function, *arguments):
        """Schedules a function."""
        time_ms = int(self.now_ms + delay_ms)
        row = (time_ms, next(self.numbers), function, arguments)
        heapq.heappush(self.events, row)

    def run(self, duration_ms):
        """Handles the events of the next time."""
        until_ms = self.now_ms + duration_ms
        while self.events and self.events[0][0] <= until_ms:
            time_ms, _, function, arguments = heapq.heappop(self.events)
            self.harness.now_ms = time_ms
            function(*arguments)
        self.harness.now_ms = until_ms

    def tick(self):
        """Runs the timers of the leader."""
        dispatcher = self.harness.dispatcher
        dispatcher.on_tick(self.now_ms, self.now_ms)
        self.advisor.on_tick(dispatcher, self.now_ms)
        self.send_calls()
        self.after(TICK_MS, self.tick)

    def send_calls(self):
        """Sends the calls that the advisor has made."""
        for call in self.advisor.calls.drain(MAX_WAITING):
            self.open_calls.add(call)
            self.most_open = max(self.most_open, len(self.open_calls))
            self.after(LINK_MS, self.service.receive, call, self.now_ms)
            self.after(call.timeout_ms, self.give_up, call, self.now_ms)

    def give_up(self, call, asked_ms):
        """Gives up a call without an answer."""
        if call in self.open_calls:
            self.service.left.add(call)
            self.service.abandoned += 1
            self.finish_call(call, None, asked_ms)

    def finish_call(self, call, advice, asked_ms):
        """Passes an answer, or None, to the advisor."""
        if call not in self.open_calls:
            return
        self.open_calls.remove(call)
        event = AdviceAnswered(call, advice, asked_ms, self.now_ms)
        dispatcher = self.harness.dispatcher
        dispatcher.wall_ms = self.now_ms
        self.advisor.handle_answer(dispatcher, event, self.now_ms)
        self.send_calls()

    def submit(self, job_id, *steps, queue="plans"):
        """Submits a job."""
        self.submitted_ms[job_id] = self.now_ms
        return self.harness.submit(*steps, job_id=job_id, queue=queue)

    def heartbeat(self, worker, regular):
        """Sends a heartbeat and carries out the orders in answer."""
        if regular:
            self.after(HEARTBEAT_MS, self.heartbeat, worker, True)
        ended, worker.ended = worker.ended, []
        orders = self.harness.heartbeat(
            worker.worker_id,
            [(*key, "", 50) for key in worker.runs],
            ended,
            service=worker.service,
            capacity=self.capacity,
        )
        for start in orders.starts:
            self.start(worker, start)

    def start(self, worker, start):
        """Starts a run, or rejects it for want of a valid ticket."""
        key = (start.task, start.run)
        dispatcher = self.harness.dispatcher
        job, step_run, _ = dispatcher.find_task(start.task)
        if not self.service.accepts(
            start.ticket, start.task, worker.worker_id
        ):
            self.refused_starts += 1
            self.end(worker, key, "refused")
            return
        worker.runs[key] = True
        self.started_ms.setdefault(job.job_id, self.now_ms)
        self.after(step_run.step.estimated_ms, self.end, worker, key, "done")

    def end(self, worker, key, outcome):
        """Ends a run, and sends a heartbeat soon."""
        if worker.end(key, outcome):
            self.after(AFTER_END_MS, self.heartbeat, worker, False)

    def waits_ms(self, job_ids):
        """Returns the times from submission to start; None if not started."""
        return [
            self.started_ms[job_id] - self.submitted_ms[job_id]
            if job_id in self.started_ms
            else None
            for job_id in job_ids
        ]

"""Advice on which workers may run a step, requested ahead of time.

The decision on a worker holds for its incarnation; a ticket is valid for a
limited time. The advice service handles the calls of one machine in turn, each
for the time that the terms of the queue state. A second open call would only
wait for the first, and a call that is given up still takes its turn. So one
call is open at a time, and it is given up only after its stated time.
"""

from expression import Error

from wigeonport.advice_needs import find_all_needs
from wigeonport.advice_tickets import usable_until_ms
from wigeonport.advice_turns import CallTurns
from wigeonport.channels import REFUSE, Mailbox
from wigeonport.logs import PartLogger

logger = PartLogger("advice")

# Time beyond the stated one after which a call is given up.
CALL_MARGIN_MS = 2_000
# Pause after a failed call. It doubles with each further failure, and so does
# the margin, so that calls do not pile up at a service that is slow.
RETRY_MS = 500
MAX_DOUBLINGS = 3
# Interval of the log lines about steps that no call could help.
REPORT_INTERVAL_MS = 3_000
# Maximum length of an error in the log; it may quote a value.
MAX_FAULT_LENGTH = 300


class Advice:
    """An answer of the advice service.

    Attributes:
        tickets: Maps the id of each worker that may run the step to its
            ticket, or to None if the answer about it could not be read.
        valid_ms: Validity of the tickets as the answer states it, or None.
    """

    __slots__ = ("tickets", "valid_ms")

    def __init__(self, tickets, valid_ms=None):
        self.tickets = tickets
        self.valid_ms = valid_ms


class AdviceCall:
    """A request for the tickets of workers for a step.

    Attributes:
        step: Step id, ``job.occurrence.step``.
        workers: Maps worker id to incarnation.
        duration_ms: Duration of the call, as the queue's terms state it.
        valid_ms: Validity of a ticket, as the terms state it.
        ahead: Whether there is no room for the step yet.
        timeout_ms: Time after which the call is given up.
        term: Term of the leader.
    """

    __slots__ = (
        "step",
        "workers",
        "duration_ms",
        "valid_ms",
        "ahead",
        "timeout_ms",
        "term",
    )

    def __init__(self, need, timeout_ms, term):
        self.step = need.step
        self.workers = {
            worker.report.worker_id: worker.incarnation
            for worker in need.workers
        }
        self.duration_ms = need.duration_ms
        self.valid_ms = need.ranked_job.queue.advice.valid_ms
        self.ahead = need.ahead
        self.timeout_ms = timeout_ms
        self.term = term


class AdviceAnswered:
    """Message: an AdviceCall has been answered or has failed.

    Attributes:
        call: AdviceCall.
        advice: Advice, or None if the call failed.
        asked_ms: Monotonic time at which the call was made.
        answered_ms: Monotonic time of the answer or the failure.
    """

    __slots__ = ("call", "advice", "asked_ms", "answered_ms")

    def __init__(self, call, advice, asked_ms, answered_ms):
        self.call = call
        self.advice = advice
        self.asked_ms = asked_ms
        self.answered_ms = answered_ms

    def issued_ms(self):
        """Returns the earliest time at which the tickets were issued.

        The service answers after the stated time, not before.
        """
        return min(self.asked_ms + self.call.duration_ms, self.answered_ms)


class Advisor:
    """Calls the advice service and stores its tickets in the dispatcher.

    Times are monotonic.

    Attributes:
        client: Has ``advise(step, worker_ids, timeout_ms)``, which returns a
            Result of an Advice.
        clock: Clock.
        metrics: Metrics.
        calls: Mailbox of AdviceCalls.
        is_calling: Whether a call has no answer yet.
        retry_ms: Time before which no call is made.
        failures: Number of failed calls since the last answer that came
            within the stated time and the margin.
        busy_until_ms: Time until which the service may handle calls that
            have failed here.
        turns: CallTurns.
        hindered_since_ms: Time since which there are steps that no call could
            help, or None.
        reported_ms: Time of the last log line about them.
    """

    __slots__ = (
        "client",
        "clock",
        "metrics",
        "calls",
        "is_calling",
        "retry_ms",
        "failures",
        "busy_until_ms",
        "turns",
        "hindered_since_ms",
        "reported_ms",
    )

    def __init__(self, client, clock, metrics):
        self.client = client
        self.clock = clock
        self.metrics = metrics
        self.calls = Mailbox("advice calls", 1, REFUSE)
        self.is_calling = False
        self.retry_ms = 0
        self.failures = 0
        self.busy_until_ms = 0
        self.turns = CallTurns()
        self.hindered_since_ms = None
        self.reported_ms = 0

    async def run(self, inbox):
        """Makes the calls, one after the other."""
        async for call in self.calls:
            await self.ask(call, inbox)

    async def ask(self, call, inbox):
        """Makes one call and sends the answer to the inbox."""
        asked_ms = self.clock.now()
        try:
            answer = await self.client.advise(
                call.step, list(call.workers), call.timeout_ms
            )
        except Exception as error:
            # An exception would end the process, and the next leader's.
            answer = Error(repr(error)[:MAX_FAULT_LENGTH])
        answered_ms = self.clock.now()
        self.metrics.record("advice_call_ms", answered_ms - asked_ms)
        if answer.is_error():
            self.metrics.count("advice_failed_calls")
            logger.warning(
                "Advice call failed.",
                step=call.step,
                workers=len(call.workers),
                stated_ms=call.duration_ms,
                timeout_ms=call.timeout_ms,
                reason=answer.error,
            )
        else:
            logger.info(
                "Advice received.",
                step=call.step,
                workers=len(call.workers),
                allowed=len(answer.ok.tickets),
                stated_ms=call.duration_ms,
                took_ms=answered_ms - asked_ms,
            )
        advice = answer.default_value(None)
        await inbox.put(AdviceAnswered(call, advice, asked_ms, answered_ms))

    def on_tick(self, dispatcher, now_ms):
        """Makes the next call, unless one is open or has just failed."""
        if self.is_calling or now_ms < self.retry_ms:
            return
        needs, hindered = find_all_needs(dispatcher, now_ms)
        if hindered is not None:
            self.report_hindered(hindered, now_ms)
        if not needs:
            return
        need = self.turns.choose(
            needs, dispatcher.wall_ms, dispatcher.heartbeat_interval_ms
        )
        start_ms = max(now_ms, self.busy_until_ms)
        margin_ms = CALL_MARGIN_MS * 2 ** min(self.failures, MAX_DOUBLINGS)
        timeout_ms = start_ms + need.duration_ms + margin_ms - now_ms
        call = AdviceCall(need, timeout_ms, dispatcher.term)
        if self.calls.put_nowait(call):
            self.is_calling = True
            self.busy_until_ms = start_ms + need.duration_ms
            self.turns.record(need)
            self.metrics.count("advice_calls")

    def report_hindered(self, hindered, now_ms):
        """Sets the metric of the steps that no call could help, and logs it.

        Args:
            hindered: Counter of these steps by obstacle.
            now_ms: Monotonic time.
        """
        self.metrics.set("advice_hindered_steps", hindered.total())
        if not hindered:
            self.hindered_since_ms = None
            return
        if self.hindered_since_ms is None:
            self.hindered_since_ms = self.reported_ms = now_ms
        if now_ms - self.reported_ms >= REPORT_INTERVAL_MS:
            self.reported_ms = now_ms
            logger.info(
                "Steps wait that no call could help.",
                steps=dict(hindered),
                since_ms=now_ms - self.hindered_since_ms,
            )

    def handle_answer(self, dispatcher, event, now_ms):
        """Stores the tickets of an answer, and makes the next call."""
        self.is_calling = False
        if event.advice is None:
            self.postpone(now_ms)
        else:
            took_ms = event.answered_ms - event.asked_ms
            if took_ms <= event.call.duration_ms + CALL_MARGIN_MS:
                # A slower answer shows that the longer limit is needed.
                self.failures = 0
            self.busy_until_ms = 0
        if dispatcher is None:
            return
        if event.call.term == dispatcher.term:
            store_advice(
                dispatcher.tickets.create(event.call.step), event, now_ms
            )
        self.on_tick(dispatcher, now_ms)

    def postpone(self, now_ms):
        """Sets the pause after a failed call."""
        self.retry_ms = now_ms + RETRY_MS * 2 ** min(
            self.failures, MAX_DOUBLINGS
        )
        self.failures += 1


def store_advice(tickets, event, now_ms):
    """Stores the answer to a call in the Tickets of its step.

    Args:
        tickets: Tickets.
        event: AdviceAnswered.
        now_ms: Monotonic time.
    """
    call, advice = event.call, event.advice
    if advice is None:
        tickets.postpone(now_ms)
        return
    tickets.unused_calls += not call.ahead
    tickets.asked_ms = event.asked_ms
    valid_ms = call.valid_ms if advice.valid_ms is None else advice.valid_ms
    until_ms = usable_until_ms(event.issued_ms(), event.answered_ms, valid_ms)
    complete = True
    for worker_id, incarnation in call.workers.items():
        ticket = advice.tickets.get(worker_id, "")
        if ticket is None:
            complete = False
            continue
        tickets.store(incarnation, ticket, until_ms)
    if complete:
        tickets.failures = 0
    else:
        tickets.postpone(now_ms)

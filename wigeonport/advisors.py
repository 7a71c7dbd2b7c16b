"""Advice on the workers that may run a step, asked for ahead of time.

The answer for a worker holds for its life; a ticket for a limited time.
The service handles the calls of a machine one after the other, so that
few are kept open.
"""

import trio

from wigeonport.channels import REFUSE, Mailbox
from wigeonport.logs import PartLogger
from wigeonport.task_placements import claims_of

logger = PartLogger("advice")

# The service refuses calls when 32 are waiting.
MAX_OPEN_CALLS = 4
MAX_WORKERS = 100
# A ticket that is about to expire is asked for again; a start reaches the
# worker within a second.
TICKET_MARGIN_MS = 1_200
# Pause after a call that had no answer.
RETRY_MS = 500


class AdviceCall:
    """A question about the workers of a step.

    Attributes:
        step: Name of the step.
        workers: Incarnation by worker id.
        valid_ms: Validity of the tickets, counted from the call.
        term: Term of the leader.
    """

    __slots__ = ("step", "workers", "valid_ms", "term")

    def __init__(self, step, workers, valid_ms, term):
        self.step = step
        self.workers = workers
        self.valid_ms = valid_ms
        self.term = term


class AdviceAnswered:
    """Answer to an AdviceCall.

    Attributes:
        call: AdviceCall.
        tickets: Ticket by worker id, or None without an answer.
        asked_ms: When it was asked.
    """

    __slots__ = ("call", "tickets", "asked_ms")

    def __init__(self, call, tickets, asked_ms):
        self.call = call
        self.tickets = tickets
        self.asked_ms = asked_ms


class Advisor:
    """Asks the service and keeps the tickets in the dispatcher.

    Attributes:
        client: Has ``advise(step, worker_ids)``, which returns a Result of
            tickets by worker id.
        clock: Clock.
        calls: Mailbox of AdviceCalls.
        open_calls: Number of calls without an answer.
    """

    __slots__ = ("client", "clock", "calls", "open_calls")

    def __init__(self, client, clock):
        self.client = client
        self.clock = clock
        self.calls = Mailbox("advice calls", MAX_OPEN_CALLS, REFUSE)
        self.open_calls = 0

    async def run(self, inbox):
        """Makes the calls."""
        async with trio.open_nursery() as nursery:
            async for call in self.calls:
                nursery.start_soon(self.ask, call, inbox)

    async def ask(self, call, inbox):
        """Makes one call and reports the answer."""
        asked_ms = self.clock.now()
        found = await self.client.advise(call.step, list(call.workers))
        if found.is_error():
            logger.warning("No advice.", step=call.step, reason=found.error)
        tickets = found.default_value(None)
        await inbox.put(AdviceAnswered(call, tickets, asked_ms))

    def on_tick(self, dispatcher, now_ms):
        """Asks for the workers of steps that are ready to run."""
        for service in dispatcher.services_with_advice():
            for claim in claims_of(dispatcher, service, dispatcher.wall_ms):
                if claim.queue.advice is None:
                    continue
                for occurrence, number, step_run in claim.job.ready_steps():
                    if self.open_calls >= MAX_OPEN_CALLS:
                        return
                    if step_run.waiting:
                        step = f"{claim.job.job_id}.{occurrence}.{number}"
                        self.request_tickets(dispatcher, claim, step, now_ms)

    def request_tickets(self, dispatcher, claim, step, now_ms):
        """Asks for the workers of one step that are not known yet."""
        tickets = dispatcher.tickets_of(step)
        if tickets.asked_ms is not None or now_ms < tickets.retry_ms:
            return
        workers = {
            worker.report.worker_id: worker.incarnation
            for worker in dispatcher.workers.of_service(claim.queue.service)
            if worker.accepts(now_ms, dispatcher.silence_ms())
            and not tickets.is_known(worker.incarnation, now_ms)
        }
        workers = dict(sorted(workers.items())[:MAX_WORKERS])
        if not workers:
            return
        valid_ms = claim.queue.advice.valid_ms
        call = AdviceCall(step, workers, valid_ms, dispatcher.term)
        if self.calls.put_nowait(call):
            tickets.asked_ms = now_ms
            self.open_calls += 1

    def note_answer(self, dispatcher, event, now_ms):
        """Keeps the tickets of an answer."""
        self.open_calls -= 1
        if dispatcher is None or event.call.term != dispatcher.term:
            return
        tickets = dispatcher.tickets_of(event.call.step)
        tickets.asked_ms = None
        if event.tickets is None:
            tickets.retry_ms = now_ms + RETRY_MS
            return
        until_ms = event.asked_ms + event.call.valid_ms - TICKET_MARGIN_MS
        for worker_id, incarnation in event.call.workers.items():
            ticket = event.tickets.get(worker_id, "")
            tickets.by_worker[incarnation] = (ticket, until_ms)

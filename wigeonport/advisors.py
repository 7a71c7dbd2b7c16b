"""Advice on which workers may run a step, requested ahead of time.

The decision on a worker holds for its incarnation; a ticket is valid for a
limited time. The advice service handles the calls of one machine one after
the other, so only a few calls are in flight at a time.
"""

import trio
from expression import Error

from wigeonport.channels import REFUSE, Mailbox
from wigeonport.logs import PartLogger
from wigeonport.task_placements import active_ranked_jobs

logger = PartLogger("advice")

# The advice service refuses calls when 32 are queued.
MAX_OPEN_CALLS = 4
MAX_WORKERS = 100
# A ticket is requested again this long before it expires; an order to start
# reaches the worker within a second.
TICKET_MARGIN_MS = 1_200
# Wait before a call without an answer is repeated.
RETRY_MS = 500
# Maximum length of an error in the log; it may quote a value.
MAX_FAULT_LENGTH = 300


class AdviceCall:
    """A request for the tickets of workers for a step.

    Attributes:
        step: Step id, ``job.occurrence.step``.
        workers: Maps worker id to incarnation.
        valid_ms: Time for which the tickets are valid, counted from the call.
        term: Term of the leader.
    """

    __slots__ = ("step", "workers", "valid_ms", "term")

    def __init__(self, step, workers, valid_ms, term):
        self.step = step
        self.workers = workers
        self.valid_ms = valid_ms
        self.term = term


class AdviceAnswered:
    """Message: an AdviceCall has been answered or has failed.

    Attributes:
        call: AdviceCall.
        tickets: Maps the id of each worker that may run the step to its
            ticket, or to None if the answer about it could not be read; None
            if the call failed.
        asked_ms: Monotonic time at which the call was made.
    """

    __slots__ = ("call", "tickets", "asked_ms")

    def __init__(self, call, tickets, asked_ms):
        self.call = call
        self.tickets = tickets
        self.asked_ms = asked_ms


class Advisor:
    """Calls the advice service and stores its tickets in the dispatcher.

    Attributes:
        client: Has ``advise(step, worker_ids)``, which returns a Result of
            a dict from worker id to ticket.
        clock: Clock.
        calls: Mailbox of AdviceCalls.
        open_calls: Number of calls in flight.
    """

    __slots__ = ("client", "clock", "calls", "open_calls")

    def __init__(self, client, clock):
        self.client = client
        self.clock = clock
        self.calls = Mailbox("advice calls", MAX_OPEN_CALLS, REFUSE)
        self.open_calls = 0

    async def run(self, inbox):
        """Makes the queued calls concurrently."""
        async with trio.open_nursery() as nursery:
            async for call in self.calls:
                nursery.start_soon(self.ask, call, inbox)

    async def ask(self, call, inbox):
        """Makes one call and sends the answer to the inbox."""
        asked_ms = self.clock.now()
        try:
            answer = await self.client.advise(call.step, list(call.workers))
        except Exception as error:
            # An exception would end the process, and the next leader's.
            answer = Error(repr(error)[:MAX_FAULT_LENGTH])
        if answer.is_error():
            logger.warning(
                "Advice call failed.", step=call.step, reason=answer.error
            )
        tickets = answer.default_value(None)
        await inbox.put(AdviceAnswered(call, tickets, asked_ms))

    def on_tick(self, dispatcher, now_ms):
        """Requests tickets for the steps that are ready to run."""
        for service in dispatcher.services_with_advice():
            for ranked_job in active_ranked_jobs(
                dispatcher, service, dispatcher.wall_ms
            ):
                if ranked_job.queue.advice is None:
                    continue
                for (
                    occurrence,
                    number,
                    step_run,
                ) in ranked_job.job.ready_steps():
                    if self.open_calls >= MAX_OPEN_CALLS:
                        return
                    if step_run.waiting:
                        step = f"{ranked_job.job.job_id}.{occurrence}.{number}"
                        self.request_tickets(
                            dispatcher, ranked_job, step, now_ms
                        )

    def request_tickets(self, dispatcher, ranked_job, step, now_ms):
        """Requests tickets of one step for workers without a valid answer."""
        tickets = dispatcher.tickets_of(step)
        if tickets.asked_ms is not None or now_ms < tickets.retry_ms:
            return
        workers = {
            worker.report.worker_id: worker.incarnation
            for worker in dispatcher.workers.of_service(
                ranked_job.queue.service
            )
            if worker.accepts_tasks(now_ms, dispatcher.max_silence_ms())
            and not tickets.has_valid_answer(worker.incarnation, now_ms)
        }
        workers = dict(sorted(workers.items())[:MAX_WORKERS])
        if not workers:
            return
        valid_ms = ranked_job.queue.advice.valid_ms
        call = AdviceCall(step, workers, valid_ms, dispatcher.term)
        if self.calls.put_nowait(call):
            tickets.asked_ms = now_ms
            self.open_calls += 1

    def handle_answer(self, dispatcher, event, now_ms):
        """Stores the tickets of an answer in the dispatcher."""
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
            if ticket is None:
                tickets.retry_ms = now_ms + RETRY_MS
                continue
            tickets.by_worker[incarnation] = (ticket, until_ms)

"""Tickets: permissions for workers to run a step, from the advice service."""

# A ticket is no longer used this long before it expires; an order to start
# reaches the worker within a second.
TICKET_MARGIN_MS = 1_200
# Wait before a call about the step is repeated. It doubles with each failure.
RETRY_MS = 500
MAX_DOUBLINGS = 4
# Maximum number of steps whose tickets are kept.
MAX_TICKET_STEPS = 4_096


class Tickets:
    """The tickets that have been issued for a step.

    Times are monotonic.

    Attributes:
        by_worker: Maps worker incarnation to a pair of ticket and expiry
            time; an empty ticket means that the worker may not run the
            step.
        allowed: Number of workers that may run it.
        retry_ms: Time before which no call is made.
        failures: Number of calls without a complete answer since the last
            complete one.
        unused_calls: Number of answered calls since the last start of a task.
        asked_ms: Time of the last answered call, or 0.
    """

    __slots__ = (
        "by_worker",
        "allowed",
        "retry_ms",
        "failures",
        "unused_calls",
        "asked_ms",
    )

    def __init__(self):
        self.by_worker = {}
        self.allowed = 0
        self.retry_ms = 0
        self.failures = 0
        self.unused_calls = 0
        self.asked_ms = 0

    def find(self, incarnation, now_ms):
        """Returns the valid ticket of a worker, or None."""
        ticket, until_ms = self.by_worker.get(incarnation, ("", 0))
        return ticket if ticket and now_ms < until_ms else None

    def has_answer(self, incarnation, now_ms):
        """Returns whether a worker has a valid ticket or is refused."""
        return self.is_refused(incarnation) or bool(
            self.find(incarnation, now_ms)
        )

    def is_refused(self, incarnation):
        """Returns whether a worker may not run the step."""
        entry = self.by_worker.get(incarnation)
        return entry is not None and not entry[0]

    def is_allowed(self, incarnation):
        """Returns whether a worker may run the step, with a new ticket."""
        entry = self.by_worker.get(incarnation)
        return entry is not None and bool(entry[0])

    def refused_factor(self):
        """Returns how many workers have been named for each allowed one.

        One more counts as allowed, so that there is a factor without any.
        """
        return (len(self.by_worker) + 1) / (self.allowed + 1)

    def are_refused(self, incarnations):
        """Returns whether none of a set of workers may run the step."""
        # A difference takes a tenth of the time of a comparison of sets here.
        return not self.allowed and not incarnations.difference(self.by_worker)

    def store(self, incarnation, ticket, until_ms):
        """Stores the answer about a worker.

        Args:
            incarnation: Incarnation of the worker.
            ticket: Ticket, or "" if it may not run the step.
            until_ms: Time until which a start may be ordered with it.
        """
        self.drop(incarnation)
        self.by_worker[incarnation] = (ticket, until_ms)
        self.allowed += bool(ticket)

    def drop(self, incarnation):
        """Drops the answer about a worker."""
        ticket, _ = self.by_worker.pop(incarnation, ("", 0))
        self.allowed -= bool(ticket)

    def postpone(self, now_ms):
        """Sets the wait after a call without a complete answer."""
        doublings = min(self.failures, MAX_DOUBLINGS)
        self.retry_ms = now_ms + RETRY_MS * 2**doublings
        self.failures += 1


class TicketTable:
    """The Tickets of the steps of queues with advice.

    Attributes:
        by_step: Maps step id to Tickets, oldest step first.
        search_starts: Maps pairs of service and measure of room to the
            number of jobs that searches for needs have passed in turns.
    """

    __slots__ = ("by_step", "search_starts")

    def __init__(self):
        self.by_step = {}
        self.search_starts = {}

    def get(self, step):
        """Returns the Tickets of a step, or None.

        Creates none, which would displace those of another step.
        """
        return self.by_step.get(step)

    def create(self, step):
        """Returns the Tickets of a step, creating them if necessary."""
        tickets = self.by_step.get(step)
        if tickets is None:
            if len(self.by_step) >= MAX_TICKET_STEPS:
                del self.by_step[next(iter(self.by_step))]
            tickets = self.by_step[step] = Tickets()
        return tickets

    def find(self, step, incarnation, now_ms):
        """Returns the valid ticket of a worker for a step, or None."""
        tickets = self.by_step.get(step)
        return tickets.find(incarnation, now_ms) if tickets else None

    def is_refused(self, step, incarnation):
        """Returns whether a worker may not run a step."""
        tickets = self.by_step.get(step)
        return tickets is not None and tickets.is_refused(incarnation)

    def note_starts(self, tasks):
        """Notes that tasks of advised steps are assigned to a worker."""
        for step in {task.rpartition(".")[0] for task in tasks}:
            tickets = self.by_step.get(step)
            if tickets is not None:
                tickets.unused_calls = 0

    def drop(self, step, incarnation):
        """Drops the answer about a worker for a step."""
        tickets = self.by_step.get(step)
        if tickets is not None:
            tickets.drop(incarnation)


def usable_until_ms(issued_ms, answered_ms, valid_ms):
    """Returns the time until which a start may be ordered with a ticket.

    If nothing is left of a ticket when it arrives, it counts from its arrival:
    the service may have answered late. If the ticket has expired, the worker
    rejects the start, and the ticket is dropped.

    Args:
        issued_ms: Earliest time at which the ticket was issued.
        answered_ms: Time at which it arrived.
        valid_ms: Time for which it is valid.
    """
    # Half of a short validity is left, or the step would never start.
    usable_ms = valid_ms - min(TICKET_MARGIN_MS, valid_ms // 2)
    until_ms = issued_ms + usable_ms
    return until_ms if until_ms > answered_ms else answered_ms + usable_ms

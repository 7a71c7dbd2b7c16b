"""Tickets that let workers run a step."""


class Tickets:
    """What the service has said of a step.

    Attributes:
        by_worker: Ticket and its end by incarnation; an empty ticket means
            that the worker may not run the step.
        asked_ms: When the open call was made, or None.
        retry_ms: Time before which no call is made.
    """

    __slots__ = ("by_worker", "asked_ms", "retry_ms")

    def __init__(self):
        self.by_worker = {}
        self.asked_ms = None
        self.retry_ms = 0

    def find(self, incarnation, now_ms):
        """Returns a ticket that is valid for a while yet, or None."""
        ticket, until_ms = self.by_worker.get(incarnation, ("", 0))
        return ticket if ticket and now_ms < until_ms else None

    def is_known(self, incarnation, now_ms):
        """Returns whether nothing has to be asked for a worker."""
        known = self.by_worker.get(incarnation)
        return known is not None and (not known[0] or now_ms < known[1])

"""Tickets: permissions for workers to run a step, from the advice service."""


class Tickets:
    """The tickets that have been issued for a step.

    Times are monotonic.

    Attributes:
        by_worker: Maps worker incarnation to a pair of ticket and expiry
            time; an empty ticket means that the worker may not run the
            step.
        asked_ms: Time of the call that has no answer yet, or None.
        retry_ms: Time before which no call is made.
    """

    __slots__ = ("by_worker", "asked_ms", "retry_ms")

    def __init__(self):
        self.by_worker = {}
        self.asked_ms = None
        self.retry_ms = 0

    def find(self, incarnation, now_ms):
        """Returns the valid ticket of a worker, or None."""
        ticket, until_ms = self.by_worker.get(incarnation, ("", 0))
        return ticket if ticket and now_ms < until_ms else None

    def has_valid_answer(self, incarnation, now_ms):
        """Returns whether no call is needed for a worker.

        That is so while it has a valid ticket, or if it may not run the
        step.
        """
        entry = self.by_worker.get(incarnation)
        return entry is not None and (not entry[0] or now_ms < entry[1])

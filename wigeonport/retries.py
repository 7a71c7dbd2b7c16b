"""Retry budgets: retries are a share of the requests, never a storm."""


class RetryBudget:
    """A token bucket that requests fill and retries empty.

    Without a budget, the loss of a zone would multiply the load on the
    remaining zones by the number of attempts.

    Attributes:
        share: Tokens that each request adds.
        floor: Tokens that each second adds, for services with few requests.
        tokens: Tokens that are left.
        filled_ms: When the floor was added last, or None.
    """

    __slots__ = ("share", "floor", "tokens", "filled_ms")

    def __init__(self, share, floor):
        self.share = share
        self.floor = floor
        self.tokens = float(floor)
        self.filled_ms = None

    @property
    def bound(self):
        """Largest number of tokens: what 100 requests and 1 s add."""
        return self.floor + 100 * self.share

    def note_request(self):
        """Adds the tokens of a request."""
        self.tokens = min(self.tokens + self.share, self.bound)

    def take(self, now_ms):
        """Takes a token; returns False if there is none."""
        if self.filled_ms is not None:
            added = (now_ms - self.filled_ms) / 1000 * self.floor
            self.tokens = min(self.tokens + added, self.bound)
        self.filled_ms = now_ms
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

"""Retry budgets: limit retries to a share of the requests."""


class RetryBudget:
    """A token bucket that requests fill and retries drain.

    Without a budget, the loss of a zone would multiply the load on the
    remaining zones by the number of attempts (a retry storm).

    Attributes:
        tokens_per_request: Tokens that each request adds.
        tokens_per_second: Tokens that each second adds, so that services
            with few requests can retry.
        tokens: Remaining tokens.
        last_refill_ms: Monotonic time when the tokens per second were last
            added, or None.
    """

    __slots__ = (
        "tokens_per_request",
        "tokens_per_second",
        "tokens",
        "last_refill_ms",
    )

    def __init__(self, tokens_per_request, tokens_per_second):
        self.tokens_per_request = tokens_per_request
        self.tokens_per_second = tokens_per_second
        self.tokens = float(tokens_per_second)
        self.last_refill_ms = None

    @property
    def max_tokens(self):
        """Largest number of tokens: what 100 requests and one second add."""
        return self.tokens_per_second + 100 * self.tokens_per_request

    def add_request_tokens(self):
        """Adds the tokens of one request."""
        self.tokens = min(
            self.tokens + self.tokens_per_request, self.max_tokens
        )

    def take(self, now_ms):
        """Refills the bucket and takes a token; returns False if empty."""
        if self.last_refill_ms is not None:
            added = (
                (now_ms - self.last_refill_ms) / 1000 * self.tokens_per_second
            )
            self.tokens = min(self.tokens + added, self.max_tokens)
        self.last_refill_ms = now_ms
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

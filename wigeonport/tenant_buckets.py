"""Token buckets that measure what tenants submit against their rates."""

# A tenant may submit this much of its rate at once: arrivals are random, and
# a rate of a few jobs a second often has two seconds' jobs in one.
BURST_MS = 2_000
MIN_BURST_JOBS = 3
# Rate of a tenant of weight 0, in jobs a second.
MIN_RATE = 0.1
# A refused caller is told to return after this time at the latest, because
# the pool may have room long before its tenant has.
MAX_RETURN_MS = 10_000


class TokenBucket:
    """Jobs that a tenant may submit at its rate.

    Attributes:
        tokens: Number of jobs that it may submit at once.
        updated_ms: Time of the last update of ``tokens``.
        promised_ms: Time up to which returns of refused callers have been
            promised.
    """

    __slots__ = ("tokens", "updated_ms", "promised_ms")

    def __init__(self, rate, now_ms):
        self.tokens = burst_of(rate)
        self.updated_ms = now_ms
        self.promised_ms = now_ms

    def refill(self, rate, now_ms):
        """Adds the tokens of the time since the last update.

        Args:
            rate: Jobs a second.
            now_ms: Time, which may have been set back.
        """
        passed_ms = max(0, now_ms - self.updated_ms)
        self.updated_ms = now_ms
        self.tokens = min(
            burst_of(rate), self.tokens + rate * passed_ms / 1_000
        )

    def take(self):
        """Counts a job; below 0 tokens nothing is owed."""
        self.tokens = max(0, self.tokens - 1)

    def promise_return(self, rate, now_ms):
        """Returns the time, in ms, after which a refused caller has room.

        Each refused caller gets a later time, at the rate of the tenant, so
        that they don't return together.
        """
        spacing_ms = 1_000 / rate
        next_ms = now_ms + (1 - self.tokens) * spacing_ms
        earliest_ms = max(next_ms, self.promised_ms)
        latest_ms = now_ms + MAX_RETURN_MS
        self.promised_ms = min(earliest_ms + spacing_ms, latest_ms)
        return int(min(earliest_ms, latest_ms) - now_ms) + 1


def burst_of(rate):
    """Returns the number of tokens of a full bucket."""
    return max(MIN_BURST_JOBS, rate * BURST_MS / 1_000)


class TenantAdmissions:
    """What tenants have submitted, and what was refused, in one term.

    A new leader starts with full buckets. So a tenant gets one more burst of
    two seconds' jobs with each change of leader, far less than the pools do
    in that time, and no tenant pays for what an unknown leader has counted.

    Attributes:
        buckets: Maps tenant to TokenBucket.
        refused: Maps tenant to the number of its refused submissions.
        unlogged: The same, since the last log line.
        logged_ms: Time of that line, or None.
        published_ms: Time at which the metrics were last set, or None.
    """

    __slots__ = (
        "buckets",
        "refused",
        "unlogged",
        "logged_ms",
        "published_ms",
    )

    def __init__(self):
        self.buckets = {}
        self.refused = {}
        self.unlogged = {}
        self.logged_ms = None
        self.published_ms = None

    def bucket_of(self, tenant, now_ms):
        """Returns the up to date bucket of a Tenant."""
        rate = rate_of(tenant)
        bucket = self.buckets.get(tenant.name)
        if bucket is None:
            bucket = self.buckets[tenant.name] = TokenBucket(rate, now_ms)
        bucket.refill(rate, now_ms)
        return bucket

    def count_refusal(self, name):
        """Counts a refused submission of a tenant."""
        for counts in (self.refused, self.unlogged):
            counts[name] = counts.get(name, 0) + 1


def rate_of(tenant):
    """Returns the jobs a second that a Tenant may submit."""
    return max(MIN_RATE, tenant.weight)

"""One kind of task beside another one: samples, slow-down and verdict."""

import math

from wigeonport.mean_comparisons import AgedMoments, Comparison

# Half-life of the evidence on a pair. Programs and their inputs change by the
# day, so that a pair that is no longer seen together is dropped within the
# hour and learned anew.
PAIR_HALF_LIFE_MS = 1_200_000
# Slow-down from which a pair is kept apart. A task of 2 s then gains more
# than the heartbeat interval of 400 ms for which it may wait.
MIN_SLOW_DOWN = 1.2
# Slow-down below which a pair is no longer kept apart.
DROP_SLOW_DOWN = 1.1
# Fewest steps with and without the neighbour, and fewest machines on which
# they met, for a verdict.
MIN_STEPS = 10
MIN_MACHINES = 3
# A pair is dropped once its steps with or without the neighbour have aged
# below this weight.
DROP_STEPS = 5
# A pair is looked at again when its samples have grown by this factor, so
# that the number of looks grows only with the logarithm of the samples.
LOOK_GROWTH = 1.25
# Least difference between the shares of time beside the neighbour, of runs
# with and without it at their start, from which a slow-down is worked out.
MIN_SHARE = 0.25
# Limit of the share of its speed that a task loses, so that a slow-down is
# at most a factor of 10.
MAX_LOSS = 0.9
# One-sided error probability of the interval that operators see.
INTERVAL_PROBABILITY = 0.025
# Between the two kinds of a pair in the settings.
SEPARATOR = " beside "


class Pair:
    """A kind of task and a kind that runs beside it.

    Attributes:
        kind: Kind that may be slowed down.
        neighbour: Kind that may slow it down.
        groups: AgedMoments of the residuals of steps: without the neighbour
            at the start of their runs, and with it.
        shares: The same for the shares of their time beside it.
        machines: Up to MIN_MACHINES machines on which they met.
        looks: Number of evaluations so far.
        samples: Number of samples in both groups, unaged.
        due_samples: Number of samples at which the next evaluation is due.
        sampled_ms: Time of the last sample.
        separated_ms: Time since which the pair is kept apart, or None.
    """

    __slots__ = (
        "kind",
        "neighbour",
        "groups",
        "shares",
        "machines",
        "looks",
        "samples",
        "due_samples",
        "sampled_ms",
        "separated_ms",
    )

    def __init__(self, kind, neighbour):
        self.kind = kind
        self.neighbour = neighbour
        self.groups = [AgedMoments(PAIR_HALF_LIFE_MS) for _ in range(2)]
        self.shares = [AgedMoments(PAIR_HALF_LIFE_MS) for _ in range(2)]
        self.machines = set()
        self.looks = 0
        self.samples = 0
        self.due_samples = 2 * MIN_STEPS
        self.sampled_ms = 0
        self.separated_ms = None

    @property
    def separated(self):
        """Whether the pair is kept apart."""
        return self.separated_ms is not None

    def add(self, contrast, now_ms):
        """Adds the runs of a step, as one sample for each group."""
        self.sampled_ms = now_ms
        for group, count in enumerate(contrast.counts):
            if not count:
                continue
            self.samples += 1
            self.groups[group].add(contrast.residuals[group] / count, now_ms)
            self.shares[group].add(contrast.shares[group] / count, now_ms)
        for machine in contrast.machines:
            if len(self.machines) < MIN_MACHINES:
                self.machines.add(machine)

    def has_samples(self):
        """Returns whether both groups have enough samples to compare."""
        return min(moments.weight for moments in self.groups) >= MIN_STEPS

    def is_due(self):
        """Returns whether new samples call for an evaluation."""
        return self.samples >= self.due_samples and self.has_samples()

    def compare(self):
        """Returns the Comparison of steps with and without the neighbour."""
        return Comparison(self.groups[1], self.groups[0])

    def clearness(self):
        """Returns the difference in units of its error, or 0 if unknown."""
        if not self.has_samples():
            return 0.0
        comparison = self.compare()
        return comparison.difference / comparison.error

    def is_harmful(self, allowed, now_ms):
        """Evaluates the pair; returns whether it has to be kept apart.

        The allowed error is divided over the looks in shares that sum to 1,
        so that repeated looks do not raise it: the Bonferroni bound with
        weights 6 / (pi * look) ** 2.

        Args:
            allowed: Probability of a wrong verdict over all looks.
            now_ms: Monotonic time.
        """
        for moments in self.groups:
            moments.age(now_ms)
        self.looks += 1
        self.due_samples = math.ceil(self.samples * LOOK_GROWTH)
        allowed *= 6 / (math.pi * self.looks) ** 2
        comparison = self.compare()
        return (
            len(self.machines) >= MIN_MACHINES
            and comparison.lower_limit(allowed) > 0
            and self.to_slow_down(comparison.difference) >= MIN_SLOW_DOWN
        )

    def find_drop_reason(self, now_ms):
        """Returns why the pair is no longer kept apart, or ""."""
        for moments in self.groups:
            moments.age(now_ms)
        if min(moments.weight for moments in self.groups) < DROP_STEPS:
            return "the evidence has aged"
        if self.to_slow_down(self.compare().difference) < DROP_SLOW_DOWN:
            return "the runs are no longer slower"
        return ""

    def to_slow_down(self, difference):
        """Returns the factor for a task that is always beside the neighbour.

        Runs with the neighbour at their start are beside it for a part of
        their time only, and some others meet it later. The difference of the
        run times is divided by that of the shares of time: the estimator of
        A. Wald, "The fitting of straight lines if both variables are subject
        to error", Ann. Math. Statist. 11, 1940.
        """
        share = max(MIN_SHARE, self.shares[1].mean - self.shares[0].mean)
        loss = (1 - math.exp(-difference)) / share
        return 1 / (1 - min(MAX_LOSS, loss))

    def slow_down(self):
        """Returns the estimated slow-down of a pair that is kept apart."""
        return self.to_slow_down(self.compare().difference)

    def to_state(self, now_ms):
        """Returns whether the pair is kept apart, and the ages in ms."""
        since_ms = self.separated_ms
        return {
            "separated": self.separated,
            "separated_for_ms": now_ms - since_ms if self.separated else 0,
            "last_sample_ms": now_ms - self.sampled_ms,
        }

    def to_fields(self):
        """Returns the pair as plain data for operators."""
        fields = {
            "kind": self.kind,
            "neighbour": self.neighbour,
            "steps_beside": round(self.groups[1].count(), 1),
            "steps_alone": round(self.groups[0].count(), 1),
        }
        if min(moments.weight for moments in self.groups) >= 2:
            comparison = self.compare()
            limits = {
                "slow_down": comparison.difference,
                "slow_down_low": comparison.lower_limit(INTERVAL_PROBABILITY),
                "slow_down_high": comparison.upper_limit(INTERVAL_PROBABILITY),
            }
            fields |= {
                name: round(self.to_slow_down(value), 2)
                for name, value in limits.items()
            }
        return fields


def is_pair(text):
    """Returns whether a text names two kinds, as ``KIND beside KIND``."""
    kinds = text.split(SEPARATOR)
    return len(kinds) == 2 and all(kind.strip() for kind in kinds)


def read_pairs(texts):
    """Returns a set with a frozenset of the two kinds that each text names."""
    return {frozenset(text.split(SEPARATOR)) for text in texts}

"""Ended runs as samples: the levels of kinds, and contrasts within steps."""

from wigeonport.mean_comparisons import AgedMoments

# Half-life of what is learned on a kind and on a worker.
LEVEL_HALF_LIFE_MS = 300_000
# Weight, in samples, with which an estimate counts as saying nothing.
ESTIMATE_CAUTION = 1.0


class EndedRun:
    """A run that is done, with what ran beside it.

    Attributes:
        kind: Name of its kind.
        step: Common prefix of the task ids of its step.
        machine: Machine it ran on.
        run_ms: Its run time.
        estimated_ms: Run time that its caller estimated.
        exposed: Set of the kinds that ran on the worker at its start.
        shares: Maps each kind that ran beside it to the share of its time.
    """

    __slots__ = (
        "kind",
        "step",
        "machine",
        "run_ms",
        "estimated_ms",
        "exposed",
        "shares",
    )

    def __init__(
        self, kind, step, machine, run_ms, estimated_ms, exposed, shares
    ):
        self.kind = kind
        self.step = step
        self.machine = machine
        self.run_ms = run_ms
        self.estimated_ms = estimated_ms
        self.exposed = exposed
        self.shares = shares


class KindLevel:
    """The usual run time of a kind, given the estimate of the caller.

    The log run time is predicted by a linear regression on the log estimate.
    An estimate that says nothing gets a slope near 0.

    Attributes:
        runs: AgedMoments of the log run times.
        estimates: AgedMoments of the log estimates.
        joint: Weighted sum of the products of their deviations.
        count: Number of runs seen.
        used_ms: Time of the last run.
    """

    __slots__ = ("runs", "estimates", "joint", "count", "used_ms")

    def __init__(self):
        self.runs = AgedMoments(LEVEL_HALF_LIFE_MS)
        self.estimates = AgedMoments(LEVEL_HALF_LIFE_MS)
        self.joint = 0.0
        self.count = 0
        self.used_ms = 0

    def predict(self, log_estimate):
        """Returns the expected log run time."""
        slope = self.joint / (self.estimates.spread + ESTIMATE_CAUTION)
        return self.runs.mean + slope * (log_estimate - self.estimates.mean)

    def add(self, log_run, log_estimate, now_ms):
        """Adds a run."""
        self.count += 1
        deviation = log_estimate - self.estimates.mean
        before = self.estimates.weight
        self.runs.add(log_run, now_ms)
        self.estimates.add(log_estimate, now_ms)
        if before:
            self.joint *= (self.estimates.weight - 1) / before
        self.joint += deviation * (log_run - self.runs.mean)


class StepRuns:
    """The runs of one step that have ended, as residuals.

    Attributes:
        kind: Name of the kind.
        opened_ms: Time of the first one.
        contrasts: Maps neighbour to its Contrast.
    """

    __slots__ = ("kind", "opened_ms", "contrasts")

    def __init__(self, kind, now_ms):
        self.kind = kind
        self.opened_ms = now_ms
        self.contrasts = {}


class Contrast:
    """Sums over the runs of a step with and without a neighbour.

    Attributes:
        counts: Numbers of runs: not exposed, exposed.
        residuals: Sums of their residuals.
        shares: Sums of the shares of their time beside the neighbour.
        machines: Machines of the exposed runs.
    """

    __slots__ = ("counts", "residuals", "shares", "machines")

    def __init__(self):
        self.counts = [0, 0]
        self.residuals = [0.0, 0.0]
        self.shares = [0.0, 0.0]
        self.machines = set()

    def add(self, run, neighbour, residual):
        """Adds a run."""
        group = int(neighbour in run.exposed)
        self.counts[group] += 1
        self.residuals[group] += residual
        self.shares[group] += run.shares.get(neighbour, 0.0)
        if group:
            self.machines.add(run.machine)

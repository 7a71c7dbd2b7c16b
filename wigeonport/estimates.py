"""Sizes and run times of jobs, learned from usage reports that lag."""

from wigeonport.plan_registries import estimate_policies
from wigeonport.views import Size

SIZE_QUANTILE = 0.9
SPREAD_QUANTILES = (0.1, 0.9)
# Smallest divisor, for declarations of zero.
MIN_DECLARED = 0.001


class Samples:
    """Newest samples of one quantity, beside what had been declared.

    Attributes:
        bound: Largest number of samples kept.
        values: Measured values, oldest first.
        ratios: Measured over declared values, oldest first.
    """

    __slots__ = ("bound", "values", "ratios")

    def __init__(self, bound):
        self.bound = bound
        self.values = []
        self.ratios = []

    def add(self, value, declared):
        """Adds a sample and drops the oldest beyond the bound."""
        self.values.append(value)
        self.ratios.append(value / max(declared, MIN_DECLARED))
        del self.values[: -self.bound]
        del self.ratios[: -self.bound]

    def estimate(self, declared, quantile):
        """Returns a quantile for a job with the given declaration.

        Declarations may be off by a constant factor or unrelated to the
        use. Of ratio and value the one that varies less is used.
        """
        if relative_spread(self.ratios) < relative_spread(self.values):
            return declared * find_quantile(self.ratios, quantile)
        return find_quantile(self.values, quantile)


def find_quantile(values, quantile):
    """Returns the nearest-rank quantile of a list that is not empty."""
    ordered = sorted(values)
    return ordered[min(int(quantile * len(ordered)), len(ordered) - 1)]


def relative_spread(values):
    """Returns the ratio of a high to a low quantile."""
    low, high = (
        find_quantile(values, quantile) for quantile in SPREAD_QUANTILES
    )
    return high / max(low, MIN_DECLARED)


class History:
    """Samples of the jobs of one team and kind.

    Attributes:
        cores: Samples of processor cores.
        memory: Samples of memory in MB.
        run: Samples of the run time in ms.
    """

    __slots__ = ("cores", "memory", "run")

    def __init__(self, bound):
        self.cores = Samples(bound)
        self.memory = Samples(bound)
        self.run = Samples(bound)


def find_history(table, job):
    """Returns the History of a job's team and kind; creates it if new."""
    key = (job.submitted.team, job.submitted.job_kind)
    if key not in table.histories:
        table.histories[key] = History(table.settings.estimate_samples)
    return table.histories[key]


def learn_usage(table, job, used):
    """Adds a usage report."""
    history = find_history(table, job)
    history.cores.add(used.cores, job.submitted.declared.cores)
    history.memory.add(used.memory_mb, job.submitted.declared.memory_mb)


def learn_run(table, job, run_ms):
    """Adds the run time of a finished job."""
    history = find_history(table, job)
    history.run.add(run_ms, job.submitted.declared_run_ms)


@estimate_policies.register("learned")
def estimate_learned(table, job):
    """Returns the size from the history once it has enough samples.

    Too little memory fails the task while too few cores slow it down, so
    memory is the highest sample and cores are a quantile, both with a
    margin. Accelerators are taken as declared.
    """
    settings = table.settings
    declared = job.submitted.declared
    history = find_history(table, job)
    if len(history.cores.values) < settings.estimate_min_samples:
        return declared
    cores = history.cores.estimate(declared.cores, SIZE_QUANTILE)
    memory = history.memory.estimate(declared.memory_mb, 1.0)
    return Size(
        cores * settings.estimate_margin,
        memory * settings.estimate_margin,
        declared.accelerators,
    )


@estimate_policies.register("declared")
def estimate_declared(table, job):
    """Baseline: returns the declared size."""
    return job.submitted.declared


def estimate_size(table, job):
    """Returns the estimated size by the policy of the settings."""
    return estimate_policies.entries[table.settings.estimate_policy](
        table, job
    )


def estimate_run_ms(table, job):
    """Returns the estimated run time."""
    run = find_history(table, job).run
    declared_ms = job.submitted.declared_run_ms
    if len(run.values) < table.settings.estimate_min_samples:
        return declared_ms
    return run.estimate(declared_ms, SIZE_QUANTILE)

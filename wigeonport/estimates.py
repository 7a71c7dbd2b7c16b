"""Estimates sizes and run times of jobs from delayed usage reports."""

from wigeonport.plan_registries import estimate_policies
from wigeonport.views import Size

SIZE_QUANTILE = 0.9
SPREAD_QUANTILES = (0.1, 0.9)
# Avoids a division by zero where zero was declared or measured.
MIN_DECLARED = 0.001


class Samples:
    """Newest samples of one quantity and their ratios to the declarations.

    Attributes:
        bound: Maximum number of samples kept.
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
        """Estimates the quantity for a job from a quantile of the samples.

        Declarations may be off by a constant factor or unrelated to the use.
        In the first case the ratios vary less than the values, and the
        estimate scales the declaration; else it is a quantile of the values.
        """
        if relative_spread(self.ratios) < relative_spread(self.values):
            return declared * find_quantile(self.ratios, quantile)
        return find_quantile(self.values, quantile)


def find_quantile(values, quantile):
    """Returns the nearest-rank quantile of a list that is not empty."""
    ordered = sorted(values)
    return ordered[min(int(quantile * len(ordered)), len(ordered) - 1)]


def relative_spread(values):
    """Returns the ratio of the high to the low quantile of a list."""
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
    """Returns the History of a job's team and kind; creates it if missing."""
    key = (job.submitted.team, job.submitted.job_kind)
    if key not in table.histories:
        table.histories[key] = History(table.settings.estimate_samples)
    return table.histories[key]


def learn_usage(table, job, used):
    """Adds the usage of a job to its history."""
    history = find_history(table, job)
    history.cores.add(used.cores, job.submitted.declared.cores)
    history.memory.add(used.memory_mb, job.submitted.declared.memory_mb)


def learn_run(table, job, run_ms):
    """Adds the run time of a finished job to its history."""
    history = find_history(table, job)
    history.run.add(run_ms, job.submitted.declared_run_ms)


@estimate_policies.register("learned")
def estimate_learned(table, job):
    """Estimates the size from the history.

    Too little memory makes the task fail while too few cores only slow it
    down, so memory is estimated by the highest sample and cores by a
    quantile, both with a margin. Accelerators are taken as declared, and so
    is everything until there are ``estimate_min_samples``.
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
    """Returns the size estimated by the policy in the settings."""
    return estimate_policies.entries[table.settings.estimate_policy](
        table, job
    )


def estimate_run_ms(table, job):
    """Returns the estimated run time of a job in ms.

    It is the declared one until there are ``estimate_min_samples``.
    """
    run = find_history(table, job).run
    declared_ms = job.submitted.declared_run_ms
    if len(run.values) < table.settings.estimate_min_samples:
        return declared_ms
    return run.estimate(declared_ms, SIZE_QUANTILE)

"""Comparison of two means from running moments whose evidence ages.

Only moments are kept, so that the memory does not grow with the number of
samples. No library of ``requirements.txt`` has these statistics.
"""

import math
import statistics

NORMAL = statistics.NormalDist()
# Smallest standard deviation that a group may show. A few equal samples say
# nothing about the spread; log run times are known to about 5%, because
# starts and ends are seen with a delay of some tens of ms.
MIN_DEVIATION = 0.05
# Smallest probability for which a quantile is computed.
MIN_PROBABILITY = 1e-12


class AgedMoments:
    """Weighted mean and variance of samples that lose weight with time.

    The update is that of D. H. D. West, "Updating mean and variance
    estimates: an improved method", CACM 22(9), 1979. The weight of a sample
    halves within each half-life.

    Attributes:
        half_life_ms: Time within which the weights halve.
        updated_ms: Time up to which the weights have aged.
        weight: Sum of the weights.
        squares: Sum of the squared weights.
        mean: Weighted mean.
        spread: Weighted sum of squared deviations from the mean.
    """

    __slots__ = (
        "half_life_ms",
        "updated_ms",
        "weight",
        "squares",
        "mean",
        "spread",
    )

    def __init__(self, half_life_ms):
        self.half_life_ms = half_life_ms
        self.updated_ms = 0
        self.weight = 0.0
        self.squares = 0.0
        self.mean = 0.0
        self.spread = 0.0

    def age(self, now_ms):
        """Lowers the weights to those at a time."""
        factor = 0.5 ** (max(0, now_ms - self.updated_ms) / self.half_life_ms)
        self.updated_ms = max(now_ms, self.updated_ms)
        self.weight *= factor
        self.squares *= factor * factor
        self.spread *= factor

    def add(self, value, now_ms):
        """Adds a sample of weight 1."""
        self.age(now_ms)
        self.weight += 1
        self.squares += 1
        deviation = value - self.mean
        self.mean += deviation / self.weight
        self.spread += deviation * (value - self.mean)

    def count(self):
        """Returns the effective number of samples (L. Kish, 1965)."""
        return self.weight**2 / self.squares if self.squares else 0.0

    def variance(self):
        """Returns the variance; there must be more than one sample."""
        count = self.count()
        return self.spread / self.weight * count / (count - 1)


class Comparison:
    """Difference of two means, with its standard error.

    B. L. Welch, "The generalization of 'Student's' problem when several
    different population variances are involved", Biometrika 34, 1947, with
    the degrees of freedom of F. E. Satterthwaite, 1946. Run times are skewed:
    a small group without a long run has a low mean and a low variance at the
    same time. No group therefore counts with less than the variance within
    both groups together.

    Attributes:
        difference: First mean less the second.
        error: Standard error of the difference.
        freedom: Degrees of freedom.
    """

    __slots__ = ("difference", "error", "freedom")

    def __init__(self, first, second):
        within = (first.spread + second.spread) / (
            first.weight + second.weight
        )
        least = max(MIN_DEVIATION**2, within)
        parts = [
            max(moments.variance(), least) / moments.count()
            for moments in (first, second)
        ]
        self.difference = first.mean - second.mean
        self.error = math.sqrt(sum(parts))
        self.freedom = sum(parts) ** 2 / sum(
            part**2 / (moments.count() - 1)
            for part, moments in zip(parts, (first, second), strict=True)
        )

    def lower_limit(self, probability):
        """Returns the limit below which the true value is that unlikely."""
        return self.difference - self.error * student_quantile(
            probability, self.freedom
        )

    def upper_limit(self, probability):
        """Returns the limit above which the true value is that unlikely."""
        return 2 * self.difference - self.lower_limit(probability)


def student_quantile(probability, freedom):
    """Returns the value that Student's t exceeds with a probability.

    The expansion is formula 26.7.5 of M. Abramowitz and I. A. Stegun,
    "Handbook of Mathematical Functions", 1964. It is accurate to 2% for
    probabilities of 1e-5 and more with 10 or more degrees of freedom, and
    too large, which is cautious, with fewer.
    """
    z = -NORMAL.inv_cdf(max(MIN_PROBABILITY, probability))
    terms = (
        z,
        (z**3 + z) / 4,
        (5 * z**5 + 16 * z**3 + 3 * z) / 96,
        (3 * z**7 + 19 * z**5 + 17 * z**3 - 15 * z) / 384,
        (79 * z**9 + 776 * z**7 + 1482 * z**5 - 1920 * z**3 - 945 * z) / 92160,
    )
    return sum(
        term / max(1, freedom) ** power for power, term in enumerate(terms)
    )

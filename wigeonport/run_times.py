"""Run times learned from the runs that are done.

Callers estimate the run time of their tasks. Where the estimates of a kind of
task turn out to be wrong by more than a factor of two, the run time is
predicted from the estimate and from the runs that are done: a regression of
the logarithm of the run time on that of the estimate, which corrects a bias
and trusts the estimates only as far as they have been right.
"""

import math

from wigeonport.logs import PartLogger

logger = PartLogger("dispatch")

# Weight of the assumption that estimates are right, in steps.
PRIOR_STEPS = 2.0
# Older steps lose weight, so that about the last 100 count.
RETENTION = 0.99
# Estimates are corrected above this root mean square error of the logarithm,
# which is a factor of two. The decisions have margins for smaller errors.
MAX_LOG_ERROR = math.log(2)
# A kind whose estimates count as wrong needs no correction below this error.
MIN_LOG_ERROR = math.log(1.75)
# Steps that must have contributed before estimates count as wrong.
MIN_STEPS = 5.0
# Maximum number of kinds; the one that has waited longest for a run is
# dropped.
MAX_KINDS = 1_024


class RunTimeModel:
    """Regression of the errors of estimates, for one kind of task.

    The error is the logarithm of run time over estimate. All sums lose weight
    with each sample (exponentially weighted moments).

    Attributes:
        weight: Number of steps that the samples stand for.
        mean_estimate: Mean logarithm of the estimates in ms.
        mean_error: Mean error.
        mean_square_error: Mean square of the error.
        estimate_variance: Variance of the logarithm of the estimates.
        covariance: Covariance of that logarithm and the error.
    """

    __slots__ = (
        "weight",
        "mean_estimate",
        "mean_error",
        "mean_square_error",
        "estimate_variance",
        "covariance",
    )

    def __init__(self):
        self.weight = 0.0
        self.mean_estimate = 0.0
        self.mean_error = 0.0
        self.mean_square_error = 0.0
        self.estimate_variance = 0.0
        self.covariance = 0.0

    def add(self, estimated_ms, run_ms, weight):
        """Adds one run.

        Args:
            estimated_ms: Estimate of the caller, positive.
            run_ms: Measured run time, positive.
            weight: Share of a step that the run stands for.
        """
        kept = self.weight * RETENTION**weight
        self.weight = kept + weight
        share = weight / self.weight
        estimate = math.log(estimated_ms)
        error = math.log(run_ms / estimated_ms)
        estimate_change = estimate - self.mean_estimate
        error_change = error - self.mean_error
        self.mean_estimate += share * estimate_change
        self.mean_error += share * error_change
        self.mean_square_error += share * (error**2 - self.mean_square_error)
        rest = 1 - share
        self.estimate_variance = rest * (
            self.estimate_variance + share * estimate_change**2
        )
        self.covariance = rest * (
            self.covariance + share * estimate_change * error_change
        )

    def has_wrong_estimates(self, known_wrong):
        """Returns whether the estimates need a correction.

        Args:
            known_wrong: Whether they have needed one so far.
        """
        limit = MIN_LOG_ERROR if known_wrong else MAX_LOG_ERROR
        return self.weight >= MIN_STEPS and self.mean_square_error > limit**2

    def predict(self, estimated_ms):
        """Returns the predicted run time in ms for an estimate."""
        estimate = math.log(max(1, estimated_ms))
        slope = 0.0
        if self.estimate_variance:
            # A slope below -1 would predict less for a higher estimate.
            slope = self.covariance / self.estimate_variance
            slope = min(0.0, max(-1.0, slope))
        error = self.mean_error + slope * (estimate - self.mean_estimate)
        trust = self.weight / (self.weight + PRIOR_STEPS)
        return max(1, round(math.exp(estimate + trust * error)))


class RunTimes:
    """The run times of all kinds of task, owned by the dispatcher.

    A kind is a step number of a queue. A new leader starts without samples
    and trusts the estimates until some steps have ended.

    Attributes:
        models: Maps pairs of queue name and step number to RunTimeModel, the
            one whose last run is the oldest first.
        wrong_kinds: Keys of the models of kinds with wrong estimates.
    """

    __slots__ = ("models", "wrong_kinds")

    def __init__(self):
        self.models = {}
        self.wrong_kinds = set()

    def record(self, queue, number, step, run_ms):
        """Records a run that is done.

        Args:
            queue: Name of the queue.
            number: Number of the step.
            step: Step.
            run_ms: Measured run time.
        """
        if step.estimated_ms <= 0 or run_ms <= 0:
            return
        kind = (queue, number)
        model = self.models.pop(kind, None) or RunTimeModel()
        model.add(step.estimated_ms, run_ms, 1 / step.count)
        self.models[kind] = model
        if len(self.models) > MAX_KINDS:
            oldest = next(iter(self.models))
            del self.models[oldest]
            self.wrong_kinds.discard(oldest)
        known_wrong = kind in self.wrong_kinds
        if model.has_wrong_estimates(known_wrong) != known_wrong:
            self.note_change(kind, model)

    def note_change(self, kind, model):
        """Notes that the estimates of a kind have become wrong or right."""
        self.wrong_kinds ^= {kind}
        logger.info(
            "Estimates judged.",
            queue=kind[0],
            step=kind[1],
            wrong=kind in self.wrong_kinds,
            mean_error=round(math.exp(model.mean_error), 2),
            spread=round(math.exp(math.sqrt(model.mean_square_error)), 2),
            steps=round(model.weight, 1),
        )

    def predict(self, queue, number, step):
        """Returns the predicted run time, in ms, of a task of a step.

        The arguments are those of ``record``.
        """
        kind = (queue, number)
        if kind not in self.wrong_kinds:
            return step.estimated_ms
        return self.models[kind].predict(step.estimated_ms)

    def predict_chain(self, queue, spec):
        """Returns the run time, in ms, of the longest chain of a JobSpec.

        Args:
            queue: Name of the queue.
            spec: JobSpec.
        """
        if not self.wrong_kinds:
            return spec.longest_chain_ms()
        return spec.compute_longest_chain(
            [
                self.predict(queue, number, step)
                for number, step in enumerate(spec.steps)
            ]
        )

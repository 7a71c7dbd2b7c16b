"""Evidence on which kinds of task slow each other down on one worker.

The evidence of a service is learned from its ended runs, without a clock or
messages. The unit of a sample is a step of a job: its tasks share their size
and their estimate, so that they are no independent samples. A run counts as
exposed to the kinds that run on its worker when it starts. At the start its
own run time is unknown, so that long runs are not exposed more often than
short ones, and a comparison of the two groups is valid.
"""

import math

from wigeonport.interference_pairs import Pair
from wigeonport.interference_samples import (
    LEVEL_HALF_LIFE_MS,
    Contrast,
    KindLevel,
    StepRuns,
)
from wigeonport.logs import PartLogger
from wigeonport.mean_comparisons import AgedMoments

logger = PartLogger("interference")

# Ended runs of a kind, and on a machine, before its runs become evidence. The
# error of a level is common to all samples that are taken against it, so that
# it has to be small beside their spread.
MIN_KIND_RUNS = 48
MIN_WORKER_RUNS = 16
# Weight, in runs, with which a machine counts as one of usual speed.
USUAL_WORKER_RUNS = 10
# Log ratio to the usual run time from which a machine counts as slow: a
# factor of 1.5, beyond the differences between sound machines of a kind.
SLOW_WORKER = math.log(1.5)
# Limit of a log residual, a factor of 2.7: the long tail of run times would
# otherwise decide a mean. Winsorization: W. J. Dixon, 1960.
MAX_RESIDUAL = 1.0
# Most kinds of a service; the number of pairs is its square.
MAX_KINDS = 12
# Time without a run after which a kind leaves its place to another one.
KIND_IDLE_MS = 600_000
# Most steps whose runs are being collected, and machines with a level, of one
# service.
MAX_OPEN_STEPS = 1_024
MAX_MACHINES = 1_024
# Longest time for which the runs of a step are collected.
MAX_STEP_MS = 15_000
# Probability of a wrong pair in one service, divided over its pairs and over
# the looks at each pair (Bonferroni). At most 1 wrong pair in 100 is allowed;
# half of it leaves a margin, because samples are not quite normal and those
# of one machine or minute not quite independent.
ERROR_PROBABILITY = 0.005


class ServiceEvidence:
    """What is known of the kinds of task on the workers of one service.

    Attributes:
        service: Name of the service.
        kinds: Maps the name of a kind to its KindLevel.
        machines: Maps machine to AgedMoments of the residuals there.
        steps: Maps the prefix of a step's task ids to its StepRuns.
        pairs: Maps pairs of kind and neighbour to Pair.
        separated: Maps a kind to a dict of the neighbours that slow it down
            to their Pair.
    """

    __slots__ = (
        "service",
        "kinds",
        "machines",
        "steps",
        "pairs",
        "separated",
    )

    def __init__(self, service):
        self.service = service
        self.kinds = {}
        self.machines = {}
        self.steps = {}
        self.pairs = {}
        self.separated = {}

    def include_kind(self, kind, now_ms):
        """Records that a kind is in use; returns whether it is followed."""
        level = self.kinds.get(kind)
        if level is None:
            if len(self.kinds) >= MAX_KINDS and not self.drop_idle(now_ms):
                return False
            level = self.kinds[kind] = KindLevel()
        level.used_ms = now_ms
        return True

    def drop_idle(self, now_ms):
        """Drops the kind that is idle for longest; returns if there is one."""
        kind = min(self.kinds, key=lambda name: self.kinds[name].used_ms)
        if now_ms - self.kinds[kind].used_ms < KIND_IDLE_MS:
            return False
        del self.kinds[kind]
        for key in [key for key in self.pairs if kind in key]:
            self.set_separated(self.pairs.pop(key), None, "idle")
        return True

    def add_run(self, run, now_ms):
        """Adds an ended run to the levels and to the runs of its step."""
        if not self.include_kind(run.kind, now_ms):
            return
        level = self.kinds[run.kind]
        machine = self.find_machine(run.machine)
        log_run = math.log(max(1, run.run_ms))
        log_estimate = math.log(max(1, run.estimated_ms))
        known = level.count >= MIN_KIND_RUNS
        expected = level.predict(log_estimate)
        residual = log_run - expected
        if known:
            residual = max(-MAX_RESIDUAL, min(MAX_RESIDUAL, residual))
        slow_by = machine.mean * machine.weight
        slow_by /= machine.weight + USUAL_WORKER_RUNS
        causes = self.separated.get(run.kind, {}).keys() & run.exposed
        if (
            known
            and machine.weight >= MIN_WORKER_RUNS
            and slow_by < SLOW_WORKER
        ):
            self.collect(run, residual - slow_by, causes, now_ms)
        # Runs that a known neighbour has slowed down say nothing about the
        # usual speed of their kind or machine.
        if not causes:
            level.add(expected + residual, log_estimate, now_ms)
            if known:
                machine.add(residual, now_ms)

    def find_machine(self, name):
        """Returns the AgedMoments of a machine; creates them if missing."""
        moments = self.machines.get(name)
        if moments is None:
            if len(self.machines) >= MAX_MACHINES:
                del self.machines[next(iter(self.machines))]
            moments = self.machines[name] = AgedMoments(LEVEL_HALF_LIFE_MS)
        return moments

    def collect(self, run, residual, causes, now_ms):
        """Adds the residual of a run to its step.

        A run beside a neighbour that is known to slow it down is evidence on
        this pair only.
        """
        step = self.steps.get(run.step)
        if step is None:
            if len(self.steps) >= MAX_OPEN_STEPS:
                self.close_step(next(iter(self.steps)), now_ms)
            step = self.steps[run.step] = StepRuns(run.kind, now_ms)
        for neighbour in self.kinds:
            if causes and causes != {neighbour}:
                continue
            contrast = step.contrasts.get(neighbour)
            if contrast is None:
                contrast = step.contrasts[neighbour] = Contrast()
            contrast.add(run, neighbour, residual)

    def close_step(self, name, now_ms):
        """Adds the means of a step's runs to the pairs of its kind."""
        step = self.steps.pop(name)
        for neighbour, contrast in step.contrasts.items():
            key = (step.kind, neighbour)
            if step.kind not in self.kinds or neighbour not in self.kinds:
                continue
            pair = self.pairs.get(key)
            if pair is None:
                pair = self.pairs[key] = Pair(*key)
            pair.add(contrast, now_ms)

    def review(self, is_over, now_ms):
        """Closes steps that are over, and takes up and drops pairs.

        Args:
            is_over: Function that returns whether the step with a prefix has
                ended.
            now_ms: Monotonic time.
        """
        for name, step in list(self.steps.items()):
            if now_ms - step.opened_ms > MAX_STEP_MS or is_over(name):
                self.close_step(name, now_ms)
        for pair in list(self.pairs.values()):
            reason = pair.find_drop_reason(now_ms) if pair.separated else ""
            if reason:
                self.set_separated(pair, None, reason)
            elif not pair.separated and pair.is_due():
                self.evaluate(pair, now_ms)

    def evaluate(self, pair, now_ms):
        """Takes up a pair if it slows its kind down beyond doubt.

        The pair has to be the clearest of its kind: another one may only
        look harmful because both neighbours often run together.
        """
        allowed = ERROR_PROBABILITY / max(1, len(self.kinds)) ** 2
        if not pair.is_harmful(allowed, now_ms):
            return
        rivals = [
            other
            for other in self.pairs.values()
            if other.kind == pair.kind and not other.separated
        ]
        if max(rivals, key=Pair.clearness) is not pair:
            return
        self.set_separated(pair, now_ms, "")
        # What the other pairs of the kind have seen includes this cause.
        for other in rivals:
            if other is not pair:
                del self.pairs[other.kind, other.neighbour]
        for name, step in list(self.steps.items()):
            if step.kind == pair.kind:
                del self.steps[name]

    def set_separated(self, pair, since_ms, reason):
        """Takes up a pair at a time, or drops it with None, and logs it."""
        was_separated, pair.separated_ms = pair.separated, since_ms
        if pair.separated == was_separated:
            return
        if pair.separated:
            self.separated.setdefault(pair.kind, {})[pair.neighbour] = pair
            logger.info("Interference found.", **self.describe(pair))
            return
        del self.separated[pair.kind][pair.neighbour]
        pair.looks = 0
        logger.info(
            "Interference dropped.", **self.describe(pair), reason=reason
        )

    def describe(self, pair):
        """Returns the fields of a log line or of a row of the table."""
        return {"service": self.service, **pair.to_fields()}

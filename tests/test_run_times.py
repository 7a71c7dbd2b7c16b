"""Tests of the run times that are learned from the runs that are done."""

import math
import random

import pytest
from batch_fixtures import JOB, DispatcherHarness, make_queue, started_runs
from hypothesis import given
from hypothesis import strategies as st

from wigeonport.batch_specs import JobSpec, Step
from wigeonport.job_orders import RankedJob
from wigeonport.run_times import MAX_KINDS, RunTimeModel, RunTimes
from wigeonport.worker_reports import Resources

MACHINE = Resources(16_000, 32_768, 0)
KIND = ("plans", 0)
ONE = {"count": 1, "cpu_milli": 1_000, "memory_mb": 100, "estimated_ms": 400}


def make_step(estimated_ms=400, **values):
    """Returns a step."""
    return Step({"estimated_ms": estimated_ms} | values)


@pytest.fixture
def learn():
    """Learns from steps whose estimates have a bias and a spread.

    Takes the factor by which estimates are too low and the standard deviation
    of their logarithm, and returns the RunTimes and the run times in ms.
    """

    def learn_steps(factor, spread, count=60):
        source = random.Random(7)
        run_times, times_ms = RunTimes(), []
        for _ in range(count):
            run_ms = 850 * source.lognormvariate(0, 0.5)
            estimate = run_ms / factor * source.lognormvariate(0, spread)
            run_times.record(*KIND, make_step(max(1, int(estimate))), run_ms)
            times_ms.append(run_ms)
        return run_times, times_ms

    return learn_steps


def test_estimates_that_are_right_stay(learn):
    """Estimates within the usual errors must decide as before."""
    run_times, _ = learn(1.0, 0.2)
    assert run_times.predict(*KIND, make_step(1_234)) == 1_234
    spec = JobSpec("text", [make_step(1_000), make_step(500)])
    assert run_times.predict_chain("plans", spec) == spec.longest_chain_ms()


def test_low_estimates_are_corrected(learn):
    """Work that is estimated at less than half must not get half the room."""
    run_times, times_ms = learn(2.3, 0.9)
    mean_log = sum(map(math.log, times_ms)) / len(times_ms)
    predicted = run_times.predict(*KIND, make_step(int(850 / 2.3)))
    assert math.exp(mean_log) / 1.25 < predicted < math.exp(mean_log) * 1.25


def test_useless_estimates_lead_to_the_usual_run_time(learn):
    """An estimate that is far off must not move a prediction as far."""
    run_times, _ = learn(1.0, 2.0)
    low = run_times.predict(*KIND, make_step(85))
    high = run_times.predict(*KIND, make_step(8_500))
    assert 1 <= high / low < 10


def test_few_runs_correct_nothing(learn):
    """A handful of steps must not overrule the callers."""
    run_times, _ = learn(5.0, 0.1, count=4)
    assert run_times.predict(*KIND, make_step(100)) == 100


def test_kinds_are_bounded():
    """Queues that come and go must not use up the memory of the leader."""
    run_times = RunTimes()
    for number in range(MAX_KINDS + 50):
        for _ in range(6):
            run_times.record(f"q{number}", 0, make_step(10), 10_000)
    assert len(run_times.models) == MAX_KINDS
    assert run_times.wrong_kinds <= run_times.models.keys()


@given(
    st.lists(
        st.tuples(
            st.integers(1, 2**53),
            st.integers(1, 2**53),
            st.sampled_from([1.0, 0.5, 1 / 10_000]),
        ),
        min_size=6,
    ),
    st.integers(0, 2**53),
)
def test_predictions_are_positive_numbers(samples, estimated_ms):
    """No estimate that a caller may send must break the ranking."""
    model = RunTimeModel()
    for sample in samples:
        model.add(*sample)
    assert 1 <= model.predict(estimated_ms) < math.inf


def run_task(harness, job_id, run_ms, lost_answers=0):
    """Runs a job of one task on a worker, and reports its end."""
    harness.submit(ONE, job_id=job_id)
    orders = harness.heartbeat()
    for _ in range(lost_answers):
        harness.now_ms += 500
        orders = harness.heartbeat()
    ((task, run),) = started_runs(orders)
    harness.now_ms += run_ms + 50
    harness.heartbeat(ended=[(1, task, run, "done")])


def learned(harness):
    """Returns the models of the dispatcher."""
    return harness.dispatcher.run_times.models


def test_run_times_are_measured_from_order_to_end():
    """A leader must learn from what its workers report."""
    harness = DispatcherHarness()
    run_task(harness, JOB, 1_000)
    model = learned(harness)[KIND]
    assert model.mean_error == pytest.approx(math.log(1_000 / 400))
    assert model.weight == 1


def test_runs_with_an_unknown_start_are_left_out():
    """An order that was lost must not make a task look slow."""
    harness = DispatcherHarness()
    run_task(harness, JOB, 1_000, lost_answers=1)
    assert not learned(harness)


def test_burst_of_underestimated_jobs_gets_its_room(learn):
    """Load: a peak of jobs whose estimates are less than half of the work.

    The work by which the pool is sized must not be below the real work by
    more than the margin for estimates, a quarter.
    """
    run_times, _ = learn(2.3, 0.9)
    harness = DispatcherHarness()
    source = random.Random(3)
    real_ms, planned = 0, 0
    for number in range(40):
        run_ms = 850 * source.lognormvariate(0, 0.5)
        estimate = int(run_ms / 2.3 * source.lognormvariate(0, 0.9))
        job_id = f"{number:016x}"
        step = ONE | {"cpu_milli": 16_000, "estimated_ms": max(1, estimate)}
        harness.submit(step, job_id=job_id)
        job = harness.dispatcher.state.batch.jobs[job_id]
        ranked = RankedJob(job, make_queue(), MACHINE, run_times)
        real_ms += run_ms
        planned += ranked.waiting_work
    assert real_ms / 1.25 < planned < real_ms * 1.5

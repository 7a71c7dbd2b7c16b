"""Tests of the orders in the answers to heartbeats."""

from batch_fixtures import HOST, DispatcherHarness, started_runs
from worker_codec import encode_orders

from wigeonport.batch_calls import OK, SUBMIT, BatchCall
from wigeonport.batch_specs import JobSpec, Step
from wigeonport.servers import respond_json
from wigeonport.worker_reports import Resources

# Workers drop larger answers.
MAX_ANSWER_BYTES = 4 * 1024 * 1024
PAYLOAD = "\u0639" * 2_000
STEP = {"count": 64, "cpu_milli": 60, "memory_mb": 64, "estimated_ms": 900}
JOBS = 10


def test_burst_of_small_tasks_fits_into_the_answers():
    """Guards against a worker that never takes its answer.

    Load: a burst of jobs of many small tasks with a long text each. Every
    answer must stay below the limit of the worker, and each run that is
    placed on it must be ordered.
    """
    harness = DispatcherHarness()
    spec = JobSpec(PAYLOAD, [Step(STEP)]).to_json()
    for number in range(JOBS):
        path = f"/plans/{number:016x}"
        call = BatchCall(SUBMIT, HOST, path, spec)
        assert harness.dispatcher.on_call(call, harness.now_ms).outcome == OK
    capacity = Resources(32_000, 65_536, 0)
    ordered = []
    for _ in range(10):
        running = [(*key, "", 5) for key in ordered]
        orders = harness.heartbeat(running=running, capacity=capacity)
        body = respond_json(200, encode_orders(orders, "10.0.0.1:80")).body
        assert len(body) <= MAX_ANSWER_BYTES
        ordered += started_runs(orders)
        harness.now_ms += orders.retry_after_ms
    worker = harness.dispatcher.workers.by_id["w1"]
    assert set(ordered) == worker.runs.keys()
    assert len(ordered) == len(set(ordered)) == 32_000 // 60

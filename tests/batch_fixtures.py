"""Shared fixtures of the tests on batch jobs."""

import pytest

from wigeonport.batch_calls import CANCEL, COUNT, STATE, SUBMIT, BatchCall
from wigeonport.batch_dispatchers import BatchDispatcher
from wigeonport.batch_settings import BatchSettings
from wigeonport.batch_specs import JobSpec, Step
from wigeonport.route_tables import (
    Queue,
    QueueLimits,
    RoutedService,
    RouteTable,
)
from wigeonport.states import ReplicatedState
from wigeonport.worker_reports import (
    Resources,
    RunEnd,
    RunReport,
    WorkerReport,
)

HOST = "jobs.example"
JOB = "00000000000000aa"


def make_queue(name="plans", service="desk", **values):
    """Returns a queue with usual limits."""
    defaults = {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "service": service,
        "timeout_ms": 3_000,
        "target_latency_ms": 3_600,
        "priority": 0,
        "attempts": 2,
        "stretch": 1.6,
        "advice": None,
    }
    return Queue(defaults | values)


def make_table(version=1, queues=None, standby=()):
    """Returns a routing table."""
    queues = queues or [make_queue()]
    names = {queue.service for queue in queues}
    services = [RoutedService(name, True, False, "/") for name in names]
    services += [RoutedService(name, True, True, "/") for name in standby]
    limits = QueueLimits(16_384, 262_144, 3_000, 15_000)
    return RouteTable(version, queues, services, limits, "{}")


class Scene:
    """A dispatcher with a clock and workers that tests drive.

    Attributes:
        dispatcher: BatchDispatcher.
        now_ms: Monotonic and wall time.
        sequences: Newest heartbeat number by worker.
    """

    __slots__ = ("dispatcher", "now_ms", "sequences")

    def __init__(self, table=None):
        state = ReplicatedState()
        state.routes.adopt(table or make_table())
        self.now_ms = 100_000
        self.sequences = {}
        self.dispatcher = BatchDispatcher(
            state, BatchSettings(), 3, self.now_ms
        )

    def call(self, verb, rest="", queue="plans", steps=(), host=HOST):
        """Returns the reply to a caller's request."""
        spec = JobSpec("text", [Step(values) for values in steps]).to_json()
        path = f"/{queue}/{rest}"
        return self.dispatcher.on_call(
            BatchCall(verb, host, path, spec), self.now_ms
        )

    def submit(self, *steps, job_id=JOB, queue="plans"):
        """Submits a job."""
        return self.call(SUBMIT, job_id, queue, steps)

    def state(self, job_id=JOB):
        """Returns the state of a job."""
        return self.call(STATE, job_id).detail

    def cancel(self, job_id=JOB):
        """Cancels a job."""
        return self.call(CANCEL, job_id)

    def waiting(self):
        """Returns the number of jobs that have not begun."""
        return self.call(COUNT).number

    def beat(self, worker="w1", running=(), ended=(), **values):
        """Returns the orders to a worker.

        Args:
            worker: Worker id.
            running: Rows of task, run and, optionally, checkpoint,
                percent and gauge.
            ended: Rows of number, task, run, outcome and, optionally,
                checkpoint.
            values: Further fields of the report.
        """
        self.sequences[worker] = self.sequences.get(worker, 0) + 1
        fill = ("", 0, 0)
        report = WorkerReport(
            worker_id=worker,
            started_ms=values.get("born_ms", 50_000),
            sequence=values.get("sequence", self.sequences[worker]),
            service=values.get("service", "desk"),
            machine=values.get("machine", f"vm-{worker}"),
            availability_zone="ikeja",
            rack=values.get("rack", "r1"),
            labels=("a", values.get("rack", "r1")),
            capacity=values.get("capacity", Resources(4_000, 8_000, 0)),
            draining=values.get("draining", False),
            drain_remaining_ms=0,
            running=[
                RunReport(*row, *fill[len(row) - 2 :]) for row in running
            ],
            ended=[RunEnd(*row, *("",)[len(row) - 4 :]) for row in ended],
        )
        return self.dispatcher.on_report(report, self.now_ms, self.now_ms)

    def advance(self, duration_ms):
        """Moves the clock and fires timers."""
        self.now_ms += duration_ms
        self.dispatcher.on_tick(self.now_ms, self.now_ms)


@pytest.fixture
def scene():
    """A scene with one queue and one service."""
    return Scene()


def names(orders):
    """Returns the pairs of task and run that orders start."""
    return [(start.task, start.run) for start in orders.starts]

"""Shared fixtures of the tests of batch jobs."""

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
from wigeonport.tenants import Tenant, TenantTable, digest_key
from wigeonport.worker_reports import (
    Resources,
    RunEnd,
    RunReport,
    WorkerReport,
)

HOST = "jobs.example"
JOB = "00000000000000aa"


def make_queue(name="plans", service="desk", **values):
    """Returns a queue with default values, changed by ``values``."""
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


def make_tenant(name, *keys, weight=1, **maximum):
    """Returns a tenant with these keys; ``maximum`` limits what it runs."""
    digests = [digest_key(key) for key in keys]
    return Tenant(name, digests, 0, weight, Resources(**maximum))


def make_table(version=1, queues=None, standby=(), tenants=None):
    """Returns a routing table with the services of its queues.

    Args:
        version: Version of the table.
        queues: Queues, or None for one default queue.
        standby: Names of standby services.
        tenants: Tenants, or None if no call needs a key.
    """
    queues = queues or [make_queue()]
    service_names = {queue.service for queue in queues}
    services = [
        RoutedService(name, True, False, "/") for name in service_names
    ]
    services += [RoutedService(name, True, True, "/") for name in standby]
    limits = QueueLimits(16_384, 262_144, 3_000, 15_000)
    tenant_table = None if tenants is None else TenantTable(tenants)
    return RouteTable(version, queues, services, limits, "{}", tenant_table)


class DispatcherHarness:
    """A dispatcher with a manual clock and simulated workers.

    Attributes:
        dispatcher: BatchDispatcher.
        now_ms: Monotonic time, which is the wall time as well.
        sequences: Maps worker id to the sequence number of its newest
            heartbeat.
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

    def call(
        self, verb, rest="", queue="plans", steps=(), host=HOST, key=None
    ):
        """Sends a caller's request and returns the BatchReply."""
        spec = JobSpec("text", [Step(values) for values in steps]).to_json()
        path = f"/{queue}/{rest}"
        return self.dispatcher.on_call(
            BatchCall(verb, host, path, spec, "", key), self.now_ms
        )

    def submit(self, *steps, job_id=JOB, queue="plans", key=None):
        """Submits a job with these steps and returns the BatchReply."""
        return self.call(SUBMIT, job_id, queue, steps, key=key)

    def state(self, job_id=JOB):
        """Returns the state of a job."""
        return self.call(STATE, job_id).detail

    def cancel(self, job_id=JOB):
        """Cancels a job and returns the BatchReply."""
        return self.call(CANCEL, job_id)

    def waiting(self):
        """Returns the number of jobs of which no task has started."""
        return self.call(COUNT).number

    def heartbeat(self, worker="w1", running=(), ended=(), **values):
        """Sends a heartbeat and returns the WorkerOrders in answer.

        Args:
            worker: Worker id.
            running: Rows of the live runs: task, run and, optionally,
                checkpoint, percent and measurement.
            ended: Rows of the ended runs: number, task, run, outcome and,
                optionally, checkpoint.
            values: Fields of the WorkerReport that differ from the defaults;
                ``born_ms`` sets ``started_ms``.
        """
        self.sequences[worker] = self.sequences.get(worker, 0) + 1
        defaults = ("", 0, 0)
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
            clock_ms=values.get("clock_ms", 0),
            running=[
                RunReport(*row, *defaults[len(row) - 2 :]) for row in running
            ],
            ended=[RunEnd(*row, *("",)[len(row) - 4 :]) for row in ended],
            skipped_ends=values.get("skipped_ends", ()),
        )
        return self.dispatcher.on_report(report, self.now_ms, self.now_ms)

    def advance(self, duration_ms):
        """Advances the clock and runs a tick of the dispatcher."""
        self.now_ms += duration_ms
        self.dispatcher.on_tick(self.now_ms, self.now_ms)


@pytest.fixture
def harness():
    """A dispatcher harness with one queue and one service."""
    return DispatcherHarness()


def started_runs(orders):
    """Returns the pairs of task and run that the orders start."""
    return [(start.task, start.run) for start in orders.starts]

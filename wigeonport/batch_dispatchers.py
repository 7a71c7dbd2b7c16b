"""Decisions of the leader on batch jobs and workers.

The dispatcher holds a working copy of the replicated state. It applies
each operation at once and hands it out in ``operations``; what it decides
may be told to others only after these are committed.
"""

from wigeonport.advice_tickets import Tickets
from wigeonport.batch_calls import INVALID, NO_QUEUE, OK, PROBE, BatchReply
from wigeonport.batch_commands import (
    EndRuns,
    OpenOccurrence,
    StartRuns,
    SubmitJob,
)
from wigeonport.batch_jobs import LOST
from wigeonport.batch_requests import call_handlers
from wigeonport.batch_specs import split_task_id
from wigeonport.batch_states import apply_operation
from wigeonport.fill_pacers import pace_fills
from wigeonport.job_orders import JobClaim
from wigeonport.logs import PartLogger
from wigeonport.run_orders import add_starts, reconcile
from wigeonport.run_reports import take_ends, take_progress
from wigeonport.task_copies import find_copies, place_copies
from wigeonport.task_evacuations import withdraw_stops
from wigeonport.task_placements import place_gangs, place_tasks
from wigeonport.worker_reports import WorkerOrders
from wigeonport.worker_tables import WorkerTable, lease_end_ms
from wigeonport.worker_verdicts import review_worker

logger = PartLogger("dispatch")

# Steps whose tickets are kept.
MAX_TICKET_STEPS = 4_096


class BatchDispatcher:
    """Decides for one term.

    Attributes:
        state: Working copy of the ReplicatedState.
        settings: BatchSettings.
        term: Term of the leader, the fence of its orders.
        since_ms: Monotonic start of the term at this replica.
        workers: WorkerTable.
        heartbeat_interval_ms: Interval of heartbeats of a worker without news.
        active: Job by id, of those whose tasks may be started.
        operations: Operations since the last ``take_operations``.
        orphans_until_ms: Until when runs of workers that this leader has
            not heard of may live.
        failed_on: Time of the failure by worker id, by task.
        claims: OrderedClaims by service.
        tickets: Tickets by name of a step, for queues with advice.
        copies: Lists of the tasks that want a copy, by service.
        waiting_since: First time at which a step waited for a near worker.
        wall_ms: Wall time of the current step.
        now_ms: Monotonic time of the current step.
    """

    __slots__ = (
        "state",
        "settings",
        "term",
        "since_ms",
        "workers",
        "heartbeat_interval_ms",
        "active",
        "operations",
        "orphans_until_ms",
        "failed_on",
        "claims",
        "tickets",
        "copies",
        "waiting_since",
        "wall_ms",
        "now_ms",
    )

    def __init__(self, state, settings, term, now_ms):
        self.state = state
        self.settings = settings
        self.term = term
        self.since_ms = now_ms
        self.workers = WorkerTable()
        self.heartbeat_interval_ms = settings.heartbeat_interval_ms
        self.active = {}
        self.operations = []
        # The former leader may have answered until this one was elected.
        self.orphans_until_ms = lease_end_ms(settings.run_lease_ms, now_ms)
        self.failed_on = {}
        self.claims = {}
        self.tickets = {}
        self.copies = {}
        self.waiting_since = {}
        self.wall_ms = 0
        self.now_ms = now_ms
        for job in state.batch.jobs.values():
            if job.active:
                self.active[job.job_id] = job
            for task, run, worker, step in job.live_runs():
                self.workers.add_run(worker, task, run, step)

    def silence_ms(self):
        """Returns the silence after which a worker gets no task."""
        return self.settings.max_silent_intervals * self.heartbeat_interval_ms

    def record(self, operation):
        """Applies an operation to the working copy and hands it out."""
        if isinstance(operation, EndRuns):
            self.drop_ended(operation)
        apply_operation(self.state, operation, self.wall_ms)
        self.operations.append(operation)
        if isinstance(operation, StartRuns):
            self.note_starts(operation)
        elif isinstance(operation, SubmitJob):
            job = self.state.batch.jobs.get(operation.job_id)
            if job is not None and job.active:
                self.active[job.job_id] = job
                self.order_job(job)

    def order_job(self, job):
        """Takes a new job into the order of its service, if that is kept."""
        queue = self.state.routes.queue_of(job.queue)
        kept = self.claims.get(queue.service if queue else "")
        if kept is not None:
            kept.add(JobClaim(job, queue))

    def note_starts(self, operation):
        """Keeps the index of live runs."""
        for name, run in zip(operation.tasks, operation.runs, strict=True):
            step = self.task_of(name)[1].step
            self.workers.add_run(operation.worker, name, run, step)

    def drop_ended(self, operation):
        """Removes runs from the index of live runs before they end."""
        for name, run in zip(operation.tasks, operation.runs, strict=True):
            found = self.task_of(name)
            if found is not None:
                worker = found[2].runs.get(run)
                self.workers.drop_run(worker, name, run)

    def take_operations(self):
        """Returns and clears the operations to commit."""
        operations, self.operations = self.operations, []
        return operations

    def task_of(self, name):
        """Returns job, StepRun and Task of a name, or None."""
        try:
            job_id, *position = split_task_id(name)
        except ValueError:
            return None
        job = self.state.batch.jobs.get(job_id)
        found = job.find(*position) if job else None
        return (job, *found) if found else None

    def is_wanted(self, name, run):
        """Returns whether a run is to go on."""
        found = self.task_of(name)
        if found is None:
            return False
        job, _, task = found
        return job.active and not task.done and run in task.runs

    def on_report(self, report, now_ms, wall_ms):
        """Takes in a heartbeat and returns the WorkerOrders."""
        self.wall_ms, self.now_ms = wall_ms, now_ms
        orders = WorkerOrders(self.term, self.heartbeat_interval_ms)
        worker, over = self.workers.admit(report, now_ms)
        for incarnation in over:
            self.lose(incarnation, "the worker has started anew")
        if worker is None:
            logger.info(
                "Heartbeat is outdated.",
                worker=report.incarnation,
                sequence=report.sequence,
            )
            return orders
        if report.capacity is None:
            return orders
        self.reserve_ordered(worker, now_ms)
        take_ends(self, worker, orders)
        take_progress(self, worker)
        review_worker(self, worker, now_ms)
        withdraw_stops(self, worker)
        reconcile(self, worker, orders)
        pace_fills(worker, orders)
        if worker.accepts(now_ms, self.silence_ms()):
            place_gangs(self, now_ms, wall_ms)
            place_tasks(self, worker, now_ms, wall_ms)
            place_copies(self, worker, now_ms, wall_ms)
        add_starts(self, worker, orders)
        orders.run_lease_ms = self.settings.run_lease_ms
        worker.extend_lease(orders.run_lease_ms, now_ms)
        return orders

    def reserve_ordered(self, worker, now_ms):
        """Keeps new tasks away from a worker whose machine has an order."""
        ordered = worker.report.machine in self.state.upkeep.orders
        if ordered and worker.reserved_ms is None:
            worker.reserved_ms = now_ms

    def drop_runs(self, keys):
        """Records runs that are surely not live."""
        if keys:
            tasks = [task for task, _ in keys]
            runs = [run for _, run in keys]
            # Makes the newest checkpoint durable with the loss.
            checkpoint = [self.task_of(task)[2].checkpoint for task in tasks]
            self.record(EndRuns(tasks, runs, [LOST] * len(tasks), checkpoint))

    def lose(self, incarnation, reason):
        """Records that all runs of a life of a worker are over."""
        keys = list(self.workers.runs.get(incarnation, ()))
        self.drop_runs(keys)
        self.workers.runs.pop(incarnation, None)
        logger.warning(
            "Worker is lost.",
            worker=incarnation,
            reason=reason,
            runs=len(keys),
        )

    def on_tick(self, now_ms, wall_ms):
        """Notes workers whose leases have lapsed, and opens occurrences."""
        self.wall_ms, self.now_ms = wall_ms, now_ms
        for worker in list(self.workers.by_id.values()):
            if now_ms > worker.lease_until_ms and (
                now_ms - worker.heard_ms > self.settings.run_lease_ms
            ):
                self.workers.forget(worker)
                self.lose(worker.incarnation, "the lease has lapsed")
        if now_ms > self.orphans_until_ms:
            known = self.workers.incarnations()
            for incarnation in list(self.workers.runs):
                if incarnation not in known:
                    self.lose(incarnation, "no heartbeat in this term")
        self.heartbeat_interval_ms = self.settings.choose_heartbeat_interval(
            len(self.workers.by_id)
        )
        self.copies = find_copies(self, now_ms)
        self.open_occurrences(wall_ms)

    def open_occurrences(self, wall_ms):
        """Opens the occurrences that are due."""
        for job in list(self.active.values()):
            spec = job.spec
            while (
                job.active
                and job.opened < spec.repeat_count
                and spec.due_ms(job.opened) <= wall_ms
            ):
                self.record(OpenOccurrence(job.job_id, job.opened))

    def needs_ticket(self, job):
        """Returns whether the starts of a job carry tickets."""
        queue = self.state.routes.queue_of(job.queue)
        return queue is not None and queue.advice is not None

    def tickets_of(self, step):
        """Returns the Tickets of a step."""
        found = self.tickets.get(step)
        if found is None:
            if len(self.tickets) >= MAX_TICKET_STEPS:
                self.tickets.pop(next(iter(self.tickets)))
            found = self.tickets[step] = Tickets()
        return found

    def services_with_advice(self):
        """Returns the services with an active job that needs advice."""
        services = set()
        for job in self.active.values():
            queue = self.state.routes.queue_of(job.queue)
            if queue is not None and queue.advice is not None:
                services.add(queue.service)
        return services

    def services_with_gangs(self):
        """Returns the services with an active job that has a gang."""
        services = set()
        for job in self.active.values():
            if any(step.gang for step in job.spec.steps):
                queue = self.state.routes.queue_of(job.queue)
                services.add(queue.service if queue else "")
        return services

    def on_call(self, call, wall_ms):
        """Returns the BatchReply to a BatchCall."""
        self.wall_ms = wall_ms
        if call.verb == PROBE:
            return BatchReply(OK)
        queue = self.state.routes.table.resolve(call.host, call.path)
        if queue is None:
            return BatchReply(NO_QUEUE)
        rest = call.path[len(queue.path_prefix) :]
        handler = call_handlers.get(call.verb)
        if handler.is_error():
            return BatchReply(INVALID, handler.error)
        return handler.ok(self, call, queue, rest)

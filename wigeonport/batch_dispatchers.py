"""Decisions of the leader on batch jobs and workers.

The dispatcher holds a working copy of the replicated state. It applies each
operation to this copy at once and collects it in ``operations``. Answers to
workers and callers may be sent only after these operations are committed.
"""

from wigeonport.advice_tickets import TicketTable
from wigeonport.batch_calls import OK, PROBE, BatchReply
from wigeonport.batch_commands import (
    AdoptRoutes,
    EndRuns,
    StartRuns,
    SubmitJob,
)
from wigeonport.batch_jobs import LOST
from wigeonport.batch_requests import answer_call
from wigeonport.batch_specs import split_task_id
from wigeonport.batch_states import apply_operation
from wigeonport.fill_rates import update_fill_rates
from wigeonport.filler_spreads import forget_waits
from wigeonport.interference_tables import make_table
from wigeonport.job_occurrences import open_occurrences
from wigeonport.lasting_placements import place_on_reserved
from wigeonport.lease_expiries import drop_expired
from wigeonport.logs import PartLogger
from wigeonport.memory_admissions import MemoryAdmissions
from wigeonport.run_orders import add_starts, choose_interval, reconcile
from wigeonport.run_reports import record_ended_runs, record_reported_runs
from wigeonport.run_times import RunTimes
from wigeonport.task_copies import find_tasks_to_copy, start_copies
from wigeonport.task_evacuations import withdraw_stops
from wigeonport.task_placements import place_gangs, place_tasks
from wigeonport.tenant_buckets import TenantAdmissions
from wigeonport.tenant_shares import charge_start
from wigeonport.tenant_usage import TenantUsage
from wigeonport.waiting_tasks import log_waiting_tasks
from wigeonport.worker_evaluations import review_worker
from wigeonport.worker_registrations import (
    drop_silent,
    find_rejection,
    keep_pending,
    register_pending,
)
from wigeonport.worker_reports import WorkerOrders
from wigeonport.worker_tables import WorkerTable, lease_end_ms

logger = PartLogger("dispatch")

# Maximum number of ends in one operation: with checkpoints of 4,000 bytes it
# still fits into a log entry.
MAX_ENDS_PER_OPERATION = 100
# Time until the next heartbeat of a worker that has room for more tasks than
# one answer starts.
MORE_STARTS_INTERVAL_MS = 100


class BatchDispatcher:
    """Decides on jobs, tasks and workers during one term of the leader.

    Attributes:
        state: Working copy of the ReplicatedState.
        settings: BatchSettings.
        term: Term of the leader, the fencing token of its orders.
        since_ms: Monotonic time at which the term began at this replica.
        workers: WorkerTable.
        heartbeat_interval_ms: Interval between the heartbeats of a worker
            that has no event to report.
        active: Maps job id to BatchJob, for jobs whose tasks may be started.
        gang_jobs: The same, for jobs with a step whose tasks are a gang.
        lasting_jobs: The same, for jobs with a lasting step.
        operations: Operations since the last ``take_operations``.
        orphans_until_ms: Monotonic time until which runs may be live on
            workers that have sent no heartbeat to this leader.
        failure_times: Maps task id to a dict from worker id to the
            monotonic time of the last failure there, in ms.
        rankings: Maps service to its JobRanking.
        run_times: RunTimes, learned in this term.
        usage: TenantUsage.
        shares: Maps service to its PoolShares, if there are tenants.
        admissions: TenantAdmissions.
        memory: MemoryAdmissions.
        tickets: TicketTable of the steps of queues with advice.
        tasks_to_copy: Maps service to the ids of the tasks that need a
            speculative copy.
        rack_wait_start_ms: Maps the common prefix of a step's task ids to
            the monotonic time at which the step began to wait for a worker
            in the rack of its data.
        spread_since_ms: Maps the common prefix of the ids of a filler step's
            tasks to the time since which some wait for their spread.
        spreads: Maps the same prefix to the Spread of the step.
        interference: InterferenceTable, or None if it is switched off.
        waits: Maps the id of each lasting task that waits to its Wait.
        waits_due_ms: Monotonic time of the next check for them.
        wall_ms: Wall time of the event being handled.
        now_ms: Monotonic time of the event being handled.
    """

    __slots__ = (
        "state",
        "settings",
        "term",
        "since_ms",
        "workers",
        "heartbeat_interval_ms",
        "active",
        "gang_jobs",
        "lasting_jobs",
        "operations",
        "orphans_until_ms",
        "failure_times",
        "rankings",
        "run_times",
        "usage",
        "shares",
        "admissions",
        "memory",
        "tickets",
        "tasks_to_copy",
        "rack_wait_start_ms",
        "spread_since_ms",
        "spreads",
        "interference",
        "waits",
        "waits_due_ms",
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
        self.gang_jobs = {}
        self.lasting_jobs = {}
        self.operations = []
        # The former leader may have extended leases until this election.
        self.orphans_until_ms = lease_end_ms(settings.run_lease_ms, now_ms)
        self.failure_times = {}
        self.rankings = {}
        self.run_times = RunTimes()
        self.usage = TenantUsage()
        self.shares = {}
        self.admissions = TenantAdmissions()
        self.memory = MemoryAdmissions(settings.max_job_bytes)
        self.tickets = TicketTable()
        self.tasks_to_copy = {}
        self.rack_wait_start_ms = {}
        self.spread_since_ms = {}
        self.spreads = {}
        self.interference = make_table(settings)
        self.waits = {}
        self.waits_due_ms = now_ms
        self.wall_ms = 0
        self.now_ms = now_ms
        for job in state.batch.jobs.values():
            self.track_active(job)
            for task, run, worker, step in job.live_runs():
                self.workers.add_run(worker, task, run, step)
                self.usage.add_run(job, step)

    def max_silence_ms(self):
        """Returns the silence, in ms, after which a worker gets no task."""
        return self.settings.max_silent_intervals * self.heartbeat_interval_ms

    def record(self, operation):
        """Applies an operation to the working copy and queues its commit."""
        if isinstance(operation, EndRuns):
            self.unindex_ended_runs(operation)
        apply_operation(self.state, operation, self.wall_ms)
        self.operations.append(operation)
        if isinstance(operation, StartRuns):
            self.index_started_runs(operation)
        elif isinstance(operation, AdoptRoutes):
            register_pending(self)
        elif isinstance(operation, SubmitJob):
            job = self.state.batch.jobs.get(operation.job_id)
            if job is not None and self.track_active(job):
                self.add_to_ranking(job)

    def track_active(self, job):
        """Adds a job whose tasks may be started; returns whether it is one."""
        if job.active:
            self.active[job.job_id] = job
            if any(step.gang for step in job.spec.steps):
                self.gang_jobs[job.job_id] = job
            if any(step.lasting for step in job.spec.steps):
                self.lasting_jobs[job.job_id] = job
        return job.active

    def add_to_ranking(self, job):
        """Adds a new job to the cached ranking of its service, if any."""
        queue = self.state.routes.queue_of(job.queue)
        ranking = self.rankings.get(queue.service if queue else "")
        if ranking is not None:
            ranking.add(job, queue)

    def index_started_runs(self, operation):
        """Adds started runs to the index of live runs."""
        self.tickets.note_starts(operation.tasks)
        for task_id, run in zip(operation.tasks, operation.runs, strict=True):
            job, step_run, _ = self.find_task(task_id)
            self.workers.add_run(operation.worker, task_id, run, step_run.step)
            self.usage.add_run(job, step_run.step)
            if self.shares:
                charge_start(self, job, step_run.step)

    def unindex_ended_runs(self, operation):
        """Removes runs from the index of live runs.

        Must be called before the operation is applied, because that removes
        the worker of each run from the task.
        """
        for task_id, run in zip(operation.tasks, operation.runs, strict=True):
            entry = self.find_task(task_id)
            if entry is not None:
                worker = entry[2].runs.get(run)
                step = self.workers.drop_run(worker, task_id, run)
                if step is not None:
                    self.usage.remove_run(entry[0], step)

    def take_operations(self):
        """Returns and clears the operations to commit."""
        operations, self.operations = self.operations, []
        return operations

    def find_task(self, name):
        """Returns BatchJob, StepRun and Task of a task id, or None."""
        try:
            job_id, *position = split_task_id(name)
        except ValueError:
            return None
        job = self.state.batch.jobs.get(job_id)
        step_and_task = job.find(*position) if job else None
        return (job, *step_and_task) if step_and_task else None

    def should_continue(self, name, run):
        """Returns whether a run should continue."""
        entry = self.find_task(name)
        if entry is None:
            return False
        job, _, task = entry
        return job.active and not task.done and run in task.runs

    def on_report(self, report, now_ms, wall_ms):
        """Handles a heartbeat and returns the WorkerOrders in answer."""
        self.wall_ms, self.now_ms = wall_ms, now_ms
        orders = WorkerOrders(self.term, self.heartbeat_interval_ms)
        reason = find_rejection(self, report)
        if reason:
            keep_pending(self, report, reason, now_ms)
            return orders
        worker = self.register_worker(report, now_ms)
        if worker is None:
            logger.info(
                "Outdated heartbeat ignored.",
                worker=report.incarnation,
                sequence=report.sequence,
            )
            return orders
        self.reserve_ordered(worker, now_ms)
        record_ended_runs(self, worker, orders)
        record_reported_runs(self, worker)
        review_worker(self, worker, now_ms)
        withdraw_stops(self, worker)
        reconcile(self, worker, orders)
        update_fill_rates(worker, orders)
        if worker.receives_answer() and worker.accepts_tasks(
            now_ms, self.max_silence_ms()
        ):
            place_gangs(self, now_ms, wall_ms)
            if place_tasks(self, worker, now_ms, wall_ms):
                orders.retry_after_ms = MORE_STARTS_INTERVAL_MS
            start_copies(self, worker, now_ms, wall_ms)
        elif worker.receives_answer():
            place_on_reserved(self, worker, now_ms, wall_ms)
        add_starts(self, worker, orders)
        if self.interference is not None:
            self.interference.on_answer(self, worker, orders)
        orders.retry_after_ms = choose_interval(worker, orders.retry_after_ms)
        orders.run_lease_ms = self.settings.run_lease_ms
        worker.extend_lease(orders.run_lease_ms, now_ms)
        return orders

    def register_worker(self, report, now_ms):
        """Records a heartbeat and registers its worker if it is new.

        The runs of the incarnations that it has replaced are lost.

        Args:
            report: WorkerReport.
            now_ms: Monotonic time at which it arrived.

        Returns:
            The Worker, or None if the heartbeat is outdated.
        """
        self.workers.pending.pop(report.incarnation, None)
        worker, replaced = self.workers.record_heartbeat(report, now_ms)
        for incarnation in replaced:
            self.record_lost_worker(incarnation, "the worker has restarted")
        return worker

    def reserve_ordered(self, worker, now_ms):
        """Reserves a worker whose machine has an order, so it gets no task."""
        ordered = worker.report.machine in self.state.upkeep.orders
        if ordered and worker.reserved_ms is None:
            worker.reserved_ms = now_ms

    def record_lost_runs(self, keys):
        """Records the end of runs that are certain not to be live.

        Args:
            keys: Pairs of task id and run number.
        """
        if keys:
            tasks = [task for task, _ in keys]
            runs = [run for _, run in keys]
            # Commits the newest checkpoint together with the loss.
            checkpoints = [
                self.find_task(task)[2].checkpoint for task in tasks
            ]
            self.record_ends(tasks, runs, [LOST] * len(tasks), checkpoints)
            self.include_requeued(tasks)

    def record_ends(self, tasks, runs, outcomes, checkpoints):
        """Records the outcomes of runs in as many EndRuns as needed.

        The arguments are the fields of EndRuns.
        """
        for first in range(0, len(tasks), MAX_ENDS_PER_OPERATION):
            part = slice(first, first + MAX_ENDS_PER_OPERATION)
            self.record(
                EndRuns(
                    tasks[part],
                    runs[part],
                    outcomes[part],
                    checkpoints[part],
                )
            )

    def include_requeued(self, tasks):
        """Tells the cached rankings of the tasks that wait again."""
        for name in tasks:
            entry = self.find_task(name)
            if entry is None or not entry[1].waiting:
                continue
            queue = self.state.routes.queue_of(entry[0].queue)
            ranking = self.rankings.get(queue.service if queue else "")
            if ranking is not None:
                ranking.include_step(entry[0].tenant, entry[1].step)

    def record_lost_worker(self, incarnation, reason):
        """Records all runs of a worker incarnation as lost."""
        keys = list(self.workers.runs.get(incarnation, ()))
        self.record_lost_runs(keys)
        self.workers.runs.pop(incarnation, None)
        logger.warning(
            "Worker lost.",
            worker=incarnation,
            reason=reason,
            runs=len(keys),
        )

    def on_tick(self, now_ms, wall_ms):
        """Runs the timers of workers and jobs.

        Records workers with expired leases as lost, adapts the heartbeat
        interval, finds the tasks to copy, opens due occurrences, and drops
        expired jobs from the working copy, as each replica does from its own.
        """
        self.wall_ms, self.now_ms = wall_ms, now_ms
        drop_expired(self, now_ms)
        register_pending(self)
        drop_silent(self, now_ms)
        self.heartbeat_interval_ms = self.settings.choose_heartbeat_interval(
            self.workers.count_senders()
        )
        self.tasks_to_copy = find_tasks_to_copy(self, now_ms)
        if self.interference is not None:
            self.interference.on_tick(self, now_ms)
        forget_waits(self, now_ms)
        open_occurrences(self, wall_ms)
        self.state.batch.prune(wall_ms)
        self.memory.update(self.state.batch.freed_bytes, wall_ms)
        log_waiting_tasks(self, now_ms)

    def needs_ticket(self, job):
        """Returns whether the tasks of a job need a ticket to start."""
        queue = self.state.routes.queue_of(job.queue)
        return queue is not None and queue.advice is not None

    def services_with_advice(self):
        """Returns the services with an active job that needs tickets."""
        services = set()
        for job in self.active.values():
            queue = self.state.routes.queue_of(job.queue)
            if queue is not None and queue.advice is not None:
                services.add(queue.service)
        return services

    def services_with_gangs(self):
        """Returns the services with an active job that has a gang."""
        services = set()
        for job in list(self.gang_jobs.values()):
            if not job.active:
                del self.gang_jobs[job.job_id]
                continue
            queue = self.state.routes.queue_of(job.queue)
            services.add(queue.service if queue else "")
        return services

    def on_call(self, call, wall_ms):
        """Returns the BatchReply to a BatchCall."""
        self.wall_ms = wall_ms
        if call.verb == PROBE:
            return BatchReply(OK)
        return answer_call(self, call)

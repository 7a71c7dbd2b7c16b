"""Choice of the tasks that a worker with free room starts next."""

from wigeonport.batch_commands import StartRuns
from wigeonport.batch_specs import task_id
from wigeonport.job_orders import JobClaim, OrderedClaims, job_orders

# Most tasks started by one answer; bounds its size far below 4 MiB.
MAX_STARTS = 64
# Validity of a computed order of jobs; a new job waits this long at most.
CLAIMS_MS = 50
# Time for which a task that failed on a worker is left to the others; in a
# pool all workers have sent a heartbeat by then.
AVOID_MS = 1_000
# A task waits this long, beyond its estimate, for a worker near its data.
LOCALITY_WAIT_MS = 1_000
# A worker that has been silent for more intervals of heartbeats gets no
# member of a gang.
GANG_SILENT_BEATS = 2


def claims_of(dispatcher, service, now_ms):
    """Returns the claims of the active jobs of a service, in order.

    They are kept for a moment, because each heartbeat asks for them.
    """
    kept = dispatcher.claims.get(service)
    if kept is None or not 0 <= now_ms - kept.made_ms < CLAIMS_MS:
        kept = order_claims(dispatcher, service, now_ms)
        dispatcher.claims[service] = kept
    return [claim for claim in kept.claims if claim.job.active]


def order_claims(dispatcher, service, now_ms):
    """Returns the OrderedClaims of a service."""
    routes = dispatcher.state.routes
    claims = []
    for job in list(dispatcher.active.values()):
        if not job.active:
            del dispatcher.active[job.job_id]
            continue
        queue = routes.queue_of(job.queue)
        if queue is not None and queue.service == service:
            claims.append(JobClaim(job, queue))
    order = job_orders.get(dispatcher.settings.job_order).ok
    return OrderedClaims(claims, order, now_ms)


def place_tasks(dispatcher, worker, now_ms, wall_ms):
    """Starts tasks on a worker while they fit."""
    room = worker.room()
    tasks, runs = [], []
    for claim in claims_of(dispatcher, worker.report.service, wall_ms):
        for occurrence, number, step_run in claim.startable:
            if not step_run.waiting or not room.fits(step_run.step):
                continue
            spot = Spot(dispatcher, worker, claim, occurrence, number)
            if not spot.suits(step_run.step, now_ms):
                continue
            for index in spot.choose(step_run, room):
                tasks.append(f"{spot.prefix}{index}")
                runs.append(step_run.tasks[index].last_run + 1)
            if len(tasks) >= MAX_STARTS:
                break
    if tasks:
        dispatcher.record(StartRuns(tasks, runs, worker.incarnation))


class Spot:
    """A worker as a place for the tasks of one step.

    Attributes:
        dispatcher: BatchDispatcher.
        worker: Worker.
        claim: JobClaim of the job.
        prefix: Common beginning of the names of the tasks.
    """

    __slots__ = ("dispatcher", "worker", "claim", "prefix")

    def __init__(self, dispatcher, worker, claim, occurrence, number):
        self.dispatcher = dispatcher
        self.worker = worker
        self.claim = claim
        self.prefix = f"{claim.job.job_id}.{occurrence}.{number}."

    def suits(self, step, now_ms):
        """Returns whether tasks of the step may run on the worker now."""
        report = self.worker.report
        if step.required_label and step.required_label not in report.labels:
            return False
        if self.claim.queue.advice is not None and not self.ticket(now_ms):
            return False
        if not step.data_rack or report.rack == step.data_rack:
            return True
        return self.waited_for_rack(step, now_ms)

    def ticket(self, now_ms):
        """Returns the worker's ticket for the step, or None."""
        tickets = self.dispatcher.tickets_of(self.prefix[:-1])
        return tickets.find(self.worker.incarnation, now_ms)

    def waited_for_rack(self, step, now_ms):
        """Returns whether a task may run away from its data."""
        silent_ms = GANG_SILENT_BEATS * self.dispatcher.heartbeat_interval_ms
        near = any(
            other.report.rack == step.data_rack
            and other.accepts(now_ms, silent_ms)
            for other in self.dispatcher.workers.of_service(
                self.worker.report.service
            )
        )
        since = self.dispatcher.waiting_since.setdefault(self.prefix, now_ms)
        wait_ms = LOCALITY_WAIT_MS + step.estimated_ms
        return not near or now_ms - since > wait_ms

    def choose(self, step_run, room):
        """Returns the indices of the tasks to start; takes their room."""
        chosen = []
        most = self.limit(step_run.step)
        for index in sorted(step_run.waiting):
            if len(chosen) >= most or not room.fits(step_run.step):
                break
            if self.failed_here(index):
                continue
            room.subtract(step_run.step)
            chosen.append(index)
        return chosen

    def failed_here(self, index):
        """Returns whether a task failed on the worker a moment ago."""
        places = self.dispatcher.failed_on.get(f"{self.prefix}{index}", {})
        failed_ms = places.get(self.worker.report.worker_id)
        return (
            failed_ms is not None
            and self.worker.heard_ms - failed_ms < AVOID_MS
        )

    def limit(self, step):
        """Returns how many more tasks of the step the worker may run."""
        if step.fills and not step.max_per_worker:
            most = self.dispatcher.settings.max_filler_tasks_per_step
        else:
            most = step.max_per_worker or MAX_STARTS
        here = sum(
            task.startswith(self.prefix) for task, _ in self.worker.runs
        )
        return most - here


def place_gangs(dispatcher, now_ms, wall_ms):
    """Starts gangs for which there is room for all members at once."""
    for service in dispatcher.services_with_gangs():
        for claim in claims_of(dispatcher, service, wall_ms):
            for occurrence, number, step_run in claim.job.ready_steps():
                step = step_run.step
                complete = len(step_run.waiting) == step.count
                if step.gang and complete:
                    place_gang(
                        dispatcher, claim, occurrence, number, step_run, now_ms
                    )


def place_gang(dispatcher, claim, occurrence, number, step_run, now_ms):
    """Starts the members of one gang if there is room for all."""
    step = step_run.step
    silent_ms = GANG_SILENT_BEATS * dispatcher.heartbeat_interval_ms
    spots = [
        worker
        for worker in dispatcher.workers.of_service(claim.queue.service)
        if worker.accepts(now_ms, silent_ms)
    ]
    chosen = None
    racks = {worker.report.rack for worker in spots}
    for rack in sorted(racks) if step.same_rack or step.data_rack else ():
        if step.data_rack and rack != step.data_rack:
            continue
        near = [worker for worker in spots if worker.report.rack == rack]
        chosen = chosen or fill_gang(
            dispatcher, claim, occurrence, number, step, near, now_ms
        )
    chosen = chosen or fill_gang(
        dispatcher, claim, occurrence, number, step, spots, now_ms
    )
    if chosen is None:
        return
    run = max(task.last_run for task in step_run.tasks) + 1
    names = [
        task_id(claim.job.job_id, occurrence, number, index)
        for index in range(step.count)
    ]
    for worker, count in chosen:
        here, names = names[:count], names[count:]
        dispatcher.record(
            StartRuns(here, [run] * len(here), worker.incarnation)
        )


def fill_gang(dispatcher, claim, occurrence, number, step, workers, now_ms):
    """Returns pairs of worker and number of members, or None."""
    left, chosen = step.count, []
    for worker in workers:
        spot = Spot(dispatcher, worker, claim, occurrence, number)
        if not spot.suits(step, now_ms):
            continue
        room, count = worker.room(), 0
        most = min(left, spot.limit(step))
        while count < most and room.fits(step):
            room.subtract(step)
            count += 1
        if count:
            chosen.append((worker, count))
            left -= count
        if not left:
            return chosen
    return None

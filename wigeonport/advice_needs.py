"""Decides which step gets the next call to the advice service.

The service handles the calls of one machine in turn, and a call takes longer
with each worker that it names. A call that turns out useless therefore delays
all others, so that a call names only the workers that the step may need.
"""

import collections
import functools

from wigeonport.advice_tickets import Tickets
from wigeonport.task_placements import WorkerCandidate, active_ranked_jobs

# Maximum number of workers in one call.
MAX_WORKERS = 100
# A call names room for this many times the waiting tasks, because some of the
# room may be taken when the answer arrives.
ROOM_FACTOR = 2
# More workers are named as long as they add at most this share of the base
# duration to a call.
EXTRA_SHARE = 0.25
# Maximum number of steps of a service that are considered for a call.
MAX_CONSIDERED_STEPS = 32


class AdviceNeed:
    """A step whose waiting tasks can't start without advice.

    Attributes:
        ranked_job: RankedJob of the step.
        step: Step id, ``job.occurrence.step``.
        workers: Workers to name in the call.
        duration_ms: Duration of the call, as the queue's terms state it.
    """

    __slots__ = ("ranked_job", "step", "workers", "duration_ms")

    def __init__(self, ranked_job, step, workers):
        self.ranked_job = ranked_job
        self.step = step
        self.workers = workers
        self.duration_ms = ranked_job.queue.advice.duration_ms(len(workers))


class Room:
    """Room of a worker that no step has reserved yet.

    Attributes:
        worker: Worker.
        free_capacity: Resources.
    """

    __slots__ = ("worker", "free_capacity")

    def __init__(self, worker, free_capacity):
        self.worker = worker
        self.free_capacity = free_capacity

    def reserve(self, step, maximum):
        """Reserves room for up to ``maximum`` tasks; returns their number."""
        count = self.free_capacity.count_fitting(step, maximum)
        for _ in range(count):
            self.free_capacity.subtract(step)
        return count


class RoomPlan:
    """Reserves the room of a service for its waiting steps, in rank order.

    Attributes:
        dispatcher: BatchDispatcher.
        rooms: Room of each worker that accepts tasks.
        now_ms: Monotonic time.
    """

    __slots__ = ("dispatcher", "rooms", "now_ms")

    def __init__(self, dispatcher, service, measure, now_ms):
        silent_ms = dispatcher.max_silence_ms()
        self.dispatcher = dispatcher
        self.rooms = [
            Room(worker, measure(worker))
            for worker in dispatcher.workers.of_service(service)
            if worker.accepts_tasks(now_ms, silent_ms)
        ]
        self.now_ms = now_ms

    def add_step(self, ranked_job, occurrence, number, step_run):
        """Reserves room for the waiting tasks of a step.

        Returns:
            AdviceNeed, or None if no call would let a task start.
        """
        step, waiting = step_run.step, step_run.waiting
        if step.gang and waiting < step.count:
            return None
        advised = ranked_job.queue.advice is not None
        step_id = f"{ranked_job.job.job_id}.{occurrence}.{number}"
        tickets = self.dispatcher.tickets.get(step_id) if advised else None
        candidates = [
            (
                room,
                WorkerCandidate(
                    self.dispatcher,
                    room.worker,
                    ranked_job,
                    occurrence,
                    number,
                ),
            )
            for room in self.rooms
            if tickets is None
            or not tickets.is_refused(room.worker.incarnation)
        ]
        options = find_options(candidates, step, waiting)
        if step.gang and sum(each.count for each in options) < waiting:
            return None
        if advised:
            return self.find_need(ranked_job, step_id, step_run, options)
        reserve_options(options, step, waiting)
        return None

    def find_need(self, ranked_job, step_id, step_run, options):
        """Reserves room for a step of a queue with advice.

        Args:
            ranked_job: RankedJob of the step.
            step_id: Step id.
            step_run: StepRun.
            options: Options of the step.

        Returns:
            AdviceNeed, or None if the valid tickets suffice, if no worker has
            room, or if a call has just failed.
        """
        step, waiting = step_run.step, step_run.waiting
        tickets = self.dispatcher.tickets.get(step_id) or Tickets()
        ticketed, unticketed = [], []
        for option in options:
            if tickets.find(option.incarnation, self.now_ms):
                ticketed.append(option)
            else:
                unticketed.append(option)
        waiting -= reserve_options(ticketed, step, waiting)
        if not waiting or not unticketed or self.now_ms < tickets.retry_ms:
            return None
        unticketed.sort(key=lambda option: option.preference(tickets))
        named = name_workers(unticketed, ranked_job.queue, waiting, tickets)
        reserve_options(unticketed, step, waiting)
        return AdviceNeed(ranked_job, step_id, named)


def find_options(candidates, step, waiting):
    """Returns an Option for each worker with room for a task of a step.

    Args:
        candidates: Pairs of Room and WorkerCandidate.
        step: Step.
        waiting: Number of waiting tasks.
    """
    options, rack_counts = [], collections.Counter()
    for room, candidate in candidates:
        report = room.worker.report
        if step.required_label and step.required_label not in report.labels:
            continue
        # No more room matters for the choice of workers.
        maximum = min(candidate.remaining_limit(step), waiting * ROOM_FACTOR)
        count = room.free_capacity.count_fitting(step, maximum)
        if count > 0:
            options.append(Option(room, count, step))
            rack_counts[report.rack] += count
    if step.same_rack:
        for option in options:
            option.rack_count = rack_counts[option.room.worker.report.rack]
    return options


class Option:
    """A worker with room for tasks of a step.

    Attributes:
        room: Room of the worker.
        count: Number of tasks for which it has room.
        remote: Whether the data of the step is in another rack.
        rack_count: Number of tasks for which its rack has room, if the step
            prefers a single rack, otherwise 0.
    """

    __slots__ = ("room", "count", "remote", "rack_count")

    def __init__(self, room, count, step):
        self.room = room
        self.count = count
        rack = room.worker.report.rack
        self.remote = bool(step.data_rack) and rack != step.data_rack
        self.rack_count = 0

    @property
    def incarnation(self):
        """Incarnation of the worker."""
        return self.room.worker.incarnation

    def preference(self, tickets):
        """Returns the sort key of the order in which workers are named."""
        return (
            self.remote,
            -self.rack_count,
            self.room.worker.report.rack if self.rack_count else "",
            not tickets.is_allowed(self.incarnation),
            -self.count,
            self.incarnation,
        )


def reserve_options(options, step, waiting):
    """Reserves room for up to ``waiting`` tasks; returns their number."""
    reserved = 0
    for option in options:
        if reserved >= waiting:
            break
        maximum = min(option.count, waiting - reserved)
        reserved += option.room.reserve(step, maximum)
    return reserved


def name_workers(options, queue, waiting, tickets):
    """Returns the workers to name in a call.

    Args:
        options: Options without a valid ticket, best first.
        queue: Queue of the step.
        waiting: Number of tasks to start on them.
        tickets: Tickets of the step.
    """
    refused_factor = tickets.refused_factor()
    wanted = waiting * ROOM_FACTOR * refused_factor
    extra_ms = queue.advice.decision_ms * EXTRA_SHARE
    named = []
    for option in options[:MAX_WORKERS]:
        added_ms = queue.advice.per_worker_ms * (len(named) + 1)
        suffices = wanted <= 0 and len(named) >= refused_factor
        if suffices and added_ms > extra_ms:
            break
        named.append(option.room.worker)
        wanted -= option.count
    return named


def measure_free(worker):
    """Returns the capacity of a worker that is free now."""
    return worker.free_capacity()


def measure_future(worker):
    """Returns the capacity of a worker once all runs that end have ended."""
    return worker.capacity_beside_lasting()


def find_needs(dispatcher, service, measure, now_ms):
    """Returns the AdviceNeeds of a service.

    Args:
        dispatcher: BatchDispatcher.
        service: Name of the service.
        measure: Function that returns the room of a Worker, as Resources.
        now_ms: Monotonic time.
    """
    plan = RoomPlan(dispatcher, service, measure, now_ms)
    needs, considered = [], 0
    for ranked_job in active_ranked_jobs(
        dispatcher, service, dispatcher.wall_ms
    ):
        if ranked_job.limited:
            continue
        for occurrence, number, step_run in ranked_job.job.ready_steps():
            if not step_run.waiting:
                continue
            if considered >= MAX_CONSIDERED_STEPS:
                return needs
            considered += 1
            need = plan.add_step(ranked_job, occurrence, number, step_run)
            if need is not None:
                needs.append(need)
    return needs


def find_unstarted(dispatcher, service, now_ms):
    """Returns the AdviceNeeds of runs that are assigned and not started.

    The ticket of a run may expire before its order reaches the worker, and a
    new leader has no tickets at all. The task does not wait any more, but its
    run starts only with a ticket.

    Args:
        dispatcher: BatchDispatcher.
        service: Name of the service.
        now_ms: Monotonic time.
    """
    workers_by_step = {}
    silent_ms = dispatcher.max_silence_ms()
    for worker in dispatcher.workers.of_service(service):
        if now_ms - worker.last_heartbeat_ms > silent_ms:
            continue
        reported = {(row.task, row.run) for row in worker.report.running}
        for key in worker.runs:
            step_id = key[0].rpartition(".")[0]
            tickets = dispatcher.tickets.get(step_id) or Tickets()
            if (
                key not in reported
                and key not in worker.stopping
                and not tickets.has_answer(worker.incarnation, now_ms)
                and now_ms >= tickets.retry_ms
            ):
                workers_by_step.setdefault(step_id, {})[worker] = True
    if not workers_by_step:
        return []
    ranked_jobs = {
        ranked_job.job.job_id: ranked_job
        for ranked_job in active_ranked_jobs(
            dispatcher, service, dispatcher.wall_ms
        )
        if ranked_job.queue.advice is not None
    }
    return [
        AdviceNeed(ranked_jobs[job_id], step_id, list(workers)[:MAX_WORKERS])
        for step_id, workers in workers_by_step.items()
        if (job_id := step_id.partition(".")[0]) in ranked_jobs
    ]


def find_all_needs(dispatcher, now_ms):
    """Returns the AdviceNeeds that compete for the next call.

    Runs that are assigned go first, as they hold room. Then come steps that
    fit into free room. While there are none, tickets are requested ahead for
    the room that the live runs leave.

    Args:
        dispatcher: BatchDispatcher.
        now_ms: Monotonic time.
    """
    services = sorted(dispatcher.services_with_advice())
    searches = (
        find_unstarted,
        functools.partial(find_needs, measure=measure_free),
        functools.partial(find_needs, measure=measure_future),
    )
    for search in searches:
        needs = [
            need
            for service in services
            for need in search(dispatcher, service, now_ms=now_ms)
        ]
        if needs:
            return needs
    return []

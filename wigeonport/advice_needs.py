"""Decides which step gets the next call to the advice service.

The service handles the calls of one machine in turn, and a call takes longer
with each worker that it names. A call that turns out useless therefore delays
all others, so that a call names only the workers that the step may need.
"""

import collections

from wigeonport.advice_tickets import Tickets
from wigeonport.registries import Registry
from wigeonport.task_placements import WorkerCandidate, active_ranked_jobs
from wigeonport.tenant_usage import open_allowance

# Maximum number of workers in one call.
MAX_WORKERS = 100
# A call names room for this many times the waiting tasks, because some of the
# room may be taken when the answer arrives.
ROOM_FACTOR = 2
# More workers are named as long as they add at most this share of the base
# duration to a call.
EXTRA_SHARE = 0.25
# Maximum number of steps of a service that compete for a call. Only steps that
# a call could help count, so that those which wait in vain keep none behind
# them from a call.
MAX_NEEDS = 32
# Maximum number of jobs of a service that a search passes, and of looks at a
# worker for a step, of which each takes 1 us. The first half is for the
# highest-ranked ones. Those beyond take turns, from one search to the next.
MAX_PASSED_JOBS = 1_024
MAX_LOOKS = 11_264
# Number of workers whose refusals are looked at in the time of one such look.
CHEAP_LOOKS = 16
# Calls in a row after which no task of a step started although there was room.
# Further calls for the step give way to those for others.
MAX_UNUSED_CALLS = 3

obstacles = Registry("obstacle to a call")


class AdviceNeed:
    """A step whose waiting tasks can't start without advice.

    Attributes:
        ranked_job: RankedJob of the step.
        step: Step id, ``job.occurrence.step``.
        workers: Workers to name in the call.
        duration_ms: Duration of the call, as the queue's terms state it.
        ahead: Whether there is no room for the step yet.
        unused_calls: Number of calls for the step since its last start that
            were not made ahead.
        asked_ms: Monotonic time of the last call for the step, or 0.
    """

    __slots__ = (
        "ranked_job",
        "step",
        "workers",
        "duration_ms",
        "ahead",
        "unused_calls",
        "asked_ms",
    )

    def __init__(self, ranked_job, step, workers, tickets, ahead=False):
        self.ranked_job = ranked_job
        self.step = step
        self.workers = workers
        self.duration_ms = ranked_job.queue.advice.duration_ms(len(workers))
        self.ahead = ahead
        self.unused_calls = tickets.unused_calls
        self.asked_ms = tickets.asked_ms

    def is_hopeful(self):
        """Returns whether a call is expected to let a task start."""
        return self.unused_calls < MAX_UNUSED_CALLS


class WaitingStep:
    """A step with tasks that wait to be placed.

    Attributes:
        ranked_job: RankedJob of the step.
        occurrence: Number of the occurrence.
        number: Number of the step.
        step_run: StepRun.
    """

    __slots__ = ("ranked_job", "occurrence", "number", "step_run")

    def __init__(self, ranked_job, occurrence, number, step_run):
        self.ranked_job = ranked_job
        self.occurrence = occurrence
        self.number = number
        self.step_run = step_run

    @property
    def step_id(self):
        """Step id, ``job.occurrence.step``."""
        job_id = self.ranked_job.job.job_id
        return f"{job_id}.{self.occurrence}.{self.number}"

    def needed_together(self):
        """Returns how many of its tasks have to start together."""
        step = self.step_run.step
        return step.count if step.gang else 1


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

    def may_take(self, step):
        """Returns whether a task fits and the worker has its label."""
        labels = self.worker.report.labels
        if step.required_label and step.required_label not in labels:
            return False
        return self.free_capacity.fits(step)

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
        ahead: Whether the room is that which the live runs leave.
        labels: Labels of these workers.
        allowance: Allowance of the tenants, or None if it does not count.
        full_for: Needs of the tasks for which no worker has room, as
            ``needs_of`` returns them. Reservations only take room away, so
            that they hold for the rest of the plan.
        incarnations: Incarnations of these workers.
        needs: AdviceNeeds that were found.
        competing: Number of these from which a start is expected.
        looks: Number of looks at a worker in this half of the search.
        hindered: Counter of the steps that no call could help, by obstacle.
        now_ms: Monotonic time.
    """

    __slots__ = (
        "dispatcher",
        "rooms",
        "ahead",
        "labels",
        "allowance",
        "full_for",
        "incarnations",
        "needs",
        "competing",
        "looks",
        "hindered",
        "now_ms",
    )

    def __init__(self, dispatcher, service, measure, now_ms):
        silent_ms = dispatcher.max_silence_ms()
        self.dispatcher = dispatcher
        self.rooms = [
            Room(worker, measure(worker))
            for worker in dispatcher.workers.of_service(service)
            if worker.accepts_tasks(now_ms, silent_ms)
        ]
        self.labels = {
            label for room in self.rooms for label in room.worker.report.labels
        }
        self.ahead = measure is measure_future
        # A tenant at its limit may be below it when its live runs have ended.
        self.allowance = None if self.ahead else open_allowance(dispatcher)
        self.full_for = set()
        self.incarnations = {room.worker.incarnation for room in self.rooms}
        self.needs = []
        self.competing = 0
        self.looks = 0
        self.hindered = collections.Counter()
        self.now_ms = now_ms

    def search(self, ranked_jobs, turn=0):
        """Adds the needs of jobs until half of a search is done.

        Args:
            ranked_jobs: RankedJobs in the order in which they get room.
            turn: Number of the turn, which chooses the first step of a job.

        Returns:
            The number of jobs that are done with.
        """
        self.looks = 0
        for position, ranked_job in enumerate(ranked_jobs):
            if position >= MAX_PASSED_JOBS // 2:
                return position
            if not self.search_job(ranked_job, turn):
                return position
        return len(ranked_jobs)

    def search_job(self, ranked_job, turn):
        """Adds the needs of a job; returns whether all its steps had a look.

        The arguments are those of ``search``.
        """
        steps = list(find_waiting_steps(ranked_job))
        first = turn * self.steps_a_turn() % max(1, len(steps))
        for waiting_step in steps[first:] + steps[:first]:
            if self.looks >= MAX_LOOKS // 2 or self.competing >= MAX_NEEDS:
                return False
            obstacle = self.find_obstacle(waiting_step)
            if obstacle:
                self.hindered[obstacle] += 1
                continue
            self.looks += len(self.rooms)
            need = self.add_step(waiting_step)
            if need is not None:
                self.needs.append(need)
                self.competing += need.is_hopeful()
        return True

    def steps_a_turn(self):
        """Returns at least how many steps half of a search looks at."""
        workers = len(self.rooms)
        looks = workers + workers // CHEAP_LOOKS
        return max(1, MAX_LOOKS // 2 // max(1, looks))

    def find_obstacle(self, waiting_step):
        """Returns the name of what makes a call useless, or "" if nothing."""
        for name, applies in obstacles.entries.items():
            if applies(self, waiting_step):
                return name
        return ""

    def add_step(self, waiting_step):
        """Reserves room for the waiting tasks of a step.

        Returns:
            AdviceNeed, or None if no call would let a task start.
        """
        ranked_job, step_run = waiting_step.ranked_job, waiting_step.step_run
        step, waiting = step_run.step, step_run.waiting
        advised = ranked_job.queue.advice is not None
        step_id = waiting_step.step_id
        tickets = self.dispatcher.tickets.get(step_id) if advised else None
        rooms = [room for room in self.rooms if room.may_take(step)]
        if not rooms:
            self.full_for.add(needs_of(step))
            self.hindered["room"] += 1
            return None
        candidates = [
            (
                room,
                WorkerCandidate(
                    self.dispatcher,
                    room.worker,
                    ranked_job,
                    waiting_step.occurrence,
                    waiting_step.number,
                ),
            )
            for room in rooms
            if tickets is None
            or not tickets.is_refused(room.worker.incarnation)
        ]
        candidates = keep_near_data(candidates, step, self.now_ms)
        options = find_options(candidates, step, waiting)
        missing = step.gang and sum(each.count for each in options) < waiting
        if missing or not options:
            self.hindered["gang" if missing else "worker"] += 1
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
        return AdviceNeed(ranked_job, step_id, named, tickets, self.ahead)


@obstacles.register("incomplete gang")
def is_incomplete_gang(plan, waiting_step):
    """Some members of the gang still run."""
    step_run = waiting_step.step_run
    return step_run.step.gang and step_run.waiting < step_run.step.count


@obstacles.register("tenant")
def is_above_tenant_limit(plan, waiting_step):
    """The tenant of the job has reached what it may have running."""
    return plan.allowance is not None and not plan.allowance.allows(
        waiting_step.ranked_job.job.tenant,
        waiting_step.step_run.step,
        waiting_step.needed_together(),
    )


@obstacles.register("label")
def has_missing_label(plan, waiting_step):
    """No worker that accepts tasks has the label."""
    label = waiting_step.step_run.step.required_label
    return bool(label) and label not in plan.labels


@obstacles.register("room")
def has_no_room(plan, waiting_step):
    """No worker has room for one of its tasks."""
    step = waiting_step.step_run.step
    return not plan.rooms or needs_of(step) in plan.full_for


@obstacles.register("refused")
def is_refused_everywhere(plan, waiting_step):
    """The advice service has refused all workers that accept tasks."""
    plan.looks += len(plan.incarnations) // CHEAP_LOOKS
    tickets = plan.dispatcher.tickets.get(waiting_step.step_id)
    return tickets is not None and tickets.are_refused(plan.incarnations)


def needs_of(step):
    """Returns what a task of a step needs of a worker, as a tuple."""
    cpu_milli = 0 if step.fills else step.cpu_milli
    return step.required_label, cpu_milli, step.memory_mb, step.gpu


def keep_near_data(candidates, step, now_ms):
    """Returns the candidates on which a step may run at present.

    A step with data in a rack may have to wait for a worker there. Tickets
    for others would expire, and room would be reserved there in vain.

    Args:
        candidates: Pairs of Room and WorkerCandidate.
        step: Step.
        now_ms: Monotonic time.
    """
    if not step.data_rack or not candidates:
        return candidates
    if candidates[0][1].may_leave_rack(step, now_ms):
        return candidates
    return [
        (room, candidate)
        for room, candidate in candidates
        if room.worker.report.rack == step.data_rack
    ]


def find_options(candidates, step, waiting):
    """Returns an Option for each worker with room for a task of a step.

    Args:
        candidates: Pairs of Room and WorkerCandidate.
        step: Step.
        waiting: Number of waiting tasks.
    """
    options, rack_counts = [], collections.Counter()
    for room, candidate in candidates:
        # No more room matters for the choice of workers.
        maximum = min(candidate.remaining_limit(step), waiting * ROOM_FACTOR)
        count = room.free_capacity.count_fitting(step, maximum)
        if count > 0:
            options.append(Option(room, count, step))
            rack_counts[room.worker.report.rack] += count
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


def find_waiting_steps(ranked_job):
    """Yields the WaitingSteps of a job."""
    for occurrence, number, step_run in ranked_job.job.ready_steps():
        if step_run.waiting:
            yield WaitingStep(ranked_job, occurrence, number, step_run)


def find_needs(dispatcher, service, measure, now_ms):
    """Returns the RoomPlan of a service with its AdviceNeeds.

    Args:
        dispatcher: BatchDispatcher.
        service: Name of the service.
        measure: Function that returns the room of a Worker, as Resources.
        now_ms: Monotonic time.
    """
    plan = RoomPlan(dispatcher, service, measure, now_ms)
    ranked_jobs = [
        ranked_job
        for ranked_job in active_ranked_jobs(
            dispatcher, service, dispatcher.wall_ms
        )
        if not ranked_job.limited
    ]
    rest = ranked_jobs[plan.search(ranked_jobs) :]
    if rest:
        starts = dispatcher.tickets.search_starts
        turn = starts.get((service, measure), 0)
        start = turn % len(rest)
        passed = plan.search(rest[start:] + rest[:start], turn)
        starts[service, measure] = turn + max(1, passed)
    return plan


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
        AdviceNeed(
            ranked_jobs[job_id],
            step_id,
            list(workers)[:MAX_WORKERS],
            dispatcher.tickets.get(step_id) or Tickets(),
        )
        for step_id, workers in workers_by_step.items()
        if (job_id := step_id.partition(".")[0]) in ranked_jobs
    ]


def find_all_needs(dispatcher, now_ms):
    """Returns the AdviceNeeds that compete for the next call.

    Runs that are assigned go first, as they hold room. Then come steps that
    fit into free room. While there are none, tickets are requested ahead for
    the room that the live runs leave. A need from which no start is expected
    any more, for example of a run whose worker never gets the order, keeps
    the next ones out of no call.

    Args:
        dispatcher: BatchDispatcher.
        now_ms: Monotonic time.

    Returns:
        The AdviceNeeds, and a Counter of the steps that no call could help
        now, by obstacle; None if they were not searched for.
    """
    services = sorted(dispatcher.services_with_advice())
    needs = {
        need.step: need
        for service in services
        for need in find_unstarted(dispatcher, service, now_ms)
    }
    hindered = None
    for measure in (measure_free, measure_future):
        if any(need.is_hopeful() for need in needs.values()):
            break
        plans = [
            find_needs(dispatcher, service, measure, now_ms)
            for service in services
        ]
        if measure is measure_free:
            hindered = sum(
                (plan.hindered for plan in plans), collections.Counter()
            )
        for plan in plans:
            for need in plan.needs:
                needs.setdefault(need.step, need)
    return list(needs.values()), hindered

"""Placement that keeps kinds of task apart which slow each other down.

Tasks of a step are held back on a worker where a harmful neighbour runs, as
many as other workers have room for now, and for one heartbeat interval at
most. Where there is no other room, they start at once.
"""

import math

from wigeonport.batch_specs import split_task_id
from wigeonport.run_neighbours import kind_of

# Heartbeat intervals for which a step may be held back at a time. Every other
# worker sends a heartbeat within one.
HOLD_INTERVALS = 1.0
# A worker that has been silent for more intervals offers no room.
MAX_SILENT_INTERVALS = 2
# Time after which a step may be held back again. A step with more tasks than
# there is room for starts them over minutes, and each is held back little.
HOLD_MEMORY_MS = 10_000


class Hold:
    """The tasks of a step that are held back for room on other workers.

    Attributes:
        since_ms: Monotonic time at which the first one was held back.
        until_ms: Time from which no task of the step is held back.
        count: Number of tasks held back now.
        step_run: StepRun.
    """

    __slots__ = ("since_ms", "until_ms", "count", "step_run")

    def __init__(self, since_ms, until_ms, step_run):
        self.since_ms = since_ms
        self.until_ms = until_ms
        self.count = 0
        self.step_run = step_run

    def promised_tasks(self, step, now_ms):
        """Returns its held tasks as a number of tasks of another step.

        They are counted by their largest share of the other's size.
        """
        if now_ms >= self.until_ms:
            return 0
        own = self.step_run.step
        size = max(
            own.cpu_milli / max(1, step.cpu_milli),
            own.memory_mb / max(1, step.memory_mb),
            1,
        )
        return math.ceil(min(self.count, self.step_run.waiting) * size)

    def is_over(self, now_ms):
        """Returns whether the step may be held back again."""
        return now_ms - self.since_ms > HOLD_MEMORY_MS


def count_held_back(candidate, step_run, planned, now_ms):
    """Returns how many waiting tasks of a step not to start on a worker.

    Args:
        candidate: WorkerCandidate of the step.
        step_run: StepRun with waiting tasks.
        planned: Ids of the tasks that the same answer starts already.
        now_ms: Monotonic time.
    """
    dispatcher, step = candidate.dispatcher, step_run.step
    table = dispatcher.interference
    if table is None or step.lasting:
        return 0
    service = candidate.worker.report.service
    kind = candidate_kind(candidate, step)
    partners = table.partners_of(service, kind)
    if not partners:
        return 0
    present = present_kinds(dispatcher, candidate.worker, planned)
    here = partners.keys() & present
    # A kind that slows itself down runs one task on a worker.
    spare = 0 if here else 1
    if kind in partners:
        here |= {kind}
    if not here or not is_worth_waiting(
        table, candidate, kind, [partners[each] for each in here]
    ):
        return 0
    wanted = step_run.waiting - spare
    held = hold_tasks(table, candidate, step_run, wanted, partners, now_ms)
    table.count("interference_held_tasks", held)
    return held


def candidate_kind(candidate, step):
    """Returns the kind of a candidate's step."""
    number = split_task_id(f"{candidate.prefix}0")[2]
    return kind_of(candidate.ranked_job.job, number, step)


def present_kinds(dispatcher, worker, planned=()):
    """Returns the kinds that run on a worker or that an answer starts."""
    kinds = set(dispatcher.interference.neighbours_of(worker).counts)
    for prefix in {name.rpartition(".")[0] for name in planned}:
        job, step_run, _ = dispatcher.find_task(f"{prefix}.0")
        number = split_task_id(f"{prefix}.0")[2]
        kinds.add(kind_of(job, number, step_run.step))
    return kinds


def is_worth_waiting(table, candidate, kind, slow_downs):
    """Returns whether a start beside the neighbours costs more than a wait.

    A job without time to wait starts at once.
    """
    dispatcher, ranked_job = candidate.dispatcher, candidate.ranked_job
    wait_ms = HOLD_INTERVALS * dispatcher.heartbeat_interval_ms
    left_ms = ranked_job.objective_ms - dispatcher.wall_ms
    if left_ms - ranked_job.remaining_ms < wait_ms:
        return False
    if None in slow_downs:
        return True
    service = candidate.worker.report.service
    level = table.evidence_of(service).kinds.get(kind)
    run_ms = math.exp(level.runs.mean) if level is not None else 0
    return (max(slow_downs) - 1) * run_ms > wait_ms


def hold_tasks(table, candidate, step_run, wanted, partners, now_ms):
    """Returns how many of the wanted tasks other workers have room for."""
    dispatcher, prefix = candidate.dispatcher, candidate.prefix[:-1]
    hold = table.holds.get(prefix)
    if hold is not None:
        hold.count = 0
        if now_ms >= hold.until_ms:
            return 0
    promised = sum(
        other.promised_tasks(step_run.step, now_ms)
        for other in table.holds.values()
    )
    room = count_room(
        candidate, step_run.step, wanted + promised, partners, now_ms
    )
    held = max(0, min(wanted, room - promised))
    if held and hold is None:
        wait_ms = int(HOLD_INTERVALS * dispatcher.heartbeat_interval_ms)
        hold = Hold(now_ms, now_ms + wait_ms, step_run)
        table.holds[prefix] = hold
    if held:
        hold.count = held
    return held


def count_room(candidate, step, wanted, partners, now_ms):
    """Returns how many tasks other workers can start beside no partner."""
    dispatcher, own = candidate.dispatcher, candidate.worker
    silent_ms = MAX_SILENT_INTERVALS * dispatcher.heartbeat_interval_ms
    kind, room = candidate_kind(candidate, step), 0
    for worker in dispatcher.workers.of_service(own.report.service):
        if worker is own or not worker.accepts_tasks(now_ms, silent_ms):
            continue
        if step.data_rack and worker.report.rack != step.data_rack:
            continue
        if partners.keys() & present_kinds(dispatcher, worker):
            continue
        other = candidate.on_worker(worker)
        if not other.is_suitable(step, now_ms):
            continue
        limit = 1 if kind in partners else other.remaining_limit(step)
        room += worker.free_capacity().count_fitting(step, max(0, limit))
        if room >= wanted:
            break
    return room

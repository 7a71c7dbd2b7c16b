"""Spread of a step's filler tasks over the workers of its service.

Filler tasks need no free CPU, so that the first worker to report could get
all of them, and would run them slowly. A worker gets its even share as long
as the others can take the rest at once. A wish for spread leaves no task
waiting: after ``MAX_WAIT_INTERVALS`` any worker with room takes them.
"""

from wigeonport.step_limits import count_tasks

# Heartbeat intervals for which tasks wait for workers with fewer of them.
# Every other worker sends a heartbeat within one.
MAX_WAIT_INTERVALS = 1.5
# A worker that has been silent for more intervals offers no room.
MAX_SILENT_INTERVALS = 2
# Heartbeat intervals for which the shares of a step are used. Looking at the
# workers takes 7 ms with 350 of them, too long for each heartbeat.
MAX_AGE_INTERVALS = 0.5
# Time after which the wait of a step is forgotten. Its tasks may wait once
# more then.
WAIT_MEMORY_MS = 10_000


class Place:
    """Room for tasks of a step on a worker.

    Attributes:
        own: Number of its tasks that the worker runs.
        room: Number of its waiting tasks that the worker can take.
    """

    __slots__ = ("own", "room")

    def __init__(self, own, room):
        self.own = own
        self.room = room

    def count_below(self, level):
        """Returns how many tasks it can take up to a number in all."""
        return min(self.room, max(0, level - self.own))


class Spread:
    """The shares of the workers in the waiting tasks of a step.

    Attributes:
        level: Number of the step's tasks up to which every worker may take
            some.
        extra: Number of workers that may take one more.
        waiting: Number of tasks that wait; more show that others came.
        found_ms: Monotonic time at which the workers were looked at.
    """

    __slots__ = ("level", "extra", "waiting", "found_ms")

    def __init__(self, places, waiting, now_ms):
        self.level = find_level(places, waiting)
        given = sum(place.count_below(self.level) for place in places)
        self.extra = waiting - given
        self.waiting = waiting
        self.found_ms = now_ms

    def take_share(self, place, waiting):
        """Returns the share of a worker, which counts as taken.

        Args:
            place: Place of the worker.
            waiting: Number of waiting tasks.
        """
        share = min(place.count_below(self.level), waiting)
        may_take_more = share < min(place.room, waiting)
        if may_take_more and self.extra and place.own + share == self.level:
            share += 1
            self.extra -= 1
        self.waiting = waiting - share
        return share


def count_share(candidate, step_run, now_ms):
    """Returns how many waiting tasks of a step a worker should take.

    Args:
        candidate: WorkerCandidate whose worker has room.
        step_run: StepRun of a step that fills.
        now_ms: Monotonic time.
    """
    dispatcher, waiting = candidate.dispatcher, step_run.waiting
    place = find_place(candidate, step_run.step, waiting)
    if not place.room:
        return 0
    interval_ms = dispatcher.heartbeat_interval_ms
    spread = dispatcher.spreads.get(candidate.prefix)
    if (
        spread is None
        or now_ms - spread.found_ms > MAX_AGE_INTERVALS * interval_ms
        or waiting > spread.waiting
    ):
        spread = Spread(
            find_places(candidate, step_run, now_ms), waiting, now_ms
        )
        dispatcher.spreads[candidate.prefix] = spread
    share = spread.take_share(place, waiting)
    if share >= min(place.room, waiting):
        return share
    since_ms = dispatcher.spread_since_ms.setdefault(candidate.prefix, now_ms)
    wait_ms = MAX_WAIT_INTERVALS * interval_ms
    return share if now_ms - since_ms < wait_ms else place.room


def find_places(candidate, step_run, now_ms):
    """Returns the Places of a candidate and of all others for its step."""
    dispatcher, step = candidate.dispatcher, step_run.step
    silent_ms = MAX_SILENT_INTERVALS * dispatcher.heartbeat_interval_ms
    places = [find_place(candidate, step, step_run.waiting)]
    for worker in dispatcher.workers.of_service(
        candidate.worker.report.service
    ):
        if worker is candidate.worker or not worker.accepts_tasks(
            now_ms, silent_ms
        ):
            continue
        other = candidate.on_worker(worker)
        if other.is_suitable(step, now_ms):
            places.append(find_place(other, step, step_run.waiting))
    return places


def find_place(candidate, step, waiting):
    """Returns the Place for waiting tasks of a step on a worker."""
    maximum = min(waiting, candidate.remaining_limit(step))
    room = candidate.worker.free_capacity().count_fitting(step, maximum)
    return Place(count_tasks(candidate.worker, candidate.prefix), room)


def find_level(places, waiting):
    """Returns the highest number of tasks up to which all workers may take.

    Args:
        places: Places of all workers with room.
        waiting: Number of waiting tasks.
    """
    low, high = 0, max(place.own + place.room for place in places)
    while low < high:
        level = (low + high + 1) // 2
        if sum(place.count_below(level) for place in places) <= waiting:
            low = level
        else:
            high = level - 1
    return low


def forget_waits(dispatcher, now_ms):
    """Drops the waits and the shares that were found long ago."""
    for prefix, since_ms in list(dispatcher.spread_since_ms.items()):
        if now_ms - since_ms > WAIT_MEMORY_MS:
            del dispatcher.spread_since_ms[prefix]
    for prefix, spread in list(dispatcher.spreads.items()):
        if now_ms - spread.found_ms > WAIT_MEMORY_MS:
            del dispatcher.spreads[prefix]

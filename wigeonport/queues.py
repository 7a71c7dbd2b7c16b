"""Queues: hold the waiting requests of one service, bounded and ordered."""

from collections import deque

from wigeonport.registries import Registry

disciplines = Registry("queue discipline")

# A queue whose shortest wait within a window of this length exceeds the target
# wait is a standing queue: it no longer absorbs bursts.
# Source: K. Nichols, V. Jacobson, "Controlling Queue Delay", 2012.
STANDING_WINDOW_MS = 200
TARGET_WAIT_MS = 50
# Higher than every priority that a caller can state: retries go first. The
# retry budget bounds their number.
RETRY_PRIORITY = 10


class ServiceQueue:
    """Requests that wait for a slot, by priority.

    Attributes:
        max_size: Largest number of waiting requests.
        max_wait_ms: Longest wait of a request.
        choose_position: Queue discipline; a function that returns the index
            of the next request within the requests of one priority.
        waiting: Maps priority to a deque of requests, oldest first.
        size: Number of waiting requests.
        window_start_ms: Monotonic time when the current window began.
        window_min_wait_ms: Shortest wait of the oldest request seen in the
            current window, or None.
        standing: Whether the queue was standing in the previous window.
    """

    __slots__ = (
        "max_size",
        "max_wait_ms",
        "choose_position",
        "waiting",
        "size",
        "window_start_ms",
        "window_min_wait_ms",
        "standing",
    )

    def __init__(self, max_size, max_wait_ms, discipline):
        self.max_size = max_size
        self.max_wait_ms = max_wait_ms
        self.choose_position = disciplines.get(discipline).ok
        self.waiting = {}
        self.size = 0
        self.window_start_ms = 0
        self.window_min_wait_ms = None
        self.standing = False

    def push(self, request, now_ms):
        """Adds a request; returns the evicted one, or None.

        A full queue evicts the newest request of the lowest priority. That
        is the given request if none has a lower priority.
        """
        if self.size >= self.max_size:
            lowest = min(self.waiting)
            if lowest >= request.priority:
                return request
            evicted = self.take(lowest, -1)
        else:
            evicted = None
        request.queued_ms = now_ms
        self.waiting.setdefault(request.priority, deque()).append(request)
        self.size += 1
        return evicted

    def requeue(self, request, now_ms):
        """Adds a request for a retry, ahead of all first attempts."""
        request.queued_ms = now_ms
        self.waiting.setdefault(RETRY_PRIORITY, deque()).append(request)
        self.size += 1

    def find_next(self, now_ms):
        """Returns the priority and position of the request to send next."""
        self.update_standing(now_ms)
        priority = max(self.waiting)
        return priority, self.choose_position(
            self, self.waiting[priority], now_ms
        )

    def take(self, priority, position):
        """Removes and returns one request."""
        requests = self.waiting[priority]
        request = requests[position]
        del requests[position]
        if not requests:
            del self.waiting[priority]
        self.size -= 1
        return request

    def update_standing(self, now_ms):
        """Tracks the shortest wait; sets ``standing`` once per window."""
        wait_ms = max(
            (now_ms - queue[0].queued_ms for queue in self.waiting.values()),
            default=0,
        )
        if (
            self.window_min_wait_ms is None
            or wait_ms < self.window_min_wait_ms
        ):
            self.window_min_wait_ms = wait_ms
        if now_ms - self.window_start_ms >= STANDING_WINDOW_MS:
            self.standing = self.window_min_wait_ms > TARGET_WAIT_MS
            self.window_start_ms = now_ms
            self.window_min_wait_ms = None

    def expire(self, now_ms, estimate_service_ms):
        """Removes and returns the requests that can no longer be served.

        Such a request has waited for the longest wait, or would be answered
        after its deadline.

        Args:
            now_ms: Monotonic time.
            estimate_service_ms: Function of a request that returns the
                time in ms from getting a slot to its answer.
        """
        expired = []
        for priority, requests in list(self.waiting.items()):
            remaining = deque()
            for request in requests:
                waited_too_long = (
                    now_ms - request.queued_ms >= self.max_wait_ms
                )
                if (
                    waited_too_long
                    or now_ms + estimate_service_ms(request)
                    >= request.deadline_ms
                ):
                    expired.append(request)
                else:
                    remaining.append(request)
            self.waiting[priority] = remaining
            if not remaining:
                del self.waiting[priority]
        self.size -= len(expired)
        return expired

    def count_ahead(self, priority):
        """Returns the number of requests ahead of a new one of a priority."""
        return sum(
            len(requests)
            for other, requests in self.waiting.items()
            if other >= priority
        )


@disciplines.register("fifo")
def choose_oldest(queue, requests, now_ms):
    """Serves in the order of arrival."""
    return 0


@disciplines.register("lifo")
def choose_newest(queue, requests, now_ms):
    """Serves the newest request first."""
    return -1


@disciplines.register("deadline")
def choose_earliest_deadline(queue, requests, now_ms):
    """Serves the request with the earliest deadline first."""
    return min(
        range(len(requests)),
        key=lambda position: requests[position].deadline_ms,
    )


@disciplines.register("adaptive")
def choose_by_load(queue, requests, now_ms):
    """Serves the oldest first, but the newest first in a standing queue.

    In overload some requests are refused whatever the order. Serving the
    newest first answers the served requests without delay; serving the
    oldest first would answer each of them shortly before its deadline.
    """
    return -1 if queue.standing else 0

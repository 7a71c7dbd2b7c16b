"""Queues: the waiting requests of one service, bounded and ordered."""

from collections import deque

from wigeonport.registries import Registry

disciplines = Registry("queue discipline")

# A queue whose shortest wait in this time exceeds the target is standing:
# it no longer absorbs bursts.
# Source: K. Nichols, V. Jacobson, "Controlling Queue Delay", 2012.
WINDOW_MS = 200
TARGET_WAIT_MS = 50
# Above every priority of a caller: retries go first, and are bounded by the
# retry budget.
RETRY_PRIORITY = 10


class ServiceQueue:
    """Waiting requests by priority.

    Attributes:
        bound: Largest number of waiting requests.
        longest_wait_ms: Longest wait of a request.
        choose: Queue discipline.
        waiting: Deques of requests by priority, oldest first.
        size: Number of waiting requests.
        window_ms: Start of the current window.
        shortest_ms: Shortest wait of the oldest request in the window, or
            None.
        standing: Whether the queue was standing in the last window.
    """

    __slots__ = (
        "bound",
        "longest_wait_ms",
        "choose",
        "waiting",
        "size",
        "window_ms",
        "shortest_ms",
        "standing",
    )

    def __init__(self, bound, longest_wait_ms, discipline):
        self.bound = bound
        self.longest_wait_ms = longest_wait_ms
        self.choose = disciplines.get(discipline).ok
        self.waiting = {}
        self.size = 0
        self.window_ms = 0
        self.shortest_ms = None
        self.standing = False

    def push(self, request, now_ms):
        """Adds a request; returns the one that has to go, or None.

        A full queue gives up the youngest request of the lowest priority.
        """
        if self.size >= self.bound:
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

    def put_back(self, request, now_ms):
        """Adds a request that was tried before, ahead of all others."""
        request.queued_ms = now_ms
        self.waiting.setdefault(RETRY_PRIORITY, deque()).append(request)
        self.size += 1

    def find_next(self, now_ms):
        """Returns priority and position of the next request."""
        self.watch(now_ms)
        priority = max(self.waiting)
        return priority, self.choose(self, self.waiting[priority], now_ms)

    def take(self, priority, position):
        """Removes and returns one request."""
        requests = self.waiting[priority]
        request = requests[position]
        del requests[position]
        if not requests:
            del self.waiting[priority]
        self.size -= 1
        return request

    def watch(self, now_ms):
        """Decides at the end of each window whether the queue stands."""
        wait_ms = max(
            (now_ms - queue[0].queued_ms for queue in self.waiting.values()),
            default=0,
        )
        if self.shortest_ms is None or wait_ms < self.shortest_ms:
            self.shortest_ms = wait_ms
        if now_ms - self.window_ms >= WINDOW_MS:
            self.standing = self.shortest_ms > TARGET_WAIT_MS
            self.window_ms = now_ms
            self.shortest_ms = None

    def expire(self, now_ms, margin):
        """Removes and returns the requests that waited too long.

        Args:
            now_ms: Monotonic time.
            margin: Function of a request; returns the time in ms that its
                answer will take once it has a slot.
        """
        expired = []
        for priority, requests in list(self.waiting.items()):
            kept = deque()
            for request in requests:
                late = now_ms - request.queued_ms >= self.longest_wait_ms
                if late or now_ms + margin(request) >= request.deadline_ms:
                    expired.append(request)
                else:
                    kept.append(request)
            self.waiting[priority] = kept
            if not kept:
                del self.waiting[priority]
        self.size -= len(expired)
        return expired

    def ahead(self, priority):
        """Returns how many requests go before a new one of a priority."""
        return sum(
            len(requests)
            for other, requests in self.waiting.items()
            if other >= priority
        )


@disciplines.register("fifo")
def take_oldest(queue, requests, now_ms):
    """Serves in the order of arrival."""
    return 0


@disciplines.register("lifo")
def take_youngest(queue, requests, now_ms):
    """Serves the latest arrival first."""
    return -1


@disciplines.register("deadline")
def take_earliest_deadline(queue, requests, now_ms):
    """Serves the request whose deadline is nearest."""
    return min(range(len(requests)), key=lambda at: requests[at].deadline_ms)


@disciplines.register("adaptive")
def take_by_load(queue, requests, now_ms):
    """Serves in order, but the latest first while the queue stands.

    In overload some requests are refused in any order. Serving the latest
    first answers those that are served at once, instead of all of them
    shortly before their deadline.
    """
    return -1 if queue.standing else 0

"""The budget of bytes and connections that a process holds for its clients.

A ClientBudget belongs to the one thread of the process and is only called
synchronously, so that each of its decisions sees all holdings. It decides
which connections go and tells their tasks through ``Holding.end``; the tasks
own the sockets and close them. It knows neither sockets nor HTTP.
"""

import collections
import heapq

# Evictions at the limit of connections go in batches, so that a flood of new
# connections does not pay for a look at all connections each time.
CONNECTION_BATCHES = 32
# Room made at the limit of bytes beyond what is needed, for the same reason.
TARGET_FILL = 0.9
# Fewer received bytes are no progress: a client that sends a byte now and then
# still holds its place.
PROGRESS_BYTES = 4_096

# A new connection is not counted among those without an answer for this time:
# its first request is on its way, over a link with delay.
NEWCOMER_MS = 1_000
# A connection that waits for a request for longer yields to newcomers. Workers
# send the next heartbeat sooner.
LONG_IDLE_MS = 5_000

CALLERS = "callers"
WORKERS = "workers"
OPERATORS = "operators"
STATUS = "status"
# Part of the bytes and connections that holdings of other shares cannot take.
# Endpoints that announce themselves count as workers. The rest of the budget
# is for whoever comes first.
GUARANTEES = {CALLERS: 0.5, WORKERS: 0.4, OPERATORS: 0.4, STATUS: 0.05}

# Phases of a connection. Only in the phase DECIDING may its request have an
# effect whose outcome the client does not know, so it is never evicted there.
WAITING = "waiting"
READING = "reading"
DECIDING = "deciding"
ANSWERING = "answering"

REPORT_INTERVAL_MS = 1_000

# Why a connection is ended.
IDLE = "idle"
STALLED = "stalled"
UNREAD = "unread"
BYTES = "bytes"
CONNECTIONS = "connections"


class Holding:
    """What the process holds for one connection.

    Attributes:
        share: Share of the budget that it counts towards.
        end: Function without arguments that makes the task of the connection
            close it.
        phase: WAITING, READING, DECIDING or ANSWERING.
        answered: Number of requests that were answered.
        received_bytes: Bytes received and not yet released.
        expected_bytes: Length of the body that the client has announced.
        answer_bytes: Bytes of the answer that is being sent.
        marked_ms: Time of the last progress or change of the phase.
        unmarked_bytes: Bytes received since then.
        body_awaited: Whether the application waits for the body, so that it
            has decided nothing yet.
        reason: Why the connection is ended, or None.
    """

    __slots__ = (
        "share",
        "end",
        "phase",
        "answered",
        "received_bytes",
        "expected_bytes",
        "answer_bytes",
        "marked_ms",
        "unmarked_bytes",
        "body_awaited",
        "reason",
    )

    def __init__(self, share, end, now_ms):
        self.share = share
        self.end = end
        self.phase = WAITING
        self.answered = 0
        self.received_bytes = 0
        self.expected_bytes = 0
        self.answer_bytes = 0
        self.marked_ms = now_ms
        self.unmarked_bytes = 0
        self.body_awaited = False
        self.reason = None

    @property
    def held_bytes(self):
        """Bytes that count towards the budget."""
        return (
            max(self.received_bytes, self.expected_bytes) + self.answer_bytes
        )

    @property
    def not_run(self):
        """Whether the request in progress has certainly not run."""
        return self.phase == READING and self.body_awaited

    def enter(self, phase, now_ms):
        """Changes the phase."""
        self.phase = phase
        self.mark(now_ms)

    def mark(self, now_ms):
        """Records progress."""
        self.marked_ms = now_ms
        self.unmarked_bytes = 0

    def rank_idleness(self, now_ms):
        """Returns a sort key; the connection with the highest yields first."""
        waited_ms = now_ms - self.marked_ms
        if not self.answered:
            return 3 if waited_ms >= NEWCOMER_MS else 1, waited_ms
        idle = self.phase == WAITING and waited_ms >= LONG_IDLE_MS
        return 2 if idle else 0, waited_ms

    def is_evictable(self):
        """Returns whether its connection may be closed for others."""
        return self.phase != DECIDING and self.reason is None


class ClientBudget:
    """Counts what is held for all clients and decides who goes at the edge.

    Attributes:
        limits: ClientLimits.
        holdings: Maps each open Holding to itself, oldest first.
        held_bytes: Bytes that are held in total.
        bytes_by_share: Maps a share to the bytes held for it.
        connections_by_share: Maps a share to its number of connections.
        ended: Counter of the connections ended, by reason, since the last
            report.
        reported_ms: Time of the last report.
    """

    __slots__ = (
        "limits",
        "holdings",
        "held_bytes",
        "bytes_by_share",
        "connections_by_share",
        "ended",
        "reported_ms",
    )

    def __init__(self, limits):
        self.limits = limits
        self.holdings = {}
        self.held_bytes = 0
        self.bytes_by_share = collections.Counter()
        self.connections_by_share = collections.Counter()
        self.ended = collections.Counter()
        self.reported_ms = -REPORT_INTERVAL_MS

    def open(self, holding, now_ms):
        """Adds the Holding of a new connection; returns whether it fits.

        At the limit, connections that were never answered go first, then
        those that wait for long, then newcomers, and the others last.
        """
        if len(self.holdings) >= self.limits.connections:
            self.evict_connections(holding.share, now_ms)
        if len(self.holdings) >= self.limits.connections:
            return False
        self.holdings[holding] = holding
        self.connections_by_share[holding.share] += 1
        return True

    def close(self, holding):
        """Removes a Holding that may have been removed already."""
        if self.holdings.pop(holding, None) is not None:
            self.connections_by_share[holding.share] -= 1
            self.add(holding.share, -holding.held_bytes)

    def add(self, share, size_bytes):
        """Adds to the bytes held for a share."""
        self.held_bytes += size_bytes
        self.bytes_by_share[share] += size_bytes

    def receive(self, holding, size_bytes, now_ms):
        """Counts bytes that arrived on a connection."""
        before_bytes = holding.held_bytes
        holding.received_bytes += size_bytes
        holding.unmarked_bytes += size_bytes
        if holding.unmarked_bytes >= PROGRESS_BYTES:
            holding.mark(now_ms)
        self.grow(holding, holding.held_bytes - before_bytes, now_ms)

    def release_received(self, holding, now_ms):
        """Removes received bytes that the application has handled."""
        if holding in self.holdings:
            self.add(holding.share, holding.answer_bytes - holding.held_bytes)
        holding.received_bytes = 0
        holding.expected_bytes = 0
        holding.mark(now_ms)

    def begin(self, holding, share, expected_bytes, now_ms):
        """Begins a request; reserves the length that was announced.

        Args:
            holding: Holding of its connection.
            share: Share that the request counts towards.
            expected_bytes: Length of its body, 0 if it was not announced.
            now_ms: The present time.
        """
        if holding.reason is not None:
            return
        if share != holding.share:
            self.move(holding, share)
        holding.enter(READING, now_ms)
        if expected_bytes:
            before_bytes = holding.held_bytes
            holding.expected_bytes = expected_bytes
            self.grow(holding, holding.held_bytes - before_bytes, now_ms)

    def move(self, holding, share):
        """Counts a Holding towards another share."""
        self.connections_by_share[holding.share] -= 1
        self.connections_by_share[share] += 1
        self.add(holding.share, -holding.held_bytes)
        self.add(share, holding.held_bytes)
        holding.share = share

    def hold_answer(self, holding, size_bytes, now_ms):
        """Counts bytes of an answer until ``release_answer``."""
        holding.answer_bytes += size_bytes
        self.grow(holding, size_bytes, now_ms)

    def release_answer(self, holding, size_bytes, now_ms):
        """Removes bytes of an answer that were sent."""
        holding.mark(now_ms)
        holding.answer_bytes -= size_bytes
        if holding in self.holdings:
            self.add(holding.share, -size_bytes)

    def finish(self, holding, left_bytes, now_ms):
        """Ends a request; keeps only bytes that were received ahead."""
        if holding in self.holdings:
            self.add(holding.share, left_bytes - holding.held_bytes)
        holding.received_bytes = left_bytes
        holding.expected_bytes = 0
        holding.body_awaited = False
        holding.answered += 1
        holding.enter(WAITING, now_ms)

    def grow(self, holding, growth_bytes, now_ms):
        """Counts more bytes; makes room if they exceed the limit."""
        if holding not in self.holdings or growth_bytes <= 0:
            return
        self.add(holding.share, growth_bytes)
        if self.held_bytes > self.limits.held_bytes:
            self.evict_bytes(holding.share, now_ms)

    def evict_bytes(self, share, now_ms):
        """Ends what holds most for longest until the bytes fit.

        The growing connection itself may be among them.
        """
        candidates = [
            holding
            for holding in self.holdings
            if holding.is_evictable() and holding.held_bytes
        ]
        candidates.sort(
            key=lambda holding: (
                holding.held_bytes * (now_ms - holding.marked_ms + 1)
            ),
            reverse=True,
        )
        target_bytes = self.limits.held_bytes * TARGET_FILL
        for holding in candidates:
            if self.held_bytes <= target_bytes:
                return
            guaranteed = self.limits.held_bytes * GUARANTEES[holding.share]
            exceeds = self.bytes_by_share[holding.share] > guaranteed
            if holding.share == share or exceeds:
                self.evict(holding, BYTES)

    def evict_connections(self, share, now_ms):
        """Ends a batch of connections for a new one of ``share``."""
        batch = max(1, int(self.limits.connections) // CONNECTION_BATCHES)
        candidates = (
            holding
            for holding in self.holdings
            if holding.is_evictable() and self.yields(holding.share, share)
        )
        worst = heapq.nlargest(
            batch,
            candidates,
            key=lambda holding: holding.rank_idleness(now_ms),
        )
        for holding in worst:
            if self.yields(holding.share, share):
                self.evict(holding, CONNECTIONS)

    def yields(self, share, newcomer_share):
        """Returns whether a share gives up a connection for another one."""
        guaranteed = self.limits.connections * GUARANTEES[share]
        exceeds = self.connections_by_share[share] > guaranteed
        return share == newcomer_share or exceeds

    def evict(self, holding, reason):
        """Ends a connection and frees what it holds."""
        holding.reason = reason
        self.ended[reason] += 1
        self.close(holding)
        holding.end()

    def end_overdue(self, holding, keep_alive_ms, now_ms):
        """Ends a connection that made no progress for too long."""
        waited_ms = now_ms - holding.marked_ms
        if holding.reason is not None:
            return
        if holding.phase == WAITING and waited_ms >= keep_alive_ms:
            self.evict(holding, IDLE)
        elif (
            holding.phase == READING and waited_ms >= self.limits.body_stall_ms
        ):
            self.evict(holding, STALLED)
        elif (
            holding.phase == ANSWERING
            and waited_ms >= self.limits.answer_stall_ms
        ):
            self.evict(holding, UNREAD)

    def take_report(self, now_ms):
        """Returns the connections ended by reason, at most once a second.

        Idle connections are closed all the time and not reported.
        """
        del self.ended[IDLE]
        if now_ms - self.reported_ms < REPORT_INTERVAL_MS:
            return collections.Counter()
        if self.ended:
            self.reported_ms = now_ms
        ended, self.ended = self.ended, collections.Counter()
        return ended

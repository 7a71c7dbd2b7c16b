"""Listeners: accept HTTP connections and end those that make no progress."""

import functools
import math

import trio
from hypercorn.trio.worker_context import WorkerContext

from wigeonport.client_budgets import STATUS, ClientBudget
from wigeonport.client_limits import ClientLimits
from wigeonport.clocks import Clock
from wigeonport.http_connections import HttpConnection
from wigeonport.logs import PartLogger
from wigeonport.metrics import Metrics
from wigeonport.pause_watches import PauseWatch

logger = PartLogger("clients")

SWEEP_INTERVAL_MS = 500
LOG_INTERVAL_MS = 1_000


class ListenerLimits:
    """How a listener counts its clients towards the budget of the process.

    Attributes:
        budget: ClientBudget of the process.
        share: Share of connections, and of requests without one of their own.
        max_body_bytes: Largest body that the application takes.
        share_of: Function ``(method, path)``, both as bytes, that returns the
            share of a request, or None for the share of the listener.
        streams: Whether bodies have no end: the application handles each part
            at once, so that received bytes are not held, and any of them are
            progress.
    """

    __slots__ = ("budget", "share", "max_body_bytes", "share_of", "streams")

    def __init__(
        self,
        budget,
        share=STATUS,
        max_body_bytes=math.inf,
        share_of=None,
        streams=False,
    ):
        self.budget = budget
        self.share = share
        self.max_body_bytes = max_body_bytes
        self.share_of = share_of
        self.streams = streams

    def find_share(self, method, path):
        """Returns the share of a request."""
        if self.share_of is None:
            return self.share
        return self.share_of(method, path) or self.share


def no_limits():
    """Returns limits that no client meets."""
    return ListenerLimits(ClientBudget(ClientLimits()))


class BodyAwaitingApp:
    """An ASGI app as hypercorn calls it, which notes the wait for a body.

    Attributes:
        app: The application; it decides nothing on a request whose body it
            reads before it has read all of it.
    """

    __slots__ = ("app",)

    def __init__(self, app):
        self.app = app

    async def __call__(self, scope, receive, send, sync_spawn, call_soon):
        """Handles one request."""
        holding = scope["state"]["connection"].holding

        async def receive_body():
            holding.body_awaited = True
            return await receive()

        await self.app(scope, receive_body, send)


class HttpListener:
    """Owns the listening sockets and the connections accepted on them.

    Attributes:
        app: BodyAwaitingApp.
        config: Configuration of hypercorn.
        limits: ListenerLimits.
        metrics: Metrics.
        clock: Clock.
        context: Context of hypercorn, which knows whether the server stops.
        connections: The open HttpConnections, as keys.
        pauses: PauseWatch.
        logged_ms: Time of the last log line about a fault.
    """

    __slots__ = (
        "app",
        "config",
        "limits",
        "metrics",
        "clock",
        "context",
        "connections",
        "pauses",
        "logged_ms",
    )

    def __init__(self, app, config, limits, metrics=None, clock=None):
        self.app = BodyAwaitingApp(app)
        self.config = config
        self.limits = limits
        self.metrics = metrics or Metrics()
        self.clock = clock or Clock()
        self.context = WorkerContext(None)
        self.connections = {}
        self.pauses = PauseWatch(self.clock)
        self.logged_ms = -LOG_INTERVAL_MS

    async def run(self, stopping, task_status=trio.TASK_STATUS_IGNORED):
        """Serves until ``stopping`` is set and the requests have finished.

        Args:
            stopping: trio.Event.
            task_status: Gets the URLs that accept connections.
        """
        async with trio.open_nursery() as sweeps:
            sweeps.start_soon(self.sweep)
            async with trio.open_nursery() as requests:
                listeners = self.open_listeners()
                async with trio.open_nursery() as accepting:
                    await accepting.start(
                        functools.partial(
                            trio.serve_listeners,
                            self.serve_stream,
                            listeners,
                            handler_nursery=requests,
                        )
                    )
                    task_status.started([url_of(each) for each in listeners])
                    await stopping.wait()
                    accepting.cancel_scope.cancel()
                requests.cancel_scope.deadline = (
                    trio.current_time() + self.config.graceful_timeout
                )
                await self.context.terminated.set()
                self.end_overdue(keep_alive_ms=0)
            sweeps.cancel_scope.cancel()

    def open_listeners(self):
        """Returns the listening sockets as trio listeners."""
        listeners = []
        for listener in self.config.create_sockets().insecure_sockets:
            listener.listen(self.config.backlog)
            listeners.append(
                trio.SocketListener(trio.socket.from_stdlib_socket(listener))
            )
        return listeners

    async def serve_stream(self, stream):
        """Serves one accepted connection, or refuses it."""
        connection = HttpConnection(self, stream)
        budget = self.limits.budget
        if not budget.open(connection.holding, self.clock.now()):
            self.metrics.count("clients_refused_connections")
            connection.close()
            return
        self.connections[connection] = connection
        try:
            await connection.run()
        finally:
            del self.connections[connection]
            budget.close(connection.holding)

    async def sweep(self):
        """Ends connections without progress, at regular intervals.

        Time for which this process itself did not run is not counted.
        """
        last_ms = self.clock.now()
        while True:
            await self.clock.sleep(SWEEP_INTERVAL_MS)
            now_ms = self.pauses.observe()
            pause_ms = now_ms - last_ms - SWEEP_INTERVAL_MS
            last_ms = now_ms
            if pause_ms > SWEEP_INTERVAL_MS:
                for connection in self.connections:
                    holding = connection.holding
                    holding.marked_ms = min(
                        now_ms, holding.marked_ms + pause_ms
                    )
            self.end_overdue(self.config.keep_alive_timeout * 1000)
            self.report(now_ms)

    def end_overdue(self, keep_alive_ms):
        """Ends the connections without progress."""
        now_ms = self.clock.now()
        for connection in list(self.connections):
            self.limits.budget.end_overdue(
                connection.holding, keep_alive_ms, now_ms
            )

    def report(self, now_ms):
        """Sets the metrics; logs at most one line a second."""
        budget = self.limits.budget
        self.metrics.set("clients_connections", len(budget.holdings))
        self.metrics.set("clients_held_bytes", budget.held_bytes)
        ended = budget.take_report(now_ms)
        if not ended:
            return
        logger.warning(
            "Connections ended.",
            open_connections=len(budget.holdings),
            held_bytes=budget.held_bytes,
            reasons=",".join(f"{name}:{ended[name]}" for name in ended),
        )
        for reason, number in ended.items():
            self.metrics.count(f"clients_ended_{reason}", number)

    def report_fault(self, group):
        """Counts and logs the errors that ended a connection."""
        self.metrics.count("clients_failed_connections")
        now_ms = self.clock.now()
        if now_ms - self.logged_ms >= LOG_INTERVAL_MS:
            self.logged_ms = now_ms
            logger.error("Connection failed.", reason=describe(group))


def url_of(listener):
    """Returns the URL of a listening socket."""
    host, port = listener.socket.getsockname()[:2]
    return f"http://{host}:{port}"


def describe(group):
    """Returns the first error of a group, with its type."""
    error = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return f"{type(error).__name__}: {error}"

"""Dispatchers: send requests to endpoints and hold whole answers.

An attempt counts as not run only if no byte of the request was handed to the
connection, or if the endpoint says so in ``Wigeonport-Refused``.
"""

import httpcore
import trio

from wigeonport.answers import (
    AnswerError,
    check_head,
    find_refusal,
    forward_headers,
    make_answer,
    names_request,
)
from wigeonport.connections import ConnectionReturned, open_connection
from wigeonport.router_messages import AttemptEnded

FIRST_BYTE_EVENT = "http11.send_request_headers.started"
SWEEP_INTERVAL_MS = 1_000
CLOSE_TIMEOUT_MS = 500


class DispatchLimits:
    """Limits of one attempt.

    Attributes:
        connect_timeout_ms: Longest wait for a new connection.
        attempt_timeout_ms: Longest wait for the answer to a repeatable
            request over a used connection.
        max_answer_bytes: Largest answer that is held.
    """

    __slots__ = (
        "connect_timeout_ms",
        "attempt_timeout_ms",
        "max_answer_bytes",
    )

    def __init__(
        self,
        connect_timeout_ms=1_000,
        attempt_timeout_ms=2_000,
        max_answer_bytes=1 << 20,
    ):
        self.connect_timeout_ms = connect_timeout_ms
        self.attempt_timeout_ms = attempt_timeout_ms
        self.max_answer_bytes = max_answer_bytes


class Attempt:
    """One attempt and what is known of it.

    Attributes:
        request: The request.
        record: EndpointRecord of the endpoint.
        connection: Connection that the attempt owns.
        fresh: Whether the connection is new.
        sent: Whether a byte of the request may have been sent.
        reusable: Whether the connection may carry another request.
        silent: Whether the endpoint did not answer in time.
    """

    __slots__ = (
        "request",
        "record",
        "connection",
        "fresh",
        "sent",
        "reusable",
        "silent",
    )

    def __init__(self, request, record, connection, fresh):
        self.request = request
        self.record = record
        self.connection = connection
        self.fresh = fresh
        self.sent = False
        self.reusable = False
        self.silent = False

    async def note(self, event, info):
        """Notes the first byte; called by the HTTP library."""
        if event == FIRST_BYTE_EVENT:
            self.sent = True


def needs_fresh(request):
    """Returns whether a request goes only over a new connection.

    A used connection can have stopped carrying traffic. A request that may
    not be repeated would then end as unknown, and a retry would meet the
    next dead connection.
    """
    return not request.repeatable or request.attempts > 1


def limit_attempt(attempt, now_ms, limits):
    """Returns how long an attempt may take, in ms.

    A repeatable request leaves time for a retry: over a used connection,
    which may be dead, a fixed time, over a new one half of what is left.
    """
    left_ms = max(attempt.request.deadline_ms - now_ms, 0)
    if not attempt.request.repeatable:
        return left_ms
    if attempt.fresh:
        return max(left_ms // 2, min(left_ms, limits.attempt_timeout_ms))
    return min(left_ms, limits.attempt_timeout_ms)


class Dispatcher:
    """Makes attempts at endpoints.

    Attributes:
        idle: IdleConnections.
        results: Mailbox of the router. It must wait when it is full, because
            a lost end of an attempt would keep a slot for good.
        clock: Time source.
        metrics: Metrics of the process.
        limits: DispatchLimits.
    """

    __slots__ = ("idle", "results", "clock", "metrics", "limits")

    def __init__(self, idle, results, clock, metrics, limits):
        self.idle = idle
        self.results = results
        self.clock = clock
        self.metrics = metrics
        self.limits = limits

    async def attempt(self, attempt, inbound):
        """Makes one attempt; returns its connection and reports its end."""
        started_ms = self.clock.now()
        ended = AttemptEnded(
            attempt.request, attempt.record.endpoint_id, None, True, ""
        )
        limit_ms = limit_attempt(attempt, started_ms, self.limits)
        try:
            with trio.fail_after(limit_ms / 1000):
                await self.exchange(attempt, ended)
        except trio.TooSlowError:
            attempt.silent = True
            ended.reason = "the endpoint did not answer in time"
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            ended.reason = "the endpoint cannot be reached"
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            AnswerError,
        ) as error:
            ended.reason = f"no whole answer: {error or type(error).__name__}"
        ended.possibly_ran = ended.possibly_ran and attempt.sent
        self.note_end(attempt, ended, started_ms)
        kept = attempt.connection if attempt.reusable else None
        if kept is None:
            await close(attempt.connection)
        await inbound.put(
            ConnectionReturned(attempt.record, kept, attempt.silent)
        )
        await self.results.put(ended)

    def note_end(self, attempt, ended, started_ms):
        """Records time and kind of an attempt's end."""
        ended.duration_ms = self.clock.now() - started_ms
        self.metrics.record(
            "dispatchers_service_us", ended.duration_ms * 1_000
        )
        if ended.answer is not None:
            kind = "answered"
        elif not ended.possibly_ran:
            kind = "not_run"
        else:
            kind = "silent" if attempt.silent else "incomplete"
        self.metrics.count(f"dispatchers_{kind}")

    async def exchange(self, attempt, ended):
        """Sends the request and fills in the end of the attempt."""
        request, record = attempt.request, attempt.record
        connect_s = self.limits.connect_timeout_ms / 1000
        outgoing = httpcore.Request(
            request.method,
            httpcore.URL(
                scheme=b"http",
                host=record.host.encode(),
                port=record.port,
                target=request.path,
            ),
            headers=[
                (b"host", f"{record.host}:{record.port}".encode()),
                *forward_headers(request),
            ],
            content=request.body,
            extensions={
                "timeout": {"connect": connect_s},
                "trace": attempt.note,
            },
        )
        response = await attempt.connection.handle_async_request(outgoing)
        try:
            check_head(
                request, response.status, response.headers, attempt.fresh
            )
            body = await self.read_body(response)
        finally:
            await response.aclose()
        attempt.reusable = attempt.connection.is_idle() and names_request(
            response.headers
        )
        refusal = find_refusal(response.headers)
        if refusal is not None:
            ended.possibly_ran = False
            ended.refusal = refusal
            ended.reason = f"the endpoint refused: {refusal}"
            return
        ended.answer = make_answer(
            request, response.status, response.headers, body
        )

    async def read_body(self, response):
        """Returns the whole body.

        Raises:
            AnswerError: If it is too large.
        """
        chunks, size = [], 0
        async for chunk in response.stream:
            size += len(chunk)
            if size > self.limits.max_answer_bytes:
                raise AnswerError("the answer is too large")
            chunks.append(chunk)
        return b"".join(chunks)


async def close(connection):
    """Closes a connection, also while the task is cancelled."""
    with trio.move_on_after(CLOSE_TIMEOUT_MS / 1000) as scope:
        scope.shield = True
        await connection.aclose()


async def dispatch(inbound, dispatcher):
    """Owns the idle connections; starts an attempt for each Dispatch.

    Each attempt ends at its deadline, so their number is bounded by the
    slots that the router hands out.
    """
    idle = dispatcher.idle
    async with trio.open_nursery() as nursery:
        while True:
            message = await inbound.get_within(SWEEP_INTERVAL_MS)
            if message is None:
                closing = idle.sweep()
            elif isinstance(message, ConnectionReturned):
                closing = idle.give_back(message)
            else:
                request, record = message.request, message.record
                connection, closing = idle.take(record, needs_fresh(request))
                attempt = Attempt(
                    request,
                    record,
                    connection or open_connection(record),
                    connection is None,
                )
                nursery.start_soon(dispatcher.attempt, attempt, inbound)
            for connection in closing:
                await close(connection)

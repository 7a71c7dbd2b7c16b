"""Dispatchers: send requests to endpoints and buffer complete answers.

An attempt counts as not run only if no byte of the request was written to the
connection, or if the endpoint refused the request in the header
``Wigeonport-Refused``.
"""

import httpcore
import trio

from wigeonport.answers import (
    AnswerError,
    check_head,
    find_refusal,
    forward_headers,
    has_request_id,
    make_answer,
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
            request over a reused connection.
        max_answer_bytes: Largest body of an answer.
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
    """One attempt to run a request at an endpoint, and its state.

    Attributes:
        request: The request.
        record: EndpointRecord of the endpoint.
        connection: Connection that the attempt owns.
        is_new_connection: Whether the connection carried no request before.
        sent: Whether a byte of the request may have been sent.
        reusable: Whether the connection may carry another request.
        timed_out: Whether the endpoint did not answer in time.
    """

    __slots__ = (
        "request",
        "record",
        "connection",
        "is_new_connection",
        "sent",
        "reusable",
        "timed_out",
    )

    def __init__(self, request, record, connection, is_new_connection):
        self.request = request
        self.record = record
        self.connection = connection
        self.is_new_connection = is_new_connection
        self.sent = False
        self.reusable = False
        self.timed_out = False

    async def record_event(self, event, info):
        """Marks the request as sent; called by httpcore for each event."""
        if event == FIRST_BYTE_EVENT:
            self.sent = True


def needs_new_connection(request):
    """Returns whether a request may be sent only over a new connection.

    An idle connection may be dead without notice. Over it, a request that is
    not repeatable would end as unknown, and a retry could meet the next dead
    connection.
    """
    return not request.repeatable or request.attempts > 1


def choose_timeout_ms(attempt, now_ms, limits):
    """Returns how long an attempt may take, in ms.

    An attempt at a repeatable request leaves time for a retry. Over a reused
    connection, which may be dead, it may take ``attempt_timeout_ms``. Over a
    new connection it may take half of the remaining time, or
    ``attempt_timeout_ms`` if that is longer.
    """
    remaining_ms = max(attempt.request.deadline_ms - now_ms, 0)
    if not attempt.request.repeatable:
        return remaining_ms
    if attempt.is_new_connection:
        return max(
            remaining_ms // 2, min(remaining_ms, limits.attempt_timeout_ms)
        )
    return min(remaining_ms, limits.attempt_timeout_ms)


class Dispatcher:
    """Runs attempts at endpoints.

    Attributes:
        idle: IdleConnections.
        results: Mailbox of the router. It must wait when it is full, because
            a dropped attempt result would leave a slot occupied forever.
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

    async def run_attempt(self, attempt, inbound):
        """Runs one attempt, then returns its connection and its result.

        Args:
            attempt: The Attempt.
            inbound: Mailbox of the dispatch task, for the connection.
        """
        started_ms = self.clock.now()
        result = AttemptEnded(
            attempt.request, attempt.record.endpoint_id, None, True, ""
        )
        timeout_ms = choose_timeout_ms(attempt, started_ms, self.limits)
        try:
            with trio.fail_after(timeout_ms / 1000):
                await self.exchange(attempt, result)
        except trio.TooSlowError:
            attempt.timed_out = True
            result.reason = "the endpoint did not answer in time"
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            result.reason = "the connection to the endpoint failed"
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            AnswerError,
        ) as error:
            result.reason = (
                f"no complete answer: {error or type(error).__name__}"
            )
        result.possibly_ran = result.possibly_ran and attempt.sent
        self.record_metrics(attempt, result, started_ms)
        returned = attempt.connection if attempt.reusable else None
        if returned is None:
            await close(attempt.connection)
        await inbound.put(
            ConnectionReturned(attempt.record, returned, attempt.timed_out)
        )
        await self.results.put(result)

    def record_metrics(self, attempt, result, started_ms):
        """Records the duration and outcome of an attempt in the metrics."""
        result.duration_ms = self.clock.now() - started_ms
        self.metrics.record(
            "dispatchers_service_us", result.duration_ms * 1_000
        )
        if result.answer is not None:
            kind = "answered"
        elif not result.possibly_ran:
            kind = "not_run"
        else:
            kind = "silent" if attempt.timed_out else "incomplete"
        self.metrics.count(f"dispatchers_{kind}")

    async def exchange(self, attempt, result):
        """Sends the request, reads the response and fills in the result.

        Raises:
            AnswerError: If the response is not a usable answer.
        """
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
                "trace": attempt.record_event,
            },
        )
        response = await attempt.connection.handle_async_request(outgoing)
        try:
            check_head(
                request,
                response.status,
                response.headers,
                attempt.is_new_connection,
            )
            body = await self.read_body(response)
        finally:
            await response.aclose()
        attempt.reusable = attempt.connection.is_idle() and has_request_id(
            response.headers
        )
        refusal = find_refusal(response.headers)
        if refusal is not None:
            result.possibly_ran = False
            result.refusal = refusal
            result.reason = f"the endpoint refused the request: {refusal}"
            return
        result.answer = make_answer(
            request, response.status, response.headers, body
        )

    async def read_body(self, response):
        """Returns the whole body of a response.

        Raises:
            AnswerError: If it is larger than ``max_answer_bytes``.
        """
        chunks, size = [], 0
        async for chunk in response.stream:
            size += len(chunk)
            if size > self.limits.max_answer_bytes:
                raise AnswerError(
                    "the answer is larger than "
                    f"{self.limits.max_answer_bytes} bytes"
                )
            chunks.append(chunk)
        return b"".join(chunks)


async def close(connection):
    """Closes a connection, even if the task is being cancelled."""
    with trio.move_on_after(CLOSE_TIMEOUT_MS / 1000) as scope:
        scope.shield = True
        await connection.aclose()


async def dispatch(inbound, dispatcher):
    """Task that owns the idle connections and starts the attempts.

    The number of attempts is bounded by the slots that the router uses, since
    each attempt ends at its deadline at the latest.

    Args:
        inbound: Mailbox of Dispatch and ConnectionReturned messages.
        dispatcher: The Dispatcher.
    """
    idle = dispatcher.idle
    async with trio.open_nursery() as nursery:
        while True:
            message = await inbound.get_within(SWEEP_INTERVAL_MS)
            if message is None:
                closing = idle.remove_expired()
            elif isinstance(message, ConnectionReturned):
                closing = idle.put_back(message)
            else:
                request, record = message.request, message.record
                connection, closing = idle.take(
                    record, needs_new_connection(request)
                )
                attempt = Attempt(
                    request,
                    record,
                    connection or open_connection(record),
                    connection is None,
                )
                nursery.start_soon(dispatcher.run_attempt, attempt, inbound)
            for connection in closing:
                await close(connection)

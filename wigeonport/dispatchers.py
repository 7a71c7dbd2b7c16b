"""Dispatchers: send requests to endpoints and hold whole answers."""

import httpcore
import trio

from wigeonport.requests import COMPLETED, CallerAnswer
from wigeonport.routers import AttemptEnded

REQUEST_ID = b"wigeonport-request-id"
REFUSED = b"wigeonport-refused"
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"content-length",
        b"host",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
CONNECT_TIMEOUT_MS = 1_000
KEEP_ALIVE_S = 15.0


class AnswerError(Exception):
    """An answer is too large or belongs to another request."""


def make_pool(max_connections):
    """Returns the connection pool towards the endpoints."""
    return httpcore.AsyncConnectionPool(
        max_connections=max_connections,
        max_keepalive_connections=max_connections,
        keepalive_expiry=KEEP_ALIVE_S,
        retries=0,
    )


def forward_headers(request):
    """Returns the headers that go to the endpoint."""
    headers = [
        (name, value)
        for name, value in request.headers
        if name.lower() not in HOP_BY_HOP
    ]
    headers.append((REQUEST_ID, request.request_id.encode()))
    headers.append((b"content-length", str(len(request.body)).encode()))
    return headers


async def read_answer(response, request, limit_bytes):
    """Returns the whole answer.

    Raises:
        AnswerError: If it is too large or for another request.
    """
    answered = dict(response.headers).get(REQUEST_ID)
    if answered is not None and answered != request.request_id.encode():
        raise AnswerError("the answer belongs to another request")
    chunks, size = [], 0
    async for chunk in response.aiter_stream():
        size += len(chunk)
        if size > limit_bytes:
            raise AnswerError("the answer is too large")
        chunks.append(chunk)
    headers = [
        (name, value)
        for name, value in response.headers
        if name.lower() not in HOP_BY_HOP and name.lower() != REQUEST_ID
    ]
    body = b"".join(chunks)
    return CallerAnswer(response.status, headers, body, COMPLETED)


class Dispatcher:
    """Makes attempts at endpoints.

    Attributes:
        pool: Connection pool.
        results: Mailbox of the router.
        clock: Time source.
        metrics: Metrics of the process.
        max_answer_bytes: Largest answer that is held.
    """

    __slots__ = ("pool", "results", "clock", "metrics", "max_answer_bytes")

    def __init__(self, pool, results, clock, metrics, max_answer_bytes):
        self.pool = pool
        self.results = results
        self.clock = clock
        self.metrics = metrics
        self.max_answer_bytes = max_answer_bytes

    async def attempt(self, request, record):
        """Makes one attempt and reports its end to the router."""
        started_ms = self.clock.now()
        ended = AttemptEnded(request, record.endpoint_id, None, True, "")
        try:
            left_ms = request.deadline_ms - started_ms
            with trio.fail_after(max(left_ms, 0) / 1000):
                await self.exchange(request, record, ended)
        except trio.TooSlowError:
            ended.reason = "the endpoint did not answer in time"
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            ended.ran = False
            ended.reason = "the endpoint cannot be reached"
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            AnswerError,
        ) as error:
            ended.reason = f"no whole answer: {error or type(error).__name__}"
        spent_us = (self.clock.now() - started_ms) * 1_000
        self.metrics.record("dispatchers_service_us", spent_us)
        await self.results.put(ended)

    async def exchange(self, request, record, ended):
        """Sends the request and fills in the end of the attempt."""
        url = httpcore.URL(
            scheme=b"http",
            host=record.host.encode(),
            port=record.port,
            target=request.path,
        )
        timeouts = {"connect": CONNECT_TIMEOUT_MS / 1000}
        async with self.pool.stream(
            request.method,
            url,
            headers=forward_headers(request),
            content=request.body,
            extensions={"timeout": timeouts},
        ) as response:
            answer = await read_answer(
                response, request, self.max_answer_bytes
            )
        refused = dict(answer.headers).get(REFUSED)
        if refused is not None:
            ended.ran = False
            ended.reason = f"the endpoint refused: {refused.decode('latin-1')}"
            return
        ended.answer = answer


async def dispatch(inbound, dispatcher):
    """Starts an attempt for each Dispatch; each ends at its deadline."""
    async with dispatcher.pool, trio.open_nursery() as nursery:
        async for command in inbound:
            nursery.start_soon(
                dispatcher.attempt, command.request, command.record
            )

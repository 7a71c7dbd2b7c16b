"""HTTP servers: hypercorn set-up and the routes that every process has."""

import json
import socket

import hypercorn.trio
import trio
from hypercorn.config import Config

from wigeonport.registries import Registry

common_routes = Registry("route")

MAX_HEADER_BYTES = 32_768
KEEP_ALIVE_S = 30
BACKLOG = 512
STALLED_TIMEOUT_MS = 10_000


class HttpResponse:
    """A small response of our own.

    Attributes:
        status: HTTP status.
        body: Bytes of the body.
        content_type: Media type.
        headers: Further pairs of name and value, as bytes.
    """

    __slots__ = ("status", "body", "content_type", "headers")

    def __init__(
        self, status, body, content_type="application/json", headers=()
    ):
        self.status = status
        self.body = body
        self.content_type = content_type
        self.headers = headers


def respond_json(status, document, headers=()):
    """Returns a response with a JSON body."""
    body = json.dumps(document).encode() + b"\n"
    return HttpResponse(status, body, headers=headers)


class ProcessInfo:
    """What the common routes report.

    Attributes:
        metrics: Metrics of the process.
        events: EventLog of the process, or None.
        stopping: trio.Event that is set when a stop was asked for.
    """

    __slots__ = ("metrics", "events", "stopping")

    def __init__(self, metrics, events, stopping):
        self.metrics = metrics
        self.events = events
        self.stopping = stopping


@common_routes.register("/metrics")
def show_metrics(info):
    """Returns the metrics as JSON."""
    return respond_json(200, info.metrics.to_document())


@common_routes.register("/healthz")
def show_health(info):
    """Returns 200, or 503 while the process stops."""
    if info.stopping.is_set():
        return respond_json(503, {"state": "stopping"})
    return respond_json(200, {"state": "serving"})


@common_routes.register("/events")
def show_events(info):
    """Returns the latest events as JSON Lines."""
    if info.events is None:
        return respond_json(404, {"error": "this process records no events"})
    body = "".join(line + "\n" for line in info.events.lines()).encode()
    return HttpResponse(200, body, "application/jsonl")


class StatusApp:
    """ASGI app of the common routes.

    Attributes:
        info: ProcessInfo of the process.
    """

    __slots__ = ("info",)

    def __init__(self, info):
        self.info = info

    async def __call__(self, scope, receive, send):
        """Handles one ASGI connection scope."""
        if scope["type"] == "lifespan":
            return await answer_lifespan(receive, send)
        if scope["type"] != "http":
            return None
        route = common_routes.get(scope["path"])
        if route.is_error():
            response = respond_json(404, {"error": route.error})
        else:
            response = route.ok(self.info)
        return await send_response(send, response)


async def send_response(send, response):
    """Sends a small response over ASGI."""
    headers = [
        (b"content-type", response.content_type.encode()),
        (b"content-length", str(len(response.body)).encode()),
        *response.headers,
    ]
    await send(
        {
            "type": "http.response.start",
            "status": response.status,
            "headers": headers,
        }
    )
    await send({"type": "http.response.body", "body": response.body})


async def answer_lifespan(receive, send):
    """Answers the start and stop events of the ASGI server."""
    while True:
        event = await receive()
        await send({"type": f"{event['type']}.complete"})
        if event["type"] == "lifespan.shutdown":
            return


class BodyReader:
    """Reads a body of bounded size piece by piece.

    Attributes:
        receive: Receive function of ASGI.
        limit_bytes: Largest size.
        chunks: The pieces so far.
        size: Their size.
        more_expected: Whether more pieces are expected.
        complete: Whether the body is complete.
    """

    __slots__ = (
        "receive",
        "limit_bytes",
        "chunks",
        "size",
        "more_expected",
        "complete",
    )

    def __init__(self, receive, limit_bytes):
        self.receive = receive
        self.limit_bytes = limit_bytes
        self.chunks = []
        self.size = 0
        self.more_expected = True
        self.complete = False

    async def read_chunk(self):
        """Reads the next piece."""
        event = await self.receive()
        piece = event.get("body", b"")
        self.size += len(piece)
        if event["type"] != "http.request" or self.size > self.limit_bytes:
            self.more_expected, self.chunks = False, []
            return
        self.chunks.append(piece)
        self.more_expected = event.get("more_body", False)
        self.complete = not self.more_expected

    async def read_rest(self):
        """Reads the remaining pieces."""
        while self.more_expected:
            await self.read_chunk()


async def read_body(receive, limit_bytes):
    """Returns the whole body, or None if it is too large or cut short."""
    reader = BodyReader(receive, limit_bytes)
    await reader.read_rest()
    return b"".join(reader.chunks) if reader.complete else None


class ServerConfig(Config):
    """Configuration of hypercorn that also bounds stalled connections.

    The server's sends cannot be cancelled, so a client that stops reading
    would hold its answer, and the stop of the process, for good.

    Attributes:
        stalled_timeout_ms: Longest time in which sent data stays
            unacknowledged.
    """

    __slots__ = ("stalled_timeout_ms",)

    def __init__(self, stalled_timeout_ms):
        super().__init__()
        self.stalled_timeout_ms = stalled_timeout_ms

    def create_sockets(self):
        """Returns the listening sockets; accepted ones inherit the bound."""
        sockets = super().create_sockets()
        for item in sockets.insecure_sockets:
            item.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                self.stalled_timeout_ms,
            )
        return sockets


def make_config(host, port, grace_ms, keep_alive_s=KEEP_ALIVE_S):
    """Returns the hypercorn configuration of one listener."""
    config = ServerConfig(min(STALLED_TIMEOUT_MS, grace_ms))
    config.bind = [f"{host}:{port}"]
    config.backlog = BACKLOG
    config.keep_alive_timeout = keep_alive_s
    config.graceful_timeout = grace_ms / 1000
    config.shutdown_timeout = grace_ms / 1000
    config.h11_max_incomplete_size = MAX_HEADER_BYTES
    config.include_server_header = False
    config.accesslog = None
    config.errorlog = None
    return config


async def serve_http(
    app,
    host,
    port,
    stopping,
    grace_ms,
    keep_alive_s=KEEP_ALIVE_S,
    task_status=trio.TASK_STATUS_IGNORED,
):
    """Serves an ASGI app until ``stopping`` is set, then drains."""
    await hypercorn.trio.serve(
        app,
        make_config(host, port, grace_ms, keep_alive_s),
        shutdown_trigger=stopping.wait,
        task_status=task_status,
    )

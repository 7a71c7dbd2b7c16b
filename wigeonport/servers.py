"""HTTP servers: hypercorn configuration and the routes of every process."""

import contextlib
import json
import socket

import trio
from hypercorn.config import Config

from wigeonport.http_listeners import HttpListener, no_limits
from wigeonport.registries import Registry

common_routes = Registry("route")

MAX_HEADER_BYTES = 32_768
KEEP_ALIVE_S = 30
BACKLOG = 512
STALLED_TIMEOUT_MS = 10_000
# Bytes that arrived and were not read yet count towards the memory of the
# machine. Connections whose requests wait must not keep megabytes of them.
RECEIVE_BUFFER_BYTES = 65_536
# Parts of a body that wait for the application.
MAX_WAITING_PARTS = 2


class HttpResponse:
    """A response with a small body that this process makes itself.

    Attributes:
        status: HTTP status.
        body: Bytes of the body.
        content_type: Media type.
        headers: Additional headers, as pairs of name and value in bytes.
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
    """What the common routes report about the process.

    Attributes:
        metrics: Metrics of the process.
        events: EventLog of the process, or None.
        stopping: trio.Event that is set when the process was told to stop.
    """

    __slots__ = ("metrics", "events", "stopping")

    def __init__(self, metrics, events, stopping):
        self.metrics = metrics
        self.events = events
        self.stopping = stopping


@common_routes.register("/metrics")
def show_metrics(process_info):
    """Returns the metrics as JSON."""
    return respond_json(200, process_info.metrics.to_document())


@common_routes.register("/healthz")
def show_health(process_info):
    """Returns 200, or 503 while the process stops."""
    if process_info.stopping.is_set():
        return respond_json(503, {"state": "stopping"})
    return respond_json(200, {"state": "serving"})


@common_routes.register("/events")
def show_events(process_info):
    """Returns the latest events as JSON Lines."""
    if process_info.events is None:
        return respond_json(404, {"error": "this process records no events"})
    body = "".join(
        line + "\n" for line in process_info.events.lines()
    ).encode()
    return HttpResponse(200, body, "application/jsonl")


class StatusApp:
    """ASGI app of the common routes.

    Attributes:
        process_info: ProcessInfo of the process.
    """

    __slots__ = ("process_info",)

    def __init__(self, process_info):
        self.process_info = process_info

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
            response = route.ok(self.process_info)
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
    """Reads a body of bounded size chunk by chunk.

    Attributes:
        receive: Receive function of ASGI.
        limit_bytes: Maximum size of the body.
        data: The bytes read so far, joined, so that chunks of a few bytes
            take no more memory than large ones; empty if the body is too
            large or was cut short.
        more_expected: Whether more chunks are expected.
        complete: Whether the whole body was read.
    """

    __slots__ = (
        "receive",
        "limit_bytes",
        "data",
        "more_expected",
        "complete",
    )

    def __init__(self, receive, limit_bytes):
        self.receive = receive
        self.limit_bytes = limit_bytes
        self.data = bytearray()
        self.more_expected = True
        self.complete = False

    async def read_chunk(self):
        """Reads the next chunk."""
        event = await self.receive()
        self.data += event.get("body", b"")
        size_bytes = len(self.data)
        if event["type"] != "http.request" or size_bytes > self.limit_bytes:
            self.more_expected, self.data = False, bytearray()
            return
        self.more_expected = event.get("more_body", False)
        self.complete = not self.more_expected

    async def read_rest(self):
        """Reads the remaining chunks."""
        while self.more_expected:
            await self.read_chunk()


async def read_body(receive, limit_bytes):
    """Returns the whole body, or None if it is too large or cut short."""
    reader = BodyReader(receive, limit_bytes)
    await reader.read_rest()
    return bytes(reader.data) if reader.complete else None


class ServerConfig(Config):
    """Configuration of hypercorn that also closes stalled connections.

    The sends of hypercorn cannot be cancelled, so without a timeout of the
    socket a client that stops reading would block its answer, and the
    shutdown of the process, forever.

    Attributes:
        stalled_timeout_ms: Time after which a connection with
            unacknowledged data is closed.
    """

    __slots__ = ("stalled_timeout_ms",)

    def __init__(self, stalled_timeout_ms):
        super().__init__()
        self.stalled_timeout_ms = stalled_timeout_ms

    def create_sockets(self):
        """Returns the listening sockets; accepted ones inherit the timeout."""
        sockets = super().create_sockets()
        for listener in sockets.insecure_sockets:
            listener.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                self.stalled_timeout_ms,
            )
            # A platform without this option keeps windows of its own.
            with contextlib.suppress(OSError):
                listener.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
                )
        return sockets


def make_config(host, port, grace_ms, keep_alive_s=KEEP_ALIVE_S):
    """Returns the hypercorn configuration of one listener.

    Args:
        host: IP address to listen on.
        port: TCP port.
        grace_ms: Time that requests in progress have to finish at a stop.
        keep_alive_s: Time after which an idle connection is closed.
    """
    config = ServerConfig(min(STALLED_TIMEOUT_MS, grace_ms))
    config.bind = [f"{host}:{port}"]
    config.backlog = BACKLOG
    config.keep_alive_timeout = keep_alive_s
    config.graceful_timeout = grace_ms / 1000
    config.shutdown_timeout = grace_ms / 1000
    config.h11_max_incomplete_size = MAX_HEADER_BYTES
    config.max_app_queue_size = MAX_WAITING_PARTS
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
    limits=None,
    metrics=None,
):
    """Serves an ASGI app by HTTP/1.1 until ``stopping`` is set.

    Requests in progress then get ``grace_ms`` to finish.

    Args:
        app: ASGI app.
        host: IP address to listen on.
        port: TCP port.
        stopping: trio.Event.
        grace_ms: Time that requests in progress have to finish at a stop.
        keep_alive_s: Time after which an idle connection is closed.
        task_status: Gets the URLs that accept connections.
        limits: ListenerLimits; without them no client is ended for others.
        metrics: Metrics of the process.
    """
    listener = HttpListener(
        app,
        make_config(host, port, grace_ms, keep_alive_s),
        limits or no_limits(),
        metrics,
    )
    await listener.run(stopping, task_status)

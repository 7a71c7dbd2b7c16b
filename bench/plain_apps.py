"""Baseline ASGI apps that entry_throughput.py compares an entry with.

They make no routing decisions: ``direct`` answers by itself, ``relay`` passes
each request on to one fixed endpoint.

Usage: ``plain_apps.py direct|relay PORT [TARGET_PORT]``.
"""

import sys

import httpcore
import trio

from wigeonport.registries import Registry
from wigeonport.servers import answer_lifespan, serve_http

apps = Registry("plain app")

BODY = b'{"endpoint": "plain", "tag": ""}'
MAX_CONNECTIONS = 64
SHUTDOWN_GRACE_MS = 1_000


async def send_response(send, status, headers, body):
    """Sends a response over ASGI, with its whole body in one event."""
    start = {"type": "http.response.start", "status": status}
    await send({**start, "headers": headers})
    await send({"type": "http.response.body", "body": body})


async def read_body(receive):
    """Returns the whole body of a request."""
    body, more_body = b"", True
    while more_body:
        event = await receive()
        body += event.get("body", b"")
        more_body = event.get("more_body", False)
    return body


@apps.register("direct")
def make_direct(target_port):
    """Returns an app that answers each request itself with a fixed body."""

    async def app(scope, receive, send):
        if scope["type"] == "lifespan":
            return await answer_lifespan(receive, send)
        await read_body(receive)
        length = str(len(BODY)).encode()
        return await send_response(
            send, 200, [(b"content-length", length)], BODY
        )

    return app


@apps.register("relay")
def make_relay(target_port):
    """Returns an app that passes requests on to one fixed endpoint."""
    pool = httpcore.AsyncConnectionPool(
        max_connections=MAX_CONNECTIONS,
        max_keepalive_connections=MAX_CONNECTIONS,
    )

    async def app(scope, receive, send):
        if scope["type"] == "lifespan":
            return await answer_lifespan(receive, send)
        body = await read_body(receive)
        url = f"http://127.0.0.1:{target_port}" + scope["path"]
        response = await pool.request(
            scope["method"], url, headers=scope["headers"], content=body
        )
        return await send_response(
            send, response.status, response.headers, response.content
        )

    return app


def main():
    """Serves the app that the arguments name."""
    name, port, *target = sys.argv[1:]
    app = apps.get(name).ok(int(target[0]) if target else None)
    # An entry uses the same server and settings, so only the apps differ.
    trio.run(
        serve_http,
        app,
        "127.0.0.1",
        int(port),
        trio.Event(),
        SHUTDOWN_GRACE_MS,
    )


if __name__ == "__main__":
    main()

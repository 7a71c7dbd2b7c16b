"""Stand-in for a service's endpoint.

Announces itself to the entries, runs requests, and appends one JSON line to
its run log before it answers, so that a check can compare runs with the
outcomes that callers were told.

Behaviour is asked for by headers of the request: ``x-delay-ms``,
``x-fail`` (``close``, ``short``, ``foreign``) and ``x-size``.
"""

import argparse
import contextlib
import json
import os
import signal
import time

import h11
import trio

ANNOUNCE_INTERVAL_S = 1.0
READ_BYTES = 65_536


class Endpoint:
    """State of the stand-in."""

    __slots__ = ("options", "state", "sequence", "incarnation", "running")

    def __init__(self, options):
        self.options = options
        self.state = "ready"
        self.sequence = 0
        self.incarnation = time.time_ns() // 1_000_000
        self.running = 0

    def announcement(self):
        """Returns the next announcement as a JSON line."""
        self.sequence += 1
        document = {
            "endpoint_id": self.options.id,
            "service": self.options.service,
            "availability_zone": self.options.zone,
            "host": self.options.host,
            "port": self.options.port,
            "slots": self.options.slots,
            "connections": 64,
            "state": self.state,
            "incarnation": self.incarnation,
            "sequence": self.sequence,
        }
        return json.dumps(document).encode() + b"\n"

    def log_event(self, event):
        """Appends an event that is no run to the log."""
        self.append_record(
            {
                "endpoint": self.options.id,
                "event": event,
                "wall_ms": time.time_ns() // 1_000_000,
            }
        )

    def log_run(self, request_id, headers, body):
        """Appends a run to the log."""
        record = {
            "endpoint": self.options.id,
            "event": "run",
            "request_id": request_id,
            "tag": headers.get("x-tag", ""),
            "key": headers.get("idempotency-key", ""),
            "wall_ms": time.time_ns() // 1_000_000,
            "bytes": len(body),
            "state": self.state,
        }
        self.append_record(record)

    def append_record(self, record):
        """Appends one JSON line to the log."""
        with open(self.options.log, "a", encoding="utf-8") as stream:
            stream.write(json.dumps(record) + "\n")


async def announce(endpoint, host, port):
    """Streams announcements to one entry over one HTTP request."""
    while True:
        with trio.move_on_after(60):
            with contextlib.suppress(OSError, trio.BrokenResourceError):
                await stream_announcements(endpoint, host, port)
        await trio.sleep(0.3)


async def stream_announcements(endpoint, host, port):
    """Sends chunks until the connection breaks."""
    stream = await trio.open_tcp_stream(host, port)
    async with stream:
        connection = h11.Connection(h11.CLIENT)
        start = h11.Request(
            method="POST",
            target="/v1/announcements",
            headers=[("host", host), ("transfer-encoding", "chunked")],
        )
        await stream.send_all(connection.send(start))
        while True:
            data = h11.Data(data=endpoint.announcement())
            await stream.send_all(connection.send(data))
            with trio.move_on_after(ANNOUNCE_INTERVAL_S):
                await stream.receive_some(READ_BYTES)
                return  # An early answer or the end of the connection.


async def serve(endpoint, stream):
    """Serves one connection."""
    connection = h11.Connection(h11.SERVER)
    async with stream:
        try:
            while await serve_one(endpoint, stream, connection):
                connection.start_next_cycle()
        except (trio.BrokenResourceError, h11.ProtocolError):
            return


async def next_event(stream, connection):
    """Returns the next HTTP event."""
    while True:
        event = connection.next_event()
        if event is not h11.NEED_DATA:
            return event
        connection.receive_data(await stream.receive_some(READ_BYTES))


async def serve_one(endpoint, stream, connection):
    """Serves one request; returns whether the connection goes on."""
    request = await next_event(stream, connection)
    if not isinstance(request, h11.Request):
        return False
    body = b""
    while True:
        event = await next_event(stream, connection)
        if isinstance(event, h11.EndOfMessage):
            break
        if not isinstance(event, h11.Data):
            return False
        body += bytes(event.data)
    headers = {k.decode(): v.decode("latin-1") for k, v in request.headers}
    if endpoint.state == "leaving" or endpoint.running >= (
        endpoint.options.slots
    ):
        reason = "leaving" if endpoint.state == "leaving" else "no-slot"
        endpoint.log_event(f"refused-{reason}")
        await reply(
            stream,
            connection,
            headers,
            503,
            b"",
            [("wigeonport-refused", reason)],
        )
        return connection.our_state is h11.DONE
    endpoint.running += 1
    try:
        return await run(endpoint, stream, connection, headers, body)
    finally:
        endpoint.running -= 1


async def run(endpoint, stream, connection, headers, body):
    """Runs one request and answers it."""
    request_id = headers.get("wigeonport-request-id", "")
    endpoint.log_run(request_id, headers, body)
    await trio.sleep(int(headers.get("x-delay-ms", "0")) / 1000)
    failure = headers.get("x-fail", "")
    if failure == "close":
        return False
    size = int(headers.get("x-size", "0"))
    content = json.dumps(
        {"endpoint": endpoint.options.id, "tag": headers.get("x-tag", "")}
    ).encode()
    content += b" " * max(0, size - len(content))
    extra = [("content-type", "application/json")]
    if failure == "foreign":
        headers["wigeonport-request-id"] = f"not-{request_id}"
        content = content.replace(b'"tag": "', b'"tag": "not-')
    if failure == "short":
        await reply_short(stream, connection, headers, content)
        return False
    await reply(stream, connection, headers, 200, content, extra)
    return connection.our_state is h11.DONE


def response_head(headers, status, content, extra):
    """Returns the head of a response with the request's id."""
    return h11.Response(
        status_code=status,
        headers=[
            ("content-length", str(len(content))),
            (
                "wigeonport-request-id",
                headers.get("wigeonport-request-id", ""),
            ),
            *extra,
        ],
    )


async def reply(stream, connection, headers, status, content, extra):
    """Sends a whole response."""
    head = response_head(headers, status, content, extra)
    data = connection.send(head)
    data += connection.send(h11.Data(data=content))
    data += connection.send(h11.EndOfMessage())
    await stream.send_all(data)


async def reply_short(stream, connection, headers, content):
    """Sends the head and half of the body."""
    data = connection.send(response_head(headers, 200, content, []))
    half = content[: len(content) // 2]
    await stream.send_all(data + connection.send(h11.Data(data=half)))


async def leave_on_signal(endpoint, scope):
    """Announces that it leaves on SIGTERM, then ends."""
    with trio.open_signal_receiver(signal.SIGTERM) as signals:
        async for _ in signals:
            endpoint.state = "leaving"
            endpoint.log_event("leaving")
            with trio.move_on_after(10):
                await trio.sleep(endpoint.options.linger_s)
                while endpoint.running:
                    await trio.sleep(0.05)
            scope.cancel()


async def main_task(options):
    """Runs the stand-in."""
    endpoint = Endpoint(options)
    endpoint.log_event("ready")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(leave_on_signal, endpoint, nursery.cancel_scope)
        for address in options.entry:
            host, port = address.rsplit(":", 1)
            nursery.start_soon(announce, endpoint, host, int(port))

        async def handle(stream):
            await serve(endpoint, stream)

        await trio.serve_tcp(handle, options.port, host=options.host)


def main():
    """Parses the options and runs."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--id", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--zone", required=True)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--entry", action="append", required=True)
    parser.add_argument("--log", default=os.devnull)
    parser.add_argument("--linger-s", type=float, default=5.0)
    trio.run(main_task, parser.parse_args())


if __name__ == "__main__":
    main()

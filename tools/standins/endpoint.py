"""Stand-in for an endpoint of a service.

Announces itself to the entries and serves requests. Before it answers a
request it appends a JSON line to its run log, so that ``outcomes.py`` can
compare the runs with the outcomes that callers received.

Headers of a request control its run:

- ``x-delay-ms``: run time.
- ``x-size``: minimum length of the response body in bytes.
- ``x-fail``: ``close`` closes the connection without a response, ``short``
  sends half of the body, ``foreign`` answers with another request id and tag.
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
    """State of the stand-in.

    Attributes:
        options: Options of the command line.
        state: ``ready`` or ``leaving``.
        sequence: Number of the last announcement.
        incarnation: Wall-clock time of the start in ms.
        running: Number of requests that are running.
    """

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
        """Appends an event other than a run to the log."""
        self.append_record(
            {
                "endpoint": self.options.id,
                "event": event,
                "wall_ms": time.time_ns() // 1_000_000,
            }
        )

    def log_run(self, request_id, headers, body):
        """Appends the run of a request to the log."""
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
    """Announces the endpoint to one entry; reconnects at least every 60 s."""
    while True:
        with trio.move_on_after(60):
            with contextlib.suppress(OSError, trio.BrokenResourceError):
                await stream_announcements(endpoint, host, port)
        await trio.sleep(0.3)


async def stream_announcements(endpoint, host, port):
    """Sends announcements as chunks of one HTTP request until it ends."""
    stream = await trio.open_tcp_stream(host, port)
    async with stream:
        connection = h11.Connection(h11.CLIENT)
        request = h11.Request(
            method="POST",
            target="/v1/announcements",
            headers=[("host", host), ("transfer-encoding", "chunked")],
        )
        await stream.send_all(connection.send(request))
        while True:
            data = h11.Data(data=endpoint.announcement())
            await stream.send_all(connection.send(data))
            with trio.move_on_after(ANNOUNCE_INTERVAL_S):
                await stream.receive_some(READ_BYTES)
                return  # The entry answered early or closed the connection.


async def serve(endpoint, stream):
    """Serves the requests of one connection."""
    connection = h11.Connection(h11.SERVER)
    async with stream:
        try:
            while await serve_request(endpoint, stream, connection):
                connection.start_next_cycle()
        except (trio.BrokenResourceError, h11.ProtocolError):
            return


async def next_event(stream, connection):
    """Returns the next h11 event; reads from the stream if necessary."""
    while True:
        event = connection.next_event()
        if event is not h11.NEED_DATA:
            return event
        connection.receive_data(await stream.receive_some(READ_BYTES))


async def serve_request(endpoint, stream, connection):
    """Serves one request; returns whether the connection stays open.

    Refuses the request if the endpoint leaves or all slots are in use.
    """
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
        return await run_request(endpoint, stream, connection, headers, body)
    finally:
        endpoint.running -= 1


async def run_request(endpoint, stream, connection, headers, body):
    """Runs one request and answers it as its headers demand.

    Returns:
        Whether the connection stays open.
    """
    request_id = headers.get("wigeonport-request-id", "")
    endpoint.log_run(request_id, headers, body)
    await trio.sleep(int(headers.get("x-delay-ms", "0")) / 1000)
    failure = headers.get("x-fail", "")
    if failure == "close":
        return False
    min_size_bytes = int(headers.get("x-size", "0"))
    content = json.dumps(
        {"endpoint": endpoint.options.id, "tag": headers.get("x-tag", "")}
    ).encode()
    content += b" " * max(0, min_size_bytes - len(content))
    extra_headers = [("content-type", "application/json")]
    if failure == "foreign":
        headers["wigeonport-request-id"] = f"not-{request_id}"
        content = content.replace(b'"tag": "', b'"tag": "not-')
    if failure == "short":
        await reply_short(stream, connection, headers, content)
        return False
    await reply(stream, connection, headers, 200, content, extra_headers)
    return connection.our_state is h11.DONE


def response_head(headers, status, content, extra_headers):
    """Returns the head of a response, with the id of the request."""
    return h11.Response(
        status_code=status,
        headers=[
            ("content-length", str(len(content))),
            (
                "wigeonport-request-id",
                headers.get("wigeonport-request-id", ""),
            ),
            *extra_headers,
        ],
    )


async def reply(stream, connection, headers, status, content, extra_headers):
    """Sends a whole response."""
    head = response_head(headers, status, content, extra_headers)
    data = connection.send(head)
    data += connection.send(h11.Data(data=content))
    data += connection.send(h11.EndOfMessage())
    await stream.send_all(data)


async def reply_short(stream, connection, headers, content):
    """Sends the head and only half of the announced body."""
    data = connection.send(response_head(headers, 200, content, []))
    half = content[: len(content) // 2]
    await stream.send_all(data + connection.send(h11.Data(data=half)))


async def leave_on_signal(endpoint, scope):
    """Leaves on SIGTERM: announces it, then ends when no request runs.

    Stays at least ``linger_s``, since entries may still send requests, and
    ends after 10 s at the latest.
    """
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
    """Announces the endpoint and serves requests until SIGTERM."""
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
    """Parses the options and runs the stand-in."""
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

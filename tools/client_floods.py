"""Clients outside the limits of the pages, for tests and runs by hand.

Usage: client_floods.py FORM HOST PORT CLIENTS

Each form is one way in which a client keeps a process busy with a request
that it does not complete, or with answers that it does not read. Started as a
program, it plays a crowd that connects again until it is ended.
"""

import secrets
import sys

import h2.config
import h2.connection
import h2.exceptions
import trio
from platform_soak import HOST, PREFIX

from wigeonport.registries import Registry

forms = Registry("form of a flood")

# Just below the limit of a body in the platform's configurations.
JOB_BYTES = 262_000
OPERATOR_BYTES = 2_000_000
# Just below the limits of a heartbeat and of a configuration.
HEARTBEAT_BYTES = 4_190_000
CONFIGURATION_BYTES = 8_380_000
# The value that takes the most memory for its bytes once it is decoded.
COSTLY_VALUE = b'{"":1}'
# Just below the largest frame of a link.
FRAME_BYTES = 1_000_000
PIECE_BYTES = 4_000
# What a client sends at most of something that has no end.
ENDLESS_BYTES = 2_000_000
STREAMS_PER_CONNECTION = 90
READ_BYTES = 65_536
SMALL_WINDOW_BYTES = 4_096
# Time for which a crowd that is held up is waited for.
GATHER_TIMEOUT_S = 10.0


class Crowd:
    """A number of clients that play the same form.

    Attributes:
        form: Async function ``(stream, ready)`` that plays one client.
        address: Host and port to which they connect.
        clients: Number of clients.
        waiting: Clients that have neither sent all that they mean to send
            nor lost their connection.
        gathered: trio.Event that is set when no client is waiting.
        closed: Connections that were refused or closed so far.
    """

    __slots__ = (
        "form",
        "address",
        "clients",
        "waiting",
        "gathered",
        "closed",
    )

    def __init__(self, form, address, clients):
        self.form = form
        self.address = address
        self.clients = clients
        self.waiting = clients
        self.gathered = trio.Event()
        self.closed = 0

    def settle(self):
        """Counts a client that is no longer waiting."""
        self.waiting -= 1
        if self.waiting == 0:
            self.gathered.set()

    async def run_client(self, again):
        """Plays one client; connects again if ``again`` is set."""
        settled = False

        def ready():
            nonlocal settled
            if not settled:
                settled = True
                self.settle()

        while True:
            try:
                stream = await trio.open_tcp_stream(*self.address)
                async with stream:
                    await self.form(stream, ready)
            except (trio.BrokenResourceError, OSError):
                self.closed += 1
            ready()
            if not again:
                return
            await trio.sleep(0.1)

    async def run(self, again=False):
        """Plays all clients until cancelled or until they have ended."""
        async with trio.open_nursery() as nursery:
            for _ in range(self.clients):
                nursery.start_soon(self.run_client, again)

    async def gather(self):
        """Waits until no client is waiting, but not for ever."""
        with trio.move_on_after(GATHER_TIMEOUT_S):
            await self.gathered.wait()


async def hold(stream, ready):
    """Keeps the connection open until the other side closes it."""
    ready()
    while await stream.receive_some(READ_BYTES):
        pass


def make_head(method, path, *lines):
    """Returns the head of a request."""
    text = "\r\n".join([f"{method} {path} HTTP/1.1", f"Host: {HOST}", *lines])
    return f"{text}\r\n\r\n".encode()


def job_path():
    """Returns the path of a new job."""
    return PREFIX + secrets.token_hex(8)


async def send_short(stream, ready, method, path, size_bytes):
    """Sends a body that stops one byte before its end."""
    length = f"Content-Length: {size_bytes}"
    await stream.send_all(make_head(method, path, length))
    await stream.send_all(b" " * (size_bytes - 1))
    await hold(stream, ready)


async def send_many_values(stream, ready, method, path, size_bytes):
    """Sends a complete body of as many values as fit."""
    values = b",".join(
        [COSTLY_VALUE] * (size_bytes // (len(COSTLY_VALUE) + 1))
    )
    body = b'{"values":[%s]}' % values
    length = f"Content-Length: {len(body)}"
    await stream.send_all(make_head(method, path, length) + body)
    await stream.receive_some(READ_BYTES)
    await hold(stream, ready)


async def send_chunked(stream, ready, method, path, size_bytes, chunk_bytes):
    """Sends a body in chunks, without the last chunk."""
    chunked = "Transfer-Encoding: chunked"
    await stream.send_all(make_head(method, path, chunked))
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, b" " * chunk_bytes)
    per_send = max(1, PIECE_BYTES // chunk_bytes)
    for _ in range(size_bytes // (chunk_bytes * per_send)):
        await stream.send_all(chunk * per_send)
    await hold(stream, ready)


async def send_endless(stream, ready, head, piece):
    """Sends a head and then the same piece without an end."""
    await stream.send_all(head)
    sent_bytes = 0
    while True:
        await stream.send_all(piece)
        sent_bytes += len(piece)
        if sent_bytes >= ENDLESS_BYTES:
            ready()


async def send_endless_trailers(stream, ready, path):
    """Sends a small chunked body, and trailers without an end behind it."""
    chunked = "Transfer-Encoding: chunked"
    head = make_head("POST", path, chunked) + b"1\r\n \r\n0\r\n"
    line = b"x-%s: %s\r\n" % (secrets.token_hex(4).encode(), b"y" * 200)
    await send_endless(stream, ready, head, line * 20)


async def send_unread(stream, ready, request):
    """Sends requests without an end and reads no answer."""
    stream.socket.setsockopt(
        trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, SMALL_WINDOW_BYTES
    )
    await send_endless(stream, ready, b"", request)


@forms.register("short-job")
async def send_short_job(stream, ready):
    """A job whose body stops one byte short."""
    await send_short(stream, ready, "POST", job_path(), JOB_BYTES)


@forms.register("chunked-job")
async def send_chunked_job(stream, ready):
    """A job in chunks, without the last one."""
    await send_chunked(
        stream, ready, "POST", job_path(), JOB_BYTES, PIECE_BYTES
    )


@forms.register("tiny-chunks")
async def send_tiny_chunks(stream, ready):
    """A job in chunks of one byte, without the last one."""
    await send_chunked(stream, ready, "POST", job_path(), JOB_BYTES // 10, 1)


@forms.register("read-with-body")
async def send_read_with_body(stream, ready):
    """A request without a use for a body, with one that stops short."""
    await send_short(stream, ready, "GET", job_path(), OPERATOR_BYTES)


@forms.register("short-configuration")
async def send_short_configuration(stream, ready):
    """A configuration whose body stops one byte short."""
    await send_short(stream, ready, "PUT", "/v1/config", OPERATOR_BYTES)


@forms.register("short-heartbeat")
async def send_short_heartbeat(stream, ready):
    """A heartbeat whose body stops one byte short."""
    path = "/v1/instances/" + secrets.token_hex(4)
    await send_short(stream, ready, "PUT", path, OPERATOR_BYTES)


@forms.register("many-values-heartbeat")
async def send_heartbeat_of_values(stream, ready):
    """A complete heartbeat of very many values."""
    path = "/v1/instances/" + secrets.token_hex(4)
    await send_many_values(stream, ready, "PUT", path, HEARTBEAT_BYTES)


@forms.register("many-values-configuration")
async def send_configuration_of_values(stream, ready):
    """A complete configuration of very many values."""
    path = "/v1/config"
    await send_many_values(stream, ready, "PUT", path, CONFIGURATION_BYTES)


@forms.register("many-values-wave")
async def send_wave_of_values(stream, ready):
    """A complete upkeep wave of very many values."""
    path = "/v1/wave-start"
    await send_many_values(stream, ready, "POST", path, CONFIGURATION_BYTES)


@forms.register("wide-text-configuration")
async def send_configuration_of_wide_text(stream, ready):
    """A complete configuration whose characters take four bytes each."""
    body = b'{"text":"\xf0\x9f\x98\x80' + b"x" * CONFIGURATION_BYTES + b'"}'
    length = f"Content-Length: {len(body)}"
    head = make_head("PUT", "/v1/config", length)
    await stream.send_all(head + body)
    await stream.receive_some(READ_BYTES)
    await hold(stream, ready)


@forms.register("idle")
async def send_nothing(stream, ready):
    """A connection without a request."""
    await hold(stream, ready)


@forms.register("streams")
async def send_streams(stream, ready):
    """A connection of HTTP/2 whose streams have bodies without an end."""
    settings = h2.config.H2Configuration(client_side=True)
    connection = h2.connection.H2Connection(settings)
    connection.initiate_connection()
    head = [
        (":method", "POST"),
        (":scheme", "http"),
        (":authority", HOST),
    ]
    left = {}
    for stream_id in range(1, 2 * STREAMS_PER_CONNECTION, 2):
        path = (":path", job_path())
        connection.send_headers(stream_id, [*head, path])
        left[stream_id] = JOB_BYTES
    while left:
        for stream_id in list(left):
            room = min(
                connection.local_flow_control_window(stream_id),
                connection.max_outbound_frame_size,
                left[stream_id],
            )
            connection.send_data(stream_id, b" " * room)
            left[stream_id] -= room
            if not left[stream_id]:
                del left[stream_id]
        await stream.send_all(connection.data_to_send())
        if left:
            data = await stream.receive_some(READ_BYTES)
            if not data or not data.startswith(b"\0") and len(data) < 9:
                return
            try:
                connection.receive_data(data)
            except h2.exceptions.ProtocolError:
                return
    await hold(stream, ready)


@forms.register("trailers")
async def send_trailers(stream, ready):
    """Trailers without an end behind a chunked body."""
    await send_endless_trailers(stream, ready, job_path())


@forms.register("trailers-refused")
async def send_refused_trailers(stream, ready):
    """Trailers without an end behind a request that is refused at once."""
    await send_endless_trailers(stream, ready, "/")


@forms.register("header-block")
async def send_header_block(stream, ready):
    """A header block without an end."""
    head = make_head("POST", job_path())[:-2]
    line = b"x-%s: %s\r\n" % (secrets.token_hex(4).encode(), b"y" * 200)
    await send_endless(stream, ready, head, line * 20)


@forms.register("chunk-extension")
async def send_chunk_extension(stream, ready):
    """A chunk whose extension has no end."""
    head = make_head("POST", job_path(), "Transfer-Encoding: chunked")
    await send_endless(stream, ready, head + b"1;x=", b"y" * PIECE_BYTES)


@forms.register("requests-ahead")
async def send_requests_ahead(stream, ready):
    """Requests sent ahead whose answers are not read."""
    request = make_head("GET", PREFIX, "x-padding: " + "y" * 3_000)
    await send_unread(stream, ready, request)


@forms.register("configurations-unread")
async def read_no_configuration(stream, ready):
    """Reads of the configuration whose answers are not read."""
    await send_unread(stream, ready, make_head("GET", "/v1/config"))


@forms.register("link-frames")
async def send_link_frame(stream, ready):
    """A frame of a link, before the handshake, that stops short."""
    await stream.send_all(FRAME_BYTES.to_bytes(4, "big"))
    await stream.send_all(b" " * (FRAME_BYTES - 1))
    await hold(stream, ready)


def main(arguments):
    """Plays a crowd until the process is ended."""
    form, host, port, clients = arguments
    address = (host, int(port))
    crowd = Crowd(forms.get(form).ok, address, int(clients))
    trio.run(crowd.run, True)


if __name__ == "__main__":
    main(sys.argv[1:])

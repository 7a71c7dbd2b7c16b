"""Clients outside the limits of the pages, for tests and runs by hand.

Each form is one way in which a client keeps a process busy with a request
that it does not complete, or with answers that it does not read.
"""

import pathlib
import secrets
import socket

import h2.config
import h2.connection
import h2.events
import trio
from platform_emulator import CALL_ERRORS, exchange
from platform_fleet import (
    CONTROL_PORT,
    FRONT_PORT,
    LINKS_PORT,
    PlatformFleet,
)
from platform_soak import HOST, PREFIX, make_configuration

from wigeonport.registries import Registry

forms = Registry("form of a flood")

# Just below the limit of a body in the platform's configurations.
JOB_BYTES = 262_000
OPERATOR_BYTES = 2_000_000
# Just below the largest frame of a link.
FRAME_BYTES = 1_000_000
PIECE_BYTES = 4_000
# What a client sends at most of something that has no end.
ENDLESS_BYTES = 2_000_000
CONFIGURATION_PADDING = 1_000_000
STREAMS_PER_CONNECTION = 90
READ_BYTES = 65_536
SMALL_WINDOW_BYTES = 4_096
CALL_TIMEOUT_S = 5.0
# Time for which a crowd that is held up is waited for.
GATHER_TIMEOUT_S = 10.0
CALL_TRIES = 12


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


class FloodFleet(PlatformFleet):
    """One control and one front on machines with given limits.

    Attributes:
        memory_mb: Memory of each machine.
        max_fds: Descriptors of each process.
    """

    __slots__ = ("memory_mb", "max_fds")

    def __init__(self, folder, net, memory_mb, max_fds):
        super().__init__(folder, net, cores=1, fronts=1)
        self.memory_mb = memory_mb
        self.max_fds = max_fds

    def settings(self, process, bootstrap):
        """Returns the content of the settings file of a process."""
        limits = (
            f"[limits]\nmemory-mb = {self.memory_mb}\n"
            f"max-fds = {self.max_fds}\n"
        )
        return super().settings(process, bootstrap) + limits

    def target(self, port):
        """Returns the process and the address that a port belongs to."""
        process = self.fronts[0] if port == FRONT_PORT else self.cores[0]
        return process, (process.host, port)


def find_net():
    """Returns the second byte of loopback addresses that are free.

    Raises:
        OSError: If there are none.
    """
    for net in range(220, 250):
        probes = [
            (f"127.{net}.1.1", CONTROL_PORT),
            (f"127.{net}.1.1", LINKS_PORT),
            (f"127.{net}.2.1", FRONT_PORT),
        ]
        try:
            for probe in probes:
                socket.create_server(probe).close()
        except OSError:
            continue
        return net
    raise OSError("no free addresses")


def read_memory_mb(process, name):
    """Returns ``VmRSS`` or ``VmHWM`` of a live process in MB."""
    status = pathlib.Path(f"/proc/{process.process.pid}/status").read_text()
    (line,) = [x for x in status.splitlines() if x.startswith(name + ":")]
    return int(line.split()[1]) / 1024


def count_descriptors(process):
    """Returns the number of open descriptors of a process."""
    folder = pathlib.Path(f"/proc/{process.process.pid}/fd")
    return len(list(folder.iterdir())) if folder.exists() else 0


async def call(method, url, document=None, headers=()):
    """Calls until the answer is 200; returns whether there was one."""
    for _ in range(CALL_TRIES):
        try:
            with trio.fail_after(CALL_TIMEOUT_S):
                status, _ = await exchange(
                    method, url, document, headers, CALL_TIMEOUT_S
                )
            if status == 200:
                return True
        except CALL_ERRORS:
            pass
        await trio.sleep(0.5)
    return False


async def submit_job(fleet):
    """Returns whether the front accepts a job."""
    steps = [{"count": 1, "cpu": 100, "mem-mb": 10, "estimated-ms": 100}]
    url = f"http://{fleet.front_addresses[0]}{job_path()}"
    document = {"spec": "text", "steps": steps}
    return await call("POST", url, document, (("Host", HOST),))


async def send_heartbeat(fleet):
    """Returns whether the control accepts a heartbeat."""
    url = f"http://{fleet.control_addresses[0]}/v1/instances/w1"
    document = {
        "service": "desk",
        "address": "127.0.0.1:9",
        "zone": "ikeja",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "capacity": {"cpu": 16_000, "mem-mb": 32_768, "gpu": 0},
        "labels": ["a", "r1"],
        "born": 1,
        "clock-ms": 1,
        "seq": 1,
        "running": [],
        "ended": [],
    }
    return await call("PUT", url, document)


async def put_configuration(fleet, version):
    """Returns whether the control accepts a configuration."""
    url = f"http://{fleet.control_addresses[0]}/v1/config"
    padding = {"padding": "x" * CONFIGURATION_PADDING}
    return await call("PUT", url, make_configuration(version) | padding)


PORTS = {"front": FRONT_PORT, "control": CONTROL_PORT, "links": LINKS_PORT}

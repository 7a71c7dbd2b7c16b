"""Processor time of a front for ordinary requests.

Usage: front_costs.py [--requests N] [--clients N] [--net N]

Starts one control and one front on loopback addresses and sends counts and
jobs over connections that stay open. Prints the processor time of the front
for each request, which other load changes less than the rate. To compare two
versions, run the script in turn in a clone of each.
"""

import argparse
import json
import os
import pathlib
import secrets
import sys
import tempfile
import time

import trio

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tools")]

from platform_emulator import CALL_ERRORS, exchange  # noqa: E402
from platform_fleet import FRONT_PORT, PlatformFleet  # noqa: E402
from platform_soak import HOST, PREFIX, make_configuration  # noqa: E402

LIMITS = "[limits]\nmemory-mb = 200\nmax-fds = 4100\n"
READ_BYTES = 65_536
START_TRIES = 60
# A job in this many requests; the others ask for the count of a queue.
JOB_EVERY = 4


class LimitedFleet(PlatformFleet):
    """A fleet whose settings name the limits of the machines."""

    __slots__ = ()

    def settings(self, process, bootstrap):
        """Returns the content of the settings file of a process."""
        return super().settings(process, bootstrap) + LIMITS


def read_processor_s(pid):
    """Returns the processor time of a process in s."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
    ticks = sum(int(value) for value in fields.split()[11:13])
    return ticks / os.sysconf("SC_CLK_TCK")


def make_request(number):
    """Returns the bytes of a count or of a job."""
    if number % JOB_EVERY:
        return f"GET {PREFIX} HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()
    steps = [{"count": 1, "cpu": 100, "mem-mb": 10, "estimated-ms": 100}]
    body = json.dumps({"spec": "x" * 1_000, "steps": steps}).encode()
    head = (
        f"POST {PREFIX}{secrets.token_hex(8)} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def send_requests(address, requests, latencies_ms):
    """Sends requests one after the other over one connection."""
    stream = await trio.open_tcp_stream(*address)
    async with stream:
        for number in range(requests):
            start = time.monotonic()
            await stream.send_all(make_request(number))
            data = b""
            while not data.endswith(b"}\n"):
                data += await stream.receive_some(READ_BYTES)
            assert data.startswith(b"HTTP/1.1 200"), data
            latencies_ms.append((time.monotonic() - start) * 1_000)


async def measure(requests, clients, net):
    """Returns processor time of the front in ms and p50, p99 in ms."""
    fleet = LimitedFleet(tempfile.mkdtemp(), net, cores=1, fronts=1)
    url = f"http://{fleet.control_addresses[0]}/v1/config"
    latencies_ms = []
    try:
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery)
            for _ in range(START_TRIES):
                try:
                    if (await exchange("PUT", url, make_configuration(1)))[
                        0
                    ] == 200:
                        break
                except CALL_ERRORS:
                    pass
                await trio.sleep(0.5)
            await trio.sleep(2)
            pid = fleet.fronts[0].process.pid
            before_s = read_processor_s(pid)
            address = (fleet.fronts[0].host, FRONT_PORT)
            async with trio.open_nursery() as senders:
                for _ in range(clients):
                    senders.start_soon(
                        send_requests,
                        address,
                        requests // clients,
                        latencies_ms,
                    )
            used_s = read_processor_s(pid) - before_s
            nursery.cancel_scope.cancel()
    finally:
        with trio.CancelScope(shield=True):
            await fleet.stop()
    latencies_ms.sort()
    count = len(latencies_ms)
    return (
        used_s * 1_000 / count,
        latencies_ms[count // 2],
        latencies_ms[count * 99 // 100],
    )


def main(arguments):
    """Prints one measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=6_000)
    parser.add_argument("--clients", type=int, default=8)
    parser.add_argument("--net", type=int, default=250)
    options = parser.parse_args(arguments)
    figures = trio.run(measure, options.requests, options.clients, options.net)
    print(
        "{:.4f} ms processor time, p50 {:.2f}, p99 {:.2f} ms".format(*figures)
    )


if __name__ == "__main__":
    main(sys.argv[1:])

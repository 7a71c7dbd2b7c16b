"""A control and a front with given limits, and ordinary calls to them."""

import os
import pathlib
import random
import socket

import trio
from client_floods import job_path
from platform_emulator import CALL_ERRORS, exchange
from platform_fleet import (
    CONTROL_PORT,
    FRONT_PORT,
    LINKS_PORT,
    PlatformFleet,
)
from platform_soak import HOST, make_configuration

CONFIGURATION_PADDING = 1_000_000
CALL_TIMEOUT_S = 5.0
CALL_TRIES = 12
# A process needs some seconds to start beside other load.
START_TRIES = 40
PORTS = {"front": FRONT_PORT, "control": CONTROL_PORT, "links": LINKS_PORT}


class FloodFleet(PlatformFleet):
    """Controls and one front on machines with given limits.

    Attributes:
        memory_mb: Memory of each machine.
        max_fds: Descriptors of each process.
    """

    __slots__ = ("memory_mb", "max_fds")

    def __init__(self, folder, net, memory_mb, max_fds, cores=1):
        super().__init__(folder, net, cores, fronts=1)
        self.memory_mb = memory_mb
        self.max_fds = max_fds

    def memory_of(self, process):
        """Returns the memory, in MB, of the machine of a process."""
        return self.memory_mb

    def settings(self, process, bootstrap):
        """Returns the content of the settings file of a process."""
        limits = (
            f"[limits]\nmemory-mb = {self.memory_of(process)}\n"
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
    # In random order, so that two runs seldom probe the same one at once.
    for net in random.sample(range(220, 250), 30):
        probes = [
            (f"127.{net}.1.1", CONTROL_PORT),
            (f"127.{net}.1.1", LINKS_PORT),
            (f"127.{net}.1.1", LINKS_PORT + 1),
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


def read_processor_s(process):
    """Returns the processor time of a live process in s."""
    text = pathlib.Path(f"/proc/{process.process.pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    ticks = sum(int(value) for value in fields[11:13])
    return ticks / os.sysconf("SC_CLK_TCK")


async def call_once(method, url, document=None, headers=()):
    """Returns whether a call is answered 200."""
    try:
        with trio.fail_after(CALL_TIMEOUT_S):
            status, _ = await exchange(
                method, url, document, headers, CALL_TIMEOUT_S
            )
    except CALL_ERRORS:
        return False
    return status == 200


async def call(method, url, document=None, headers=(), tries=CALL_TRIES):
    """Calls until the answer is 200; returns whether there was one."""
    for _ in range(tries):
        if await call_once(method, url, document, headers):
            return True
        await trio.sleep(0.5)
    return False


async def call_at_start(method, url, document=None, headers=()):
    """Does the same as ``call`` while the processes start."""
    return await call(method, url, document, headers, START_TRIES)


async def submit_job(fleet, make_call=call):
    """Returns whether the front accepts a job."""
    steps = [{"count": 1, "cpu": 100, "mem-mb": 10, "estimated-ms": 100}]
    url = f"http://{fleet.front_addresses[0]}{job_path()}"
    document = {"spec": "text", "steps": steps}
    return await make_call("POST", url, document, (("Host", HOST),))


async def send_heartbeat(fleet, make_call=call):
    """Returns whether the control accepts a heartbeat."""
    url = f"http://{fleet.control_addresses[0]}/v1/instances/w1"
    document = {
        "service": "desk",
        "address": "127.0.0.1:9",
        "zone": "ikeja",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold-remaining-ms": 0,
        "capacity": {"cpu": 16_000, "mem-mb": 32_768, "gpu": 0},
        "labels": ["a", "r1"],
        "machine": "m1",
        "born": 1,
        "clock-ms": 1,
        "seq": 1,
        "running": [],
        "ended": [],
    }
    return await make_call("PUT", url, document)


async def put_configuration(fleet, version, make_call=call):
    """Returns whether the control accepts a configuration."""
    url = f"http://{fleet.control_addresses[0]}/v1/config"
    padding = {"padding": "x" * CONFIGURATION_PADDING}
    return await make_call("PUT", url, make_configuration(version) | padding)

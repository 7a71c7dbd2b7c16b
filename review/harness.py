"""Common parts of the scripts of the review: programs, calls and records.

The programs run as separate processes on loopback addresses, with the
project's own PlatformFleet. Each script writes what was sent and answered to
``record.txt`` in its folder.
"""

import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "tools"), str(ROOT)]

import httpcore  # noqa: E402
import trio  # noqa: E402
from platform_emulator import CALL_ERRORS, exchange  # noqa: E402
from platform_fleet import CONTROL_PORT, PlatformFleet  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 110.0
START_LIMIT_S = 30.0
# Temporary folders of this process.
folders = []


class CannotRunError(Exception):
    """The case could not be played, so that it shows nothing."""


class Record:
    """Writes what was sent, answered and run, with the time in s.

    Attributes:
        file: The open record.
        start: Monotonic time of the first line, in s.
    """

    def __init__(self, folder):
        self.file = (folder / "record.txt").open("w")  # noqa: SIM115
        self.start = time.monotonic()

    def __call__(self, text):
        """Writes one line."""
        passed = time.monotonic() - self.start
        self.file.write(f"{passed:9.3f} {text}\n")
        self.file.flush()


def find_net():
    """Returns the second byte of loopback addresses that are free.

    Raises:
        CannotRunError: If there are none.
    """
    nets = list(range(16, 250))
    random.shuffle(nets)
    for net in nets:
        try:
            for host in ("1.1", "1.2", "1.3"):
                with socket.socket() as probe:
                    probe.bind((f"127.{net}.{host}", CONTROL_PORT))
        except OSError:
            continue
        return net
    raise CannotRunError("no free addresses")


def make_folder():
    """Returns a new temporary folder, which ``play`` removes."""
    folders.append(tempfile.mkdtemp(prefix="review-"))
    return folders[-1]


def make_fleet(cores=3, fronts=2):
    """Returns a PlatformFleet on free loopback addresses."""
    return PlatformFleet(make_folder(), find_net(), cores, fronts)


def power_off(fleet, process):
    """Ends a process as a loss of power does: nothing leaves it any more."""
    process.must_run = False
    process.send(signal.SIGCONT)
    process.send(signal.SIGKILL)
    for proxy in fleet.proxies_of(process.host):
        proxy.reset_connections()


async def call(method, url, document=None, headers=(), timeout_s=1.0):
    """Returns status and document of an answer, or None without one."""
    try:
        return await exchange(method, url, document, headers, timeout_s)
    except (*CALL_ERRORS, json.JSONDecodeError, OSError):
        return None


async def put_first_configuration(fleet, document):
    """Sends the first configuration until it is acknowledged.

    Raises:
        CannotRunError: If it is not acknowledged in time.
    """
    with trio.move_on_after(START_LIMIT_S):
        while True:
            for address in fleet.control_addresses:
                url = f"http://{address}/v1/config"
                answer = await call("PUT", url, document)
                if answer is not None and answer[0] == 200:
                    return
            await trio.sleep(0.2)
    raise CannotRunError("the first configuration was not acknowledged")


async def find_leader(fleet):
    """Returns the control that answers a read without a redirect.

    Raises:
        CannotRunError: If there is none in time.
    """
    with trio.move_on_after(START_LIMIT_S):
        while True:
            for core in fleet.cores:
                url = f"http://{core.host}:{CONTROL_PORT}/v1/config"
                async with httpcore.AsyncConnectionPool() as pool:
                    try:
                        with trio.fail_after(1):
                            answer = await pool.request("GET", url)
                    except CALL_ERRORS:
                        continue
                if answer.status == 200:
                    return core
            await trio.sleep(0.1)
    raise CannotRunError("no control leads")


def play(folder, case):
    """Runs a case and exits with its result.

    Args:
        folder: Folder of the case.
        case: Async function ``(record)`` that returns whether the rule was
            broken.
    """
    record = Record(folder)
    record(f"TROUBLE={int(TROUBLE)}")
    # A script that is stopped still ends its processes.
    signal.signal(signal.SIGTERM, signal.default_int_handler)

    async def run():
        with trio.fail_after(LIMIT_S):
            return await case(record)

    try:
        broken = trio.run(run)
    except BaseException as error:
        record(f"the case could not run: {error!r}")
        traceback.print_exc()
        sys.exit(NOT_RUN)
    finally:
        for path in folders:
            shutil.rmtree(path, ignore_errors=True)
    record("RULE BROKEN" if broken else "the rule held")
    print("rule broken" if broken else "rule held")
    sys.exit(BROKEN if broken else HELD)

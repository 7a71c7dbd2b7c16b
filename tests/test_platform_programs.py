"""Tests that run the platform's programs as processes."""

import contextlib
import functools
import os
import pathlib
import signal
import subprocess
import sys
import time

import httpcore
import pytest
import trio
from platform_emulator import CALL_ERRORS, EmulatedWorker, exchange
from platform_fleet import PlatformFleet
from platform_soak import HOST, PREFIX, Soak, make_configuration

START_S = 10.0
NESTED = functools.reduce(lambda inner, _: [inner], range(900), [])
# Rows of another writer: nested, out of range, of other types, too short.
MALFORMED_ROWS = [
    NESTED,
    [NESTED, NESTED, NESTED, NESTED, NESTED],
    [10**400, "0123456789abcdef.0.0.0", 10**400, "done", 10**400],
    ["0123456789abcdef.0.0.0", 2**70, {}, float("inf")],
    [float("nan"), None],
    10**400,
]
ROOT = pathlib.Path(__file__).resolve().parent.parent


def ignores_reloads(pid):
    """Returns whether a process ignores SIGHUP, as /proc shows it."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    (mask,) = [
        line.split()[1]
        for line in status.splitlines()
        if line.startswith("SigIgn:")
    ]
    return bool(int(mask, 16) >> (signal.SIGHUP - 1) & 1)


@pytest.mark.parametrize("script", ["front", "core"])
def test_reload_during_the_start_is_harmless(script, tmp_path):
    """A SIGHUP before its handler is installed must not end the process."""
    process = subprocess.Popen(
        [sys.executable, f"platform/{script}.py"],
        cwd=ROOT,
        env=os.environ | {"WIGEONPORT_BOOT": str(tmp_path / "missing.toml")},
        stderr=subprocess.PIPE,
    )
    deadline = time.monotonic() + START_S
    while not ignores_reloads(process.pid):
        assert time.monotonic() < deadline, "SIGHUP is not ignored"
        time.sleep(0.005)
    process.send_signal(signal.SIGHUP)
    _, errors = process.communicate(timeout=20)
    assert process.returncode == 1
    assert b"cannot be read" in errors


def test_unusable_disk_ends_the_program_with_a_log_line(tmp_path):
    """Guards against a traceback at each start with an unusable disk.

    The program must exit with status 1 after one log line.
    """
    occupied = tmp_path / "data"
    occupied.write_text("a file where the folder has to be")
    path = tmp_path / "local.toml"
    path.write_text(
        'ip = "127.15.1.1"\nzone = "ikeja"\nport-range = [7060, 7063]\n'
        'seeds = ["127.15.1.1:8623"]\nbootstrap = true\n'
        f'data-dir = "{occupied}"\n[listen]\ncontrol = "127.15.1.1:8623"\n'
    )
    done = subprocess.run(
        [sys.executable, "platform/core.py"],
        cwd=ROOT,
        env=os.environ | {"WIGEONPORT_BOOT": str(path)},
        capture_output=True,
        timeout=20,
        check=False,
    )
    assert done.returncode == 1
    assert b"Program failed." in done.stdout
    assert b"Traceback" not in done.stderr


def test_short_soak_keeps_all_guarantees(tmp_path):
    """Seeded faults of real processes must not break any guarantee."""
    soak = Soak(6, 8.0, tmp_path)
    violations = trio.run(soak.run)
    assert violations == []
    assert soak.checker.starts > 0


class MalformedRowsWorker(EmulatedWorker):
    """A worker whose heartbeats hold rows of another writer."""

    __slots__ = ()

    def report(self):
        """Returns the document of the next heartbeat."""
        document = super().report()
        document["running"] = [*MALFORMED_ROWS, *document["running"]]
        document["ended"] = [*document["ended"], *MALFORMED_ROWS]
        return document


class QuietSoak(Soak):
    """A run with jobs and without faults."""

    __slots__ = ()

    async def inject(self):
        """Waits while jobs are submitted."""
        await trio.sleep(self.seconds)


def test_malformed_rows_in_heartbeats_stop_no_control(tmp_path):
    """Guards against controls that end, or stop, at a malformed row.

    All jobs must still be accepted and end.
    """
    soak = QuietSoak(107, 3.0, tmp_path)
    soak.workers = [
        MalformedRowsWorker(
            worker.worker_id,
            "desk",
            soak.fleet.control_addresses,
            soak.checker,
            soak.traffic,
        )
        for worker in soak.workers
    ]
    violations = trio.run(soak.run)
    assert violations == []
    assert soak.checker.starts > 0
    logs = "".join(
        (core.folder / "log").read_text() for core in soak.fleet.cores
    )
    assert "Heartbeat rows skipped." in logs


KEYS_NET = 109
FIRST, SECOND = "first-key-of-a", "second-key-of-a"
JOB_PATH = f"{PREFIX}00000000000000aa"
STEPS = {"spec": "text", "steps": [{"count": 1, "cpu": 100}]}


async def ask_until_answered(*arguments):
    """Returns the status of a call, repeated while nobody can decide it."""
    while True:
        with contextlib.suppress(*CALL_ERRORS):
            status, _ = await exchange(*arguments)
            if status not in (503, 504):
                return status
        await trio.sleep(0.1)


async def put_tenants(fleet, version, *keys_of_tenants):
    """Sends a configuration with tenants; returns the status."""
    rows = [
        {"name": f"t{number}", "api-keys": keys, "weight": 1}
        for number, keys in enumerate(keys_of_tenants)
    ]
    document = make_configuration(version) | {"tenants": rows}
    url = f"http://{fleet.control_addresses[0]}/v1/config"
    return await ask_until_answered("PUT", url, document, (), 3.0)


async def call_with_keys(fleet):
    """Returns the statuses of calls while keys come and go.

    All calls use the same open connection to a front.
    """
    statuses = []
    url = f"http://{fleet.front_addresses[0]}{JOB_PATH}"
    async with httpcore.AsyncConnectionPool(max_connections=1) as pool:

        async def call(method, key, document=None):
            headers = [("Host", HOST), ("Authorization", f"Token {key}")]
            statuses.append(
                await ask_until_answered(
                    method, url, document, headers, 4.0, pool
                )
            )

        statuses.append(await put_tenants(fleet, 1, [FIRST]))
        await call("POST", FIRST, STEPS)
        await call("GET", SECOND)
        statuses.append(await put_tenants(fleet, 2, [SECOND]))
        await call("GET", FIRST)
        await call("GET", SECOND)
        statuses.append(await put_tenants(fleet, 3, [FIRST], [FIRST]))
        await call("DELETE", FIRST)
        await call("DELETE", SECOND)
    return statuses


def test_keys_come_and_go_on_an_open_connection(tmp_path):
    """Guards against a revoked key that is honoured where it was before.

    A version with a shared key must be refused, and no log may hold a key.
    """
    fleet = PlatformFleet(tmp_path, KEYS_NET, 3, 1)

    async def main():
        try:
            with trio.fail_after(60):
                async with trio.open_nursery() as nursery:
                    await fleet.start(nursery)
                    statuses = await call_with_keys(fleet)
                    nursery.cancel_scope.cancel()
        finally:
            with trio.CancelScope(shield=True):
                await fleet.stop()
        return statuses

    assert trio.run(main) == [200, 200, 401, 200, 401, 200, 400, 401, 200]
    for process in (*fleet.cores, *fleet.fronts):
        log = (process.folder / "log").read_text()
        assert FIRST not in log
        assert SECOND not in log

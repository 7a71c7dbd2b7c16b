"""Tests that run the platform's programs as processes."""

import functools
import os
import pathlib
import signal
import subprocess
import sys
import time

import pytest
import trio
from platform_emulator import EmulatedWorker
from platform_soak import Soak

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

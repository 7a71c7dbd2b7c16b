"""Tests of the command line against a control with a fake log."""

import json

import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from operator_fakes import TOKEN, FakeControl

from wigeonport.cli_main import run
from wigeonport.clients import (
    ANSWERED,
    NOT_RUN,
    UNKNOWN,
    parse_server,
    parse_whole_number,
    read_answer,
)
from wigeonport.clocks import LamportCounter
from wigeonport.events import EventLog
from wigeonport.servers import serve_http

PATCH = """\
reason: crusade
operations:
  - operation: move_worker
    worker: {worker}
    pool: roster
"""
SHUTDOWN_MS = 100


class Bench:
    """Runs commands while servers answer.

    Attributes:
        control: The FakeControl.
        folder: Folder for files.
    """

    def __init__(self, control, folder):
        """Writes the token file of the client."""
        self.control = control
        self.folder = folder
        self.token = folder / "token"
        self.token.write_text(f"{TOKEN}\n")

    def patch(self, worker="vm-5"):
        """Writes a patch file and returns its name."""
        path = self.folder / f"{worker}.yaml"
        path.write_text(PATCH.format(worker=worker))
        return str(path)

    def run(self, *commands, servers=("control",), retry_ms=0):
        """Returns the exit codes of commands, run one after another.

        Args:
            retry_ms: Value of --retry-ms.
            commands: Lists of arguments without the options of servers.
            servers: ``control``, ``lost`` (reads and closes), ``denied``
                (answers 401) or ``absent`` for each --server.
        """

        async def main():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.control.run)
                options = ["--token-file", str(self.token)]
                options += ["--retry-ms", str(retry_ms)]
                for kind in servers:
                    port = await nursery.start(SERVERS[kind], self.control)
                    options += ["--server", f"127.0.0.1:{port}"]
                codes = []
                for command in commands:
                    line = [*command, *options]
                    codes.append(await trio.to_thread.run_sync(run, line))
                nursery.cancel_scope.cancel()
            return codes

        return trio.run(main)


async def serve_control(control, task_status):
    """Serves the operators' interface on a free port."""
    async with trio.open_nursery() as nursery:
        binds = await nursery.start(
            serve_http,
            control.app,
            "127.0.0.1",
            0,
            trio.Event(),
            SHUTDOWN_MS,
        )
        task_status.started(int(binds[0].rpartition(":")[2]))


async def serve_raw(answer, task_status):
    """Serves connections that get the same bytes after their request."""

    async def handle(stream):
        await stream.receive_some(65_536)
        if answer:
            await stream.send_all(answer)
        await stream.aclose()

    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    task_status.started(listener.socket.getsockname()[1])
    await trio.serve_listeners(handle, [listener])


async def serve_lost(control, task_status):
    """Serves a control that dies after it received a request."""
    await serve_raw(b"", task_status)


async def serve_denied(control, task_status):
    """Serves a control with other tokens."""
    body = b'{"outcome": "refused", "findings": ["token"]}'
    head = b"HTTP/1.1 401 Unauthorized\r\nContent-Length: %d\r\n\r\n"
    await serve_raw(head % len(body) + body, task_status)


async def serve_absent(control, task_status):
    """Reserves a port on which nothing listens."""
    with trio.socket.socket() as reserved:
        await reserved.bind(("127.0.0.1", 0))
        task_status.started(reserved.getsockname()[1])
        await trio.sleep_forever()


SERVERS = {
    "control": serve_control,
    "lost": serve_lost,
    "denied": serve_denied,
    "absent": serve_absent,
}


@pytest.fixture
def bench(tmp_path, live):
    """A bench whose control has version 1 of the sample fleet."""
    control = FakeControl(tmp_path / "tokens", timeout_ms=500)
    control.state, control.index = live.state, live.index
    return Bench(control, tmp_path)


def patch_command(bench, worker="vm-5", against="1", id="p-2", *options):
    """Returns the arguments that submit a patch."""
    name = bench.patch(worker)
    return [
        *("fleet", "patch", name, "--against", against, "--id", id),
        *options,
    ]


def test_patch_is_accepted_and_shown(bench, capsys):
    """Guards against commands that do not fit the interface."""
    codes = bench.run(
        patch_command(bench),
        ["fleet", "show"],
        ["fleet", "history"],
        ["fleet", "history", "--changes-of", "2"],
    )
    out = capsys.readouterr().out
    assert codes == [0, 0, 0, 0]
    assert "patch p-2 accepted as version 2" in out
    assert "pool roster: 5 workers: vm-1 vm-2 vm-3 vm-4 vm-5" in out
    assert "ada [p-2] 1 changes: crusade" in out
    assert "workers.vm-5: pool notices -> roster" in out


def test_stale_patch_is_refused_with_what_changed(bench, capsys):
    """Guards against a refusal that leaves the operator guessing."""
    codes = bench.run(
        patch_command(bench), patch_command(bench, "vm-6", "1", "p-3")
    )
    captured = capsys.readouterr()
    assert codes == [0, 1]
    assert "Refused: stale" in captured.err
    assert "version 2 by ada: crusade" in captured.err
    assert "workers.vm-5: pool notices -> roster" in captured.err


def test_findings_of_the_control_name_file_and_line(bench, capsys):
    """Guards against places that get lost over HTTP."""
    (code,) = bench.run(patch_command(bench, "vm-99"))
    error = capsys.readouterr().err
    assert code == 1
    name = bench.folder / "vm-99.yaml"
    assert f"{name}:4: operations[0].worker: worker 'vm-99'" in error


def test_dry_run_previews_and_changes_nothing(bench, capsys):
    """Guards against a dry run that takes effect."""
    codes = bench.run(
        ["fleet", "patch", bench.patch(), "--against", "1", "--dry-run"],
    )
    out = capsys.readouterr().out
    assert codes == [0]
    assert "vm-5: notices -> roster" in out
    assert bench.control.state.fleet.fleet.version == 1


def test_lost_answer_is_unknown_and_a_resend_is_safe(bench, capsys):
    """Guards against a lost answer that is reported as done or refused."""
    bench.control.mode = "lose"
    (code,) = bench.run(patch_command(bench))
    error = capsys.readouterr().err
    assert code == 3
    assert "The outcome is unknown. Resending with --id p-2 is safe." in error
    bench.control.mode = "commit"
    (code,) = bench.run(patch_command(bench))
    assert (code, bench.control.state.fleet.fleet.version) == (0, 2)


@pytest.mark.parametrize(
    ("servers", "expected"),
    [
        (("lost",), 3),
        (("lost", "absent"), 3),
        (("lost", "denied"), 3),
        (("absent",), 1),
        (("denied",), 1),
        (("absent", "control"), 0),
        (("lost", "control"), 0),
    ],
)
def test_servers_are_tried_in_turn(bench, servers, expected):
    """Guards against an unknown outcome that is called not run."""
    (code,) = bench.run(patch_command(bench), servers=servers)
    assert code == expected
    versions = 2 if "control" in servers else 1
    assert bench.control.state.fleet.fleet.version == versions


def test_control_without_quorum_runs_nothing(bench, capsys):
    """Guards against exit code 3 where the outcome is certain."""
    bench.control.mode = "refuse"
    (code,) = bench.run(patch_command(bench))
    error = capsys.readouterr().err
    assert code == 1
    assert "no quorum" in error
    assert "nothing was changed" in error


def test_change_of_the_leader_is_waited_for(bench):
    """Guards against a patch that fails while a leader is replaced."""
    bench.control.mode = "refuse"
    bench.control.refusals = 2
    (code,) = bench.run(patch_command(bench), retry_ms=60_000)
    assert (code, bench.control.state.fleet.fleet.version) == (0, 2)


def test_maintenance_commands(bench, capsys):
    """Guards against commands that do not fit the interface."""
    codes = bench.run(
        ["maintenance", "pause", "roster", "--reason", "crusade"],
        ["maintenance", "drain", "vm-1", "--id", "g-1", "-r", "disk"],
        ["maintenance", "drain", "vm-2"],
        ["maintenance", "list"],
        ["maintenance", "resume", "roster"],
        ["maintenance", "end", "g-1"],
        ["maintenance", "return", "vm-1"],
        ["maintenance", "end", "g-1"],
    )
    captured = capsys.readouterr()
    assert codes == [0, 0, 1, 0, 0, 0, 0, 1]
    assert "paused roster: ada: crusade" in captured.out
    assert "grant g-1 (drain): vm-1, 0 drained" in captured.out
    assert "missing vm-1" in captured.out
    assert "pool 'roster' can spare 0 more VMs" in captured.err


def test_status_shows_who_lags(bench, capsys):
    """Guards against a lagging process that stays unnoticed (R8)."""
    bench.control.report("entry/ikeja-1", 0)
    assert bench.run(["fleet", "status"]) == [0]
    out = capsys.readouterr().out
    assert "in force everywhere: no" in out
    assert "entry/ikeja-1 ikeja version 0: applies version 0, 1 behind" in out


@pytest.mark.parametrize(
    "command",
    [
        ["fleet", "show"],
        ["fleet", "history"],
        ["fleet", "status"],
        ["maintenance", "list"],
        ["maintenance", "pause"],
    ],
)
def test_json_option_prints_only_json(bench, capsys, command):
    """Guards against output that programs cannot read."""
    assert bench.run([*command, "--json"]) == [0]
    assert json.loads(capsys.readouterr().out)["outcome"]


@pytest.mark.parametrize(
    "arguments",
    [
        ["nope"],
        ["fleet", "show", "--frob"],
        ["fleet", "show"],
        ["fleet", "show", "--server", "nohost"],
        ["fleet", "show", "--server", "h:1"],
        ["fleet", "show", "--server", "h:1", "--token-file", "/nope"],
        ["fleet", "patch"],
        ["fleet", "patch", "x.yaml"],
        ["fleet", "patch", "x.yaml", "--against", "-1", "--id", "a"],
        ["fleet", "patch", "x.yaml", "--against", "1", "--id", "a b"],
        ["settings", "check"],
        ["timeline"],
    ],
)
def test_wrong_command_line_is_a_usage_error(arguments, capsys, monkeypatch):
    """Guards against a traceback, or exit code 1, for a wrong command."""
    monkeypatch.delenv("WIGEONPORT_SERVERS", raising=False)
    monkeypatch.delenv("WIGEONPORT_TOKEN_FILE", raising=False)
    assert run(arguments) == 2
    assert capsys.readouterr().err.startswith("usage: ")


def test_settings_check_lists_every_finding(tmp_path, capsys):
    """Guards against a check that hides findings or its exit code."""
    path = tmp_path / "a.yaml"
    path.write_text("node_idd: a\n<info>: 1\n")
    assert run(["settings", "check", str(path)]) == 1
    out = capsys.readouterr().out
    assert f"{path}:1: node_idd: unknown key 'node_idd'; did you" in out
    assert f"{path}:2: <info>: unknown key" in out


def test_timeline_merges_files(tmp_path, capsys, clock):
    """Guards against a damaged source that hides the others."""
    paths = []
    for node in ("a", "b"):
        log = EventLog(node, clock, LamportCounter(), 10)
        path = tmp_path / node
        path.write_text("".join(line + "\n" for line in log.lines()))
        paths.append(str(path))
    assert run(["timeline", *paths]) == 0
    lines = capsys.readouterr().out.splitlines()
    assert [line.split()[2:] for line in lines] == [
        ["a", "start"],
        ["b", "start"],
    ]
    (tmp_path / "a").write_text("{\n")
    codes = [
        run(["timeline", *paths, "--json"]),
        run(["timeline", "/nope", "http://127.0.0.1:1/events", "http://["]),
    ]
    captured = capsys.readouterr()
    assert codes == [1, 1]
    assert json.loads(captured.out)["node"] == "b"
    assert captured.err.count("cannot be read") == 3


@pytest.mark.parametrize(
    ("status", "content", "outcome"),
    [
        (200, b"{}", ANSWERED),
        (200, b"<html>", UNKNOWN),
        (200, b"[]", UNKNOWN),
        (409, b'{"outcome": "refused"}', ANSWERED),
        (500, b"oops", UNKNOWN),
        (502, b"{}", UNKNOWN),
        (503, b'{"outcome": "not-run"}', NOT_RUN),
        (504, b'{"outcome": "unknown"}', UNKNOWN),
        (404, b"none", NOT_RUN),
    ],
)
def test_answers_are_classified(status, content, outcome):
    """Guards against an outcome that claims more than is known."""
    assert read_answer(status, content).outcome == outcome


@given(text=st.text(max_size=20))
@settings(max_examples=200, derandomize=True, deadline=None)
def test_any_address_or_number_is_read_or_refused(text):
    """Guards against a traceback on a malformed argument."""
    server = parse_server(text)
    assert server is None or server.rpartition(":")[2].isdigit()
    value = parse_whole_number(text)
    assert value is None or value >= 0

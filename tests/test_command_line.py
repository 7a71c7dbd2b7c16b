"""Tests of the command line against a control with a fake log."""

import json

import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from operator_fakes import TOKEN, FakeControl

from wigeonport.cli_main import run
from wigeonport.clocks import LamportCounter
from wigeonport.events import EventLog
from wigeonport.operator_clients import (
    ANSWERED,
    NOT_RUN,
    UNKNOWN,
    parse_server,
    parse_whole_number,
    read_answer,
)
from wigeonport.servers import serve_http

PATCH = """\
reason: crusade
operations:
  - operation: move_worker
    worker: {worker}
    pool: roster
"""
SHUTDOWN_MS = 100


class CommandLineHarness:
    """Runs commands while servers answer.

    Attributes:
        control: The FakeControl.
        folder: Folder for patch and token files.
        token_path: Path of the token file of the client.
    """

    def __init__(self, control, folder):
        """Writes the token file of the client."""
        self.control = control
        self.folder = folder
        self.token_path = folder / "token"
        self.token_path.write_text(f"{TOKEN}\n")

    def patch(self, worker="vm-5"):
        """Writes a patch file and returns its name."""
        path = self.folder / f"{worker}.yaml"
        path.write_text(PATCH.format(worker=worker))
        return str(path)

    def run(self, *commands, servers=("control",), retry_ms=0):
        """Returns the exit codes of commands, run one after another.

        Args:
            commands: Lists of arguments without those of SERVER_OPTIONS.
            servers: Kind of server for each --server: ``control``, ``lost``
                (reads the request and closes), ``denied`` (answers 401) or
                ``absent`` (does not listen).
            retry_ms: Value of --retry-ms.
        """

        async def main():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.control.run)
                options = ["--token-file", str(self.token_path)]
                options += ["--retry-ms", str(retry_ms)]
                for kind in servers:
                    port = await nursery.start(SERVERS[kind], self.control)
                    options += ["--server", f"127.0.0.1:{port}"]
                codes = []
                for command in commands:
                    arguments = [*command, *options]
                    codes.append(await trio.to_thread.run_sync(run, arguments))
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
    """Answers each connection with the same bytes, then closes it."""

    async def handle(stream):
        await stream.receive_some(65_536)
        if answer:
            await stream.send_all(answer)
        await stream.aclose()

    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    task_status.started(listener.socket.getsockname()[1])
    await trio.serve_listeners(handle, [listener])


async def serve_lost(control, task_status):
    """Serves a control that closes the connection after the request."""
    await serve_raw(b"", task_status)


async def serve_denied(control, task_status):
    """Serves a control that does not know the token."""
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
def harness(tmp_path, apply_to_fleet):
    """A harness whose control has version 1 of the sample fleet."""
    control = FakeControl(tmp_path / "tokens", timeout_ms=500)
    control.state, control.index = apply_to_fleet.state, apply_to_fleet.index
    return CommandLineHarness(control, tmp_path)


def patch_command(harness, worker="vm-5", against="1", id="p-2", *options):
    """Returns the arguments that submit a patch."""
    name = harness.patch(worker)
    return [
        *("fleet", "patch", name, "--against", against, "--id", id),
        *options,
    ]


def test_patch_is_accepted_and_shown(harness, capsys):
    """A patch must be accepted, then appear in fleet and history."""
    codes = harness.run(
        patch_command(harness),
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


def test_stale_patch_is_refused_with_what_changed(harness, capsys):
    """The refusal of a stale patch must print the changes it missed."""
    codes = harness.run(
        patch_command(harness), patch_command(harness, "vm-6", "1", "p-3")
    )
    captured = capsys.readouterr()
    assert codes == [0, 1]
    assert "Refused: stale" in captured.err
    assert "version 2 by ada: crusade" in captured.err
    assert "workers.vm-5: pool notices -> roster" in captured.err


def test_findings_of_the_control_name_file_and_line(harness, capsys):
    """A finding of the control must name the place in the patch file.

    The control gets JSON without lines; the command line adds file and line.
    """
    (code,) = harness.run(patch_command(harness, "vm-99"))
    error = capsys.readouterr().err
    assert code == 1
    name = harness.folder / "vm-99.yaml"
    assert f"{name}:4: operations[0].worker: worker 'vm-99'" in error


def test_dry_run_previews_and_changes_nothing(harness, capsys):
    """A dry run must print the moves and change nothing."""
    codes = harness.run(
        ["fleet", "patch", harness.patch(), "--against", "1", "--dry-run"],
    )
    out = capsys.readouterr().out
    assert codes == [0]
    assert "vm-5: notices -> roster" in out
    assert harness.control.state.fleet.fleet.version == 1


def test_lost_answer_is_unknown_and_a_resend_is_safe(harness, capsys):
    """A lost answer must give exit code 3, and a resend must not run twice.

    Here the patch was committed before its answer was lost.
    """
    harness.control.mode = "lose"
    (code,) = harness.run(patch_command(harness))
    error = capsys.readouterr().err
    assert code == 3
    assert "The outcome is unknown. Resending with --id p-2 is safe." in error
    harness.control.mode = "commit"
    (code,) = harness.run(patch_command(harness))
    assert (code, harness.control.state.fleet.fleet.version) == (0, 2)


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
def test_servers_are_tried_in_turn(harness, servers, expected):
    """Servers are tried in turn until one of them decides.

    After a lost answer, a refused connection or token on another server must
    not turn the unknown outcome into exit code 1.
    """
    (code,) = harness.run(patch_command(harness), servers=servers)
    assert code == expected
    versions = 2 if "control" in servers else 1
    assert harness.control.state.fleet.fleet.version == versions


def test_control_without_quorum_runs_nothing(harness, capsys):
    """Without a quorum nothing ran, so the exit code must be 1, not 3."""
    harness.control.mode = "refuse"
    (code,) = harness.run(patch_command(harness))
    error = capsys.readouterr().err
    assert code == 1
    assert "no quorum" in error
    assert "nothing was changed" in error


def test_patch_is_retried_while_the_leader_changes(harness):
    """A patch must be tried again while the leader is being replaced."""
    harness.control.mode = "refuse"
    harness.control.refusals = 2
    (code,) = harness.run(patch_command(harness), retry_ms=60_000)
    assert (code, harness.control.state.fleet.fleet.version) == (0, 2)


def test_maintenance_commands_match_their_routes(harness, capsys):
    """Each maintenance command must match the route that it calls.

    Here the budget of the pool allows one drain, so the second is refused.
    """
    codes = harness.run(
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


def test_status_shows_who_lags(harness, capsys):
    """The status must print which process lags, and why (R8)."""
    harness.control.report("entry/ikeja-1", 0)
    assert harness.run(["fleet", "status"]) == [0]
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
def test_json_option_prints_only_json(harness, capsys, command):
    """With --json, standard output must be one JSON object."""
    assert harness.run([*command, "--json"]) == [0]
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
    """An invalid command line must give a usage message and exit code 2.

    Exit code 1 would look like a refusal by the control.
    """
    monkeypatch.delenv("WIGEONPORT_SERVERS", raising=False)
    monkeypatch.delenv("WIGEONPORT_TOKEN_FILE", raising=False)
    assert run(arguments) == 2
    assert capsys.readouterr().err.startswith("usage: ")


def test_settings_check_lists_every_finding(tmp_path, capsys):
    """The check must print all findings with their lines and exit with 1."""
    path = tmp_path / "a.yaml"
    path.write_text("node_idd: a\n<info>: 1\n")
    assert run(["settings", "check", str(path)]) == 1
    out = capsys.readouterr().out
    assert f"{path}:1: node_idd: unknown key 'node_idd'; did you" in out
    assert f"{path}:2: <info>: unknown key" in out


def test_timeline_merges_files(tmp_path, capsys, clock):
    """A damaged source must be reported and the others still printed."""
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
    """A response must not give a more certain outcome than it proves.

    An answer other than a JSON object may come from a proxy, and a status
    from 500 on may follow a committed change.
    """
    assert read_answer(status, content).outcome == outcome


@given(text=st.text(max_size=20))
@settings(max_examples=200, derandomize=True, deadline=None)
def test_any_address_or_number_is_read_or_refused(text):
    """Any text must be read as address or number, or refused."""
    server = parse_server(text)
    assert server is None or server.rpartition(":")[2].isdigit()
    value = parse_whole_number(text)
    assert value is None or value >= 0

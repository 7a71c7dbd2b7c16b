"""Child processes that a tool starts, signals and waits for."""

import os
import pathlib
import signal
import subprocess
import sys

import trio

ROOT = pathlib.Path(__file__).resolve().parent.parent
KILL_TIMEOUT_S = 5.0


class ManagedProcess:
    """A Python child process and the log file of its output.

    Attributes:
        name: Name in messages.
        arguments: Command line after the Python interpreter.
        log_path: File to which standard output and error are appended.
        process: trio.Process, or None before the start.
        piped: Whether standard input is a pipe from the tool.
    """

    __slots__ = ("name", "arguments", "log_path", "process", "piped")

    def __init__(self, name, arguments, log_path, piped=False):
        self.name = name
        self.arguments = arguments
        self.log_path = log_path
        self.process = None
        self.piped = piped

    async def start(self):
        """Starts the process, or restarts it after it has ended."""
        environment = os.environ | {"PYTHONPATH": str(ROOT)}
        pipe = subprocess.PIPE if self.piped else None
        with open(self.log_path, "ab") as log:
            self.process = await trio.lowlevel.open_process(
                [sys.executable, *self.arguments],
                stdin=pipe or subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
                cwd=self.log_path.parent,
            )

    @property
    def running(self):
        """Whether the process was started and has not ended."""
        return self.process is not None and self.process.poll() is None

    @property
    def pid(self):
        """Process id."""
        return self.process.pid

    def send(self, signal_number):
        """Sends a signal if the process runs."""
        if self.running:
            self.process.send_signal(signal_number)

    def freeze(self):
        """Suspends the process with SIGSTOP, which it cannot catch."""
        self.send(signal.SIGSTOP)

    def thaw(self):
        """Resumes the process with SIGCONT; no effect if not suspended."""
        self.send(signal.SIGCONT)

    async def wait(self, timeout_s):
        """Returns the exit status, or None after the timeout."""
        with trio.move_on_after(timeout_s):
            return await self.process.wait()
        return None

    async def stop(self, timeout_s):
        """Sends SIGTERM; returns the exit status.

        After the timeout it kills the process and returns None.
        """
        self.send(signal.SIGTERM)
        status = await self.wait(timeout_s)
        if status is None:
            await self.kill()
        return status

    async def kill(self):
        """Kills the process and waits up to KILL_TIMEOUT_S for its end."""
        self.send(signal.SIGKILL)
        await self.wait(KILL_TIMEOUT_S)

    async def write_command(self, line):
        """Sends a line to the standard input of a piped process."""
        await self.process.stdin.send_all(line.encode() + b"\n")

    def log_tail(self, count=20):
        """Returns the last lines of the log file."""
        text = self.log_path.read_text(encoding="utf-8", errors="replace")
        return text.splitlines()[-count:]

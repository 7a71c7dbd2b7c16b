"""Processes that a tool starts, signals and waits for by id."""

import os
import pathlib
import signal
import subprocess
import sys

import trio

ROOT = pathlib.Path(__file__).resolve().parent.parent
KILL_AFTER_S = 5.0


class ManagedProcess:
    """One started process.

    Attributes:
        name: Name in messages and of the log file.
        arguments: Command line after the interpreter.
        log_path: File with its standard error and output.
        process: trio.Process, or None before the start.
        piped: Whether the tool writes to its standard input.
    """

    __slots__ = ("name", "arguments", "log_path", "process", "piped")

    def __init__(self, name, arguments, log_path, piped=False):
        self.name = name
        self.arguments = arguments
        self.log_path = log_path
        self.process = None
        self.piped = piped

    async def start(self):
        """Starts the process, or starts it again after its end."""
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
        """Whether it was started and has not ended."""
        return self.process is not None and self.process.poll() is None

    @property
    def pid(self):
        """Its process id."""
        return self.process.pid

    def send(self, number):
        """Sends a signal if it runs."""
        if self.running:
            self.process.send_signal(number)

    def freeze(self):
        """Stops it without its knowledge."""
        self.send(signal.SIGSTOP)

    def thaw(self):
        """Lets a frozen process go on."""
        self.send(signal.SIGCONT)

    async def wait(self, timeout_s):
        """Returns its exit status, or None after the time-out."""
        with trio.move_on_after(timeout_s):
            return await self.process.wait()
        return None

    async def stop(self, timeout_s):
        """Asks it to stop; returns the exit status, None if it had to die."""
        self.send(signal.SIGTERM)
        status = await self.wait(timeout_s)
        if status is None:
            await self.kill()
        return status

    async def kill(self):
        """Ends it at once."""
        self.send(signal.SIGKILL)
        await self.wait(KILL_AFTER_S)

    async def command(self, line):
        """Sends a line to the standard input of a piped process."""
        await self.process.stdin.send_all(line.encode() + b"\n")

    def log_tail(self, count=20):
        """Returns the last lines of its log."""
        text = self.log_path.read_text(encoding="utf-8", errors="replace")
        return text.splitlines()[-count:]

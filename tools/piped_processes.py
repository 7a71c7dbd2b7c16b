"""Processes that a tool controls over their standard input and output."""

import os
import subprocess
import sys

import trio
from processes import ROOT, ManagedProcess


class PipedProcess(ManagedProcess):
    """A process that answers each input line with one output line."""

    __slots__ = ()

    async def start(self):
        """Starts the process with pipes for standard input and output."""
        with open(self.log_path, "ab") as log:
            self.process = await trio.lowlevel.open_process(
                [sys.executable, *self.arguments],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=log,
                env=os.environ | {"PYTHONPATH": str(ROOT)},
                cwd=self.log_path.parent,
            )

    async def read_line(self):
        """Returns the next line of its standard output.

        Raises:
            EOFError: If standard output ends before a whole line.
        """
        line = b""
        while not line.endswith(b"\n"):
            data = await self.process.stdout.receive_some(1)
            if not data:
                raise EOFError(
                    f"{self.name} closed its output before a whole line"
                )
            line += data
        return line

    async def call(self, line):
        """Sends a line and returns the line that answers it."""
        await self.process.stdin.send_all(line.encode() + b"\n")
        return await self.read_line()

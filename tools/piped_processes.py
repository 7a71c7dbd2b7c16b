"""Processes that a tool commands over their standard streams."""

import os
import subprocess
import sys

import trio
from processes import ROOT, ManagedProcess


class PipedProcess(ManagedProcess):
    """A process that answers each line on its standard input by one."""

    __slots__ = ()

    async def start(self):
        """Starts the process with pipes."""
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
        """Returns the next line of its standard output."""
        line = b""
        while not line.endswith(b"\n"):
            data = await self.process.stdout.receive_some(1)
            if not data:
                raise EOFError(f"{self.name} has ended")
            line += data
        return line

    async def call(self, line):
        """Sends a line and returns the answer."""
        await self.process.stdin.send_all(line.encode() + b"\n")
        return await self.read_line()

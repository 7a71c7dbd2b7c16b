"""Starts the platform's programs as processes on loopback addresses."""

import os
import pathlib
import resource
import shutil
import signal
import sys

import trio
from fault_proxies import FaultProxy

ROOT = pathlib.Path(__file__).resolve().parent.parent
PORT = 8_623
LINKS_PORT = 7_060
FRONT_PORT = 8_624
READY_PORT = 8_622


class PlatformProcess:
    """One program on one address.

    Attributes:
        script: ``front`` or ``core``.
        host: Loopback address of its machine.
        links_port: Port on which it listens for links, and dials them.
        process: The running process, or None.
        must_run: Whether it has to run.
        restart_lock: Held by the fault that stops and starts it.
    """

    __slots__ = (
        "fleet",
        "script",
        "host",
        "links_port",
        "process",
        "must_run",
        "restart_lock",
    )

    def __init__(self, fleet, script, host, links_port):
        self.fleet = fleet
        self.script = script
        self.host = host
        self.links_port = links_port
        self.process = None
        self.must_run = False
        self.restart_lock = trio.Lock()

    @property
    def ended_unexpectedly(self):
        """Whether it has ended although it has to run."""
        return self.must_run and self.process.poll() is not None

    @property
    def folder(self):
        """Folder of its files."""
        return self.fleet.folder / self.host

    async def start(self, first=False):
        """Starts the program."""
        self.folder.mkdir(parents=True, exist_ok=True)
        path = self.folder / "local.toml"
        path.write_text(self.fleet.settings(self, first))
        environment = os.environ | {"WIGEONPORT_BOOT": str(path)}
        with open(self.folder / "log", "ab") as log:
            self.process = await trio.lowlevel.open_process(
                [sys.executable, f"platform/{self.script}.py"],
                stdin=None,
                stdout=log,
                stderr=log,
                env=environment,
                cwd=ROOT,
            )
        self.must_run = True

    def send(self, number):
        """Sends a signal to this process only."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def stop(self, number=signal.SIGKILL):
        """Ends the process and waits for it."""
        self.must_run = False
        self.send(signal.SIGCONT)
        self.send(number)
        if self.process is not None:
            await self.process.wait()

    def append_garbage(self, data):
        """Adds bytes to the newest journal file of a stopped process."""
        files = sorted((self.folder / "data").glob("segment-*"))
        if files:
            with open(files[-1], "ab") as file:
                file.write(data)

    def limit_files(self, size_bytes):
        """Bounds the size to which files of the process may grow."""
        if self.process is not None and self.process.poll() is None:
            hard = resource.RLIM_INFINITY
            resource.prlimit(
                self.process.pid, resource.RLIMIT_FSIZE, (size_bytes, hard)
            )

    def lose_disk(self):
        """Removes the data of a stopped process."""
        shutil.rmtree(self.folder / "data", ignore_errors=True)


class PlatformFleet:
    """Cores and fronts on addresses of 127.0.0.0/8.

    Attributes:
        folder: Folder for settings, data and logs.
        cores: PlatformProcess list.
        fronts: PlatformProcess list.
        proxies: FaultProxy by pair of the hosts that it leads from and to.
            Each process dials links on the port on which it listens
            itself, and there a proxy stands for each core.
    """

    __slots__ = ("folder", "net", "cores", "fronts", "proxies")

    def __init__(self, folder, net, cores=3, fronts=2):
        self.folder = pathlib.Path(folder)
        self.net = net
        self.cores = [
            PlatformProcess(
                self, "core", f"127.{net}.1.{n + 1}", LINKS_PORT + n
            )
            for n in range(cores)
        ]
        self.fronts = [
            PlatformProcess(
                self, "front", f"127.{net}.2.{n + 1}", LINKS_PORT + cores + n
            )
            for n in range(fronts)
        ]
        self.proxies = {
            (caller.host, core.host): FaultProxy(
                (core.host, caller.links_port), (core.host, core.links_port)
            )
            for caller in (*self.cores, *self.fronts)
            for core in self.cores
            if caller is not core
        }

    @property
    def control_addresses(self):
        """Addresses of the workers' and the operator's calls."""
        return [f"{core.host}:{PORT}" for core in self.cores]

    @property
    def front_addresses(self):
        """Addresses of the clients' calls."""
        return [f"{front.host}:{FRONT_PORT}" for front in self.fronts]

    def settings(self, process, first):
        """Returns the settings file of a process."""
        seeds = ", ".join(f'"{each}"' for each in self.control_addresses)
        lines = [
            f'ip = "{process.host}"',
            'zone = "ikeja"',
            f"port-range = [{process.links_port}, {process.links_port}]",
            f"seeds = [{seeds}]",
            f"bootstrap = {'true' if first else 'false'}",
        ]
        if process.script == "core":
            lines.append(f'data-dir = "{process.folder / "data"}"')
            lines += ["[listen]", f'control = "{process.host}:{PORT}"']
        else:
            lines += [
                "[listen]",
                f'front = "{process.host}:{FRONT_PORT}"',
                f'readiness-addr = "{process.host}:{READY_PORT}"',
            ]
        return "\n".join(lines) + "\n"

    def proxies_of(self, host):
        """Returns the proxies that lead from or to a host."""
        return [p for pair, p in self.proxies.items() if host in pair]

    async def start(self, nursery):
        """Starts the proxies, and all programs for the first time."""
        for proxy in self.proxies.values():
            await nursery.start(proxy.run)
        for process in (*self.cores, *self.fronts):
            await process.start(first=True)

    async def stop(self):
        """Ends all programs."""
        for process in (*self.cores, *self.fronts):
            await process.stop()

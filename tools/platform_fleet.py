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
CONTROL_PORT = 8_623
LINKS_PORT = 7_060
FRONT_PORT = 8_624
READY_PORT = 8_622


class PlatformProcess:
    """One program on one address.

    Attributes:
        fleet: PlatformFleet that it belongs to.
        script: ``front`` or ``core``.
        host: Loopback address of its machine.
        links_port: Port on which it listens for links, and to which it
            connects on the address of another process.
        process: The process that was started last, or None.
        must_run: Whether its end would be unexpected.
        restart_lock: trio.Lock held by the fault that stops and starts it.
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
        """Whether it has ended although no fault stopped it."""
        return self.must_run and self.process.poll() is not None

    @property
    def folder(self):
        """Folder of its settings, data and log."""
        return self.fleet.folder / self.host

    async def start(self, bootstrap=False):
        """Starts the program.

        Args:
            bootstrap: Whether a control may form a new cluster.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        path = self.folder / "local.toml"
        path.write_text(self.fleet.settings(self, bootstrap))
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

    def send(self, signal_number):
        """Sends a signal to this process only."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal_number)

    async def stop(self, signal_number=signal.SIGKILL):
        """Ends the process with a signal and waits for it.

        A paused process is resumed before it gets the signal.
        """
        self.must_run = False
        self.send(signal.SIGCONT)
        self.send(signal_number)
        if self.process is not None:
            await self.process.wait()

    def append_garbage(self, data):
        """Appends bytes to the newest journal file of a stopped process."""
        files = sorted((self.folder / "data").glob("segment-*"))
        if files:
            with open(files[-1], "ab") as file:
                file.write(data)

    def limit_files(self, size_bytes):
        """Limits the size of the files that the process writes."""
        if self.process is not None and self.process.poll() is None:
            hard = resource.RLIM_INFINITY
            resource.prlimit(
                self.process.pid, resource.RLIMIT_FSIZE, (size_bytes, hard)
            )

    def lose_disk(self):
        """Deletes the data of a stopped process."""
        shutil.rmtree(self.folder / "data", ignore_errors=True)


class PlatformFleet:
    """Cores and fronts on addresses of 127.0.0.0/8.

    Attributes:
        folder: Folder for settings, data and logs.
        net: Second byte of the addresses.
        cores: List of PlatformProcess, the controls (``core.py``).
        fronts: List of PlatformProcess.
        proxies: Maps (host of the caller, host of the core) to the
            FaultProxy of the links between them. Each process connects to
            its own links port on the address of a core; the proxy listens
            there and relays to the core's own port.
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
        """Addresses that workers and the operator call."""
        return [f"{core.host}:{CONTROL_PORT}" for core in self.cores]

    @property
    def front_addresses(self):
        """Addresses that clients call."""
        return [f"{front.host}:{FRONT_PORT}" for front in self.fronts]

    def settings(self, process, bootstrap):
        """Returns the content of the settings file of a process."""
        seeds = ", ".join(f'"{each}"' for each in self.control_addresses)
        lines = [
            f'ip = "{process.host}"',
            'zone = "ikeja"',
            f"port-range = [{process.links_port}, {process.links_port}]",
            f"seeds = [{seeds}]",
            f"bootstrap = {'true' if bootstrap else 'false'}",
        ]
        if process.script == "core":
            lines.append(f'data-dir = "{process.folder / "data"}"')
            lines += ["[listen]", f'control = "{process.host}:{CONTROL_PORT}"']
        else:
            lines += [
                "[listen]",
                f'front = "{process.host}:{FRONT_PORT}"',
                f'readiness-addr = "{process.host}:{READY_PORT}"',
            ]
        return "\n".join(lines) + "\n"

    def proxies_of(self, host):
        """Returns the proxies of the links from and to a host."""
        return [p for pair, p in self.proxies.items() if host in pair]

    async def start(self, nursery):
        """Starts the proxies, and all programs for the first time."""
        for proxy in self.proxies.values():
            await nursery.start(proxy.run)
        for process in (*self.cores, *self.fronts):
            await process.start(bootstrap=True)

    async def stop(self):
        """Ends all programs."""
        for process in (*self.cores, *self.fronts):
            await process.stop()

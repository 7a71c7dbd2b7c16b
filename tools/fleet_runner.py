"""Starts and stops the processes of a deployment on this machine.

The demo, the soaks, tests and benchmarks use it. Run as a script, it starts
a deployment and stops it when standard input ends.
"""

import json
import sys
import tempfile
import time

import httpcore
import trio
from deployments import HOST, SERVICES, Deployment
from processes import ROOT, ManagedProcess

STANDINS = ROOT / "tools" / "standins"
HEALTH_INTERVAL_S = 0.1
HEALTH_TIMEOUT_S = 40.0
HTTP_TIMEOUT_S = 5.0
STOP_TIMEOUT_S = 15.0
ENDPOINTS_PER_ZONE = 2


class HealthError(Exception):
    """A process ended or did not become healthy in time."""


class HttpAnswer:
    """Status and body of an HTTP response."""

    __slots__ = ("status", "body")

    def __init__(self, status, body):
        self.status = status
        self.body = body

    @property
    def document(self):
        """The parsed JSON body."""
        return json.loads(self.body)


class FleetRunner:
    """Starts, queries and stops the processes of a deployment.

    Attributes:
        deployment: The Deployment.
        processes: Maps a name such as ``entry/ikeja-1`` to its
            ManagedProcess.
        faults: Injected faults in the format of ``outcomes.py``.
        faulted_nodes: Ids of the VMs under an injected failure.
        pool: HTTP connection pool for requests of the tool.
    """

    __slots__ = ("deployment", "processes", "faults", "faulted_nodes", "pool")

    def __init__(self, deployment):
        self.deployment = deployment
        self.processes = {}
        self.faults = []
        self.faulted_nodes = set()
        self.pool = httpcore.AsyncConnectionPool(max_connections=64)

    def add(self, name, arguments, piped=False):
        """Adds a process without starting it; returns it."""
        log_path = self.deployment.path("logs", name.replace("/", "-"))
        process = ManagedProcess(
            name,
            [str(argument) for argument in arguments],
            log_path,
            piped,
        )
        self.processes[name] = process
        return process

    def add_processes(
        self, endpoints_per_zone=ENDPOINTS_PER_ZONE, vms=(), fleet_path=None
    ):
        """Adds all processes of the deployment.

        Args:
            endpoints_per_zone: Endpoints of each service in each zone.
            vms: ``VM@ZONE`` of each worker of the platform stand-in.
            fleet_path: Path of a fleet version as JSON, or None.
                If given, a stand-in that publishes this version runs in
                place of each control.
        """
        deployment = self.deployment
        deployment.write()
        relays = [r.to_argument() for r in deployment.relays.values()]
        self.add("relays", [ROOT / "tools" / "relays.py", *relays], True)
        self.add(
            "platform",
            [
                STANDINS / "platform_server.py",
                *("--port", deployment.platform_port, "--vms", *vms),
            ],
        )
        for node in deployment.nodes.values():
            self.add_node_processes(node, fleet_path)
        for zone in dict.fromkeys(n.zone for n in deployment.nodes.values()):
            self.add_endpoint_processes(zone, endpoints_per_zone)

    def add_node_processes(self, node, fleet_path):
        """Adds the control and the entry of a VM."""
        path = self.deployment.settings_path(node)
        control = ["-m", "wigeonport.control_main", path]
        if fleet_path is not None:
            control = [STANDINS / "control_publisher.py", path, fleet_path]
        self.add(f"control/{node.node_id}", control)
        entry = ["-m", "wigeonport.entry_main", path]
        self.add(f"entry/{node.node_id}", entry)

    def add_endpoint_processes(self, zone, count):
        """Adds the process with the endpoint stand-ins of a zone."""
        deployment = self.deployment
        arguments = [STANDINS / "endpoint_group.py"]
        for service in SERVICES:
            for number in range(1, count + 1):
                name = f"{service}-{zone}-{number}"
                port = deployment.ports.allocate()
                arguments += ["--member", f"{name}:{service}:{zone}:{port}"]
        for address in deployment.announcement_addresses(zone):
            arguments += ["--entry", address]
        arguments += ["--log", self.run_log_path(zone)]
        self.add(f"endpoints/{zone}", arguments)

    def run_log_path(self, zone):
        """Returns the path of the run log of the endpoints of a zone."""
        return self.deployment.path("runs", f"{zone}.jsonl")

    def processes_of_role(self, role):
        """Returns the processes whose name begins with a role."""
        return [
            process
            for name, process in self.processes.items()
            if name.split("/")[0] == role
        ]

    async def start(self):
        """Starts all processes and waits until they are healthy."""
        for process in self.processes.values():
            await process.start()
        await self.wait_healthy()

    async def wait_healthy(self, names=None):
        """Waits until the programs answer their health checks.

        Args:
            names: Names of the programs; by default all entries and controls.

        Raises:
            HealthError: If a process ended, or after HEALTH_TIMEOUT_S.
        """
        wanted = names or [
            name
            for name in self.processes
            if name.startswith(("entry/", "control/"))
        ]
        with trio.move_on_after(HEALTH_TIMEOUT_S):
            for name in wanted:
                while not await self.is_healthy(name):
                    self.check_running(name)
                    await trio.sleep(HEALTH_INTERVAL_S)
            return
        raise HealthError(
            f"some programs are not healthy after {HEALTH_TIMEOUT_S} s"
        )

    def check_running(self, name):
        """Raises HealthError if the process has ended."""
        process = self.processes[name]
        if not process.running:
            tail = "\n".join(process.log_tail())
            raise HealthError(f"{name} ended; its last log lines:\n{tail}")

    def status_port(self, name):
        """Returns the port on which a program serves health and metrics."""
        role, node_id = name.split("/")
        ports = self.deployment.nodes[node_id].ports
        if role == "entry":
            return ports["entry_status_port"]
        return ports["operators_port"]

    async def is_healthy(self, name):
        """Returns whether the health check of a program answers 200."""
        answer = await self.get(name, "/healthz")
        return answer is not None and answer.status == 200

    async def get(self, name, path):
        """Sends a GET to a program; returns the HttpAnswer, or None."""
        return await self.request("GET", self.status_port(name), path)

    async def request(self, method, port, path, headers=(), body=b""):
        """Sends a request to a local port; returns the HttpAnswer.

        Returns None after a connection error or HTTP_TIMEOUT_S.
        """
        try:
            with trio.fail_after(HTTP_TIMEOUT_S):
                response = await self.pool.request(
                    method,
                    f"http://{HOST}:{port}{path}",
                    headers=[("host", HOST), *headers],
                    content=body,
                )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            trio.TooSlowError,
        ):
            return None
        return HttpAnswer(response.status, response.content)

    async def metrics(self, name):
        """Returns the metrics document of a program, None if unreachable."""
        answer = await self.get(name, "/metrics")
        return None if answer is None else answer.document

    def begin_fault(self, kind, node_ids):
        """Records the start of a fault of the entries of some VMs.

        Returns:
            The fault, for end_fault.
        """
        fault = []
        for node_id in node_ids:
            node = self.deployment.nodes[node_id]
            fault.append(
                {
                    "kind": kind,
                    "process": node.address("callers_port"),
                    "from_ms": time.time_ns() // 1_000_000,
                    "until_ms": 2**53,
                }
            )
        self.faults += fault
        return fault

    def end_fault(self, fault):
        """Records the end of a fault that begin_fault returned."""
        for entry_fault in fault:
            entry_fault["until_ms"] = time.time_ns() // 1_000_000

    async def send_relay_command(self, line):
        """Sends a command line to the process of all relays."""
        await self.processes["relays"].write_command(line)

    async def stop(self):
        """Stops all processes; returns a mapping of name to exit status.

        The callers' side is stopped first: entries, endpoints, controls,
        platform. Then the relays are killed; they have no status in the
        result.
        """
        statuses = {}
        for role in ("entry", "endpoints", "control", "platform"):
            async with trio.open_nursery() as nursery:
                for process in self.processes_of_role(role):
                    nursery.start_soon(self.stop_process, process, statuses)
        await self.processes["relays"].kill()
        return statuses

    async def stop_process(self, process, statuses):
        """Stops a running process and adds its exit status to statuses."""
        if process.running:
            process.thaw()
            statuses[process.name] = await process.stop(STOP_TIMEOUT_S)

    def kill_all(self):
        """Kills all running processes without waiting for their end."""
        for process in self.processes.values():
            if process.running:
                process.process.kill()


async def run_until_input_ends():
    """Runs a deployment until standard input ends; prints exit statuses."""
    with tempfile.TemporaryDirectory(prefix="wigeonport-") as folder:
        runner = FleetRunner(Deployment(folder))
        runner.add_processes()
        try:
            await runner.start()
            print("folder of the files:", folder)
            print(
                "addresses of the entries:",
                *runner.deployment.entry_addresses(),
            )
            await trio.to_thread.run_sync(sys.stdin.read)
            print(json.dumps(await runner.stop(), indent=2))
        finally:
            runner.kill_all()


if __name__ == "__main__":
    trio.run(run_until_input_ends)

"""Launcher of a deployment's processes for the demo, soak and benchmarks."""

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
    """A process ended or did not get healthy in time."""


class HttpAnswer:
    """Status and body of a response to a tool."""

    __slots__ = ("status", "body")

    def __init__(self, status, body):
        self.status = status
        self.body = body

    @property
    def document(self):
        """The JSON body."""
        return json.loads(self.body)


class FleetRunner:
    """Runs the processes of a deployment.

    Attributes:
        deployment: The Deployment.
        processes: ManagedProcess by name, ``entry/ikeja-1`` for example.
        faults: Injected faults, as the checker of outcomes reads them.
        faulted_nodes: VMs that a failure is using.
        pool: HTTP connections of the tool.
    """

    __slots__ = ("deployment", "processes", "faults", "faulted_nodes", "pool")

    def __init__(self, deployment):
        self.deployment = deployment
        self.processes = {}
        self.faults = []
        self.faulted_nodes = set()
        self.pool = httpcore.AsyncConnectionPool(max_connections=64)

    def add(self, name, arguments, piped=False):
        """Adds a process that is not started yet."""
        log_path = self.deployment.path("logs", name.replace("/", "-"))
        process = ManagedProcess(
            name, [str(part) for part in arguments], log_path, piped
        )
        self.processes[name] = process
        return process

    def add_processes(
        self, endpoints_per_zone=ENDPOINTS_PER_ZONE, vms=(), document=None
    ):
        """Adds all processes of the deployment.

        Args:
            endpoints_per_zone: Endpoints of each service in each zone.
            vms: Workers that the platform stand-in knows.
            document: Path of a fixed fleet version. If given, a publisher
                of this version runs in place of each control.
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
            self.add_node_processes(node, document)
        for zone in dict.fromkeys(n.zone for n in deployment.nodes.values()):
            self.add_endpoint_processes(zone, endpoints_per_zone)

    def add_node_processes(self, node, document):
        """Adds the programs of a VM."""
        path = self.deployment.settings_path(node)
        control = ["-m", "wigeonport.control_main", path]
        if document is not None:
            control = [STANDINS / "control_publisher.py", path, document]
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
        """Returns the path of the run log of a zone's endpoints."""
        return self.deployment.path("runs", f"{zone}.jsonl")

    def processes_of_role(self, role):
        """Returns the processes of a role."""
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
        """Waits until the programs answer their health check.

        Raises:
            HealthError: If a process ended or the time is up.
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
        raise HealthError(f"not healthy within {HEALTH_TIMEOUT_S} s")

    def check_running(self, name):
        """Raises HealthError if the process has ended."""
        process = self.processes[name]
        if not process.running:
            tail = "\n".join(process.log_tail())
            raise HealthError(f"{name} ended:\n{tail}")

    def status_port(self, name):
        """Returns the port that serves health and metrics of a program."""
        role, node_id = name.split("/")
        ports = self.deployment.nodes[node_id].ports
        if role == "entry":
            return ports["entry_status_port"]
        return ports["operators_port"]

    async def is_healthy(self, name):
        """Returns whether a program answers that it serves."""
        answer = await self.get(name, "/healthz")
        return answer is not None and answer.status == 200

    async def get(self, name, path):
        """Returns the HttpAnswer of a program, or None."""
        return await self.request("GET", self.status_port(name), path)

    async def request(self, method, port, path, headers=(), body=b""):
        """Returns an HttpAnswer, or None if there was none."""
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
        """Returns the metrics document of a program, or None."""
        answer = await self.get(name, "/metrics")
        return None if answer is None else answer.document

    def begin_fault(self, kind, node_ids):
        """Records the start of a fault of some entries."""
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
        """Records the end of a fault."""
        for part in fault:
            part["until_ms"] = time.time_ns() // 1_000_000

    async def send_relay_command(self, line):
        """Sends a command to the relays."""
        await self.processes["relays"].command(line)

    async def stop(self):
        """Stops all processes; returns the exit status by name.

        Callers' side first: entries, endpoints, controls, then the rest.
        """
        statuses = {}
        for role in ("entry", "endpoints", "control", "platform"):
            async with trio.open_nursery() as nursery:
                for process in self.processes_of_role(role):
                    nursery.start_soon(self.stop_one, process, statuses)
        await self.processes["relays"].kill()
        return statuses

    async def stop_one(self, process, statuses):
        """Stops one process and notes its exit status."""
        if process.running:
            process.thaw()
            statuses[process.name] = await process.stop(STOP_TIMEOUT_S)

    def kill_all(self):
        """Ends whatever still runs; for use when a tool fails."""
        for process in self.processes.values():
            if process.running:
                process.process.kill()


async def run_until_enter():
    """Runs a deployment until standard input ends."""
    with tempfile.TemporaryDirectory(prefix="wigeonport-") as folder:
        runner = FleetRunner(Deployment(folder))
        runner.add_processes()
        try:
            await runner.start()
            print("folder:", folder)
            print("entries:", *runner.deployment.entries())
            await trio.to_thread.run_sync(sys.stdin.read)
            print(json.dumps(await runner.stop(), indent=2))
        finally:
            runner.kill_all()


if __name__ == "__main__":
    trio.run(run_until_enter)

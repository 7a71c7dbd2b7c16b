"""Stand-ins for the operators' platform and for the network path to it.

The platform follows PROTOCOL.md, section "Machines": it lists the machines
and carries out moves and upkeeps. A HeldLink is the path of one control to
it, which a partition holds up.
"""

import json
import pathlib
import sys
import time

import trio

sys.path.append(str(pathlib.Path(__file__).resolve().parent.parent))

from wigeonport.servers import (  # noqa: E402
    HttpResponse,
    answer_lifespan,
    read_body,
    send_response,
    serve_http,
)

READ_BYTES = 65_536
UPKEEP_S = 2.0
MAX_BODY_BYTES = 65_536


class Machine:
    """A machine of the platform.

    Attributes:
        name: Its name.
        pool: Service whose pool it is in.
        worker: EmulatedWorker that runs on it.
        busy_until: Monotonic time, in s, at which its upkeep ends.
        upkept: Numbers of the waves whose upkeep of it has begun.
        fence: Highest fencing token of an order for it.
        holder: Holder of that order.
    """

    def __init__(self, name, pool, worker):
        self.name = name
        self.pool = pool
        self.worker = worker
        self.busy_until = 0.0
        self.upkept = set()
        self.fence = 0
        self.holder = ""

    @property
    def state(self):
        """State as the platform lists it."""
        return "upkeep" if time.monotonic() < self.busy_until else "up"

    def row(self):
        """Returns the entry of the list of machines."""
        return {
            "machine": self.name,
            "pool": self.pool,
            "state": self.state,
            "zone": "ikeja",
            "labels": ["a", "r1"],
            "capacity": {"cpu": 8_000, "mem-mb": 16_000, "gpu": 0},
            "id": self.worker.worker_id,
        }


class Cloud:
    """The platform.

    Attributes:
        machines: Maps name to Machine.
        record: Record of the case.
        available: Whether it answers; otherwise each call gets a 503 and has
            no effect.
        violations: Texts of the orders that broke rule ONE.
        refused_at: Monotonic time of the last order that got a 503.
    """

    def __init__(self, machines, record):
        self.machines = {machine.name: machine for machine in machines}
        self.record = record
        self.available = True
        self.violations = []
        self.refused_at = None

    async def __call__(self, scope, receive, send):
        """Handles one request."""
        if scope["type"] != "http":
            await answer_lifespan(receive, send)
            return
        body = await read_body(receive, MAX_BODY_BYTES)
        headers = dict(scope["headers"])
        name = f"{scope['method']} {scope['path']}"
        status, document = self.answer(name, headers, body)
        data = json.dumps(document).encode()
        await send_response(send, HttpResponse(status, data))

    def answer(self, name, headers, body):
        """Returns status and document of the response to a call."""
        if name == "GET /v1/machines":
            if not self.available:
                return 503, {}
            rows = [machine.row() for machine in self.machines.values()]
            return 200, {"machines": rows}
        document = json.loads(body)
        holder = headers[b"x-lease-holder"].decode()
        fence = int(headers[b"x-fencing-token"])
        status, reason = self.carry_out(name, document, holder, fence)
        self.record(f"{name} {document} {holder} fence {fence} -> {status}")
        return status, {"reason": reason}

    def carry_out(self, name, document, holder, fence):
        """Carries out an order; returns status and reason."""
        if not self.available:
            self.refused_at = time.monotonic()
            return 503, "unavailable"
        machine = self.machines.get(document["machine"])
        if machine is None or name != "POST /v1/machine-upkeep":
            return 400, "unknown"
        if fence < machine.fence:
            self.violations.append(
                f"{machine.name}: an order of {holder} with fence {fence} "
                f"after one of {machine.holder} with {machine.fence}"
            )
            self.record(f"RULE ONE BROKEN, {self.violations[-1]}")
        else:
            machine.fence, machine.holder = fence, holder
        if document["wave"] in machine.upkept:
            return 200, ""
        if machine.state != "up":
            return 409, "busy"
        machine.upkept.add(document["wave"])
        machine.busy_until = time.monotonic() + UPKEEP_S
        machine.worker.crash()
        return 200, ""


class HeldLink:
    """Relays the connections of one control to the platform.

    During a partition the bytes on open connections are held up, as is the
    end of a connection, and are delivered when it heals. Connections that are
    opened during it lead nowhere.

    Attributes:
        listen: Host and port on which it accepts.
        target: Host and port of the platform.
        flowing: trio.Event that is set while there is no partition.
    """

    def __init__(self, listen, target):
        self.listen = listen
        self.target = target
        self.flowing = trio.Event()
        self.flowing.set()

    def cut(self):
        """Starts a partition."""
        self.flowing = trio.Event()

    def heal(self):
        """Ends the partition."""
        self.flowing.set()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Accepts connections until cancelled."""
        host, port = self.listen
        await trio.serve_tcp(
            self.relay, port, host=host, task_status=task_status
        )

    async def relay(self, stream):
        """Relays one connection until both sides have ended it."""
        if not self.flowing.is_set():
            await self.flowing.wait()
            return
        target = await trio.open_tcp_stream(*self.target)
        async with target, trio.open_nursery() as nursery:
            nursery.start_soon(self.copy, stream, target)
            nursery.start_soon(self.copy, target, stream)

    async def copy(self, source, sink):
        """Forwards the bytes of one direction and its end, in order."""
        try:
            while True:
                data = await source.receive_some(READ_BYTES)
                await self.flowing.wait()
                if not data:
                    await sink.send_eof()
                    return
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return


async def serve_cloud(cloud, host, port):
    """Serves the platform until cancelled."""
    await serve_http(cloud, host, port, trio.Event(), 1_000)

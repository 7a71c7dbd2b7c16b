"""HTTP stand-in for the platform that runs the workers.

- ``POST /v1/commands``: one command as a JSON object with ``kind``,
  ``command_id``, ``term`` and the fields of the kind. 200 ``accepted`` or
  ``repeated``, 409 ``stale term``, 422 refused with a reason.
- ``GET /v1/reports?after=N``: the visible reports with a sequence above N.
- ``GET /v1/workers``: the current states of VMs and tasks, for checks.
- ``POST /v1/faults``: ``{"vm": ..., "fault": "refuse"|"fail"|"down"|"none"}``.

The module is not called ``platform``, since its folder is the first one on
the path of the scripts in it and would hide the standard library's module.
"""

import argparse
import json
import signal
import time
import urllib.parse

import trio
from platform_states import FAILED, READY, Platform

from wigeonport.channels import Mailbox, ask
from wigeonport.registries import Registry
from wigeonport.servers import (
    answer_lifespan,
    read_body,
    respond_json,
    send_response,
    serve_http,
)

routes = Registry("platform route")

MAX_BODY_BYTES = 1_048_576
REPORT_BATCH = 2_000
TICK_MS = 100
TICKS_PER_MEASUREMENT = 10
ASK_TIMEOUT_MS = 2_000
MAILBOX_BOUND = 256
STOP_GRACE_MS = 2_000


class Query:
    """One HTTP request to the platform.

    Attributes:
        route: Method and path.
        arguments: Maps a query parameter to the list of its values.
        document: JSON body, or None.
        reply: Reply channel for the HttpResponse.
    """

    __slots__ = ("route", "arguments", "document", "reply")

    def __init__(self, route, arguments, document, reply):
        self.route = route
        self.arguments = arguments
        self.document = document
        self.reply = reply


@routes.register("POST /v1/commands")
def execute_command(platform, query, now_ms):
    """Executes a command and returns its result."""
    return respond_json(*platform.execute(query.document, now_ms))


@routes.register("GET /v1/reports")
def show_reports(platform, query, now_ms):
    """Returns the visible reports, at most REPORT_BATCH of them."""
    after = int(query.arguments.get("after", ["0"])[0])
    visible = [
        report
        for report in platform.reports
        if report["sequence"] > after and report["visible_ms"] <= now_ms
    ]
    document = {"term": platform.term, "reports": visible[:REPORT_BATCH]}
    return respond_json(200, document)


@routes.register("GET /v1/workers")
def show_workers(platform, query, now_ms):
    """Returns the state of every VM and the jobs of all tasks."""
    states = {vm.name: vm.state for vm in platform.vms.values()}
    tasks = [task.job for task in platform.tasks.values()]
    document = {"term": platform.term, "workers": states, "tasks": tasks}
    return respond_json(200, document)


@routes.register("POST /v1/faults")
def set_fault(platform, query, now_ms):
    """Sets or clears the fault of a VM.

    ``refuse`` refuses commands, ``fail`` fails tasks at their start, ``down``
    fails the VM, and any other value clears the fault.
    """
    vm = platform.vms.get(query.document.get("vm"))
    if vm is None:
        return respond_json(404, {"error": "no such VM"})
    vm.fault = query.document["fault"]
    if vm.fault == "down":
        platform.set_vm_state(vm, FAILED, now_ms)
    elif vm.state == FAILED:
        platform.set_vm_state(vm, READY, now_ms)
    return respond_json(200, {"vm": vm.name, "fault": vm.fault})


async def run_platform(inbound, platform):
    """Answers queries, and ends drains, reboots and leases that are due.

    This task is the only one that owns the state.
    """
    ticks, last_tick_ms = 0, 0
    while True:
        query = await inbound.get_within(TICK_MS)
        now_ms = time.time_ns() // 1_000_000
        if now_ms - last_tick_ms >= TICK_MS:
            last_tick_ms = now_ms
            ticks += 1
            platform.tick(now_ms)
            if ticks % TICKS_PER_MEASUREMENT == 0:
                platform.report_usage(now_ms)
                platform.report_zones(now_ms)
        if query is not None:
            route = routes.get(query.route)
            if route.is_error():
                response = respond_json(404, {"error": route.error})
            else:
                response = route.ok(platform, query, now_ms)
            query.reply.send(response)


class PlatformApp:
    """ASGI app that sends requests to the task that owns the state."""

    __slots__ = ("outbound",)

    def __init__(self, outbound):
        self.outbound = outbound

    async def __call__(self, scope, receive, send):
        """Handles one connection scope."""
        if scope["type"] == "lifespan":
            return await answer_lifespan(receive, send)
        body = await read_body(receive, MAX_BODY_BYTES)
        try:
            document = json.loads(body) if body else None
        except ValueError:
            response = respond_json(400, {"error": "the body is not JSON"})
            return await send_response(send, response)
        arguments = urllib.parse.parse_qs(scope["query_string"].decode())
        route = f"{scope['method']} {scope['path']}"
        answer = await ask(
            self.outbound,
            lambda reply: Query(route, arguments, document, reply),
            ASK_TIMEOUT_MS,
        )
        if answer.is_error():
            response = respond_json(503, {"error": answer.error})
            return await send_response(send, response)
        return await send_response(send, answer.ok)


async def stop_on_signal(stopping):
    """Sets the event at SIGTERM or SIGINT."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            stopping.set()


async def main_task(options):
    """Runs the stand-in until SIGTERM or SIGINT."""
    inbound = Mailbox("platform", MAILBOX_BOUND)
    stopping = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(stop_on_signal, stopping)
        nursery.start_soon(run_platform, inbound, Platform(options))
        app = PlatformApp(inbound)
        await serve_http(
            app, "127.0.0.1", options.port, stopping, STOP_GRACE_MS
        )
        nursery.cancel_scope.cancel()


def main():
    """Parses the options and runs the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument(
        "--vms", nargs="*", default=[], help="NAME@ZONE of each VM"
    )
    parser.add_argument("--lag-ms", type=int, default=500)
    parser.add_argument("--drain-ms", type=int, default=500)
    parser.add_argument("--reboot-ms", type=int, default=1_000)
    trio.run(main_task, parser.parse_args())


if __name__ == "__main__":
    main()

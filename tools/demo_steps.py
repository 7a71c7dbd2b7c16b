"""Steps of the demo, in order, and what each of them proves."""

import json
import signal
import time

import trio
from demands import generate_arrivals
from load import run_load
from operators_client import load_fleet_patch

from wigeonport.findings import Findings
from wigeonport.registries import Registry
from wigeonport.timelines import merge, read_lines, render

steps = Registry("demo step")

WAIT_S = 20.0
POLL_S = 0.1
STOP_S = 12.0
PRINTED_EVENTS = 40
PRINTED_WIDTH = 120
DRAINED_POOL = "cortege"
BUDGET = 2


class Demo:
    """State of a demo run.

    Attributes:
        runner: FleetRunner.
        operators: OperatorsClient.
        started_s: Monotonic time of the start.
        time_line: Pairs of ms since the start and text.
        broken: Pairs of guarantee and what was seen.
        checked: Names of the guarantees that were checked.
        random: Source of random numbers.
        documents: What later steps need, by name.
    """

    __slots__ = (
        "runner",
        "operators",
        "started_s",
        "time_line",
        "broken",
        "checked",
        "random",
        "documents",
    )

    def __init__(self, runner, operators, random):
        self.runner = runner
        self.operators = operators
        self.started_s = time.monotonic()
        self.time_line = []
        self.broken = []
        self.checked = set()
        self.random = random
        self.documents = {}

    def note(self, text):
        """Adds an event to the time line and prints it."""
        at_ms = round((time.monotonic() - self.started_s) * 1_000)
        self.time_line.append((at_ms, text))
        print(f"{at_ms:>7} ms  {text}", flush=True)

    def check(self, guarantee, held, text):
        """Notes whether a guarantee held."""
        self.checked.add(guarantee)
        if held:
            self.note(f"{guarantee}: {text}")
            return
        self.broken.append((guarantee, text))
        self.note(f"{guarantee} BROKEN: expected that {text}")

    async def until(self, condition):
        """Returns the first true result of an async function, or None."""
        with trio.move_on_after(WAIT_S):
            while True:
                result = await condition()
                if result:
                    return result
                await trio.sleep(POLL_S)
        return None


@steps.register("01 start the processes")
async def start_processes(demo):
    """Starts 7 VMs in three zones, the platform and the endpoints."""
    await demo.runner.start()
    count = len(demo.runner.processes)
    demo.note(f"{count} processes are healthy")


@steps.register("02 apply the fleet as version 1")
async def apply_first_version(demo):
    """Submits the first patch until there is a leader."""
    patch = load_fleet_patch()

    async def submit():
        answer = await demo.operators.submit(
            "ikeja-1", "demo-1", 0, patch["reason"], patch["operations"]
        )
        return answer if answer and answer.status == 200 else None

    answer = await demo.until(submit)
    version = answer and answer.document["version"]
    demo.check("R8", version == 1, "the first patch became version 1")
    await expect_everywhere(demo, 1)


async def expect_everywhere(demo, version):
    """Waits until a control of each zone sees the version everywhere."""
    started_s = time.monotonic()
    for node_id in ("ikeja-1", "lekki-1", "yaba-1"):

        async def in_force(node_id=node_id):
            status = await demo.operators.status(node_id)
            return (
                status is not None
                and status["version"] == version
                and status["in_force_everywhere"]
            )

        seen = await demo.until(in_force)
        demo.check(
            "R8",
            bool(seen),
            f"{node_id} sees version {version} in force on all 7 entries",
        )
    spent_ms = round((time.monotonic() - started_s) * 1_000)
    demo.note(f"version {version} was in force after at most {spent_ms} ms")


@steps.register("03 let callers begin")
async def begin_load(demo):
    """Notes the start; the load runs beside the other steps."""
    demo.documents["load"].set()
    demo.note("callers send plain and keyed requests to all entries")
    await trio.sleep(2)


async def run_callers(demo, services, seconds, options):
    """Runs the callers of all later steps; returns their summary."""
    await demo.documents["load"].wait()
    arrivals = generate_arrivals(
        services, seconds * 1_000, 4, 3_000, demo.random
    )
    path = demo.runner.deployment.path("callers.jsonl")
    return await run_load(arrivals, options, path, 1)


@steps.register("04 apply a patch")
async def apply_patch(demo):
    """Applies version 2 and waits until all processes report it."""
    operations = [
        {
            "operation": "set_service_capacity",
            "service": "crusade",
            "capacity_workers": 5,
        }
    ]
    demo.documents["operations"] = operations
    answer = await demo.operators.submit(
        "lekki-1", "demo-2", 1, "crusade march", operations
    )
    demo.documents["first answer"] = answer and answer.body
    held = answer is not None and answer.status == 200
    demo.check("R8", held, "the patch against version 1 was accepted")
    await expect_everywhere(demo, 2)


@steps.register("05 resend the patch")
async def resend_patch(demo):
    """Resends the same patch id to another control."""
    answer = await demo.operators.submit(
        "yaba-1", "demo-2", 1, "crusade march", demo.documents["operations"]
    )
    held = answer and answer.body == demo.documents["first answer"]
    demo.check("R8", bool(held), "a resent patch gets the first answer")


@steps.register("06 submit a stale patch")
async def submit_stale(demo):
    """Submits another patch against version 1."""
    answer = await demo.operators.submit(
        "ikeja-2", "demo-3", 1, "late", demo.documents["operations"]
    )
    held = (
        answer is not None
        and answer.status == 409
        and answer.document["why"] == "stale"
        and answer.document["changes"]
    )
    text = "a patch against version 1 is refused with the changes since"
    demo.check("R8", bool(held), text)


@steps.register("07 take VMs away within the budget")
async def exceed_budget(demo):
    """Asks for one VM more than the budget of a service allows."""
    workers = [f"{DRAINED_POOL}-{n}" for n in range(1, BUDGET + 2)]

    async def answered():
        answer = await grant(demo, "demo-too-many", workers)
        # The leader answers once it knows the health of the VMs.
        known = answer is not None and answer.status not in (503, 504)
        return answer if known else None

    answer = await demo.until(answered)
    refused = answer is not None and answer.status == 409
    text = f"a grant for {BUDGET + 1} VMs of {DRAINED_POOL} is refused"
    demo.check("R1", refused, text)


async def grant(demo, grant_id, workers):
    """Asks the leader, which knows the health of the VMs, for a grant."""
    status = await demo.operators.status("lekki-1")
    if status is None:
        return None
    return await demo.operators.send(
        status["leader"].partition("/")[0],
        "POST",
        "/v1/maintenance/grant",
        {"grant": grant_id, "workers": workers, "reason": "demo"},
    )


@steps.register("08 drain a VM")
async def drain_vm(demo):
    """Takes one VM away under a grant and brings it back."""
    worker = f"{DRAINED_POOL}-1"
    answer = await grant(demo, "demo-drain", [worker])
    held = answer is not None and answer.status == 200
    seen = answer and answer.body.decode().strip()
    demo.check("R1", held, f"one VM within the budget is granted: {seen}")
    if not held:
        return
    drained = await wait_for_state(demo, worker, "drained")
    demo.check("R1", drained, f"the planner drained {worker}")
    answer = await demo.operators.send(
        "lekki-1",
        "POST",
        "/v1/maintenance/end",
        {"grant": "demo-drain", "healthy": [worker]},
    )
    held = answer is not None and answer.status == 200
    demo.check("R1", held, f"the grant of {worker} is ended")
    returned = await wait_for_state(demo, worker, "ready")
    demo.check("R1", returned, f"the planner returned {worker} to work")


async def wait_for_state(demo, worker, wanted):
    """Returns whether the platform shows a VM in a state in time."""
    port = demo.runner.deployment.platform_port

    async def reached():
        answer = await demo.runner.request("GET", port, "/v1/workers")
        state = answer and answer.document["workers"].get(worker)
        return state == wanted

    return bool(await demo.until(reached))


@steps.register("09 let an endpoint leave")
async def leave_endpoint(demo):
    """Lets one endpoint of each zone announce that it leaves."""
    for process in demo.runner.processes_of_role("endpoints"):
        process.send(signal.SIGUSR1)
    demo.note("one endpoint in each zone announces that it leaves")
    await trio.sleep(1)


@steps.register("10 stop an entry")
async def stop_entry(demo):
    """Stops one entry with SIGTERM while it serves."""
    process = demo.runner.processes["entry/lekki-2"]
    status = await process.stop(STOP_S)
    demo.check("R7", status == 0, "entry/lekki-2 exits 0 after SIGTERM")


@steps.register("11 kill an entry")
async def kill_entry(demo):
    """Kills one entry; callers continue at the others."""
    demo.runner.begin_fault("kill", ["yaba-2"])
    await demo.runner.processes["entry/yaba-2"].kill()
    demo.note("entry/yaba-2 was killed")
    await trio.sleep(2)


@steps.register("12 compare the VMs' pools")
async def compare_pools(demo):
    """Reads the fleet from three controls."""
    seen = []
    for node_id in ("ikeja-1", "lekki-1", "yaba-1"):
        answer = await demo.operators.send(node_id, "GET", "/v1/fleet")
        if answer is None or answer.status != 200:
            continue
        text = json.dumps(answer.document)
        workers = find_workers(answer.document)
        seen.append((len(workers), len(set(workers)), "pool" in text))
    held = len(seen) == 3 and len(set(seen)) == 1 and seen[0][0] == 30
    held = held and seen[0][0] == seen[0][1]
    text = "three controls list 30 VMs, each once and with one pool"
    demo.check("R2", held, text)


def find_workers(document):
    """Returns ``vm pool`` of each worker of the fleet document."""
    fleet = document.get("fleet", document)
    return [worker["id"] for worker in fleet["workers"] if worker["pool"]]


@steps.register("13 merge the event logs")
async def merge_events(demo):
    """Prints the latest events of all processes in causal order."""
    findings, events = Findings(), []
    names = [name for name in demo.runner.processes if "/" in name]
    for name in names:
        if not name.startswith(("entry/", "control/")):
            continue
        answer = await demo.runner.get(name, "/events")
        if answer is not None and answer.status == 200:
            events += read_lines(name, answer.body.splitlines(), findings)
    merged = merge(events)
    demo.note(f"{len(merged)} events of the running programs, merged:")
    for event in merged[-PRINTED_EVENTS:]:
        print(f"            {render(event)}"[:PRINTED_WIDTH])
    for line in findings.lines():
        demo.note(f"event log: {line}")

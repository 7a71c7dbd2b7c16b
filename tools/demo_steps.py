"""Steps of the demo in order; each checks some of the guarantees."""

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

CONDITION_TIMEOUT_S = 20.0
POLL_S = 0.1
STOP_TIMEOUT_S = 12.0
MAX_PRINTED_EVENTS = 40
MAX_PRINTED_WIDTH = 120
DRAINED_POOL = "cortege"
MAX_UNAVAILABLE = 2


class Demo:
    """State of a demo run.

    Attributes:
        runner: FleetRunner.
        operators: OperatorsClient.
        started_s: Monotonic time at the start.
        timeline: Pairs of a time, in ms since the start, and a text.
        violations: Pairs of a guarantee and the check that failed.
        checked: Names of the guarantees that were checked.
        random: Source of random numbers.
        step_values: Maps a name to a value that one step leaves to others.
    """

    __slots__ = (
        "runner",
        "operators",
        "started_s",
        "timeline",
        "violations",
        "checked",
        "random",
        "step_values",
    )

    def __init__(self, runner, operators, random):
        self.runner = runner
        self.operators = operators
        self.started_s = time.monotonic()
        self.timeline = []
        self.violations = []
        self.checked = set()
        self.random = random
        self.step_values = {}

    def log(self, text):
        """Adds an event to the timeline and prints it."""
        at_ms = round((time.monotonic() - self.started_s) * 1_000)
        self.timeline.append((at_ms, text))
        print(f"{at_ms:>7} ms  {text}", flush=True)

    def check(self, guarantee, held, text):
        """Records and prints the result of one check of a guarantee.

        Args:
            guarantee: Name of the guarantee, R1 to R8.
            held: Whether the requirement was met.
            text: The requirement.
        """
        self.checked.add(guarantee)
        if held:
            self.log(f"{guarantee} held: {text}")
            return
        self.violations.append((guarantee, text))
        self.log(f"{guarantee} VIOLATED: expected that {text}")

    async def wait_until(self, condition):
        """Polls an async function until its result is true; returns it.

        Returns None after CONDITION_TIMEOUT_S.
        """
        with trio.move_on_after(CONDITION_TIMEOUT_S):
            while True:
                result = await condition()
                if result:
                    return result
                await trio.sleep(POLL_S)
        return None


@steps.register("01 start the processes")
async def start_processes(demo):
    """Starts the programs of 7 VMs in three zones, and the stand-ins."""
    await demo.runner.start()
    count = len(demo.runner.processes)
    demo.log(f"{count} processes run; all entries and controls are healthy")


@steps.register("02 apply the fleet as version 1")
async def apply_first_version(demo):
    """Submits the first patch repeatedly until a leader accepts it."""
    patch = load_fleet_patch()

    async def submit():
        answer = await demo.operators.submit(
            "ikeja-1", "demo-1", 0, patch["reason"], patch["operations"]
        )
        return answer if answer and answer.status == 200 else None

    answer = await demo.wait_until(submit)
    version = answer and answer.document["version"]
    demo.check("R8", version == 1, "the first patch becomes version 1")
    await check_version_everywhere(demo, 1)


async def check_version_everywhere(demo, version):
    """Waits until one control per zone reports the version everywhere."""
    started_s = time.monotonic()
    for node_id in ("ikeja-1", "lekki-1", "yaba-1"):

        async def in_force(node_id=node_id):
            status = await demo.operators.status(node_id)
            return (
                status is not None
                and status["version"] == version
                and status["in_force_everywhere"]
            )

        reached = await demo.wait_until(in_force)
        demo.check(
            "R8",
            bool(reached),
            f"{node_id} reports version {version} in force on all 7 entries",
        )
    elapsed_ms = round((time.monotonic() - started_s) * 1_000)
    demo.log(f"waited {elapsed_ms} ms for version {version} on all entries")


@steps.register("03 let callers begin")
async def begin_load(demo):
    """Starts the callers, which run concurrently with the later steps."""
    demo.step_values["load"].set()
    demo.log("callers send requests with and without keys to all entries")
    await trio.sleep(2)


async def run_callers(demo, services, seconds, options):
    """Runs the callers once the load is started; returns their Summary."""
    await demo.step_values["load"].wait()
    arrivals = generate_arrivals(
        services, seconds * 1_000, 4, 3_000, demo.random
    )
    path = demo.runner.deployment.path("callers.jsonl")
    return await run_load(arrivals, options, path, 1)


@steps.register("04 apply a patch")
async def apply_patch(demo):
    """Submits version 2 and waits until it is in force everywhere."""
    operations = [
        {
            "operation": "set_service_capacity",
            "service": "crusade",
            "capacity_workers": 5,
        }
    ]
    demo.step_values["operations"] = operations
    answer = await demo.operators.submit(
        "lekki-1", "demo-2", 1, "crusade march", operations
    )
    demo.step_values["first answer"] = answer and answer.body
    held = answer is not None and answer.status == 200
    demo.check("R8", held, "a patch against version 1 is accepted")
    await check_version_everywhere(demo, 2)


@steps.register("05 resend the patch")
async def resend_patch(demo):
    """Submits the same patch id once more, to another control."""
    answer = await demo.operators.submit(
        "yaba-1", "demo-2", 1, "crusade march", demo.step_values["operations"]
    )
    held = answer and answer.body == demo.step_values["first answer"]
    demo.check(
        "R8", bool(held), "a patch that is sent again gets its first answer"
    )


@steps.register("06 submit a stale patch")
async def submit_stale_patch(demo):
    """Submits another patch against version 1 when 2 is in force."""
    answer = await demo.operators.submit(
        "ikeja-2", "demo-3", 1, "late", demo.step_values["operations"]
    )
    held = (
        answer is not None
        and answer.status == 409
        and answer.document["why"] == "stale"
        and answer.document["changes"]
    )
    text = "a stale patch is refused, with the changes since its version"
    demo.check("R8", bool(held), text)


@steps.register("07 take VMs away within the budget")
async def exceed_budget(demo):
    """Requests a grant for one VM more than the service may miss."""
    workers = [f"{DRAINED_POOL}-{n}" for n in range(1, MAX_UNAVAILABLE + 2)]

    async def get_final_answer():
        answer = await request_grant(demo, "demo-too-many", workers)
        # 503 and 504: the leader does not know the health of the VMs yet.
        final = answer is not None and answer.status not in (503, 504)
        return answer if final else None

    answer = await demo.wait_until(get_final_answer)
    refused = answer is not None and answer.status == 409
    text = (
        f"a grant for {MAX_UNAVAILABLE + 1} VMs of {DRAINED_POOL} is refused"
    )
    demo.check("R1", refused, text)


async def request_grant(demo, grant_id, workers):
    """Requests a grant from the leader, which knows the health of the VMs."""
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
    """Drains one VM under a grant, ends the grant and awaits its return."""
    worker = f"{DRAINED_POOL}-1"
    answer = await request_grant(demo, "demo-drain", [worker])
    held = answer is not None and answer.status == 200
    answer_text = answer and answer.body.decode().strip()
    demo.check(
        "R1",
        held,
        f"a grant for one VM within the budget is given: {answer_text}",
    )
    if not held:
        return
    drained = await wait_for_state(demo, worker, "drained")
    demo.check("R1", drained, f"the planner drains {worker}")
    answer = await demo.operators.send(
        "lekki-1",
        "POST",
        "/v1/maintenance/end",
        {"grant": "demo-drain", "healthy": [worker]},
    )
    held = answer is not None and answer.status == 200
    demo.check("R1", held, f"the grant of {worker} can be ended")
    returned = await wait_for_state(demo, worker, "ready")
    demo.check("R1", returned, f"the planner returns {worker} to work")


async def wait_for_state(demo, worker, wanted):
    """Returns whether a VM reaches a state within CONDITION_TIMEOUT_S.

    Reads the state from the platform stand-in.
    """
    port = demo.runner.deployment.platform_port

    async def reached():
        answer = await demo.runner.request("GET", port, "/v1/workers")
        state = answer and answer.document["workers"].get(worker)
        return state == wanted

    return bool(await demo.wait_until(reached))


@steps.register("09 let an endpoint leave")
async def leave_endpoint(demo):
    """Makes one endpoint of each zone announce that it leaves."""
    for process in demo.runner.processes_of_role("endpoints"):
        process.send(signal.SIGUSR1)
    demo.log("one endpoint in each zone announces that it leaves")
    await trio.sleep(1)


@steps.register("10 stop an entry")
async def stop_entry(demo):
    """Stops one entry with SIGTERM while it serves."""
    process = demo.runner.processes["entry/lekki-2"]
    status = await process.stop(STOP_TIMEOUT_S)
    demo.check(
        "R7", status == 0, "entry/lekki-2 exits with status 0 after SIGTERM"
    )


@steps.register("11 kill an entry")
async def kill_entry(demo):
    """Kills one entry; the callers continue with the others."""
    demo.runner.begin_fault("kill", ["yaba-2"])
    await demo.runner.processes["entry/yaba-2"].kill()
    demo.log("entry/yaba-2 was killed with SIGKILL")
    await trio.sleep(2)


@steps.register("12 compare the VMs' pools")
async def compare_pools(demo):
    """Checks that three controls list each VM once, in one pool."""
    summaries = []
    for node_id in ("ikeja-1", "lekki-1", "yaba-1"):
        answer = await demo.operators.send(node_id, "GET", "/v1/fleet")
        if answer is None or answer.status != 200:
            continue
        text = json.dumps(answer.document)
        workers = list_pool_workers(answer.document)
        summaries.append((len(workers), len(set(workers)), "pool" in text))
    held = (
        len(summaries) == 3
        and len(set(summaries)) == 1
        and summaries[0][0] == 30
    )
    held = held and summaries[0][0] == summaries[0][1]
    text = "three controls list 30 VMs, each once and in one pool"
    demo.check("R2", held, text)


def list_pool_workers(document):
    """Returns the ids of the workers of a fleet document with a pool."""
    fleet = document.get("fleet", document)
    return [worker["id"] for worker in fleet["workers"] if worker["pool"]]


@steps.register("13 merge the event logs")
async def merge_events(demo):
    """Prints the last events of all running programs in causal order."""
    findings, events = Findings(), []
    names = [name for name in demo.runner.processes if "/" in name]
    for name in names:
        if not name.startswith(("entry/", "control/")):
            continue
        answer = await demo.runner.get(name, "/events")
        if answer is not None and answer.status == 200:
            events += read_lines(name, answer.body.splitlines(), findings)
    merged = merge(events)
    demo.log(
        f"{len(merged)} events of the running programs; the last ones, "
        "as Lamport time, wall-clock time in ms, program and event:"
    )
    for event in merged[-MAX_PRINTED_EVENTS:]:
        print(f"            {render(event)}"[:MAX_PRINTED_WIDTH])
    for line in findings.lines():
        demo.log(f"fault in an event log: {line}")

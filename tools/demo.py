"""The demo: three zones as separate processes, with every guarantee checked.

It exits 0 only if all checks held.
"""

import json
import random
import sys
import tempfile

import trio
from callers import CallerOptions
from demo_steps import Demo, run_callers, steps
from deployments import SERVICES, Deployment
from fleet_runner import FleetRunner, HealthError
from operators_client import OperatorsClient, load_fleet_patch
from outcomes import RunLogs, check_guarantees, print_results, read_lines

SEED = 7
LOAD_SECONDS = 16
LONGEST_RUN_S = 100
GUARANTEES = ("R1", "R2", "R3", "R4", "R5", "R6", "R7", "R8")


def list_vms(patch):
    """Returns ``VM@ZONE`` of the workers that a patch adds."""
    return [
        f"{operation['id']}@{operation['zone']}"
        for operation in patch["operations"]
        if operation["operation"] == "add_worker"
    ]


async def run_steps(demo, done):
    """Runs all steps in order; the load ends by itself."""
    for name in steps.names():
        demo.note(f"-- {name[3:]}")
        await steps.get(name).ok(demo)
    await done.wait()


async def run_demo(demo, options):
    """Runs the steps beside the callers."""
    demo.documents["load"] = trio.Event()
    done = trio.Event()

    async def call():
        demo.documents["summary"] = await run_callers(
            demo, SERVICES, LOAD_SECONDS, options
        )
        demo.note("the callers are done")
        done.set()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(call)
        await run_steps(demo, done)


def judge_outcomes(demo):
    """Compares what callers were told with what endpoints ran."""
    deployment = demo.runner.deployment
    runs = sorted(deployment.folder.joinpath("runs").glob("*.jsonl"))
    callers = deployment.path("callers.jsonl")
    logs = RunLogs(read_lines([callers]), read_lines(runs), demo.runner.faults)
    verdict = check_guarantees(logs)
    for name in print_results(logs, verdict):
        demo.broken.append((name, verdict[name][0]))
    demo.checked |= {name.split()[0] for name in verdict}
    if not logs.sendings:
        demo.broken.append(("R7", "no caller sent anything"))


async def stop_all(demo):
    """Stops the rest and checks the exit codes."""
    statuses = await demo.runner.stop()
    wrong = {name: code for name, code in statuses.items() if code != 0}
    text = f"all {len(statuses)} remaining processes exit 0 {wrong or ''}"
    demo.check("R7", not wrong, text)


async def main_task(folder):
    """Runs the demo in a folder; returns the Demo."""
    runner = FleetRunner(Deployment(folder))
    runner.add_processes(vms=list_vms(load_fleet_patch()))
    demo = Demo(runner, OperatorsClient(runner), random.Random(SEED))
    options = CallerOptions(runner.deployment.entries(), fail_share=0.05)
    try:
        with trio.fail_after(LONGEST_RUN_S):
            await run_demo(demo, options)
            await stop_all(demo)
    except HealthError as fault:
        demo.broken.append(("start", str(fault)))
    except trio.TooSlowError:
        demo.broken.append(("time", f"not done within {LONGEST_RUN_S} s"))
    finally:
        runner.kill_all()
    judge_outcomes(demo)
    return demo


def print_result(demo):
    """Prints the callers' view and the verdict; returns the exit status."""
    summary = demo.documents.get("summary")
    if summary is not None:
        print(json.dumps(summary.to_document(), indent=2))
    unchecked = sorted(set(GUARANTEES) - demo.checked)
    print("checked:", *sorted(demo.checked))
    print("not checked:", *(unchecked or ["none"]))
    for guarantee, text in demo.broken:
        print(f"broken: {guarantee}: {text}", file=sys.stderr)
    print("verdict:", "broken" if demo.broken else "every check held")
    return 1 if demo.broken or unchecked else 0


def main():
    """Runs the demo; returns the exit status."""
    with tempfile.TemporaryDirectory(prefix="wigeonport-demo-") as folder:
        demo = trio.run(main_task, folder)
        return print_result(demo)


if __name__ == "__main__":
    sys.exit(main())

"""Demo: runs three zones as separate processes and checks R1 to R8.

Exits 0 only if every guarantee was checked and every check held.
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
LOAD_S = 16
MAX_RUN_S = 100
GUARANTEES = ("R1", "R2", "R3", "R4", "R5", "R6", "R7", "R8")


def list_vms(patch):
    """Returns ``VM@ZONE`` for each worker that a patch adds."""
    return [
        f"{operation['id']}@{operation['zone']}"
        for operation in patch["operations"]
        if operation["operation"] == "add_worker"
    ]


async def run_steps(demo, load_ended):
    """Runs all steps in order, then waits until the load has ended."""
    for name in steps.names():
        demo.log(f"-- {name[3:]}")
        await steps.get(name).ok(demo)
    await load_ended.wait()


async def run_demo(demo, options):
    """Runs the steps and the callers concurrently."""
    demo.step_values["load"] = trio.Event()
    load_ended = trio.Event()

    async def call():
        demo.step_values["summary"] = await run_callers(
            demo, SERVICES, LOAD_S, options
        )
        demo.log("every request of the callers has ended")
        load_ended.set()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(call)
        await run_steps(demo, load_ended)


def check_logs(demo):
    """Compares the outcomes of the callers with the runs of the endpoints."""
    deployment = demo.runner.deployment
    runs = sorted(deployment.folder.joinpath("runs").glob("*.jsonl"))
    callers = deployment.path("callers.jsonl")
    logs = RunLogs(read_lines([callers]), read_lines(runs), demo.runner.faults)
    violations_by_guarantee = check_guarantees(logs)
    for name in print_results(logs, violations_by_guarantee):
        demo.violations.append((name, violations_by_guarantee[name][0]))
    demo.checked |= {name.split()[0] for name in violations_by_guarantee}
    if not logs.sendings:
        demo.violations.append(("R7", "the callers sent no request"))


async def stop_all(demo):
    """Stops the remaining processes and checks their exit statuses."""
    statuses = await demo.runner.stop()
    failed = {name: code for name, code in statuses.items() if code != 0}
    text = f"{len(statuses)} other processes exit with status 0 {failed or ''}"
    demo.check("R7", not failed, text)


async def main_task(folder):
    """Runs the demo with its files in a folder; returns the Demo."""
    runner = FleetRunner(Deployment(folder))
    runner.add_processes(vms=list_vms(load_fleet_patch()))
    demo = Demo(runner, OperatorsClient(runner), random.Random(SEED))
    options = CallerOptions(
        runner.deployment.entry_addresses(), fail_share=0.05
    )
    try:
        with trio.fail_after(MAX_RUN_S):
            await run_demo(demo, options)
            await stop_all(demo)
    except HealthError as error:
        demo.violations.append(("start", str(error)))
    except trio.TooSlowError:
        demo.violations.append(
            ("time", f"the demo did not end within {MAX_RUN_S} s")
        )
    finally:
        runner.kill_all()
    check_logs(demo)
    return demo


def print_result(demo):
    """Prints the callers' summary and the result; returns the exit status."""
    summary = demo.step_values.get("summary")
    if summary is not None:
        print(json.dumps(summary.to_document(), indent=2))
    unchecked = sorted(set(GUARANTEES) - demo.checked)
    print("guarantees checked:", *sorted(demo.checked))
    print("guarantees not checked:", *(unchecked or ["none"]))
    for guarantee, text in demo.violations:
        print(f"failed check: {guarantee} ({text})", file=sys.stderr)
    print("result:", "failed" if demo.violations else "every check held")
    return 1 if demo.violations or unchecked else 0


def main():
    """Runs the demo; returns the exit status."""
    with tempfile.TemporaryDirectory(prefix="wigeonport-demo-") as folder:
        demo = trio.run(main_task, folder)
        return print_result(demo)


if __name__ == "__main__":
    sys.exit(main())

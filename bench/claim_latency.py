"""Measures the latency and throughput of claims of idempotency keys.

One run compares three variants: claims in the replicated log of five control
processes, claims in the memory of a majority of seven processes, and no
claim. Each variant sends ``--count`` claims from one process, first one at a
time, then 32 at a time.

Each row of the output gives the variant, the number of claims in flight, the
p50 and p99 of the latency of one claim in ms, the claims a second, and the
number of claims that were not granted. A request with a key also pays for
the completion of its claim, which takes as long again and is not included.

``--serve`` and ``--key`` run one of the seven processes; the benchmark
starts them itself.
"""

import argparse
import pathlib
import sys
import tempfile
import time
import uuid

import trio

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tools"))

from deployments import HOST, Deployment, PortAllocator  # noqa: E402
from processes import ManagedProcess  # noqa: E402

from wigeonport.channels import Mailbox  # noqa: E402
from wigeonport.claim_states import ClaimState  # noqa: E402
from wigeonport.clocks import Clock, LamportCounter  # noqa: E402
from wigeonport.credentials import load_keys  # noqa: E402
from wigeonport.dialers import Dialer, listen  # noqa: E402
from wigeonport.links import Delivery, Identity, LinkContext  # noqa: E402
from wigeonport.metrics import Metrics  # noqa: E402
from wigeonport.state_answers import ClaimGranted  # noqa: E402
from wigeonport.state_commands import ClaimKey  # noqa: E402

CONTROL_COUNT = 5
QUORUM_NODES = 7
TIMEOUT_MS = 3_000
START_TIMEOUT_S = 30


def make_context(name, key_path, inbound):
    """Returns the LinkContext of a process of the benchmark."""
    keys = load_keys([str(key_path)]).ok
    identity = Identity(name, "ikeja", "lagos", keys)
    return LinkContext(identity, inbound, Clock(), Metrics(), LamportCounter())


async def serve(port, key_path):
    """Answers claims from a state in memory, on one port."""
    inbound, claim_state = Mailbox("claims", 1_024), ClaimState()
    context = make_context(f"memory-{port}", key_path, inbound)
    async with trio.open_nursery() as nursery:
        await nursery.start(listen, context, HOST, port)
        async for delivery in inbound:
            if isinstance(delivery, Delivery):
                message = delivery.message
                answer = claim_state.claim(
                    message.key, message.digest, message.attempt, 0
                )
                delivery.respond(answer)


def make_claim():
    """Returns a claim of a key that was not used before."""
    key = uuid.uuid4().hex
    return ClaimKey(f"roster/{key}", "0" * 64, key)


async def claim_in_log(dialers):
    """Claims a key through the first control; returns whether granted."""
    answer = await dialers[0].ask(make_claim(), TIMEOUT_MS)
    return answer.is_ok() and isinstance(answer.ok, ClaimGranted)


async def claim_in_memory(dialers):
    """Claims a key at all processes; returns whether a majority granted."""
    claim, granted = make_claim(), []
    async with trio.open_nursery() as nursery:

        async def ask(dialer):
            answer = await dialer.ask(claim, TIMEOUT_MS)
            if answer.is_ok() and isinstance(answer.ok, ClaimGranted):
                granted.append(dialer)
            if len(granted) > len(dialers) // 2:
                nursery.cancel_scope.cancel()

        for dialer in dialers:
            nursery.start_soon(ask, dialer)
    return len(granted) > len(dialers) // 2


async def skip_claim(dialers):
    """Does nothing, as for a request without an idempotency key."""
    await trio.lowlevel.checkpoint()
    return True


async def measure(name, claim, dialers, count, concurrency):
    """Sends ``count`` claims of one variant and prints its row."""
    times_us, failed_calls = [], []
    run_started = time.perf_counter()

    async def send_claims():
        for _ in range(count // concurrency):
            call_started = time.perf_counter()
            if not await claim(dialers):
                failed_calls.append(name)
            times_us.append((time.perf_counter() - call_started) * 1e6)

    async with trio.open_nursery() as nursery:
        for _ in range(concurrency):
            nursery.start_soon(send_claims)
    rate = len(times_us) / (time.perf_counter() - run_started)
    times_us.sort()
    p50 = times_us[len(times_us) // 2] / 1000
    p99 = times_us[int(len(times_us) * 0.99)] / 1000
    print(
        f"{name:22} {concurrency:3} at a time: p50 {p50:7.3f} ms, "
        f"p99 {p99:7.3f} ms, {rate:7.0f} claims/s, "
        f"not granted {len(failed_calls)}"
    )


async def wait_for(condition):
    """Polls an async condition until it holds.

    Raises:
        trio.TooSlowError: If it does not hold within START_TIMEOUT_S.
    """
    with trio.fail_after(START_TIMEOUT_S):
        while not await condition():
            await trio.sleep(0.1)


async def main_task(options, folder):
    """Starts the processes, measures all variants and kills the processes."""
    deployment = Deployment(
        folder, {"ikeja": CONTROL_COUNT}, {"ikeja": CONTROL_COUNT}
    )
    deployment.write()
    key_path = deployment.path("links-1.key")
    ports, processes, memory_ports = PortAllocator(), [], []
    for node in deployment.nodes.values():
        path = str(deployment.settings_path(node))
        arguments = ["-m", "wigeonport.control_main", path]
        log_path = deployment.path("logs", node.node_id)
        processes.append(ManagedProcess(node.node_id, arguments, log_path))
    for number in range(QUORUM_NODES):
        port = ports.allocate()
        memory_ports.append(port)
        serve_arguments = [
            str(pathlib.Path(__file__).resolve()),
            "--serve",
            str(port),
        ]
        arguments = [*serve_arguments, "--key", str(key_path)]
        log_path = deployment.path("logs", f"memory-{number}")
        processes.append(ManagedProcess(f"m{number}", arguments, log_path))
    inbound = Mailbox("bench", 1_024)
    context = make_context("entry/bench", key_path, inbound)
    control_ports = [
        node.ports["control_links_port"] for node in deployment.nodes.values()
    ]
    control_dialers = [Dialer(context, HOST, port) for port in control_ports]
    memory_dialers = [Dialer(context, HOST, port) for port in memory_ports]
    try:
        for process in processes:
            await process.start()
        async with trio.open_nursery() as nursery:
            for dialer in (*control_dialers, *memory_dialers):
                nursery.start_soon(dialer.run)
            await wait_for(lambda: claim_in_log(control_dialers))
            await wait_for(lambda: claim_in_memory(memory_dialers))
            for concurrency in (1, 32):
                count = options.count
                for name, claim, dialers in (
                    ("no key", skip_claim, []),
                    ("memory of a quorum", claim_in_memory, memory_dialers),
                    ("replicated log", claim_in_log, control_dialers),
                ):
                    await measure(name, claim, dialers, count, concurrency)
            nursery.cancel_scope.cancel()
    finally:
        with trio.CancelScope(shield=True):
            for process in processes:
                await process.kill()


def main():
    """Runs the benchmark, or one process of the quorum with ``--serve``."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--count", type=int, default=640)
    parser.add_argument("--serve", type=int)
    parser.add_argument("--key")
    options = parser.parse_args()
    if options.serve:
        trio.run(serve, options.serve, options.key)
        return
    with tempfile.TemporaryDirectory() as folder:
        trio.run(main_task, options, folder)


if __name__ == "__main__":
    main()

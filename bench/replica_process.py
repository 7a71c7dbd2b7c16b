"""A replica process for commit_latency.py: consensus and links, no HTTP.

Takes a JSON document as its only argument, with the keys ``node`` (name of
this replica), ``ports`` (maps the name of every replica to its port),
``directory`` (data directory) and ``snapshot_entries`` (entries between two
snapshots).

Writes one JSON document a line to standard output: first the time that it took
to open the data directory in ms, then the answer to each line of standard
input, which is the name of a command and its arguments:

    status                  whether this replica is the ready leader, the
                            number of voters, and the commit index
    latency COUNT           latencies in us of COUNT proposals, one at a time
    throughput COUNT TASKS  seconds for COUNT proposals from TASKS concurrent
                            tasks, and the number of journal syncs
"""

import json
import pathlib
import sys
import time

import trio

from wigeonport.channels import Mailbox, Reply, ask
from wigeonport.clocks import Clock, LamportCounter
from wigeonport.consensus import Consensus
from wigeonport.consensus_requests import Proposal, StatusRequest
from wigeonport.dialers import Dialer, listen
from wigeonport.links import Delivery, Identity, LinkContext
from wigeonport.logs import configure_logging
from wigeonport.metrics import Metrics
from wigeonport.recoveries import open_directory
from wigeonport.registries import Registry
from wigeonport.replica_events import COMMITTED, ReplicaSettings
from wigeonport.state_commands import ClaimKey
from wigeonport.states import ReplicatedState, state_from_document

commands = Registry("command")
HOST = "127.0.0.1"
# Proposals before the latencies are measured.
WARM_UP_PROPOSALS = 50


def make_consensus(setup, clock, metrics, dialers):
    """Opens the data directory and returns the Consensus of this replica.

    Also writes the first line of the output.
    """

    def send(node, message):
        dialer = dialers.get(node)
        return dialer is not None and dialer.post(message)

    directory = pathlib.Path(setup["directory"])
    started_ns = time.monotonic_ns()
    opened = open_directory(directory, "bench", setup["node"])
    consensus = Consensus(
        opened,
        directory,
        setup["ports"],
        ReplicatedState(),
        state_from_document,
        send,
        clock,
        metrics,
        ReplicaSettings(len(setup["ports"])),
        snapshot_entries=setup["snapshot_entries"],
    )
    open_duration_ms = (time.monotonic_ns() - started_ns) / 1e6
    print(json.dumps({"opened_ms": open_duration_ms}), flush=True)
    return consensus


async def propose(consensus, key):
    """Proposes a claim of a key; returns whether it was committed."""
    reply = Reply()
    command = ClaimKey(key, "digest" * 8, key)
    await consensus.inbox.put(Proposal(command, reply))
    answer = await reply.wait(10_000)
    return answer.is_ok() and answer.ok.outcome == COMMITTED


@commands.register("status")
async def read_status(consensus, arguments):
    """Returns readiness, number of voters and commit index."""
    status = (await ask(consensus.inbox, StatusRequest, 5_000)).ok
    voters = sum(member.voter for member in status.members)
    return {
        "ready": status.ready,
        "voters": voters,
        "commit_index": status.commit_index,
    }


@commands.register("latency")
async def measure_latency(consensus, arguments):
    """Proposes one claim after another; returns the latencies in us."""
    latencies_us = []
    for number in range(int(arguments[0]) + WARM_UP_PROPOSALS):
        started_ns = time.monotonic_ns()
        assert await propose(consensus, f"{started_ns}")
        if number >= WARM_UP_PROPOSALS:
            latencies_us.append((time.monotonic_ns() - started_ns) / 1e3)
    return latencies_us


@commands.register("throughput")
async def measure_throughput(consensus, arguments):
    """Proposes from concurrent tasks; returns seconds, count and syncs."""
    count, tasks = int(arguments[0]), int(arguments[1])
    histogram = consensus.metrics.histograms["journal_write_ms"]
    syncs = histogram.get_total_count()
    started_ns = time.monotonic_ns()

    async def propose_all(task):
        for number in range(count // tasks):
            assert await propose(consensus, f"{started_ns}/{task}/{number}")

    async with trio.open_nursery() as nursery:
        for task in range(tasks):
            nursery.start_soon(propose_all, task)
    seconds = (time.monotonic_ns() - started_ns) / 1e9
    syncs = histogram.get_total_count() - syncs
    return {"seconds": seconds, "proposals": count, "syncs": syncs}


async def serve_commands(consensus):
    """Runs the commands of standard input, one a line, until it ends."""
    buffer = b""
    async with trio.lowlevel.FdStream(0) as stream:
        async for data in stream:
            buffer += data
            *lines, buffer = buffer.split(b"\n")
            for line in lines:
                name, *arguments = line.decode().split()
                command = commands.get(name).ok
                answer = await command(consensus, arguments)
                print(json.dumps(answer), flush=True)


async def forward_deliveries(inbound, consensus):
    """Forwards the messages of the links to the consensus task."""
    async for delivery in inbound:
        if isinstance(delivery, Delivery):
            await consensus.inbox.put(delivery.message)


async def main():
    """Runs the replica until standard input ends."""
    configure_logging("warning")
    setup = json.loads(sys.argv[1])
    clock, metrics = Clock(), Metrics()
    inbound = Mailbox("deliveries", 1_024)
    identity = Identity(setup["node"], "zone", "bench", {"key": b"k" * 32})
    context = LinkContext(identity, inbound, clock, metrics, LamportCounter())
    dialers = {
        node: Dialer(context, HOST, port)
        for node, port in setup["ports"].items()
        if node != setup["node"]
    }
    consensus = make_consensus(setup, clock, metrics, dialers)
    async with trio.open_nursery() as nursery:
        await nursery.start(consensus.run)
        await nursery.start(
            listen, context, HOST, setup["ports"][setup["node"]]
        )
        for dialer in dialers.values():
            nursery.start_soon(dialer.run)
        nursery.start_soon(forward_deliveries, inbound, consensus)
        await serve_commands(consensus)
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    trio.run(main)

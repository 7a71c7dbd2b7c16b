"""Plays large crowds of clients outside the limits against real limits.

Usage: client_flood_runs.py [--clients N] [--seconds S] FORM:LISTENER...

For each crowd a control and a front start on loopback addresses, with the
memory and the descriptors of the platform's machines. The crowd is a process
of its own, whose clients connect again whenever they are closed. A line shows
the highest memory and number of descriptors of the process, the processor
time that it used, and how many of the jobs, heartbeats and configurations that
were sent meanwhile had an answer 200.
"""

import argparse
import pathlib
import sys
import tempfile

import trio
from flood_fleets import (
    PORTS,
    FloodFleet,
    call_at_start,
    call_once,
    count_descriptors,
    find_net,
    put_configuration,
    read_memory_mb,
    read_processor_s,
    send_heartbeat,
    submit_job,
)

PROGRAM = pathlib.Path(__file__).parent / "client_floods.py"
FRONT_MEMORY_MB = 200
CONTROL_MEMORY_MB = 424
MAX_FDS = 4_100
CALL_INTERVAL_S = 1.0


class FloodRun:
    """One crowd against one process.

    Attributes:
        fleet: FloodFleet.
        process: PlatformProcess that the crowd is aimed at.
        crowd: Command line of the program that plays the crowd.
        seconds: Time for which it plays, in s.
        calls: Maps a kind of call to its number and its answers 200.
        descriptors: Highest number of open descriptors that was seen.
    """

    __slots__ = (
        "fleet",
        "process",
        "crowd",
        "seconds",
        "calls",
        "descriptors",
    )

    def __init__(self, form, listener, clients, seconds):
        memory_mb = (
            FRONT_MEMORY_MB if listener == "front" else CONTROL_MEMORY_MB
        )
        self.fleet = FloodFleet(
            tempfile.mkdtemp(), find_net(), memory_mb, MAX_FDS
        )
        self.process, address = self.fleet.target(PORTS[listener])
        host, port = address
        self.crowd = [sys.executable, PROGRAM, form, host, port, clients]
        self.seconds = seconds
        self.calls = {}
        self.descriptors = 0

    async def call(self, kind, make_call):
        """Makes one call and counts it."""
        made, answered = self.calls.get(kind, (0, 0))
        is_answered = await make_call()
        self.calls[kind] = (made + 1, answered + is_answered)

    async def call_regularly(self):
        """Sends jobs, heartbeats and configurations until cancelled."""
        version = 1
        while True:
            version += 1
            self.descriptors = max(
                self.descriptors, count_descriptors(self.process)
            )
            await self.call("jobs", lambda: submit_job(self.fleet, call_once))
            await self.call(
                "heartbeats", lambda: send_heartbeat(self.fleet, call_once)
            )
            await self.call(
                "configurations",
                lambda number=version: put_configuration(
                    self.fleet, number, call_once
                ),
            )
            await trio.sleep(CALL_INTERVAL_S)

    async def run(self):
        """Plays the crowd; returns a line with the figures."""
        try:
            async with trio.open_nursery() as nursery:
                await self.fleet.start(nursery)
                await put_configuration(self.fleet, 1, call_at_start)
                await submit_job(self.fleet, call_at_start)
                before_s = read_processor_s(self.process)
                command = [str(word) for word in self.crowd]
                crowd = await trio.lowlevel.open_process(command)
                with trio.move_on_after(self.seconds):
                    await self.call_regularly()
                crowd.kill()
                await crowd.wait()
                used_s = read_processor_s(self.process) - before_s
                memory_mb = read_memory_mb(self.process, "VmHWM")
                afterwards = await submit_job(self.fleet)
                nursery.cancel_scope.cancel()
        finally:
            with trio.CancelScope(shield=True):
                await self.fleet.stop()
        calls = " | ".join(
            f"{answered} of {made}" for made, answered in self.calls.values()
        )
        return (
            f"{memory_mb:.0f} of {self.fleet.memory_mb} | {self.descriptors} "
            f"of {MAX_FDS} | {used_s:.1f} | {calls} | "
            f"{'yes' if afterwards else 'no'}"
        )


def main(arguments):
    """Plays the crowds one after the other and prints a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--clients", type=int, default=1_500)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("crowds", nargs="+", metavar="FORM:LISTENER")
    options = parser.parse_args(arguments)
    print(
        "| form | at | clients | memory, MB | descriptors | processor, s "
        "| jobs | heartbeats | configurations | afterwards |\n"
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    )
    for name in options.crowds:
        form, _, listener = name.partition(":")
        run = FloodRun(form, listener, options.clients, options.seconds)
        figures = trio.run(run.run)
        print(
            f"| {form} | {listener} | {options.clients} | {figures} |",
            flush=True,
        )


if __name__ == "__main__":
    main(sys.argv[1:])

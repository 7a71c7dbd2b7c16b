"""Stand-in for a control: publishes one fixed fleet version.

With it, entries can be run and measured without the replicated log.

Usage: control_publisher.py SETTINGS DOCUMENT

DOCUMENT is the path of the fleet as JSON.
"""

import pathlib
import sys

import trio

from wigeonport.channels import Mailbox
from wigeonport.control_main import make_initial_version_report
from wigeonport.dialers import listen
from wigeonport.programs import start
from wigeonport.publishers import Publisher, VersionAccepted, publish

DELIVERIES_BOUND = 256


async def run_publisher(program, fleet_json):
    """Publishes the fleet as version 1 until the program stops."""
    settings = program.settings
    inbound = Mailbox("deliveries", DELIVERIES_BOUND)
    publisher = Publisher(make_initial_version_report(program))
    publisher.accept(VersionAccepted(1, fleet_json))
    context = program.link_context(inbound)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(publish, inbound, publisher, program.clock, [])
        await nursery.start(
            listen, context, settings.host, settings.control_links_port
        )
        await program.stopping.wait()
        nursery.cancel_scope.cancel()


def main():
    """Reads the fleet and publishes it; returns the exit status."""
    fleet_json = pathlib.Path(sys.argv[2]).read_bytes()

    async def run(program):
        await run_publisher(program, fleet_json)

    return start("control", run, [sys.argv[1]])


if __name__ == "__main__":
    sys.exit(main())

"""Several endpoint stand-ins in one process.

Each member is a task of its own with its own port, announcements and slots.
SIGTERM lets all of them leave; SIGUSR1 lets the next one in turn leave and
come back as a new incarnation after it lingered.
"""

import argparse
import signal

import trio
from endpoint import Endpoint, announce, serve

RETURN_AFTER_S = 1.0
LONGEST_LEAVE_S = 20.0
IDLE_CHECK_S = 0.05


def make_member_options(options, text):
    """Returns the options of one member, ``id:service:zone:port``."""
    member_id, service, zone, port = text.split(":")
    return argparse.Namespace(
        id=member_id,
        service=service,
        zone=zone,
        port=int(port),
        host="127.0.0.1",
        slots=options.slots,
        entry=options.entry,
        log=options.log,
        linger_s=options.linger_s,
    )


class Member:
    """One member and its present incarnation.

    Attributes:
        options: Its options.
        endpoint: The Endpoint that runs, or None.
        scope: Cancels the incarnation.
    """

    __slots__ = ("options", "endpoint", "scope")

    def __init__(self, options):
        self.options = options
        self.endpoint = None
        self.scope = None

    async def run(self):
        """Runs one incarnation until it is cancelled."""
        endpoint = Endpoint(self.options)
        endpoint.log_event("ready")
        async with trio.open_nursery() as nursery:
            self.endpoint, self.scope = endpoint, nursery.cancel_scope
            for address in self.options.entry:
                host, port = address.rsplit(":", 1)
                nursery.start_soon(announce, endpoint, host, int(port))

            async def handle(stream):
                await serve(endpoint, stream)

            await trio.serve_tcp(
                handle, self.options.port, host=self.options.host
            )

    async def leave(self):
        """Announces that it leaves, lingers and ends the incarnation."""
        endpoint = self.endpoint
        if endpoint is None or endpoint.state == "leaving":
            return
        endpoint.state = "leaving"
        endpoint.log_event("leaving")
        with trio.move_on_after(LONGEST_LEAVE_S):
            await trio.sleep(self.options.linger_s)
            while endpoint.running:
                await trio.sleep(IDLE_CHECK_S)
        self.scope.cancel()

    async def leave_and_return(self):
        """Leaves and starts the next incarnation."""
        await self.leave()
        await trio.sleep(RETURN_AFTER_S)
        await self.run()


async def handle_signals(members, nursery):
    """Lets one member leave at SIGUSR1 and all at SIGTERM."""
    turn = 0
    wanted = (signal.SIGTERM, signal.SIGUSR1)
    with trio.open_signal_receiver(*wanted) as signals:
        async for number in signals:
            if number == signal.SIGTERM:
                break
            member = members[turn % len(members)]
            turn += 1
            nursery.start_soon(member.leave_and_return)
    async with trio.open_nursery() as leaving:
        for member in members:
            leaving.start_soon(member.leave)
    nursery.cancel_scope.cancel()


async def main_task(options):
    """Runs all members."""
    members = [
        Member(make_member_options(options, text)) for text in options.member
    ]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(handle_signals, members, nursery)
        for member in members:
            nursery.start_soon(member.run)


def main():
    """Parses the options and runs."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--member", action="append", required=True)
    parser.add_argument("--entry", action="append", required=True)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--log", required=True)
    parser.add_argument("--linger-s", type=float, default=5.0)
    trio.run(main_task, parser.parse_args())


if __name__ == "__main__":
    main()

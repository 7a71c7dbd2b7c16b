"""Several endpoint stand-ins in one process.

Each member has its own task, port, announcements and slots. On SIGTERM all
members leave. On each SIGUSR1 the next member in turn leaves and returns as
a new incarnation.
"""

import argparse
import signal

import trio
from endpoint import Endpoint, announce, serve

RETURN_AFTER_S = 1.0
MAX_LEAVE_S = 20.0
IDLE_CHECK_S = 0.05


def make_member_options(options, text):
    """Returns the options of a member given as ``id:service:zone:port``."""
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
    """A member of the group and its current incarnation.

    Attributes:
        options: Options of the member.
        endpoint: Endpoint of the incarnation, or None before the first one.
        scope: Cancel scope of the incarnation.
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
        """Announces that the member leaves and ends the incarnation.

        Ends it after ``linger_s`` and when no request runs, or after
        MAX_LEAVE_S.
        """
        endpoint = self.endpoint
        if endpoint is None or endpoint.state == "leaving":
            return
        endpoint.state = "leaving"
        endpoint.log_event("leaving")
        with trio.move_on_after(MAX_LEAVE_S):
            await trio.sleep(self.options.linger_s)
            while endpoint.running:
                await trio.sleep(IDLE_CHECK_S)
        self.scope.cancel()

    async def leave_and_return(self):
        """Leaves, then starts the next incarnation."""
        await self.leave()
        await trio.sleep(RETURN_AFTER_S)
        await self.run()


async def handle_signals(members, nursery):
    """Makes one member leave on SIGUSR1 and all on SIGTERM."""
    leave_count = 0
    handled_signals = (signal.SIGTERM, signal.SIGUSR1)
    with trio.open_signal_receiver(*handled_signals) as signals:
        async for signal_number in signals:
            if signal_number == signal.SIGTERM:
                break
            member = members[leave_count % len(members)]
            leave_count += 1
            nursery.start_soon(member.leave_and_return)
    async with trio.open_nursery() as leave_nursery:
        for member in members:
            leave_nursery.start_soon(member.leave)
    nursery.cancel_scope.cancel()


async def main_task(options):
    """Runs all members until SIGTERM."""
    members = [
        Member(make_member_options(options, text)) for text in options.member
    ]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(handle_signals, members, nursery)
        for member in members:
            nursery.start_soon(member.run)


def main():
    """Parses the options and runs the group."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--member", action="append", required=True)
    parser.add_argument("--entry", action="append", required=True)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--log", required=True)
    parser.add_argument("--linger-s", type=float, default=5.0)
    trio.run(main_task, parser.parse_args())


if __name__ == "__main__":
    main()

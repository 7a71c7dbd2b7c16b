"""Tests of how the programs handle signals."""

import os
import signal

import trio

from wigeonport.channels import DROP_OLDEST, Mailbox
from wigeonport.programs import reload_on_signal, stop_on_signal


def test_reload_does_not_stop_the_program():
    """SIGHUP must only request a reload; it once stopped the program."""

    async def main():
        stopping = trio.Event()
        reloads = Mailbox("reloads", 1, DROP_OLDEST)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stop_on_signal, stopping)
            nursery.start_soon(reload_on_signal, reloads)
            await trio.sleep(0.05)
            os.kill(os.getpid(), signal.SIGHUP)
            assert await reloads.get_within(1_000) == signal.SIGHUP
            await trio.sleep(0.05)
            assert not stopping.is_set()
            os.kill(os.getpid(), signal.SIGTERM)
            with trio.fail_after(1):
                await stopping.wait()
            nursery.cancel_scope.cancel()

    trio.run(main)

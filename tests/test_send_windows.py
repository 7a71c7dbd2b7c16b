"""Tests of the bound of bytes under way to another process."""

import trio
import trio.testing
from expression import Ok
from hypothesis import given
from hypothesis import strategies as st

from wigeonport.batch_calls import OK, STATE, SUBMIT, BatchCall, BatchReply
from wigeonport.channels import Reply
from wigeonport.clocks import Clock
from wigeonport.gateways import WINDOW_BYTES, Gateway, GatewayCall
from wigeonport.metrics import Metrics
from wigeonport.send_windows import SendWindow

LIMIT_BYTES = 100


@given(st.lists(st.tuples(st.integers(1, 150), st.integers(0, 3))))
def test_window_is_kept(messages):
    """Guards against a window that leaks or lets too much go."""
    window = SendWindow(LIMIT_BYTES)

    async def send(size_bytes, ticks):
        if not await window.acquire(size_bytes, 5 + ticks):
            return
        assert window.used_bytes <= max(LIMIT_BYTES, size_bytes)
        await trio.sleep(0.001 * ticks)
        window.release(size_bytes)

    async def main():
        async with trio.open_nursery() as nursery:
            for size_bytes, ticks in messages:
                nursery.start_soon(send, size_bytes, ticks)
                await trio.testing.wait_all_tasks_blocked()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert window.used_bytes == 0
    assert not window.waiting


def test_large_message_is_not_overtaken():
    """Guards against small messages that keep a large one waiting."""
    window, sent = SendWindow(LIMIT_BYTES), []

    async def send(size_bytes):
        assert await window.acquire(size_bytes, 1_000)
        sent.append(size_bytes)

    async def main():
        async with trio.open_nursery() as nursery:
            for size_bytes in (60, 90, 10):
                nursery.start_soon(send, size_bytes)
                await trio.testing.wait_all_tasks_blocked()
            assert sent == [60]
            window.release(60)
            await trio.testing.wait_all_tasks_blocked()
            assert sorted(sent) == [10, 60, 90]

    trio.run(main)


class SlowDialer:
    """A leader that answers submissions only after ``released`` is set."""

    __slots__ = ("connected", "submissions", "released")

    def __init__(self):
        self.connected = True
        self.submissions = 0
        self.released = trio.Event()

    async def ask(self, message, timeout_ms):
        """Answers a read at once."""
        if message.verb == SUBMIT:
            self.submissions += 1
            await self.released.wait()
        return Ok(BatchReply(OK, "queued"))


class OneLink:
    """Replaces PeerLinks."""

    __slots__ = ("dialers",)

    def __init__(self, dialer):
        self.dialers = {"a": dialer}

    def add(self, host):
        """Does nothing, since the dialer is fixed."""


def test_submission_without_room_is_refused_as_not_sent():
    """Guards against jobs that wait for a slow leader until their deadline.

    Their outcome was unknown then, and all of them were held in memory.
    """
    answers = {}

    async def call(gateway, name, verb, spec_json=""):
        reply = Reply()
        call = BatchCall(verb, "h", "/p", spec_json)
        deadline_ms = gateway.clock.now() + 3_000
        gateway.inbox.put_nowait(GatewayCall(call, deadline_ms, reply))
        answers[name] = (await reply.wait(5_000)).ok

    async def main():
        dialer = SlowDialer()
        gateway = Gateway(OneLink(dialer), Clock(), Metrics())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(gateway.run)
            large = "x" * (WINDOW_BYTES * 3 // 4)
            nursery.start_soon(call, gateway, "first", SUBMIT, large)
            await trio.sleep(0.05)
            nursery.start_soon(call, gateway, "second", SUBMIT, large)
            await call(gateway, "read", STATE)
            while "second" not in answers:
                await trio.sleep(0.05)
            assert dialer.submissions == 1
            dialer.released.set()
            await call(gateway, "third", SUBMIT, large)
            nursery.cancel_scope.cancel()

    trio.run(main)
    assert answers["read"].reply.outcome == OK
    assert (answers["second"].reply, answers["second"].sent) == (None, False)
    assert answers["first"].reply.outcome == OK
    assert answers["third"].reply.outcome == OK

"""Bounded channels between tasks."""

import trio
from expression import Error, Ok, Result

WAIT = "wait"
REFUSE = "refuse"
DROP_OLDEST = "drop_oldest"


class Mailbox:
    """A bounded queue of messages, with one of three policies when full.

    Attributes:
        name: Name for error texts.
        bound: Maximum number of queued messages.
        when_full: Policy of a full mailbox: ``wait`` blocks the sender,
            ``refuse`` rejects the new message, ``drop_oldest`` drops the
            message at the head of the queue.
        dropped: Number of messages dropped or refused so far.
        sender: Sending end of the trio memory channel.
        receiver: Receiving end of the trio memory channel.
    """

    __slots__ = ("name", "bound", "when_full", "dropped", "sender", "receiver")

    def __init__(self, name, bound, when_full=WAIT):
        self.name = name
        self.bound = bound
        self.when_full = when_full
        self.dropped = 0
        self.sender, self.receiver = trio.open_memory_channel(bound)

    async def put(self, message):
        """Adds a message; returns False if it was refused."""
        if self.when_full == WAIT:
            await self.sender.send(message)
            return True
        return self.put_nowait(message)

    def put_nowait(self, message):
        """Adds a message without waiting; returns False if refused."""
        try:
            self.sender.send_nowait(message)
            return True
        except trio.WouldBlock:
            self.dropped += 1
        if self.when_full != DROP_OLDEST:
            return False
        self.receiver.receive_nowait()
        self.sender.send_nowait(message)
        return True

    async def get(self):
        """Waits for the next message."""
        return await self.receiver.receive()

    async def get_within(self, timeout_ms):
        """Returns the next message, or None after the timeout.

        A message that is already queued is returned without a deadline
        scope, which would cost more than the rest of the call.
        """
        try:
            message = self.receiver.receive_nowait()
        except trio.WouldBlock:
            return await self.receive_within(timeout_ms)
        # Lets other tasks run. The checkpoint is shielded because a
        # cancellation here would lose the message.
        await trio.lowlevel.cancel_shielded_checkpoint()
        return message

    async def receive_within(self, timeout_ms):
        """Waits for the next message; returns None after the timeout."""
        with trio.move_on_after(max(timeout_ms, 0) / 1000):
            return await self.receiver.receive()
        return None

    def drain(self, limit):
        """Returns up to ``limit`` queued messages without waiting."""
        messages = []
        while len(messages) < limit:
            try:
                messages.append(self.receiver.receive_nowait())
            except (trio.WouldBlock, trio.EndOfChannel):
                break
        return messages

    def close(self):
        """Closes the sending end; readers still get the queued messages."""
        self.sender.close()

    def depth(self):
        """Returns the number of queued messages."""
        return self.sender.statistics().current_buffer_used

    def __aiter__(self):
        return self

    async def __anext__(self):
        try:
            return await self.receiver.receive()
        except trio.EndOfChannel:
            raise StopAsyncIteration from None


class Reply:
    """A channel for one answer; later answers are dropped."""

    __slots__ = ("sender", "receiver")

    def __init__(self):
        self.sender, self.receiver = trio.open_memory_channel(1)

    def send(self, message):
        """Delivers the answer.

        Returns:
            False if an answer was sent before or the receiver is closed.
        """
        try:
            self.sender.send_nowait(message)
            return True
        except (trio.WouldBlock, trio.BrokenResourceError):
            return False

    def close(self):
        """Gives up the answer."""
        self.receiver.close()

    def is_abandoned(self):
        """Returns whether the answer has been given up."""
        return self.sender.statistics().open_receive_channels == 0

    async def wait(self, timeout_ms) -> Result:
        """Returns the answer, or an error text after the timeout."""
        with trio.move_on_after(max(timeout_ms, 0) / 1000):
            return Ok(await self.receiver.receive())
        return Error(f"no answer within {timeout_ms} ms")


async def ask(mailbox, make_message, timeout_ms) -> Result:
    """Sends a request and waits for its answer.

    After the timeout the other task can tell that the answer has been given
    up, and need not handle the request.

    Args:
        mailbox: Mailbox of the task that answers.
        make_message: Function from the Reply to the request that carries it.
        timeout_ms: Maximum wait for delivery and answer together.

    Returns:
        The answer, or an error text if the mailbox refused the request or no
        answer came in time.
    """
    reply = Reply()
    with trio.move_on_after(max(timeout_ms, 0) / 1000):
        if not await mailbox.put(make_message(reply)):
            return Error(f"the mailbox {mailbox.name} is full")
        return Ok(await reply.receiver.receive())
    reply.close()
    return Error(f"no answer from {mailbox.name} within {timeout_ms} ms")

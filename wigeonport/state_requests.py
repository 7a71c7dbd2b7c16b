"""Messages to the task that owns the replicated state, with the replies."""

import trio
from expression import Result

from wigeonport.channels import Reply, ask
from wigeonport.records import Record

COMMITTED = "committed"
NOT_RUN = "not-run"
UNKNOWN = "unknown"


class ProposeCommand(Record):
    """Asks to append a command to the replicated log.

    Attributes:
        command: The command.
        reply: Reply that receives one Decision.
    """

    __slots__ = ("command", "reply")

    def __init__(self, command, reply):
        self.command = command
        self.reply = reply


class Decision(Record):
    """Outcome of a proposed command.

    Attributes:
        outcome: ``committed``, ``not-run`` or ``unknown``.
        answer: Answer of the state machine if the command was committed,
            else None.
        reason: Why the command was not committed, or why the outcome is
            unknown.
    """

    __slots__ = ("outcome", "answer", "reason")

    def __init__(self, outcome, answer=None, reason=""):
        self.outcome = outcome
        self.answer = answer
        self.reason = reason


class ReadState(Record):
    """Asks to evaluate a query on the replicated state.

    Attributes:
        query: Has a method ``read(state)`` that returns plain data.
        reply: Reply that receives one StateRead.
    """

    __slots__ = ("query", "reply")

    def __init__(self, query, reply):
        self.query = query
        self.reply = reply


class StateRead(Record):
    """Result of a query.

    Attributes:
        document: Plain data that the query returned, or None if it failed.
        role: Role of the replica, for example ``leader`` or ``follower``.
        leader: Node id of the leader, or an empty text if it is not known.
        term: Term of the replica.
    """

    __slots__ = ("document", "role", "leader", "term")

    def __init__(self, document, role, leader, term):
        self.document = document
        self.role = role
        self.leader = leader
        self.term = term


class VmHealth(Record):
    """Health of the VMs as known to the planner.

    Attributes:
        unavailable: Ids of the VMs that are not known to be available.
        not_reporting: Ids of the unavailable VMs without a recent report.
            They may still run work, so draining one may cost capacity.
    """

    __slots__ = ("unavailable", "not_reporting")

    def __init__(self, unavailable, not_reporting):
        self.unavailable = unavailable
        self.not_reporting = not_reporting


class VmHealthQuery(Record):
    """Asks for the VMs that are unavailable or in an unknown state.

    Attributes:
        reply: Reply that receives a VmHealth, or None if this node does not
            know.
    """

    __slots__ = ("reply",)

    def __init__(self, reply):
        self.reply = reply


class StateClient:
    """Sends commands and queries to the task that owns the replicated state.

    Attributes:
        mailbox: Mailbox of that task.
        timeout_ms: Maximum wait until a command is delivered, and again
            until it is answered; for a query, maximum wait in total.
    """

    __slots__ = ("mailbox", "timeout_ms")

    def __init__(self, mailbox, timeout_ms):
        self.mailbox = mailbox
        self.timeout_ms = timeout_ms

    async def _deliver(self, message):
        with trio.move_on_after(self.timeout_ms / 1000):
            return await self.mailbox.put(message)
        return False

    async def propose(self, command):
        """Returns the Decision on a command.

        A command that could not be delivered has not run. The outcome of a
        command that was delivered but not answered is unknown.
        """
        reply = Reply()
        if not await self._deliver(ProposeCommand(command, reply)):
            return Decision(
                NOT_RUN, reason=f"the mailbox {self.mailbox.name} is full"
            )
        answer = await reply.wait(self.timeout_ms)
        if answer.is_error():
            return Decision(UNKNOWN, reason=answer.error)
        return answer.ok

    async def read(self, query) -> Result:
        """Returns the StateRead for a query, or an error text."""
        return await ask(
            self.mailbox,
            lambda reply: ReadState(query, reply),
            self.timeout_ms,
        )

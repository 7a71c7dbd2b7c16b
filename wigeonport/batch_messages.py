"""Messages to the batch controller, and replies that only it gives."""


class ReportReceived:
    """A worker's heartbeat; the reply is WorkerOrders or a Redirect."""

    __slots__ = ("report", "reply")

    def __init__(self, report, reply):
        self.report = report
        self.reply = reply


class CallReceived:
    """A BatchCall that an entry forwarded; the reply is a BatchReply."""

    __slots__ = ("call", "reply")

    def __init__(self, call, reply):
        self.call = call
        self.reply = reply


class StopAsked:
    """Requests a transfer of leadership, because the process stops."""

    __slots__ = ()


class RoutesStated:
    """A RouteTable from the operator.

    The reply is True, False if the table is too large for the log, or a
    Redirect.
    """

    __slots__ = ("table", "reply")

    def __init__(self, table, reply):
        self.table = table
        self.reply = reply


class RoutesAsked:
    """Requests the RouteTable in force; the reply is it or a Redirect."""

    __slots__ = ("reply",)

    def __init__(self, reply):
        self.reply = reply


class WaveStated:
    """An upkeep wave from the operator; the reply is True or a Redirect.

    Attributes:
        number: Number that the operator gave to the wave.
        machines: Names of the machines that need upkeep.
        duration_ms: Time within which the upkeep of every machine must have
            begun.
        max_count: Maximum number of machines of the wave that are down at
            the same time.
        reply: Reply channel.
    """

    __slots__ = ("number", "machines", "duration_ms", "max_count", "reply")

    def __init__(self, number, machines, duration_ms, max_count, reply):
        self.number = number
        self.machines = machines
        self.duration_ms = duration_ms
        self.max_count = max_count
        self.reply = reply


class WaveAsked:
    """Requests a Wave by its number; the reply is it, None or a Redirect."""

    __slots__ = ("number", "reply")

    def __init__(self, number, reply):
        self.number = number
        self.reply = reply


class Redirect:
    """Reply of a replica that is not the leader.

    Attributes:
        host: Address of the leader, or "" if it is not known.
    """

    __slots__ = ("host",)

    def __init__(self, host):
        self.host = host


class Loaded:
    """A copy of the replicated state, from which dispatching starts."""

    __slots__ = ("term", "state")

    def __init__(self, term, state):
        self.term = term
        self.state = state


class ProposalEnded:
    """The outcome of the proposal of a batch.

    Attributes:
        term: Term in which the batch was proposed.
        sequence: Number of the batch.
        outcome: COMMITTED, REFUSED or "unknown".
        reason: Why the batch was not committed, or "".
    """

    __slots__ = ("term", "sequence", "outcome", "reason")

    def __init__(self, term, sequence, outcome, reason):
        self.term = term
        self.sequence = sequence
        self.outcome = outcome
        self.reason = reason

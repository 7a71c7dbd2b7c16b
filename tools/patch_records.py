"""Records of what operators and processes saw of the fleet versions."""

from collections import defaultdict

from wigeonport.records import Record

ACCEPTED, STALE, INVALID = "accepted", "stale", "invalid"
NOT_RUN, UNKNOWN = "not-run", "unknown"
DECIDED = (ACCEPTED, STALE, INVALID)
CUT, DOWN = "cut", "down"


class SubmitAttempt(Record):
    """One sending of a patch and what the operator was told.

    Attributes:
        patch: Patch id.
        base_version: Version that the patch names.
        value: Value that the patch sets; each patch sets another one.
        sent_ms: Wall time before the request.
        ended_ms: Wall time after the answer.
        outcome: One of the outcomes of this module.
        version: Version in the answer, or 0.
        body: Body of the answer as text.
        since: List of (version, patch) that a stale answer lists.
        complete: Whether that list is complete.
        before: Value before the listed changes, or None.
        after: Value after the listed changes, or None.
    """

    __slots__ = (
        "patch",
        "base_version",
        "value",
        "sent_ms",
        "ended_ms",
        "outcome",
        "version",
        "body",
        "since",
        "complete",
        "before",
        "after",
    )

    def __init__(self, patch, base_version, value, sent_ms):
        self.patch = patch
        self.base_version = base_version
        self.value = value
        self.sent_ms = sent_ms
        self.ended_ms = sent_ms
        self.outcome = UNKNOWN
        self.version = 0
        self.body = ""
        self.since = []
        self.complete = False
        self.before = None
        self.after = None


class AppliedVersion(Record):
    """A process put a version in force, from its events.

    Attributes:
        process: ``role/vm``.
        zone: Its availability zone.
        run: Start time of the run.
        sequence: Number of the event in the run.
        version: The version.
        stale: Whether no quorum had confirmed it.
        wall_ms: When.
    """

    __slots__ = (
        "process",
        "zone",
        "run",
        "sequence",
        "version",
        "stale",
        "wall_ms",
    )

    def __init__(self, process, zone, run, sequence, version, stale, wall_ms):
        self.process = process
        self.zone = zone
        self.run = run
        self.sequence = sequence
        self.version = version
        self.stale = stale
        self.wall_ms = wall_ms


class PolledVersion(Record):
    """A version that a poll showed.

    Attributes:
        process: The process whose version it is.
        source: What showed it: a kind of poll and the runs concerned.
        version: The version.
        wall_ms: When the answer arrived.
    """

    __slots__ = ("process", "source", "version", "wall_ms")

    def __init__(self, process, source, version, wall_ms):
        self.process = process
        self.source = source
        self.version = version
        self.wall_ms = wall_ms


class Fault(Record):
    """An injected failure that limits what a process can know.

    Attributes:
        kind: ``cut`` for a zone, ``down`` for a process.
        name: The zone or the process.
        from_ms: Start.
        until_ms: End.
    """

    __slots__ = ("kind", "name", "from_ms", "until_ms")

    def __init__(self, kind, name, from_ms, until_ms):
        self.kind = kind
        self.name = name
        self.from_ms = from_ms
        self.until_ms = until_ms


class PatchHistory(Record):
    """Everything that was recorded in one run.

    Attributes:
        attempts: All Sendings.
        final: Pairs (version, patch) of the final history, oldest first.
        applied: All Applied.
        polled: All Polled, in the order of the answers.
        faults: All Faults.
        processes: Processes that must reach the last version.
        failures_ended_ms: Wall time at which the last failure was undone.
        limit_ms: Time that a process then has for the last version.
    """

    __slots__ = (
        "attempts",
        "final",
        "applied",
        "polled",
        "faults",
        "processes",
        "failures_ended_ms",
        "limit_ms",
    )

    def __init__(self, processes, limit_ms):
        self.attempts = []
        self.final = []
        self.applied = []
        self.polled = []
        self.faults = []
        self.processes = processes
        self.failures_ended_ms = 0
        self.limit_ms = limit_ms

    def attempts_by_patch(self):
        """Returns the sendings of each patch."""
        grouped = defaultdict(list)
        for attempt in self.attempts:
            grouped[attempt.patch].append(attempt)
        return grouped

    def runs(self):
        """Returns the Applied of each run by process, runs in order."""
        grouped = defaultdict(lambda: defaultdict(list))
        for item in sorted(self.applied, key=lambda a: (a.run, a.sequence)):
            grouped[item.process][item.run].append(item)
        return grouped

    def is_faulty(self, kind, name, wall_ms):
        """Returns whether a fault of a kind was in effect."""
        return any(
            fault.kind == kind
            and fault.name == name
            and fault.from_ms <= wall_ms <= fault.until_ms
            for fault in self.faults
        )

"""Records of the answers to patches and of the versions of processes."""

from collections import defaultdict

from wigeonport.records import Record

ACCEPTED, STALE, INVALID = "accepted", "stale", "invalid"
NOT_RUN, UNKNOWN = "not-run", "unknown"
DECIDED = (ACCEPTED, STALE, INVALID)
CUT, DOWN = "cut", "down"


class SubmitAttempt(Record):
    """One request that submits a patch, and the answer to it.

    Attributes:
        patch: Patch id.
        base_version: Version against which the patch is made.
        value: Value that the patch sets; each patch sets another one.
        sent_ms: Wall time before the request.
        ended_ms: Wall time after the answer.
        outcome: ACCEPTED, STALE, INVALID, NOT_RUN or UNKNOWN.
        version: Version in the answer, or 0.
        body: Answer as JSON with sorted keys, or empty.
        since: List of (version, patch) that a stale answer lists: the
            versions after the base version.
        complete: Whether a stale answer says that this list is complete.
        before: Value before the listed versions, or None.
        after: Value after the listed versions, or None.
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
    """A version that a process put in force, as its event says.

    Attributes:
        process: Name of the process, ``role/vm``.
        zone: Availability zone of the process.
        run: Start time of the run of the process.
        sequence: Number of the event in the run.
        version: Fleet version.
        stale: Whether no quorum had confirmed the version.
        wall_ms: Wall time of the event.
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
    """A version of a process that a poll showed.

    Attributes:
        process: Name of the process whose version it is, ``role/vm``.
        source: Kind of the poll and process ids of the runs concerned; the
            polls of one source must not show lower versions later.
        version: Fleet version.
        wall_ms: Wall time at which the answer arrived.
    """

    __slots__ = ("process", "source", "version", "wall_ms")

    def __init__(self, process, source, version, wall_ms):
        self.process = process
        self.source = source
        self.version = version
        self.wall_ms = wall_ms


class Fault(Record):
    """An injected failure that keeps processes from learning a version.

    Attributes:
        kind: ``cut`` for a zone, ``down`` for a process.
        name: Name of the zone or the process.
        from_ms: Wall time of its start.
        until_ms: Wall time of its end.
    """

    __slots__ = ("kind", "name", "from_ms", "until_ms")

    def __init__(self, kind, name, from_ms, until_ms):
        self.kind = kind
        self.name = name
        self.from_ms = from_ms
        self.until_ms = until_ms


class PatchHistory(Record):
    """Everything that was recorded in one run of the soak.

    Attributes:
        attempts: List of SubmitAttempts, in the order of the requests.
        final: Pairs (version, patch) of the final history, oldest first.
        applied: List of AppliedVersions.
        polled: List of PolledVersions, in the order of the answers.
        faults: List of Faults.
        processes: Names of the processes that must reach the last version.
        failures_ended_ms: Wall time at which the last failure was undone.
        limit_ms: Time after that in which a process must reach the last
            version.
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
        """Returns a dict of patch id to the attempts to submit the patch."""
        grouped = defaultdict(list)
        for attempt in self.attempts:
            grouped[attempt.patch].append(attempt)
        return grouped

    def runs(self):
        """Returns the AppliedVersions grouped by process and run.

        Returns:
            Dict of process to dict of run to its AppliedVersions, both runs
            and versions in the order of time.
        """
        grouped = defaultdict(lambda: defaultdict(list))
        for item in sorted(self.applied, key=lambda a: (a.run, a.sequence)):
            grouped[item.process][item.run].append(item)
        return grouped

    def is_faulty(self, kind, name, wall_ms):
        """Returns whether a fault of a kind was in effect at a wall time."""
        return any(
            fault.kind == kind
            and fault.name == name
            and fault.from_ms <= wall_ms <= fault.until_ms
            for fault in self.faults
        )

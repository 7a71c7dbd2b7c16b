"""Reports of a replica that knows no leader."""

from wigeonport import elections

# With the default timeouts an election takes less than 2 s.
REPORT_INTERVAL_MS = 3_000


class LeaderAbsence:
    """How long a replica has known no leader.

    All times are in ms on the monotonic clock.

    Attributes:
        since_ms: Time since which no leader is known, or None.
        next_report_ms: Time of the next report.
    """

    __slots__ = ("since_ms", "next_report_ms")

    def __init__(self, now_ms):
        self.since_ms = now_ms
        self.next_report_ms = now_ms + REPORT_INTERVAL_MS

    def update(self, has_leader, now_ms):
        """Records whether a leader is known.

        Args:
            has_leader: Whether one is known.
            now_ms: Time of the observation.

        Returns:
            The length of the absence in ms if a report is due, else None.
        """
        if has_leader:
            self.since_ms = None
            return None
        if self.since_ms is None:
            self.since_ms = now_ms
            self.next_report_ms = now_ms + REPORT_INTERVAL_MS
        if now_ms < self.next_report_ms:
            return None
        self.next_report_ms = now_ms + REPORT_INTERVAL_MS
        return now_ms - self.since_ms


def has_leader(replica):
    """Returns whether a replica leads or has had contact with its leader.

    A learner holds no election and keeps the name of a leader that it has
    lost contact with.
    """
    if replica.is_leader():
        return True
    return bool(replica.leader_id) and not elections.lacks_leader(replica)


def describe_absence(replica):
    """Returns the fields of a report: why the replica has no leader.

    ``votes`` names the voters that support its present attempt to be elected.
    A voter that is missing there is unreachable, refuses by the rules of the
    election, or runs under another identity.
    """
    return {
        "replica": replica.replica_id,
        "term": replica.term,
        "role": replica.role,
        "last": replica.log.last_index(),
        "voters": ",".join(replica.members().voters) or "none",
        "votes": ",".join(sorted(replica.votes)) or "none",
    }

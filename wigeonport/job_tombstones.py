"""Tombstones: ids of jobs that were cancelled before any submission arrived.

The submission may still be on its way: in a socket of an entry that stands
still, behind a broken link, or in the queue of a process. The reply to the
cancellation says that no such job exists, so a later submission of the id
must not be accepted. Tombstones belong to the replicated state and outlive a
change of leader.

A tombstone belongs to the tenant of the cancellation; the empty name stands
for callers without a key. It covers the id under every path, because a job id
is in use only once in the whole system and the path of a queue may change.

Every caller can cancel ids that never existed. Each tenant may therefore hold
at most as many tombstones as are free, so that one tenant takes no more than
half of them and leaves room for the others.

Source: A. K. Choudhury and E. L. Hahne, "Dynamic Queue Length Thresholds for
Shared-Memory Packet Switches", 1998, for the maximum of a tenant.
"""

MAX_TOMBSTONES = 32_768
# Longer than any call may take: entries pass on no submission after the
# deadline of its client, and the longest deadline is one hour.
RETENTION_MS = 3_900_000
# A tenant that has no room may replace a tombstone of this age. Few clients
# wait longer for an answer.
MIN_RETENTION_MS = 300_000
# Maximum time that passes between two operations, so that a wall clock that
# jumps does not age all tombstones at once.
MAX_STEP_MS = MIN_RETENTION_MS


class TombstoneTable:
    """Tombstones by tenant, oldest first.

    Attributes:
        by_tenant: Maps name of the tenant to a dict of job id, as a number,
            to the age clock at which its tombstone was added.
        count: Number of all tombstones.
        clock_ms: Age clock, which does not jump.
        wall_ms: Wall time at which the age clock was set.
    """

    __slots__ = ("by_tenant", "count", "clock_ms", "wall_ms")

    def __init__(self):
        self.by_tenant = {}
        self.count = 0
        self.clock_ms = 0
        self.wall_ms = 0

    def covers(self, tenant, job_id):
        """Returns whether a caller's submission must not be accepted.

        Args:
            tenant: Name of the tenant, or None for a caller without a key,
                to whom the tombstones of all tenants apply: the queue may
                have required a key when the job was cancelled.
            job_id: Id of the job.
        """
        names = self.by_tenant if tenant is None else ("", tenant)
        number = int(job_id, 16)
        return any(number in self.by_tenant.get(name, ()) for name in names)

    def read_clock(self, wall_ms):
        """Returns the age clock at a wall time."""
        passed_ms = min(max(0, wall_ms - self.wall_ms), MAX_STEP_MS)
        return self.clock_ms + passed_ms

    def find_wait(self, tenant, wall_ms):
        """Returns the time, in ms, until a tenant may add a tombstone.

        The result is 0 if it may add one now.
        """
        own = self.by_tenant.get(tenant, {})
        if len(own) < MAX_TOMBSTONES - self.count:
            return 0
        if not own:
            return MIN_RETENTION_MS
        age_ms = self.read_clock(wall_ms) - next(iter(own.values()))
        return max(0, MIN_RETENTION_MS - age_ms)

    def add(self, tenant, job_id, wall_ms):
        """Adds a tombstone; removes expired ones and one that it replaces."""
        self.clock_ms = self.read_clock(wall_ms)
        self.wall_ms = wall_ms
        self.remove_expired()
        own = self.by_tenant.setdefault(tenant, {})
        number = int(job_id, 16)
        if number in own:
            return
        if own and len(own) >= MAX_TOMBSTONES - self.count:
            self.remove_oldest(tenant)
            own = self.by_tenant.setdefault(tenant, {})
        own[number] = self.clock_ms
        self.count += 1

    def remove_expired(self):
        """Removes the tombstones older than ``RETENTION_MS``."""
        limit_ms = self.clock_ms - RETENTION_MS
        for tenant in list(self.by_tenant):
            while (
                tenant in self.by_tenant
                and next(iter(self.by_tenant[tenant].values())) < limit_ms
            ):
                self.remove_oldest(tenant)

    def remove_oldest(self, tenant):
        """Removes the oldest tombstone of a tenant that has one."""
        own = self.by_tenant[tenant]
        del own[next(iter(own))]
        self.count -= 1
        if not own:
            del self.by_tenant[tenant]

    def copy(self):
        """Returns a copy."""
        copied = TombstoneTable()
        copied.by_tenant = {
            name: dict(own) for name, own in self.by_tenant.items()
        }
        copied.count = self.count
        copied.clock_ms = self.clock_ms
        copied.wall_ms = self.wall_ms
        return copied

    def to_document(self):
        """Returns the table as a JSON-compatible dict."""
        return {
            "by_tenant": [
                [name, [[f"{key:016x}", own[key]] for key in own]]
                for name, own in self.by_tenant.items()
            ],
            "clock_ms": self.clock_ms,
            "wall_ms": self.wall_ms,
        }


def tombstones_from_document(document):
    """Rebuilds a TombstoneTable from ``TombstoneTable.to_document``."""
    table = TombstoneTable()
    for name, rows in document["by_tenant"]:
        table.by_tenant[name] = {int(key, 16): ms for key, ms in rows}
        table.count += len(rows)
    table.clock_ms = document["clock_ms"]
    table.wall_ms = document["wall_ms"]
    return table

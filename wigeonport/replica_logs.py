"""The part of the replicated log that a replica holds in memory."""

from wigeonport.memberships import Members
from wigeonport.replication_messages import MEMBERS


class ReplicaLog:
    """Entries after a compacted prefix.

    Attributes:
        base_index: Last index that is not held any more.
        base_term: Term of the entry at ``base_index``.
        entries: Entries from ``base_index + 1`` on.
        durable_index: Highest index known to be synced.
        members_history: Pairs of index and Members, oldest first; the first
            pair holds the members as of ``base_index`` or earlier.
    """

    __slots__ = (
        "base_index",
        "base_term",
        "entries",
        "durable_index",
        "members_history",
    )

    def __init__(self, base_index, base_term, members, entries):
        self.base_index = base_index
        self.base_term = base_term
        self.entries = []
        self.members_history = [(base_index, members)]
        for entry in entries:
            self.append(entry)
        self.durable_index = self.last_index()

    def last_index(self):
        """Returns the index of the last entry."""
        return self.base_index + len(self.entries)

    def last_term(self):
        """Returns the term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index):
        """Returns the term at an index, or None if it is not held."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index():
            return self.entries[index - self.base_index - 1].term
        return None

    def append(self, entry):
        """Adds an entry at the end."""
        self.entries.append(entry)
        if entry.kind == MEMBERS:
            members = Members.from_payload(entry.payload)
            self.members_history.append((entry.index, members))

    def truncate_from(self, index):
        """Removes the entries from ``index`` on."""
        del self.entries[index - self.base_index - 1 :]
        while (
            len(self.members_history) > 1
            and self.members_history[-1][0] >= index
        ):
            self.members_history.pop()
        self.durable_index = min(self.durable_index, index - 1)

    def entries_between(self, first_index, last_index):
        """Returns the entries of a range, both ends included."""
        start = first_index - self.base_index - 1
        return self.entries[start : last_index - self.base_index]

    def batch(self, first_index, last_index, limit_bytes):
        """Returns entries from ``first_index`` up to a size in bytes."""
        batch = []
        size_bytes = 0
        start = first_index - self.base_index - 1
        stop = last_index - self.base_index
        for position in range(start, min(stop, len(self.entries))):
            entry = self.entries[position]
            size_bytes += len(entry.payload) + 64
            if batch and size_bytes > limit_bytes:
                break
            batch.append(entry)
        return batch

    def first_index_of_term(self, index):
        """Returns the first held index with the same term as ``index``."""
        term = self.term_at(index)
        while index - 1 > self.base_index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def members(self):
        """Returns the newest members, committed or not."""
        return self.members_history[-1][1]

    def members_index(self):
        """Returns the index of the newest change of members."""
        return self.members_history[-1][0]

    def members_at(self, index):
        """Returns the members as of an index."""
        found = self.members_history[0][1]
        for position, members in self.members_history:
            if position <= index:
                found = members
        return found

    def compact_to(self, index):
        """Drops the entries up to ``index``."""
        if index <= self.base_index:
            return
        members = self.members_at(index)
        term = self.term_at(index)
        del self.entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term
        step_if_running = [
            pair for pair in self.members_history if pair[0] > index
        ]
        # The index of the newest change must survive, because a pending
        # change is recognized by it; a compacted one is committed.
        self.members_history = [(index, members), *step_if_running]

    def reset(self, snapshot):
        """Replaces everything by the position of a snapshot."""
        self.base_index = snapshot.index
        self.base_term = snapshot.term
        self.entries = []
        self.members_history = [(snapshot.index, snapshot.members)]
        self.durable_index = 0

"""The part of the replicated log that a replica holds in memory."""

import bisect

from wigeonport.memberships import Members
from wigeonport.replication_messages import MEMBERS

# What an entry counts for its other fields.
ENTRY_BYTES = 64


class ReplicaLog:
    """Entries of the log after a compacted prefix.

    Attributes:
        base_index: Last index of the compacted prefix, 0 without one.
        base_term: Term of the entry at ``base_index``.
        entries: Entries from ``base_index + 1`` on.
        base_offset: Bytes of all entries up to ``base_index``, from an
            arbitrary one on.
        offsets: The same for each of ``entries``.
        durable_index: Highest index known to be synced to disk.
        members_history: Pairs of index and Members, oldest first. The first
            pair has the members as of ``base_index``; each later one has
            the index of a change of members.
    """

    __slots__ = (
        "base_index",
        "base_term",
        "entries",
        "base_offset",
        "offsets",
        "durable_index",
        "members_history",
    )

    def __init__(self, base_index, base_term, members, entries):
        self.base_index = base_index
        self.base_term = base_term
        self.entries = []
        self.base_offset = 0
        self.offsets = []
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
        """Returns the term of an index, or None if it is not in memory."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index():
            return self.entries[index - self.base_index - 1].term
        return None

    def offset_at(self, index):
        """Returns the bytes of all entries up to an index in memory.

        An index before ``base_index`` counts as ``base_index``.
        """
        if index <= self.base_index:
            return self.base_offset
        return self.offsets[index - self.base_index - 1]

    def size_between(self, after_index, last_index):
        """Returns the bytes in memory of the entries after an index."""
        return self.offset_at(last_index) - self.offset_at(after_index)

    def first_within(self, last_index, limit_bytes):
        """Returns the lowest index after which the entries take few bytes.

        Args:
            last_index: Index of the last entry that counts.
            limit_bytes: Largest size of the entries after the result, up to
                ``last_index``.
        """
        floor = self.offset_at(last_index) - limit_bytes
        if floor <= self.base_offset:
            return self.base_index
        return self.base_index + 1 + bisect.bisect_left(self.offsets, floor)

    def append(self, entry):
        """Adds an entry at the end."""
        offset = self.offset_at(self.last_index())
        self.offsets.append(offset + len(entry.payload) + ENTRY_BYTES)
        self.entries.append(entry)
        if entry.kind == MEMBERS:
            members = Members.from_payload(entry.payload)
            self.members_history.append((entry.index, members))

    def truncate_from(self, index):
        """Removes the entries from ``index`` on."""
        del self.entries[index - self.base_index - 1 :]
        del self.offsets[index - self.base_index - 1 :]
        while (
            len(self.members_history) > 1
            and self.members_history[-1][0] >= index
        ):
            self.members_history.pop()
        self.durable_index = min(self.durable_index, index - 1)

    def entries_between(self, first_index, last_index):
        """Returns the entries of a range of indexes, both ends included."""
        start = first_index - self.base_index - 1
        return self.entries[start : last_index - self.base_index]

    def batch(self, first_index, last_index, limit_bytes):
        """Returns entries of a range of indexes, up to a size in bytes.

        The first entry is returned even if it is larger than
        ``limit_bytes``.
        """
        batch = []
        size_bytes = 0
        start = first_index - self.base_index - 1
        stop = last_index - self.base_index
        for position in range(start, min(stop, len(self.entries))):
            entry = self.entries[position]
            size_bytes += len(entry.payload) + ENTRY_BYTES
            if batch and size_bytes > limit_bytes:
                break
            batch.append(entry)
        return batch

    def first_index_of_term(self, index):
        """Returns the first index in memory with the term of ``index``."""
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
        newest = self.members_history[0][1]
        for change_index, members in self.members_history:
            if change_index <= index:
                newest = members
        return newest

    def compact_to(self, index):
        """Removes the entries up to ``index`` from memory."""
        if index <= self.base_index:
            return
        members = self.members_at(index)
        term = self.term_at(index)
        self.base_offset = self.offset_at(index)
        del self.entries[: index - self.base_index]
        del self.offsets[: index - self.base_index]
        self.base_index = index
        self.base_term = term
        later_changes = [
            pair for pair in self.members_history if pair[0] > index
        ]
        # Later changes keep their index, by which an uncommitted change is
        # recognized; a compacted change is committed.
        self.members_history = [(index, members), *later_changes]

    def reset(self, snapshot):
        """Empties the log, which then continues after a snapshot."""
        self.base_index = snapshot.index
        self.base_term = snapshot.term
        self.entries = []
        self.base_offset = 0
        self.offsets = []
        self.members_history = [(snapshot.index, snapshot.members)]
        self.durable_index = 0

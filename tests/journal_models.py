"""Model of what a data directory must return after a crash."""

import functools

from wigeonport.memberships import Member, Members
from wigeonport.replica_events import HardState, Persist, Snapshot
from wigeonport.replication_messages import DATA, Entry

MEMBERS = Members([Member("a/1", True, True)])


def make_persist(
    indexes=(), term=1, hard_state=None, snapshot=None, compact_index=0
):
    """Returns a Persist with an entry of a term for each index."""
    persist = Persist(1)
    persist.entries = [
        Entry(index, term, DATA, b"entry %d %d" % (index, term))
        for index in indexes
    ]
    persist.hard_state = hard_state
    persist.snapshot = snapshot
    persist.compact_index = compact_index
    return persist


def make_snapshot(index, term=1):
    """Returns a Snapshot at an index."""
    return Snapshot(index, term, MEMBERS, b"state %d %d" % (index, term))


class LogState:
    """Content of a data directory.

    Attributes:
        hard_state: Pair (term, vote).
        base: Pair (index, term) of the newest snapshot, or (0, 0).
        entries: Tuples (index, term, payload) of the entries after it.
    """

    __slots__ = ("hard_state", "base", "entries")

    def __init__(self, hard_state=(0, ""), base=(0, 0), entries=()):
        self.hard_state = hard_state
        self.base = base
        self.entries = tuple(entries)

    def __eq__(self, other):
        return (self.hard_state, self.base, self.entries) == (
            other.hard_state,
            other.base,
            other.entries,
        )

    def __repr__(self):
        entries = [(index, term) for index, term, _ in self.entries]
        return f"{self.hard_state} {self.base} {entries}"

    def last(self):
        """Returns the pair (index, term) of the end of the log."""
        return self.entries[-1][:2] if self.entries else self.base

    def with_batch(self, hard_state, entries):
        """Returns the state after a record of the journal."""
        log = list(self.entries)
        for entry in entries:
            log = [item for item in log if item[0] < entry.index]
            log.append((entry.index, entry.term, entry.payload))
        log = [item for item in log if item[0] > self.base[0]]
        pair = hard_state and (hard_state.term, hard_state.vote)
        return LogState(pair or self.hard_state, self.base, log)

    def with_snapshot(self, base):
        """Returns the state after a snapshot file is in place.

        Entries after the snapshot stay if the log agrees with it.
        """
        agrees = base == self.base or base in [e[:2] for e in self.entries]
        kept = [e for e in self.entries if agrees and e[0] > base[0]]
        return LogState(self.hard_state, base, kept)


def state_of(recovered):
    """Returns the LogState of a RecoveredState."""
    hard_state, snapshot = recovered.hard_state, recovered.snapshot
    base = (snapshot.index, snapshot.term) if snapshot else (0, 0)
    if snapshot:
        assert snapshot.data == make_snapshot(*base).data
    return LogState(
        (hard_state.term, hard_state.vote),
        base,
        [(e.index, e.term, e.payload) for e in recovered.entries],
    )


def states_of_write(state, persists):
    """Returns the LogStates that a write passes through, first to last."""
    states = [state]
    hard_state, entries = None, []
    for persist in persists:
        if persist.snapshot:
            states.append(states[-1].with_batch(hard_state, entries))
            hard_state, entries = None, []
            base = (persist.snapshot.index, persist.snapshot.term)
            states.append(states[-1].with_snapshot(base))
            installed = LogState(states[-1].hard_state, base)
            states.append(installed.with_batch(persist.hard_state, []))
        hard_state = persist.hard_state or hard_state
        entries = entries + persist.entries
    states.append(states[-1].with_batch(hard_state, entries))
    return states


class JournalModel:
    """Random writes to a data directory and what it may return after them.

    Attributes:
        random: Source of random numbers.
        number: Number of the last entry, so that each payload is unique.
        states: LogStates that the directory may return; one unless a write
            was interrupted.
    """

    __slots__ = ("random", "number", "states")

    def __init__(self, source):
        self.random = source
        self.number = 0
        self.states = [LogState()]

    def recover(self, recovered):
        """Checks a RecoveredState, which the replica then relies on."""
        state = state_of(recovered)
        assert state in self.states, f"{state} is none of {self.states}"
        self.states = [state]

    def write(self, journal, write_snapshot):
        """Carries out a random write.

        Args:
            journal: Journal.
            write_snapshot: Function of a Snapshot to write and of a function
                to call when it has its name, or None.
        """
        state = self.states[-1]
        kind = self.random.randrange(7)
        if kind < 2 and len(state.entries) > 1:
            bases = sorted(e[:2] for e in self.random.sample(state.entries, 2))
            persists = [make_persist(compact_index=bases[0][0])]
            self._take_snapshot(write_snapshot, bases[0])
            if kind == 0:
                # The journal writer and the snapshot writer are concurrent.
                compaction = functools.partial(journal.write, persists)
                self._take_snapshot(write_snapshot, bases[1], compaction)
                persists = [make_persist(compact_index=bases[1][0])]
        else:
            persists = self._random_persists(state)
            after = states_of_write(state, persists)[-1]
            if kind == 2 and after.entries and after.base == state.base:
                # Entries may be applied before they are in the journal.
                base = self.random.choice(after.entries)[:2]
                self._take_snapshot(write_snapshot, base)
        self.states = states_of_write(self.states[-1], persists)
        journal.write(persists)
        del self.states[:-1]

    def _take_snapshot(self, write_snapshot, base, meanwhile=None):
        state = self.states[-1]
        self.states = [state, state.with_snapshot(base)]
        write_snapshot(make_snapshot(*base), meanwhile)
        del self.states[:-1]

    def _random_persists(self, state):
        persists = []
        for _ in range(self.random.randrange(1, 4)):
            persist = self._random_persist(state)
            state = states_of_write(state, [persist])[-1]
            persists.append(persist)
        return persists

    def _random_persist(self, state):
        index, term = state.last()
        persist = make_persist()
        if self.random.random() < 0.3:
            next_term = state.hard_state[0] + 1
            persist.hard_state = HardState(next_term, f"b/{next_term}")
        if self.random.random() < 0.15:
            if state.entries and self.random.random() < 0.3:
                index, term, _ = self.random.choice(state.entries)
            else:
                index = self.random.randrange(state.base[0] + 1, index + 9)
                term += 1
            persist.snapshot = make_snapshot(index, term)
        elif state.entries and self.random.random() < 0.2:
            index = self.random.choice(state.entries)[0] - 1
            term += 1
        for _ in range(self.random.randrange(4)):
            index += 1
            self.number += 1
            payload = b"entry %d" % self.number
            persist.entries.append(Entry(index, term, DATA, payload))
        return persist

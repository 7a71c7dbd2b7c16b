"""The storage of a replica in a simulated network.

It stands for the journal, the snapshots and the recovery of a data directory
without reading or writing files.
"""

from wigeonport.replica_events import HardState, RecoveredState
from wigeonport.snapshots import DamageError


class Record:
    """A record of the journal.

    Attributes:
        hard_state: HardState, or None.
        entries: Entries; they replace those from the index of the first on.
        synced: Whether it survives a loss of power.
    """

    __slots__ = ("hard_state", "entries", "synced")

    def __init__(self, hard_state, entries, synced):
        self.hard_state = hard_state
        self.entries = entries
        self.synced = synced


class Storage:
    """What a node has written, and which part of it is synced.

    The end of the process keeps what is written, and a loss of power keeps
    what is synced. The real code is bypassed. These are its properties that
    the model relies on:

    - ``recoveries.py`` syncs what a recovery reads before the replica relies
      on it (``tests/test_power_losses.py`` checks that with files). Without
      ``recovery_syncs`` a later sync covers the new segment only.
    - ``recoveries.py`` starts a segment whose header makes the recovered hard
      state durable, whether or not the records read are synced.
    - ``recoveries.py`` drops an interrupted write at the end of the log, and
      reports damage if an entry is missing before a later one. Its check of
      segment headers, which also finds a missing end, is left out, so that
      a recovery without a sync loses entries that are acknowledged.
    - ``journals.py`` makes a received snapshot durable at once, with the hard
      state, and what is written before it counts no more.

    Attributes:
        recovery_syncs: Whether a recovery syncs what it reads.
        snapshot: Newest Snapshot, or None; always durable.
        records: Records, oldest first.
        segment_start: Position of the first record that a sync of the newest
            segment covers.
    """

    __slots__ = ("recovery_syncs", "snapshot", "records", "segment_start")

    def __init__(self, recovery_syncs=True):
        self.recovery_syncs = recovery_syncs
        self.snapshot = None
        self.records = []
        self.segment_start = 0

    def hard_state(self):
        """Returns the newest HardState, synced or not."""
        for record in reversed(self.records):
            if record.hard_state:
                return record.hard_state
        return HardState(0, "")

    def has_unsynced_entries(self):
        """Returns whether a loss of power could remove entries."""
        return any(r.entries and not r.synced for r in self.records)

    def write(self, persists):
        """Appends a list of Persists to the newest segment."""
        for persist in persists:
            hard_state = persist.hard_state
            if persist.snapshot:
                self.snapshot = persist.snapshot
                header = Record(hard_state or self.hard_state(), [], True)
                self.records = [header]
                self.segment_start = 0
            if hard_state or persist.entries:
                entries = list(persist.entries)
                self.records.append(Record(hard_state, entries, False))

    def sync(self):
        """Syncs the newest segment."""
        for record in self.records[self.segment_start :]:
            record.synced = True

    def lose_power(self, random):
        """Removes all unsynced writes, or all after one of them."""
        count = 0
        if random.random() < 0.5:
            count = random.randrange(4)
        for record in [r for r in self.records if not r.synced][:count]:
            record.synced = True
        self.records = [record for record in self.records if record.synced]

    def recover(self):
        """Returns the RecoveredState of a replica that restarts.

        Raises:
            DamageError: If an entry is missing before a later one.
        """
        entries = self.read_entries()
        if self.recovery_syncs:
            self.segment_start = 0
            self.sync()
        hard_state = self.hard_state()
        self.segment_start = len(self.records)
        self.records.append(Record(hard_state, [], True))
        return RecoveredState(hard_state, self.snapshot, entries)

    def read_entries(self):
        """Returns the entries after the snapshot.

        Raises:
            DamageError: If an entry is missing before a later one.
        """
        base_index = self.snapshot.index if self.snapshot else 0
        entries = []
        for record in self.records:
            for entry in record.entries:
                while entries and entries[-1].index >= entry.index:
                    entries.pop()
                last_index = entries[-1].index if entries else base_index
                if entry.index > max(last_index, base_index) + 1:
                    raise DamageError(
                        f"entries before index {entry.index} are missing"
                    )
                entries.append(entry)
        return [entry for entry in entries if entry.index > base_index]

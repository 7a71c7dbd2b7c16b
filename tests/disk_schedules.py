"""Random schedules of writes, kills and power losses for a journal."""

import random

from disk_changes import random_fate
from disk_simulations import after_rename
from journal_models import JournalModel

from wigeonport.recoveries import open_directory
from wigeonport.snapshots import write_snapshot


class Schedule:
    """Runs of a process that end at random operations on the disk.

    Attributes:
        disk: Disk.
        path: Path of the data directory.
        random: Source of random numbers.
        model: JournalModel.
        replica_id: Replica id of the first run that opened the directory,
            or "".
    """

    __slots__ = ("disk", "path", "random", "model", "replica_id")

    def __init__(self, disk, seed):
        self.disk = disk
        self.path = disk.root / "data"
        self.random = random.Random(seed)
        self.model = JournalModel(self.random)
        self.replica_id = ""

    def run(self):
        """Opens the directory and writes until the process ends."""
        if self.random.random() < 0.4:
            self.disk.steps_left = self.random.randrange(1, 30)
        storage = open_directory(self.path, "test", "a")
        assert not storage.damage
        assert storage.replica_id == (self.replica_id or storage.replica_id)
        self.replica_id = storage.replica_id
        self.model.recover(storage.recovered)
        self.disk.steps_left = self.random.randrange(1, 100)
        while True:
            self.model.write(storage.journal, self.write_snapshot)

    def write_snapshot(self, snapshot, meanwhile):
        """Writes a snapshot of the local state.

        Args:
            snapshot: Snapshot.
            meanwhile: Function to call when the file has its name, or None.
        """
        if meanwhile is None:
            write_snapshot(self.path, snapshot)
            return
        with after_rename(self.disk, meanwhile):
            write_snapshot(self.path, snapshot)

    def end(self):
        """Ends the process by a kill or by a loss of power."""
        if self.random.random() < 0.5:
            self.disk.kill()
        else:
            self.disk.lose_power(random_fate(self.random))

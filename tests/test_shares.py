"""Tests of the leases of one endpoint's slots."""

import random

import pytest

from wigeonport.endpoints import EndpointChanged
from wigeonport.share_ledgers import SlotLedger, share_by_demand
from wigeonport.share_messages import GrantedShare, ShareGrant, ShareWant
from wigeonport.shares import ShareChanged, ShareDemand, ShareManager

SLOTS = 8
STEP_MS = 20
LEASE_MS = 2_000


class Entry:
    """One entry: its ShareManager and its running requests.

    Attributes:
        manager: The ShareManager.
        slots: Number of slots of the latest ShareChanged.
        until_ms: Time until which these slots may be used.
        end_times_ms: End times of the running requests.
        demand: Number of requests that the entry could run.
    """

    def __init__(self, node_id):
        self.manager = ShareManager(node_id, LEASE_MS, 100)
        self.slots = 0
        self.until_ms = 0
        self.end_times_ms = []
        self.demand = 0

    def work(self, now_ms, rng, work_ms):
        """Starts requests on the free slots; returns the ShareDemand."""
        self.end_times_ms = [
            end_ms for end_ms in self.end_times_ms if end_ms > now_ms
        ]
        usable = self.slots if now_ms < self.until_ms else 0
        while len(self.end_times_ms) < min(usable, self.demand):
            self.end_times_ms.append(now_ms + rng.randrange(20, work_ms))
        urgent = self.demand > usable
        return ShareDemand(
            [("e1", self.demand, len(self.end_times_ms))], urgent
        )


class Group:
    """Seven entries that share one endpoint.

    Attributes:
        now_ms: Simulated time.
        rng: Random numbers with a fixed seed.
        loss: Probability that a message is lost.
        work_ms: Maximum duration of a request.
        record: EndpointRecord of the endpoint.
        entries: Maps node id to Entry.
        messages: Pairs of target and message; they arrive after one step.
        orphaned_end_times_ms: End times of requests whose entry was killed.
        max_used: Maximum number of slots in use at the same time.
    """

    def __init__(self, record, loss=0.0, work_ms=200):
        self.now_ms = 0
        self.rng = random.Random(7)
        self.loss = loss
        self.work_ms = work_ms
        self.record = record
        self.entries = {f"n{i}": Entry(f"n{i}") for i in range(7)}
        self.messages = []
        self.orphaned_end_times_ms = []
        self.max_used = 0
        self.set_owner("n0")

    def set_owner(self, owner, replaced_ms=None):
        """Announces the owner of the endpoint to all entries."""
        for entry in self.entries.values():
            change = EndpointChanged(self.record, owner, replaced_ms)
            entry.manager.step(change, self.now_ms)

    def kill(self, node_id):
        """Removes an entry; its running requests continue at the endpoint."""
        self.orphaned_end_times_ms += self.entries.pop(node_id).end_times_ms

    def run(self, duration_ms, demand):
        """Advances the time.

        Args:
            duration_ms: Simulated duration.
            demand: Maps node id to the number of requests that the entry
                could run.
        """
        for _ in range(duration_ms // STEP_MS):
            self.now_ms += STEP_MS
            arrived, self.messages = self.messages, []
            for target, message in arrived:
                if target in self.entries:
                    manager = self.entries[target].manager
                    self.perform(target, manager.step(message, self.now_ms))
            for node_id, entry in list(self.entries.items()):
                entry.demand = demand.get(node_id, 0)
                share_demand = entry.work(self.now_ms, self.rng, self.work_ms)
                self.perform(
                    node_id, entry.manager.step(share_demand, self.now_ms)
                )
                self.perform(node_id, entry.manager.tick(self.now_ms))
            self.max_used = max(self.max_used, self.used())

    def perform(self, source, commands):
        """Applies the changes and sends the messages of a step."""
        for command in commands:
            if isinstance(command, ShareChanged):
                entry = self.entries[source]
                entry.slots, entry.until_ms = command.slots, command.until_ms
            elif self.rng.random() >= self.loss:
                self.messages.append((command.node_id, command.message))

    def used(self):
        """Returns the number of slots in use at the endpoint."""
        self.orphaned_end_times_ms = [
            end_ms
            for end_ms in self.orphaned_end_times_ms
            if end_ms > self.now_ms
        ]
        in_use = sum(
            len(entry.end_times_ms) for entry in self.entries.values()
        )
        return in_use + len(self.orphaned_end_times_ms)


@pytest.fixture
def make_group(make_record):
    """Returns a function that makes groups with one endpoint of 8 slots."""

    def make(loss=0.0, work_ms=200):
        return Group(make_record(slots=SLOTS), loss, work_ms)

    return make


def test_shares_follow_demand(make_group):
    """Slots move to the entries with demand.

    Static shares would leave slots idle at the other entries during a peak.
    """
    group = make_group()
    group.run(2_000, {})
    assert [entry.slots for entry in group.entries.values()].count(0) == 0
    group.run(1_000, {"n3": 50})
    assert len(group.entries["n3"].end_times_ms) == SLOTS
    group.run(1_000, {"n3": 50, "n4": 50})
    used = {
        name: len(entry.end_times_ms) for name, entry in group.entries.items()
    }
    assert (used["n3"], used["n4"]) == (4, 4)
    assert group.max_used <= SLOTS


@pytest.mark.parametrize("loss", [0.0, 0.3])
@pytest.mark.parametrize("work_ms", [200, 3_000])
def test_seven_entries_never_exceed_the_slots(make_group, loss, work_ms):
    """The entries together never use more slots than the endpoint has.

    The demand moves between entries, messages are lost, and requests may run
    longer than a lease.
    """
    group = make_group(loss, work_ms)
    for phase in range(20):
        busiest = f"n{phase % 7}"
        group.run(900, {busiest: 50, "n5": phase % 4, "n6": 2})
    assert 3 <= group.max_used <= SLOTS


def test_share_of_a_dead_entry_returns_to_the_others(make_group):
    """The slots of a dead entry go to the others after its lease.

    Otherwise they would stay unused, because a dead entry never releases
    them.
    """
    group = make_group()
    full_demand = {f"n{i}": 50 for i in range(7)}
    group.run(3_000, full_demand)
    for node_id in ("n2", "n3", "n4", "n5", "n6"):
        group.kill(node_id)
    group.run(2_600, full_demand)
    assert group.used() == SLOTS
    assert group.max_used <= SLOTS


def test_new_owner_waits_for_the_leases_of_the_old_one(make_group):
    """A new owner grants no slots that an earlier lease still covers.

    It does not know the grants of the previous owner, so it would grant the
    same slots twice.
    """
    group = make_group()
    full_demand = {f"n{i}": 50 for i in range(7)}
    group.run(3_000, full_demand)
    group.set_owner("n1", replaced_ms=group.now_ms)
    group.run(4_000, full_demand)
    assert group.max_used <= SLOTS
    group.kill("n1")
    killed_ms = group.now_ms
    group.run(2_500, full_demand)
    group.set_owner("n4", replaced_ms=killed_ms + 1_000)
    group.run(2_000, full_demand)
    assert group.max_used <= SLOTS
    assert group.used() >= 6


def test_expired_lease_of_a_cut_off_entry_is_not_used(make_group):
    """An entry that gets no renewal stops using its share.

    After the lease the owner may grant the same slots to another entry.
    """
    group = make_group()
    group.run(3_000, {"n3": 50})
    group.loss = 1.0
    group.run(LEASE_MS + 400, {"n3": 50, "n0": 50})
    assert len(group.entries["n3"].end_times_ms) == 0
    assert group.max_used <= SLOTS


def test_late_grant_does_not_replace_a_newer_one(make_group):
    """A grant that arrives late is ignored.

    Otherwise an older, larger share would replace the smaller one in force.
    """
    group = make_group()
    group.run(1_000, {"n3": 8})
    manager = group.entries["n3"].manager
    older = ShareGrant("n0", 900, LEASE_MS, [GrantedShare("e1", 1, SLOTS, 1)])
    manager.pending[900] = (group.now_ms, "n0")
    assert manager.step(older, group.now_ms) == []


def test_smaller_grant_frees_slots_only_when_confirmed(make_record):
    """A smaller grant frees slots only when its holder confirms it.

    If the message with the smaller grant is lost, the holder still uses the
    larger one, and the difference would be granted twice.
    """
    ledger = SlotLedger(make_record(), LEASE_MS, 0, share_by_demand)
    first_want = ShareWant("e1", 1, 8, 0, 0)
    assert ledger.grant("n1", first_want, 1, 10) == SLOTS
    second_want = ShareWant("e1", 1, 8, 0, 0)
    assert ledger.grant("n2", second_want, 2, 20) == 0
    assert ledger.grant("n1", first_want, 3, 30) == SLOTS // 2
    assert ledger.grant("n1", first_want, 4, 35) == SLOTS // 2
    assert ledger.grant("n2", second_want, 5, 40) == 0
    first_want.applied = 4
    assert ledger.grant("n1", first_want, 6, 50) == SLOTS // 2
    assert ledger.grant("n2", second_want, 7, 60) == SLOTS // 2

"""Tests of the shares of one endpoint's slots."""

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
    """One entry: its book and its running work."""

    def __init__(self, node_id):
        self.manager = ShareManager(node_id, LEASE_MS, 100)
        self.slots = 0
        self.until_ms = 0
        self.ends = []
        self.demand = 0

    def work(self, now_ms, chance, work_ms):
        """Uses the free slots for the demand; returns the demand."""
        self.ends = [end for end in self.ends if end > now_ms]
        usable = self.slots if now_ms < self.until_ms else 0
        while len(self.ends) < min(usable, self.demand):
            self.ends.append(now_ms + chance.randrange(20, work_ms))
        urgent = self.demand > usable
        return ShareDemand([("e1", self.demand, len(self.ends))], urgent)


class Group:
    """Entries that share one endpoint; messages take one step."""

    def __init__(self, record, loss=0.0, work_ms=200):
        self.now_ms = 0
        self.chance = random.Random(7)
        self.loss = loss
        self.work_ms = work_ms
        self.record = record
        self.entries = {f"n{i}": Entry(f"n{i}") for i in range(7)}
        self.mail = []
        self.running = []
        self.most = 0
        self.own("n0")

    def own(self, owner, replaced_ms=None):
        """Tells the entries who owns the endpoint."""
        for entry in self.entries.values():
            change = EndpointChanged(self.record, owner, replaced_ms)
            entry.manager.step(change, self.now_ms)

    def kill(self, node_id):
        """Ends an entry; its running work goes on at the endpoint."""
        self.running += self.entries.pop(node_id).ends

    def run(self, duration_ms, demand):
        """Lets time pass under a demand by entry."""
        for _ in range(duration_ms // STEP_MS):
            self.now_ms += STEP_MS
            arrived, self.mail = self.mail, []
            for target, message in arrived:
                if target in self.entries:
                    manager = self.entries[target].manager
                    self.perform(target, manager.step(message, self.now_ms))
            for node_id, entry in list(self.entries.items()):
                entry.demand = demand.get(node_id, 0)
                wish = entry.work(self.now_ms, self.chance, self.work_ms)
                self.perform(node_id, entry.manager.step(wish, self.now_ms))
                self.perform(node_id, entry.manager.tick(self.now_ms))
            self.most = max(self.most, self.used())

    def perform(self, source, commands):
        """Applies changes and posts messages."""
        for command in commands:
            if isinstance(command, ShareChanged):
                entry = self.entries[source]
                entry.slots, entry.until_ms = command.slots, command.until_ms
            elif self.chance.random() >= self.loss:
                self.mail.append((command.node_id, command.message))

    def used(self):
        """Returns the slots in use at the endpoint."""
        self.running = [end for end in self.running if end > self.now_ms]
        live = sum(len(entry.ends) for entry in self.entries.values())
        return live + len(self.running)


@pytest.fixture
def make_group(make_record):
    """Makes groups of seven entries with one endpoint of 8 slots."""

    def make(loss=0.0, work_ms=200):
        return Group(make_record(slots=SLOTS), loss, work_ms)

    return make


def test_shares_follow_demand(make_group):
    """Guards against static shares that leave slots idle at a peak."""
    group = make_group()
    group.run(2_000, {})
    assert [entry.slots for entry in group.entries.values()].count(0) == 0
    group.run(1_000, {"n3": 50})
    assert len(group.entries["n3"].ends) == SLOTS
    group.run(1_000, {"n3": 50, "n4": 50})
    used = {name: len(entry.ends) for name, entry in group.entries.items()}
    assert (used["n3"], used["n4"]) == (4, 4)
    assert group.most <= SLOTS


@pytest.mark.parametrize("loss", [0.0, 0.3])
@pytest.mark.parametrize("work_ms", [200, 3_000])
def test_seven_entries_never_exceed_the_slots(make_group, loss, work_ms):
    """Guards against overuse, also while messages are lost."""
    group = make_group(loss, work_ms)
    for phase in range(20):
        hot = f"n{phase % 7}"
        group.run(900, {hot: 50, "n5": phase % 4, "n6": 2})
    assert 3 <= group.most <= SLOTS


def test_share_of_a_dead_entry_comes_back(make_group):
    """Guards against slots that stay with an entry that died."""
    group = make_group()
    everyone = {f"n{i}": 50 for i in range(7)}
    group.run(3_000, everyone)
    for node_id in ("n2", "n3", "n4", "n5", "n6"):
        group.kill(node_id)
    group.run(2_600, everyone)
    assert group.used() == SLOTS
    assert group.most <= SLOTS


def test_new_owner_waits_for_the_leases_of_the_old_one(make_group):
    """Guards against slots granted twice when the owner changes."""
    group = make_group()
    everyone = {f"n{i}": 50 for i in range(7)}
    group.run(3_000, everyone)
    group.own("n1", replaced_ms=group.now_ms)
    group.run(4_000, everyone)
    assert group.most <= SLOTS
    group.kill("n1")
    died_ms = group.now_ms
    group.run(2_500, everyone)
    group.own("n4", replaced_ms=died_ms + 1_000)
    group.run(2_000, everyone)
    assert group.most <= SLOTS
    assert group.used() >= 6


def test_expired_lease_of_a_cut_off_entry_is_not_used(make_group):
    """Guards against work on a share that was given to another entry."""
    group = make_group()
    group.run(3_000, {"n3": 50})
    group.loss = 1.0
    group.run(LEASE_MS + 400, {"n3": 50, "n0": 50})
    assert len(group.entries["n3"].ends) == 0
    assert group.most <= SLOTS


def test_late_grant_does_not_replace_a_newer_one(make_group):
    """Guards against a larger share used after a smaller one arrived."""
    group = make_group()
    group.run(1_000, {"n3": 8})
    manager = group.entries["n3"].manager
    older = ShareGrant("n0", 900, LEASE_MS, [GrantedShare("e1", 1, SLOTS, 1)])
    manager.sent[900] = (group.now_ms, "n0")
    assert manager.step(older, group.now_ms) == []


def test_smaller_grant_frees_slots_only_when_confirmed(make_record):
    """Guards against slots granted twice when a grant is lost."""
    ledger = SlotLedger(make_record(), LEASE_MS, 0, share_by_demand)
    greedy = ShareWant("e1", 1, 8, 0, 0)
    assert ledger.grant("n1", greedy, 1, 10) == SLOTS
    other = ShareWant("e1", 1, 8, 0, 0)
    assert ledger.grant("n2", other, 2, 20) == 0
    assert ledger.grant("n1", greedy, 3, 30) == SLOTS // 2
    assert ledger.grant("n1", greedy, 4, 35) == SLOTS // 2
    assert ledger.grant("n2", other, 5, 40) == 0
    greedy.applied = 4
    assert ledger.grant("n1", greedy, 6, 50) == SLOTS // 2
    assert ledger.grant("n2", other, 7, 60) == SLOTS // 2

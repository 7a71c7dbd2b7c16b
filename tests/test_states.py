"""Tests of the replicated state machine as a whole."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonport import state_commands
from wigeonport.batch_commands import (
    CancelJob,
    ConfirmMachine,
    EndRuns,
    OpenWave,
    OrderMachine,
    SettleMachine,
    StartRuns,
    SubmitJob,
)
from wigeonport.batch_specs import JobSpec, Step
from wigeonport.batch_states import encode_operations
from wigeonport.codecs import codecs, message_kinds
from wigeonport.fleets import SECTION_NAMES
from wigeonport.records import Record
from wigeonport.state_answers import CommandRefused
from wigeonport.state_commands import HANDLERS, ClaimKey
from wigeonport.states import Entry, ReplicatedState, state_from_document

NAMES = st.sampled_from(["vm-1", "vm-2", "vm-3", "g-1", "g-2", "k", "a"])
SMALL = st.integers(min_value=-1, max_value=50_000_000)
SAMPLES = {
    "workers": st.lists(NAMES, max_size=3),
    "unavailable": st.lists(NAMES, max_size=2),
    "healthy": st.lists(NAMES, max_size=2),
    "purpose": st.sampled_from(["maintenance", "drain", "move", "x"]),
    "scope": st.sampled_from(["all", "p", "q"]),
    "lease_ms": SMALL,
    "hold_ms": SMALL,
    "response": st.binary(max_size=20),
    "source": st.sampled_from(["p", "q"]),
    "target": st.sampled_from(["p", "q", None]),
}
JOBS = st.sampled_from(["00000000000000aa", "00000000000000bb"])
TASKS = JOBS.map(lambda job: f"{job}.0.0.0")
RUNS = st.integers(min_value=1, max_value=3)
SPEC = JobSpec("text", [Step({"count": 2}), Step({"depends_on": [0]})])
BATCH_OPERATIONS = st.one_of(
    st.builds(SubmitJob, JOBS, NAMES, st.just(SPEC.to_json())),
    st.builds(CancelJob, JOBS),
    st.builds(
        lambda task, run, worker: StartRuns([task], [run], worker),
        TASKS,
        RUNS,
        NAMES,
    ),
    st.builds(
        lambda task, run, outcome: EndRuns([task], [run], [outcome], [""]),
        TASKS,
        RUNS,
        st.sampled_from(["done", "failed", "lost"]),
    ),
    st.builds(OpenWave, RUNS, st.lists(NAMES, max_size=3), SMALL, RUNS),
    st.builds(OrderMachine, NAMES, st.just("upkeep"), RUNS.map(str)),
    st.builds(ConfirmMachine, NAMES),
    st.builds(SettleMachine, NAMES, st.booleans()),
)
SAMPLES |= {
    "time_ms": SMALL,
    "operations": st.lists(BATCH_OPERATIONS, max_size=3).map(
        encode_operations
    ),
}
OPERATIONS = st.one_of(
    st.builds(
        lambda worker, pool: {
            "operation": "move_worker",
            "worker": worker,
            "pool": pool,
        },
        NAMES,
        st.sampled_from(["p", "q"]),
    ),
    st.builds(
        lambda id: {"operation": "remove_worker", "id": id},
        NAMES,
    ),
    st.builds(
        lambda version: {"operation": "restore", "version": version},
        st.integers(min_value=0, max_value=4),
    ),
)
PATCHES = st.builds(
    lambda id, against, operations: json.dumps(
        {
            "id": id,
            "against_version": against,
            "author": "ada",
            "reason": "test",
            "operations": operations,
        }
    ),
    st.sampled_from(["p-1", "p-2", "p-3", "p-4"]),
    st.integers(min_value=1, max_value=4),
    st.lists(OPERATIONS, min_size=1, max_size=3),
)


def commands():
    """Returns a strategy of commands of all kinds."""
    special = {"SubmitPatch": PATCHES.map(state_commands.SubmitPatch)}
    kinds = []
    for kind in HANDLERS.entries:
        fields = [SAMPLES.get(name, NAMES) for name in kind.__slots__]
        kinds.append(special.get(kind.__name__, st.builds(kind, *fields)))
    return st.one_of(kinds)


def first_patch():
    """Returns the command that builds a fleet of two pools."""
    place = {"zone": "z", "rack": "r", "processors": 1, "memory_mb": 1}
    records = {
        "regions": [{"id": "e"}],
        "zones": [{"id": "z", "region": "e"}],
        "racks": [{"id": "r", "zone": "z"}],
        "pools": [{"id": "p"}, {"id": "q"}],
        "workers": [
            {"id": f"vm-{n}", "pool": "p", **place} for n in (1, 2, 3)
        ],
        "services": [
            {
                "id": "s",
                "pool": "p",
                "capacity_workers": 1,
                "max_unavailable": 1,
            }
        ],
    }
    operations = [
        {"operation": f"add_{section[:-1]}", **record}
        for section in SECTION_NAMES
        for record in records.get(section, [])
    ]
    document = {
        "id": "first",
        "against_version": 0,
        "author": "ada",
        "reason": "first",
        "operations": operations,
    }
    return state_commands.SubmitPatch(json.dumps(document))


@given(
    steps=st.lists(st.tuples(commands(), SMALL, st.booleans()), max_size=25)
)
@settings(max_examples=150, derandomize=True, deadline=None)
def test_replicas_and_snapshots_agree(steps):
    """Guards against replicas that diverge or snapshots that lose state."""
    codec = codecs.get("thrift").ok()
    one, other = ReplicatedState(), ReplicatedState()
    now_ms = 0
    steps = [(first_patch(), 1, False), *steps]
    for index, (command, pass_ms, restart) in enumerate(steps, start=1):
        now_ms += pass_ms
        sent = codec.decode(codec.encode(command)).ok
        answer = one.apply(Entry(index, now_ms, command))
        assert other.apply(Entry(index, now_ms, sent)) == answer
        assert codec.decode(codec.encode(answer)).ok == answer
        if restart:
            document = json.loads(json.dumps(other.to_document()))
            other = state_from_document(document).ok
        assert one.to_document() == other.to_document()
        assert one.claims.total_bytes() == other.claims.total_bytes()


@given(
    steps=st.lists(st.tuples(commands(), SMALL), max_size=30),
)
@settings(max_examples=150, derandomize=True, deadline=None)
def test_every_vm_keeps_exactly_one_pool_and_grants_keep_the_budget(steps):
    """Guards R1 and R2 against any order of commands."""
    state = ReplicatedState()
    now_ms = 0
    steps = [(first_patch(), 1), *steps]
    for index, (command, pass_ms) in enumerate(steps, start=1):
        now_ms += pass_ms
        before = dict(state.pools.pools)
        taken = state.maintenance.unavailable()
        state.apply(Entry(index, now_ms, command))
        for worker in before.keys() - state.pools.pools.keys():
            assert worker not in state.fleet.fleet.workers
        for worker in state.fleet.fleet.workers:
            assert state.pools.pools[worker] in ("p", "q")
        newly = state.maintenance.unavailable() - taken
        if isinstance(command, state_commands.RequestGrant) and newly:
            members = set(state.pools.members("p"))
            away = state.maintenance.unavailable() & members
            if newly & members:
                assert len(members - away) >= 1


def test_time_never_goes_back(apply):
    """Guards against a leader whose clock is behind."""
    apply.state.apply(Entry(1, 5_000, ClaimKey("k", "d", "a")))
    apply.state.apply(Entry(2, 1_000, ClaimKey("l", "d", "a")))
    assert apply.state.now_ms == 5_000
    assert apply.state.claims.claims["l"].claimed_ms == 5_000


def test_entry_applied_twice_has_no_effect(apply):
    """Guards against an entry that is replayed after a snapshot."""
    entry = Entry(1, 1, ClaimKey("k", "d", "a"))
    apply.state.apply(entry)
    before = apply.state.to_document()
    assert isinstance(apply.state.apply(entry), CommandRefused)
    assert apply.state.to_document() == before


def test_entry_without_command_only_advances(apply):
    """Guards against a leader's first entry that is taken for an error."""
    assert apply(None) is None
    assert apply.state.applied_index == 1


def test_command_without_handler_is_refused(apply):
    """Guards against a newer command that stops an older replica."""
    assert apply(object()) == CommandRefused("no handler for object")


def test_every_command_has_a_handler_and_a_layout():
    """Guards against a command that cannot be encoded or applied."""
    defined = [
        value
        for value in vars(state_commands).values()
        if isinstance(value, type)
        and issubclass(value, Record)
        and value is not Record
    ]
    assert set(defined) == set(HANDLERS.entries)
    codec = codecs.get("thrift").ok()
    for kind in defined:
        assert message_kinds.entries[kind.__name__] is kind
        codec.bind(kind)


@pytest.mark.parametrize(
    "document", [None, [], {}, {"format": 2}, {"format": 1}]
)
def test_malformed_snapshot_is_a_finding(document):
    """Guards against a traceback, or half a state, from a bad snapshot."""
    assert state_from_document(document).error.lines()


@given(name=st.sampled_from(sorted(ReplicatedState.__slots__)), data=st.data())
@settings(max_examples=80, derandomize=True, deadline=None)
def test_damaged_part_of_a_snapshot_is_a_finding(name, data):
    """Guards against a traceback from a damaged snapshot."""
    document = ReplicatedState().to_document()
    document[name] = data.draw(
        st.none() | st.text() | st.lists(st.none(), max_size=2) | st.just({})
    )
    read = state_from_document(document)
    assert read.is_ok() or read.error.lines()

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
TIMES_MS = st.integers(min_value=-1, max_value=50_000_000)
FIELD_STRATEGIES = {
    "workers": st.lists(NAMES, max_size=3),
    "unavailable": st.lists(NAMES, max_size=2),
    "healthy": st.lists(NAMES, max_size=2),
    "purpose": st.sampled_from(["maintenance", "drain", "move", "x"]),
    "scope": st.sampled_from(["all", "p", "q"]),
    "lease_ms": TIMES_MS,
    "hold_ms": TIMES_MS,
    "response": st.binary(max_size=20),
    "source": st.sampled_from(["p", "q"]),
    "target": st.sampled_from(["p", "q", None]),
}
JOBS = st.sampled_from(["00000000000000aa", "00000000000000bb"])
TASKS = JOBS.map(lambda job: f"{job}.0.0.0")
COUNTS = st.integers(min_value=1, max_value=3)
SPEC = JobSpec("text", [Step({"count": 2}), Step({"depends_on": [0]})])
BATCH_OPERATIONS = st.one_of(
    st.builds(SubmitJob, JOBS, NAMES, st.just(SPEC.to_json())),
    st.builds(CancelJob, JOBS),
    st.builds(
        lambda task, run, worker: StartRuns([task], [run], worker),
        TASKS,
        COUNTS,
        NAMES,
    ),
    st.builds(
        lambda task, run, outcome: EndRuns([task], [run], [outcome], [""]),
        TASKS,
        COUNTS,
        st.sampled_from(["done", "failed", "lost"]),
    ),
    st.builds(OpenWave, COUNTS, st.lists(NAMES, max_size=3), TIMES_MS, COUNTS),
    st.builds(OrderMachine, NAMES, st.just("upkeep"), COUNTS.map(str)),
    st.builds(ConfirmMachine, NAMES),
    st.builds(SettleMachine, NAMES, st.booleans()),
)
FIELD_STRATEGIES |= {
    "time_ms": TIMES_MS,
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
    """Returns a strategy that draws commands of all registered kinds."""
    special = {"SubmitPatch": PATCHES.map(state_commands.SubmitPatch)}
    kinds = []
    for kind in HANDLERS.entries:
        fields = [FIELD_STRATEGIES.get(name, NAMES) for name in kind.__slots__]
        kinds.append(special.get(kind.__name__, st.builds(kind, *fields)))
    return st.one_of(kinds)


def first_patch():
    """Returns the command that builds a fleet of two pools, p and q."""
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
    steps=st.lists(st.tuples(commands(), TIMES_MS, st.booleans()), max_size=25)
)
@settings(max_examples=150, derandomize=True, deadline=None)
def test_replicas_and_snapshots_agree(steps):
    """Replicas must not diverge, and a snapshot must not lose state.

    One replica applies the commands as they are. The other applies them after
    encoding and decoding, and is sometimes replaced by the one read from its
    snapshot.
    """
    codec = codecs.get("thrift").ok()
    replica, reloaded = ReplicatedState(), ReplicatedState()
    now_ms = 0
    steps = [(first_patch(), 1, False), *steps]
    for index, (command, elapsed_ms, reload) in enumerate(steps, start=1):
        now_ms += elapsed_ms
        sent = codec.decode(codec.encode(command)).ok
        answer = replica.apply(Entry(index, now_ms, command))
        assert reloaded.apply(Entry(index, now_ms, sent)) == answer
        assert codec.decode(codec.encode(answer)).ok == answer
        if reload:
            document = json.loads(json.dumps(reloaded.to_document()))
            reloaded = state_from_document(document).ok
        assert replica.to_document() == reloaded.to_document()
        assert replica.claims.total_bytes() == reloaded.claims.total_bytes()


@given(
    steps=st.lists(st.tuples(commands(), TIMES_MS), max_size=30),
)
@settings(max_examples=150, derandomize=True, deadline=None)
def test_every_vm_keeps_exactly_one_pool_and_grants_keep_the_budget(steps):
    """No order of commands may leave a VM without a pool or exceed a budget.

    Rules R1 (budget) and R2 (one pool for each VM). Service s is promised one
    available VM of pool p.
    """
    state = ReplicatedState()
    now_ms = 0
    steps = [(first_patch(), 1), *steps]
    for index, (command, elapsed_ms) in enumerate(steps, start=1):
        now_ms += elapsed_ms
        before = dict(state.pools.pools)
        unavailable_before = state.maintenance.unavailable()
        state.apply(Entry(index, now_ms, command))
        for worker in before.keys() - state.pools.pools.keys():
            assert worker not in state.fleet.fleet.workers
        for worker in state.fleet.fleet.workers:
            assert state.pools.pools[worker] in ("p", "q")
        newly_unavailable = (
            state.maintenance.unavailable() - unavailable_before
        )
        if (
            isinstance(command, state_commands.RequestGrant)
            and newly_unavailable
        ):
            members = set(state.pools.members("p"))
            unavailable = state.maintenance.unavailable() & members
            if newly_unavailable & members:
                assert len(members - unavailable) >= 1


def test_time_never_goes_back(apply):
    """A new leader whose clock is behind must not turn the time back.

    Records expire in order of their times, so one with an earlier time than
    the records before it would be kept too long.
    """
    apply.state.apply(Entry(1, 5_000, ClaimKey("k", "d", "a")))
    apply.state.apply(Entry(2, 1_000, ClaimKey("l", "d", "a")))
    assert apply.state.now_ms == 5_000
    assert apply.state.claims.claims["l"].claimed_ms == 5_000


def test_entry_applied_twice_has_no_effect(apply):
    """An entry that is replayed after a snapshot must not run twice."""
    entry = Entry(1, 1, ClaimKey("k", "d", "a"))
    apply.state.apply(entry)
    before = apply.state.to_document()
    assert isinstance(apply.state.apply(entry), CommandRefused)
    assert apply.state.to_document() == before


def test_entry_without_command_only_advances(apply):
    """The empty entry of a new leader must not be treated as an error."""
    assert apply(None) is None
    assert apply.state.applied_index == 1


def test_command_without_handler_is_refused(apply):
    """A command of a newer release must not stop an older replica."""
    assert apply(object()) == CommandRefused("no handler for object")


def test_every_command_has_a_handler_and_a_layout():
    """A command without handler or thrift struct could not be replicated."""
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
    """A malformed snapshot must not raise or be read in part."""
    assert state_from_document(document).error.lines()


@given(name=st.sampled_from(sorted(ReplicatedState.__slots__)), data=st.data())
@settings(max_examples=80, derandomize=True, deadline=None)
def test_damaged_part_of_a_snapshot_is_a_finding(name, data):
    """One damaged part of a snapshot must not raise an exception."""
    document = ReplicatedState().to_document()
    document[name] = data.draw(
        st.none() | st.text() | st.lists(st.none(), max_size=2) | st.just({})
    )
    result = state_from_document(document)
    assert result.is_ok() or result.error.lines()

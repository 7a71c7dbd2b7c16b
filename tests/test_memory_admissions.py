"""Tests of the memory that accepted jobs may take."""

import json

import pytest
from batch_fixtures import (
    DispatcherHarness,
    make_queue,
    make_table,
    make_tenant,
    started_runs,
)
from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonport.batch_calls import INVALID, OK, REJECTED, SUBMIT, BatchCall
from wigeonport.batch_dispatchers import BatchDispatcher
from wigeonport.batch_specs import JobSpec, Step
from wigeonport.batch_states import batch_state_from_document
from wigeonport.job_sizes import size_of_new_job
from wigeonport.memory_admissions import (
    MAX_RETURN_MS,
    MIN_RETURN_MS,
    MemoryAdmissions,
)
from wigeonport.route_tables import RouteState

LIMIT_BYTES = 40_000
SMALL = {"cpu_milli": 100}
LARGE = {"cpu_milli": 100, "image": "x" * 1_000}
KEYS = ("k1", "k2", None)


def make_harness(limit_bytes, tenants=None):
    """Returns a DispatcherHarness with a limit of the jobs' memory."""
    table = make_table(tenants=tenants)
    harness = DispatcherHarness(table)
    harness.dispatcher.memory = MemoryAdmissions(limit_bytes)
    harness.dispatcher.settings.max_job_bytes = limit_bytes
    return harness


@pytest.fixture
def small_control():
    """A harness whose control holds a few jobs only."""
    return make_harness(LIMIT_BYTES)


def submit_all(harness, step, first, number, key=None):
    """Submits jobs; returns the outcomes of their replies."""
    return [
        harness.submit(step, job_id=f"{each:016x}", key=key)
        for each in range(first, first + number)
    ]


def test_crowd_of_large_jobs_leaves_room_for_small_ones(small_control):
    """Guards against jobs that a control accepts beyond its memory.

    Large ones must be refused while small ones still fit.
    """
    replies = submit_all(small_control, LARGE, 0, 50)
    accepted = [each.outcome for each in replies].count(OK)
    assert 0 < accepted < 50
    assert replies[-1].outcome == REJECTED
    assert 0 < replies[-1].number <= MAX_RETURN_MS
    assert submit_all(small_control, SMALL, 100, 1)[0].outcome == OK
    batch = small_control.dispatcher.state.batch
    assert len(batch.jobs) == accepted + 1
    assert batch.held_bytes <= LIMIT_BYTES


def test_job_that_can_never_be_held_is_refused_for_good(small_control):
    """Guards against a caller that returns again and again in vain."""
    steps = [LARGE] * 10
    reply = small_control.submit(*steps)
    assert reply.outcome == INVALID
    assert not small_control.dispatcher.state.batch.jobs


def test_accepted_job_is_accepted_again_without_room(small_control):
    """Guards against a refusal of a job that runs."""
    submit_all(small_control, SMALL, 0, 1)
    submit_all(small_control, LARGE, 1, 50)
    small_control.dispatcher.memory.limit_bytes = 20_000
    assert submit_all(small_control, SMALL, 0, 1)[0].outcome == OK


def test_refused_callers_return_one_after_the_other(small_control):
    """Guards against callers that are all told the same time."""
    for number in range(20):
        submit_all(small_control, LARGE, number, 1)
        small_control.cancel(f"{number:016x}")
        small_control.advance(500)
    replies = submit_all(small_control, LARGE, 100, 20)
    times = [each.number for each in replies if each.outcome == REJECTED]
    assert times[:3] == sorted(times[:3])
    assert len(set(times)) > 3
    assert all(MIN_RETURN_MS <= each <= MAX_RETURN_MS for each in times)


def test_crowd_of_a_tenant_leaves_the_reserved_memory_to_others():
    """Guards against a tenant whose jobs keep all other tenants out."""
    tenants = [make_tenant("a", "k1"), make_tenant("b", "k2")]
    harness = make_harness(LIMIT_BYTES, tenants)
    harness.dispatcher.state.routes = RouteState()
    harness.dispatcher.state.routes.adopt(
        make_table(queues=[make_queue()], tenants=tenants)
    )
    submit_all(harness, SMALL, 0, 200, "k1")
    held_bytes = harness.dispatcher.state.batch.held_bytes
    assert held_bytes <= LIMIT_BYTES / 2
    assert submit_all(harness, SMALL, 300, 1, "k2")[0].outcome == OK


def submit_periodic(harness, number):
    """Submits a job of which 5,000 occurrences are due at once."""
    spec = {"payload": "t", "steps": [SMALL], "repeat_count": 5_000}
    spec |= {"first_ms": 1, "interval_ms": 1}
    call = BatchCall(
        SUBMIT, "jobs.example", f"/plans/{number:016x}", json.dumps(spec)
    )
    return harness.dispatcher.on_call(call, harness.now_ms)


def test_occurrences_leave_room_for_new_jobs(small_control):
    """Guards against due occurrences that keep new jobs out.

    Each periodic job has its first occurrence open nevertheless.
    """
    for number in range(2):
        assert submit_periodic(small_control, number).outcome == OK
    small_control.advance(100)
    first, second = small_control.dispatcher.active.values()
    assert len(first.occurrences) > 1
    assert second.occurrences
    assert submit_all(small_control, LARGE, 100, 1)[0].outcome == OK


def test_occurrences_wait_for_memory(small_control):
    """Guards against a periodic job that opens all occurrences at once."""
    dispatcher = small_control.dispatcher
    assert submit_periodic(small_control, 1).outcome == OK
    small_control.advance(100)
    assert dispatcher.state.batch.held_bytes <= LIMIT_BYTES
    (job,) = dispatcher.active.values()
    assert 1 < len(job.occurrences) < 5_000


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(
            ["submit", "cancel", "heartbeat", "advance", "keys", "leader"]
        ),
        st.integers(0, 7),
    ),
    max_size=60,
)


class Schedule:
    """Plays actions on a dispatcher and checks what it counts.

    Attributes:
        harness: DispatcherHarness.
        ends: Rows of the ends that the worker has reported.
        version: Version of the routing table.
    """

    __slots__ = ("harness", "ends", "version")

    def __init__(self):
        tenants = [make_tenant("a", "k1", weight=3), make_tenant("b", "k2")]
        self.harness = make_harness(LIMIT_BYTES, tenants)
        self.ends = []
        self.version = 1

    def play(self, kind, number):
        """Plays one action."""
        harness = self.harness
        if kind == "submit":
            step = (LARGE if number % 2 else SMALL) | {"count": 1 + number}
            harness.submit(step, job_id=f"{number:016x}", key=KEYS[number % 3])
        elif kind == "cancel":
            harness.call("cancel", f"{number:016x}", key=KEYS[number % 3])
        elif kind == "heartbeat":
            orders = harness.heartbeat(ended=self.ends)
            outcome = ("done", "failed", "stopped")[number % 3]
            self.ends += [
                (len(self.ends) + 1 + place, task, run, outcome)
                for place, (task, run) in enumerate(started_runs(orders))
            ]
        elif kind == "advance":
            harness.advance(100 if number else 400_000)
        elif kind == "keys":
            self.version += 1
            tenants = [make_tenant("a", f"k{1 + number % 2}")]
            harness.dispatcher.state.routes.adopt(
                make_table(self.version, tenants=tenants)
            )
        else:
            self.change_leader(number % 2)

    def change_leader(self, restarts):
        """Continues with a new dispatcher, from a copy or a snapshot."""
        dispatcher = self.harness.dispatcher
        batch = dispatcher.state.batch
        document = json.loads(json.dumps(batch.to_document()))
        dispatcher.state.batch = (
            batch_state_from_document(document) if restarts else batch.copy()
        )
        self.harness.dispatcher = BatchDispatcher(
            dispatcher.state, dispatcher.settings, 4, self.harness.now_ms
        )

    def check(self):
        """Checks that the count equals the state and is within the limit."""
        batch = self.harness.dispatcher.state.batch
        sizes = {}
        for job in batch.jobs.values():
            tasks = sum(
                len(step_run.tasks)
                for step_runs in job.occurrences.values()
                for step_run in step_runs
            )
            assert job.kept_tasks == tasks
            assert job.counted_bytes == job.size_bytes()
            sizes.setdefault(job.tenant, []).append(job.size_bytes())
        totals = {name: sum(rows) for name, rows in sizes.items()}
        assert dict(batch.bytes_by_tenant) == totals
        assert batch.held_bytes == sum(totals.values())


@settings(deadline=None)
@given(ACTIONS)
def test_count_follows_any_schedule(actions):
    """Guards against a count that differs from the state.

    A count that is too high refuses callers for ever, and one that is too low
    takes the control past its memory.
    """
    schedule = Schedule()
    for each in actions:
        schedule.play(*each)
        schedule.check()


@settings(deadline=None)
@given(ACTIONS)
def test_submissions_never_pass_the_limit(actions):
    """Guards against an accepted job that takes the count past the limit.

    Tasks that start add to the count, so that only submissions are played,
    with cancels and changes of the leader.
    """
    schedule = Schedule()
    for kind, number in actions:
        if kind != "heartbeat":
            schedule.play(kind, number)
            batch = schedule.harness.dispatcher.state.batch
            assert batch.held_bytes <= LIMIT_BYTES


def test_size_covers_texts_of_wide_characters():
    """Guards against texts that take four times the bytes of ASCII."""
    narrow = size_of_new_job(JobSpec("x" * 100, [Step({})]))
    wide = size_of_new_job(JobSpec("\N{WATER WAVE}" * 100, [Step({})]))
    assert wide - narrow == 600

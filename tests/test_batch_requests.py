"""Tests of the paths under which callers reach their jobs."""

import itertools

import pytest
from batch_fixtures import (
    HOST,
    JOB,
    DispatcherHarness,
    make_queue,
    make_table,
    started_runs,
)
from hypothesis import given
from hypothesis import strategies as st

from wigeonport.batch_calls import (
    CANCEL,
    COUNT,
    INVALID,
    NO_JOB,
    NO_QUEUE,
    OK,
    STATE,
    SUBMIT,
    BatchCall,
)
from wigeonport.batch_jobs import CANCELLED
from wigeonport.batch_specs import JobSpec, Step
from wigeonport.route_tables import (
    MAX_FORMER_PATHS,
    RouteState,
    route_state_from_document,
)

ONE = {"count": 1, "cpu_milli": 1_000, "memory_mb": 100}
LASTING = ONE | {"lasting": True}
OTHER = "00000000000000bb"
OUTER = make_queue("outer", "roster", path_prefix="/bobo/")
INNER = make_queue("inner", "crusade", path_prefix="/bobo/lo7/")
VERBS = (SUBMIT, STATE, CANCEL, COUNT)


def send(harness, verb, path, host=HOST, steps=(ONE,)):
    """Sends a call and returns the BatchReply."""
    spec_json = JobSpec("text", [Step(values) for values in steps]).to_json()
    call = BatchCall(verb, host, path, spec_json)
    return harness.dispatcher.on_call(call, harness.now_ms)


def adopt(harness, *queues):
    """Adopts a routing table with these queues."""
    state = harness.dispatcher.state
    in_use = {job.queue for job in state.batch.jobs.values()}
    version = state.routes.table.version + 1
    state.routes.adopt(make_table(version, list(queues)), in_use)


def job_of(harness, job_id=JOB):
    """Returns a BatchJob."""
    return harness.dispatcher.state.batch.jobs[job_id]


@pytest.fixture
def nested():
    """A harness with a job of a queue whose prefix lies in another one.

    The lasting task of the job runs on a worker.
    """
    harness = DispatcherHarness(make_table(queues=[OUTER, INNER]))
    assert send(harness, SUBMIT, f"/bobo/lo7/{JOB}", steps=[LASTING])
    (run,) = started_runs(harness.heartbeat(service="crusade"))
    return harness, run


def test_job_of_a_removed_nested_route_is_not_said_to_be_gone(nested):
    """Guards against 410 for an accepted job that nobody has cancelled.

    The rest of its path after the shorter prefix was taken for a job id.
    """
    harness, _ = nested
    adopt(harness, OUTER)
    assert send(harness, STATE, f"/bobo/lo7/{JOB}").outcome == NO_QUEUE


def test_job_of_a_removed_nested_route_can_be_cancelled(nested):
    """Guards against an acknowledged cancellation whose tasks run on."""
    harness, run = nested
    adopt(harness, OUTER)
    reply = send(harness, CANCEL, f"/bobo/lo7/{JOB}")
    assert reply.outcome == NO_JOB
    assert job_of(harness).state == CANCELLED
    orders = harness.heartbeat(running=[run], service="crusade")
    assert orders.stops == [run]
    # A resent cancellation gets the same answer.
    reply = send(harness, CANCEL, f"/bobo/lo7/{JOB}")
    assert reply.outcome == NO_JOB


def test_submission_to_a_removed_nested_route_is_refused(nested):
    """Guards against a job of the outer queue under a path as its id."""
    harness, _ = nested
    adopt(harness, OUTER)
    assert send(harness, SUBMIT, f"/bobo/lo7/{OTHER}").outcome == NO_QUEUE
    assert list(harness.dispatcher.state.batch.jobs) == [JOB]
    assert send(harness, COUNT, "/bobo/lo7/").outcome == NO_QUEUE


def test_job_of_the_only_route_can_be_cancelled_after_its_removal(nested):
    """Guards against lasting tasks that nobody can cancel any more."""
    harness, _ = nested
    adopt(harness, make_queue())
    path = f"/bobo/lo7/{JOB}"
    assert send(harness, STATE, path).outcome == NO_QUEUE
    assert send(harness, CANCEL, path, host="other").outcome == NO_QUEUE
    assert job_of(harness).active
    assert send(harness, CANCEL, path).outcome == NO_JOB
    assert not job_of(harness).active


def test_job_is_found_again_when_its_route_comes_back(nested):
    """Guards against a lost job after a route was removed for a while."""
    harness, _ = nested
    adopt(harness, OUTER)
    adopt(harness, OUTER, make_queue("inner", path_prefix="/bobo/lo7/"))
    assert send(harness, STATE, f"/bobo/lo7/{JOB}").outcome == OK
    adopt(harness, OUTER, make_queue("inner", path_prefix="/new/"))
    assert send(harness, STATE, f"/bobo/lo7/{JOB}").outcome == NO_QUEUE
    assert send(harness, STATE, f"/new/{JOB}").outcome == OK


def test_job_stays_at_its_path_when_two_queues_swap_prefixes(nested):
    """Guards against 410 for a job whose prefix has moved to another queue."""
    harness, _ = nested
    adopt(
        harness,
        make_queue("outer", "roster", path_prefix="/bobo/lo7/"),
        make_queue("inner", "crusade", path_prefix="/bobo/"),
    )
    path = f"/bobo/lo7/{JOB}"
    assert send(harness, STATE, path).detail == "running"
    assert send(harness, SUBMIT, path).outcome == OK
    assert len(harness.dispatcher.state.batch.jobs) == 1
    assert send(harness, CANCEL, path).detail == CANCELLED


def test_job_stays_at_its_path_when_its_queue_is_renamed(nested):
    """Guards against 410 for a job whose route has got another name."""
    harness, _ = nested
    adopt(harness, OUTER, make_queue("new", path_prefix="/bobo/lo7/"))
    assert send(harness, STATE, f"/bobo/lo7/{JOB}").detail == "running"


def test_job_of_another_queue_is_out_of_reach(nested):
    """Guards against callers that see or cancel the job of another queue."""
    harness, _ = nested
    path = f"/bobo/{JOB}"
    assert send(harness, STATE, path).outcome == NO_JOB
    assert send(harness, CANCEL, path).outcome == NO_JOB
    assert job_of(harness).active


def test_job_id_of_another_queue_is_refused(nested):
    """Guards against an acknowledged job that never runs.

    Tasks are named by the id of their job alone.
    """
    harness, _ = nested
    reply = send(harness, SUBMIT, f"/bobo/{JOB}")
    assert reply.outcome == INVALID
    assert "another queue" in reply.detail


MOVED = make_queue("inner", "crusade", path_prefix="/moved/")
RENAMED = make_queue("new", "crusade", path_prefix="/bobo/lo7/")


@pytest.mark.parametrize(
    ("first", "then", "prefix", "outcomes"),
    [
        # Added inside the prefix of the job's route, and around it.
        ([OUTER], [OUTER, INNER], "/bobo/", (OK, OK, OK, OK)),
        ([INNER], [OUTER, INNER], "/bobo/lo7/", (OK, OK, OK, OK)),
        # Removed inside, around, and itself.
        ([OUTER, INNER], [OUTER], "/bobo/", (OK, OK, OK, OK)),
        ([OUTER, INNER], [INNER], "/bobo/lo7/", (OK, OK, OK, OK)),
        (
            [OUTER, INNER],
            [OUTER],
            "/bobo/lo7/",
            (NO_QUEUE, NO_QUEUE, NO_QUEUE, NO_JOB),
        ),
        (
            [OUTER, INNER],
            [INNER],
            "/bobo/",
            (NO_QUEUE, NO_QUEUE, NO_QUEUE, NO_JOB),
        ),
        # Moved away, and taken over by another route.
        (
            [OUTER, INNER],
            [OUTER, MOVED],
            "/bobo/lo7/",
            (NO_QUEUE, NO_QUEUE, NO_QUEUE, NO_JOB),
        ),
        ([INNER], [MOVED, RENAMED], "/bobo/lo7/", (OK, OK, OK, OK)),
    ],
)
def test_path_after_a_change_of_the_routes(first, then, prefix, outcomes):
    """Guards against answers that only an older configuration allows.

    The outcomes are those of a GET, a POST, the count and a DELETE.
    """
    harness = DispatcherHarness(make_table(queues=first))
    path = prefix + JOB
    assert send(harness, SUBMIT, path, steps=[LASTING]).outcome == OK
    adopt(harness, *then)
    assert (
        send(harness, STATE, path).outcome,
        send(harness, SUBMIT, path).outcome,
        send(harness, COUNT, prefix).outcome,
        send(harness, CANCEL, path).outcome,
    ) == outcomes
    assert list(harness.dispatcher.state.batch.jobs) == [JOB]
    assert job_of(harness).state == CANCELLED


@pytest.mark.parametrize(
    "rest",
    [
        f"lo8/{JOB}",
        f"x{JOB}",
        JOB[:-1],
        JOB + "0",
        JOB.upper(),
        f"{JOB}/",
        f"/{JOB}",
        "..",
        "0" * 10_000,
        "%30" * 16,
    ],
)
@pytest.mark.parametrize("verb", VERBS)
def test_path_that_names_no_job_is_unknown(verb, rest):
    """Guards against jobs with malformed ids, and counts of any path."""
    harness = DispatcherHarness(make_table(queues=[OUTER]))
    assert send(harness, verb, f"/bobo/{rest}").outcome == NO_QUEUE
    assert not harness.dispatcher.state.batch.jobs


@pytest.mark.parametrize("verb", [SUBMIT, CANCEL])
def test_queue_itself_is_no_job(verb):
    """Guards against a job without an id."""
    harness = DispatcherHarness(make_table(queues=[OUTER]))
    assert send(harness, verb, "/bobo/").outcome == NO_QUEUE
    assert not harness.dispatcher.state.batch.jobs


def test_prefixes_without_a_slash_between():
    """Guards against a job of the shorter prefix under the longer one."""
    queues = [
        make_queue("short", path_prefix="/a"),
        make_queue("long", path_prefix="/ab"),
    ]
    harness = DispatcherHarness(make_table(queues=queues))
    assert send(harness, SUBMIT, f"/a{JOB}").outcome == OK
    assert job_of(harness).queue == "short"
    assert send(harness, SUBMIT, f"/ab{OTHER}").outcome == OK
    assert job_of(harness, OTHER).queue == "long"
    # The longest prefix selects the queue, and 15 digits are no id.
    assert send(harness, SUBMIT, "/ab00000000000000c").outcome == NO_QUEUE


def test_prefix_that_looks_like_a_job():
    """Guards against a count that is taken for the state of a job."""
    queues = [OUTER, make_queue("inner", path_prefix=f"/bobo/{JOB}")]
    harness = DispatcherHarness(make_table(queues=queues))
    assert send(harness, SUBMIT, f"/bobo/{JOB}").outcome == NO_QUEUE
    assert send(harness, SUBMIT, f"/bobo/{JOB}{OTHER}").outcome == OK
    reply = send(harness, STATE, f"/bobo/{JOB}")
    assert (reply.outcome, reply.detail, reply.number) == (OK, "", 1)


def test_hosts_have_separate_paths():
    """Guards against a job that is reached under another host."""
    queues = [
        make_queue("here", path_prefix="/p/"),
        make_queue("there", path_prefix="/p/", host="there.example"),
    ]
    harness = DispatcherHarness(make_table(queues=queues))
    assert send(harness, SUBMIT, f"/p/{JOB}").outcome == OK
    there = "there.example"
    assert send(harness, STATE, f"/p/{JOB}", there).outcome == NO_JOB
    assert send(harness, CANCEL, f"/p/{JOB}", there).outcome == NO_JOB
    assert job_of(harness).active


def test_former_paths_survive_a_snapshot(nested):
    """Guards against a job that is out of reach after a restart."""
    harness, _ = nested
    adopt(harness, OUTER)
    routes = harness.dispatcher.state.routes
    document = routes.to_document()
    restored = route_state_from_document(document)
    assert restored.former_names(HOST, "/bobo/lo7/") == {"inner"}
    # A snapshot of an earlier release has no former paths.
    del document["former_paths"]
    restored = route_state_from_document(document)
    assert restored.former_names(HOST, "/bobo/lo7/") == {"inner"}


def test_former_paths_are_bounded_and_dropped_with_their_jobs():
    """Guards against a state that grows with each configuration."""
    routes = RouteState()
    for number in range(MAX_FORMER_PATHS + 10):
        queue = make_queue("inner", path_prefix=f"/p{number}/")
        routes.adopt(make_table(number + 1, [queue]), {"inner"})
    assert len(routes.former_paths) == MAX_FORMER_PATHS
    assert routes.former_names(HOST, f"/p{MAX_FORMER_PATHS}/")
    routes.adopt(make_table(MAX_FORMER_PATHS + 11, [OUTER]), set())
    assert not routes.former_paths


NAMES = ("a", "b", "c")
PREFIXES = ("/p/", "/p/q/", "/p", "/r/")
HOSTS = (HOST, "there.example")
TABLES = st.dictionaries(
    st.sampled_from(list(itertools.product(HOSTS, PREFIXES))),
    st.sampled_from(NAMES),
    min_size=1,
    max_size=len(NAMES),
).filter(lambda paths: len(set(paths.values())) == len(paths))
STEPS = st.one_of(
    st.tuples(st.just("adopt"), TABLES),
    st.tuples(
        st.sampled_from([SUBMIT, STATE, CANCEL]),
        st.integers(0, 3),
        st.sampled_from(HOSTS),
        st.sampled_from(PREFIXES),
    ),
)


@given(TABLES, st.lists(STEPS, max_size=30))
def test_callers_keep_their_jobs_over_any_configurations(first, steps):
    """Guards against lost, foreign and uncancelled jobs as routes change.

    A job is known by the path of its first accepted submission.
    """
    harness = DispatcherHarness(make_table(queues=make_queues(first)))
    table, accepted = first, {}
    for step in steps:
        if step[0] == "adopt":
            table = step[1]
            adopt(harness, *make_queues(table))
            continue
        verb, number, host, prefix = step
        job_id = f"{number:016x}"
        reply = send(harness, verb, prefix + job_id, host)
        if verb == SUBMIT and reply.outcome == OK:
            accepted.setdefault(job_id, (host, prefix))
        own = accepted.get(job_id) == (host, prefix)
        active = job_id in accepted and job_of(harness, job_id).active
        selected = select(table, host, prefix + job_id) == prefix
        if own:
            assert (reply.outcome == NO_QUEUE) <= (not selected)
            assert not (verb == STATE and reply.outcome == NO_JOB)
        if own and verb == CANCEL and reply.outcome in (OK, NO_JOB):
            assert not active
        if not selected:
            assert verb == CANCEL or reply.outcome == NO_QUEUE


def make_queues(paths):
    """Returns the queues of a dict from host and prefix to name."""
    return [
        make_queue(name, host=host, path_prefix=prefix)
        for (host, prefix), name in paths.items()
    ]


def select(paths, host, path):
    """Returns the longest prefix that selects a queue, or None."""
    prefixes = [
        prefix
        for queue_host, prefix in paths
        if queue_host == host and path.startswith(prefix)
    ]
    return max(prefixes, key=len, default=None)

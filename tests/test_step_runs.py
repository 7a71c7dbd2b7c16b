"""Tests of the progress of steps, of which only touched tasks are kept."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wigeonport.batch_specs import Step
from wigeonport.step_runs import (
    MAX_LISTED_TASKS,
    StepRun,
    Task,
    step_run_from_rows,
)

COUNT = 6
CHANGES = st.lists(
    st.tuples(
        st.sampled_from(["start", "end", "done", "checkpoint"]),
        st.integers(0, COUNT - 1),
        st.integers(1, 3),
    ),
    max_size=30,
)


def make_step(count=COUNT, gang=False):
    """Returns a Step."""
    return Step({"count": count, "gang": gang})


def change(step_run, kind, index, run):
    """Applies a change as a job does."""
    if kind == "start":
        step_run.start(index, run, "worker")
    elif kind == "checkpoint":
        step_run.store_checkpoint(index, "saved")
    else:
        step_run.find(index).end_run(run)
        if kind == "done":
            step_run.finish(index)
        step_run.requeue(index)


@given(CHANGES, st.booleans())
def test_waiting_tasks_follow_any_changes(changes, gang):
    """Guards against a task that is forgotten or started twice.

    The tasks without an object must count as waiting, and no others but those
    that wait again.
    """
    step_run = StepRun(make_step(gang=gang))
    for each in changes:
        change(step_run, *each)
        tasks = [step_run.find(index) for index in range(COUNT)]
        waiting = [
            index
            for index, task in enumerate(tasks)
            if not task.done and not task.runs
        ]
        assert list(step_run.waiting_indices()) == waiting
        assert step_run.waiting == len(waiting)
        assert step_run.remaining == sum(not task.done for task in tasks)


@pytest.mark.parametrize("count", [COUNT, MAX_LISTED_TASKS + 1])
@given(changes=CHANGES)
def test_stored_progress_is_read_back(count, changes):
    """Guards against progress that a restart loses or invents."""
    step = make_step(count)
    step_run = StepRun(step)
    for each in changes:
        change(step_run, *each)
    rows = json.loads(json.dumps(step_run.to_rows()))
    read = step_run_from_rows(step, rows)
    for other in (read, step_run.copy()):
        assert other.to_rows() == step_run.to_rows()
        assert other.waiting == step_run.waiting
        assert other.remaining == step_run.remaining


def test_rows_of_the_former_release_are_read():
    """Guards against a snapshot that lists tasks which have not run."""
    rows = [Task().to_row(), Task({1: "w"}, 1).to_row(), Task().to_row()]
    step_run = step_run_from_rows(make_step(3), rows)
    assert list(step_run.tasks) == [1]
    assert step_run.waiting == 2


def test_tasks_that_have_not_run_take_no_memory():
    """Guards against a job of 120 bytes that takes 5 MB.

    Each task had an object and a dict of its own from its submission on.
    """
    step_run = StepRun(make_step(10_000))
    assert len(step_run.tasks) == 0
    assert step_run.to_rows() == []
    assert step_run.copy().waiting == 10_000
    step_run.start(7, 1, "worker")
    assert list(step_run.tasks) == [7]
    assert len(step_run.to_rows()) == 1


@given(CHANGES, st.booleans())
def test_tasks_that_are_done_keep_no_checkpoint(changes, gang):
    """Guards against checkpoints in memory that no run will need.

    A checkpoint has up to 4,000 bytes, and a job up to 10,000 tasks.
    """
    step_run = StepRun(make_step(gang=gang))
    for each in changes:
        change(step_run, *each)
        for task in step_run.tasks.values():
            assert not (task.done and task.checkpoint)

"""Replays every trace and checks it against its expected outcomes."""

import pytest
from planning_fixtures import TRACES

from wigeonport.expectations import read_expectations

NAMES = sorted(
    path.name.removesuffix(".expect.jsonl")
    for path in TRACES.glob("*.expect.jsonl")
)


def find_differences(record, name):
    """Returns the differences from the expect file of a trace."""
    expected = read_expectations(TRACES / f"{name}.expect.jsonl")
    assert expected.is_ok(), str(expected.error)
    return record.differences(expected.ok)


def test_both_deployments_have_all_traces():
    """A scenario added for one deployment only is not tested for the other."""
    stems = [name.split("_", 1) for name in NAMES]
    lagos = {stem for deployment, stem in stems if deployment == "lagos"}
    kroumirie = {s for deployment, s in stems if deployment == "kroumirie"}
    assert lagos == kroumirie
    assert len(lagos) >= 8


@pytest.mark.parametrize("name", NAMES)
def test_trace_meets_its_outcomes(replay, name):
    """A change of the planner can violate an invariant or an expectation."""
    differences = find_differences(replay(name), name)
    assert not differences, "\n".join(map(str, differences))


@pytest.mark.parametrize(
    ("scenario", "overrides"),
    [
        ("rotation", {"borrow_policy": "follow_demand"}),
        ("rotation", {"reserve_policy": "per_service"}),
        ("long_rotation", {"borrow_policy": "break_even"}),
        ("long_rotation", {"borrow_policy": "follow_demand"}),
        ("sustained_peak", {"move_price_s": 10_000.0}),
        ("failures_in_wave", {"wave_pause_failures": 1_000}),
        ("second_loss", {"healthy_hold_ms": 0}),
        ("scattered_wave", {"wave_order": "oldest_first"}),
        ("bad_workers", {"worker_failed_jobs": 1_000}),
        ("urgent_work", {"preempt_bound_ms": 60_000}),
        ("wrong_sizes", {"estimate_policy": "declared"}),
        ("stuck_reboot", {"reboot_bound_ms": 500_000}),
    ],
)
def test_expectations_fail_without_the_mechanism(replay, scenario, overrides):
    """An expect file that holds with the mechanism switched off is useless.

    The overrides switch off or weaken the mechanism that the scenario needs.
    """
    record = replay(f"lagos_{scenario}", **overrides)
    assert find_differences(record, f"lagos_{scenario}")


@pytest.mark.parametrize(
    ("scenario", "target", "replacement"),
    [
        (
            "burst_in_wave",
            "wigeonport.waves.needed_vms",
            lambda view, pool, now_ms: 0,
        ),
        (
            "isolated_leader",
            "wigeonport.plan_views.PlanView.leads",
            lambda view, now_ms: True,
        ),
        (
            "never_jobs",
            "wigeonport.job_events.find_failure_cause",
            lambda view, job: "",
        ),
        (
            "never_jobs",
            "wigeonport.placements.find_unrunnable_reason",
            lambda view, pool, size: "",
        ),
        (
            "urgent_work",
            "wigeonport.placements.start_preemption",
            lambda view, pool, job, size, now_ms: [],
        ),
        (
            "cancellation_wave",
            "wigeonport.jobs.send_cancellations",
            lambda view: [],
        ),
    ],
)
def test_expectations_fail_without_the_check(
    replay, monkeypatch, scenario, target, replacement
):
    """The removal of a check from the planner must show in its scenario."""
    monkeypatch.setattr(target, replacement)
    record = replay(f"lagos_{scenario}")
    assert find_differences(record, f"lagos_{scenario}")


def test_recorded_run_shows_other_decisions(replay):
    """A replay that decides differently than the recorded run must show it.

    The recording answers command 2-4, which a longer leader margin prevents.
    """
    record = replay("recorded_lagos_demo", leader_margin_ms=5_000)
    texts = [difference.text for difference in record.violations]
    assert "command 2-4 is answered but not issued" in texts


def test_difference_names_the_line(replay):
    """Without the right line, a difference cannot be found in the trace."""
    record = replay("lagos_second_loss", healthy_hold_ms=0)
    first = find_differences(record, "lagos_second_loss")[0]
    lines = (TRACES / "lagos_second_loss.jsonl").read_text().splitlines()
    assert 1 < first.line <= len(lines)
    assert str(first).startswith(f"line {first.line}: ")


def test_replay_is_deterministic(replay):
    """Decisions that depend on more than events and seed would vary."""
    first, second = (replay("lagos_bad_workers") for _ in range(2))
    texts = [
        [str(o.command) for o in record.outcomes] for record in (first, second)
    ]
    assert texts[0] == texts[1]

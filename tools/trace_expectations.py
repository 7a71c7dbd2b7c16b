"""Expected outcomes of the generated traces."""

import json

from wigeonport.registries import Registry

expected_outcomes = Registry("expected outcome")


def commands(command, **fields):
    """Returns an expectation about the number of commands."""
    return {"expect": "commands", "command": command, **fields}


def measure(name, **fields):
    """Returns an expectation about a measure."""
    return {"expect": "measure", "name": name, **fields}


def write_expectations(path, scenario, builder):
    """Writes the expect file of a scenario's trace."""
    documents = expected_outcomes.entries[scenario](builder)
    with open(path, "w", encoding="utf-8") as file:
        for document in documents:
            file.write(json.dumps(document) + "\n")


@expected_outcomes.register("rotation")
def expect_rotation(builder):
    """Few VMs move, since peaks of 8 s are too short to repay a move."""
    return [
        measure("moves", at_most=4),
        measure("buffer_vm_s", at_most=500),
    ]


@expected_outcomes.register("long_rotation")
def expect_long_rotation(builder):
    """VMs follow the peaks if shortage outweighs idle VMs in the weights.

    Without moves, the shortage is 779 VM-seconds; with a move at every
    change of the demand, there are 117 to 130 moves.
    """
    if builder.settings["weight_rollout"] > builder.settings["weight_buffer"]:
        return [
            measure("shortage_vm_s", at_most=250),
            measure("moves", at_least=8, at_most=40),
        ]
    return [measure("moves", at_most=20), measure("buffer_vm_s", at_most=1200)]


@expected_outcomes.register("sustained_peak")
def expect_sustained_peak(builder):
    """Two spare VMs are lent within 50 s of the peak's start and return later.

    The returns must follow the end of the peak by at least 10 s.
    """
    pool = builder.pools[1]
    spare = builder.pools[-1]
    return [
        commands(
            "move_vm",
            match={"destination": pool},
            after_ms=20_000,
            before_ms=70_000,
            equals=2,
        ),
        commands(
            "move_vm",
            match={"destination": spare},
            after_ms=130_000,
            equals=2,
        ),
        measure("moves", equals=4),
    ]


@expected_outcomes.register("burst_in_wave")
def expect_burst_in_wave(builder):
    """During the burst no VM of the pool is maintained; the wave completes."""
    pool = builder.pools[1]
    return [
        commands(
            "request_grant",
            match={"vm": pool, "purpose": "maintenance"},
            after_ms=41_500,
            before_ms=100_000,
            equals=0,
        ),
        measure("maintained", equals=30),
        measure("below_guarantee_ms", key=pool, equals=0),
    ]


@expected_outcomes.register("failures_in_wave")
def expect_failures_in_wave(builder):
    """The wave pauses at once, grants nothing, and resumes after repairs."""
    return [
        commands("report_wave", match={"state": "paused"}, before_ms=31_200),
        commands(
            "request_grant",
            match={"purpose": "maintenance"},
            after_ms=30_500,
            before_ms=90_000,
            equals=0,
        ),
        commands("report_wave", match={"state": "resumed"}, after_ms=90_000),
        commands(
            "move_vm",
            match={"source": builder.pools[-1]},
            before_ms=40_000,
            equals=2,
        ),
        measure("maintained", equals=30),
    ]


@expected_outcomes.register("second_loss")
def expect_second_loss(builder):
    """The pool gets no grant until the VM has been healthy for 30 s."""
    pool = builder.pools[1]
    return [
        commands(
            "request_grant", match={"vm": pool}, before_ms=149_999, equals=0
        ),
        measure("lowest_available", key=pool, at_least=5),
        measure("maintained", equals=6),
    ]


@expected_outcomes.register("isolated_leader")
def expect_isolated_leader(builder):
    """No commands are issued without a lease; the next term ends the wave."""
    no_commands = {"after_ms": 31_000, "before_ms": 149_999, "equals": 0}
    return [
        commands("request_grant", **no_commands),
        commands("drain_vm", **no_commands),
        commands("reboot_vm", **no_commands),
        commands("release_grant", **no_commands),
        measure("maintained", equals=30),
    ]


@expected_outcomes.register("bad_workers")
def expect_bad_workers(builder):
    """The failing worker is quarantined; no job is reported as failing.

    All jobs finish, and few tasks fail before the quarantine.
    """
    failing_worker = builder.vm_name(0, 0)
    return [
        commands("quarantine_worker", match={"vm": failing_worker}, equals=1),
        commands("quarantine_worker", equals=1),
        commands("report_job", equals=0),
        measure("finished_jobs", equals=100),
        measure("failed_tasks", at_most=20),
    ]


@expected_outcomes.register("never_jobs")
def expect_never_jobs(builder):
    """Each job that can never run is reported with the reason."""
    reasons = {
        "too-large": "needs",
        "no-device": "needs",
        "no-team": "there is no team",
        "broken": "failed on",
    }
    return [
        *(
            commands(
                "report_job",
                match={"job": job, "verdict": "never", "reason": reason},
                equals=1,
            )
            for job, reason in reasons.items()
        ),
        commands("report_job", equals=4),
        commands("quarantine_worker", equals=0),
        measure("finished_jobs", equals=30),
    ]


@expected_outcomes.register("cancellation_wave")
def expect_cancellation_wave(builder):
    """One command ends the team's tasks, and none of its jobs start later."""
    return [
        commands("cancel_jobs", equals=1),
        commands("stop_task", equals=0),
        commands(
            "start_task",
            match={"job": "surveyors"},
            after_ms=15_000,
            equals=0,
        ),
        commands("start_task", match={"job": "planners"}, after_ms=15_000),
    ]


@expected_outcomes.register("urgent_work")
def expect_urgent_work(builder):
    """Every urgent job starts within 4 s, even if tasks ignore checkpoints."""
    return [
        measure("urgent_start_ms", at_most=4_000),
        measure("unstarted_urgent", equals=0),
        commands("checkpoint_task"),
        commands("throttle_task"),
        commands("stop_task"),
    ]


@expected_outcomes.register("wrong_sizes")
def expect_wrong_sizes(builder):
    """Sizes are learned: waits stay short, few tasks run out of memory."""
    return [
        measure("finished_jobs", equals=90),
        measure("wait_s", at_most=30),
        commands("report_job", equals=0),
        commands("quarantine_worker", equals=0),
    ]


@expected_outcomes.register("scattered_wave")
def expect_scattered_wave(builder):
    """The wave completes with maintenance in one zone at a time."""
    return [
        measure("maintained", equals=30),
        measure("mixed_zones_ms", equals=0),
    ]


@expected_outcomes.register("version_rollout")
def expect_version_rollout(builder):
    """The four VMs are in their new pools within 12 s."""
    return [
        measure("moves", equals=4),
        measure("rollout_ms", at_least=1, at_most=12_000),
        *(
            measure("below_guarantee_ms", key=pool, equals=0)
            for pool in builder.pools
        ),
    ]


@expected_outcomes.register("stuck_reboot")
def expect_stuck_reboot(builder):
    """The wave pauses until an operator resumes it, and then completes."""
    return [
        commands(
            "report_wave",
            match={"state": "paused", "reason": builder.vm_name(0, 0)},
            before_ms=110_000,
        ),
        commands(
            "request_grant",
            after_ms=110_000,
            before_ms=199_999,
            match={"purpose": "maintenance"},
            equals=0,
        ),
        commands("report_wave", match={"state": "resumed"}, after_ms=200_000),
        measure("maintained", at_least=30),
    ]

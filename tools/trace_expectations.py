"""Stated outcomes of the generated traces."""

import json

from wigeonport.registries import Registry

stated = Registry("stated outcome")


def commands(command, **fields):
    """Returns an expectation about the number of commands."""
    return {"expect": "commands", "command": command, **fields}


def measure(name, **fields):
    """Returns an expectation about a measure."""
    return {"expect": "measure", "name": name, **fields}


def write_expectations(path, scenario, builder):
    """Writes the expect file of a scenario."""
    lines = stated.entries[scenario](builder)
    with open(path, "w", encoding="utf-8") as file:
        for line in lines:
            file.write(json.dumps(line) + "\n")


@stated.register("rotation")
def state_rotation(builder):
    """Peaks of 8 s are shorter than what a move costs."""
    return [
        measure("moves", at_most=4),
        measure("buffer_vm_s", at_most=500),
    ]


@stated.register("long_rotation")
def state_long_rotation(builder):
    """VMs follow the peaks where the weights make that worth it.

    Without moves 779 VM-seconds are short; with a move at every change of
    the demand there are 117 to 130 moves.
    """
    if builder.settings["weight_rollout"] > builder.settings["weight_buffer"]:
        return [
            measure("shortage_vm_s", at_most=250),
            measure("moves", at_least=8, at_most=40),
        ]
    return [measure("moves", at_most=20), measure("buffer_vm_s", at_most=1200)]


@stated.register("sustained_peak")
def state_sustained_peak(builder):
    """Two VMs are lent within 30 s and return after the peak."""
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


@stated.register("burst_in_wave")
def state_burst_in_wave(builder):
    """No VM of the bursting pool is taken; the wave still completes."""
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


@stated.register("failures_in_wave")
def state_failures_in_wave(builder):
    """The wave pauses at once, nothing is granted, and it resumes."""
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


@stated.register("second_loss")
def state_second_loss(builder):
    """No grant in the pool until the repaired VM has held for 30 s."""
    pool = builder.pools[1]
    return [
        commands(
            "request_grant", match={"vm": pool}, before_ms=149_999, equals=0
        ),
        measure("lowest_available", key=pool, at_least=5),
        measure("maintained", equals=6),
    ]


@stated.register("isolated_leader")
def state_isolated_leader(builder):
    """Nothing is commanded without a lease; the next term completes."""
    silent = {"after_ms": 31_000, "before_ms": 149_999, "equals": 0}
    return [
        commands("request_grant", **silent),
        commands("drain_vm", **silent),
        commands("reboot_vm", **silent),
        commands("release_grant", **silent),
        measure("maintained", equals=30),
    ]


@stated.register("bad_workers")
def state_bad_workers(builder):
    """The worker is quarantined, and no job is blamed or lost."""
    bad = builder.vm(0, 0)
    return [
        commands("quarantine_worker", match={"vm": bad}, equals=1),
        commands("quarantine_worker", equals=1),
        commands("report_job", equals=0),
        measure("finished_jobs", equals=100),
        measure("failed_tasks", at_most=20),
    ]


@stated.register("never_jobs")
def state_never_jobs(builder):
    """Each job that can never run is named with its reason."""
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


@stated.register("cancellation_wave")
def state_cancellation_wave(builder):
    """One command ends the running tasks; nothing of the team starts."""
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


@stated.register("urgent_work")
def state_urgent_work(builder):
    """Every urgent job starts within 4 s, also beside stuck tasks."""
    return [
        measure("urgent_start_ms", at_most=4_000),
        measure("unstarted_urgent", equals=0),
        commands("checkpoint_task"),
        commands("throttle_task"),
        commands("stop_task"),
    ]


@stated.register("wrong_sizes")
def state_wrong_sizes(builder):
    """Sizes are learned: short waits and few tasks out of memory."""
    return [
        measure("finished_jobs", equals=90),
        measure("wait_s", at_most=30),
        commands("report_job", equals=0),
        commands("quarantine_worker", equals=0),
    ]


@stated.register("scattered_wave")
def state_scattered_wave(builder):
    """The wave completes and touches one zone at a time."""
    return [
        measure("maintained", equals=30),
        measure("mixed_zones_ms", equals=0),
    ]


@stated.register("version_rollout")
def state_version_rollout(builder):
    """The four VMs are in their new pools within 12 s."""
    return [
        measure("moves", equals=4),
        measure("rollout_ms", at_least=1, at_most=12_000),
        *(
            measure("below_guarantee_ms", key=pool, equals=0)
            for pool in builder.pools
        ),
    ]


@stated.register("stuck_reboot")
def state_stuck_reboot(builder):
    """The wave pauses until an operator resumes it, then completes."""
    return [
        commands(
            "report_wave",
            match={"state": "paused", "reason": builder.vm(0, 0)},
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

"""Settings of the planner: a table of defaults, and the checks of values."""

from expression import Result

from wigeonport.findings import Findings

DAY_MS = 86_400_000

DEFAULTS = {
    # Names of the policies of each stage.
    "reserve_policy": "shared_rack",
    "borrow_policy": "learned_peaks",
    "wave_order": "zone_rack",
    "placement_policy": "estimated_best_fit",
    "estimate_policy": "learned",
    # Weights of the measures, in cost per VM-second or per move.
    "weight_buffer": 1.0,
    "weight_rollout": 3.0,
    "weight_moves": 1.0,
    # VM-seconds that one move costs at weight 1: it drains the VM, interrupts
    # its tasks, and neither pool can use the VM meanwhile.
    "move_price_s": 20.0,
    "borrow_hold_ms": 30_000,
    # Time from the decision to move a VM until it serves in its new pool.
    "move_lead_ms": 3_000,
    "demand_stale_ms": 10_000,
    "demand_window_ms": 120_000,
    # If the last report of a zone is older than this, the state of its VMs is
    # unknown and they count as unavailable.
    "report_stale_ms": 5_000,
    "healthy_hold_ms": 30_000,
    # A leader stops planning this long before its lease ends, so that a
    # command in flight arrives before another leader can act.
    "leader_margin_ms": 500,
    "maintenance_period_ms": 14 * DAY_MS,
    "wave_lead_ms": 3 * DAY_MS,
    "wave_overdue_ms": DAY_MS,
    "wave_parallel": 4,
    "wave_headroom": 1,
    "wave_pause_failures": 2,
    "wave_failure_window_ms": 60_000,
    "wave_quiet_ms": 60_000,
    # A refused grant is not requested again before this time has passed.
    "grant_retry_ms": 60_000,
    "grant_lease_ms": 120_000,
    "drain_bound_ms": 60_000,
    "reboot_bound_ms": 90_000,
    "prepare_bound_ms": 30_000,
    "command_resend_ms": 2_000,
    "task_lease_ms": 30_000,
    "start_bound_ms": 5_000,
    "urgent_start_ms": 4_000,
    # With one plan a second, a task is throttled 1 to 2 s and stopped 2 to 3 s
    # after the urgent job arrived. This leaves 1 s of ``urgent_start_ms`` for
    # the report that the task has ended.
    "checkpoint_bound_ms": 1_000,
    "preempt_bound_ms": 2_000,
    "throttle_share": 0.25,
    "job_failed_workers": 3,
    "estimate_samples": 32,
    "estimate_min_samples": 3,
    "estimate_margin": 1.15,
    "worker_failed_jobs": 3,
    "worker_failure_window_ms": 300_000,
    "quarantine_ms": 600_000,
    # Largest share of a pool's workers in quarantine; one is always allowed
    # in a pool of at least three.
    "quarantine_share": 0.2,
    "finished_jobs_kept": 10_000,
}
MINIMUMS = {"wave_parallel": 1, "estimate_samples": 4, "job_failed_workers": 1}


class PlanSettings:
    """Values of the settings; the attributes are the keys of ``DEFAULTS``."""

    __slots__ = tuple(DEFAULTS)

    def __init__(self, **overrides):
        for name, default in DEFAULTS.items():
            setattr(self, name, overrides.get(name, default))


def read_plan_settings(document, location) -> Result:
    """Checks a mapping of settings.

    Args:
        document: Maps name to value; names left out keep their defaults.
        location: Key path of the mapping, for findings.

    Returns:
        PlanSettings, or Findings for every wrong name or value.
    """
    findings = Findings()
    for name, value in document.items():
        fault = find_fault(name, value)
        if fault:
            findings.add(f"{location}.{name}", fault)
    if findings:
        return findings.result(None)
    return findings.result(PlanSettings(**document))


def find_fault(name, value):
    """Returns what is wrong with one setting, or None if it is valid."""
    if name not in DEFAULTS:
        return "is not a known setting"
    default = DEFAULTS[name]
    if isinstance(default, str):
        return None if isinstance(value, str) else "must be a string"
    if isinstance(value, bool) or not isinstance(value, int | float):
        return "must be a number"
    if isinstance(default, int) and not isinstance(value, int):
        return "must be a whole number"
    if value < MINIMUMS.get(name, 0):
        return f"must be at least {MINIMUMS.get(name, 0)}"
    return None

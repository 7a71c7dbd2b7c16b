"""The state that the stages of the planner read and update."""

from wigeonport.forecasts import Forecasts
from wigeonport.job_tables import JobTable
from wigeonport.peaks import PeakRecords
from wigeonport.views import FleetView
from wigeonport.wave_states import WaveState
from wigeonport.worker_faults import WorkerFaults


class PlanView:
    """State of the planner; its owner passes it to one stage at a time.

    Attributes:
        settings: PlanSettings.
        fleet: FleetView of the version in force.
        term: Highest term seen.
        lease_until_ms: End of this process's leader lease.
        grants: Maps VM name to its GrantView.
        operations: Maps VM name to its operation in progress.
        forecasts: Forecasts of the demand of each service.
        wave: State of the maintenance wave.
        jobs: JobTable of all jobs.
        faults: WorkerFaults: the task outcomes of each worker.
        reserve: Latest Reserve, or None before the first full plan.
        reserve_sized_for: Maps pool name to the available VMs for which the
            reserve was last sized; None to size it again.
        borrow_scores: Maps pool name to the scores of its capacity levels.
        peaks: PeakRecords of the pools.
        scores_updated_ms: Time of the last update of the borrow scores, or
            None before the first.
        scope: Names of the pools to plan, or None for all.
        available: Maps pool name to its available VMs while a plan runs, else
            None. Code that changes the availability of a VM must call
            ``drop_available``.
    """

    __slots__ = (
        "settings",
        "fleet",
        "term",
        "lease_until_ms",
        "grants",
        "operations",
        "forecasts",
        "wave",
        "jobs",
        "faults",
        "reserve",
        "reserve_sized_for",
        "borrow_scores",
        "peaks",
        "scores_updated_ms",
        "scope",
        "available",
    )

    def __init__(self, settings):
        self.settings = settings
        self.fleet = FleetView(0, [], [], [], [])
        self.term = 0
        self.lease_until_ms = 0
        self.grants = {}
        self.operations = {}
        self.forecasts = Forecasts(settings)
        self.wave = WaveState()
        self.jobs = JobTable(settings)
        self.faults = WorkerFaults()
        self.reserve = None
        self.reserve_sized_for = None
        self.borrow_scores = {}
        self.peaks = PeakRecords()
        self.scores_updated_ms = None
        self.scope = None
        self.available = None

    def leads(self, now_ms):
        """Returns whether the leader lease lasts longer than the margin."""
        return now_ms + self.settings.leader_margin_ms < self.lease_until_ms

    def drop_available(self, vm_name):
        """Discards the available VMs computed for the pool of a VM."""
        vm = self.fleet.vms.get(vm_name)
        if self.available and vm is not None:
            self.available.pop(vm.pool, None)

    def pools(self):
        """Returns the PoolViews of the pools to plan."""
        pools = self.fleet.pools
        if self.scope is None:
            return list(pools.values())
        return [pools[name] for name in self.scope if name in pools]

    def plans_all_pools(self):
        """Returns whether this is a full plan, which covers every pool."""
        return self.scope is None

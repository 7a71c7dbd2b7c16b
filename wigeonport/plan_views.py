"""Everything that the stages of the planner read and update."""

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
        grants: GrantView by VM.
        operations: Operation in progress, by VM.
        forecasts: Demand by service.
        wave: State of the maintenance wave.
        jobs: JobTable.
        faults: Task outcomes of each worker.
        reserve: Latest Reserve, or None before the first full plan.
        reserve_basis: Available VMs by pool for which the reserve was sized.
        borrow_scores: Score of each level of capacity, by service.
        peaks: PeakRecords of the pools.
        scores_updated_ms: Time of the last update of the scores.
        scope: Names of the pools to plan, or None for all.
        available: Available VMs by pool while a plan runs, else None; what
            changes the availability of a VM calls ``forget_available``.
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
        "reserve_basis",
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
        self.reserve_basis = None
        self.borrow_scores = {}
        self.peaks = PeakRecords()
        self.scores_updated_ms = None
        self.scope = None
        self.available = None

    def leads(self, now_ms):
        """Returns whether the leader lease is live, with the margin."""
        return now_ms + self.settings.leader_margin_ms < self.lease_until_ms

    def forget_available(self, vm_name):
        """Drops what was computed about the pool of a VM in this plan."""
        vm = self.fleet.vms.get(vm_name)
        if self.available and vm is not None:
            self.available.pop(vm.pool, None)

    def pools(self):
        """Returns the PoolViews in scope."""
        pools = self.fleet.pools
        if self.scope is None:
            return list(pools.values())
        return [pools[name] for name in self.scope if name in pools]

    def plans_all_pools(self):
        """Returns whether every pool is planned."""
        return self.scope is None

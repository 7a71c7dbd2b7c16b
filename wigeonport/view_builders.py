"""Builds the planner's views from the replicated state."""

import zlib

from wigeonport.budgets import required_available
from wigeonport.fleet_records import Worker
from wigeonport.plan_events import FleetLoaded
from wigeonport.views import (
    REMOVED,
    FleetView,
    GrantView,
    PoolView,
    ServiceView,
    Size,
    TeamView,
    VmView,
    WeightsView,
)

# Author of the planner's patches, by which lent VMs are found in the history.
PLANNER_AUTHOR = "wigeonport-planner"
MS_PER_HOUR = 3_600_000
WORKERS = "workers"


class PoolContents:
    """The part of a fleet version that concerns one pool.

    It replaces the fleet as the argument of ``required_available``, which
    would otherwise pass over all workers of the fleet for each pool.

    Attributes:
        workers: Maps id to Worker, for the workers that the version assigns
            to the pool.
        services: Services of the pool.
    """

    __slots__ = ("workers", "services")

    def __init__(self):
        self.workers = {}
        self.services = []

    def services_of(self, pool):
        """Returns the services of the pool."""
        return self.services


def build_fleet_loaded(state, offset_ms):
    """Returns the FleetLoaded event of a replicated state.

    Args:
        state: ReplicatedState.
        offset_ms: Planner's clock minus wall clock; the times in the log are
            wall times.
    """
    fleet = build_fleet_view(state, offset_ms)
    grants = [
        GrantView(
            worker,
            grant.purpose,
            find_destination(state, grant, worker),
            grant.expires_ms + offset_ms,
        )
        for grant in state.maintenance.grants.values()
        for worker in grant.workers
        if worker in fleet.vms
    ]
    return FleetLoaded(fleet, grants)


def find_destination(state, grant, worker):
    """Returns the pool that a move enters, or "" for other purposes."""
    if grant.purpose != "move":
        return ""
    return state.pools.target(state.fleet.fleet, worker) or ""


def build_fleet_view(state, offset_ms):
    """Returns the FleetView of a replicated state; see build_fleet_loaded."""
    fleet = state.fleet.fleet
    services = [
        ServiceView(
            service.id,
            service.pool,
            service.capacity_workers,
            service.slots_per_endpoint,
        )
        for service in fleet.services.values()
    ]
    teams = [
        TeamView(team.id, team.processors) for team in fleet.teams.values()
    ]
    vms = VmBuilder(state, offset_ms).build_all()
    pools = build_pools(fleet, vms)
    view = FleetView(fleet.version, vms, pools, services, teams)
    view.period_ms = fleet.maintenance_period_hours * MS_PER_HOUR
    weights = fleet.weights
    view.weights = WeightsView(
        weights.buffer_cost, weights.roll_out_time, weights.moves
    )
    return view


def build_pools(fleet, vms):
    """Returns the PoolViews, including removed pools that still have VMs."""
    contents = group_by_pool(fleet)
    pools = [
        PoolView(
            pool.id,
            pool.id == fleet.spare_pool,
            required_available(contents[pool.id], pool.id),
        )
        for pool in fleet.pools.values()
    ]
    removed = {vm.pool: None for vm in vms if vm.pool not in fleet.pools}
    return pools + [PoolView(name) for name in removed]


def group_by_pool(fleet):
    """Returns a mapping from pool id to its PoolContents."""
    contents = {name: PoolContents() for name in fleet.pools}
    for worker in fleet.workers.values():
        contents[worker.pool].workers[worker.id] = worker
    for service in fleet.services.values():
        contents[service.pool].services.append(service)
    return contents


class VmBuilder:
    """Builds the VmViews of one replicated state.

    Attributes:
        state: ReplicatedState.
        offset_ms: Planner's clock minus wall clock.
        period_ms: Maintenance period.
        lent: Ids of the VMs that the planner has lent.
        next_openings_ms: Maps zone to the wall time at which its next window
            opens, or to 0 if maintenance may run now.
    """

    __slots__ = ("state", "offset_ms", "period_ms", "lent", "next_openings_ms")

    def __init__(self, state, offset_ms):
        fleet = state.fleet.fleet
        self.state = state
        self.offset_ms = offset_ms
        self.period_ms = fleet.maintenance_period_hours * MS_PER_HOUR
        self.lent = find_lent_vms(state.fleet)
        self.next_openings_ms = {
            zone: find_next_opening(fleet.windows_of(zone), state.now_ms)
            for zone in fleet.zones
        }

    def build_all(self):
        """Returns the VmViews of the version and of VMs yet to be removed."""
        workers = self.state.fleet.fleet.workers
        members = self.state.pools.pools
        vms = [
            self.build(worker)
            for worker in workers.values()
            if worker.id in members
        ]
        removed_ids = members.keys() - workers.keys()
        if not removed_ids:
            return vms
        records = find_removed_workers(self.state.fleet)
        for worker_id in sorted(removed_ids & records.keys()):
            vm = self.build(records[worker_id])
            vm.home_pool = REMOVED
            vms.append(vm)
        return vms

    def build(self, worker):
        """Returns the VmView of a worker."""
        maintenance = self.state.maintenance
        maintained_ms = maintenance.maintained.get(worker.id)
        joined_ms = maintenance.joined.get(worker.id, 0)
        due_ms = find_due_ms(
            worker.id, joined_ms, maintained_ms, self.period_ms
        )
        vm = VmView(
            worker.id,
            self.state.pools.pools[worker.id],
            worker.rack,
            worker.zone,
            Size(worker.processors, worker.memory_mb, worker.accelerators),
            due_ms + self.offset_ms,
        )
        vm.home_pool = worker.pool
        spare_pool = self.state.fleet.fleet.spare_pool
        if worker.id in self.lent and worker.pool != spare_pool:
            vm.lender = spare_pool or ""
        if maintained_ms is not None:
            vm.maintained_ms = maintained_ms + self.offset_ms
        opening_ms = self.next_openings_ms.get(worker.zone, 0)
        if opening_ms:
            vm.closed_until_ms = opening_ms + self.offset_ms
        hold_until_ms = maintenance.holds.get(worker.id)
        if hold_until_ms is not None:
            vm.unsettled_until_ms = hold_until_ms + self.offset_ms
        return vm


def find_removed_workers(fleet_state):
    """Returns a mapping from the id of a removed VM to its last Worker."""
    return {
        change.id: Worker(**change.before)
        for record in fleet_state.history
        for change in record.changes
        if change.section == WORKERS and change.after is None
    }


def find_due_ms(worker_id, joined_ms, maintained_ms, period_ms):
    """Returns the wall time by which a VM must be maintained.

    The due times of VMs that were never maintained are spread over the first
    period after they joined, by a checksum of the id. Otherwise all VMs of a
    new fleet would be due at the same time.
    """
    if maintained_ms is not None:
        return maintained_ms + period_ms
    return joined_ms + zlib.crc32(worker_id.encode()) % period_ms


def find_next_opening(windows, now_ms):
    """Returns when the next window opens; 0 if one is open or none exists."""
    if not windows or any(window.contains(now_ms) for window in windows):
        return 0
    return min(window.next_opening(now_ms) for window in windows)


def find_lent_vms(fleet_state):
    """Returns the ids of the VMs whose pool the planner changed last.

    A loan whose patch is no longer in the history counts as permanent.
    """
    lent = set()
    for record in fleet_state.history:
        for change in record.changes:
            if change.section != WORKERS or not changes_pool(change):
                continue
            if record.author == PLANNER_AUTHOR:
                lent.add(change.id)
            else:
                lent.discard(change.id)
    return lent


def changes_pool(change):
    """Returns whether a change assigns a VM to another pool."""
    before = change.before or {}
    after = change.after or {}
    return before.get("pool") != after.get("pool")

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

# Author of the planner's patches; the history then shows which VMs are lent.
PLANNER_AUTHOR = "wigeonport-planner"
MS_PER_HOUR = 3_600_000
WORKERS = "workers"


class PoolSlice:
    """The part of a fleet version that concerns one pool.

    It has what ``required_available`` reads, so that the requirement of one
    pool does not cost a pass over the whole fleet.

    Attributes:
        workers: Workers that the version assigns to the pool, by id.
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
        offset_ms: Planner's clock minus wall clock, because the log's times
            are wall times.
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
    """Returns the pool that a move enters, or "" for maintenance."""
    if grant.purpose != "move":
        return ""
    return state.pools.target(state.fleet.fleet, worker) or ""


def build_fleet_view(state, offset_ms):
    """Returns the FleetView of a replicated state."""
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
    """Returns the PoolViews, also of removed pools that still have VMs."""
    slices = slice_by_pool(fleet)
    pools = [
        PoolView(
            pool.id,
            pool.id == fleet.spare_pool,
            required_available(slices[pool.id], pool.id),
        )
        for pool in fleet.pools.values()
    ]
    removed = {vm.pool: None for vm in vms if vm.pool not in fleet.pools}
    return pools + [PoolView(name) for name in removed]


def slice_by_pool(fleet):
    """Returns a PoolSlice for each pool."""
    slices = {name: PoolSlice() for name in fleet.pools}
    for worker in fleet.workers.values():
        slices[worker.pool].workers[worker.id] = worker
    for service in fleet.services.values():
        slices[service.pool].services.append(service)
    return slices


class VmBuilder:
    """Builds the VmViews of one replicated state.

    Attributes:
        state: ReplicatedState.
        offset_ms: Planner's clock minus wall clock.
        period_ms: Maintenance period.
        lent: VMs that the planner has lent.
        openings_ms: Wall time of the next window by zone; 0 if one is open.
    """

    __slots__ = ("state", "offset_ms", "period_ms", "lent", "openings_ms")

    def __init__(self, state, offset_ms):
        fleet = state.fleet.fleet
        self.state = state
        self.offset_ms = offset_ms
        self.period_ms = fleet.maintenance_period_hours * MS_PER_HOUR
        self.lent = find_lent(state.fleet)
        self.openings_ms = {
            zone: find_opening(fleet.windows_of(zone), state.now_ms)
            for zone in fleet.zones
        }

    def build_all(self):
        """Returns the VMs of the version and those still to be removed."""
        workers = self.state.fleet.fleet.workers
        members = self.state.pools.pools
        vms = [
            self.build(worker)
            for worker in workers.values()
            if worker.id in members
        ]
        leaving = members.keys() - workers.keys()
        if not leaving:
            return vms
        records = find_removed(self.state.fleet)
        for worker_id in sorted(leaving & records.keys()):
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
        closed_ms = self.openings_ms.get(worker.zone, 0)
        if closed_ms:
            vm.closed_until_ms = closed_ms + self.offset_ms
        held_ms = maintenance.holds.get(worker.id)
        if held_ms is not None:
            vm.unsettled_until_ms = held_ms + self.offset_ms
        return vm


def find_removed(fleet_state):
    """Returns the last Worker record of each removed VM, by id."""
    return {
        change.id: Worker(**change.before)
        for record in fleet_state.history
        for change in record.changes
        if change.section == WORKERS and change.after is None
    }


def find_due_ms(worker_id, joined_ms, maintained_ms, period_ms):
    """Returns the wall time by which a VM must be maintained.

    VMs that were never maintained are spread over the period after they
    joined by their names, so that a new fleet is not due all at once.
    """
    if maintained_ms is not None:
        return maintained_ms + period_ms
    return joined_ms + zlib.crc32(worker_id.encode()) % period_ms


def find_opening(windows, now_ms):
    """Returns when the next window opens; 0 if one is open or none exists."""
    if not windows or any(window.contains(now_ms) for window in windows):
        return 0
    return min(window.next_opening(now_ms) for window in windows)


def find_lent(fleet_state):
    """Returns the VMs whose pool was last changed by the planner.

    Loans older than the retained history are taken as permanent.
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

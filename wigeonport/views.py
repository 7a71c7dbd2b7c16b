"""Views of the fleet for the planner, independent of its documents.

All times are integer milliseconds on the planner's clock.
"""

READY = "ready"
DRAINING = "draining"
DRAINED = "drained"
REBOOTING = "rebooting"
PREPARING = "preparing"
FAILED = "failed"
# Home pool of a VM that the version in force has removed.
REMOVED = ""
VM_STATES = (READY, DRAINING, DRAINED, REBOOTING, PREPARING, FAILED)


class Size:
    """Resources of a task or a worker.

    Attributes:
        cores: Number of processor cores; may be fractional.
        memory_mb: Memory in MB.
        accelerators: Number of accelerators, always whole.
    """

    __slots__ = ("cores", "memory_mb", "accelerators")

    def __init__(self, cores, memory_mb, accelerators=0):
        self.cores = cores
        self.memory_mb = memory_mb
        self.accelerators = accelerators

    def plus(self, other):
        """Returns the sum of two sizes."""
        return Size(
            self.cores + other.cores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other):
        """Returns the difference of two sizes; parts may be negative."""
        return Size(
            self.cores - other.cores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def fits(self, free):
        """Returns whether this size fits into the free resources."""
        return (
            self.cores <= free.cores
            and self.memory_mb <= free.memory_mb
            and self.accelerators <= free.accelerators
        )

    def __str__(self):
        return (
            f"{self.cores:g} cores, {self.memory_mb:g} MB, "
            f"{self.accelerators} accelerators"
        )


class VmView:
    """A worker VM with its assignment and its last reported state.

    Attributes:
        name: Unique name.
        pool: Pool that holds the VM now.
        home_pool: Pool to which the version in force assigns the VM, or
            ``REMOVED``.
        lender: Spare pool from which the planner has lent the VM, or "".
        rack: Rack; its name is unique across zones.
        zone: Availability zone.
        size: Resources that tasks can use.
        state: One of ``VM_STATES``.
        sequence: Sequence number of the newest report applied.
        due_ms: Time by which the VM must have been maintained.
        maintained_ms: Time of the last maintenance, or None if unknown.
        moved_ms: Time of the last change of pool.
        unsettled_until_ms: End of the hold after a repair or reboot; until
            then the VM does not count as available.
        closed_until_ms: Time before which no maintenance may start, because
            no window is open or the log has just refused a grant.
        missing: Whether the zone's last report did not include the VM.
        quarantined: Whether the worker gets no new tasks.
    """

    __slots__ = (
        "name",
        "pool",
        "home_pool",
        "lender",
        "rack",
        "zone",
        "size",
        "state",
        "sequence",
        "due_ms",
        "maintained_ms",
        "moved_ms",
        "unsettled_until_ms",
        "closed_until_ms",
        "missing",
        "quarantined",
    )

    def __init__(self, name, pool, rack, zone, size, due_ms, state=READY):
        self.name = name
        self.pool = pool
        self.home_pool = pool
        self.lender = ""
        self.rack = rack
        self.zone = zone
        self.size = size
        self.state = state
        self.sequence = 0
        self.due_ms = due_ms
        self.maintained_ms = None
        self.moved_ms = None
        self.unsettled_until_ms = 0
        self.closed_until_ms = 0
        self.missing = False
        self.quarantined = False

    @property
    def borrowed(self):
        """Whether the VM is on loan in another pool than its lender."""
        return self.lender not in ("", self.pool)


class PoolView:
    """A pool of VMs.

    Attributes:
        name: Unique name.
        spare: Whether other pools may borrow from this one.
        members: Names of the VMs in the pool, in insertion order.
        services: ServiceViews of the services that run in the pool.
        floor: Minimum number of available VMs that planned work must leave;
            may be higher than the number guaranteed to the services.
    """

    __slots__ = ("name", "spare", "members", "services", "floor")

    def __init__(self, name, spare=False, floor=0):
        self.name = name
        self.spare = spare
        self.floor = floor
        self.members = {}
        self.services = []

    def guaranteed(self):
        """Returns the number of VMs guaranteed to the services."""
        return sum(service.guaranteed for service in self.services)

    def required(self):
        """Returns the number of available VMs that planned work must leave."""
        return max(self.guaranteed(), self.floor)


class ServiceView:
    """A service and its guaranteed capacity.

    Attributes:
        name: Unique name.
        pool: Pool that runs the service.
        guaranteed: Number of VMs that must stay available; the pool's
            declared size minus this number is the availability budget.
        slots_per_vm: Number of requests that one VM serves at a time.
    """

    __slots__ = ("name", "pool", "guaranteed", "slots_per_vm")

    def __init__(self, name, pool, guaranteed, slots_per_vm):
        self.name = name
        self.pool = pool
        self.guaranteed = guaranteed
        self.slots_per_vm = slots_per_vm


class TeamView:
    """A team and its quota.

    Attributes:
        name: Unique name.
        quota_cores: Maximum number of cores that the team's tasks may hold at
            a time.
    """

    __slots__ = ("name", "quota_cores")

    def __init__(self, name, quota_cores):
        self.name = name
        self.quota_cores = quota_cores


class GrantView:
    """A live grant, which permits taking a VM out of service.

    Attributes:
        vm: Name of the VM.
        purpose: ``maintenance``, ``move``, or ``drain`` for an operator.
        destination: Pool that a move enters, else "".
        until_ms: End of the lease.
    """

    __slots__ = ("vm", "purpose", "destination", "until_ms")

    def __init__(self, vm, purpose, destination, until_ms):
        self.vm = vm
        self.purpose = purpose
        self.destination = destination
        self.until_ms = until_ms


class WeightsView:
    """Weights of the measures.

    Attributes:
        buffer_cost: Cost of one idle VM per second.
        rollout_time: Cost of one missing VM per second.
        moves: Factor by which the price of a move is multiplied.
    """

    __slots__ = ("buffer_cost", "rollout_time", "moves")

    def __init__(self, buffer_cost, rollout_time, moves):
        self.buffer_cost = buffer_cost
        self.rollout_time = rollout_time
        self.moves = moves


class FleetView:
    """The fleet at one version; the pools index the VMs.

    Attributes:
        version: Fleet version from which the view was built.
        vms: Maps name to VmView.
        pools: Maps name to PoolView.
        services: Maps name to ServiceView.
        teams: Maps name to TeamView.
        last_report_ms: Maps zone to the time of its last report, or to None
            before the first.
        missing: Maps zone to the names of the VMs missing in that report.
        weights: WeightsView of the version, or None to keep the settings.
        period_ms: Maintenance period, or None to keep the setting.
    """

    __slots__ = (
        "version",
        "vms",
        "pools",
        "services",
        "teams",
        "last_report_ms",
        "missing",
        "weights",
        "period_ms",
    )

    def __init__(self, version, vms, pools, services, teams):
        self.version = version
        self.vms = {vm.name: vm for vm in vms}
        self.pools = {pool.name: pool for pool in pools}
        self.services = {service.name: service for service in services}
        self.teams = {team.name: team for team in teams}
        self.last_report_ms = {}
        self.missing = {}
        self.weights = None
        self.period_ms = None
        for vm in vms:
            self.pools[vm.pool].members[vm.name] = None
            self.last_report_ms.setdefault(vm.zone, None)
        for service in services:
            self.pools[service.pool].services.append(service)

    def members(self, pool_name):
        """Returns the VmViews of a pool."""
        vms = self.vms
        return [vms[name] for name in self.pools[pool_name].members]

    def spare_pools(self):
        """Returns the PoolViews of the pools that lend VMs."""
        return [pool for pool in self.pools.values() if pool.spare]

    def remove(self, vm):
        """Removes a VM from its pool and from the fleet."""
        del self.pools[vm.pool].members[vm.name]
        del self.vms[vm.name]

    def move(self, vm, destination, now_ms):
        """Moves a VM from its pool to another one."""
        del self.pools[vm.pool].members[vm.name]
        self.pools[destination].members[vm.name] = None
        vm.pool = destination
        vm.moved_ms = now_ms

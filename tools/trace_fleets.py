"""Fleets of the two deployments and of any size, for traces and benchmarks."""

from wigeonport.views import (
    FleetView,
    PoolView,
    ServiceView,
    Size,
    TeamView,
    VmView,
)

DISTANT_DUE_MS = 14 * 86_400_000
SLOTS_PER_VM = 8
POOL_SIZE = 6
RACK_SIZE = 4
GUARANTEED = 5
SPARE_GUARANTEED = 2


class Deployment:
    """Names and sizes of one deployment (docs/design.md, section 2.6).

    Attributes:
        name: Name of the deployment.
        zones: Names of the zones.
        pools: Names of the pools and services; the last is the spare pool.
        size: Size of each worker.
        weights: Planner settings that differ between the deployments.
    """

    __slots__ = ("name", "zones", "pools", "size", "weights")

    def __init__(self, name, zones, pools, size, weights):
        self.name = name
        self.zones = zones
        self.pools = pools
        self.size = size
        self.weights = weights


DEPLOYMENTS = {
    "lagos": Deployment(
        "lagos",
        ("ikeja", "lekki", "yaba"),
        ("routedesk", "roster", "cortege", "crusade", "notices"),
        Size(16, 32_768),
        {"weight_rollout": 3.0, "weight_buffer": 1.0},
    ),
    "kroumirie": Deployment(
        "kroumirie",
        ("ain-draham", "tabarka", "fernana"),
        ("survey", "crews", "walls", "haulage", "commons"),
        Size(32, 65_536),
        {"weight_rollout": 1.0, "weight_buffer": 3.0},
    ),
}


def build_fleet(deployment, due_ms=DISTANT_DUE_MS):
    """Returns the fleet of a deployment at its current scale.

    Each pool has two VMs in each zone. A rack holds four VMs, the two of
    one pool and the two of the next, so the loss of a rack costs each of
    these pools two VMs.
    """
    vms = []
    for zone in deployment.zones:
        names = [
            (pool, f"{pool}-{zone}-{number}")
            for pool in deployment.pools
            for number in (1, 2)
        ]
        for index, (pool, name) in enumerate(names):
            rack = f"{zone}-r{index // RACK_SIZE + 1}"
            vms.append(VmView(name, pool, rack, zone, deployment.size, due_ms))
    spare = deployment.pools[-1]
    pools = [PoolView(name, name == spare) for name in deployment.pools]
    services = [
        ServiceView(
            name,
            name,
            SPARE_GUARANTEED if name == spare else GUARANTEED,
            SLOTS_PER_VM,
        )
        for name in deployment.pools
    ]
    cores = deployment.size.cores * len(vms)
    teams = [TeamView("planners", cores), TeamView("surveyors", cores)]
    return FleetView(1, vms, pools, services, teams)


def build_large_fleet(random, worker_count, pool_count, zone_count):
    """Returns a fleet of any size with as many spare pools as zones.

    Args:
        random: Random number generator for worker sizes and due times.
        worker_count: Number of workers.
        pool_count: Number of pools, the spare ones included.
        zone_count: Number of zones.
    """
    pools, services = [], []
    for index in range(pool_count):
        spare = index < zone_count
        pools.append(PoolView(f"pool-{index}", spare))
        workers_per_pool = worker_count // pool_count
        guaranteed = (
            workers_per_pool // 3 if spare else max(workers_per_pool - 1, 1)
        )
        services.append(
            ServiceView(
                f"service-{index}", f"pool-{index}", guaranteed, SLOTS_PER_VM
            )
        )
    vms = []
    workers_in_zone = [0] * zone_count
    for index in range(worker_count):
        zone = (index // pool_count + index) % zone_count
        rack = workers_in_zone[zone] // RACK_SIZE
        workers_in_zone[zone] += 1
        cores = random.choice((8, 16, 32))
        vms.append(
            VmView(
                f"vm-{index}",
                f"pool-{index % pool_count}",
                f"zone-{zone}-r{rack}",
                f"zone-{zone}",
                Size(cores, cores * 2_048),
                random.randrange(DISTANT_DUE_MS),
            )
        )
    cores = sum(vm.size.cores for vm in vms)
    teams = [TeamView(f"team-{index}", cores / 20) for index in range(56)]
    return FleetView(1, vms, pools, services, teams)

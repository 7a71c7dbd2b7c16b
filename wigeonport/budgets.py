"""Availability budgets of pools, as pure functions."""


def required_available(fleet, pool):
    """Returns how many workers of a pool must stay available.

    This is the maximum of the sum of the workers promised to the pool's
    services and, for each service, the number of workers that the version
    assigns to the pool minus the service's budget. It is 0 for a pool
    without services.

    Args:
        fleet: The version in force.
        pool: Pool id.
    """
    assigned = sum(w.pool == pool for w in fleet.workers.values())
    services = fleet.services_of(pool)
    promised = sum(service.capacity_workers for service in services)
    limits = [assigned - service.budget(assigned) for service in services]
    return max([promised, *limits, 0])


def remaining_budget(fleet, pool, members, unavailable):
    """Returns how many more VMs of a pool may become unavailable.

    Args:
        fleet: The version in force.
        pool: Pool id.
        members: Ids of the VMs that are in the pool now.
        unavailable: Ids of VMs that are unavailable or in an unknown state.

    Returns:
        The number; negative if fewer than the required VMs are available.
    """
    available = len(set(members) - set(unavailable))
    return available - required_available(fleet, pool)

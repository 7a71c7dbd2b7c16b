"""Availability budgets of pools, as pure functions."""


def required_available(fleet, pool):
    """Returns how many workers of a pool must stay available.

    It is the larger of the sum of the services' promised workers and, for
    each service, the workers that the version assigns to the pool less the
    service's budget. A pool without services needs none.

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
        The number, negative when the pool is below what it needs already.
    """
    available = len(set(members) - set(unavailable))
    return available - required_available(fleet, pool)

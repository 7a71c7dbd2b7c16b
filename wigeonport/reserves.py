"""Sizes the reserve: VMs of the spare pools that are kept for failures.

The reserve is sized so that the guarantees hold after the loss of any one
rack. What the loss of a whole zone would leave uncovered is only reported.
"""

from wigeonport.availabilities import available_vms, count_available
from wigeonport.plan_commands import ReportReserve
from wigeonport.plan_registries import reserve_policies, stages


class Reserve:
    """Result of sizing the reserve.

    Attributes:
        needed: VMs that must not be lent, to cover the loss of a rack.
        held: Available VMs of the spare pools beyond what those require.
        uncovered: VMs by which the guarantees would be missed after the loss
            of the worst zone.
    """

    __slots__ = ("needed", "held", "uncovered")

    def __init__(self, needed, held, uncovered):
        self.needed = needed
        self.held = held
        self.uncovered = uncovered

    def equals(self, other):
        """Returns whether another Reserve, or None, has the same figures."""
        return other is not None and (
            self.needed,
            self.held,
            self.uncovered,
        ) == (other.needed, other.held, other.uncovered)


class DomainLosses:
    """VMs that each pool would lose with each failure domain.

    Attributes:
        slack: Maps the name of each pool that is not spare to its available
            VMs beyond the guarantee; negative if it falls short.
        by_domain: Maps domain to a map from pool name to the number of its
            available VMs in the domain.
    """

    __slots__ = ("slack", "by_domain")

    def __init__(self, slack):
        self.slack = slack
        self.by_domain = {}

    def add(self, domain, pool_name):
        """Counts a VM of a pool in a domain."""
        losses = self.by_domain.setdefault(domain, {})
        losses[pool_name] = losses.get(pool_name, 0) + 1

    def find_deficits(self, domain):
        """Maps pool name to the VMs short after the loss of a domain.

        VMs that are short before the loss aren't counted, because borrowing
        covers them.
        """
        return {
            name: min(lost - self.slack[name], lost)
            for name, lost in self.by_domain[domain].items()
            if name in self.slack and lost > self.slack[name]
        }

    def count_spare_lost(self, domain):
        """Returns the number of spare VMs lost with the domain."""
        return sum(
            lost
            for name, lost in self.by_domain[domain].items()
            if name not in self.slack
        )


def find_losses(view, available_by_pool):
    """Returns the DomainLosses of the racks and of the zones.

    Args:
        view: PlanView.
        available_by_pool: Maps pool name to its available VMs.
    """
    slack = {
        pool.name: len(available_by_pool[pool.name]) - pool.guaranteed()
        for pool in view.fleet.pools.values()
        if not pool.spare
    }
    racks, zones = DomainLosses(slack), DomainLosses(slack)
    for name, vms in available_by_pool.items():
        for vm in vms:
            racks.add(vm.rack, name)
            zones.add(vm.zone, name)
    return racks, zones


@reserve_policies.register("shared_rack")
def size_shared(racks):
    """Sizes one reserve, shared by all pools, for the worst rack.

    Spare VMs in the same rack would be lost with it and are added.
    """
    worst = 0
    for rack in racks.by_domain:
        deficit = sum(racks.find_deficits(rack).values())
        if deficit:
            worst = max(worst, deficit + racks.count_spare_lost(rack))
    return worst


@reserve_policies.register("per_service")
def size_per_service(racks):
    """Sums a separate reserve for each pool's own worst rack."""
    worst = {}
    for rack in racks.by_domain:
        spare_lost = racks.count_spare_lost(rack)
        for name, deficit in racks.find_deficits(rack).items():
            worst[name] = max(worst.get(name, 0), deficit + spare_lost)
    return sum(worst.values())


def count_held(view, now_ms):
    """Returns the available spare VMs beyond what their pools require."""
    return sum(
        max(count_available(view, pool.name, now_ms) - pool.required(), 0)
        for pool in view.fleet.spare_pools()
    )


def count_uncovered(zones, held):
    """Returns how many VMs the reserve lacks after the worst zone loss."""
    worst = 0
    for zone in zones.by_domain:
        deficit = sum(zones.find_deficits(zone).values())
        remaining = max(held - zones.count_spare_lost(zone), 0)
        worst = max(worst, deficit - remaining)
    return worst


def find_available(view, now_ms):
    """Maps pool name to its available VMs, on which the size depends."""
    return {
        name: available_vms(view, name, now_ms) for name in view.fleet.pools
    }


def size_reserve(view, available_by_pool, now_ms):
    """Returns the Reserve sized by the policy in the settings."""
    policy = reserve_policies.entries[view.settings.reserve_policy]
    racks, zones = find_losses(view, available_by_pool)
    held = count_held(view, now_ms)
    uncovered = count_uncovered(zones, held)
    return Reserve(policy(racks), held, uncovered)


@stages.register("reserves")
def plan(view, now_ms, random):
    """Sizes the reserve in a full plan and reports it if it changed."""
    if not view.plans_all_pools():
        return []
    available_by_pool = find_available(view, now_ms)
    if available_by_pool == view.reserve_sized_for:
        return []
    view.reserve_sized_for = available_by_pool
    reserve = size_reserve(view, available_by_pool, now_ms)
    if reserve.equals(view.reserve):
        return []
    view.reserve = reserve
    return [ReportReserve(reserve.needed, reserve.held, reserve.uncovered)]

"""Size of the reserve: idle VMs of the spare pools kept for losses."""

from wigeonport.availabilities import available_vms, count_available
from wigeonport.plan_commands import ReportReserve
from wigeonport.plan_registries import reserve_policies, stages


class Reserve:
    """The reserve as last sized.

    Attributes:
        needed: VMs that must stay unlent for the loss of a rack.
        held: Available VMs of the spare pools beyond their own guarantee.
        uncovered: VMs missing after the loss of the worst zone.
    """

    __slots__ = ("needed", "held", "uncovered")

    def __init__(self, needed, held, uncovered):
        self.needed = needed
        self.held = held
        self.uncovered = uncovered

    def equals(self, other):
        """Returns whether all figures are the same."""
        return other is not None and (
            self.needed,
            self.held,
            self.uncovered,
        ) == (other.needed, other.held, other.uncovered)


class DomainLosses:
    """VMs that each failure domain would take from each pool.

    Attributes:
        slack: Available VMs beyond the guarantee, by pool that is not spare.
        by_domain: Lost VMs by pool, by domain.
    """

    __slots__ = ("slack", "by_domain")

    def __init__(self, slack):
        self.slack = slack
        self.by_domain = {}

    def add(self, domain, pool_name):
        """Counts a VM of a pool in a domain."""
        losses = self.by_domain.setdefault(domain, {})
        losses[pool_name] = losses.get(pool_name, 0) + 1

    def deficits(self, domain):
        """Returns the VMs missing by pool after the loss of a domain.

        What is missing already is covered by borrowing and not counted.
        """
        return {
            name: min(lost - self.slack[name], lost)
            for name, lost in self.by_domain[domain].items()
            if name in self.slack and lost > self.slack[name]
        }

    def spare_lost(self, domain):
        """Returns the spare VMs that the domain takes with it."""
        return sum(
            lost
            for name, lost in self.by_domain[domain].items()
            if name not in self.slack
        )


def find_losses(view, basis):
    """Returns the DomainLosses of the racks and of the zones.

    Args:
        view: PlanView.
        basis: Available VMs by pool.
    """
    slack = {
        pool.name: len(basis[pool.name]) - pool.guaranteed()
        for pool in view.fleet.pools.values()
        if not pool.spare
    }
    racks, zones = DomainLosses(slack), DomainLosses(slack)
    for name, vms in basis.items():
        for vm in vms:
            racks.add(vm.rack, name)
            zones.add(vm.zone, name)
    return racks, zones


@reserve_policies.register("shared_rack")
def size_shared(racks):
    """Sizes one reserve for the worst rack; services share it.

    Spare VMs in the same rack are lost with it, so they are added.
    """
    worst = 0
    for rack in racks.by_domain:
        deficit = sum(racks.deficits(rack).values())
        if deficit:
            worst = max(worst, deficit + racks.spare_lost(rack))
    return worst


@reserve_policies.register("per_service")
def size_per_service(racks):
    """Sizes a reserve for each pool's own worst rack and adds them up."""
    worst = {}
    for rack in racks.by_domain:
        lost_too = racks.spare_lost(rack)
        for name, deficit in racks.deficits(rack).items():
            worst[name] = max(worst.get(name, 0), deficit + lost_too)
    return sum(worst.values())


def count_held(view, now_ms):
    """Returns the available spare VMs beyond the spare pools' guarantee."""
    return sum(
        max(count_available(view, pool.name, now_ms) - pool.required(), 0)
        for pool in view.fleet.spare_pools()
    )


def find_uncovered(zones, held):
    """Returns the VMs that the loss of the worst zone leaves missing."""
    worst = 0
    for zone in zones.by_domain:
        deficit = sum(zones.deficits(zone).values())
        left = max(held - zones.spare_lost(zone), 0)
        worst = max(worst, deficit - left)
    return worst


def find_basis(view, now_ms):
    """Returns the available VMs by pool, on which the size depends."""
    return {
        name: available_vms(view, name, now_ms) for name in view.fleet.pools
    }


def size_reserve(view, basis, now_ms):
    """Returns the Reserve by the policy of the settings."""
    policy = reserve_policies.entries[view.settings.reserve_policy]
    racks, zones = find_losses(view, basis)
    held = count_held(view, now_ms)
    uncovered = find_uncovered(zones, held)
    return Reserve(policy(racks), held, uncovered)


@stages.register("reserves")
def plan(view, now_ms, random):
    """Sizes the reserve in a full plan and reports a change."""
    if not view.plans_all_pools():
        return []
    basis = find_basis(view, now_ms)
    if basis == view.reserve_basis:
        return []
    view.reserve_basis = basis
    reserve = size_reserve(view, basis, now_ms)
    if reserve.equals(view.reserve):
        return []
    view.reserve = reserve
    return [ReportReserve(reserve.needed, reserve.held, reserve.uncovered)]

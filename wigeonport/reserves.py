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
        available: Available VMs by pool.
        by_domain: Lost VMs by pool, by domain.
    """

    __slots__ = ("available", "by_domain")

    def __init__(self, view, now_ms, domain_of):
        self.available = {}
        self.by_domain = {}
        for name in view.fleet.pools:
            vms = available_vms(view, name, now_ms)
            self.available[name] = len(vms)
            for vm in vms:
                losses = self.by_domain.setdefault(domain_of(vm), {})
                losses[name] = losses.get(name, 0) + 1

    def deficits(self, view, domain):
        """Returns the VMs missing by pool after the loss of a domain."""
        deficits = {}
        for name, lost in self.by_domain[domain].items():
            pool = view.fleet.pools[name]
            short = pool.guaranteed() - (self.available[name] - lost)
            if short > 0 and not pool.spare:
                # What is missing already is covered by borrowing.
                deficits[name] = min(short, lost)
        return deficits

    def spare_lost(self, view, domain):
        """Returns the spare VMs that the domain takes with it."""
        return sum(
            lost
            for name, lost in self.by_domain[domain].items()
            if view.fleet.pools[name].spare
        )


def rack_of(vm):
    """Returns the rack of a VM."""
    return vm.rack


def zone_of(vm):
    """Returns the zone of a VM."""
    return vm.zone


@reserve_policies.register("shared_rack")
def size_shared(view, racks):
    """Sizes one reserve for the worst rack; services share it.

    Spare VMs in the same rack are lost with it, so they are added.
    """
    worst = 0
    for rack in racks.by_domain:
        deficit = sum(racks.deficits(view, rack).values())
        if deficit:
            worst = max(worst, deficit + racks.spare_lost(view, rack))
    return worst


@reserve_policies.register("per_service")
def size_per_service(view, racks):
    """Sizes a reserve for each pool's own worst rack and adds them up."""
    worst = {}
    for rack in racks.by_domain:
        lost_too = racks.spare_lost(view, rack)
        for name, deficit in racks.deficits(view, rack).items():
            worst[name] = max(worst.get(name, 0), deficit + lost_too)
    return sum(worst.values())


def count_held(view, now_ms):
    """Returns the available spare VMs beyond the spare pools' guarantee."""
    return sum(
        max(count_available(view, pool.name, now_ms) - pool.required(), 0)
        for pool in view.fleet.spare_pools()
    )


def find_uncovered(view, zones, held):
    """Returns the VMs that the loss of the worst zone leaves missing."""
    worst = 0
    for zone in zones.by_domain:
        deficit = sum(zones.deficits(view, zone).values())
        left = max(held - zones.spare_lost(view, zone), 0)
        worst = max(worst, deficit - left)
    return worst


def size_reserve(view, now_ms):
    """Returns the Reserve by the policy of the settings."""
    policy = reserve_policies.entries[view.settings.reserve_policy]
    racks = DomainLosses(view, now_ms, rack_of)
    zones = DomainLosses(view, now_ms, zone_of)
    held = count_held(view, now_ms)
    uncovered = find_uncovered(view, zones, held)
    return Reserve(policy(view, racks), held, uncovered)


@stages.register("reserves")
def plan(view, now_ms, random):
    """Sizes the reserve in a full plan and reports a change."""
    if not view.is_full():
        return []
    reserve = size_reserve(view, now_ms)
    if reserve.equals(view.reserve):
        return []
    view.reserve = reserve
    return [ReportReserve(reserve.needed, reserve.held, reserve.uncovered)]

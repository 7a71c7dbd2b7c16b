"""Lends VMs of the spare pools to other pools and takes them back."""

from wigeonport.availabilities import (
    available_vms,
    count_incoming,
)
from wigeonport.level_scores import move_price
from wigeonport.operations import MAINTENANCE, start_move
from wigeonport.plan_registries import borrow_policies, stages
from wigeonport.views import READY


class LoanRequests:
    """What a borrowing policy asks for.

    Attributes:
        wants: VMs wanted, by pool.
        only_transfers: Pools whose want is worth one move, not two; they
            take VMs that are idle in other pools, but none of the spare.
        returns: Borrowed VMs that their pools no longer need.
        idle: Borrowed VMs that other pools may take, but that stay if none
            does.
    """

    __slots__ = ("wants", "only_transfers", "returns", "idle")

    def __init__(self):
        self.wants = {}
        self.only_transfers = set()
        self.returns = []
        self.idle = []

    def take_idle(self, pool_name):
        """Returns a VM that its pool does not need, or None."""
        for vms in (self.returns, self.idle):
            for vm in vms:
                if vm.pool != pool_name:
                    vms.remove(vm)
                    return vm
        return None


class Supply:
    """Spare VMs that may be lent in one plan.

    Attributes:
        vms: Available spare VMs beyond the guarantee, by name.
        kept: Number of them that must not be lent.
    """

    __slots__ = ("vms", "kept")

    def __init__(self, view, now_ms, kept):
        self.vms = {}
        self.kept = kept
        for pool in view.fleet.spare_pools():
            vms = available_vms(view, pool.name, now_ms)
            for vm in vms[: max(len(vms) - pool.required(), 0)]:
                self.vms[vm.name] = vm

    def count(self):
        """Returns the number of VMs that may be lent."""
        return max(len(self.vms) - self.kept, 0)

    def take(self, view, pool_name):
        """Returns the VM that spreads the pool best, or None.

        The fewest members in its zone and rack come first, then VMs without
        tasks, then those whose maintenance is due last.
        """
        if self.count() == 0:
            return None
        members = view.fleet.members(pool_name)
        chosen = min(
            self.vms.values(),
            key=lambda vm: (
                sum(member.zone == vm.zone for member in members),
                sum(member.rack == vm.rack for member in members),
                len(view.jobs.tasks_on(vm.name)),
                -vm.due_ms,
                vm.name,
            ),
        )
        return self.vms.pop(chosen.name)


@stages.register("borrowings")
def plan(view, now_ms, random):
    """Covers guarantees first; in a full plan also follows demand."""
    commands = cover_guarantees(view, now_ms)
    if not view.plans_all_pools():
        return commands
    policy = borrow_policies.entries[view.settings.borrow_policy]
    requests = policy(view, now_ms)
    view.scores_updated_ms = now_ms
    commands.extend(start_moves(view, requests, now_ms))
    return commands


def cover_guarantees(view, now_ms):
    """Replaces VMs that a pool lost below its guarantee; uses the reserve."""
    commands = []
    supply = None
    for pool in view.pools():
        missing = pool.guaranteed() - expected_vms(view, pool, now_ms)
        if pool.spare or missing <= 0:
            continue
        supply = supply or Supply(view, now_ms, kept=0)
        for _ in range(missing):
            vm = supply.take(view, pool.name)
            if vm is None:
                return commands
            commands.extend(start_move(view, vm, pool.name, now_ms))
        protect_levels(view, pool)
    return commands


def expected_vms(view, pool, now_ms):
    """Returns available VMs plus those certain to return soon."""
    available = available_vms(view, pool.name, now_ms)
    expected = len(available) + count_incoming(view, pool.name)
    if expected >= pool.guaranteed():
        # Those that return make no difference then.
        return expected
    return expected + sum(
        is_returning(view, vm, now_ms)
        for vm in view.fleet.members(pool.name)
        if vm not in available
    )


def is_returning(view, vm, now_ms):
    """Returns whether a VM is in maintenance or in the hold after it."""
    operation = view.operations.get(vm.name)
    if operation is not None:
        return operation.kind == MAINTENANCE
    return vm.state == READY and vm.unsettled_until_ms > now_ms


def protect_levels(view, pool):
    """Marks the guaranteed levels as needed, so that the hold applies."""
    scores = view.borrow_scores.setdefault(pool.name, {})
    scores[pool.guaranteed()] = move_price(view.settings)


def start_moves(view, requests, now_ms):
    """Starts the moves; a VM that is idle elsewhere goes straight there."""
    commands = []
    kept = view.reserve.needed if view.reserve else 0
    supply = Supply(view, now_ms, kept)
    by_want = sorted(requests.wants.items(), key=lambda item: (-item[1], item))
    for pool_name, wanted in by_want:
        for _ in range(wanted):
            vm = requests.take_idle(pool_name)
            if vm is None and pool_name not in requests.only_transfers:
                vm = supply.take(view, pool_name)
            if vm is None:
                break
            commands.extend(start_move(view, vm, pool_name, now_ms))
    for vm in requests.returns:
        commands.extend(start_move(view, vm, vm.lender, now_ms))
    return commands

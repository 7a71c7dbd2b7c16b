"""Lends VMs of the spare pools to other pools and returns them."""

from wigeonport.availabilities import (
    available_vms,
    count_incoming,
)
from wigeonport.level_scores import move_price
from wigeonport.operations import MAINTENANCE, start_move
from wigeonport.plan_registries import borrow_policies, stages
from wigeonport.views import FAILED, READY


class LoanRequests:
    """Moves that a borrowing policy requests.

    Attributes:
        wants: Maps pool name to the number of VMs to borrow.
        only_transfers: Names of pools for which a VM is worth one move but
            not two: they take VMs that are idle in other pools, but none from
            a spare pool, because those must be moved back later.
        returns: Borrowed VMs that their pools no longer need.
        idle: Borrowed VMs that other pools may take; if none does, they
            stay where they are.
    """

    __slots__ = ("wants", "only_transfers", "returns", "idle")

    def __init__(self):
        self.wants = {}
        self.only_transfers = set()
        self.returns = []
        self.idle = []

    def take_idle(self, pool_name):
        """Removes and returns a VM that is idle in another pool, or None."""
        for vms in (self.returns, self.idle):
            for vm in vms:
                if vm.pool != pool_name:
                    vms.remove(vm)
                    return vm
        return None


class SpareSupply:
    """Spare VMs that may be lent in one plan.

    Attributes:
        vms: Maps VM name to an available spare VM beyond what its pool
            requires.
        reserved_count: Number of them that must not be lent.
    """

    __slots__ = ("vms", "reserved_count")

    def __init__(self, view, now_ms, reserved_count):
        self.vms = {}
        self.reserved_count = reserved_count
        for pool in view.fleet.spare_pools():
            vms = available_vms(view, pool.name, now_ms)
            for vm in vms[: max(len(vms) - pool.required(), 0)]:
                self.vms[vm.name] = vm

    def count(self):
        """Returns the number of VMs that may be lent."""
        return max(len(self.vms) - self.reserved_count, 0)

    def take(self, view, pool_name):
        """Removes and returns the VM that spreads the pool best, or None.

        Prefers the VM whose zone, then whose rack, holds the fewest members
        of the pool that have not failed; then the one with the fewest tasks;
        then the one whose maintenance is due last.
        """
        if self.count() == 0:
            return None
        members = [
            vm for vm in view.fleet.members(pool_name) if vm.state != FAILED
        ]
        best = min(
            self.vms.values(),
            key=lambda vm: (
                sum(member.zone == vm.zone for member in members),
                sum(member.rack == vm.rack for member in members),
                len(view.jobs.tasks_on(vm.name)),
                -vm.due_ms,
                vm.name,
            ),
        )
        return self.vms.pop(best.name)


@stages.register("borrowings")
def plan(view, now_ms, random):
    """Covers the guarantees; in a full plan also follows demand."""
    commands = cover_guarantees(view, now_ms)
    if not view.plans_all_pools():
        return commands
    policy = borrow_policies.entries[view.settings.borrow_policy]
    requests = policy(view, now_ms)
    view.scores_updated_ms = now_ms
    commands.extend(start_moves(view, requests, now_ms))
    return commands


def cover_guarantees(view, now_ms):
    """Borrows for pools below their guarantee; may use up the reserve."""
    commands = []
    supply = None
    for pool in view.pools():
        missing = pool.guaranteed() - expected_vms(view, pool, now_ms)
        if pool.spare or missing <= 0:
            continue
        supply = supply or SpareSupply(view, now_ms, reserved_count=0)
        for _ in range(missing):
            vm = supply.take(view, pool.name)
            if vm is None:
                return commands
            commands.extend(start_move(view, vm, pool.name, now_ms))
        protect_guaranteed_level(view, pool)
    return commands


def expected_vms(view, pool, now_ms):
    """Returns the available VMs, those moving in and those returning soon."""
    available = available_vms(view, pool.name, now_ms)
    expected = len(available) + count_incoming(view, pool.name)
    if expected >= pool.guaranteed():
        # The result is only compared with the guarantee, so the VMs that
        # return soon need not be counted.
        return expected
    return expected + sum(
        is_returning(view, vm, now_ms)
        for vm in view.fleet.members(pool.name)
        if vm not in available
    )


def is_returning(view, vm, now_ms):
    """Returns whether a VM is in maintenance, or in the hold when ready."""
    operation = view.operations.get(vm.name)
    if operation is not None:
        return operation.kind == MAINTENANCE
    return vm.state == READY and vm.unsettled_until_ms > now_ms


def protect_guaranteed_level(view, pool):
    """Sets the guaranteed level's score to the upper bound.

    The VMs just borrowed are then not returned before the score has fallen.
    """
    scores = view.borrow_scores.setdefault(pool.name, {})
    scores[pool.guaranteed()] = move_price(view.settings)


def start_moves(view, requests, now_ms):
    """Starts the requested moves, the largest requests first.

    A VM that is idle in another pool is moved directly; the spare pools
    supply the others.
    """
    commands = []
    reserved_count = view.reserve.needed if view.reserve else 0
    supply = SpareSupply(view, now_ms, reserved_count)
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

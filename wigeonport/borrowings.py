"""Lends VMs of the spare pools to other pools and takes them back."""

from wigeonport.availabilities import (
    available_vms,
    count_available,
    count_incoming,
    is_available,
    needed_vms,
)
from wigeonport.operations import MAINTENANCE, start_move
from wigeonport.plan_registries import borrow_policies, stages
from wigeonport.views import READY


class Wishes:
    """What a borrowing policy asks for.

    Attributes:
        wants: VMs wanted, by pool.
        returns: Borrowed VMs that their pools no longer need.
    """

    __slots__ = ("wants", "returns")

    def __init__(self):
        self.wants = {}
        self.returns = []


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
    if not view.is_full():
        return commands
    policy = borrow_policies.entries[view.settings.borrow_policy]
    wishes = policy(view, now_ms)
    view.scored_ms = now_ms
    commands.extend(fulfil(view, wishes, now_ms))
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
    return count_incoming(view, pool.name) + sum(
        1
        for vm in view.fleet.members(pool.name)
        if is_available(view, vm, now_ms) or is_returning(view, vm, now_ms)
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


def move_price(settings):
    """Returns the price of one move in weighted VM-seconds."""
    return settings.weight_moves * settings.move_price_s


@borrow_policies.register("break_even")
def break_even(view, now_ms):
    """Moves a VM once its absence has cost as much as the move.

    Each level of capacity above the pool's own has a score between minus and
    plus the price of a move. It rises while the level is needed, by the
    weight of roll-out time, and falls while it is idle, by the weight of
    buffer cost. A VM is borrowed at the upper bound and returned at the
    lower one, so a peak shorter than its price causes no move. This is the
    break-even rule of the ski rental problem, applied in both directions.
    """
    wishes = Wishes()
    elapsed_s = (now_ms - (view.scored_ms or now_ms)) / 1000
    limit = len(Supply(view, now_ms, 0).vms)
    for pool in view.fleet.pools.values():
        if not pool.spare and pool.services:
            score_pool(view, pool, elapsed_s, limit, now_ms, wishes)
    return wishes


def score_pool(view, pool, elapsed_s, limit, now_ms, wishes):
    """Updates the scores of a pool and adds its wishes."""
    have = count_available(view, pool.name, now_ms)
    have += count_incoming(view, pool.name)
    need = needed_vms(view, pool, now_ms)
    scores = view.borrow_scores.setdefault(pool.name, {})
    update_scores(view.settings, scores, have, need, limit, elapsed_s)
    price = move_price(view.settings)
    wanted = 0
    while scores.get(have + wanted + 1, -price) >= price:
        wanted += 1
    if wanted:
        wishes.wants[pool.name] = wanted
        return
    for vm in returnable_vms(view, pool, now_ms):
        if have <= need or scores.get(have, -price) > -price:
            return
        wishes.returns.append(vm)
        have -= 1


def update_scores(settings, scores, have, need, limit, elapsed_s):
    """Raises the scores of needed levels and lowers those of idle ones."""
    price = move_price(settings)
    levels = set(scores)
    levels.update(range(have + 1, min(need, have + limit) + 1))
    for level in levels:
        score = scores.get(level, -price)
        if level <= need:
            score = min(score + settings.weight_rollout * elapsed_s, price)
        else:
            score -= settings.weight_buffer * elapsed_s
        if score > -price:
            scores[level] = score
        else:
            scores.pop(level, None)


def returnable_vms(view, pool, now_ms):
    """Returns the borrowed VMs of a pool whose hold has passed."""
    hold_ms = view.settings.borrow_hold_ms
    return [
        vm
        for vm in view.fleet.members(pool.name)
        if vm.borrowed
        and is_available(view, vm, now_ms)
        and now_ms - (vm.moved_ms or 0) >= hold_ms
    ]


@borrow_policies.register("follow_demand")
def follow_demand(view, now_ms):
    """Baseline: moves as many VMs as the demand differs, at once."""
    wishes = Wishes()
    for pool in view.fleet.pools.values():
        if pool.spare or not pool.services:
            continue
        have = count_available(view, pool.name, now_ms)
        surplus = have + count_incoming(view, pool.name)
        surplus -= needed_vms(view, pool, now_ms)
        borrowed = [
            vm
            for vm in view.fleet.members(pool.name)
            if vm.borrowed and is_available(view, vm, now_ms)
        ]
        if surplus < 0:
            wishes.wants[pool.name] = -surplus
        else:
            wishes.returns.extend(borrowed[:surplus])
    return wishes


def fulfil(view, wishes, now_ms):
    """Starts the moves; a VM to return goes straight to a pool in need."""
    commands = []
    kept = view.reserve.needed if view.reserve else 0
    supply = Supply(view, now_ms, kept)
    returns = list(wishes.returns)
    by_want = sorted(wishes.wants.items(), key=lambda item: (-item[1], item))
    for pool_name, wanted in by_want:
        for _ in range(wanted):
            vm = returns.pop() if returns else supply.take(view, pool_name)
            if vm is None:
                break
            commands.extend(start_move(view, vm, pool_name, now_ms))
    for vm in returns:
        commands.extend(start_move(view, vm, vm.lender, now_ms))
    return commands

"""Policies that decide when a pool borrows VMs and when it returns them."""

from wigeonport.availabilities import (
    available_vms,
    count_available,
    count_incoming,
    needed_vms,
)
from wigeonport.borrowings import LoanRequests, SpareSupply
from wigeonport.level_scores import move_price, update_scores
from wigeonport.plan_registries import borrow_policies


class PoolNeed:
    """Capacity and need of one pool in the current plan.

    Attributes:
        pool: PoolView.
        own_count: Number of available VMs that are not borrowed.
        capacity: Number of available VMs and of those moving in.
        needed: Number of VMs needed for guarantee and demand.
        scores: Maps level of capacity, in VMs, to its score.
        idle: Borrowed VMs beyond the need.
    """

    __slots__ = ("pool", "own_count", "capacity", "needed", "scores", "idle")

    def __init__(self, view, pool, now_ms):
        self.pool = pool
        available = available_vms(view, pool.name, now_ms)
        borrowed = [vm for vm in available if vm.borrowed]
        self.own_count = len(available) - len(borrowed)
        self.capacity = len(available) + count_incoming(view, pool.name)
        self.needed = needed_vms(view, pool, now_ms)
        self.scores = view.borrow_scores.setdefault(pool.name, {})
        self.idle = borrowed[: max(len(available) - self.needed, 0)]


def find_needs(view, now_ms):
    """Updates the scores; returns the PoolNeed of each pool with services.

    Spare pools are left out.
    """
    elapsed_s = (now_ms - (view.scores_updated_ms or now_ms)) / 1000
    max_borrowed = len(SpareSupply(view, now_ms, 0).vms)
    needs = [
        PoolNeed(view, pool, now_ms)
        for pool in view.fleet.pools.values()
        if not pool.spare and pool.services
    ]
    for pool_need in needs:
        update_scores(
            view.settings,
            pool_need.scores,
            pool_need.capacity,
            pool_need.needed,
            max_borrowed,
            elapsed_s,
        )
    return needs


@borrow_policies.register("break_even")
def break_even(view, now_ms):
    """Borrows a VM once the lack of it has cost as much as its move.

    Returns it once its idle time has cost as much.
    """
    requests = LoanRequests()
    for pool_need in find_needs(view, now_ms):
        request_by_score(view, pool_need, requests)
        return_by_score(view, pool_need, now_ms, requests)
    return requests


def request_by_score(view, pool_need, requests):
    """Requests the levels whose score has reached the upper bound."""
    price = move_price(view.settings)
    wanted = 0
    while (
        pool_need.scores.get(pool_need.capacity + wanted + 1, -price) >= price
    ):
        wanted += 1
    if wanted:
        requests.wants[pool_need.pool.name] = wanted


def return_by_score(view, pool_need, now_ms, requests):
    """Requests the return of idle VMs whose hold and score allow it.

    The hold must have passed, and the score of the pool's capacity must be at
    the lower bound.
    """
    price = move_price(view.settings)
    capacity = pool_need.capacity
    hold_ms = view.settings.borrow_hold_ms
    for vm in pool_need.idle:
        if pool_need.scores.get(capacity, -price) > -price:
            return
        if now_ms - (vm.moved_ms or 0) >= hold_ms:
            requests.returns.append(vm)
            capacity -= 1


@borrow_policies.register("learned_peaks")
def learned_peaks(view, now_ms):
    """Borrows at the start of a peak if its expected rest is worth the move.

    The length of a peak is estimated from earlier ones. While there are none,
    or once the peak has outlasted the estimate, the break-even rule decides.
    A VM that is idle after a peak stays until its hold has passed and its
    score is at the lower bound, but another pool whose peak has begun may
    take it at once.
    """
    requests = LoanRequests()
    needs = find_needs(view, now_ms)
    for pool_need in needs:
        in_peak = pool_need.needed > pool_need.own_count
        view.peaks.update(pool_need.pool.name, in_peak, now_ms)
    for pool_need in needs:
        remaining_ms = view.peaks.expected_remaining_ms(
            pool_need.pool.name, now_ms
        )
        if remaining_ms is None:
            request_by_score(view, pool_need, requests)
        elif pool_need.needed > pool_need.capacity:
            request_by_gain(view, pool_need, remaining_ms, requests)
        return_by_score(view, pool_need, now_ms, requests)
        requests.idle.extend(
            vm for vm in pool_need.idle if vm not in requests.returns
        )
    return requests


def request_by_gain(view, pool_need, remaining_ms, requests):
    """Requests the missing VMs if the rest of the peak is worth their moves.

    A VM of a spare pool costs two moves, there and back; one that is idle in
    another pool costs one.
    """
    settings = view.settings
    served_ms = max(remaining_ms - settings.move_lead_ms, 0)
    gain = settings.weight_rollout * served_ms / 1000
    price = move_price(settings)
    if gain <= price:
        return
    name = pool_need.pool.name
    requests.wants[name] = pool_need.needed - pool_need.capacity
    if gain <= 2 * price:
        requests.only_transfers.add(name)
    for level in range(pool_need.capacity + 1, pool_need.needed + 1):
        # A high score keeps the VMs moved now from being returned at once.
        pool_need.scores[level] = price


@borrow_policies.register("follow_demand")
def follow_demand(view, now_ms):
    """Baseline: follows the demand at once, without scores or hold."""
    requests = LoanRequests()
    for pool in view.fleet.pools.values():
        if pool.spare or not pool.services:
            continue
        available = count_available(view, pool.name, now_ms)
        surplus = available + count_incoming(view, pool.name)
        surplus -= needed_vms(view, pool, now_ms)
        borrowed = [
            vm for vm in available_vms(view, pool.name, now_ms) if vm.borrowed
        ]
        if surplus < 0:
            requests.wants[pool.name] = -surplus
        else:
            requests.returns.extend(borrowed[:surplus])
    return requests

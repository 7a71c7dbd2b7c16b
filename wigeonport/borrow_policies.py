"""Policies that decide when a pool borrows VMs and when it returns them."""

from wigeonport.availabilities import (
    available_vms,
    count_available,
    count_incoming,
    needed_vms,
)
from wigeonport.borrowings import LoanRequests, Supply
from wigeonport.level_scores import move_price, update_scores
from wigeonport.plan_registries import borrow_policies


class PoolNeed:
    """Capacity and need of one pool in one plan.

    Attributes:
        pool: PoolView.
        own: Available VMs that are not borrowed.
        have: Available VMs and those on their way.
        need: VMs needed for guarantee and demand.
        scores: Score by level of capacity.
        idle: Borrowed VMs beyond the need.
    """

    __slots__ = ("pool", "own", "have", "need", "scores", "idle")

    def __init__(self, view, pool, now_ms):
        self.pool = pool
        available = available_vms(view, pool.name, now_ms)
        borrowed = [vm for vm in available if vm.borrowed]
        self.own = len(available) - len(borrowed)
        self.have = len(available) + count_incoming(view, pool.name)
        self.need = needed_vms(view, pool, now_ms)
        self.scores = view.borrow_scores.setdefault(pool.name, {})
        self.idle = borrowed[: max(len(available) - self.need, 0)]


def find_needs(view, now_ms):
    """Updates the scores and returns the PoolNeed of each pool."""
    elapsed_s = (now_ms - (view.scores_updated_ms or now_ms)) / 1000
    limit = len(Supply(view, now_ms, 0).vms)
    needs = [
        PoolNeed(view, pool, now_ms)
        for pool in view.fleet.pools.values()
        if not pool.spare and pool.services
    ]
    for each in needs:
        update_scores(
            view.settings,
            each.scores,
            each.have,
            each.need,
            limit,
            elapsed_s,
        )
    return needs


@borrow_policies.register("break_even")
def break_even(view, now_ms):
    """Moves a VM once its absence has cost as much as the move."""
    requests = LoanRequests()
    for each in find_needs(view, now_ms):
        want_by_score(view, each, requests)
        return_by_score(view, each, now_ms, requests)
    return requests


def want_by_score(view, each, requests):
    """Wants the levels whose score is at the upper bound."""
    price = move_price(view.settings)
    wanted = 0
    while each.scores.get(each.have + wanted + 1, -price) >= price:
        wanted += 1
    if wanted:
        requests.wants[each.pool.name] = wanted


def return_by_score(view, each, now_ms, requests):
    """Returns idle VMs whose hold has passed, at the lower bound."""
    price = move_price(view.settings)
    have = each.have
    hold_ms = view.settings.borrow_hold_ms
    for vm in each.idle:
        if each.scores.get(have, -price) > -price:
            return
        if now_ms - (vm.moved_ms or 0) >= hold_ms:
            requests.returns.append(vm)
            have -= 1


@borrow_policies.register("learned_peaks")
def learned_peaks(view, now_ms):
    """Moves a VM at the start of a peak if the rest of it pays the move.

    The length of a peak is learned from those before. While nothing is
    known, or the peak outlasts what is known, the break-even rule decides.
    A VM that is idle after a peak stays until its hold and its score let it
    return, but a pool whose peak has begun may take it at once.
    """
    requests = LoanRequests()
    needs = find_needs(view, now_ms)
    for each in needs:
        peaks = each.need > each.own
        view.peaks.update(each.pool.name, peaks, now_ms)
    for each in needs:
        left_ms = view.peaks.expected_left_ms(each.pool.name, now_ms)
        if left_ms is None:
            want_by_score(view, each, requests)
        elif each.need > each.have:
            want_by_gain(view, each, left_ms, requests)
        return_by_score(view, each, now_ms, requests)
        requests.idle.extend(
            vm for vm in each.idle if vm not in requests.returns
        )
    return requests


def want_by_gain(view, each, left_ms, requests):
    """Wants the missing VMs if the rest of the peak pays their moves.

    A VM of the spare pool is moved twice, there and back; one that is idle
    in another pool only once.
    """
    settings = view.settings
    served_ms = max(left_ms - settings.move_lead_ms, 0)
    gain = settings.weight_rollout * served_ms / 1000
    price = move_price(settings)
    if gain <= price:
        return
    name = each.pool.name
    requests.wants[name] = each.need - each.have
    if gain <= 2 * price:
        requests.only_transfers.add(name)
    for level in range(each.have + 1, each.need + 1):
        # The hold then applies to what is moved now.
        each.scores[level] = price


@borrow_policies.register("follow_demand")
def follow_demand(view, now_ms):
    """Baseline: moves as many VMs as the demand differs, at once."""
    requests = LoanRequests()
    for pool in view.fleet.pools.values():
        if pool.spare or not pool.services:
            continue
        have = count_available(view, pool.name, now_ms)
        surplus = have + count_incoming(view, pool.name)
        surplus -= needed_vms(view, pool, now_ms)
        borrowed = [
            vm for vm in available_vms(view, pool.name, now_ms) if vm.borrowed
        ]
        if surplus < 0:
            requests.wants[pool.name] = -surplus
        else:
            requests.returns.extend(borrowed[:surplus])
    return requests

"""Break-even scores of the levels of a pool's capacity.

A level is a number of VMs. Its score lies between minus and plus the price of
a move; it rises by the weight of roll-out time while the level is needed and
falls by the weight of buffer cost while it is idle. A VM is borrowed when the
score of its level reaches the upper bound and returned at the lower bound, so
a peak whose cost stays below the price of a move causes none. This is the
break-even rule of the ski rental problem, applied in both directions.
"""


def move_price(settings):
    """Returns the price of one move in weighted VM-seconds."""
    return settings.weight_moves * settings.move_price_s


def update_scores(settings, scores, capacity, needed, max_borrowed, elapsed_s):
    """Raises the scores of needed levels and lowers those of idle ones.

    Args:
        settings: PlanSettings.
        scores: Maps level to its score; changed in place. A level without an
            entry is at the lower bound.
        capacity: Number of VMs that the pool has or is about to have.
        needed: Number of VMs that the pool needs.
        max_borrowed: Number of further VMs that the pool could borrow.
        elapsed_s: Time since the last update in seconds.
    """
    price = move_price(settings)
    levels = set(scores)
    levels.update(
        range(capacity + 1, min(needed, capacity + max_borrowed) + 1)
    )
    for level in levels:
        score = scores.get(level, -price)
        if level <= needed:
            score = min(score + settings.weight_rollout * elapsed_s, price)
        else:
            score -= settings.weight_buffer * elapsed_s
        if score > -price:
            scores[level] = score
        else:
            scores.pop(level, None)

"""Scores of the levels of a pool's capacity: the break-even rule.

Each level above what the pool has carries a score between minus and plus the
price of a move. It rises while the level is needed, by the weight of roll-out
time, and falls while it is idle, by the weight of buffer cost. A VM is
borrowed at the upper bound and returned at the lower one, so a peak shorter
than its price causes no move. This is the break-even rule of the ski rental
problem, applied in both directions.
"""


def move_price(settings):
    """Returns the price of one move in weighted VM-seconds."""
    return settings.weight_moves * settings.move_price_s


def update_scores(settings, scores, capacity, needed, max_borrowed, elapsed_s):
    """Raises the scores of needed levels and lowers those of idle ones."""
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
